"""Accepts client connections and admits or rejects jobs before the scheduler sees them."""

import socket
from collections.abc import Callable

import h11

from mastledge.protocol import http
from mastledge.protocol.client_connection import ClientConnection
from mastledge.protocol.client_jobs import ClientJobs
from mastledge.protocol.errors import BadRequestError
from mastledge.protocol.requests import REJECTED, Exchange, Requests, retry_after_headers
from mastledge.transport.budget import Budget
from mastledge.transport.connection import Connection
from mastledge.transport.listening import accept
from mastledge.transport.loop import READ, Coroutine, Loop, Queue

MIN_AGE_US = 250_000  # a younger connection is not closed: its first request may be on its way
MAX_RETRY_AFTER_US = 250_000  # Retry-After of jobs that the listener rejects
MIN_IDLE_CONNECTIONS = 3  # of clients, kept while leaving; a burst can precede the next rejection
MAX_DISPATCHERS_KEEPING_IDLE = 2
KEEPS_IDLE_AFTER_US = 250_000  # after SIGTERM; later new connections go to other dispatchers
SHORTAGE_PAUSE_US = 20_000  # before the next accept when descriptors are exhausted
MAX_ACCEPTS = 32  # per loop iteration, so that a burst does not delay existing clients
# After a drain call (docs/operations.md): close idle connections, reject jobs, close partial requests.
CLOSES_AFTER_US, REJECTS_AFTER_US, HANGS_UP_AFTER_US = 500_000, 1_700_000, 3_000_000


class ClientListener:
    """Accepts client connections and holds what they share: admission and the shutdown phases.

    The program sets `ready`, `closing` and `has_successor` (another process has taken over), and
    `shutdown_started_at` and `drain_started_at` to the time of the signal or call.
    `lease_guard`, if set, tells whether this dispatcher knows the agreed state; `admission_gate`,
    if set, limits admission during startup: its `serve` wraps `jobs.take`.
    """

    def __init__(self, loop: Loop, budget: Budget, inbox: Queue, settings: dict, log: Callable) -> None:
        """Initialize a listener that is not ready and has no clients."""
        self.loop, self.budget, self.log = loop, budget, log
        self.jobs = ClientJobs(loop, inbox, log)
        self.clients, self.ready = set(), False
        self.shutdown_started_at = self.closing = self.drain_started_at = self.has_successor = False
        self.lease_guard = self.admission_gate = None
        self.configure(settings)

    def configure(self, settings: dict) -> None:
        """Apply settings to new requests; jobs in hand are not affected."""
        self.requests, self.max_open_jobs = Requests(settings), settings["most_held"]
        self.jobs.configure(settings["queue_types"])
        self.keeps_idle_when_leaving = settings["dispatchers"] <= MAX_DISPATCHERS_KEEPING_IDLE
        retry_after_us = min(settings["hold_off"], MAX_RETRY_AFTER_US)
        self.rejection = REJECTED, retry_after_headers(retry_after_us), b""

    def is_ready(self) -> bool:
        """Return whether this dispatcher accepts jobs."""
        return self.ready and not self.shutdown_started_at and not self.drain_started_at and self.may_act()

    def is_ready_or_has_successor(self) -> bool:
        """Return whether the dispatcher is ready, in this process or in a successor that has taken over."""
        return self.is_ready() or self.has_successor and not self.drain_started_at

    def may_act(self) -> bool:
        """Return whether this dispatcher knows the agreed state."""
        return self.lease_guard is None or self.lease_guard.may_act(self.loop.now())

    def close_while_draining(self) -> None:
        """Close the remaining connections, group by group, where no request is lost by it."""
        drained_for = self.loop.now() - self.drain_started_at
        for group, delay_us in (
            ("unused", CLOSES_AFTER_US),
            ("clients", CLOSES_AFTER_US),
            ("begun", HANGS_UP_AFTER_US),
        ):
            if drained_for >= delay_us:
                self._close_group(group)

    def close_all_idle(self) -> None:
        """Close all connections without a complete request in hand or on its way."""
        for group in ("unused", "unfinished", "clients"):
            self._close_group(group)

    def listen(self, sock: socket.socket) -> Coroutine:
        """Accept client connections forever."""
        while True:
            yield (sock.fileno(), READ, None)
            if self.accept_waiting(sock, MAX_ACCEPTS):
                self.log("out_of_descriptors", clients=len(self.clients))
                yield (-1, 0, self.loop.now() + SHORTAGE_PAUSE_US)

    def accept_waiting(self, sock: socket.socket, max_accepts: int = 0) -> bool:
        """Accept up to `max_accepts` waiting connections (0: all); return whether descriptors ran out."""
        while not self.budget.is_exhausted("clients"):
            accepted, is_short = accept(sock, self.budget)
            if accepted is None:
                return is_short
            try:
                self._serve(accepted)
            except OSError as error:
                # The client may disconnect between the accept and the first system call on the socket.
                self.log("client_lost", why=str(error))
            max_accepts -= 1
            if not max_accepts:
                return False
        return True

    def serve_resumed(self, conn: Connection, exchange: Exchange) -> Coroutine:
        """Serve a connection whose job was handed off by another process, until its response is sent."""
        return ClientConnection(self, conn).serve_resumed(exchange)

    def reject_for_memory(self, head: h11.Request) -> tuple:
        """Return the rejection of a request that exceeds the memory limit."""
        self.log("memory_limit", held=self.budget.request_bytes, clients=len(self.clients))
        self.jobs.count(self.requests.queue_type_name(head), REJECTED)
        return self.rejection

    def rejection_of(self, exchange: Exchange, over_budget: bool) -> tuple | None:
        """Return the rejection of a job, or None to admit it; raise BadRequestError if its id is in use."""
        if not self.jobs.is_new(exchange):
            # Ids are unique per request, so the id belongs to another job, which must not be affected.
            raise BadRequestError(409, "X-Txn is in use")
        is_full = over_budget or self.jobs.open_jobs >= self.max_open_jobs
        if not is_full and not self.is_shedding_load() and self.may_act():
            return None
        # Nothing was sent to a worker, so a retry is safe.
        self.log("connection_limit", job=exchange.name, clients=len(self.clients))
        self.jobs.count(exchange.kind, REJECTED)
        return self.rejection

    def is_shedding_load(self) -> bool:
        """Return whether jobs are rejected to keep some client connections idle while leaving.

        A client whose connections are all busy opens a new one, which nobody accepts while all dispatchers
        are leaving. With more than two dispatchers another one is up and accepts it.
        """
        if self.drain_started_at and self.loop.now() >= self.drain_started_at + REJECTS_AFTER_US:
            return True
        keeps_idle = (
            self.keeps_idle_when_leaving
            and self.shutdown_started_at
            and not self.has_successor
            and self.loop.now() >= self.shutdown_started_at + KEEPS_IDLE_AFTER_US
        )
        return keeps_idle and len(self.budget.idle["clients"]) < MIN_IDLE_CONNECTIONS

    def _close_group(self, group):
        """Close the idle connections of a group, except those opened within MIN_AGE_US."""
        opened_before = self.loop.now() - MIN_AGE_US
        for conn, close in list(self.budget.idle[group].items()):
            if conn.opened_us <= opened_before:
                close()

    def _serve(self, sock):
        # The client may already have sent its request, so a connection over budget still gets a rejection.
        over_budget = not self.budget.acquire("clients")
        if over_budget:
            self.budget.used["clients"] += 1
        try:
            conn = http.attach(Connection(self.loop, sock, self.budget, "clients"), h11.SERVER)
        except OSError:
            sock.close()
            self.budget.release("clients")
            raise
        conn.owner = self.loop.spawn(ClientConnection(self, conn, over_budget).serve())
        self.clients.add(conn)
