"""Errors of durable files. Each message names the file or directory and the cause in one line."""


class StorageError(OSError):
    """A durable file cannot be read or written. `errno` is 0 if no system call failed."""

    def __init__(self, errno: int | None, message: str) -> None:
        """Take the `errno` of the failed system call, or 0, and the one-line `message` for operators."""
        super().__init__(errno, message)

    def __str__(self) -> str:
        """Return only the message, without the error number."""
        return self.args[1]


class DataDirectoryError(StorageError):
    """The data directory, or a log in it, cannot be used."""


class DirectoryLockedError(DataDirectoryError):
    """Another process has locked the data directory."""


class ForeignLogError(DataDirectoryError):
    """The log belongs to another dispatcher or another fleet."""


class UnsupportedFormatError(DataDirectoryError):
    """The log was written in a format that this version does not read."""


class DamagedLogError(DataDirectoryError):
    """The log is damaged in a way that a crash during a write does not explain."""


class LogNotWritableError(StorageError):
    """An earlier write has failed, or the log is closed: appends fail until a rewrite succeeds."""
