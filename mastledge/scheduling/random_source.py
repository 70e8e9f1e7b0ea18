"""Deterministic random numbers for the decisions: the same seed and calls give the same draws."""

from bisect import bisect_left
from itertools import accumulate
from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from mastledge.scheduling.state import Worker

_CRC_VALUES = 4294967296.0  # how many values a CRC-32 can have


def cumulative_sizes(workers: list["Worker"]) -> list[float]:
    """Return the running sums of the declared sizes of the workers."""
    return list(accumulate([worker.units for worker in workers]))


class RandomSource:
    """A sequence of pseudo-random draws from one seed."""

    __slots__ = ("_draws", "_seed")

    def __init__(self, seed: int):
        """Start before the first draw."""
        self._seed, self._draws = seed, 0

    def chance(self) -> float:
        """Return the next draw, in [0, 1)."""
        self._draws += 1
        return crc32(b"%d %d" % (self._seed, self._draws)) / _CRC_VALUES

    def draw_by_size(self, workers: list["Worker"], cumulative: list[float] | None = None) -> "Worker":
        """Return one of the workers, drawn with its declared size as weight.

        With few jobs in flight most ranks tie, so this draw spreads the load over the fleet. `cumulative`:
        the `cumulative_sizes` of the workers, where there are several draws.
        """
        cumulative = cumulative or cumulative_sizes(workers)
        return workers[min(bisect_left(cumulative, self.chance() * cumulative[-1]), len(workers) - 1)]
