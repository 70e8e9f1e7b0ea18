"""Restrictions of workers that members tell one another, on their way to the host."""

from mastledge.consensus.messages import WorkerRestrictions
from mastledge.consensus.outbox import Outbox
from mastledge.consensus.raft_state import RaftState
from mastledge.consensus.worker_restrictions import ListExchange


class RestrictionSharing:
    """With relays, what each member knows of each list goes with the heartbeats, whichever way it is new."""

    def __init__(self, state: RaftState, outbox: Outbox):
        """Begin without lists."""
        self.state, self.outbox = state, outbox
        self.lists = ListExchange()

    def deliver(self, restrictions: WorkerRestrictions) -> None:
        """Take over what another member tells; the host hears what is new to it."""
        new = self.lists.receive(restrictions) if self.state.fan_out else restrictions
        if new is not None:
            self.outbox.deliver_restrictions(new)

    def generations(self) -> dict[str, int]:
        """Return up to which generation each list is known here, where that is told at all."""
        return self.lists.generations() if self.state.fan_out else {}

    def answer_report(self, name: str, generations: dict[str, int]) -> None:
        """The sender of a heartbeat is told what it could have heard the last time and has not."""
        self.lists.record_report(name, generations)
        for restrictions in self.lists.restrictions_for(name):
            self.outbox.send(name, restrictions)
