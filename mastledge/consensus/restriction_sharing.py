"""Exchange of worker restrictions between members, and their delivery to the host."""

from mastledge.consensus.messages import WorkerRestrictions
from mastledge.consensus.outbox import Outbox
from mastledge.consensus.raft_state import RaftState
from mastledge.consensus.worker_restrictions import ListExchange


class RestrictionSharing:
    """Shares worker restrictions; with relays, heartbeats and responses carry the known list generations."""

    def __init__(self, state: RaftState, outbox: Outbox):
        """Initialize without lists."""
        self.state, self.outbox = state, outbox
        self.lists = ListExchange()

    def deliver(self, restrictions: WorkerRestrictions) -> None:
        """Apply restrictions from another member and deliver the new ones to the host."""
        new = self.lists.receive(restrictions) if self.state.fan_out else restrictions
        if new is not None:
            self.outbox.deliver_restrictions(new)

    def generations(self) -> dict[str, int]:
        """Return the known generation of each list; empty without relays, where generations are not sent."""
        return self.lists.generations() if self.state.fan_out else {}

    def answer_report(self, name: str, generations: dict[str, int]) -> None:
        """Record the generations that a peer reported, and send it the restrictions that it still lacks."""
        self.lists.record_report(name, generations)
        for restrictions in self.lists.restrictions_for(name):
            self.outbox.send(name, restrictions)
