"""Jobs of clients that are in hand: from their admission to the one answer."""

from collections import deque
from collections.abc import Callable

from mastledge.protocol import http
from mastledge.protocol.events import JobAbandoned, JobArrived
from mastledge.protocol.requests import COMPLETED, KILLED, REJECTED, Exchange
from mastledge.transport.connection import Connection
from mastledge.transport.loop import CONNECTION_ENDED, READ, Coroutine, Loop, Queue

LAST_WORD_US = 5_000  # after the end of a walltime
LATE = ()  # in place of an answer: none came in time


class ClientJobs:
    """Puts jobs into the queue of the decisions, waits for their answers and counts these.

    `idempotency` is set where keys are kept: what becomes of a job whose key has come before.
    """

    def __init__(self, loop: Loop, inbox: Queue, log: Callable) -> None:
        """`inbox` takes `JobArrived`, and `JobAbandoned` for who has left."""
        self.loop, self.inbox, self.log = loop, inbox, log
        self.in_hand = 0
        self.ended = {what: {} for what in ("passed", "dropped", "bad_gateway")}
        self.idempotency = None
        self._names = set()
        self._expiries = deque()  # (end of the walltime, name) of what is in _names

    def configure(self, queue_types: list[dict]) -> None:
        """Counts jobs of these queue types as well."""
        for counts in self.ended.values():
            counts.update({each["name"]: counts.get(each["name"], 0) for each in queue_types})

    def count(self, kind: str | None, status: int) -> None:
        """Each job under one count, also what was answered by the listener alone. 4xx: it was none."""
        if kind in self.ended["passed"] and (status == REJECTED or not 400 <= status < 500):
            what = {COMPLETED: "passed", REJECTED: "dropped"}.get(status, "bad_gateway")
            self.ended[what][kind] += 1

    def is_new(self, exchange: Exchange) -> bool:
        """Whether no job of this id was taken in the time that its client can wait for it."""
        expiries, now = self._expiries, self.loop.now()
        while expiries and expiries[0][0] <= now:
            self._names.discard(expiries.popleft()[1])
        return exchange.name not in self._names

    def take(self, conn: Connection, exchange: Exchange, arrival: tuple) -> Coroutine:
        """A job that is let in: its answer, or None where its client has gone."""
        self._begin(exchange)
        if self.idempotency is not None and exchange.key is not None:
            try:
                reply = yield from self.idempotency.offer(conn, exchange, arrival)
                return self._counted(exchange, reply)
            finally:
                self.in_hand -= 1
        exchange.conn, exchange.answer = conn, lambda *answer: self.loop.wake(conn.owner, answer)
        exchange.check_left = lambda: http.has_left(conn)
        try:
            self.inbox.put(JobArrived(exchange, arrival))
            reply = yield from self.answer(conn, exchange)
            return self._counted(exchange, reply)
        finally:
            self.in_hand -= 1
            if exchange.open:
                exchange.open = False
                self.inbox.put(JobAbandoned(exchange))

    def resume(self, conn: Connection, exchange: Exchange) -> Coroutine:
        """The answer of a job that another process has handed on, or None where its client has gone."""
        self._begin(exchange)
        try:
            reply = yield from self.answer(conn, exchange)
        finally:
            self.in_hand -= 1
            exchange.open = False
        return self._counted(exchange, reply)

    def answer(self, conn: Connection, exchange: Exchange) -> Coroutine:
        """The answer as (status, headers, content), or None where the client has left."""
        reply = yield from self.wait_for_answer(conn, exchange.until)
        if reply != LATE:
            return reply
        # The decisions end each job before this; should they fail at it, the client still gets its answer.
        self.log("answer_late", job=exchange.name)
        return KILLED, [], b""

    def wait_for_answer(self, conn: Connection, until: int) -> Coroutine:
        """The answer that its coroutine is woken with; None: the client has left; LATE: none came."""
        for _ in range(2):
            got = READ
            while got:
                got = yield (conn.fd, READ, until)  # the end is read as well, and no other mask costs a call
                if isinstance(got, tuple):
                    return got
                # Who ends only its sending has left as well: the two are not to be told apart.
                if got & CONNECTION_ENDED or got and http.has_left(conn):
                    return None
            # What came in this very iteration is still on its way through the decisions.
            until = self.loop.now() + LAST_WORD_US
        return LATE

    def _begin(self, exchange):
        self.in_hand += 1
        self._names.add(exchange.name)
        self._expiries.append((exchange.until, exchange.name))

    def _counted(self, exchange, reply):
        if reply is not None:
            self.count(exchange.kind, reply[0])
        return reply
