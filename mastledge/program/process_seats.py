"""Two seats, which are file locks: they show whether another process of the same dispatcher runs.

The kernel releases the lock when a process dies, in whatever way.
"""

import errno
import fcntl
import os
import time

ATTEMPTS = 100
PAUSE_S = 0.02  # the other process holds a lock briefly when it checks a seat, or is about to exit


def open_lock_file(path: str) -> int:
    """Return a descriptor of a lock file, not locked yet; raise OSError if it cannot be opened."""
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


class ProcessSeats:
    """Holds the seat of this process and checks the other seat."""

    def __init__(self, base: str):
        """Use lock files whose paths start with `base`."""
        self._base = base
        self.seat = 0
        self._own_descriptor = self._other_descriptor = None

    def take(self) -> None:
        """Take a free seat.

        Raise SeatsTakenError (EADDRINUSE) if both are taken, OSError if the files cannot be opened.
        """
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
        return open_lock_file(f"{self._base}.seat{seat}")

    def leave(self) -> None:
        """Release the seat."""
        for descriptor in (self._own_descriptor, self._other_descriptor):
            if descriptor is not None:
                os.close(descriptor)
        self._own_descriptor = self._other_descriptor = None

    def alone(self) -> bool:
        """Return whether the other seat is free."""
        if self._other_descriptor is None:
            return True
        try:
            fcntl.flock(self._other_descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        fcntl.flock(self._other_descriptor, fcntl.LOCK_UN)
        return True


class SeatsTakenError(OSError):
    """Two processes of this dispatcher are running already."""

    def __init__(self):
        """Use EADDRINUSE, as the system does for an address in use."""
        super().__init__(errno.EADDRINUSE, "two processes of this dispatcher are running already")
