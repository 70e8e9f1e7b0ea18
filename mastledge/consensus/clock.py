"""The local clock of a member, in whole microseconds of a monotonic clock, and its random numbers."""

from zlib import crc32

OFFSET_BITS = 16  # offsets of two processes differ by at least 2**16 us, unless they are equal


class MemberClock:
    """The time of the current step, and the clock offset and id that identify this process of a member."""

    def __init__(self, incarnation: str, now: int):
        """Initialize at time `now`; the random name `incarnation` determines offset and process id."""
        checksum = crc32(incarnation.encode())
        self.now = self.started_at = now
        # Tells this process's times from those of a former process of the member on the same clock.
        self.offset_us = checksum << OFFSET_BITS
        self.process_id = checksum or 1

    def reading(self) -> int:
        """Return the current time as sent to other members."""
        return self.now + self.offset_us

    def from_reading(self, reading: int) -> int:
        """Return the local time of a reading that another member has sent back."""
        return reading - self.offset_us


class RandomDraws:
    """Seeded random numbers: replaying the same steps draws the same numbers."""

    def __init__(self, seed: int, name: str):
        """Initialize the sequence of this seed and name."""
        self.seed, self.name, self.count = seed, name.encode(), 0

    def next(self) -> float:
        """Return the next number in [0, 1)."""
        self.count += 1
        return crc32(b"%d %s %d" % (self.seed, self.name, self.count)) / 4294967296.0
