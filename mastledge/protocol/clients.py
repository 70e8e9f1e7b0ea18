"""Clients: takes their jobs, holds the connection until the answer, notices when they leave."""

import h11

from mastledge.protocol import http
from mastledge.protocol.requests import KILLED, REJECTED, BadRequest, Requests
from mastledge.transport.connection import Connection, TimedOut, accept
from mastledge.transport.loop import ENDED, GONE, READ

SLOW = 30_000_000  # a request that has begun must be whole by then
IDLE = 120_000_000
PAUSE = 20_000  # where descriptors are short
LINGER = 1_000_000  # what is still under way is read, or closing would reset the answer to it


class Door:
    """Everything between the listening socket and the queue of the decisions."""

    def __init__(self, loop, budget, inbox, words, log):
        self.loop, self.budget, self.inbox, self.log = loop, budget, inbox, log
        self.requests, self.most_held = Requests(words), words["most_held"]
        self.clients, self.ready, self.leaving, self.in_hand = set(), False, False, 0

    def listen(self, sock):
        while True:
            yield (sock.fileno(), READ, None)
            if self.last_call(sock):
                self.log("out_of_descriptors", clients=len(self.clients))
                yield (-1, 0, self.loop.now() + PAUSE)

    def last_call(self, sock):
        """Takes in all that the machine has accepted; True where descriptors do not suffice for that."""
        while not self.budget.beyond("clients"):
            one, short = accept(sock, self.budget)
            if one is None:
                return short
            try:
                self.welcome(one)
            except OSError as error:
                # It may be gone before it is looked at.
                self.log("client_lost", why=str(error))
        return True

    def welcome(self, sock):
        # Its request may count as taken already, so beyond the budget it still gets a proper rejection.
        beyond = not self.budget.take("clients")
        if beyond:
            self.budget.used["clients"] += 1
        try:
            conn = http.attach(Connection(self.loop, sock, self.budget, "clients"), h11.SERVER)
        except OSError:
            sock.close()
            self.budget.give("clients")
            raise
        conn.owner = self.loop.spawn(self.serve(conn, beyond))
        self.clients.add(conn)

    def close_idle(self, conn):
        """Closes it unless a request is under way, which a client would have to send again."""
        if not conn.quiet():
            return False
        self.loop.cancel(conn.owner)
        return True

    def close_all_idle(self):
        for close in list(self.budget.idle["clients"].values()):
            close()

    def serve(self, conn, beyond):
        loop = self.loop
        try:
            while True:
                self.budget.rest("clients", conn, lambda: self.close_idle(conn))
                if conn.http.trailing_data == (b"", False):
                    if not (yield (conn.fd, READ, loop.now() + IDLE)):
                        if conn.quiet():
                            return
                self.budget.busy("clients", conn)
                self.budget.rest("unfinished", conn, lambda: self.close_idle(conn))
                try:
                    reply = yield from self.one(conn, beyond)
                except BadRequest as bad:
                    self.log("bad_request", status=bad.status, why=bad.why)
                    reply = bad.status, [], bad.why.encode()
                    beyond = beyond or bad.status in (400, 408, 413)
                except http.TooLarge:
                    self.log("bad_request", status=413, why="body too large")
                    reply, beyond = (413, [], b"body too large"), True
                except h11.RemoteProtocolError as error:
                    if conn.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                        return
                    status = 413 if error.error_status_hint == 431 else 400
                    self.log("bad_request", status=status, why=str(error))
                    reply, beyond = (status, [], str(error).encode()), True
                self.budget.busy("unfinished", conn)
                if reply is None:
                    return
                status, headers, content = reply
                last = beyond or self.leaving
                yield from conn.send(http.answer(conn, status, headers, content, last), loop.now() + SLOW)
                if last or not http.again(conn.http):
                    yield from self.linger(conn)
                    return
        except (OSError, TimedOut):
            return
        finally:
            self.budget.busy("clients", conn)
            self.budget.busy("unfinished", conn)
            self.clients.discard(conn)
            conn.close()

    def linger(self, conn):
        conn.end_sending()
        until, left = self.loop.now() + LINGER, 16 * http.MOST_BODY
        while left > 0:
            part = yield from conn.receive(until)
            if not part:
                return
            left -= len(part)

    def one(self, conn, beyond):
        """One request: its answer, or None where the client has gone."""
        until = self.loop.now() + SLOW
        try:
            head = yield from http.event(conn, until)
            if isinstance(head, h11.ConnectionClosed):
                return None
            for name, value in head.headers:
                if name == b"content-length" and int(value) > http.MOST_BODY:
                    raise http.TooLarge
            content = yield from http.body(conn, until)
        except TimedOut:
            raise BadRequest(408, "request not complete in time") from None
        self.budget.busy("unfinished", conn)
        if head.method == b"HEAD":
            raise BadRequest(405, "")
        path = head.target.partition(b"?")[0]
        if path == b"/health/ready":
            up = self.ready and not self.leaving
            return (200 if up else 503), [], b"ready" if up else b"not ready"
        if path == b"/health/live":
            return 200, [], b"live"
        exchange, told = self.requests.job(head, content, self.loop.now())
        if beyond or self.in_hand >= self.most_held:
            # Nothing of it was sent anywhere, so trying again is harmless.
            self.log("no_room", job=exchange.name, clients=len(self.clients))
            return REJECTED, [], b""
        self.in_hand += 1
        exchange.answer = lambda *answer: self.loop.wake(conn.owner, answer)
        try:
            self.inbox.put("arrived", exchange, *told)
            return (yield from self.outcome(conn, exchange))
        finally:
            self.in_hand -= 1
            if exchange.open:
                exchange.open = False
                self.inbox.put("abandoned", exchange)

    def outcome(self, conn, exchange):
        got = READ
        while got:
            got = yield (conn.fd, GONE, exchange.until)
            if isinstance(got, tuple):
                return got
            if got & ENDED:
                return None
        # The decisions end each job before this; should they fail at it, the client still gets its answer.
        self.log("late", job=exchange.name)
        return KILLED, [], b""
