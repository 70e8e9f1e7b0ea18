"""The wire format of links: frames, and the hello that starts each link. See docs/formats.md."""

from collections.abc import Generator

import msgspec

from mastledge.peers.errors import OversizedFrameError
from mastledge.transport.connection import Connection

PROTOCOL_VERSION = 1
HELLO_MARK = "mastledge peer"
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 << 20  # of the content, without its length
MAX_HELLO_BYTES = 4096
ACKNOWLEDGEMENT = b"."  # one byte per frame


class Hello(msgspec.Struct, array_like=True):
    """The first frame of a link: the identity of the sender. `life` is the sender's incarnation."""

    mark: str
    version: int
    fleet: str
    name: str
    life: str
    speaks: int = 1


encode_hello = msgspec.msgpack.Encoder().encode
decode_hello = msgspec.msgpack.Decoder(Hello).decode


def encode_frame(content: bytes) -> bytes:
    """Return the content with its length in front."""
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def take_frame(received: bytearray, max_bytes: int) -> bytes | None:
    """Remove the first frame from `received` and return its content, or None while it is incomplete.

    Raise `OversizedFrameError` as soon as its length is known to exceed `max_bytes`.
    """
    if len(received) < LENGTH_BYTES:
        return None
    length = int.from_bytes(received[:LENGTH_BYTES], "big")
    if length > max_bytes:
        raise OversizedFrameError(f"a frame of {length} bytes exceeds the limit of {max_bytes} bytes")
    end = LENGTH_BYTES + length
    if len(received) < end:
        return None
    content = bytes(received[LENGTH_BYTES:end])
    del received[:end]
    return content


def read_frame(
    connection: Connection, received: bytearray, max_bytes: int, deadline: int
) -> Generator[tuple, int, bytes]:
    """Coroutine: return the content of the next frame; bytes beyond it stay in `received`.

    Raise `WaitTimeoutError` at `deadline` (a time of the loop), `EOFError` if the other side has closed, and
    `OversizedFrameError`.
    """
    while (content := take_frame(received, max_bytes)) is None:
        part = yield from connection.receive(deadline)
        if not part:
            raise EOFError
        received += part
    return content
