"""Timers of a coordinator: callbacks in the order of their times, and random parts of a time."""

from collections.abc import Callable
from heapq import heappop, heappush
from zlib import crc32


class Timers:
    """Callbacks by time; those of one time run in the order in which they were set."""

    def __init__(self):
        """Begins without any."""
        # (time, number, callback, arguments): plain tuples, as heapq compares them without running Python
        # code; there are some of them for each job.
        self._heap: list[tuple[int, int, Callable, tuple]] = []
        self._count = 0

    def at(self, when: int, callback: Callable, *arguments) -> None:
        """Calls `callback(now, *arguments)` at the time `when` (microseconds) or soon after."""
        self._count += 1
        heappush(self._heap, (when, self._count, callback, arguments))

    def next_at(self) -> int | None:
        """The earliest time, in microseconds; None where there is no timer."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: int) -> None:
        """Runs what is due, also what is set for `now` meanwhile."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, callback, arguments = heappop(heap)
            callback(now, *arguments)


class Jitter:
    """Random parts of a time, by a seed and the dispatcher's name."""

    def __init__(self, seed: int, name: str):
        """The same seed and name give the same parts."""
        self._seed, self._name, self._draws = seed, name.encode(), 0

    def part_of(self, longest_us: int) -> int:
        """Half of `longest_us` or more, so that dispatchers that collided once do not again."""
        self._draws += 1
        return int(
            longest_us * (0.5 + crc32(b"%d %s %d" % (self._seed, self._name, self._draws)) / 8589934592)
        )
