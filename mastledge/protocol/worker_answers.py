"""Reads a worker's answer to a launch: an HTTP head, then JSON lines about the job."""

from typing import Any, NamedTuple

import h11

from mastledge.protocol import http
from mastledge.protocol.events import LaunchProgressed, LaunchStarted, LaunchUnconfirmed
from mastledge.protocol.idle_connections import ReuseRate
from mastledge.protocol.load_report import NO_REPORT, report_of_header, report_of_object
from mastledge.scheduling.outcomes import COMPLETED, Outcome
from mastledge.transport.connection import Connection
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.loop import Coroutine, Loop, Queue

ANSWER_TAIL_US = 1_000_000  # for the rest of an answer after its last line
MIN_PATIENCE_US = 100_000
# The head or a line says that the job was not run. This is not an outcome yet: it must be proven first.
HEAD_SAYS_REJECTED, LINE_SAYS_REJECTED = "turned away", "returned"
OUTCOME_OF_STATE = {"failed": Outcome.ERROR, "returned": LINE_SAYS_REJECTED, "lost": Outcome.LOST}
ENDING_STATES = tuple(OUTCOME_OF_STATE)  # a tuple, as a malformed state may be unhashable


class LaunchAnswer(NamedTuple):
    """Holds the outcome of a launch, its result and its load report.

    `outcome` is an `Outcome`, or HEAD_SAYS_REJECTED or LINE_SAYS_REJECTED, which are still unproven.
    """

    outcome: str
    result: bytes | None = None
    report: tuple[float, ...] = NO_REPORT


class WorkerAnswers:
    """Reads answers of workers and queues events for the progress they report.

    `reuse` records whether reused connections work.
    """

    def __init__(self, loop: Loop, inbox: Queue, reuse: ReuseRate) -> None:
        """`inbox` receives `LaunchUnconfirmed`, `LaunchStarted` and `LaunchProgressed`."""
        self.loop, self.inbox, self.reuse = loop, inbox, reuse

    def configure(self, settings: dict) -> None:
        """Apply settings to answers that are read from now on."""
        self.report_fields = settings["report_fields"]
        self.confirmation_timeout_us = max(settings["connect_timeout"], MIN_PATIENCE_US)

    def read(self, conn: Connection, launch: Any, until: int) -> Coroutine:
        """Return the LaunchAnswer to the request that was sent on a connection.

        A line names its job, but a head does not: on a reused connection it may be a late second answer to
        the previous job while this launch runs.

        Raises WaitTimeoutError at `until`, OSError or h11.RemoteProtocolError if the connection or its HTTP
        breaks, ValueError or BodyTooLargeError for invalid lines.
        """
        report = NO_REPORT
        if not launch.headed:
            head = yield from self._read_head(conn, launch, until)
            fields = dict(head.headers)
            launch.headed = True
            # A hand-off can restore the parser's state only between two chunks.
            conn.at_chunk_end = fields.get(b"transfer-encoding") == b"chunked"
            report = report_of_header(fields.get(b"x-pressure", b""), self.report_fields)
            if head.status_code != 200:
                rejections = [value for name, value in head.headers if name == b"x-turned-away"]
                rejected = head.status_code in (503, 504) and rejections == [b"1"]
                return LaunchAnswer(HEAD_SAYS_REJECTED if rejected else Outcome.ERROR, None, report)
        return (yield from self._read_lines(conn, launch, until, report))

    def is_sole_complete_answer(self, conn: Connection, names_job: bool, until: int) -> Coroutine:
        """Return whether the answer is complete and the only one; otherwise the job may have run."""
        until = min(until, self.loop.now() + ANSWER_TAIL_US)
        try:
            if conn.buffer.peek().strip():
                return False
            while conn.http.their_state is h11.SEND_BODY:
                event = yield from http.next_event(conn, until)
                if names_job and isinstance(event, h11.Data) and event.data.strip():
                    return False
            return conn.http.trailing_data[0] == b""
        except (OSError, WaitTimeoutError, h11.RemoteProtocolError):
            return False

    def read_to_end(self, conn: Connection) -> Coroutine:
        """Read the rest of an answer; return whether the connection can carry another request."""
        try:
            until = self.loop.now() + ANSWER_TAIL_US
            while conn.http.their_state is h11.SEND_BODY:
                yield from http.next_event(conn, until)
            # Bytes after the answer belong to no request, so the connection is not reused.
            return conn.http.trailing_data == (b"", False) and http.start_next_cycle(conn.http)
        except (OSError, WaitTimeoutError, h11.RemoteProtocolError):
            return False

    def _read_head(self, conn, launch, until):
        while True:
            try:
                head = yield from http.response_head(
                    conn, min(until, self.loop.now() + self.confirmation_timeout_us)
                )
            except WaitTimeoutError:
                # A worker confirms a job at once, even if the job waits in the worker's queue.
                if self.loop.now() >= until:
                    raise
                self.inbox.put(LaunchUnconfirmed(launch))
                continue
            self.reuse.record(conn, broke=False)
            return head

    def _read_lines(self, conn, launch, until, report):
        started = False
        while True:
            line = yield from http.next_line(conn, until)
            if line is None:
                return LaunchAnswer(Outcome.LOST, None, report)
            if not line.strip():
                continue
            message = http.parse_object(line)
            state = message.get("state")
            if message.get("id") != launch.name:
                raise ValueError(f"line about another job: {line[:80]!r}")
            if state in ("started", "running"):
                started = True
                self._report_progress(launch, state, message)
            elif state == "done":
                return LaunchAnswer(COMPLETED, result_of(message, line), self._report(message, report))
            elif state not in ENDING_STATES:
                raise ValueError(f"unknown state: {line[:80]!r}")
            elif state == "returned" and started:
                raise ValueError("job was returned as not started after it had started")
            else:
                return LaunchAnswer(OUTCOME_OF_STATE[state], None, self._report(message, report))

    def _report_progress(self, launch, state, message):
        if state == "started":
            self.inbox.put(LaunchStarted(launch))
        elif isinstance(share := message.get("share"), int | float):
            self.inbox.put(LaunchProgressed(launch, share))

    def _report(self, message, report):
        load = message.get("load")
        return report_of_object(load, self.report_fields) if isinstance(load, dict) else report


def result_of(message: dict, line: bytes) -> bytes:
    """Return the result in the message of a line; raise ValueError if there is none."""
    result = message.get("result")
    if not isinstance(result, str):
        raise ValueError(f"result is missing or not a string: {line[:80]!r}")
    return result.encode()
