"""Sends launches to workers and reports their outcomes."""

from collections.abc import Callable
from typing import Any

import h11

from mastledge.protocol import http
from mastledge.protocol.errors import BodyTooLargeError, ClientLeftError, LaunchWithheldError
from mastledge.protocol.events import ClientLeft, LaunchEnded
from mastledge.protocol.idle_connections import IdleConnections
from mastledge.protocol.worker_answers import (
    HEAD_SAYS_REJECTED,
    LINE_SAYS_REJECTED,
    LaunchAnswer,
    WorkerAnswers,
)
from mastledge.protocol.worker_endpoint import WorkerEndpoint
from mastledge.scheduling.outcomes import COMPLETED, Outcome
from mastledge.transport.budget import Budget
from mastledge.transport.connection import Connection, connect
from mastledge.transport.errors import OutOfDescriptorsError, WaitTimeoutError
from mastledge.transport.loop import WRITE, Coroutine, Loop, Queue

# Added to the round trip time: by then a dead connection has reported a reset for the written bytes.
RESET_MARGIN_US = 2_000
REUSABLE_AFTER = (COMPLETED, Outcome.ERROR, Outcome.FULL)


class WorkerConnections:
    """Sends launches on new or idle connections. `lease_guard`, if set, may forbid it (consensus)."""

    def __init__(self, loop: Loop, budget: Budget, inbox: Queue, settings: dict, log: Callable) -> None:
        """`inbox` receives the events of each launch; the last one is `LaunchEnded`."""
        self.loop, self.budget, self.inbox, self.log = loop, budget, inbox, log
        self.idle = IdleConnections(loop, budget)
        self.answers = WorkerAnswers(loop, inbox, self.idle.reuse)
        self.sent_launches = 0
        self.lease_guard = None
        self.configure(settings)

    def configure(self, settings: dict) -> None:
        """Apply settings to launches from now on; times are in microseconds."""
        self.connect_timeout = settings["connect_timeout"]
        self.idle.configure(settings)
        self.answers.configure(settings)

    def close_idle(self, endpoint: WorkerEndpoint) -> None:
        """Close the idle connections to a worker."""
        self.idle.close_all(endpoint)

    def launch(self, endpoint: WorkerEndpoint, launch: Any, exchange: Any, until: int) -> Coroutine:
        """Run a launch and queue its events, ending with one `LaunchEnded`.

        Uses `name`, `sent` and `send_by` of the launch; `send_by` is the deadline for its last byte.
        """
        conn = None
        incarnation = endpoint.incarnation()
        try:
            conn, outcome = yield from self.send(endpoint, launch, exchange, until)
            if conn is None:
                answer = LaunchAnswer(outcome)
            else:
                launch.conn = conn
                answer = yield from self._answer(conn, endpoint, launch, until)
            reusable = conn is not None and conn.fd >= 0 and answer.outcome in REUSABLE_AFTER
            if conn is not None and not reusable:
                # The worker may run the job until the connection closes, and a relaunch may follow at once.
                conn.close()
            self.inbox.put(LaunchEnded(launch, *answer))
            if reusable and (yield from self.answers.read_to_end(conn)):
                idle_conn, conn = conn, None
                self.idle.keep(endpoint, idle_conn, incarnation)
        finally:
            if conn is not None:
                conn.close()

    def send(self, endpoint: WorkerEndpoint, launch: Any, exchange: Any, until: int) -> Coroutine:
        """Return (connection, None) once the whole request is written, else (None, outcome)."""
        conn, incarnation = self.idle.take(endpoint, exchange.run_once), endpoint.incarnation()
        is_new, sent = conn is None, False
        try:
            if is_new:
                conn = yield from self._connect(endpoint, launch.send_by)
            content = self._request(conn, endpoint, exchange, until)
            if incarnation != endpoint.incarnation():
                # No byte may go to a worker that began to drain, or restarted with less capacity, meanwhile.
                self.log("launch_withheld", worker=endpoint.id)
                raise LaunchWithheldError
            if exchange.run_once:
                yield from self._write_up_to_last_byte(conn, endpoint, content, launch.send_by, exchange)
                content = content[-1:]
            yield from self.write_while_lawful(conn, endpoint, content, launch.send_by, exchange)
            launch.sent = sent = True
            self.sent_launches += 1
            return conn, None
        except LaunchWithheldError:
            return None, Outcome.UNSENT
        except ClientLeftError:
            # The client connection reports the disconnect too, but a busy loop may read it later.
            self.inbox.put(ClientLeft(exchange))
            return None, Outcome.UNSENT
        except OutOfDescriptorsError:
            self.log("out_of_descriptors", worker=endpoint.id)
            return None, Outcome.UNSENT
        except (OSError, WaitTimeoutError) as error:
            return None, self._not_sent(endpoint, conn, is_new, launch.send_by, error)
        finally:
            if conn is not None and not sent:
                conn.close()

    def write_while_lawful(
        self, conn: Connection, endpoint: WorkerEndpoint, content: bytes, until: int, exchange: Any = None
    ) -> Coroutine:
        """Write, checking before each write whether it is allowed: the process may have been suspended.

        Raises OSError, WaitTimeoutError, LaunchWithheldError or ClientLeftError.
        """
        while content:
            if self.loop.now() >= until:
                raise WaitTimeoutError
            if (
                self.lease_guard is not None
                and not self.lease_guard.may_act(self.loop.now())
                or endpoint.excluded
            ):
                self.log("launch_withheld", worker=endpoint.id)
                raise LaunchWithheldError
            if exchange is not None and exchange.client_has_disconnected():
                raise ClientLeftError
            try:
                content = content[conn.sock.send(content) :]
            except BlockingIOError:
                if not (yield (conn.fd, WRITE, until)):
                    raise WaitTimeoutError from None

    def _connect(self, endpoint, send_by):
        deadline = min(send_by, self.loop.now() + self.connect_timeout)
        conn = yield from connect(self.loop, self.budget, "workers", endpoint.address, deadline)
        return http.attach(conn, h11.CLIENT)

    def _request(self, conn, endpoint, exchange, until):
        remaining_ms = max(1, (until - self.loop.now()) // 1000)
        headers = [
            (b"host", b"%s:%d" % (endpoint.address[0].encode(), endpoint.address[1])),
            *exchange.headers,
            (b"x-remaining-ms", b"%d" % remaining_ms),
            (b"content-length", b"%d" % len(exchange.body)),
        ]
        return http.request_bytes(conn, exchange.method, exchange.target, headers, exchange.body)

    def _write_up_to_last_byte(self, conn, endpoint, content, send_by, exchange):
        # A worker starts a job at its last byte: if the connection breaks earlier, a relaunch is safe.
        yield from self.write_while_lawful(conn, endpoint, content[:-1], send_by, exchange)
        if not (yield from conn.stays_quiet(RESET_MARGIN_US)):
            raise OSError("connection broke before the last byte")

    def _not_sent(self, endpoint, conn, is_new, send_by, error):
        """Return the outcome of a launch that was not written completely, so it cannot have run.

        A broken idle connection, or a job with too little time left to connect, does not count against the
        worker.
        """
        self.log("launch_not_sent", worker=endpoint.id, why=str(error) or type(error).__name__)
        in_time = self.loop.now() < send_by
        if conn is not None and in_time:
            self.idle.reuse.record(conn, broke=True)
        if not is_new or self.loop.now() >= send_by:
            return Outcome.UNSENT
        # Idle connections to a machine that accepts no new ones would lose the next launch.
        self.close_idle(endpoint)
        return Outcome.UNREACHABLE

    def _answer(self, conn, endpoint, launch, until):
        reused = conn.reused
        try:
            answer = yield from self.answers.read(conn, launch, until)
            if answer.outcome in (HEAD_SAYS_REJECTED, LINE_SAYS_REJECTED):
                answer = yield from self._prove_rejection(conn, endpoint, answer, reused, until)
            return answer
        except WaitTimeoutError:
            return LaunchAnswer(Outcome.TIMEOUT)
        except (OSError, h11.RemoteProtocolError) as error:
            # The worker may have closed a reused connection long ago, which says nothing about its health.
            outcome = Outcome.DROPPED if conn.reused else Outcome.LOST
            self.idle.reuse.record(conn, broke=True)
            why = str(error) or type(error).__name__
            self.log("worker_connection_broken", worker=endpoint.id, how=outcome, why=why)
            return LaunchAnswer(outcome)
        except (ValueError, BodyTooLargeError) as error:
            self.log("worker_answer_malformed", worker=endpoint.id, why=str(error))
            conn.close()  # after malformed input, unlike after a reported error, the rest cannot be trusted
            return LaunchAnswer(Outcome.ERROR)

    def _prove_rejection(self, conn, endpoint, answer, reused, until):
        names_job = answer.outcome == LINE_SAYS_REJECTED
        proven = (names_job or not reused) and (
            yield from self.answers.is_sole_complete_answer(conn, names_job, until)
        )
        if not proven:
            self.log("rejection_doubted", worker=endpoint.id, kept=reused)
        return answer._replace(outcome=Outcome.FULL if proven else Outcome.DOUBTED)
