"""All links of one dispatcher: send frames to other dispatchers by name, and receive theirs.

A link carries frames one way and is opened by the sender.
"""

from collections.abc import Callable

from mastledge.peers.descriptor_budget import DescriptorBudget
from mastledge.peers.link_context import LinkContext, LinkCounters, LinkHost, RateLimitedLog
from mastledge.peers.link_listener import LinkListener
from mastledge.peers.outgoing_link import OutgoingLink
from mastledge.transport.loop import Loop

FLUSH_ROUNDS = 2  # the second for frames that the socket had no room for in the first


class Links:
    """Sends frames to other dispatchers and listens for theirs. Frames arrive in order, but may be lost."""

    def __init__(self, loop: Loop, host: LinkHost, members: int, seed: int, log: Callable[..., None]) -> None:
        """Create links for a fleet of `members` members; `seed` sets the jitter of the connect backoff."""
        self.loop, self.host = loop, host
        self.counters = LinkCounters()
        self.log = RateLimitedLog(loop, log)
        self.budget = DescriptorBudget(members)
        self.context = LinkContext(loop, host, self.budget, self.counters, self.log, seed)
        self.listener = LinkListener(self.context)
        self.outgoing: dict[str, OutgoingLink] = {}

    def start(self, address: tuple[str, int]) -> None:
        """Listen for other dispatchers at that address; raise OSError if it cannot be bound."""
        self.listener.start(address)

    def send(self, name: str, content: bytes) -> None:
        """Send a frame to the member of that name, without waiting for it to arrive."""
        link = self.outgoing.get(name)
        if link is None:
            link = self.outgoing[name] = OutgoingLink(self.context, name)
        link.send(content)

    def flush(self) -> None:
        """Send the queued frames that can be sent without waiting, over links that are up."""
        for _ in range(FLUSH_ROUNDS):
            for link in self.outgoing.values():
                link.flush()

    def resize(self, members: int) -> None:
        """Raise the descriptor limit for links with `members` members."""
        self.budget.grow(members)

    def close(self) -> None:
        """Close all links and stop listening."""
        self.listener.close()
        for link in self.outgoing.values():
            link.close()
        self.outgoing.clear()
