"""The second address, for operators alone: one call to a connection, taken up before what clients send."""

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

CALL_TIMEOUT_US = 2_000_000  # in which a call must have come; a caller waits for its answer for half of that
LINGER_US = 200_000  # what is still under way is read, or closing would reset the answer to it
TEXT = "text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a call is answered: a status, a text of this content type and more headers."""

    status: int
    text: str
    headers: Any = ()
    kind: str = TEXT


class Request:
    """What a call brings beside its path."""

    def __init__(self, head: h11.Request, body: bytes) -> None:
        """`headers` are by their name in lower case."""
        self.headers, self.body = dict(head.headers), body


class Control:
    """Answers operators' calls.

    `calls` maps a path, or its beginning up to the id, to the method and what carries it out, or methods
    to what carries them out and wants the request as well. That gives back the text of a yes or an Answer, or
    raises CallRefusedError; where it takes time it is a coroutine.
    """

    def __init__(self, loop: Loop, budget: Budget, calls: dict[str, Any], log: Callable) -> None:
        """Connections are counted as "operators" in the budget."""
        self.loop, self.budget, self.calls, self.log = loop, budget, calls, log
        self.callers = {}  # connection: whether its call has come as a whole and is not answered
        self.max_body_bytes = http.MAX_BODY_BYTES

    def listen(self, sock: socket.socket) -> Coroutine:
        """Accepts callers for ever."""
        while True:
            yield (sock.fileno(), READ, None)
            self._accept_all(sock)

    def _accept_all(self, sock):
        while self._make_place():
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

    def _make_place(self):
        """Whether one more may come: a call that is under way ends by itself, who only stands there goes."""
        if self.budget.used["operators"] < self.budget.limits["operators"]:
            return True
        silent = [conn for conn, whole in self.callers.items() if not whole]
        if not silent:
            return False
        # One that has not run yet would not give back what it holds by itself.
        self.loop.cancel(silent[0].owner)
        self.callers.pop(silent[0], None)
        silent[0].close()
        return True

    def _serve(self, conn):
        until, head = self.loop.now() + CALL_TIMEOUT_US, None
        try:
            try:
                head = yield from http.next_event(conn, until)
                if isinstance(head, h11.ConnectionClosed):
                    return
                answer = yield from self._carry_out(conn, head, until)
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

    def _carry_out(self, conn, head, until):
        http.body_limit(head, self.max_body_bytes)
        content = yield from http.read_body(conn, until, self.max_body_bytes)
        self.callers[conn] = True
        result = self._call(head, content)
        if not isinstance(result, str | Answer):
            result = yield from result
        return result if isinstance(result, Answer) else Answer(200, result)

    def _call(self, head, content):
        """What the call of a path and method returns: a text, an Answer or a coroutine."""
        path = head.target.partition(b"?")[0].decode("latin-1")
        start, _, rest = path.rpartition("/")
        worker = (unquote(rest),) if start + "/" in self.calls else ()
        call = self.calls.get(start + "/" if worker else path)
        if call is None or worker == ("",):
            raise CallRefusedError(404, "no such call")
        if isinstance(call, dict):
            if head.method not in call:
                methods = " or ".join(method.decode() for method in call)
                raise CallRefusedError(405, f"this call goes by {methods}")
            return call[head.method](*worker, Request(head, content))
        method, carry_out = call
        if head.method != method:
            raise CallRefusedError(405, f"this call goes by {method.decode()}")
        return carry_out(*worker)

    def _send(self, conn, answer, head_only):
        headers = [*answer.headers, (b"content-type", answer.kind.encode())]
        content = b"" if head_only else answer.text.removesuffix("\n").encode() + b"\n"
        response = http.response_bytes(conn, answer.status, headers, content, True)
        yield from conn.send(response, self.loop.now() + CALL_TIMEOUT_US)
        self.callers[conn] = False
        conn.shutdown_write()
        last = self.loop.now() + LINGER_US
        while (yield from conn.receive(last)):
            pass


def refusal(conn: Connection, error: Exception) -> Answer | None:
    """The answer to a call that failed, None where its connection can carry none."""
    if isinstance(error, CallRefusedError):
        return Answer(error.status, error.why)
    if isinstance(error, WaitTimeoutError):
        return Answer(408, "call not complete in time")
    if isinstance(error, BodyTooLargeError):
        return Answer(413, "body too large")
    if conn.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return None
    return Answer(error.error_status_hint, str(error))
