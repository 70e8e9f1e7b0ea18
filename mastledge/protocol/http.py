"""h11 on a connection: events in, bytes out."""

import re
from collections.abc import Callable

import h11
import orjson

from mastledge.protocol.errors import BodyTooLargeError
from mastledge.transport.connection import Connection
from mastledge.transport.loop import Coroutine

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
MAX_CHUNKS = 1024  # of one body: a byte in each costs a hundred times its worth to read
MAX_PIPELINED_BYTES = 16 * 1024  # held of the requests behind one that is not answered yet
MAX_READS_FOR_END = 4  # of 16 KiB each, for the end that stands behind pipelined requests
MAX_LINE_BYTES = 8 * MAX_BODY_BYTES  # a result is text inside JSON, where a byte may take six
# Headers that speak of one connection only, or are written anew on the next one.
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
# How another request can begin behind a whole one, as far as it has come.
NEXT_REQUEST = re.compile(rb"\s*(?:(?:GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) [!-~]|[A-Z]{0,7} ?$)")


def attach(conn: Connection, role: type[h11.CLIENT] | type[h11.SERVER]) -> Connection:
    """Gives a connection its parser."""
    conn.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
    return conn


class PieceDeadlines:
    """Bounds the time for a whole request and for the silence between two pieces of it, and counts them.

    `on_piece` is called with the number of pieces that have come, at each one.
    """

    __slots__ = ("until", "max_silence_us", "on_piece", "count")

    def __init__(self, until: int, max_silence_us: int, on_piece: Callable[[int], None]) -> None:
        """No piece has come."""
        self.until, self.max_silence_us, self.on_piece, self.count = until, max_silence_us, on_piece, 0

    def next_deadline(self, now: int) -> int:
        """When the next piece has to be there."""
        return min(self.until, now + self.max_silence_us)

    def record_piece(self) -> None:
        """Counts a piece."""
        self.count += 1
        self.on_piece(self.count)


def next_event(conn: Connection, until: "int | PieceDeadlines") -> Coroutine:
    """The next event of h11, waiting for bytes as needed: until a time, or for one piece after the other.

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
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            yield from conn.send(parser.send(go_on), until)
        parser.receive_data((yield from conn.receive(until)))
        if pieces is not None:
            pieces.record_piece()


def body_limit(head: h11.Request, max_bytes: int = MAX_BODY_BYTES) -> int:
    """How many bytes the body of a request can hold.

    Refuses by h11.RemoteProtocolError what others could bound otherwise, as it may hide a second request, and
    by BodyTooLargeError what states more than `max_bytes`.
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
    """The queue type that a path names, as it stands there."""
    return head.target.partition(b"?")[0][1:].partition(b"/")[0]


def has_left(conn: Connection) -> bool:
    """Whether a client has ended its sending, or its connection broke, while its request is in hand.

    That stands behind whatever else it has sent, so this is read: what can be the next requests is held, up
    to a bound, and what is beyond that is dropped, as the bound of a socket's own buffer would hide the end.
    """
    for _ in range(MAX_READS_FOR_END):
        try:
            part = conn.buffer.receive(conn.sock)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if not part:
            return True
        held = len(conn.http.trailing_data[0])
        if not conn.discards_input and held + len(part) <= MAX_PIPELINED_BYTES:
            conn.http.receive_data(part)
        else:
            conn.discards_input = True
    return False


def may_be_followed(conn: Connection) -> bool:
    """Whether what has come behind a whole request is nothing, or may begin another."""
    return NEXT_REQUEST.match(conn.http.trailing_data[0]) is not None


def read_body(conn: Connection, until: int | PieceDeadlines, max_bytes: int = MAX_BODY_BYTES) -> Coroutine:
    """A whole body, in the connection's buffer until it is complete.

    Raises BodyTooLargeError, and what next_event() raises.
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
    """The next line of a chunked answer, or None where the answer has ended. `until` bounds the silence.

    Raises BodyTooLargeError, and what next_event() raises.
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
    """The head of an answer, past what only says that one will come; raises what next_event() raises."""
    while True:
        event = yield from next_event(conn, until)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise h11.RemoteProtocolError("ended before an answer")


def request_bytes(
    conn: Connection, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], content: bytes = b""
) -> bytes:
    """The bytes of a whole request."""
    send = conn.http.send
    head = send(h11.Request(method=method, target=target, headers=headers))
    return head + (send(h11.Data(data=content)) if content else b"") + send(h11.EndOfMessage())


def response_bytes(
    conn: Connection, status: int, headers: list[tuple[bytes, bytes]], content: bytes, last: bool
) -> bytes:
    """The bytes of a whole answer; `last` tells the other side that the connection ends with it."""
    headers = [*headers, (b"content-length", b"%d" % len(content))]
    if last:
        headers.append((b"connection", b"close"))
    send = conn.http.send
    head = send(h11.Response(status_code=status, headers=headers))
    return head + (send(h11.Data(data=content)) if content else b"") + send(h11.EndOfMessage())


def resume_parsers(client: Connection, worker: Connection, headed: bool) -> None:
    """Parsers for connections taken over: a whole request behind the one, an answer to come on the other."""
    client.http.receive_data(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
    while not isinstance(client.http.next_event(), h11.EndOfMessage):
        pass
    request_bytes(worker, b"POST", b"/", [(b"host", b"h")])
    if headed:
        worker.http.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        worker.http.next_event()


def start_next_cycle(parser: h11.Connection) -> bool:
    """Whether its connection can carry another request, and made ready for it."""
    if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
        parser.start_next_cycle()
        return True
    return False


def parse_object(raw: bytes) -> dict:
    """One JSON object; ValueError for anything else."""
    value = orjson.loads(raw)
    if not isinstance(value, dict):
        raise ValueError(f"no object: {raw[:80]!r}")
    return value
