"""What may be wrong with a worker, by time or by count; the same for processes and in simulated time."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

# What a launch meets there.
KINDS = {
    "error": "answers 500 at once and runs nothing",
    "malformed": "answers a line that can't be read and runs nothing",
    "silent": "takes the request and is never heard of again",
    "half_open": "takes connections and reads nothing from them",
    "lost": "runs it, and the connection breaks before the answer",
    "slow": "runs it so many times as long (`amount`)",
}
PIECES = "pieces"  # answers in pieces of some bytes; a kind of the soak, not of scenarios


class Step(Protocol):
    """What is read of a step of a scenario."""

    kind: str
    seconds: float
    count: int
    share: float
    amount: float


@dataclass(slots=True)
class Trouble:
    """One thing that is wrong with a worker, until a time and for a count of launches."""

    until: float  # microseconds
    kind: str  # of `KINDS`
    share: float  # of the launches that it meets
    launches_left: float
    factor: float  # of the run time, for "slow"


class Troubles:
    """Of one worker, from when each begins: for a time, for a count of launches, or for both."""

    def __init__(self) -> None:
        """Begin without any."""
        self.active: list[Trouble] = []

    def add(self, now: int, step: Step) -> None:
        """Add one at microsecond `now`.

        `step`: kind, seconds (0: for good), count (0: any), share (of the launches that it meets).
        """
        until = now + int(step.seconds * 1e6) if step.seconds else float("inf")
        self.active.append(Trouble(until, step.kind, step.share, step.count or float("inf"), step.amount))

    def now(self, at: int, chance: Callable[[], float]) -> str:
        """What the launch that comes now meets, "" for nothing; slowness is told by `slow`."""
        self.active = [trouble for trouble in self.active if trouble.until > at and trouble.launches_left > 0]
        for trouble in self.active:
            if trouble.kind != "slow" and (trouble.share >= 1 or chance() < trouble.share):
                trouble.launches_left -= 1
                return trouble.kind
        return ""

    def slow(self, at: int) -> float:
        """Return by how much longer a launch runs just now."""
        factor = 1.0
        for trouble in self.active:
            if trouble.kind == "slow" and trouble.until > at:
                factor *= trouble.factor
        return factor

    def deaf(self, at: int) -> bool:
        """Whether nothing is read from connections just now."""
        return any(trouble.kind == "half_open" and trouble.until > at for trouble in self.active)
