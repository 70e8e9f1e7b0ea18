"""The take-over of jobs that the other process of a dispatcher hands off as it exits.

This process does not schedule these jobs again: a job whose launch fails is killed.
"""

import os
import socket

import h11

from mastledge.program.handed_off_job import (
    ACCEPTED,
    DESCRIPTORS_PER_OFFER,
    SOCKETS_PER_JOB,
    HandedOffJob,
    HandedOffJobError,
    JobOffer,
    JobRelease,
)
from mastledge.protocol import http
from mastledge.protocol.errors import BodyTooLargeError
from mastledge.protocol.requests import Exchange
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.transport import descriptor_channel, descriptor_passing
from mastledge.transport.budget import SHORTAGE_EVICTION_ORDER
from mastledge.transport.connection import Connection
from mastledge.transport.errors import (
    ChannelClosedError,
    IncompleteMessageError,
    TransportError,
    WaitTimeoutError,
)
from mastledge.transport.loop import READ

# A job is killed this long before its answer is due: the process may be held up for this long between the
# expiry of the timer and the write of the answer. The scheduler does not handle these jobs.
ANSWER_MARGIN_US = 150_000
MAX_JOBS_PER_TURN = 16
SHORTAGE_PAUSE_US = 20_000  # before the next offer is accepted when descriptors are exhausted


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
    """Receives the jobs that the other process hands off, and finishes them.

    Jobs come on channels, or as datagrams from versions without offers.
    """

    def __init__(self, loop, budget, listener, settings: dict, log):
        """Create the receiving side; `listener` answers the clients of the jobs."""
        self.loop, self.budget, self.listener, self.log = loop, budget, listener, log
        self.workers = WorkerConnections(loop, budget, DiscardingInbox(), settings, log)
        self.exchanges = set()  # exchanges of taken-over jobs that have not ended
        self._receiver = self._receiver_path = None
        self._listener = self._listener_path = None
        self._exiting = False

    # Offers

    def listen_for_offers(self, path: str):
        """Coroutine: accept the jobs that are offered at `path`, and take over those that are released."""
        try:
            self._listener, self._listener_path = descriptor_channel.listen_for_channels(path), path
        except OSError as error:
            # For example a folder that is not writable; jobs that outlast the old process then end with it.
            self.log("handoff_disabled", why=str(error))
            return
        while True:
            yield (self._listener.fileno(), READ, None)
            try:
                self._accept_channels()
            except OSError as error:
                self.log("connection_not_received", why=str(error))
                self.budget.evict(*SHORTAGE_EVICTION_ORDER)
                yield (-1, 0, self.loop.now() + SHORTAGE_PAUSE_US)

    def _accept_channels(self):
        for _ in range(MAX_JOBS_PER_TURN):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            channel = descriptor_channel.DescriptorChannel(self.loop, sock)
            self.loop.spawn(self._receive_offer(channel))

    def _receive_offer(self, channel):
        """Coroutine: accept the offer on a channel, and take over its job once it is released."""
        connections, file = [], -1
        try:
            message, descriptors = yield from channel.wait_for_message(DESCRIPTORS_PER_OFFER)
            file = descriptors.pop()
            connections = self._attach_all([socket.socket(fileno=descriptor) for descriptor in descriptors])
            offer = JobOffer.decode(message)
            if self._exiting:
                return
            channel.send(ACCEPTED)
            message, _ = yield from channel.wait_for_message(0)
            release, rest = JobRelease.decode(message), descriptor_channel.read_memory_file(file)
            job = HandedOffJob(offer.name, offer.kind, offer.until, release.headed, rest)
            taken, connections = connections, []
            self._start(job, *taken)
        except ChannelClosedError:
            return  # the job has ended in the other process, or ends there
        except (OSError, TransportError, HandedOffJobError) as error:
            self.log("connection_not_received", why=str(error))
        finally:
            channel.close()
            for connection in connections:
                connection.close()
            if file >= 0:
                os.close(file)

    # Datagrams

    def listen(self, path: str):
        """Coroutine: take over the jobs that are sent to `path` by versions without offers."""
        try:
            self._receiver, self._receiver_path = descriptor_passing.open_receiver(path), path
        except OSError as error:
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

    def take_over(self, raw: bytes, sockets) -> None:
        """Continue the job in a datagram; close its sockets if that is not possible."""
        try:
            job = HandedOffJob.decode(raw)
        except HandedOffJobError as error:
            self._refuse(sockets, str(error))
            return
        self.continue_job(job, sockets)

    def continue_job(self, job: HandedOffJob, sockets) -> None:
        """Read the worker's answer to its end and answer the client; close the sockets if not possible."""
        try:
            connections = self._attach_all(sockets)
        except OSError as error:
            self._refuse((), str(error))
            return
        self._start(job, *connections)

    def _refuse(self, closables, reason):
        self.log("connection_not_received", why=reason)
        for closable in closables:
            closable.close()

    # Jobs

    def stop_listening(self) -> None:
        """Remove the sockets that receive jobs, as this process exits."""
        for opened, path in ((self._receiver, self._receiver_path), (self._listener, self._listener_path)):
            if opened is not None:
                self.loop.forget(opened.fileno())
                descriptor_passing.close_receiver(opened, path)
        self._receiver = self._listener = None

    def _attach_all(self, sockets):
        """Return the connections for the sockets of client and worker; close all and raise OSError if not."""
        connections = []
        try:
            for sock, kind, role in zip(
                sockets, ("clients", "workers"), (h11.SERVER, h11.CLIENT), strict=True
            ):
                connections.append(self.attached(sock, kind, role))
        except OSError:
            for closable in (*connections, *sockets):
                closable.close()
            raise
        return connections

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
        if self._exiting:
            self._kill(exchange)

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
        """Kill all jobs that were taken over, as this process exits too; accept no further offers."""
        self._exiting = True
        for exchange in list(self.exchanges):
            self._kill(exchange)

    def _kill(self, exchange):
        exchange.killed()
        self.loop.cancel(exchange.job)
