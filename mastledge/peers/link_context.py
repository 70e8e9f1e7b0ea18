"""State shared by links of both directions: their dispatcher, counters and a rate-limited log."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from mastledge.peers.descriptor_budget import DescriptorBudget
from mastledge.transport.loop import Loop

DESCRIPTOR_KIND = "peers"
LOG_INTERVAL_US = 60_000_000  # between two lines of the same event


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """The identity that a dispatcher sends in its hello; `fleet` is empty without a fleet."""

    fleet: str
    name: str
    incarnation: str


class LinkHost(Protocol):
    """The interface of the dispatcher that owns the links."""

    def link_identity(self) -> LinkIdentity:
        """Return the current identity; links whose hello had another identity are closed."""

    def member_address(self, name: str) -> tuple[str, int] | None:
        """Return the address at which a member listens for links, or None for a name that is not a member."""

    def frame_received(self, sender: str, incarnation: str, content: bytes) -> None:
        """Handle a frame; raise ValueError if it cannot be decoded, which closes its link."""


@dataclass(slots=True)
class LinkCounters:
    """Counts since the links were created, without hellos and acknowledgements.

    `bytes_sent` includes the length in front of each frame, `bytes_received` does not.
    """

    frames_sent: int = 0
    frames_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    frames_dropped: int = 0


class RateLimitedLog:
    """Writes at most one line a minute for each event, so that unknown peers cannot fill the log."""

    def __init__(self, loop: Loop, log: Callable[..., None]) -> None:
        """Create a log that writes with `log(event, **fields)`."""
        self.loop, self.log = loop, log
        self.written: dict[str, tuple[int, int]] = {}  # by event: time of the last line, events since

    def write(self, event: str, **fields: Any) -> None:
        """Log the event, or count it; the next line has the count as `more`."""
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
    """Holds the objects that all parts of one dispatcher's links use."""

    loop: Loop
    host: LinkHost
    budget: DescriptorBudget
    counters: LinkCounters
    log: RateLimitedLog
    seed: int  # for the jitter of the backoff
