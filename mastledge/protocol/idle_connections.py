"""Pool of idle connections to workers, closed before the worker's own idle timeout."""

from mastledge.protocol.worker_endpoint import WorkerEndpoint
from mastledge.transport.budget import Budget
from mastledge.transport.connection import Connection
from mastledge.transport.loop import READ, Loop

# Of a worker's idle timeout: a launch must not be sent while the worker closes the connection.
IDLE_SHARE = 0.7
MAX_BREAK_RATE = 1 / 64  # per launch on a reused connection; above it, run-once jobs get new connections
BREAK_RATE_GAIN = 1 / 32  # weight of the newest sample


class ReuseRate:
    """Tracks how often reused connections break, as a moving average."""

    def __init__(self) -> None:
        """Start with a break rate of 0."""
        self.break_rate = 0.0

    def record(self, conn: Connection, broke: bool) -> None:
        """Count the first result of a reused connection; new connections are not counted."""
        if conn.reused:
            conn.reused = False
            self.break_rate += BREAK_RATE_GAIN * (broke - self.break_rate)

    def decay(self) -> None:
        """Lower the break rate while reused connections are avoided, so that they are tried again."""
        self.break_rate -= BREAK_RATE_GAIN / 2 * self.break_rate


class IdleConnections:
    """Adds idle connections to worker endpoints and takes them for launches."""

    def __init__(self, loop: Loop, budget: Budget) -> None:
        """The budget may evict the idle connections."""
        self.loop, self.budget = loop, budget
        self.reuse = ReuseRate()

    def configure(self, settings: dict) -> None:
        """Apply settings to connections that become idle from now on."""
        self.max_idle_us = int(settings["conn_idle"] * IDLE_SHARE)

    def take(self, endpoint: WorkerEndpoint, run_once: bool) -> Connection | None:
        """Return the most recently used idle connection, or None if a new one is needed."""
        if run_once and self.reuse.break_rate > MAX_BREAK_RATE:
            # A connection that breaks at the last byte leaves unknown whether the job ran.
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
        """Keep an idle connection, or close it if the worker is excluded or no longer this incarnation."""
        if endpoint.excluded or incarnation != endpoint.incarnation() or not conn.is_quiet():
            conn.close()
            return
        conn.buffer.clear()
        conn.owner, conn.reused, conn.at_chunk_end = endpoint, True, True
        task = self.loop.spawn(self._watch(endpoint, conn, self.loop.now() + self.max_idle_us))
        endpoint.idle.append((conn, task))
        self.budget.add_idle("workers", conn, lambda: self._drop(endpoint, conn))

    def close_all(self, endpoint: WorkerEndpoint) -> None:
        """Close all idle connections to a worker."""
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
