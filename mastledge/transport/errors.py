"""Errors of sockets and waits. Errors of system calls stay OSError."""


class TransportError(Exception):
    """Base class of the errors defined by this package."""


class WaitTimeoutError(TransportError):
    """The deadline of a connect, a read or a write has passed."""

    def __init__(self) -> None:
        """Use one text for all waits, so that a log that drops repeats shows it once."""
        super().__init__("timed out")


class OutOfDescriptorsError(TransportError):
    """The budget or the system has no descriptor for another connection."""

    def __init__(self) -> None:
        """Use one text for all cases, so that a log that drops repeats shows it once."""
        super().__init__("no descriptor for one more connection")


class IncompleteMessageError(TransportError):
    """A message from another process is truncated or lacks descriptors; the error's text says which."""


class ChannelClosedError(TransportError):
    """The other process has closed a channel or has died."""


class ChannelResetError(ChannelClosedError):
    """The other process has closed a channel, or has died, before it read the last message from here."""
