"""The raft state of a member: identity, term and vote, log, commit index, and membership."""

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
    """The persistent state and what is derived from it; each change is recorded for the write-ahead log."""

    def __init__(self, name: str, initial_lease_us: int, incarnation: str, persistence: Persistence):
        """Initialize without a fleet."""
        self.name, self.initial_lease_us, self.persistence = name, initial_lease_us, persistence
        self.reset(incarnation)

    def reset(self, incarnation: str) -> None:
        """Reset to a new incarnation without a fleet."""
        self.fleet, self.incarnation, self.term, self.voted_for = "", incarnation, 0, ""
        self.log, self.commit_index = Log(), 0
        self.state_machine: StateMachine | None = None
        self.snapshot_state: dict[str, Any] = {}  # as of `log.base_index`
        self._cached_members: dict[str, dict] | None = None

    def load(self, persisted: PersistedMember) -> None:
        """Load the state that the disk holds."""
        self.fleet, self.incarnation = persisted.fleet, persisted.incarnation
        self.term, self.voted_for = persisted.term, persisted.voted_for
        self.log = Log(persisted.snapshot_index, persisted.snapshot_term, persisted.entries)
        self.state_machine = StateMachine(persisted.snapshot_state, persisted.snapshot_index)
        self.snapshot_state = deepcopy(persisted.snapshot_state)
        self.commit_index = persisted.snapshot_index
        self.persistence.load(self.log.last_index)
        self.invalidate_members()

    def bootstrap(self, fleet: str, state: dict) -> None:
        """Start a fleet with an initial state, which counts as entry 1 of term 1."""
        self.fleet, self.state_machine, self.log = fleet, StateMachine(state, 1), Log(1, 1)
        self.snapshot_state = self.state_machine.snapshot()
        self.term = self.commit_index = 1
        self.invalidate_members()
        self.persistence.record(records.Identity(fleet, self.incarnation))
        self.persistence.record(records.HardState(1, ""))
        self._record_snapshot()

    def join(self, fleet: str) -> None:
        """Join a fleet, whose snapshot is installed next."""
        self.fleet = fleet
        self.persistence.record(records.Identity(fleet, self.incarnation))
        self.persistence.record(records.HardState(self.term, self.voted_for))

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Set and record the term and the vote in it."""
        self.term, self.voted_for = term, voted_for
        self.persistence.record(records.HardState(term, voted_for))

    # The log

    def append(self, entry: Entry) -> None:
        """Append an entry to the log."""
        index = self.log.append(entry)
        self.persistence.record(records.LogEntry(index, entry))
        if entry.change["kind"] in MEMBERSHIP_KINDS:
            self.invalidate_members()

    def commit(self, index: int) -> ChangeResult:
        """Apply the next committed entry; raises the errors of `StateMachine.apply`."""
        result = self.state_machine.apply(index, self.log.entry_at(index))
        self.commit_index = index
        return result

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on, which conflict with those of the leader."""
        self.log.truncate_from(index)
        self.persistence.limit_persisted(index - 1)
        self.persistence.record(records.Truncation(index))
        self.invalidate_members()

    def compact(self) -> None:
        """Replace all committed entries by a snapshot."""
        self.log.compact(self.commit_index)
        self.snapshot_state = self.state_machine.snapshot()
        self.invalidate_members()
        self._record_snapshot()

    def install_snapshot(self, last_index: int, last_term: int, state: dict) -> None:
        """Install the leader's snapshot; later entries of a matching log stay: they may count as on disk."""
        if self.log.term_at(last_index) == last_term:
            self.log.compact(last_index)
        else:
            self.log = Log(last_index, last_term)
            self.persistence.limit_persisted(last_index)
        self.state_machine = StateMachine(state, last_index)
        self.snapshot_state, self.commit_index = self.state_machine.snapshot(), last_index
        self.invalidate_members()
        self._record_snapshot()

    def _record_snapshot(self) -> None:
        snapshot = records.Snapshot(self.log.base_index, self.log.base_term, self.snapshot_state)
        self.persistence.record(snapshot)

    def all_records(self) -> list[tuple]:
        """Return the shortest sequence of encoded records that yields this state."""
        log = self.log
        identity, hard_state = (self.fleet, self.incarnation), (self.term, self.voted_for)
        snapshot = log.base_index, log.base_term, self.snapshot_state
        return encoded_records(PersistedMember(*identity, *hard_state, *snapshot, log.entries))

    # The members

    def members(self) -> dict[str, dict]:
        """Return the members as of the last log entry, committed or not (Ongaro 2014, 4.1)."""
        if self._cached_members is None:
            self._cached_members = self._compute_members()
        return self._cached_members

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

    def invalidate_members(self) -> None:
        """Discard the cached members after the log or the state machine has changed."""
        self._cached_members = None

    def departed_members(self) -> list[dict]:
        """Return the removed members that may still hold a lease, the earliest removed first."""
        return self.state_machine.state["gone"] if self.state_machine else []

    def voters(self) -> list[str]:
        """Return the names of the voters."""
        return [name for name, member in self.members().items() if member["votes"]]

    def is_voter(self) -> bool:
        """Return whether this member is a voter in its current incarnation."""
        member = self.members().get(self.name)
        return member is not None and member["votes"] and member["life"] == self.incarnation

    def is_learner(self, name: str) -> bool:
        """Return whether `name` is a member without a vote."""
        member = self.members().get(name)
        return member is not None and not member["votes"]

    def is_admitted(self) -> bool:
        """Return whether the committed members include this one in its current incarnation."""
        member = self.state_machine.members.get(self.name)
        return member is not None and member["life"] == self.incarnation

    def has_member(self, name: str, incarnation: str) -> bool:
        """Return whether `name` is a member in this incarnation."""
        member = self.members().get(name)
        return member is not None and member["life"] == incarnation

    def majority_value(self, values: dict[str, int]) -> int:
        """Return the highest value that a majority of voters has reached; a missing value counts as -1."""
        sorted_values: list[int] = []
        for name in self.voters():
            insort(sorted_values, values.get(name, -1))
        return sorted_values[(len(sorted_values) - 1) // 2] if sorted_values else -1

    # Values from the committed state

    @property
    def lease_us(self) -> int:
        """The duration of a lease in microseconds."""
        return self.state_machine.state["lease"] if self.state_machine else self.initial_lease_us

    @property
    def heartbeat_us(self) -> int:
        """The interval between heartbeats to a voter in microseconds."""
        return self.lease_us // HEARTBEATS_PER_LEASE

    @property
    def fan_out(self) -> int:
        """The number of members per relay; 0: no relays, the leader sends to all members."""
        return self.state_machine.state.get("fan_out", 0) if self.state_machine else 0
