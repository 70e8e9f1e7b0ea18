"""Links between regions: each frame leaves after half of the round trip, in the order it was handed in."""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from mastledge.peers.links import Links


@dataclass(frozen=True, slots=True)
class DelayedFrame:
    """A frame that leaves for a member when the loop's clock is at `due_us`."""

    due_us: int
    to: str
    content: bytes


class DelayedLinks(Links):
    """As `Links`, with a delay to the members of other regions.

    The byte that acknowledges a frame is not delayed.
    """

    def __init__(self, *fields, regions: Mapping[str, int], round_trip_us: int) -> None:
        """`fields` are those of `Links`; `regions` are by the members' names."""
        super().__init__(*fields)
        self.regions = regions
        self.delay_us = round_trip_us // 2
        self.delayed_frames: deque[DelayedFrame] = deque()
        self.carrier = None  # the task that sends them, while there are any
        self.own_region: int | None = None

    def send(self, name: str, content: bytes) -> None:
        """Sends a frame at once within the region, and after the delay to another one."""
        if self.own_region is None:
            self.own_region = self.regions.get(self.host.link_identity().name)
        if not self.delay_us or self.regions.get(name) == self.own_region:
            super().send(name, content)
            return
        self.delayed_frames.append(DelayedFrame(self.loop.now() + self.delay_us, name, content))
        if self.carrier is None or self.carrier.ended:
            self.carrier = self.loop.spawn(self.send_delayed(), first=True)

    def send_delayed(self) -> Iterator[tuple[int, int, int]]:
        """The coroutine that sends each frame when it is due, until none is left."""
        while self.delayed_frames:
            frame = self.delayed_frames[0]
            if self.loop.now() < frame.due_us:
                yield (-1, 0, frame.due_us)
                continue
            self.delayed_frames.popleft()
            super().send(frame.to, frame.content)

    def close(self) -> None:
        """Closes the links; frames that are still delayed are dropped."""
        if self.carrier is not None:
            self.loop.cancel(self.carrier)
        self.delayed_frames.clear()
        super().close()
