"""The second address, for operators alone: one call to a connection, taken up before what clients send."""

from urllib.parse import unquote

import h11

from mastledge.protocol import http
from mastledge.transport.connection import Connection
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.listening import accept
from mastledge.transport.loop import READ

WHOLE = 2_000_000  # in which a call must have come; a caller waits for its answer for half of that
LINGER = 200_000


class No(Exception):
    """The call is refused, with this status."""

    def __init__(self, status, why):
        self.status, self.why = status, why


class Answer:
    """A yes that is more than a text under 200."""

    def __init__(self, status, text, headers=(), kind="text/plain; charset=utf-8"):
        self.status, self.text, self.headers, self.kind = status, text, headers, kind


class Request:
    """What a call brings beside its path."""

    def __init__(self, head, body):
        self.headers, self.body = dict(head.headers), body


class Control:
    """`calls` maps a path, or its beginning up to the id, to the method and what carries it out, or methods
    to what carries them out and wants the request as well.

    That gives back the text of a yes or an Answer, or raises No; where it takes time it is a coroutine.
    """

    def __init__(self, loop, budget, calls, log):
        self.loop, self.budget, self.calls, self.log = loop, budget, calls, log
        self.callers, self.most = {}, http.MOST_BODY

    def listen(self, sock):
        while True:
            yield (sock.fileno(), READ, None)
            self.welcome(sock)

    def welcome(self, sock):
        while True:
            # A call that is under way ends by itself; who only stands there goes for the next.
            silent = [conn for conn, whole in self.callers.items() if not whole]
            if self.budget.used["operators"] >= self.budget.limits["operators"]:
                if not silent:
                    return
                # One that has not run yet would not give back what it holds by itself.
                self.loop.cancel(silent[0].owner)
                self.callers.pop(silent[0], None)
                silent[0].close()
            one, _ = accept(sock, self.budget)
            if one is None:
                return
            self.budget.used["operators"] += 1
            try:
                conn = http.attach(Connection(self.loop, one, self.budget, "operators"), h11.SERVER)
            except OSError:
                one.close()
                self.budget.release("operators")
                continue
            self.callers[conn] = False
            conn.owner = self.loop.spawn(self.serve(conn), first=True)

    def serve(self, conn):
        until, head, kind = self.loop.now() + WHOLE, None, "text/plain; charset=utf-8"
        try:
            try:
                head = yield from http.event(conn, until)
                if isinstance(head, h11.ConnectionClosed):
                    return
                http.framed(head, self.most)
                content = yield from http.body(conn, until, self.most)
                self.callers[conn] = True
                told = yield from self.done(head, content)
                if isinstance(told, Answer):
                    status, headers, text, kind = told.status, [*told.headers], told.text, told.kind
                else:
                    status, headers, text = 200, [], told
            except No as no:
                status, headers, text = no.status, [], no.why
            except WaitTimeoutError:
                status, headers, text = 408, [], "call not complete in time"
            except http.TooLarge:
                status, headers, text = 413, [], "body too large"
            except h11.RemoteProtocolError as error:
                if conn.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                    return
                status, headers, text = error.error_status_hint, [], str(error)
            self.callers[conn] = True
            if status >= 300:
                self.log("operator_call_refused", status=status, why=text[:200])
            headers.append((b"content-type", kind.encode()))
            head_only = head is not None and head.method == b"HEAD"
            content = b"" if head_only else text.removesuffix("\n").encode() + b"\n"
            yield from conn.send(http.answer(conn, status, headers, content, True), self.loop.now() + WHOLE)
            self.callers[conn] = False
            conn.shutdown_write()
            last = self.loop.now() + LINGER
            while (yield from conn.receive(last)):
                pass
        except (OSError, WaitTimeoutError):
            return
        finally:
            self.callers.pop(conn, None)
            conn.close()

    def done(self, head, content):
        path = head.target.partition(b"?")[0].decode("latin-1")
        start, _, rest = path.rpartition("/")
        worker = (unquote(rest),) if start + "/" in self.calls else ()
        call = self.calls.get(start + "/" if worker else path)
        if call is None or worker == ("",):
            raise No(404, "no such call")
        if isinstance(call, dict):
            if head.method not in call:
                raise No(405, f"this call goes by {' or '.join(method.decode() for method in call)}")
            told = call[head.method](*worker, Request(head, content))
        else:
            method, carry_out = call
            if head.method != method:
                raise No(405, f"this call goes by {method.decode()}")
            told = carry_out(*worker)
        if not isinstance(told, str | Answer):
            told = yield from told
        return told
