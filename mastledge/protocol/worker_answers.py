"""Reads what a worker answers to a launch: a head, then lines of JSON about the job."""

from typing import Any, NamedTuple

import h11

from mastledge.protocol import http
from mastledge.protocol.events import LaunchProgressed, LaunchSilent, LaunchStarted
from mastledge.protocol.idle_connections import ReuseRate
from mastledge.protocol.load_report import NO_REPORT, report_of_header, report_of_object
from mastledge.scheduling.outcomes import COMPLETED, Outcome
from mastledge.transport.connection import Connection
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.loop import Coroutine, Loop, Queue

ANSWER_TAIL_US = 1_000_000  # for the end of an answer whose last line has come
MIN_PATIENCE_US = 100_000
# A worker says that a job never ran, by its head or by a line: no outcome yet, as it takes a proof.
HEAD_SAYS_REJECTED, LINE_SAYS_REJECTED = "turned away", "returned"
OUTCOME_OF_STATE = {"failed": Outcome.ERROR, "returned": LINE_SAYS_REJECTED, "lost": Outcome.LOST}
ENDING_STATES = tuple(OUTCOME_OF_STATE)  # a state may be anything, also what no dict can look up


class LaunchAnswer(NamedTuple):
    """How a launch ended (an `Outcome`, or one of the two that still take a proof), its result and load."""

    outcome: str
    result: bytes | None = None
    report: tuple[float, ...] = NO_REPORT


class WorkerAnswers:
    """Reads answers of workers and passes on what they tell before the end.

    `reuse` is told whether connections that had been idle hold.
    """

    def __init__(self, loop: Loop, inbox: Queue, reuse: ReuseRate) -> None:
        """`inbox` takes `LaunchSilent`, `LaunchStarted` and `LaunchProgressed`."""
        self.loop, self.inbox, self.reuse = loop, inbox, reuse

    def configure(self, settings: dict) -> None:
        """Takes over the settings that count for answers that come from now on."""
        self.report_fields = settings["report_fields"]
        self.patience_us = max(settings["connect_timeout"], MIN_PATIENCE_US)

    def read(self, conn: Connection, launch: Any, until: int) -> Coroutine:
        """The LaunchAnswer to what was sent on a connection.

        A head names no job: on a connection that has carried another one it may be a second answer to that,
        come late, while this launch runs. A line names its job.

        Raises WaitTimeoutError at `until`, OSError or h11.RemoteProtocolError where the connection or its
        HTTP breaks, ValueError or BodyTooLargeError for lines that cannot be understood.
        """
        report = NO_REPORT
        if not launch.headed:
            head = yield from self._read_head(conn, launch, until)
            fields = dict(head.headers)
            launch.headed = True
            # Only between two chunks it is known from outside how far the parser is.
            conn.at_chunk_end = fields.get(b"transfer-encoding") == b"chunked"
            report = report_of_header(fields.get(b"x-pressure", b""), self.report_fields)
            if head.status_code != 200:
                says = [value for name, value in head.headers if name == b"x-turned-away"]
                rejected = head.status_code in (503, 504) and says == [b"1"]
                return LaunchAnswer(HEAD_SAYS_REJECTED if rejected else Outcome.ERROR, None, report)
        return (yield from self._read_lines(conn, launch, until, report))

    def is_whole_and_alone(self, conn: Connection, names_job: bool, until: int) -> Coroutine:
        """Whether an answer is whole and the only one: else it is no proof that its job never ran."""
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
        """Reads the rest of an answer; whether the connection can carry another request."""
        try:
            until = self.loop.now() + ANSWER_TAIL_US
            while conn.http.their_state is h11.SEND_BODY:
                yield from http.next_event(conn, until)
            # Bytes beyond the answer belong to nothing that was asked.
            return conn.http.trailing_data == (b"", False) and http.start_next_cycle(conn.http)
        except (OSError, WaitTimeoutError, h11.RemoteProtocolError):
            return False

    def _read_head(self, conn, launch, until):
        while True:
            try:
                head = yield from http.response_head(conn, min(until, self.loop.now() + self.patience_us))
            except WaitTimeoutError:
                # A worker tells at once that it has taken a job, also where that has to wait there.
                if self.loop.now() >= until:
                    raise
                self.inbox.put(LaunchSilent(launch))
                continue
            self.reuse.record(conn, broke=False)
            return head

    def _read_lines(self, conn, launch, until, report):
        begun = False
        while True:
            line = yield from http.next_line(conn, until)
            if line is None:
                return LaunchAnswer(Outcome.LOST, None, report)
            if not line.strip():
                continue
            message = http.parse_object(line)
            state = message.get("state")
            if message.get("id") != launch.name:
                raise ValueError(f"news of another job: {line[:80]!r}")
            if state in ("started", "running"):
                begun = True
                self._pass_on(launch, state, message)
            elif state == "done":
                return LaunchAnswer(COMPLETED, result_of(message, line), self._report(message, report))
            elif state not in ENDING_STATES:
                raise ValueError(f"unknown state: {line[:80]!r}")
            elif state == "returned" and begun:
                raise ValueError("returned unstarted, behind its start")
            else:
                return LaunchAnswer(OUTCOME_OF_STATE[state], None, self._report(message, report))

    def _pass_on(self, launch, state, message):
        if state == "started":
            self.inbox.put(LaunchStarted(launch))
        elif isinstance(share := message.get("share"), int | float):
            self.inbox.put(LaunchProgressed(launch, share))

    def _report(self, message, report):
        load = message.get("load")
        return report_of_object(load, self.report_fields) if isinstance(load, dict) else report


def result_of(message: dict, line: bytes) -> bytes:
    """The result that a line brings; ValueError where it has none."""
    result = message.get("result")
    if not isinstance(result, str):
        raise ValueError(f"no result: {line[:80]!r}")
    return result.encode()
