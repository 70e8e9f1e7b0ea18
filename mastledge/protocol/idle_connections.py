"""Idle connections to workers: kept for the next launch, given up before the worker closes them."""

from mastledge.protocol.worker_endpoint import WorkerEndpoint
from mastledge.transport.budget import Budget
from mastledge.transport.connection import Connection
from mastledge.transport.loop import READ, Loop

IDLE_SHARE = (
    0.7  # of the time after which a worker may close an idle connection; a launch must not cross that
)
MAX_BREAK_RATE = 1 / 64  # of the launches on reused connections; above, run-once jobs get new ones
BREAK_RATE_GAIN = 1 / 32


class ReuseRate:
    """How often connections that had been idle break at the next launch, as a moving average."""

    def __init__(self) -> None:
        """None has broken."""
        self.break_rate = 0.0

    def record(self, conn: Connection, broke: bool) -> None:
        """Counts the first that is seen of a reused connection; nothing for others."""
        if conn.reused:
            conn.reused = False
            self.break_rate += BREAK_RATE_GAIN * (broke - self.break_rate)

    def decay(self) -> None:
        """Reused connections are tried again in time, though none of them is counted meanwhile."""
        self.break_rate -= BREAK_RATE_GAIN / 2 * self.break_rate


class IdleConnections:
    """Takes idle connections from worker endpoints and keeps them there."""

    def __init__(self, loop: Loop, budget: Budget) -> None:
        """The budget may close what is kept here."""
        self.loop, self.budget = loop, budget
        self.reuse = ReuseRate()

    def configure(self, settings: dict) -> None:
        """Takes over the settings that count for what is kept from now on."""
        self.max_idle_us = int(settings["conn_idle"] * IDLE_SHARE)

    def take(self, endpoint: WorkerEndpoint, run_once: bool) -> Connection | None:
        """The connection used last, as the others get old and go; None where a new one is wanted."""
        if run_once and self.reuse.break_rate > MAX_BREAK_RATE:
            # Some break at the last byte, too late to tell that nothing ran.
            self.reuse.decay()
            return None
        while endpoint.idle:
            conn, task = endpoint.idle.pop()
            self.budget.remove_idle("workers", conn)
            conn.owner = None
            self.loop.cancel(task)
            if conn.is_quiet():
                return conn
            conn.close()
        return None

    def keep(self, endpoint: WorkerEndpoint, conn: Connection, incarnation: tuple) -> None:
        """Keeps a connection to this incarnation, or closes it where the worker is another or excluded."""
        if endpoint.excluded or incarnation != endpoint.incarnation() or not conn.is_quiet():
            conn.close()
            return
        conn.buffer.clear()
        conn.owner, conn.reused, conn.at_chunk_end = endpoint, True, True
        task = self.loop.spawn(self._watch(endpoint, conn, self.loop.now() + self.max_idle_us))
        endpoint.idle.append((conn, task))
        self.budget.add_idle("workers", conn, lambda: self._drop(endpoint, conn))

    def close_all(self, endpoint: WorkerEndpoint) -> None:
        """Closes all that is kept to a worker."""
        for conn, _ in list(endpoint.idle):
            self._drop(endpoint, conn)

    def _watch(self, endpoint, conn, until):
        try:
            yield (conn.fd, READ, until)
        finally:
            if conn.owner is endpoint:
                self._close(endpoint, conn)

    def _close(self, endpoint, conn):
        conn.owner = None
        endpoint.idle = [pair for pair in endpoint.idle if pair[0] is not conn]
        self.budget.remove_idle("workers", conn)
        conn.close()

    def _drop(self, endpoint, conn):
        task = next(task for known, task in endpoint.idle if known is conn)
        self._close(endpoint, conn)
        self.loop.cancel(task)
        return True
