"""The format of links: frames, and the hello that begins each link. docs/formats.md is the format page."""

from collections.abc import Generator

import msgspec

from mastledge.peers.errors import OversizedFrameError
from mastledge.transport.connection import Connection

PROTOCOL_VERSION = 1
HELLO_MARK = "mastledge peer"
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 << 20  # of the content
MAX_HELLO_BYTES = 4096
ACKNOWLEDGEMENT = b"."  # one byte for each frame


class Hello(msgspec.Struct, array_like=True):
    """The first frame of a link: who opens it. `life` is the sender's incarnation."""

    mark: str
    version: int
    fleet: str
    name: str
    life: str
    speaks: int = 1


encode_hello = msgspec.msgpack.Encoder().encode
decode_hello = msgspec.msgpack.Decoder(Hello).decode


def encode_frame(content: bytes) -> bytes:
    """The content behind its length."""
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def take_frame(received: bytearray, max_bytes: int) -> bytes | None:
    """Take the content of the first frame out of what was received; None while it is not whole.

    Raises `OversizedFrameError` as soon as its length is known to be too long.
    """
    if len(received) < LENGTH_BYTES:
        return None
    length = int.from_bytes(received[:LENGTH_BYTES], "big")
    if length > max_bytes:
        raise OversizedFrameError(f"a frame of {length} bytes")
    end = LENGTH_BYTES + length
    if len(received) < end:
        return None
    content = bytes(received[LENGTH_BYTES:end])
    del received[:end]
    return content


def read_frame(
    connection: Connection, received: bytearray, max_bytes: int, deadline: int
) -> Generator[tuple, int, bytes]:
    """Coroutine: the content of the next frame; bytes beyond it stay in `received`.

    `deadline` is a time of the loop. Raises
    `WaitTimeoutError` at it, `EOFError` where the other side has closed, and
    `OversizedFrameError`.
    """
    while (content := take_frame(received, max_bytes)) is None:
        part = yield from connection.receive(deadline)
        if not part:
            raise EOFError
        received += part
    return content
