"""Errors of the other side of a link. Each message is one line for the log."""


class LinkProtocolError(ValueError):
    """The other side violates the link protocol; its connection is closed."""


class HandshakeError(LinkProtocolError):
    """The other side is not another dispatcher of this fleet and protocol version."""


class OversizedFrameError(LinkProtocolError):
    """A frame is longer than the limit for frames or hellos."""
