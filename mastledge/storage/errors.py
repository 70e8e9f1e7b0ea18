"""Errors of files that last. Each says in one plain line which file or directory it is about, and why."""


class StorageError(OSError):
    """Something that is to last cannot be read, or cannot be written. `errno` is 0 where no call failed."""

    def __init__(self, errno: int | None, message: str) -> None:
        """`errno` of the system call that failed, or 0; `message` is the line that an operator reads."""
        super().__init__(errno, message)

    def __str__(self) -> str:
        """Only the message: operators read it as one line, without the number."""
        return self.args[1]


class DataDirectoryError(StorageError):
    """The data directory, or a log in it, cannot be used as it is."""


class DirectoryLockedError(DataDirectoryError):
    """Another process has the data directory."""


class ForeignLogError(DataDirectoryError):
    """The log belongs to another dispatcher, or to another fleet."""


class UnsupportedFormatError(DataDirectoryError):
    """The log was written by a version of the program whose format this one does not read."""


class DamagedLogError(DataDirectoryError):
    """The log cannot be read to its end, and not because a crash cut it off."""


class LogNotWritableError(StorageError):
    """An earlier write has failed or the log is closed: nothing is appended until a rewrite succeeds."""
