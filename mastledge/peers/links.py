"""All links of one dispatcher: frames to other dispatchers by name, and frames from them.

A link is opened by who has something to say and carries frames one way.
"""

from collections.abc import Callable

from mastledge.peers.descriptor_budget import DescriptorBudget
from mastledge.peers.link_context import LinkContext, LinkCounters, LinkHost, RateLimitedLog
from mastledge.peers.link_listener import LinkListener
from mastledge.peers.outgoing_link import OutgoingLink
from mastledge.transport.loop import Loop

FLUSH_ROUNDS = 2  # the second for what the socket had no room for in the first


class Links:
    """Sends frames to other dispatchers and listens for theirs. Frames may be lost, and are in order."""

    def __init__(self, loop: Loop, host: LinkHost, members: int, seed: int, log: Callable[..., None]) -> None:
        """Links for a fleet of so many members; `seed` is of the jitter between two attempts to connect."""
        self.loop, self.host = loop, host
        self.counters = LinkCounters()
        self.log = RateLimitedLog(loop, log)
        self.budget = DescriptorBudget(members)
        self.context = LinkContext(loop, host, self.budget, self.counters, self.log, seed)
        self.listener = LinkListener(self.context)
        self.outgoing: dict[str, OutgoingLink] = {}

    def start(self, address: tuple[str, int]) -> None:
        """Listen for other dispatchers at that address; `OSError` where it cannot be had."""
        self.listener.start(address)

    def send(self, name: str, content: bytes) -> None:
        """Send a frame to the member of that name, without waiting for it to arrive."""
        link = self.outgoing.get(name)
        if link is None:
            link = self.outgoing[name] = OutgoingLink(self.context, name)
        link.send(content)

    def flush(self) -> None:
        """Send what can be sent without waiting, over links that are up."""
        for _ in range(FLUSH_ROUNDS):
            for link in self.outgoing.values():
                link.flush()

    def resize(self, members: int) -> None:
        """Make room for links with so many members."""
        self.budget.grow(members)

    def close(self) -> None:
        """Nothing is heard or said from here on."""
        self.listener.close()
        for link in self.outgoing.values():
            link.close()
        self.outgoing.clear()
