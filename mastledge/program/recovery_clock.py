"""Both clocks by which stored state is placed in time."""

import time

from mastledge.recovery.recovery_record import ClockReading
from mastledge.transport.loop import Loop

BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


def read_boot_id() -> str:
    """The id of this boot of the machine, "" where it isn't known."""
    try:
        with open(BOOT_ID_PATH) as file:
            return file.read().strip()
    except OSError:
        return ""


class RecoveryClock:
    """Unix time, and the monotonic clock of the event loop with the id of the machine's boot."""

    def __init__(self, loop: Loop, boot_id: str):
        """`loop`: its `now()` gives the monotonic clock in microseconds."""
        self._loop, self._boot_id = loop, boot_id

    def now(self) -> ClockReading:
        """Both clocks, in microseconds."""
        return ClockReading(self.unix_now(), self._loop.now(), self._boot_id)

    def unix_now(self) -> int:
        """Unix time in microseconds."""
        return time.time_ns() // 1000
