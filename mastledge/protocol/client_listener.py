"""Clients: takes their jobs, holds the connection until the answer, notices when they leave."""

from collections import deque

import h11

from mastledge.protocol import http
from mastledge.protocol.requests import COMPLETED, KILLED, REJECTED, BadRequest, Requests
from mastledge.transport.budget import CLIENT_EVICTION_ORDER
from mastledge.transport.connection import Connection
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.listening import accept
from mastledge.transport.loop import CONNECTION_ENDED, READ

WHOLE = 10_000_000  # a request must be whole this long after its first byte, the first one after the connect
SILENT = 3_000_000  # nor silent for longer in between: some are written slowly, others never to an end
SLOW = 5_000_000  # an answer that its client does not read is held for this long
IDLE = 120_000_000
YOUNG = 1_000_000
FRESH = 250_000  # a connection is opened for a request, which may be on its way
PATIENCE = 250_000  # after which it may come again where there was no room for it
FREE = 3  # connections of clients, while leaving: a burst comes before a rejection has freed one
FEWER = 250_000  # after SIGTERM; from then on new connections go to others
PAUSE = 20_000  # where descriptors are short
ACCEPTS = 32  # in a turn: a crowd that comes at once must not hold up who is there
CLOSES, REFUSES, HANGS_UP = 500_000, 1_700_000, 3_000_000  # after the call to drain; see docs/operations.md
LAST_WORD = 5_000  # after the end of a walltime
LINGER = 1_000_000  # what is still under way is read, or closing would reset the answer to it


class ClientListener:
    """Everything between the listening socket and the queue of the decisions."""

    def __init__(self, loop, budget, inbox, words, log):
        self.loop, self.budget, self.inbox, self.log = loop, budget, inbox, log
        self.clients, self.ready, self.in_hand = set(), False, 0
        self.leaving = self.closing = self.draining = self.succeeded = False
        self.ended = {what: {} for what in ("passed", "dropped", "bad_gateway")}
        self.names, self.known = set(), deque()
        self.idempotency = None  # where keys are kept: what becomes of a job whose key has come before
        self.rule = None  # where dispatchers agree: whether what is in force is known here
        self.gate = None  # where a start is gradual: who is admitted, by `serve`, round `taken`
        self.configure(words)

    def configure(self, words):
        """For what comes from now on; who waits for an answer goes on doing so."""
        self.requests, self.most_held = Requests(words), words["most_held"]
        for kinds in self.ended.values():
            kinds.update({qt["name"]: kinds.get(qt["name"], 0) for qt in words["queue_types"]})
        self.few = words["dispatchers"] <= 2
        hold_off = min(words["hold_off"], PATIENCE)
        self.no_room = REJECTED, [(b"retry-after", b"%.3f" % (hold_off / 1e6))] if hold_off else [], b""

    def up(self):
        return self.ready and not self.leaving and not self.draining and self.lawful()

    def lawful(self):
        return self.rule is None or self.rule.may_act(self.loop.now())

    def count(self, kind, status):
        """Each job under one count, also what was answered here alone. 4xx: it was none."""
        if kind in self.ended["passed"] and (status == REJECTED or not 400 <= status < 500):
            what = {COMPLETED: "passed", REJECTED: "dropped"}.get(status, "bad_gateway")
            self.ended[what][kind] += 1

    def let_go(self):
        """While draining: most have left with an answer; the others are closed where that crosses nothing."""
        gone = self.loop.now() - self.draining
        for place, since in (("unused", CLOSES), ("clients", CLOSES), ("begun", HANGS_UP)):
            if gone >= since:
                self.close_all(place)

    def close_all(self, place):
        """Closes who rests there and will close now, but for who has only just come."""
        old = self.loop.now() - FRESH
        for conn, close in list(self.budget.idle[place].items()):
            if conn.opened_us <= old:
                close()

    def listen(self, sock):
        while True:
            yield (sock.fileno(), READ, None)
            if self.last_call(sock, ACCEPTS):
                self.log("out_of_descriptors", clients=len(self.clients))
                yield (-1, 0, self.loop.now() + PAUSE)

    def last_call(self, sock, most=0):
        """Takes in what the machine has accepted, or the most; True where descriptors do not suffice."""
        while not self.budget.is_exhausted("clients"):
            one, short = accept(sock, self.budget)
            if one is None:
                return short
            try:
                self.welcome(one)
            except OSError as error:
                # It may be gone before it is looked at.
                self.log("client_lost", why=str(error))
            most -= 1
            if not most:
                return False
        return True

    def welcome(self, sock):
        # Its request may count as taken already, so beyond the budget it still gets a proper rejection.
        beyond = not self.budget.acquire("clients")
        if beyond:
            self.budget.used["clients"] += 1
        try:
            conn = http.attach(Connection(self.loop, sock, self.budget, "clients"), h11.SERVER)
        except OSError:
            sock.close()
            self.budget.release("clients")
            raise
        conn.owner = self.loop.spawn(self.serve(conn, beyond))
        self.clients.add(conn)

    def close_idle(self, conn):
        """Closes it unless a request is under way, which a client would have to send again."""
        if not conn.is_quiet():
            return False
        self.loop.cancel(conn.owner)
        return True

    def close_all_idle(self):
        for place in ("unused", "unfinished", "clients"):
            self.close_all(place)

    def serve(self, conn, beyond):
        # Who connects and says nothing, or never all of it, goes before any client that has had an answer.
        loop, idle, until = self.loop, "unused", self.loop.now() + WHOLE
        try:
            while True:
                self.rests(idle, conn)
                if conn.http.trailing_data == (b"", False):
                    wait = until if idle == "unused" else loop.now() + IDLE
                    if not (yield (conn.fd, READ, wait)) and conn.is_quiet():
                        return
                try:
                    until = until if idle == "unused" else loop.now() + WHOLE
                    reply = yield from self.one(conn, beyond, until)
                except BadRequest as bad:
                    reply = bad.status, [], bad.why.encode()
                except http.TooLarge:
                    reply = 413, [], b"body too large"
                except h11.RemoteProtocolError as error:
                    if conn.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                        return
                    reply = 413 if error.error_status_hint == 431 else 400, [], str(error).encode()
                except (OSError, WaitTimeoutError):
                    return
                except Exception as error:
                    # Who is closed on with no answer sends again, while what is out for it may run.
                    self.log("internal_error", call="serve", why=f"{type(error).__name__}: {error}")
                    reply = KILLED, [], b""
                else:
                    idle = "clients"
                self.rests("unused" if idle == "unused" else None, conn)
                if reply is None:
                    return
                status, headers, content = reply
                if 400 <= status < 500:
                    self.log("bad_request", status=status, why=content[:200].decode("latin-1"))
                # Nothing that follows what could not be read, or not be used, can be trusted.
                last = (
                    beyond
                    or self.closing
                    or self.draining
                    or 400 <= status < 500
                    or conn.discards_input
                    or conn.http.their_state is not h11.DONE
                )
                yield from conn.send(http.answer(conn, status, headers, content, last), loop.now() + SLOW)
                if last or not http.again(conn.http):
                    self.rests("unused", conn)
                    yield from self.linger(conn)
                    return
        except (OSError, WaitTimeoutError):
            return
        finally:
            self.rests(None, conn)
            self.clients.discard(conn)
            conn.close()

    def rests(self, place, conn):
        """Where it stands among those that give way when descriptors run short; None: not among them."""
        for kind in CLIENT_EVICTION_ORDER:
            self.budget.remove_idle(kind, conn)
        if place is not None:
            self.budget.add_idle(place, conn, lambda: self.close_idle(conn))

    def come(self, conn, pieces):
        """So many pieces of a request are here, the last one now; called with none while it is awaited."""
        self.rests("begun", conn)
        if pieces < 2:
            # Half a request of a moment ago may be whole in the next; of long ago, hardly ever.
            young = self.loop.now() + YOUNG
            self.budget.add_idle(
                "unfinished", conn, lambda: self.loop.now() >= young and self.close_idle(conn)
            )

    def linger(self, conn):
        conn.shutdown_write()
        until, left = self.loop.now() + LINGER, 16 * http.MOST_BODY
        while left > 0:
            part = yield from conn.receive(until)
            if not part:
                return
            left -= len(part)

    def one(self, conn, beyond, until):
        """One request: its answer, or None where the client has gone."""
        pieces = http.Pieces(until, SILENT, lambda n: self.come(conn, n))
        pieces.heard(0)
        try:
            head = yield from http.event(conn, pieces)
            if isinstance(head, h11.ConnectionClosed):
                return None
            size = http.framed(head)
            self.rests(None, conn)
            if not self.budget.reserve_memory(size):
                self.log("memory_limit", held=self.budget.request_bytes, clients=len(self.clients))
                self.count(self.requests.name_of(head), REJECTED)
                return self.no_room
            try:
                pieces.heard(pieces.count)
                content = yield from http.body(conn, pieces)
                return (yield from self.whole(conn, head, content, beyond))
            finally:
                self.budget.release_memory(size)
        except WaitTimeoutError:
            raise BadRequest(408, "request not complete in time") from None

    def whole(self, conn, head, content, beyond):
        self.rests(None, conn)
        gone = http.left(conn)
        if not http.next_begins(conn):
            # A length that is too small cuts a body off, and its rest would be read as the next request.
            raise BadRequest(400, "bytes beyond the stated length")
        if head.method == b"HEAD":
            raise BadRequest(405, "")
        path = head.target.partition(b"?")[0]
        if path == b"/health/ready":
            # Who asks here means the dispatcher, which goes on in another process where that has taken over.
            up = self.up() or self.succeeded and not self.draining
            return (200 if up else 503), [], b"ready" if up else b"not ready"
        if path == b"/health/live":
            return 200, [], b"live"
        exchange, told = self.requests.job(head, content, self.loop.now())
        if gone:
            return None
        if not self.new(exchange):
            # An id is new with every request, so this is another's, and that job goes on untouched.
            raise BadRequest(409, "X-Txn is in use")
        if beyond or self.in_hand >= self.most_held or self.crowded() or not self.lawful():
            # Nothing of it was sent anywhere, so trying again is harmless.
            self.log("connection_limit", job=exchange.name, clients=len(self.clients))
            self.count(exchange.kind, REJECTED)
            return self.no_room
        if self.gate is None:
            return (yield from self.taken(conn, exchange, told))
        return (yield from self.gate.serve(conn, exchange, told, (b"x-resent", b"1") in head.headers))

    def taken(self, conn, exchange, told):
        """A job that is let in: its answer, or None where its client has gone."""
        self.in_hand += 1
        self.names.add(exchange.name)
        self.known.append((exchange.until, exchange.name))
        if self.idempotency is not None and exchange.key is not None:
            try:
                reply = yield from self.idempotency.offer(conn, exchange, told)
                if reply is not None:
                    self.count(exchange.kind, reply[0])
                return reply
            finally:
                self.in_hand -= 1
        exchange.conn, exchange.answer = conn, lambda *answer: self.loop.wake(conn.owner, answer)
        exchange.gone = lambda: http.left(conn)
        try:
            self.inbox.put("arrived", exchange, *told)
            reply = yield from self.outcome(conn, exchange)
            if reply is not None:
                self.count(exchange.kind, reply[0])
            return reply
        finally:
            self.in_hand -= 1
            if exchange.open:
                exchange.open = False
                self.inbox.put("abandoned", exchange)

    def resumed(self, conn, exchange):
        """Goes on with a client whose job another process has handed on, up to its answer."""
        self.in_hand += 1
        self.clients.add(conn)
        self.names.add(exchange.name)
        self.known.append((exchange.until, exchange.name))
        try:
            try:
                reply = yield from self.outcome(conn, exchange)
            finally:
                self.in_hand -= 1
                exchange.open = False
            if reply is not None:
                self.count(exchange.kind, reply[0])
                yield from conn.send(http.answer(conn, *reply, True), self.loop.now() + SLOW)
                yield from self.linger(conn)
        except (OSError, WaitTimeoutError):
            return
        finally:
            self.clients.discard(conn)
            conn.close()

    def new(self, exchange):
        """Whether no job of this id was taken in the time that its client can wait for it."""
        known, now = self.known, self.loop.now()
        while known and known[0][0] <= now:
            self.names.discard(known.popleft()[1])
        return exchange.name not in self.names

    def crowded(self):
        """Who finds all its connections busy opens one more, and that comes to nobody where all are leaving.

        So some are kept free, and what would take them comes again in a moment. Where there are more than
        two dispatchers, some other is up and takes at once what does not come here.
        """
        if self.draining and self.loop.now() >= self.draining + REFUSES:
            return True
        late = self.few and self.leaving and not self.succeeded and self.loop.now() >= self.leaving + FEWER
        return late and len(self.budget.idle["clients"]) < FREE

    def awaited(self, conn, until):
        """The answer that its coroutine is woken with; None: the client has left; (): it is late."""
        for _ in range(2):
            got = READ
            while got:
                got = yield (conn.fd, READ, until)  # the end is read as well, and no other mask costs a call
                if isinstance(got, tuple):
                    return got
                # Who ends only its sending has left as well: the two are not to be told apart.
                if got & CONNECTION_ENDED or got and http.left(conn):
                    return None
            # What came in this very turn is still on its way through the decisions.
            until = self.loop.now() + LAST_WORD
        return ()

    def outcome(self, conn, exchange):
        got = yield from self.awaited(conn, exchange.until)
        if got != ():
            return got
        # The decisions end each job before this; should they fail at it, the client still gets its answer.
        self.log("answer_late", job=exchange.name)
        return KILLED, [], b""
