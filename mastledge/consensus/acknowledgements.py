"""Answers to the leader, or to the relay that this member hears from."""

from mastledge.consensus.core import Core
from mastledge.consensus.messages import AppendResponse
from mastledge.consensus.relay_children import RelayChildren
from mastledge.consensus.restriction_sharing import RestrictionSharing


class Acknowledgements:
    """Tells what is on disk and applied here, and by all that hear from here."""

    def __init__(self, core: Core, children: RelayChildren, sharing: RestrictionSharing):
        """Begin with nothing acknowledged."""
        self.core, self.children, self.sharing = core, children, sharing
        self.acknowledged_index = 0  # what was on disk when that was last told

    def send(self, to: str, success: bool, sent_at: int) -> None:
        """Answer a message; `sent_at` is the leader's time that it carried, 0 where there is none."""
        state, clock, persisted = self.core.state, self.core.clock, self.core.persistence.persisted_index
        self.acknowledged_index = persisted
        response = AppendResponse(
            term=state.term,
            success=success,
            persisted_index=persisted,
            persisted_term=state.log.term_at(persisted) or 0,
            applied_index=self.children.covered_index(),
            sent_at=sent_at,
            clock=clock.reading(),
            # Up to what is committed it is the leader's log; after that it may not be.
            commit_index=state.commit_index if state.state_machine else 0,
            process_id=clock.process_id,
            list_generations=self.sharing.generations(),
        )
        self.core.outbox.send(to, response)

    def send_persisted(self) -> None:
        """Tell the leader at once what has come onto the disk since the last answer."""
        roles = self.core.roles
        if not roles.is_follower() or not roles.leader:
            return
        if self.acknowledged_index < self.core.persistence.persisted_index:
            self.send(roles.contact.sender or roles.leader, True, roles.contact.leader_time)
