"""What a leader does: it takes changes, replicates them, and knows what is committed and in force."""

from dataclasses import dataclass

from mastledge.consensus.applier import Applier
from mastledge.consensus.changes import (
    MEMBERSHIP_KINDS,
    ChangeKind,
    grant_vote,
    is_valid,
    new_incarnation,
    noop,
)
from mastledge.consensus.core import Core
from mastledge.consensus.direct_members import DirectMembers
from mastledge.consensus.elections import Elections
from mastledge.consensus.heartbeats import HeartbeatContents, Heartbeats
from mastledge.consensus.in_force import InForceTracker
from mastledge.consensus.lease_holder import LeaseHolder
from mastledge.consensus.leases import GrantedLeases
from mastledge.consensus.membership import MAX_DEPARTED, wanted_voters
from mastledge.consensus.messages import AppendResponse, Entry, WorkerRestrictions
from mastledge.consensus.observed_state import Observation, ObservedState
from mastledge.consensus.relay_children import RelayChildren
from mastledge.consensus.relay_choice import RelayChoice
from mastledge.consensus.replication_progress import ReplicationProgress
from mastledge.consensus.restriction_sharing import RestrictionSharing
from mastledge.consensus.timing import LEARNER_HEARTBEATS_PER_LEASE, LOST_AFTER_HEARTBEATS, SOON_US

MAX_WAITING_CHANGES = 64  # of the members, which wait for the one before
MAX_LOGGED_KIND = 40  # characters of a change that cannot be read


@dataclass(frozen=True, slots=True)
class LeaderParts:
    """The parts of a member that a leadership works with."""

    applier: Applier
    children: RelayChildren
    choice: RelayChoice
    elections: Elections
    lease: LeaseHolder
    observed: ObservedState
    sharing: RestrictionSharing


class Leadership:
    """The state of a leader; there is one only while a member leads."""

    direct_members_type = DirectMembers
    in_force_type = InForceTracker

    def __init__(self, core: Core, parts: LeaderParts):
        """Begin in the term that was won, without knowing anything of the others."""
        self.core, self.parts = core, parts
        state, self.won_at = core.state, core.clock.now
        self.leases = GrantedLeases(state.lease_us, self.won_at)
        self.progress = ReplicationProgress(state)
        contents = HeartbeatContents(self.leases, parts.lease, parts.observed, parts.sharing)
        self.heartbeats = Heartbeats(core, self.progress, contents)
        self.latest_restrictions = contents.latest_restrictions
        self.direct_members = self.direct_members_type(core, self.leases, parts.choice.tree)
        self.in_force = self.in_force_type(core, self.leases, parts.children)
        self.echoed_at: dict[str, int] = {}  # the latest own time that each member has sent back
        self.process_ids: dict[str, int] = {}  # of each member; 0 for a version that knows no relays
        self.waiting_changes: list[tuple[str, dict]] = []  # of the members
        self.last_fan_out = state.fan_out
        self.first_index = 0  # of this term

    def begin(self, proposals: dict[str, dict]) -> None:
        """Begin the term with an entry of its own, and with the changes that this member has proposed."""
        state = self.core.state
        # Who heard from here as a follower goes on doing so until it has found another relay.
        for name in self.parts.children.release():
            self.direct_members.adopt(name)
        self.parts.choice.leave()
        self.core.outbox.log_event("became_leader", term=state.term, last=state.log.last_index)
        self._append(Entry(state.term, "", noop()))
        self.first_index = state.log.last_index
        for id, change in proposals.items():
            self.take(id, change)

    # Changes

    def take(self, id: str, change: dict) -> None:
        """Append a change to the log, once. Changes of the members wait for the one before."""
        if not is_valid(change):
            kind = str(change.get("kind"))[:MAX_LOGGED_KIND]
            self.core.outbox.log_event("invalid_change", id=id, kind=kind)
            return
        if self._is_known(id):
            return
        kind = change["kind"]
        if kind == ChangeKind.FAN_OUT and (older := self.members_without_relays()):
            self.core.outbox.log_event("relays_refused", members=older)
            return
        if kind in MEMBERSHIP_KINDS and not (self.is_settled() and self._may_depart(change)):
            self._wait(id, change)
            return
        self._append(Entry(self.core.state.term, id, change))

    def _is_known(self, id: str) -> bool:
        state = self.core.state
        uncommitted = state.log.all_after(state.state_machine.applied_index)
        return any(entry.id == id for entry in uncommitted) or id in state.state_machine.results

    def _wait(self, id: str, change: dict) -> None:
        is_waiting = any(waiting_id == id for waiting_id, _ in self.waiting_changes)
        if len(self.waiting_changes) < MAX_WAITING_CHANGES and not is_waiting:
            self.waiting_changes.append((id, change))

    def _append(self, entry: Entry) -> None:
        self.core.state.append(entry)
        self.progress.hurry()

    def is_settled(self) -> bool:
        """Return whether the members may change: an entry of this term is committed, and no change under way.

        Ongaro (2014), 4.1, and the erratum to it.
        """
        state = self.core.state
        uncommitted = state.log.all_after(state.commit_index)
        is_changing = any(entry.change["kind"] in MEMBERSHIP_KINDS for entry in uncommitted)
        return self._knows_all_committed() and not is_changing

    def _may_depart(self, change: dict) -> bool:
        """Return whether one more may leave: so many are remembered, until the first one's lease is over."""
        if change["kind"] != ChangeKind.REMOVE_MEMBER:
            return True
        departed = self.core.state.departed()
        if len(departed) < MAX_DEPARTED:
            return True
        return self.leases.has_expired(departed[0]["name"], self.core.clock.now)

    def members_without_relays(self) -> list[str]:
        """Return the members of a version without relays, or that have said nothing to this leader yet."""
        state = self.core.state
        return sorted(
            name for name in state.members() if name != state.name and not self.process_ids.get(name)
        )

    def admit(self, name: str, incarnation: str) -> None:
        """Have a member count in a new incarnation; what the former one promised is not expected of it."""
        if self.is_settled():
            id = f"life {name} {incarnation} {self.core.state.log.last_index}"
            self.take(id, new_incarnation(name, incarnation))

    def adopt(self, name: str) -> None:
        """Speak to a follower that has no relay, or none that its version could hear."""
        if self.core.state.fan_out:
            self.direct_members.adopt(name)
            self.progress.schedule(name, 0)

    # What members tell

    def on_append_response(self, sender: str, incarnation: str, response: AppendResponse) -> None:
        """Take over what a member has on disk and applied, and its clock."""
        state, now = self.core.state, self.core.clock.now
        is_of_term = response.term == state.term
        if not is_of_term and not state.fan_out:
            return
        if not state.knows(sender, incarnation):
            if sender in state.members():
                # Known in another incarnation; what this one says does not count until it is taken in.
                self.admit(sender, incarnation)
                return
            if all(departed["name"] != sender for departed in state.departed()):
                return
        if not response.process_id or (sender not in self.leases.holders and state.is_learner(sender)):
            self.adopt(sender)  # an older version hears from nobody else
        if not is_of_term:
            return
        self._record_response(sender, incarnation, response)
        applied, process_id = response.applied_index, response.process_id
        self.leases.record_report(sender, now, response.clock, applied, process_id)

    def _record_response(self, sender: str, incarnation: str, response: AppendResponse) -> None:
        self.parts.sharing.lists.record_report(sender, response.list_generations)
        self.process_ids[sender] = response.process_id
        self.echoed_at[sender] = max(self.echoed_at.get(sender, 0), response.sent_at)
        if not response.success:
            self.progress.on_refusal(sender, response)
            return
        position = response.persisted_term, response.persisted_index
        self.parts.observed.record(sender, Observation(incarnation, 0, *position))
        self.progress.on_success(sender, response)

    def on_restrictions(self, restrictions: WorkerRestrictions) -> None:
        """Without relays: tell all members what one of them tells."""
        if self.latest_restrictions.record(restrictions, self.core.clock.now):
            self.core.outbox.deliver_restrictions(restrictions)
            self.progress.hurry()

    # What follows

    def run(self) -> None:
        """Commit, count what is in force, and speak to who is due; or lead no longer."""
        state, roles = self.core.state, self.core.roles
        self.progress.on_persisted(state.name, self.core.persistence.persisted_index)
        self.echoed_at[state.name] = self.core.clock.now
        majority_heard_at = state.majority_of(self.echoed_at)
        if self._has_lost_majority(majority_heard_at):
            # A majority may have another leader by now, and whoever calls here had better know.
            roles.step_down()
            self.parts.elections.restart_timeout()
            return
        self._commit()
        if self.parts.applier.halt_reason:
            roles.step_down()
            return
        if state.name not in state.members() and state.commit_index >= state.log.last_index:
            self.core.outbox.log_event("left", term=state.term)
            self.progress.hurry()
            self._send_heartbeats(majority_heard_at)
            roles.step_down()
            return
        self._follow_fan_out()
        self._hold_lease(majority_heard_at)
        self.update_in_force()
        if self.waiting_changes and self.is_settled():
            self.take(*self.waiting_changes.pop(0))
        self.promote_learner()
        self._send_heartbeats(majority_heard_at)

    def _has_lost_majority(self, majority_heard_at: int) -> bool:
        now, span = self.core.clock.now, LOST_AFTER_HEARTBEATS * self.core.state.heartbeat_us
        return majority_heard_at < now - span and now > self.won_at + span

    def _commit(self) -> None:
        """Commit what a majority has on disk, if it is of this term (Ongaro 2014, 3.6.2)."""
        state = self.core.state
        index = state.majority_of(self.progress.match_index)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            self.parts.applier.advance_to(index)
            self.progress.hurry()

    def _follow_fan_out(self) -> None:
        """Once relays begin, go on speaking to each member until they do their part."""
        state = self.core.state
        if state.fan_out != self.last_fan_out:
            self.last_fan_out = state.fan_out
            for name in state.members():
                self.adopt(name)

    def _hold_lease(self, majority_heard_at: int) -> None:
        """Hold a lease, once it is known what is committed."""
        state = self.core.state
        if majority_heard_at > 0 and state.is_admitted() and self._knows_all_committed():
            self.parts.lease.extend(majority_heard_at, state.lease_us)

    def _knows_all_committed(self) -> bool:
        """Return whether an entry of this term is committed, and so all that was before it."""
        return self.core.state.commit_index >= self.first_index

    def update_in_force(self) -> None:
        """Count up to which entry the state is in force."""
        lease, fan_out = self.parts.lease, self.core.state.fan_out
        if fan_out:
            reached, by = self.in_force.of_holders(lease.in_force_index)
        else:
            reached, by = self.in_force.of_all_members()
        if reached > lease.in_force_index and not fan_out:
            self.progress.hurry()  # relays hear it with the next heartbeat: nobody acts on it
        lease.record_in_force(reached, by)

    def promote_learner(self) -> None:
        """Return a vote to a member that has caught up, while voters are missing."""
        state = self.core.state
        members = state.members()
        if len(state.voters()) >= wanted_voters(len(members)) or not self.is_settled():
            return
        for name, member in sorted(members.items()):
            if name != state.name and self._may_vote(name, member):
                incarnation = member["life"]
                id = f"vote {name} {incarnation} {state.term}.{state.log.last_index}"
                self.take(id, grant_vote(name, incarnation))
                return

    def _may_vote(self, name: str, member: dict) -> bool:
        """Return whether a learner has caught up, on its disk, and answers."""
        if member["votes"] or not member["life"]:
            return False
        if self.progress.match_index.get(name, 0) < self.first_index:
            return False
        span = 2 * LEARNER_HEARTBEATS_PER_LEASE * self.core.state.heartbeat_us
        return self.core.clock.now - self.echoed_at.get(name, 0) < span

    def _send_heartbeats(self, majority_heard_at: int) -> None:
        state = self.core.state
        if state.fan_out:
            names = self.direct_members.names()
        else:
            names = {*state.members(), *(departed["name"] for departed in state.departed())}
        self.heartbeats.send_due(names, majority_heard_at if self._knows_all_committed() else None)

    def successor(self) -> str | None:
        """Return the voter that is to lead next: it has all of the log, and was heard last."""
        state, match_index = self.core.state, self.progress.match_index
        ready = [
            name
            for name in state.voters()
            if name != state.name and match_index.get(name, 0) == state.log.last_index
        ]
        return max(ready, key=lambda name: (self.echoed_at.get(name, 0), name), default=None)

    def wake_at(self) -> int:
        """Return when the leader has something to do."""
        now, lease = self.core.clock.now, self.parts.lease
        times = [*self.progress.heartbeat_at.values(), now + self.core.state.heartbeat_us]
        if lease.in_force_index < self.core.state.commit_index:
            times.append(lease.in_force_by)
        # What is due already has been looked at in this very step.
        return max(now + SOON_US, min(times))
