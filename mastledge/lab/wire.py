"""HTTP for clients and stub servers, over asyncio; h11 reads and writes it."""

import asyncio
import time
from collections.abc import Iterable

import h11

LOOPBACK = "127."

Headers = Iterable[tuple[str, str]]


def now() -> int:
    """Microseconds of the one clock that all of a record is told by."""
    return time.monotonic_ns() // 1000


async def event(conn: h11.Connection, reader: asyncio.StreamReader) -> h11.Event:
    """Return the next event of a connection, read as far as it needs."""
    while (got := conn.next_event()) is h11.NEED_DATA:
        conn.receive_data(await reader.read(65536))
    return got


async def body(conn: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    """Return the body that follows a head; ConnectionError where it ends before its end."""
    parts = []
    while not isinstance(got := await event(conn, reader), h11.EndOfMessage):
        if not isinstance(got, h11.Data):
            raise ConnectionError(f"{type(got).__name__} inside a body")
        parts.append(bytes(got.data))
    return b"".join(parts)


async def request(conn: h11.Connection, reader: asyncio.StreamReader) -> tuple[h11.Request | None, bytes]:
    """The next request and its body, or None at the end of the connection."""
    head = await event(conn, reader)
    if not isinstance(head, h11.Request):
        return None, b""
    return head, await body(conn, reader)


def whole(conn: h11.Connection, status: int, content: bytes, headers: Headers = ()) -> bytes:
    """Return the bytes of a whole answer."""
    out = conn.send(
        h11.Response(status_code=status, headers=[*headers, ("content-length", str(len(content)))])
    )
    return out + (conn.send(h11.Data(data=content)) if content else b"") + conn.send(h11.EndOfMessage())


def address(text: str) -> tuple[str, int]:
    """Return host and port of an address; ValueError where it is not on loopback."""
    host, _, port = text.rpartition(":")
    if not host.startswith(LOOPBACK):
        raise ValueError(f"no address of this machine: {text}")
    return host, int(port)


async def call(  # noqa: PLR0913 - the parts of one HTTP request
    where: str,
    method: str,
    path: str,
    content: bytes = b"",
    headers: Headers = (),
    seconds: float = 2.0,
) -> tuple[int, dict[bytes, bytes], str]:
    """One call on a connection of its own: (status, headers, text); status 0 with the reason where there is
    no answer.
    """
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address(where))
            conn = h11.Connection(h11.CLIENT)
            head = h11.Request(
                method=method,
                target=path,
                headers=[("host", where), ("content-length", str(len(content))), *headers],
            )
            writer.write(
                conn.send(head)
                + (conn.send(h11.Data(data=content)) if content else b"")
                + conn.send(h11.EndOfMessage())
            )
            answer = await event(conn, reader)
            if not isinstance(answer, h11.Response):
                return 0, {}, "no answer"
            text = await body(conn, reader)
            return answer.status_code, dict(answer.headers), text.decode()
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        return 0, {}, type(error).__name__
    finally:
        if writer is not None:
            writer.close()
