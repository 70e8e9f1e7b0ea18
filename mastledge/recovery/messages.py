"""Messages by which a starting dispatcher asks some others for their load, and the answers.

The tags and the order of the fields are those on the wire; durations are whole microseconds.
"""

import msgspec

from mastledge.recovery.errors import MessageError


class LoadQuery(msgspec.Struct, tag="Ask", array_like=True):
    """Asks the receiver for its load; the response repeats `number`."""

    number: int


class LoadResponse(msgspec.Struct, tag="Load", array_like=True):
    """The load of the sender: jobs in flight, whether it admits without a limit, and its uptime."""

    number: int
    in_flight: int
    unlimited: bool
    uptime_us: int


AnyMessage = LoadQuery | LoadResponse

encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def decode(content: bytes) -> AnyMessage:
    """Return the message in `content`; raise MessageError if it cannot be decoded."""
    try:
        return _decoder.decode(content)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from None
