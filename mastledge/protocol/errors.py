"""Errors of requests, answers, launches and operator calls. HTTP errors are h11.RemoteProtocolError."""


class ProtocolError(Exception):
    """Base class of the errors defined by this package."""


class BodyTooLargeError(ProtocolError):
    """A body, a line or a list exceeds its size limit."""

    def __init__(self) -> None:
        """Use one text for all cases, so that a log that drops repeats shows it once."""
        super().__init__("too large")


class BadRequestError(ProtocolError):
    """A client request is invalid and is answered with this status."""

    def __init__(self, status: int, why: str) -> None:
        """`why` is the answer's body."""
        super().__init__(status, why)
        self.status, self.why = status, why


class CallRefusedError(ProtocolError):
    """An operator call is refused with this status."""

    def __init__(self, status: int, why: str) -> None:
        """`why` is the answer's body."""
        super().__init__(status, why)
        self.status, self.why = status, why


class EndpointListError(ProtocolError, ValueError):
    """An endpoint list, or a change to it, is invalid."""


class LaunchWithheldError(ProtocolError):
    """A launch was not sent completely because the state it was decided on may no longer hold."""


class ClientLeftError(ProtocolError):
    """A launch was not sent completely because its client has disconnected."""
