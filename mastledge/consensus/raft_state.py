"""Raft's state of one member: identity, term and vote, log, what is committed, and the members by it."""

from bisect import insort
from copy import deepcopy
from typing import Any

from mastledge.consensus import records
from mastledge.consensus.changes import MEMBERSHIP_KINDS
from mastledge.consensus.errors import ChangeRefusedError
from mastledge.consensus.log import Log
from mastledge.consensus.membership import members_after
from mastledge.consensus.messages import Entry
from mastledge.consensus.outbox import Persistence
from mastledge.consensus.persisted_state import PersistedMember, encoded_records
from mastledge.consensus.state_machine import ChangeResult, StateMachine
from mastledge.consensus.timing import HEARTBEATS_PER_LEASE


class RaftState:
    """The state that survives a restart, and what is derived from it. Each change of it is recorded."""

    def __init__(self, name: str, initial_lease_us: int, incarnation: str, persistence: Persistence):
        """Begin without a fleet."""
        self.name, self.initial_lease_us, self.persistence = name, initial_lease_us, persistence
        self.reset(incarnation)

    def reset(self, incarnation: str) -> None:
        """Forget the fleet: this member counts as a new incarnation."""
        self.fleet, self.incarnation, self.term, self.voted_for = "", incarnation, 0, ""
        self.log, self.commit_index = Log(), 0
        self.state_machine: StateMachine | None = None
        self.snapshot_state: dict[str, Any] = {}  # as of the base of the log
        self._effective_members: dict[str, dict] | None = None

    def load(self, persisted: PersistedMember) -> None:
        """Take up what the disk holds."""
        self.fleet, self.incarnation = persisted.fleet, persisted.incarnation
        self.term, self.voted_for = persisted.term, persisted.voted_for
        self.log = Log(persisted.snapshot_index, persisted.snapshot_term, persisted.entries)
        self.state_machine = StateMachine(persisted.snapshot_state, persisted.snapshot_index)
        self.snapshot_state = deepcopy(persisted.snapshot_state)
        self.commit_index = persisted.snapshot_index
        self.persistence.load(self.log.last_index)
        self.forget_effective_members()

    def bootstrap(self, fleet: str, state: dict) -> None:
        """Begin a fleet with a state, which counts as entry 1 of term 1."""
        self.fleet, self.state_machine, self.log = fleet, StateMachine(state, 1), Log(1, 1)
        self.snapshot_state = self.state_machine.snapshot()
        self.term = self.commit_index = 1
        self.forget_effective_members()
        self.persistence.record(records.Identity(fleet, self.incarnation))
        self.persistence.record(records.HardState(1, ""))
        self._record_snapshot()

    def join(self, fleet: str) -> None:
        """Belong to a fleet from here on, of which a snapshot follows."""
        self.fleet = fleet
        self.persistence.record(records.Identity(fleet, self.incarnation))
        self.persistence.record(records.HardState(self.term, self.voted_for))

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Enter a term, or vote in it."""
        self.term, self.voted_for = term, voted_for
        self.persistence.record(records.HardState(term, voted_for))

    # The log

    def append(self, entry: Entry) -> None:
        """Add an entry to the log."""
        index = self.log.append(entry)
        self.persistence.record(records.LogEntry(index, entry))
        if entry.change["kind"] in MEMBERSHIP_KINDS:
            self.forget_effective_members()

    def commit(self, index: int) -> ChangeResult:
        """Apply the next entry, which is committed; raises what `StateMachine.apply` does."""
        result = self.state_machine.apply(index, self.log.entry_at(index))
        self.commit_index = index
        return result

    def truncate_from(self, index: int) -> None:
        """Drop entries that the leader does not have."""
        self.log.truncate_from(index)
        self.persistence.limit_persisted(index - 1)
        self.persistence.record(records.Truncation(index))
        self.forget_effective_members()

    def compact(self) -> None:
        """Replace all that is committed by a snapshot."""
        self.log.compact(self.commit_index)
        self.snapshot_state = self.state_machine.snapshot()
        self.forget_effective_members()
        self._record_snapshot()

    def install_snapshot(self, last_index: int, last_term: int, state: dict) -> None:
        """Go on from the leader's snapshot; what the log has after it stays, as it may have counted."""
        if self.log.term_at(last_index) == last_term:
            self.log.compact(last_index)
        else:
            self.log = Log(last_index, last_term)
            self.persistence.limit_persisted(last_index)
        self.state_machine = StateMachine(state, last_index)
        self.snapshot_state, self.commit_index = self.state_machine.snapshot(), last_index
        self.forget_effective_members()
        self._record_snapshot()

    def _record_snapshot(self) -> None:
        snapshot = records.Snapshot(self.log.base_index, self.log.base_term, self.snapshot_state)
        self.persistence.record(snapshot)

    def all_records(self) -> list[tuple]:
        """Return the fewest records that lead to this state, in their form on disk."""
        log = self.log
        identity, hard_state = (self.fleet, self.incarnation), (self.term, self.voted_for)
        snapshot = log.base_index, log.base_term, self.snapshot_state
        return encoded_records(PersistedMember(*identity, *hard_state, *snapshot, log.entries))

    # The members

    def members(self) -> dict[str, dict]:
        """Return the members as the last entry has them, committed or not (Ongaro 2014, 4.1)."""
        if self._effective_members is None:
            self._effective_members = self._compute_members()
        return self._effective_members

    def _compute_members(self) -> dict[str, dict]:
        if self.state_machine is None:
            return {}
        members = self.state_machine.members
        for entry in self.log.all_after(self.state_machine.applied_index):
            if entry.change["kind"] in MEMBERSHIP_KINDS and entry.id not in self.state_machine.results:
                try:
                    members = members_after(members, entry.change)
                except ChangeRefusedError:
                    continue  # it will be refused once it is committed
        return members

    def forget_effective_members(self) -> None:
        """The log or the state machine has changed."""
        self._effective_members = None

    def departed(self) -> list[dict]:
        """Return the members that left and may still hold a lease, the longest gone first."""
        return self.state_machine.state["gone"] if self.state_machine else []

    def voters(self) -> list[str]:
        """Return the names of the voters."""
        return [name for name, member in self.members().items() if member["votes"]]

    def is_voter(self) -> bool:
        """Return whether this member votes, in its incarnation."""
        me = self.members().get(self.name)
        return me is not None and me["votes"] and me["life"] == self.incarnation

    def is_learner(self, name: str) -> bool:
        """Return whether another is a member that does not vote."""
        member = self.members().get(name)
        return member is not None and not member["votes"]

    def is_admitted(self) -> bool:
        """Return whether this is a member in the incarnation that the fleet knows, as committed."""
        me = self.state_machine.members.get(self.name)
        return me is not None and me["life"] == self.incarnation

    def knows(self, name: str, incarnation: str) -> bool:
        """Return whether another is a member in this incarnation."""
        member = self.members().get(name)
        return member is not None and member["life"] == incarnation

    def majority_of(self, figures: dict[str, int]) -> int:
        """Return the highest figure that a majority of the voters has reached; a missing one counts as -1."""
        reached: list[int] = []
        for name in self.voters():
            insort(reached, figures.get(name, -1))
        return reached[(len(reached) - 1) // 2] if reached else -1

    # What is committed on

    @property
    def lease_us(self) -> int:
        """The span of a lease."""
        return self.state_machine.state["lease"] if self.state_machine else self.initial_lease_us

    @property
    def heartbeat_us(self) -> int:
        """The span between two heartbeats to a voter."""
        return self.lease_us // HEARTBEATS_PER_LEASE

    @property
    def fan_out(self) -> int:
        """How many members hear from one relay; 0: all from the leader."""
        return self.state_machine.state.get("fan_out", 0) if self.state_machine else 0
