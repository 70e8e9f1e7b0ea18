"""The members that use this member as their relay. docs/consensus.md has the design and the proof.

- A grant is a reading of the receiver's clock after which a majority has heard from the leader. A relay with
  such a grant may grant to a child the latest clock reading that the child reported before it. A lease that
  passed through any number of relays is therefore as safe as one granted by the leader.
- A relay reports as applied the lowest index among its own and those of the children that may hold a lease
  from it (`covered_index`). The leader therefore counts a change as in force once all direct and indirect
  lease holders have applied it or hold no lease granted before it.
- A new process of a relay does not know which leases the previous process granted, and reports index 0 until
  those leases have expired.
"""

from dataclasses import dataclass

from mastledge.consensus.core import Core
from mastledge.consensus.lease_holder import LeaseHolder
from mastledge.consensus.leases import GrantedLeases, longest_lease_us
from mastledge.consensus.messages import AppendEntries, AppendResponse, InstallSnapshot
from mastledge.consensus.restriction_sharing import RestrictionSharing
from mastledge.consensus.timing import LOST_AFTER_HEARTBEATS, SOON_US

MAX_CHILDREN_PER_FAN_OUT = 4  # times the fan-out: room for the children of relays that are down
MIN_PAUSE_QUARTER_HEARTBEATS = 3  # minimum interval between messages to one child
CHILD_HEARTBEATS = 2  # leader heartbeats between messages to a child when nothing is new


@dataclass(slots=True)
class Child:
    """A follower that uses this member as its relay: the next entry to send, and message times."""

    next_index: int
    heard_at: int
    due_at: int = 0
    sent_at: int = 0
    resent_message_time: int = 0  # leader's time of the latest message that was resent after a refusal


class RelayChildren:
    """Forwards committed entries to relay children, with leases based on the lease granted to this member."""

    def __init__(self, core: Core, lease: LeaseHolder, restriction_sharing: RestrictionSharing):
        """Initialize without children."""
        self.core, self.lease, self.restriction_sharing = core, lease, restriction_sharing
        self.children: dict[str, Child] = {}
        self.granted: GrantedLeases | None = None  # leases granted to children

    def drop_all(self) -> list[str]:
        """Drop all children and return their names; leases granted to them still count in `covered_index`."""
        names = list(self.children)
        self.children = {}
        return names

    def covered_index(self) -> int:
        """Return the index of the oldest state that this member or a child with a lease may act on.

        0 without a fleet, and while leases that the previous process granted may still be valid.
        """
        state_machine, now = self.core.state.state_machine, self.core.clock.now
        if state_machine is None:
            return 0
        applied = state_machine.applied_index
        if self.lease.standby_index is not None:
            applied = min(applied, self.lease.standby_index)
        if "fan_out" not in state_machine.state:
            return applied
        if now < self.core.clock.started_at + longest_lease_us(self.core.state.lease_us):
            return 0  # the previous process may have granted leases that are unknown here
        return applied if self.granted is None else self._covered_by_children(applied, now)

    def _covered_by_children(self, applied: int, now: int) -> int:
        for name in list(self.granted.holders):
            covered = self.granted.covered_index(name, now)
            if covered is not None:
                applied = min(applied, covered)
            elif name not in self.children:
                del self.granted.holders[name]
        return applied

    def on_response(self, sender: str, incarnation: str, response: AppendResponse) -> None:
        """Handle a response from a follower that uses, or wants to use, this member as its relay."""
        state = self.core.state
        if not state.fan_out or not state.has_member(sender, incarnation) or not state.is_learner(sender):
            return
        child = self._child(sender, response)
        if child is None:
            return
        now = child.heard_at = self.core.clock.now
        if self.granted is None:
            self.granted = GrantedLeases(state.lease_us, self.core.clock.started_at)
        self.granted.record_report(sender, now, response.clock, response.applied_index, response.process_id)
        self.restriction_sharing.lists.record_report(sender, response.list_generations)
        if response.success:
            persisted = min(response.persisted_index, state.commit_index)
            child.next_index = max(child.next_index, persisted + 1)
            return
        child.next_index = max(1, min(response.commit_index, state.commit_index) + 1)
        if not response.sent_at or child.resent_message_time != response.sent_at:
            child.resent_message_time, child.due_at = response.sent_at, 0

    def _child(self, name: str, response: AppendResponse) -> Child | None:
        """Return the child of this name, added if there is room; None if there is no room."""
        if name not in self.children:
            if len(self.children) >= MAX_CHILDREN_PER_FAN_OUT * self.core.state.fan_out:
                return None
            self.children[name] = Child(response.commit_index + 1, self.core.clock.now)
        return self.children[name]

    def schedule_soon(self) -> None:
        """Send to all children soon, as there is something new for them."""
        pause = self.core.state.heartbeat_us * MIN_PAUSE_QUARTER_HEARTBEATS // 4
        for child in self.children.values():
            child.due_at = min(child.due_at, child.sent_at + pause)

    def run(self) -> None:
        """Send to the children whose messages are due."""
        state, roles, now = self.core.state, self.core.roles, self.core.clock.now
        if not state.fan_out or not roles.is_follower() or not roles.leader:
            return
        self._drop_silent()
        for name, child in self.children.items():
            if child.due_at <= now:
                child.sent_at, child.due_at = now, now + CHILD_HEARTBEATS * state.heartbeat_us
                self.send_to(name, child)

    def _drop_silent(self) -> None:
        state, now = self.core.state, self.core.clock.now
        silence = LOST_AFTER_HEARTBEATS * state.heartbeat_us
        for name, child in list(self.children.items()):
            if now > child.heard_at + silence or not state.is_learner(name):
                del self.children[name]
                self.restriction_sharing.lists.forget(name)

    def send_to(self, name: str, child: Child) -> None:
        """Send a child the committed entries that it lacks, or a snapshot; nothing uncommitted is relayed."""
        state, now = self.core.state, self.core.clock.now
        if child.next_index <= state.log.base_index:
            self._send_snapshot(name, child)
            return
        child.next_index = min(child.next_index, state.commit_index + 1)
        previous = child.next_index - 1
        entries = state.log.entries_after(previous)[: state.commit_index - previous]
        message = AppendEntries(
            term=state.term,
            prev_index=previous,
            prev_term=state.log.term_at(previous) or 0,
            entries=entries,
            commit_index=state.commit_index,
            sent_at=self.core.roles.leader_contact.leader_time,
            lease_grant=self._grant(name),
            in_force_index=self.lease.in_force_index,
            in_force_in_us=max(0, self.lease.in_force_by - now),
            restrictions=self.restriction_sharing.lists.restrictions_for(name),
            leader=self.core.roles.leader,
            list_generations=self.restriction_sharing.lists.generations(),
        )
        self.core.outbox.send(name, message)
        child.next_index += len(entries)
        if child.next_index <= state.commit_index:
            child.due_at = now + SOON_US

    def _grant(self, name: str) -> int:
        """Return the start of a child's lease by its clock, limited by this member's grant; 0 for none."""
        state = self.core.state
        if name not in state.state_machine.members or not state.is_admitted():
            return 0
        return self.granted.grant(name, self.lease.latest_grant, state.state_machine.applied_index)

    def _send_snapshot(self, name: str, child: Child) -> None:
        state, roles = self.core.state, self.core.roles
        snapshot = state.log.base_index, state.log.base_term, state.snapshot_state
        message = InstallSnapshot(state.term, *snapshot, roles.leader_contact.leader_time, roles.leader)
        self.core.outbox.send(name, message)
        child.next_index = state.log.base_index + 1

    def wake_times(self) -> list[int]:
        """Return the times at which messages to children are due."""
        soonest = self.core.clock.now + SOON_US
        return [max(soonest, child.due_at) for child in self.children.values()]
