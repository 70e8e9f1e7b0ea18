"""Messages of the leader: AppendEntries with leases, or a snapshot for a member behind the leader's log."""

from mastledge.consensus.core import Core
from mastledge.consensus.latest_restrictions import LatestRestrictions
from mastledge.consensus.lease_holder import LeaseHolder
from mastledge.consensus.leases import GrantedLeases
from mastledge.consensus.messages import AppendEntries, InstallSnapshot, WorkerRestrictions
from mastledge.consensus.observed_state import Observation, ObservedState
from mastledge.consensus.replication_progress import ReplicationProgress
from mastledge.consensus.restriction_sharing import RestrictionSharing
from mastledge.consensus.timing import HEARTBEATS_PER_LEASE, LEARNER_HEARTBEATS_PER_LEASE, SOON_US

# Heartbeats to a voter for each heartbeat to a learner.
HEARTBEATS_TO_LEARNER = HEARTBEATS_PER_LEASE // LEARNER_HEARTBEATS_PER_LEASE


class HeartbeatContents:
    """The contents of heartbeats besides log entries: leases, observations and worker restrictions."""

    def __init__(
        self,
        leases: GrantedLeases,
        lease: LeaseHolder,
        observed_state: ObservedState,
        restriction_sharing: RestrictionSharing,
    ):
        """Initialize with no restrictions to share."""
        self.leases, self.lease, self.observed_state, self.restriction_sharing = (
            leases,
            lease,
            observed_state,
            restriction_sharing,
        )
        self.latest_restrictions = LatestRestrictions()

    def restrictions_for(self, name: str, now: int) -> list[WorkerRestrictions]:
        """Return the restrictions to include in the next message to a member."""
        if self.restriction_sharing.state.fan_out:
            return self.restriction_sharing.lists.restrictions_for(name)
        return self.latest_restrictions.current(now)

    def observations_of(self, members: dict[str, dict]) -> dict[str, Observation]:
        """Return the observations of the voters, which the next leader needs."""
        observations = self.observed_state.observations
        return {
            name: observation
            for name, observation in observations.items()
            if name in members and members[name]["votes"]
        }


class Heartbeats:
    """Sends a heartbeat to each member when one is due."""

    def __init__(self, core: Core, progress: ReplicationProgress, contents: HeartbeatContents):
        """Initialize with a heartbeat due to every member."""
        self.core, self.progress, self.contents = core, progress, contents

    def send_due(self, names: set[str], granted_at: int | None) -> None:
        """Send the heartbeats that are due to the members in `names`, and forget all other members.

        Leases are granted as of `granted_at`, when a majority was last heard; None grants no leases.
        """
        state, progress, now = self.core.state, self.progress, self.core.clock.now
        members = state.members()
        observations = self.contents.observations_of(members)
        progress.forget_others(names)
        for name in sorted(names - {state.name}):
            if progress.heartbeat_at.get(name, 0) > now:
                continue
            is_voter = name in members and members[name]["votes"]
            heartbeats = 1 if is_voter else HEARTBEATS_TO_LEARNER
            progress.schedule(name, now + state.heartbeat_us * heartbeats)
            if name in members or not self.contents.leases.has_expired(name, now):
                self._send_to(name, is_voter, granted_at, observations if is_voter else {})

    def _send_to(
        self, name: str, is_voter: bool, granted_at: int | None, observations: dict[str, Observation]
    ) -> None:
        log, progress = self.core.state.log, self.progress
        initial_index = (log.last_index if is_voter else self.core.state.commit_index) + 1
        next_index = progress.next_index.get(name, initial_index)
        if next_index <= log.base_index:
            self._send_snapshot(name)
            return
        message = self._append_entries(name, next_index, granted_at, observations)
        self.core.outbox.send(name, message)
        progress.on_sent(name, next_index + len(message.entries))
        if progress.next_index[name] <= log.last_index:
            progress.schedule(name, self.core.clock.now + SOON_US)

    def _send_snapshot(self, name: str) -> None:
        state, log = self.core.state, self.core.state.log
        snapshot = log.base_index, log.base_term, state.snapshot_state
        self.core.outbox.send(name, InstallSnapshot(state.term, *snapshot, self.core.clock.now))
        self.progress.on_sent(name, log.base_index + 1)

    def _append_entries(
        self, name: str, next_index: int, granted_at: int | None, observations: dict[str, Observation]
    ) -> AppendEntries:
        state, lease, now = self.core.state, self.contents.lease, self.core.clock.now
        return AppendEntries(
            term=state.term,
            prev_index=next_index - 1,
            prev_term=state.log.term_at(next_index - 1) or 0,
            entries=state.log.entries_after(next_index - 1),
            commit_index=state.commit_index,
            sent_at=now,
            lease_grant=self._grant(name, granted_at),
            in_force_index=lease.in_force_index,
            in_force_in_us=max(0, lease.in_force_by - now),
            observed=observations,
            restrictions=self.contents.restrictions_for(name, now),
            list_generations=self.contents.restriction_sharing.generations(),
        )

    def _grant(self, name: str, granted_at: int | None) -> int:
        """Return the start of a member's lease by the member's clock; 0 for none.

        The grant is safe only in a message that also carries the commit index.
        """
        state = self.core.state
        if granted_at is None or name not in state.state_machine.members:
            return 0
        return self.contents.leases.grant(name, granted_at, state.commit_index)
