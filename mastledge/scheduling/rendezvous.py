"""Rendezvous hashing (highest random weight): in which order a key prefers the workers.

The rank of a worker for a key is a hash of both. Workers of lower rank come first, on all dispatchers alike.
"""

from array import array
from collections.abc import Iterable
from zlib import crc32

RANKS = 1 << 32  # how many values a hash or a rank can have
_MULTIPLIER = 0x9E3779B1
_LANE_BITS = 64


def key_hash(key: int) -> int:
    """Return the hash of a key, below `RANKS`."""
    return crc32(str(key).encode())


def rank(one_hash: int, other_hash: int) -> int:
    """Return the rank of a worker for a key, by the hashes of both in any order."""
    # Multiplied, as CRC-32 values alone would give similar keys similar orders.
    return (one_hash ^ other_hash) * _MULTIPLIER % RANKS


class PackedHashes:
    """Many hashes in one long integer, so that a few operations on it compute the ranks of all of them.

    Each hash has a lane of 64 bits: the product of two 32-bit values fills it and never reaches the next one.
    """

    def __init__(self, hashes: Iterable[int]):
        """Pack the hashes; their positions are those of the lanes."""
        values = array("Q", hashes)
        self._packed = _packed(values)
        self._ones = _packed(array("Q", [1]) * len(values))
        self._low_halves = self._ones * (RANKS - 1)
        self._size_bytes = len(values) * _LANE_BITS // 8

    def uniform_limits(self, limit: int) -> int:
        """Return packed limits for `positions_below`: the same rank limit, up to `RANKS`, for each hash."""
        return self._ones * (RANKS + limit - 1)

    def limits(self, limits: Iterable[int]) -> int:
        """Return packed limits for `positions_below`: a rank limit, up to `RANKS`, for each hash."""
        return _packed(array("Q", limits)) + self._low_halves

    def positions_below(self, other_hash: int, limits: int) -> list[int]:
        """Return the positions of the hashes whose rank with the other hash is below their limit."""
        ranks = ((self._packed ^ self._ones * other_hash) * _MULTIPLIER) & self._low_halves
        # Bit 32 of a lane is set if RANKS + limit - 1 - rank reaches RANKS: if the rank is below the limit.
        below = (limits - ranks >> 32) & self._ones
        flags = below.to_bytes(self._size_bytes, "little")
        positions = []
        at = flags.find(1)
        while at >= 0:
            positions.append(at * 8 // _LANE_BITS)
            at = flags.find(1, at + 1)
        return positions


def _packed(values: array) -> int:
    return int.from_bytes(values.tobytes(), "little")
