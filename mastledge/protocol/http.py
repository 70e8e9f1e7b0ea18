"""HTTP/1.1 on a connection: reads h11 events and formats messages."""

import re
from collections.abc import Callable

import h11
import orjson

from mastledge.protocol.errors import BodyTooLargeError
from mastledge.transport.connection import Connection
from mastledge.transport.loop import Coroutine

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
MAX_CHUNKS = 1024  # per body: one-byte chunks cost a hundred times as much to read as large ones
MAX_PIPELINED_BYTES = 16 * 1024  # buffered of the requests that follow an unanswered one
MAX_READS_FOR_END = 4  # of 16 KiB each, to find a disconnect after pipelined requests
MAX_LINE_BYTES = 8 * MAX_BODY_BYTES  # a result is JSON text, in which a byte may take six
# Headers that apply to one connection only, or are generated for each request.
HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"host",
    b"expect",
}
# The beginning of a pipelined request, which may be incomplete.
NEXT_REQUEST = re.compile(rb"\s*(?:(?:GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) [!-~]|[A-Z]{0,7} ?$)")


def attach(conn: Connection, role: type[h11.CLIENT] | type[h11.SERVER]) -> Connection:
    """Attach an h11 parser to a connection and return the connection."""
    conn.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
    return conn


class PieceDeadlines:
    """Limits the time for a whole request and the time between two pieces of it, and counts the pieces.

    `on_piece` is called with the number of pieces received, once per piece.
    """

    __slots__ = ("until", "max_silence_us", "on_piece", "count")

    def __init__(self, until: int, max_silence_us: int, on_piece: Callable[[int], None]) -> None:
        """`until` is the deadline of the whole request, in microseconds of the monotonic clock."""
        self.until, self.max_silence_us, self.on_piece, self.count = until, max_silence_us, on_piece, 0

    def next_deadline(self, now: int) -> int:
        """Return the deadline of the next piece."""
        return min(self.until, now + self.max_silence_us)

    def record_piece(self) -> None:
        """Count a received piece."""
        self.count += 1
        self.on_piece(self.count)


def next_event(conn: Connection, until: "int | PieceDeadlines") -> Coroutine:
    """Return the next h11 event; `until` is a deadline or the deadlines of the pieces of a request.

    Raises WaitTimeoutError, OSError or h11.RemoteProtocolError.
    """
    parser, pieces = conn.http, until if isinstance(until, PieceDeadlines) else None
    while True:
        event = parser.next_event()
        if event is not h11.NEED_DATA:
            return event
        if pieces is not None:
            until = pieces.next_deadline(conn.loop.now())
        if parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            yield from conn.send(parser.send(continue_response), until)
        parser.receive_data((yield from conn.receive(until)))
        if pieces is not None:
            pieces.record_piece()


def body_limit(head: h11.Request, max_bytes: int = MAX_BODY_BYTES) -> int:
    """Return the maximum number of bytes of a request body.

    Raises h11.RemoteProtocolError if the length is ambiguous, as the body could hide a second request, and
    BodyTooLargeError if the stated length exceeds `max_bytes`.
    """
    names = [name for name, _ in head.headers]
    if head.http_version not in (b"1.0", b"1.1"):
        raise h11.RemoteProtocolError("no HTTP/1.1")
    if b"transfer-encoding" in names and (b"content-length" in names or head.http_version == b"1.0"):
        raise h11.RemoteProtocolError("Transfer-Encoding beside another length")
    size = next((int(value) for name, value in head.headers if name == b"content-length"), 0)
    if size > max_bytes:
        raise BodyTooLargeError
    return max_bytes if b"transfer-encoding" in names else size


def queue_type_in_path(head: h11.Request) -> bytes:
    """Return the first path segment, which names the queue type, without decoding it."""
    return head.target.partition(b"?")[0][1:].partition(b"/")[0]


def has_disconnected(conn: Connection) -> bool:
    """Return whether a client has disconnected while its request is in hand.

    The end of the connection follows any pipelined requests, so these are read first. They are buffered up to
    MAX_PIPELINED_BYTES and dropped beyond: left in a full socket buffer, they would hide the disconnect.
    """
    for _ in range(MAX_READS_FOR_END):
        try:
            data = conn.buffer.receive(conn.sock)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if not data:
            return True
        buffered = len(conn.http.trailing_data[0])
        if not conn.discards_input and buffered + len(data) <= MAX_PIPELINED_BYTES:
            conn.http.receive_data(data)
        else:
            conn.discards_input = True
    return False


def has_valid_trailing_data(conn: Connection) -> bool:
    """Return whether the bytes after a complete request are empty or may begin another request."""
    return NEXT_REQUEST.match(conn.http.trailing_data[0]) is not None


def read_body(conn: Connection, until: int | PieceDeadlines, max_bytes: int = MAX_BODY_BYTES) -> Coroutine:
    """Return a complete body; it is collected in the connection's buffer.

    Raises BodyTooLargeError and the errors of next_event().
    """
    conn.buffer.clear()
    chunks = 0
    while True:
        event = yield from next_event(conn, until)
        if isinstance(event, h11.EndOfMessage):
            return conn.buffer.take()
        if isinstance(event, h11.Data):
            conn.buffer.append(event.data)
            chunks += event.chunk_start
            if len(conn.buffer) > max_bytes or chunks > MAX_CHUNKS:
                raise BodyTooLargeError
        else:
            raise h11.RemoteProtocolError(f"{type(event).__name__} inside a body")


def next_line(conn: Connection, until: int, max_bytes: int = MAX_LINE_BYTES) -> Coroutine:
    """Return the next line of a response body, or None at its end. `until` is the deadline of each read.

    Raises BodyTooLargeError and the errors of next_event().
    """
    while True:
        line = conn.buffer.next_line()
        if line is not None:
            return line
        if conn.http.their_state is not h11.SEND_BODY:
            return conn.buffer.take() or None
        if len(conn.buffer) > max_bytes:
            raise BodyTooLargeError
        event = yield from next_event(conn, until)
        if isinstance(event, h11.Data):
            conn.at_chunk_end = event.chunk_end
            conn.buffer.append(event.data)


def response_head(conn: Connection, until: int) -> Coroutine:
    """Return the head of a response, skipping informational ones. Raises the errors of next_event()."""
    while True:
        event = yield from next_event(conn, until)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise h11.RemoteProtocolError("ended before an answer")


def request_bytes(
    conn: Connection, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], content: bytes = b""
) -> bytes:
    """Return the bytes of a complete request."""
    send = conn.http.send
    head = send(h11.Request(method=method, target=target, headers=headers))
    return head + (send(h11.Data(data=content)) if content else b"") + send(h11.EndOfMessage())


def response_bytes(
    conn: Connection, status: int, headers: list[tuple[bytes, bytes]], content: bytes, last: bool
) -> bytes:
    """Return the bytes of a complete response; `last` adds "Connection: close"."""
    headers = [*headers, (b"content-length", b"%d" % len(content))]
    if last:
        headers.append((b"connection", b"close"))
    send = conn.http.send
    head = send(h11.Response(status_code=status, headers=headers))
    return head + (send(h11.Data(data=content)) if content else b"") + send(h11.EndOfMessage())


def resume_parsers(client: Connection, worker: Connection, headed: bool) -> None:
    """Set the parsers of handed-off connections to the state they had in the other process.

    The client's parser has read a complete request. The worker's parser awaits a response; `headed`: its head
    has been read.
    """
    client.http.receive_data(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
    while not isinstance(client.http.next_event(), h11.EndOfMessage):
        pass
    request_bytes(worker, b"POST", b"/", [(b"host", b"h")])
    if headed:
        worker.http.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        worker.http.next_event()


def start_next_cycle(parser: h11.Connection) -> bool:
    """Prepare a parser for the next request; return whether its connection can carry one."""
    if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
        parser.start_next_cycle()
        return True
    return False


def parse_object(raw: bytes) -> dict:
    """Parse a JSON object; raise ValueError for anything else."""
    value = orjson.loads(raw)
    if not isinstance(value, dict):
        raise ValueError(f"no object: {raw[:80]!r}")
    return value
