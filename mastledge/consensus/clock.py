"""The own time of a member: whole microseconds of a clock that only measures spans."""

from zlib import crc32

OFFSET_BITS = 16  # by which the offsets of two processes differ at the least


class MemberClock:
    """The time of the running step, and what tells this process of a member from the ones before it."""

    def __init__(self, incarnation: str, now: int):
        """Begin at `now`; `incarnation` is a random name, from which offset and process id are made."""
        checksum = crc32(incarnation.encode())
        self.now = self.started_at = now
        # Times of another process of this name, which may run on the same clock, are none of its.
        self.offset_us = checksum << OFFSET_BITS
        self.process_id = checksum or 1

    def reading(self) -> int:
        """Return the time as others are told it."""
        return self.now + self.offset_us

    def from_reading(self, reading: int) -> int:
        """Return the own time of a reading that another member sends back."""
        return reading - self.offset_us


class RandomDraws:
    """Random numbers by a seed: the same ones whenever the same steps are played again."""

    def __init__(self, seed: int, name: str):
        """Begin with the first draw of this seed and name."""
        self.seed, self.name, self.count = seed, name.encode(), 0

    def next(self) -> float:
        """Return a number from 0 to below 1."""
        self.count += 1
        return crc32(b"%d %s %d" % (self.seed, self.name, self.count)) / 4294967296.0
