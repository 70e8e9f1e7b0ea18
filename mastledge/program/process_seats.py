"""Two seats, locked files, that tell whether another process of the same dispatcher is there.

The kernel frees a seat at a death of any kind.
"""

import errno
import fcntl
import os
import time

ATTEMPTS = 100
PAUSE_S = 0.02  # the other process looks at a seat for a moment, or is about to end


def open_locked_file(path: str) -> int:
    """A descriptor of a file that is there for its lock; OSError where it cannot be opened."""
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


class ProcessSeats:
    """The seat of this process, and a look at the other one."""

    def __init__(self, base: str):
        """`base`: the path with which the names of the files begin."""
        self._base = base
        self.seat = 0
        self._own_descriptor = self._other_descriptor = None

    def take(self) -> None:
        """Takes a seat; OSError: both are taken (EADDRINUSE), or the files cannot be opened."""
        for _ in range(ATTEMPTS):
            for seat in (0, 1):
                if self._try_to_take(seat):
                    return
            time.sleep(PAUSE_S)
        raise SeatsTakenError

    def _try_to_take(self, seat):
        descriptor = self._open(seat)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        self.seat, self._own_descriptor = seat, descriptor
        self._other_descriptor = self._open(1 - seat)
        return True

    def _open(self, seat):
        return open_locked_file(f"{self._base}.seat{seat}")

    def leave(self) -> None:
        """Frees the seat."""
        for descriptor in (self._own_descriptor, self._other_descriptor):
            if descriptor is not None:
                os.close(descriptor)
        self._own_descriptor = self._other_descriptor = None

    def alone(self) -> bool:
        """Whether nobody has the other seat."""
        if self._other_descriptor is None:
            return True
        try:
            fcntl.flock(self._other_descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        fcntl.flock(self._other_descriptor, fcntl.LOCK_UN)
        return True


class SeatsTakenError(OSError):
    """Two processes of this dispatcher are there already."""

    def __init__(self):
        """As the system says it of an address, with EADDRINUSE."""
        super().__init__(errno.EADDRINUSE, "two processes serve here already")
