"""Handles messages from the leader: entries, snapshots, the commit index and lease grants."""

from dataclasses import dataclass

from mastledge.consensus.acknowledgements import Acknowledgements
from mastledge.consensus.applier import Applier
from mastledge.consensus.bootstrap import Bootstrap
from mastledge.consensus.core import Core
from mastledge.consensus.elections import Elections
from mastledge.consensus.lease_holder import LeaseHolder
from mastledge.consensus.messages import AppendEntries, InstallSnapshot
from mastledge.consensus.observed_state import Observation, ObservedState
from mastledge.consensus.relay_children import RelayChildren
from mastledge.consensus.relay_choice import RelayChoice
from mastledge.consensus.restriction_sharing import RestrictionSharing


@dataclass(frozen=True, slots=True)
class FollowerParts:
    """The parts of a member that process the leader's messages."""

    acknowledgements: Acknowledgements
    applier: Applier
    bootstrap: Bootstrap
    relay_children: RelayChildren
    relay_choice: RelayChoice
    elections: Elections
    lease: LeaseHolder
    observed_state: ObservedState
    restriction_sharing: RestrictionSharing


class Follower:
    """Follows a leader whose messages arrive directly or through a relay."""

    def __init__(self, core: Core, parts: FollowerParts):
        """Initialize without a leader."""
        self.core, self.parts = core, parts

    def on_append_entries(self, sender: str, incarnation: str, append: AppendEntries) -> None:
        """Append the leader's entries, advance the commit index and accept the lease grant."""
        parts = self.parts
        if not self._accept_leader(sender, append):
            return
        for name, observed in append.observed.items():
            parts.observed_state.record(name, Observation(*observed))
        for restrictions in append.restrictions:
            parts.restriction_sharing.deliver(restrictions)
        if not self._follows_log(append):
            parts.acknowledgements.send(sender, False, append.sent_at)
            return
        self._append_entries(append)
        parts.applier.advance_to(min(append.commit_index, append.prev_index + len(append.entries)))
        self._accept_lease(append)
        if (
            parts.relay_choice.should_answer(sender, bool(append.leader))
            and not self.core.persistence.is_waiting()
        ):
            parts.acknowledgements.send(sender, True, append.sent_at)
        parts.relay_children.schedule_soon()

    def _accept_leader(self, sender: str, message: AppendEntries | InstallSnapshot) -> bool:
        """Follow the leader that a message is from; return whether the message is accepted.

        Messages of a past term, and relayed messages to a voter or to the leader itself, are not accepted.
        """
        state, roles = self.core.state, self.core.roles
        if message.term < state.term:
            self.parts.acknowledgements.send(sender, False, 0)
            return False
        leader = message.leader or sender
        if message.leader and (state.is_voter() or leader == state.name):
            return False  # voters take messages from the leader only
        if roles.leader != leader or message.term > state.term or not roles.is_follower():
            roles.become_follower(message.term, leader)
        roles.leader_contact.record(self.core.clock.now, message.sent_at, sender)
        self.parts.elections.restart_timeout()
        if message.leader:
            self.parts.relay_choice.on_relayed_message(sender, message.term, message.sent_at)
        if state.fan_out and isinstance(message, AppendEntries):
            self.parts.restriction_sharing.answer_report(sender, message.list_generations)
        return True

    def _follows_log(self, append: AppendEntries) -> bool:
        """Return whether the entries follow the local log (Ongaro 2014, 3.5)."""
        state, previous = self.core.state, append.prev_index
        if state.state_machine is None or previous > state.log.last_index:
            return False
        return previous < state.log.base_index or state.log.term_at(previous) == append.prev_term

    def _append_entries(self, append: AppendEntries) -> None:
        state = self.core.state
        for index, entry in enumerate(append.entries, append.prev_index + 1):
            if index <= state.log.base_index or state.log.term_at(index) == entry.term:
                continue
            if index <= state.log.last_index:
                state.truncate_from(index)
            state.append(entry)

    def _accept_lease(self, append: AppendEntries) -> None:
        state, lease, clock = self.core.state, self.parts.lease, self.core.clock
        in_force_index = min(append.in_force_index, state.commit_index)
        lease.record_in_force(in_force_index, clock.now + append.in_force_in_us)
        granted_from = clock.from_reading(append.lease_grant)
        is_of_this_process = clock.started_at <= granted_from <= clock.now
        # The lease is valid only once this member has applied all that was committed at the grant.
        if (
            is_of_this_process
            and append.commit_index <= state.state_machine.applied_index
            and state.is_admitted()
        ):
            lease.accept_grant(granted_from, state.lease_us)

    def on_install_snapshot(self, sender: str, incarnation: str, install: InstallSnapshot) -> None:
        """Install the leader's snapshot if it is ahead of the commit index."""
        state = self.core.state
        if not self._accept_leader(sender, install):
            return
        if install.last_index > state.commit_index:
            if not state.fleet and not self.parts.bootstrap.join_fleet_of(sender):
                return
            state.install_snapshot(install.last_index, install.last_term, install.state)
            self.core.outbox.log_event("snapshot_installed", last=install.last_index)
            self.parts.applier.report_results()
        if not self.core.persistence.is_waiting():
            self.parts.acknowledgements.send(sender, True, install.sent_at)
