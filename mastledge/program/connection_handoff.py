"""Jobs that outlast a process are handed off to the one beside it, with both of their connections.

Nothing is decided about them there: what does not end well is killed, as it would have been.
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
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.loop import READ

# Before the time by which the client is told: the old process had its own margin.
ANSWER_MARGIN_US = 20_000
RECEIVED_A_TURN = 16
SOCKETS_A_JOB = 2  # the client's and the worker's


class HandedOffJobError(ValueError):
    """A datagram does not hold a job; the text says why."""


@dataclass(frozen=True, slots=True)
class HandedOffJob:
    """A job as it stands in a datagram beside its two sockets.

    `kind` is the name of its queue type; `until` the time by which its client is answered, of the machine's
    monotonic clock in microseconds. `headed`: whether the head of the worker's answer was read; `rest`:
    what was read of the answer and not used yet.
    """

    name: str
    kind: str
    until: int
    headed: bool
    rest: bytes

    def encode(self) -> bytes:
        """The datagram."""
        rest = base64.b64encode(self.rest).decode()
        fields = {"name": self.name, "kind": self.kind, "until": self.until, "headed": self.headed}
        return orjson.dumps({**fields, "rest": rest})

    @classmethod
    def decode(cls, raw: bytes) -> "HandedOffJob":
        """The job of a datagram; HandedOffJobError where it holds none."""
        try:
            fields = http.parse_object(raw)
            rest = base64.b64decode(fields["rest"])
            job = cls(fields["name"], fields["kind"], fields["until"], bool(fields["headed"]), rest)
        except (ValueError, KeyError, TypeError, binascii.Error) as error:
            raise HandedOffJobError(f"{type(error).__name__}: {error}") from None
        if not isinstance(job.until, int | float):
            raise HandedOffJobError(f"until is no time: {job.until!r}")
        return job


class HandedOffLaunch:
    """What the connections to workers need of a launch."""

    __slots__ = ("name", "sent", "conn", "headed")

    def __init__(self, name: str, conn: Connection, headed: bool):
        """`conn`: to the worker, which has the whole request."""
        self.name, self.sent, self.conn, self.headed = name, True, conn, headed


class DiscardingInbox:
    """In place of the queue of the decisions, which know nothing of these jobs."""

    def put(self, event) -> None:
        """Drops an input."""


class ConnectionHandoff:
    """Hands off jobs in the process that ends, and carries them to their end in the one that goes on."""

    def __init__(self, loop, budget, listener, settings: dict, log):
        """`listener` answers the clients of jobs that were taken over."""
        self.loop, self.budget, self.listener, self.log = loop, budget, listener, log
        self.workers = WorkerConnections(loop, budget, DiscardingInbox(), settings, log)
        self.exchanges = set()  # of jobs that were taken over and have not ended
        self._receiver = None

    # In the process that ends

    def hand_off(self, router, path: str) -> int:
        """Hands off all jobs that stand at a clear place to who receives at `path`; how many."""
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
            self._let_go(router, job, launch)
            count += 1
        return count

    def _send(self, exchange, launch, path):
        message = HandedOffJob(
            exchange.name, exchange.kind, exchange.until, launch.headed, launch.conn.buffer.peek()
        )
        sockets = (exchange.conn.sock, launch.conn.sock)
        descriptor_passing.send_sockets(path, message.encode(), sockets)

    def _let_go(self, router, job, launch):
        for conn in (job.exchange.conn, launch.conn):
            self.loop.unregister(conn.fd)
        router.job_handed_off(self.loop.now(), job, launch)
        self.loop.cancel(job.exchange.conn.owner)

    # In the process that goes on

    def listen(self, path: str):
        """Coroutine: takes over what is sent to `path`."""
        try:
            self._receiver = descriptor_passing.open_receiver(path)
        except OSError as error:
            # A folder whose path is too long for it, say: what outlasts the old process is killed with it.
            self.log("handoff_disabled", why=str(error))
            return
        while True:
            yield (self._receiver.fileno(), READ, None)
            for _ in range(RECEIVED_A_TURN):
                received = descriptor_passing.receive_sockets(self._receiver, SOCKETS_A_JOB)
                if received is None:
                    break
                self.take_over(*received)

    def take_over(self, raw: bytes, sockets) -> None:
        """Goes on with the job of a datagram; its connections are closed where that cannot be."""
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

    def _refuse(self, closables, why):
        self.log("connection_not_received", why=why)
        for closable in closables:
            closable.close()

    def attached(self, sock, kind: str, role) -> Connection:
        """A connection on a socket that was received; OSError where the loop cannot watch it."""
        # Beyond the budget for a moment, but the process that hands it off closes its own at once.
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
        """Coroutine: reads the worker's answer and has the client answered."""
        try:
            how, result, _ = yield from self.workers.answers.read(launch.conn, launch, exchange.until)
        except (OSError, WaitTimeoutError, ValueError, BodyTooLargeError, h11.RemoteProtocolError) as error:
            how, result = str(error) or type(error).__name__, None
        finally:
            launch.conn.close()
            self.exchanges.discard(exchange)
        self.log("handed_off_launch_ended", job=exchange.name, how=how)
        if how == "completed":
            exchange.completed(result)
        else:
            exchange.killed()

    def kill_jobs(self) -> None:
        """Ends all jobs that were taken over: this process has to end as well."""
        for exchange in list(self.exchanges):
            exchange.killed()
            self.loop.cancel(exchange.job)


def movable_launch(job):
    """The one launch of a job that another process can go on with, None where there is none such."""
    running = [launch for launch in job.launches if not launch.ended]
    client = job.exchange.conn  # none where a key is kept: what it came to is told to whoever asks
    if not job.exchange.open or client is None or len(running) != 1:
        return None
    return running[0] if is_clear(client, running[0]) else None


def is_clear(client: Connection, launch) -> bool:
    """Whether another process can go on reading here: nothing half read, nothing unread from the client."""
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
