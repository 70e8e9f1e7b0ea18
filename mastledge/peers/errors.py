"""What another side can do wrong on a link; each names it in a line for the log."""


class LinkProtocolError(ValueError):
    """The other side does not keep to the format of links; its connection is closed."""


class HandshakeError(LinkProtocolError):
    """The other side is no dispatcher of this fleet and version."""


class OversizedFrameError(LinkProtocolError):
    """A frame is longer than is allowed at its place."""
