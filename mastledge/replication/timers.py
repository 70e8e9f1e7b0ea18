"""Timers of a coordinator, and jitter for its delays."""

from collections.abc import Callable
from heapq import heappop, heappush
from zlib import crc32


class Timers:
    """Callbacks ordered by time; callbacks of the same time run in the order in which they were set."""

    def __init__(self):
        """Start without timers."""
        # (time, number, callback, arguments): plain tuples, because heapq compares them without running
        # Python code and each job has several of them.
        self._heap: list[tuple[int, int, Callable, tuple]] = []
        self._count = 0

    def at(self, when: int, callback: Callable, *arguments) -> None:
        """Call `callback(now, *arguments)` at the time `when` (microseconds) or soon after."""
        self._count += 1
        heappush(self._heap, (when, self._count, callback, arguments))

    def next_at(self) -> int | None:
        """Return the time of the next timer in microseconds, or None if there is no timer."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: int) -> None:
        """Run all timers that are due, including those that the callbacks set for `now`."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, callback, arguments = heappop(heap)
            callback(now, *arguments)


class Jitter:
    """Random delays, seeded by a number and the dispatcher's name."""

    def __init__(self, seed: int, name: str):
        """Seed the delays; the same seed and name give the same sequence."""
        self._seed, self._name, self._draws = seed, name.encode(), 0

    def random_delay(self, max_delay_us: int) -> int:
        """Return a delay between half of `max_delay_us` and all of it.

        The spread keeps dispatchers that claimed a key at the same time from colliding again.
        """
        self._draws += 1
        return int(
            max_delay_us * (0.5 + crc32(b"%d %s %d" % (self._seed, self._name, self._draws)) / 8589934592)
        )
