"""The take-over of jobs that the other process of a dispatcher hands off as it exits.

This process does not schedule these jobs again: a job whose launch fails is killed.
"""

import h11

from mastledge.program.handed_off_job import SOCKETS_PER_JOB, HandedOffJob, HandedOffJobError
from mastledge.protocol import http
from mastledge.protocol.errors import BodyTooLargeError
from mastledge.protocol.requests import Exchange
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.transport import descriptor_passing
from mastledge.transport.connection import Connection
from mastledge.transport.errors import IncompleteMessageError, WaitTimeoutError
from mastledge.transport.loop import READ

# A job is killed this long before its answer is due: the process may be held up for this long between the
# expiry of the timer and the write of the answer. The scheduler does not handle these jobs.
ANSWER_MARGIN_US = 150_000
MAX_JOBS_PER_TURN = 16


class HandedOffLaunch:
    """The fields of a launch that the connections to workers use."""

    __slots__ = ("name", "sent", "conn", "headed")

    def __init__(self, name: str, conn: Connection, headed: bool):
        """Create the launch; `conn` leads to the worker, which has received the whole request."""
        self.name, self.sent, self.conn, self.headed = name, True, conn, headed


class DiscardingInbox:
    """Takes the place of the router's inbox: the router does not know the jobs that were taken over."""

    def put(self, event) -> None:
        """Discard an event."""


class ConnectionTakeover:
    """Receives the jobs that the other process hands off, and finishes them."""

    def __init__(self, loop, budget, listener, settings: dict, log):
        """Create the receiving side; `listener` answers the clients of the jobs."""
        self.loop, self.budget, self.listener, self.log = loop, budget, listener, log
        self.workers = WorkerConnections(loop, budget, DiscardingInbox(), settings, log)
        self.exchanges = set()  # exchanges of taken-over jobs that have not ended
        self._receiver = self._receiver_path = None

    def listen(self, path: str):
        """Coroutine: take over the jobs that are sent to `path`."""
        try:
            self._receiver, self._receiver_path = descriptor_passing.open_receiver(path), path
        except OSError as error:
            # For example a folder that is not writable; jobs that outlast the old process then end with it.
            self.log("handoff_disabled", why=str(error))
            return
        while True:
            yield (self._receiver.fileno(), READ, None)
            for _ in range(MAX_JOBS_PER_TURN):
                if not self._receive_job():
                    break

    def _receive_job(self):
        """Receive one job; return whether there was a message."""
        try:
            received = descriptor_passing.receive_sockets(self._receiver, SOCKETS_PER_JOB)
        except IncompleteMessageError as error:
            self._refuse((), str(error))
            return True
        if received is None:
            return False
        self.take_over(*received)
        return True

    def stop_listening(self) -> None:
        """Remove the socket that receives jobs, as this process exits."""
        if self._receiver is not None:
            self.loop.forget(self._receiver.fileno())
            descriptor_passing.close_receiver(self._receiver, self._receiver_path)
            self._receiver = None

    def take_over(self, raw: bytes, sockets) -> None:
        """Continue the job in a datagram; close its sockets if that is not possible."""
        try:
            job = HandedOffJob.decode(raw)
        except HandedOffJobError as error:
            self._refuse(sockets, str(error))
            return
        connections = []
        try:
            for sock, kind, role in zip(
                sockets, ("clients", "workers"), (h11.SERVER, h11.CLIENT), strict=True
            ):
                connections.append(self.attached(sock, kind, role))
        except OSError as error:
            self._refuse((*connections, *sockets), str(error))
            return
        self._start(job, *connections)

    def _refuse(self, closables, reason):
        self.log("connection_not_received", why=reason)
        for closable in closables:
            closable.close()

    def attached(self, sock, kind: str, role) -> Connection:
        """Return a connection for a received socket; raise OSError if the event loop cannot watch it."""
        # May exceed the budget briefly: the sending process closes its copy at once.
        conn = http.attach(Connection(self.loop, sock, self.budget, kind), role)
        self.budget.used[kind] += 1
        return conn

    def _start(self, job, client, worker):
        exchange = Exchange()
        exchange.name, exchange.kind, exchange.until = job.name, job.kind, job.until - ANSWER_MARGIN_US
        launch = HandedOffLaunch(job.name, worker, job.headed)
        http.resume_parsers(client, worker, job.headed)
        worker.buffer.append(job.rest)
        self.exchanges.add(exchange)
        client.owner = self.loop.spawn(self.listener.serve_resumed(client, exchange))
        exchange.answer = lambda *answer: self.loop.wake(client.owner, answer)
        exchange.job = self.loop.spawn(self.finish(launch, exchange))
        self.log("connection_received", job=exchange.name)

    def finish(self, launch: HandedOffLaunch, exchange: Exchange):
        """Coroutine: read the worker's answer and answer the client."""
        try:
            outcome, result, _ = yield from self.workers.answers.read(launch.conn, launch, exchange.until)
        except (OSError, WaitTimeoutError, ValueError, BodyTooLargeError, h11.RemoteProtocolError) as error:
            outcome, result = str(error) or type(error).__name__, None
        finally:
            launch.conn.close()
            self.exchanges.discard(exchange)
        self.log("handed_off_launch_ended", job=exchange.name, how=outcome)
        if outcome == "completed":
            exchange.completed(result)
        else:
            exchange.killed()

    def kill_jobs(self) -> None:
        """Kill all jobs that were taken over, as this process exits too."""
        for exchange in list(self.exchanges):
            exchange.killed()
            self.loop.cancel(exchange.job)
