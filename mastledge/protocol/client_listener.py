"""Accepts clients and decides, before the decisions hear of a job, whether it is let in."""

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

MIN_AGE_US = 250_000  # before it is closed: a connection is opened for a request, which may be on its way
MAX_RETRY_AFTER_US = 250_000  # after which it may come again where there was no place for it
FREE_CONNECTIONS = 3  # of clients, while leaving: a burst comes before a rejection has freed one
FEW_DISPATCHERS = 2
KEEPS_FREE_AFTER_US = 250_000  # after SIGTERM; from then on new connections go to others
SHORTAGE_PAUSE_US = 20_000  # where descriptors are short
MAX_ACCEPTS = 32  # in an iteration: a crowd that comes at once must not hold up who is there
# After the call to drain (docs/operations.md): idle ones are closed, jobs rejected, half requests closed.
CLOSES_AFTER_US, REJECTS_AFTER_US, HANGS_UP_AFTER_US = 500_000, 1_700_000, 3_000_000


class ClientListener:
    """What clients' connections share: the door to the decisions, and the phases that close it.

    The program sets `ready`, `closing` and `succeeded` (by another process), and `leaving` and `draining` to
    the time of the signal or call. `rule` is set where dispatchers agree (whether what is in force is known
    here), `gate` where a start is gradual (who is admitted, by `serve`, round `jobs.take`).
    """

    def __init__(self, loop: Loop, budget: Budget, inbox: Queue, settings: dict, log: Callable) -> None:
        """Not ready, and nobody is connected."""
        self.loop, self.budget, self.log = loop, budget, log
        self.jobs = ClientJobs(loop, inbox, log)
        self.clients, self.ready = set(), False
        self.leaving = self.closing = self.draining = self.succeeded = False
        self.rule = self.gate = None
        self.configure(settings)

    def configure(self, settings: dict) -> None:
        """For what comes from now on; who waits for an answer goes on doing so."""
        self.requests, self.most_held = Requests(settings), settings["most_held"]
        self.jobs.configure(settings["queue_types"])
        self.few_dispatchers = settings["dispatchers"] <= FEW_DISPATCHERS
        retry_after_us = min(settings["hold_off"], MAX_RETRY_AFTER_US)
        self.rejection = REJECTED, retry_after_headers(retry_after_us), b""

    def is_ready(self) -> bool:
        """Whether jobs are wanted here."""
        return self.ready and not self.leaving and not self.draining and self.may_act()

    def is_ready_or_succeeded(self) -> bool:
        """As clients ask: they mean the dispatcher, which goes on in another process that has taken over."""
        return self.is_ready() or self.succeeded and not self.draining

    def may_act(self) -> bool:
        """Whether what dispatchers have agreed on is known here."""
        return self.rule is None or self.rule.may_act(self.loop.now())

    def close_while_draining(self) -> None:
        """Most have left with an answer; the others are closed where that crosses nothing."""
        drained_for = self.loop.now() - self.draining
        for group, after in (
            ("unused", CLOSES_AFTER_US),
            ("clients", CLOSES_AFTER_US),
            ("begun", HANGS_UP_AFTER_US),
        ):
            if drained_for >= after:
                self._close_group(group)

    def close_all_idle(self) -> None:
        """Closes all connections on which no whole request is in hand or on its way."""
        for group in ("unused", "unfinished", "clients"):
            self._close_group(group)

    def listen(self, sock: socket.socket) -> Coroutine:
        """Accepts clients for ever."""
        while True:
            yield (sock.fileno(), READ, None)
            if self.accept_waiting(sock, MAX_ACCEPTS):
                self.log("out_of_descriptors", clients=len(self.clients))
                yield (-1, 0, self.loop.now() + SHORTAGE_PAUSE_US)

    def accept_waiting(self, sock: socket.socket, max_accepts: int = 0) -> bool:
        """Takes in what waits, or the most (0: all); True where descriptors do not suffice."""
        while not self.budget.is_exhausted("clients"):
            accepted, is_short = accept(sock, self.budget)
            if accepted is None:
                return is_short
            try:
                self._serve(accepted)
            except OSError as error:
                # It may be gone before it is looked at.
                self.log("client_lost", why=str(error))
            max_accepts -= 1
            if not max_accepts:
                return False
        return True

    def serve_resumed(self, conn: Connection, exchange: Exchange) -> Coroutine:
        """Goes on with a client whose job another process has handed on, up to its answer."""
        return ClientConnection(self, conn).serve_resumed(exchange)

    def reject_for_memory(self, head: h11.Request) -> tuple:
        """The answer to a request for which there is no memory."""
        self.log("memory_limit", held=self.budget.request_bytes, clients=len(self.clients))
        self.jobs.count(self.requests.queue_type_name(head), REJECTED)
        return self.rejection

    def rejection_of(self, exchange: Exchange, over_budget: bool) -> tuple | None:
        """The answer to a job that is not let in, else None; BadRequestError where its id is in use."""
        if not self.jobs.is_new(exchange):
            # An id is new with every request, so this is another's, and that job goes on untouched.
            raise BadRequestError(409, "X-Txn is in use")
        is_full = over_budget or self.jobs.in_hand >= self.most_held
        if not is_full and not self.is_crowded() and self.may_act():
            return None
        # Nothing of it was sent anywhere, so trying again is harmless.
        self.log("connection_limit", job=exchange.name, clients=len(self.clients))
        self.jobs.count(exchange.kind, REJECTED)
        return self.rejection

    def is_crowded(self) -> bool:
        """Who finds all its connections busy opens one more, and that comes to nobody where all are leaving.

        So some are kept free, and what would take them comes again in a moment. Where there are more than
        two dispatchers, some other is up and takes at once what does not come here.
        """
        if self.draining and self.loop.now() >= self.draining + REJECTS_AFTER_US:
            return True
        keeps_free = (
            self.few_dispatchers
            and self.leaving
            and not self.succeeded
            and self.loop.now() >= self.leaving + KEEPS_FREE_AFTER_US
        )
        return keeps_free and len(self.budget.idle["clients"]) < FREE_CONNECTIONS

    def _close_group(self, group):
        """Closes who is idle in a group and will close now, but for who has only just come."""
        opened_before = self.loop.now() - MIN_AGE_US
        for conn, close in list(self.budget.idle[group].items()):
            if conn.opened_us <= opened_before:
                close()

    def _serve(self, sock):
        # Its request may count as taken already, so beyond the budget it still gets a proper rejection.
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
