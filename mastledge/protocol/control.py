"""HTTP listener for operator calls: one call per connection, served before client requests."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

import h11

from mastledge.protocol import http
from mastledge.protocol.errors import BodyTooLargeError, CallRefusedError
from mastledge.transport.budget import Budget
from mastledge.transport.connection import Connection
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.listening import accept
from mastledge.transport.loop import READ, Coroutine, Loop

CALL_TIMEOUT_US = 2_000_000  # for a call to arrive; a caller waits half of that for the answer
LINGER_US = 200_000  # input is read for this long: closing with unread bytes would reset the answer
TEXT = "text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Answer:
    """Holds the answer to a call: status, text, additional headers and content type (`kind`)."""

    status: int
    text: str
    headers: Any = ()
    kind: str = TEXT


class Request:
    """Holds the headers and the body of a call."""

    def __init__(self, head: h11.Request, body: bytes) -> None:
        """`headers` maps lower-case names to values."""
        self.headers, self.body = dict(head.headers), body


class Control:
    """Serves operator calls.

    `calls` maps a path, or a path prefix before a worker id, to (method, handler), or to handlers by method,
    which also take the Request. A handler returns the text of a 200 answer or an Answer, or raises
    CallRefusedError; a handler that takes time is a coroutine.
    """

    def __init__(self, loop: Loop, budget: Budget, calls: dict[str, Any], log: Callable) -> None:
        """The budget counts the connections as "operators"."""
        self.loop, self.budget, self.calls, self.log = loop, budget, calls, log
        self.callers = {}  # connection: whether its call is complete and not yet answered
        self.max_body_bytes = http.MAX_BODY_BYTES

    def listen(self, sock: socket.socket) -> Coroutine:
        """Accept operator connections forever."""
        while True:
            yield (sock.fileno(), READ, None)
            self._accept_all(sock)

    def _accept_all(self, sock):
        while self._make_room():
            accepted, _ = accept(sock, self.budget)
            if accepted is None:
                return
            self.budget.used["operators"] += 1
            try:
                conn = http.attach(Connection(self.loop, accepted, self.budget, "operators"), h11.SERVER)
            except OSError:
                accepted.close()
                self.budget.release("operators")
                continue
            self.callers[conn] = False
            conn.owner = self.loop.spawn(self._serve(conn), first=True)

    def _make_room(self):
        """Make room for one more connection and return whether there is any.

        A connection without a complete call is closed for it; a call in progress is not interrupted.
        """
        if self.budget.used["operators"] < self.budget.limits["operators"]:
            return True
        evictable = [conn for conn, in_progress in self.callers.items() if not in_progress]
        if not evictable:
            return False
        # A task that has not started yet does not run its finally clause when it is cancelled.
        self.loop.cancel(evictable[0].owner)
        self.callers.pop(evictable[0], None)
        evictable[0].close()
        return True

    def _serve(self, conn):
        until, head = self.loop.now() + CALL_TIMEOUT_US, None
        try:
            try:
                head = yield from http.next_event(conn, until)
                if isinstance(head, h11.ConnectionClosed):
                    return
                answer = yield from self._execute(conn, head, until)
            except (CallRefusedError, WaitTimeoutError, BodyTooLargeError, h11.RemoteProtocolError) as error:
                answer = refusal(conn, error)
                if answer is None:
                    return
            self.callers[conn] = True
            if answer.status >= 300:
                self.log("operator_call_refused", status=answer.status, why=answer.text[:200])
            yield from self._send(conn, answer, head is not None and head.method == b"HEAD")
        except (OSError, WaitTimeoutError):
            return
        finally:
            self.callers.pop(conn, None)
            conn.close()

    def _execute(self, conn, head, until):
        http.body_limit(head, self.max_body_bytes)
        content = yield from http.read_body(conn, until, self.max_body_bytes)
        self.callers[conn] = True
        result = self._call(head, content)
        if not isinstance(result, str | Answer):
            result = yield from result
        return result if isinstance(result, Answer) else Answer(200, result)

    def _call(self, head, content):
        """Run the handler of a path and method; return its result: a text, an Answer or a coroutine."""
        path = head.target.partition(b"?")[0].decode("latin-1")
        prefix, _, last_segment = path.rpartition("/")
        worker = (unquote(last_segment),) if prefix + "/" in self.calls else ()
        call = self.calls.get(prefix + "/" if worker else path)
        if call is None or worker == ("",):
            raise CallRefusedError(404, "no such call")
        if isinstance(call, dict):
            if head.method not in call:
                methods = " or ".join(method.decode() for method in call)
                raise CallRefusedError(405, f"this call goes by {methods}")
            return call[head.method](*worker, Request(head, content))
        method, handler = call
        if head.method != method:
            raise CallRefusedError(405, f"this call goes by {method.decode()}")
        return handler(*worker)

    def _send(self, conn, answer, head_only):
        headers = [*answer.headers, (b"content-type", answer.kind.encode())]
        content = b"" if head_only else answer.text.removesuffix("\n").encode() + b"\n"
        response = http.response_bytes(conn, answer.status, headers, content, True)
        yield from conn.send(response, self.loop.now() + CALL_TIMEOUT_US)
        self.callers[conn] = False
        conn.shutdown_write()
        until = self.loop.now() + LINGER_US
        while (yield from conn.receive(until)):
            pass


def refusal(conn: Connection, error: Exception) -> Answer | None:
    """Return the answer to a failed call, or None if none can be sent on its connection."""
    if isinstance(error, CallRefusedError):
        return Answer(error.status, error.why)
    if isinstance(error, WaitTimeoutError):
        return Answer(408, "call not complete in time")
    if isinstance(error, BodyTooLargeError):
        return Answer(413, "body too large")
    if conn.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return None
    return Answer(error.error_status_hint, str(error))
