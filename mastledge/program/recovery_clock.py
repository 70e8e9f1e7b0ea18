"""The two clocks that give the age of stored state."""

import time

from mastledge.recovery.recovery_record import ClockReading
from mastledge.transport.loop import Loop

BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


def read_boot_id() -> str:
    """Return the id of this boot of the machine, or "" if it cannot be read."""
    try:
        with open(BOOT_ID_PATH) as file:
            return file.read().strip()
    except OSError:
        return ""


class RecoveryClock:
    """Reads Unix time, and the monotonic clock of the event loop with the boot id of the machine."""

    def __init__(self, loop: Loop, boot_id: str):
        """Take the event loop, whose `now()` is the monotonic clock in microseconds."""
        self._loop, self._boot_id = loop, boot_id

    def now(self) -> ClockReading:
        """Return a reading of both clocks, in microseconds."""
        return ClockReading(self.unix_now(), self._loop.now(), self._boot_id)

    def unix_now(self) -> int:
        """Return the Unix time in microseconds."""
        return time.time_ns() // 1000
