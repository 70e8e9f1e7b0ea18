"""Tracks admitted client jobs until each is answered."""

from collections import deque
from collections.abc import Callable

from mastledge.protocol import http
from mastledge.protocol.events import JobAbandoned, JobArrived
from mastledge.protocol.requests import COMPLETED, KILLED, REJECTED, Exchange
from mastledge.transport.connection import Connection
from mastledge.transport.loop import CONNECTION_ENDED, READ, Coroutine, Loop, Queue

ANSWER_GRACE_US = 5_000  # grace time after the end of a walltime
NO_ANSWER = ()  # returned by `wait_for_answer` when no answer came in time


class ClientJobs:
    """Queues jobs for the scheduler, waits for their answers and counts the outcomes.

    `idempotency`, if set, handles the jobs that carry an idempotency key.
    """

    def __init__(self, loop: Loop, inbox: Queue, log: Callable) -> None:
        """`inbox` receives `JobArrived`, and `JobAbandoned` when the client disconnects."""
        self.loop, self.inbox, self.log = loop, inbox, log
        self.open_jobs = 0
        self.outcome_counts = {result: {} for result in ("passed", "dropped", "bad_gateway")}
        self.idempotency = None
        self._recent_ids = set()
        self._expiries = deque()  # (end of the walltime, job id) of each entry of _recent_ids

    def configure(self, queue_types: list[dict]) -> None:
        """Add counters for these queue types; existing counts are kept."""
        for counts in self.outcome_counts.values():
            counts.update({entry["name"]: counts.get(entry["name"], 0) for entry in queue_types})

    def count(self, kind: str | None, status: int) -> None:
        """Count a job under one result, also if the listener answered it; 4xx responses are not counted."""
        if kind in self.outcome_counts["passed"] and (status == REJECTED or not 400 <= status < 500):
            result = {COMPLETED: "passed", REJECTED: "dropped"}.get(status, "bad_gateway")
            self.outcome_counts[result][kind] += 1

    def is_new(self, exchange: Exchange) -> bool:
        """Return whether no admitted job whose walltime is still running has this id."""
        expiries, now = self._expiries, self.loop.now()
        while expiries and expiries[0][0] <= now:
            self._recent_ids.discard(expiries.popleft()[1])
        return exchange.name not in self._recent_ids

    def take(self, conn: Connection, exchange: Exchange, arrival: tuple) -> Coroutine:
        """Run an admitted job and return its answer, or None if the client has disconnected."""
        self._begin(exchange)
        if self.idempotency is not None and exchange.key is not None:
            try:
                reply = yield from self.idempotency.offer(conn, exchange, arrival)
                return self._counted(exchange, reply)
            finally:
                self.open_jobs -= 1
        exchange.conn, exchange.answer = conn, lambda *answer: self.loop.wake(conn.owner, answer)
        exchange.disconnect_check = lambda: http.has_disconnected(conn)
        try:
            self.inbox.put(JobArrived(exchange, arrival))
            reply = yield from self.answer(conn, exchange)
            return self._counted(exchange, reply)
        finally:
            self.open_jobs -= 1
            if exchange.open:
                exchange.open = False
                self.inbox.put(JobAbandoned(exchange))

    def resume(self, conn: Connection, exchange: Exchange) -> Coroutine:
        """Return the answer of a job handed off by another process, or None if the client disconnected."""
        self._begin(exchange)
        try:
            reply = yield from self.answer(conn, exchange)
        finally:
            self.open_jobs -= 1
            exchange.open = False
        return self._counted(exchange, reply)

    def answer(self, conn: Connection, exchange: Exchange) -> Coroutine:
        """Return the answer as (status, headers, content), or None if the client has disconnected."""
        reply = yield from self.wait_for_answer(conn, exchange.until)
        if reply != NO_ANSWER:
            return reply
        # The scheduler ends each job before this; if it fails to, the client still gets an answer.
        self.log("answer_late", job=exchange.name)
        return KILLED, [], b""

    def wait_for_answer(self, conn: Connection, until: int) -> Coroutine:
        """Return the answer that the client's task was woken with, or NO_ANSWER if none came in time.

        None: the client has disconnected.
        """
        for _ in range(2):
            received = READ
            while received:
                # READ also reports the end of the connection; another mask would cost a system call.
                received = yield (conn.fd, READ, until)
                if isinstance(received, tuple):
                    return received
                # A half-close cannot be told from a full close, so both count as a disconnect.
                if received & CONNECTION_ENDED or received and http.has_disconnected(conn):
                    return None
            # An answer from this iteration may still be on its way through the scheduler.
            until = self.loop.now() + ANSWER_GRACE_US
        return NO_ANSWER

    def _begin(self, exchange):
        self.open_jobs += 1
        self._recent_ids.add(exchange.name)
        self._expiries.append((exchange.until, exchange.name))

    def _counted(self, exchange, reply):
        if reply is not None:
            self.count(exchange.kind, reply[0])
        return reply
