"""Errors of sockets and waits. What the kernel refuses stays an OSError."""


class TransportError(Exception):
    """Base of the errors that this package raises itself."""


class WaitTimeoutError(TransportError):
    """The time given for a connect, a read or a write is over."""

    def __init__(self) -> None:
        """One text for all waits, so that a log that drops repeats tells of it once."""
        super().__init__("timed out")


class OutOfDescriptorsError(TransportError):
    """The budget or the system has no descriptor for one more connection."""

    def __init__(self) -> None:
        """One text, as above."""
        super().__init__("no descriptor for one more connection")
