"""Append responses to the leader, or to the relay that this member follows."""

from mastledge.consensus.core import Core
from mastledge.consensus.messages import AppendResponse
from mastledge.consensus.relay_children import RelayChildren
from mastledge.consensus.restriction_sharing import RestrictionSharing


class Acknowledgements:
    """Reports the persisted index of this member, and the index applied by it and its relay children."""

    def __init__(self, core: Core, relay_children: RelayChildren, restriction_sharing: RestrictionSharing):
        """Initialize with nothing acknowledged."""
        self.core, self.relay_children, self.restriction_sharing = core, relay_children, restriction_sharing
        self.acknowledged_index = 0  # persisted index in the latest response

    def send(self, to: str, success: bool, sent_at: int) -> None:
        """Answer a message; `sent_at` is the leader's time in that message, 0 if there is none."""
        state, clock, persisted = self.core.state, self.core.clock, self.core.persistence.persisted_index
        self.acknowledged_index = persisted
        response = AppendResponse(
            term=state.term,
            success=success,
            persisted_index=persisted,
            persisted_term=state.log.term_at(persisted) or 0,
            applied_index=self.relay_children.covered_index(),
            sent_at=sent_at,
            clock=clock.reading(),
            # Entries after the commit index may differ from the leader's log.
            commit_index=state.commit_index if state.state_machine else 0,
            process_id=clock.process_id,
            list_generations=self.restriction_sharing.generations(),
        )
        self.core.outbox.send(to, response)

    def send_persisted(self) -> None:
        """Acknowledge newly persisted entries without waiting for the next heartbeat."""
        roles = self.core.roles
        if not roles.is_follower() or not roles.leader:
            return
        if self.acknowledged_index < self.core.persistence.persisted_index:
            self.send(roles.leader_contact.sender or roles.leader, True, roles.leader_contact.leader_time)
