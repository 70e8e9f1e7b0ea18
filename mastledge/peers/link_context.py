"""What both directions of links share: the host that they serve, counters, and a log that limits itself."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from mastledge.peers.descriptor_budget import DescriptorBudget
from mastledge.transport.loop import Loop

DESCRIPTOR_KIND = "peers"
LOG_INTERVAL_US = 60_000_000  # between two lines of the same event


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """Who a dispatcher says that it is; `fleet` is empty while it belongs to none."""

    fleet: str
    name: str
    incarnation: str


class LinkHost(Protocol):
    """What links need of the dispatcher that they serve."""

    def link_identity(self) -> LinkIdentity:
        """Give the identity of now; links that have told another one are closed."""

    def member_address(self, name: str) -> tuple[str, int] | None:
        """Give where a member listens for links, or None where it is no member."""

    def frame_received(self, sender: str, incarnation: str, content: bytes) -> None:
        """Take a frame; `ValueError` for one that cannot be read closes its link."""


@dataclass(slots=True)
class LinkCounters:
    """Frames and bytes of content since the links were made; hellos and acknowledgements do not count."""

    frames_sent: int = 0
    frames_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    frames_dropped: int = 0


class RateLimitedLog:
    """Writes a line a minute at the most for each event: strangers must not fill the log."""

    def __init__(self, loop: Loop, log: Callable[..., None]) -> None:
        """`log` takes an event and its fields."""
        self.loop, self.log = loop, log
        self.written: dict[str, tuple[int, int]] = {}  # by event, when it was last, and how many came since

    def write(self, event: str, **fields: Any) -> None:
        """Log the event, or count it; the next line tells the count as `more`."""
        now = self.loop.now()
        written_at, suppressed = self.written.get(event, (None, 0))
        if written_at is not None and now - written_at < LOG_INTERVAL_US:
            self.written[event] = written_at, suppressed + 1
            return
        if suppressed:
            fields["more"] = suppressed
        self.log(event, **fields)
        self.written[event] = now, 0


@dataclass(frozen=True, slots=True)
class LinkContext:
    """Handed to each part of the links of one dispatcher."""

    loop: Loop
    host: LinkHost
    budget: DescriptorBudget
    counters: LinkCounters
    log: RateLimitedLog
    seed: int  # of the backoff's jitter
