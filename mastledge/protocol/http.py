"""h11 on a connection: events in, bytes out."""

import re

import h11
import orjson

MOST_BODY = 64 * 1024
MOST_HEAD = 32 * 1024
MOST_CHUNKS = 1024  # of one body: a byte in each costs a hundred times its worth to read
BEHIND = 16 * 1024  # what is held of the requests behind one that is not answered yet
READS = 4  # looks of 16 KiB each for the end that stands behind them, in one go
MOST_LINE = 8 * MOST_BODY  # a result is text inside JSON, where a byte may take six
# What speaks of one connection only, or is said anew on the next one.
DROPPED = {
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
NEXT = re.compile(rb"\s*(?:(?:GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) [!-~]|[A-Z]{0,7} ?$)")


class TooLarge(Exception):
    """A body beyond what the protocol allows."""


def attach(conn, role):
    conn.http = h11.Connection(role, max_incomplete_event_size=MOST_HEAD)
    return conn


class Pieces:
    """Bounds what comes in pieces, in all and between two of them, and tells of each."""

    __slots__ = ("until", "silent", "heard", "count")

    def __init__(self, until, silent, heard):
        self.until, self.silent, self.heard, self.count = until, silent, heard, 0

    def came(self):
        self.count += 1
        self.heard(self.count)


def event(conn, until):
    """The next event of h11, waiting for bytes as needed: until a time, or for one piece after the other."""
    http, pieces = conn.http, until if isinstance(until, Pieces) else None
    while True:
        got = http.next_event()
        if got is not h11.NEED_DATA:
            return got
        if pieces is not None:
            until = min(pieces.until, conn.loop.now() + pieces.silent)
        if http.they_are_waiting_for_100_continue:
            yield from conn.send(http.send(h11.InformationalResponse(status_code=100, headers=[])), until)
        http.receive_data((yield from conn.receive(until)))
        if pieces is not None:
            pieces.came()


def framed(head, most=MOST_BODY):
    """The most its body can hold. Refuses what others could bound otherwise: it may hide a second request."""
    names = [name for name, _ in head.headers]
    if head.http_version not in (b"1.0", b"1.1"):
        raise h11.RemoteProtocolError("no HTTP/1.1")
    if b"transfer-encoding" in names and (b"content-length" in names or head.http_version == b"1.0"):
        raise h11.RemoteProtocolError("Transfer-Encoding beside another length")
    size = next((int(value) for name, value in head.headers if name == b"content-length"), 0)
    if size > most:
        raise TooLarge
    return most if b"transfer-encoding" in names else size


def lane(head):
    """The queue type that a path names, as it stands there."""
    return head.target.partition(b"?")[0][1:].partition(b"/")[0]


def left(conn):
    """Whether a client has ended its sending, or its connection broke, while its request is in hand.

    That stands behind whatever else it has sent, so this is read: what can be the next requests is held, up
    to a bound, and what is beyond that is dropped, as the bound of a socket's own buffer would hide the end.
    """
    for _ in range(READS):
        try:
            part = conn.buffer.receive(conn.sock)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if not part:
            return True
        if not conn.discards_input and len(conn.http.trailing_data[0]) + len(part) <= BEHIND:
            conn.http.receive_data(part)
        else:
            conn.discards_input = True
    return False


def next_begins(conn):
    """Whether what has come behind a whole request is nothing, or may begin another."""
    return NEXT.match(conn.http.trailing_data[0]) is not None


def body(conn, until, most=MOST_BODY):
    """A whole body, in the connection's buffer until it is complete."""
    conn.buffer.clear()
    chunks = 0
    while True:
        got = yield from event(conn, until)
        if isinstance(got, h11.EndOfMessage):
            return conn.buffer.take()
        if isinstance(got, h11.Data):
            conn.buffer.append(got.data)
            chunks += got.chunk_start
            if len(conn.buffer) > most or chunks > MOST_CHUNKS:
                raise TooLarge
        else:
            raise h11.RemoteProtocolError(f"{type(got).__name__} inside a body")


def lines(conn, until, most=MOST_LINE):
    """The next line of a chunked answer, or None where the answer has ended. `until` bounds the silence."""
    while True:
        line = conn.buffer.next_line()
        if line is not None:
            return line
        if conn.http.their_state is not h11.SEND_BODY:
            return conn.buffer.take() or None
        if len(conn.buffer) > most:
            raise TooLarge
        got = yield from event(conn, until)
        if isinstance(got, h11.Data):
            conn.at_chunk_end = got.chunk_end
            conn.buffer.append(got.data)


def head(conn, until):
    """The head of an answer, past what only says that one will come."""
    while True:
        got = yield from event(conn, until)
        if isinstance(got, h11.Response):
            return got
        if not isinstance(got, h11.InformationalResponse):
            raise h11.RemoteProtocolError("ended before an answer")


def request(conn, method, target, headers, content=b""):
    """The bytes of a whole request."""
    send = conn.http.send
    head = send(h11.Request(method=method, target=target, headers=headers))
    return head + (send(h11.Data(data=content)) if content else b"") + send(h11.EndOfMessage())


def resume(client, worker, headed):
    """Parsers for connections taken over: a whole request behind the one, an answer to come on the other."""
    client.http.receive_data(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
    while not isinstance(client.http.next_event(), h11.EndOfMessage):
        pass
    request(worker, b"POST", b"/", [(b"host", b"h")])
    if headed:
        worker.http.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        worker.http.next_event()


def answer(conn, status, headers, content, last):
    """The bytes of a whole answer; `last` tells the other side that the connection ends with it."""
    headers = [*headers, (b"content-length", b"%d" % len(content))]
    if last:
        headers.append((b"connection", b"close"))
    send = conn.http.send
    head = send(h11.Response(status_code=status, headers=headers))
    return head + (send(h11.Data(data=content)) if content else b"") + send(h11.EndOfMessage())


def again(parser):
    """Whether its connection can carry another request, and made ready for it."""
    if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
        parser.start_next_cycle()
        return True
    return False


def loads(raw):
    """One JSON object; ValueError for anything else."""
    got = orjson.loads(raw)
    if not isinstance(got, dict):
        raise ValueError(f"no object: {raw[:80]!r}")
    return got
