"""The leader: appends changes, replicates them, and tracks which entries are committed and in force."""

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
from mastledge.consensus.membership import MAX_DEPARTED, target_voter_count
from mastledge.consensus.messages import AppendResponse, Entry, Propose, WorkerRestrictions
from mastledge.consensus.observed_state import Observation, ObservedState
from mastledge.consensus.relay_children import RelayChildren
from mastledge.consensus.relay_choice import RelayChoice
from mastledge.consensus.replication_progress import ReplicationProgress
from mastledge.consensus.restriction_sharing import RestrictionSharing
from mastledge.consensus.timing import LEARNER_HEARTBEATS_PER_LEASE, LOST_AFTER_HEARTBEATS, SOON_US

MAX_WAITING_CHANGES = 64  # membership changes that wait for the previous one
MAX_LOGGED_KIND = 40  # characters of the kind of an invalid change


@dataclass(frozen=True, slots=True)
class LeaderParts:
    """The parts of a member that a leader uses."""

    applier: Applier
    relay_children: RelayChildren
    relay_choice: RelayChoice
    elections: Elections
    lease: LeaseHolder
    observed_state: ObservedState
    restriction_sharing: RestrictionSharing


class Leadership:
    """The state of a leader; it exists only while the member leads."""

    direct_members_type = DirectMembers
    in_force_type = InForceTracker

    def __init__(self, core: Core, parts: LeaderParts):
        """Initialize for the term that was won, without information about other members."""
        self.core, self.parts = core, parts
        state, self.elected_at = core.state, core.clock.now
        self.leases = GrantedLeases(state.lease_us, self.elected_at)
        self.progress = ReplicationProgress(state)
        contents = HeartbeatContents(
            self.leases, parts.lease, parts.observed_state, parts.restriction_sharing
        )
        self.heartbeats = Heartbeats(core, self.progress, contents)
        self.latest_restrictions = contents.latest_restrictions
        self.direct_members = self.direct_members_type(core, self.leases, parts.relay_choice.tree)
        self.in_force = self.in_force_type(core, self.leases, parts.relay_children)
        self.echoed_at: dict[str, int] = {}  # the latest time of this leader that each member has sent back
        self.process_ids: dict[str, int] = {}  # by member; 0: its version does not support relays
        self.waiting_changes: list[Propose] = []  # membership changes
        self.last_fan_out = state.fan_out
        self.term_start_index = 0  # index of the first entry of this term

    def begin(self, proposals: dict[str, dict]) -> None:
        """Start the term by appending a no-op and this member's pending proposals, {id: change}."""
        state = self.core.state
        # Former relay children get messages from this leader until they have found another relay.
        for name in self.parts.relay_children.drop_all():
            self.direct_members.contact_directly(name)
        self.parts.relay_choice.leave()
        self.core.outbox.log_event("became_leader", term=state.term, last=state.log.last_index)
        self._append(Entry(state.term, "", noop()))
        self.term_start_index = state.log.last_index
        for id, change in proposals.items():
            self.take(id, change)

    # Changes

    def take(self, id: str, change: dict) -> None:
        """Append a change to the log, once per id; a membership change waits for the one before it."""
        if not is_valid(change):
            kind = str(change.get("kind"))[:MAX_LOGGED_KIND]
            self.core.outbox.log_event("invalid_change", id=id, kind=kind)
            return
        if self._is_known(id):
            return
        kind = change["kind"]
        if kind == ChangeKind.FAN_OUT and (older_members := self.members_without_relays()):
            self.core.outbox.log_event("relays_refused", members=older_members)
            return
        if kind in MEMBERSHIP_KINDS and not (
            self.can_change_membership() and self._may_remove_member(change)
        ):
            self._queue_change(id, change)
            return
        self._append(Entry(self.core.state.term, id, change))

    def _is_known(self, id: str) -> bool:
        state = self.core.state
        uncommitted = state.log.all_after(state.state_machine.applied_index)
        return any(entry.id == id for entry in uncommitted) or id in state.state_machine.results

    def _queue_change(self, id: str, change: dict) -> None:
        is_waiting = any(waiting.id == id for waiting in self.waiting_changes)
        if len(self.waiting_changes) < MAX_WAITING_CHANGES and not is_waiting:
            self.waiting_changes.append(Propose(id, change))

    def _append(self, entry: Entry) -> None:
        self.core.state.append(entry)
        self.progress.schedule_all_now()

    def can_change_membership(self) -> bool:
        """Return whether the membership may change (Ongaro 2014, 4.1, and its erratum).

        An entry of this term must be committed, and no membership change may be uncommitted.
        """
        state = self.core.state
        uncommitted = state.log.all_after(state.commit_index)
        is_changing = any(entry.change["kind"] in MEMBERSHIP_KINDS for entry in uncommitted)
        return self._knows_all_committed() and not is_changing

    def _may_remove_member(self, change: dict) -> bool:
        """Return False for a removal that would drop a departed member that may still hold a lease."""
        if change["kind"] != ChangeKind.REMOVE_MEMBER:
            return True
        departed = self.core.state.departed_members()
        if len(departed) < MAX_DEPARTED:
            return True
        return self.leases.has_expired(departed[0]["name"], self.core.clock.now)

    def members_without_relays(self) -> list[str]:
        """Return the members that do not support relays or have not yet answered this leader."""
        state = self.core.state
        return sorted(
            name for name in state.members() if name != state.name and not self.process_ids.get(name)
        )

    def propose_new_incarnation(self, name: str, incarnation: str) -> None:
        """Propose a member's new incarnation, which is not bound by votes and responses of the former one."""
        if self.can_change_membership():
            id = f"life {name} {incarnation} {self.core.state.log.last_index}"
            self.take(id, new_incarnation(name, incarnation))

    def contact_directly(self, name: str) -> None:
        """Send messages directly to a follower that has no relay or does not support relays."""
        if self.core.state.fan_out:
            self.direct_members.contact_directly(name)
            self.progress.schedule(name, 0)

    # Messages from members

    def on_append_response(self, sender: str, incarnation: str, response: AppendResponse) -> None:
        """Record a member's persisted and applied entries and its clock."""
        state, now = self.core.state, self.core.clock.now
        is_current_term = response.term == state.term
        if not is_current_term and not state.fan_out:
            return
        if not state.has_member(sender, incarnation):
            if sender in state.members():
                # The member has a new incarnation; its responses are ignored until that is admitted.
                self.propose_new_incarnation(sender, incarnation)
                return
            if all(departed["name"] != sender for departed in state.departed_members()):
                return
        if not response.process_id or (sender not in self.leases.holders and state.is_learner(sender)):
            self.contact_directly(sender)  # an older version gets messages from the leader only
        if not is_current_term:
            return
        self._record_response(sender, incarnation, response)
        applied, process_id = response.applied_index, response.process_id
        self.leases.record_report(sender, now, response.clock, applied, process_id)

    def _record_response(self, sender: str, incarnation: str, response: AppendResponse) -> None:
        self.parts.restriction_sharing.lists.record_report(sender, response.list_generations)
        self.process_ids[sender] = response.process_id
        self.echoed_at[sender] = max(self.echoed_at.get(sender, 0), response.sent_at)
        if not response.success:
            self.progress.on_refusal(sender, response)
            return
        position = response.persisted_term, response.persisted_index
        self.parts.observed_state.record(sender, Observation(incarnation, 0, *position))
        self.progress.on_success(sender, response)

    def on_restrictions(self, restrictions: WorkerRestrictions) -> None:
        """Forward one member's worker restrictions to all members, when there are no relays."""
        if self.latest_restrictions.record(restrictions, self.core.clock.now):
            self.core.outbox.deliver_restrictions(restrictions)
            self.progress.schedule_all_now()

    # Work after each input

    def run(self) -> None:
        """Commit, update the in-force index and send due heartbeats.

        Step down if the majority is lost, an entry cannot be applied, or this member has been removed.
        """
        state, roles = self.core.state, self.core.roles
        self.progress.on_persisted(state.name, self.core.persistence.persisted_index)
        self.echoed_at[state.name] = self.core.clock.now
        majority_heard_at = state.majority_value(self.echoed_at)
        if self._has_lost_majority(majority_heard_at):
            # A majority may have another leader by now: clients must not take this member for the leader.
            roles.step_down()
            self.parts.elections.restart_timeout()
            return
        self._commit()
        if self.parts.applier.halt_reason:
            roles.step_down()
            return
        if state.name not in state.members() and state.commit_index >= state.log.last_index:
            self.core.outbox.log_event("left", term=state.term)
            self.progress.schedule_all_now()
            self._send_heartbeats(majority_heard_at)
            roles.step_down()
            return
        self._handle_fan_out_change()
        self._extend_lease(majority_heard_at)
        self.update_in_force()
        if self.waiting_changes and self.can_change_membership():
            next_change = self.waiting_changes.pop(0)
            self.take(next_change.id, next_change.change)
        self.promote_learner()
        self._send_heartbeats(majority_heard_at)

    def _has_lost_majority(self, majority_heard_at: int) -> bool:
        now, timeout_us = self.core.clock.now, LOST_AFTER_HEARTBEATS * self.core.state.heartbeat_us
        return majority_heard_at < now - timeout_us and now > self.elected_at + timeout_us

    def _commit(self) -> None:
        """Commit entries that a majority has on disk, if the last is of this term (Ongaro 2014, 3.6.2)."""
        state = self.core.state
        index = state.majority_value(self.progress.match_index)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            self.parts.applier.advance_to(index)
            self.progress.schedule_all_now()

    def _handle_fan_out_change(self) -> None:
        """When the fan-out changes, send to each member directly until the relays have taken over."""
        state = self.core.state
        if state.fan_out != self.last_fan_out:
            self.last_fan_out = state.fan_out
            for name in state.members():
                self.contact_directly(name)

    def _extend_lease(self, majority_heard_at: int) -> None:
        """Extend the leader's own lease, once all committed entries are known."""
        state = self.core.state
        if majority_heard_at > 0 and state.is_admitted() and self._knows_all_committed():
            self.parts.lease.extend(majority_heard_at, state.lease_us)

    def _knows_all_committed(self) -> bool:
        """Return whether an entry of this term is committed, and with it all entries before."""
        return self.core.state.commit_index >= self.term_start_index

    def update_in_force(self) -> None:
        """Update the index up to which the state is in force."""
        lease, fan_out = self.parts.lease, self.core.state.fan_out
        if fan_out:
            reached = self.in_force.compute_with_relays(lease.in_force_index)
        else:
            reached = self.in_force.compute_without_relays()
        if reached.index > lease.in_force_index and not fan_out:
            self.progress.schedule_all_now()  # with relays the next heartbeat has it: nobody acts on it
        lease.record_in_force(reached.index, reached.all_in_force_at)

    def promote_learner(self) -> None:
        """Make a caught-up learner a voter, if there are fewer voters than wanted."""
        state = self.core.state
        members = state.members()
        if len(state.voters()) >= target_voter_count(len(members)) or not self.can_change_membership():
            return
        for name, member in sorted(members.items()):
            if name != state.name and self._is_ready_to_vote(name, member):
                incarnation = member["life"]
                id = f"vote {name} {incarnation} {state.term}.{state.log.last_index}"
                self.take(id, grant_vote(name, incarnation))
                return

    def _is_ready_to_vote(self, name: str, member: dict) -> bool:
        """Return whether a learner answers and has this term's first entry on disk."""
        if member["votes"] or not member["life"]:
            return False
        if self.progress.match_index.get(name, 0) < self.term_start_index:
            return False
        timeout_us = 2 * LEARNER_HEARTBEATS_PER_LEASE * self.core.state.heartbeat_us
        return self.core.clock.now - self.echoed_at.get(name, 0) < timeout_us

    def _send_heartbeats(self, majority_heard_at: int) -> None:
        state = self.core.state
        if state.fan_out:
            names = self.direct_members.names()
        else:
            names = {*state.members(), *(departed["name"] for departed in state.departed_members())}
        self.heartbeats.send_due(names, majority_heard_at if self._knows_all_committed() else None)

    def successor(self) -> str | None:
        """Return the voter heard last among those with the whole log; None if there is none."""
        state, match_index = self.core.state, self.progress.match_index
        candidates = [
            name
            for name in state.voters()
            if name != state.name and match_index.get(name, 0) == state.log.last_index
        ]
        return max(candidates, key=lambda name: (self.echoed_at.get(name, 0), name), default=None)

    def wake_at(self) -> int:
        """Return the time at which `run` must be called again."""
        now, lease = self.core.clock.now, self.parts.lease
        times = [*self.progress.heartbeat_at.values(), now + self.core.state.heartbeat_us]
        if lease.in_force_index < self.core.state.commit_index:
            times.append(lease.in_force_by)
        # Work already due was done in this step; waking at once would loop without a pause.
        return max(now + SOON_US, min(times))
