"""The data directory of one dispatcher, which only one process may use at a time."""

import errno
import fcntl
import os

from mastledge.storage.errors import DataDirectoryError, DirectoryLockedError

LOCK_FILE = "lock"
DIRECTORY_MODE, FILE_MODE = 0o700, 0o600


class DataDirectory:
    """A directory and its lock file. The lock is a `flock`, so it ends with the process that holds it."""

    def __init__(self, path: str) -> None:
        """Set the path; `acquire` creates the directory if it is missing."""
        self.path = path
        self.lock: int | None = None  # descriptor of the lock file while this process holds the lock

    def acquire(self) -> "DataDirectory":
        """Lock the directory for this process.

        Raise `DirectoryLockedError` if another process holds the lock, or `DataDirectoryError` if the
        directory cannot be written.
        """
        lock = self._open_lock_file()
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise DirectoryLockedError(
                errno.EBUSY, f"folder {self.path} is held by another process"
            ) from None
        self.lock = lock
        return self

    def _open_lock_file(self) -> int:
        try:
            os.makedirs(self.path, DIRECTORY_MODE, exist_ok=True)
            return os.open(
                os.path.join(self.path, LOCK_FILE), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE
            )
        except OSError as error:
            raise DataDirectoryError(
                error.errno, f"folder {self.path} can't be written: {error.strerror}"
            ) from None

    def release(self) -> None:
        """Release the lock if this process holds it."""
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def sync(self) -> None:
        """Sync the directory, so that a created or renamed file survives a loss of power."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
