"""Errors of requests, answers, launches and calls. What h11 finds wrong stays an h11.RemoteProtocolError."""


class ProtocolError(Exception):
    """Base of the errors that this package raises itself."""


class BodyTooLargeError(ProtocolError):
    """A body, a line or a list is beyond what the protocol allows."""

    def __init__(self) -> None:
        """One text for all of them, so that a log that drops repeats tells of it once."""
        super().__init__("too large")


class BadRequestError(ProtocolError):
    """A client's request is answered by the listener itself, with this status."""

    def __init__(self, status: int, why: str) -> None:
        """`why` is the answer's body."""
        super().__init__(status, why)
        self.status, self.why = status, why


class CallRefusedError(ProtocolError):
    """An operator's call is refused, with this status."""

    def __init__(self, status: int, why: str) -> None:
        """`why` is the answer's body."""
        super().__init__(status, why)
        self.status, self.why = status, why


class EndpointListError(ProtocolError, ValueError):
    """An endpoint list, or a line of the watch on it, cannot be understood."""


class LaunchWithheldError(ProtocolError):
    """Not all of a launch was sent, as the rules by which it was decided may no longer hold."""


class ClientLeftError(ProtocolError):
    """Not all of a launch was sent, as nobody waits for its answer any more."""
