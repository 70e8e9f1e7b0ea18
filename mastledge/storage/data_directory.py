"""The folder of one dispatcher: who it belongs to, and that one process alone writes there."""

import errno
import fcntl
import os


class DataDirectoryError(OSError):
    """The folder can't be used; one plain message."""

    def __str__(self):
        return self.args[1]


class DataDirectory:
    def __init__(self, path):
        self.path, self.lock = path, None

    def hold(self):
        """Locks the folder for this process, making it where it is missing; BadFolder with the reason."""
        try:
            os.makedirs(self.path, 0o700, exist_ok=True)
            lock = os.open(os.path.join(self.path, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise DataDirectoryError(
                error.errno, f"folder {self.path} can't be written: {error.strerror}"
            ) from None
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise DataDirectoryError(errno.EBUSY, f"folder {self.path} is held by another process") from None
        self.lock = lock
        return self

    def release(self):
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def sync(self):
        """So that what was created or renamed here is found after a loss of power."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
