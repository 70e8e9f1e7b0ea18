"""Simulated time: what is due is done in its order, by one seed."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import numpy


class Simulated:
    """A clock, a queue of calls, and one generator from which everything by chance is drawn.

    `now` is the true time in microseconds; models of clocks that drift derive theirs from it.
    """

    def __init__(self, seed: int) -> None:
        """Begins at 0 with nothing due."""
        self.random = numpy.random.Generator(numpy.random.PCG64(seed))
        self.now = 0
        self.queue: list[tuple[int, int, Callable, tuple]] = []  # a heap of time, count, call, its arguments
        self.count = 0  # of calls queued so far: what is due at one time is done in its order

    def draw(self, below: int) -> int:
        """A whole number from 0 up to `below`, without that."""
        return int(self.random.integers(below))

    def at(self, wait: int, call: Callable, *fields: object) -> None:
        """Calls so many microseconds from now."""
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, call, fields))

    def run(self, until: int, done: Callable[[], bool] | None = None) -> bool:
        """Goes on to a time, or until `done` says so; whether it did, True without it."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, fields = heapq.heappop(self.queue)
            call(*fields)
            if done is not None and done():
                return True
        if done is None:
            self.now = max(self.now, until)
        return done is None
