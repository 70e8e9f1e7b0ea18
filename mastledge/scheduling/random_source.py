"""All chance in the decisions: the same seed and the same calls give the same draws."""

from bisect import bisect_left
from itertools import accumulate
from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from mastledge.scheduling.state import Worker

_CRC_VALUES = 4294967296.0  # how many values a CRC-32 can have


class RandomSource:
    """Numbered draws from one seed."""

    __slots__ = ("_draws", "_seed")

    def __init__(self, seed: int):
        """The first draw has the number 1."""
        self._seed, self._draws = seed, 0

    def chance(self) -> float:
        """The next draw, from 0 up to and without 1."""
        self._draws += 1
        return crc32(b"%d %d" % (self._seed, self._draws)) / _CRC_VALUES

    def draw_by_size(self, workers: list["Worker"]) -> "Worker":
        """One of these workers, each as likely as its declared size says.

        Most ranks tie where each dispatcher has few jobs in flight, so this spreads the load over the fleet.
        """
        sums = list(accumulate([worker.units for worker in workers]))
        return workers[min(bisect_left(sums, self.chance() * sums[-1]), len(workers) - 1)]
