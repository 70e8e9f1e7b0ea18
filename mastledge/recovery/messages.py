"""What a dispatcher that starts asks some others, and what they answer.

The tags and the order of the fields are those on the wire; spans are whole microseconds.
"""

import msgspec

from mastledge.recovery.errors import MessageError


class LoadQuery(msgspec.Struct, tag="Ask", array_like=True):
    """Asks for the load of the receiver; `number` comes back with the answer."""

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
    """A message from its bytes; MessageError where it can't be read."""
    try:
        return _decoder.decode(content)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from None
