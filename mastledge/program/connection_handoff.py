"""The connection hand-off: a process that exits passes running jobs to its sibling, with both connections.

The sibling does not schedule these jobs again: a job whose launch fails is killed.
"""

import base64
import binascii
from dataclasses import dataclass

import h11
import orjson

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
SOCKETS_PER_JOB = 2  # client and worker


class HandedOffJobError(ValueError):
    """A datagram does not contain a valid job; the message says why."""


@dataclass(frozen=True, slots=True)
class HandedOffJob:
    """A job as encoded in a datagram, which carries the job's two sockets.

    `kind` is the name of the queue type; `until` is the deadline of the answer to the client, in microseconds
    of the machine's monotonic clock. `headed` says whether the head of the worker's answer has been read;
    `rest` holds the bytes of the answer that were received and not parsed yet.
    """

    name: str
    kind: str
    until: int
    headed: bool
    rest: bytes

    def encode(self) -> bytes:
        """Return the datagram."""
        rest = base64.b64encode(self.rest).decode()
        fields = {"name": self.name, "kind": self.kind, "until": self.until, "headed": self.headed}
        return orjson.dumps({**fields, "rest": rest})

    @classmethod
    def decode(cls, raw: bytes) -> "HandedOffJob":
        """Return the job in a datagram; raise HandedOffJobError if there is none."""
        try:
            fields = http.parse_object(raw)
            rest = base64.b64decode(fields["rest"])
            job = cls(fields["name"], fields["kind"], fields["until"], bool(fields["headed"]), rest)
        except (ValueError, KeyError, TypeError, binascii.Error) as error:
            raise HandedOffJobError(f"{type(error).__name__}: {error}") from None
        if not isinstance(job.until, int | float):
            raise HandedOffJobError(f"until is not a number: {job.until!r}")
        return job


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


class ConnectionHandoff:
    """Hands off jobs in the process that exits, and finishes them in the process that continues."""

    def __init__(self, loop, budget, listener, settings: dict, log):
        """Create both sides; `listener` answers the clients of jobs that were taken over."""
        self.loop, self.budget, self.listener, self.log = loop, budget, listener, log
        self.workers = WorkerConnections(loop, budget, DiscardingInbox(), settings, log)
        self.exchanges = set()  # exchanges of taken-over jobs that have not ended
        self._receiver = self._receiver_path = None

    # In the process that exits

    def hand_off(self, router, path: str) -> int:
        """Hand off all movable jobs to the process that receives at `path`; return how many."""
        count = 0
        for job in list(router.jobs.values()):
            launch = movable_launch(job)
            if launch is None:
                continue
            try:
                self._send(job.exchange, launch, path)
            except OSError as error:
                self.log("connection_not_handed_off", job=job.exchange.name, why=str(error))
                break
            self._release(router, job, launch)
            count += 1
        return count

    def _send(self, exchange, launch, path):
        message = HandedOffJob(
            exchange.name, exchange.kind, exchange.until, launch.headed, launch.conn.buffer.peek()
        )
        sockets = (exchange.conn.sock, launch.conn.sock)
        descriptor_passing.send_sockets(path, message.encode(), sockets)

    def _release(self, router, job, launch):
        for conn in (job.exchange.conn, launch.conn):
            self.loop.unregister(conn.fd)
        router.job_handed_off(self.loop.now(), job, launch)
        self.loop.cancel(job.exchange.conn.owner)

    # In the process that continues

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


def movable_launch(job):
    """Return the only running launch of a job if another process can continue it, otherwise None."""
    running = [launch for launch in job.launches if not launch.ended]
    client = job.exchange.conn  # None for a job with an idempotency key, whose answer is stored
    if not job.exchange.open or client is None or len(running) != 1:
        return None
    return running[0] if at_message_boundary(client, running[0]) else None


def at_message_boundary(client: Connection, launch) -> bool:
    """Return whether another process can continue reading: no chunk half read, no data from the client."""
    worker = launch.conn
    return (
        launch.sent
        and worker is not None
        and worker.fd >= 0
        and client.fd >= 0
        and worker.at_chunk_end
        and worker.http.trailing_data == client.http.trailing_data == (b"", False)
        and client.is_quiet()
    )
