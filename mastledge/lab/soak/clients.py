"""Clients that keep their connections and go on sending on them until the dispatcher ends them."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from mastledge.lab.load import ANSWER_SLACK_S, Attempt, ReceivedAnswer, note_answer, note_sent
from mastledge.lab.scenario import QueueType
from mastledge.lab.soak.connection_state import EndOfConnection, end_of_connection
from mastledge.lab.soak.plan import Draws
from mastledge.lab.tcp_info import TCP_CLOSE, hang_up, last_data_at, tcp_state
from mastledge.lab.wire import address, body, event, now

if TYPE_CHECKING:
    from mastledge.lab.soak.harness import SoakHarness

CONNECT_TIMEOUT_S = 0.5
PAUSE_S = 0.02  # without a dispatcher to go to
MAX_THINKING_S = 0.01  # between an answer and the next request
SHORT_WALLTIME_PROBABILITY = 0.1
SHORT_WALLTIMES_MS = (1, 40)


@dataclass(slots=True)
class KeptConnection:
    """A kept connection of a client; `is_new` until its first request has been answered."""

    who: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_new: bool = True


class KeptConnectionClient:
    """One client: it sends one request at a time, and keeps its connection while the dispatcher does.

    Half of the clients send without a look at whether the dispatcher has ended the connection.
    """

    def __init__(self, harness: "SoakHarness", number: int, leaves: bool) -> None:
        """Take the client's number; if it `leaves`, it closes its connection during some of its jobs."""
        self.harness, self.number, self.leaves = harness, number, leaves
        self.draws = Draws(harness.seed, f"client {number}")
        self.connection: KeptConnection | None = None
        self.looks_first = self.draws.happens(0.5)
        self.count = 0

    async def run(self) -> None:
        """Send requests until the harness says that the load is over."""
        try:
            while not self.harness.load_is_over:
                if not await self.connect():
                    await asyncio.sleep(PAUSE_S)
                    continue
                await self.send_request()
                await asyncio.sleep(self.draws.between(0, MAX_THINKING_S))
        finally:
            self.close()

    async def connect(self) -> bool:
        """Return whether there is a connection, an open one or a new one."""
        if self.connection is not None and self.looks_first and self.connection.reader.at_eof():
            self.close()
        if self.connection is not None:
            return True
        who = self.harness.dispatcher_for_new_connection(self.draws)
        if who is None:
            return False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                streams = await asyncio.open_connection(*address(self.harness.nodes[who].listen))
        except (OSError, TimeoutError):
            return False
        self.connection = KeptConnection(who, *streams)
        return True

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.writer.close()
            self.connection = None

    def leave(self, attempt: Attempt, sent_at: int) -> None:
        """Close the connection while the job runs, and record that."""
        connection, self.connection = self.connection, None
        left_at = hang_up(connection.writer)
        waited_ms = (left_at - sent_at) / 1000
        self.harness.note("left", at=left_at, job=attempt.job, who=connection.who, ms=waited_ms)

    def next_attempt(self) -> Attempt:
        """Return the next job, with little time left at times."""
        self.count += 1
        queue_type = self.draws.choice(self.harness.scenario.clients.queue_types)
        walltime_ms = queue_type.walltime_ms
        if self.draws.happens(SHORT_WALLTIME_PROBABILITY):
            walltime_ms = int(self.draws.between(*SHORT_WALLTIMES_MS))
        timed = QueueType(name=queue_type.name, effect=queue_type.effect, walltime_ms=walltime_ms)
        job = f"c{self.number}x{self.count}.0"
        return Attempt(job, job if self.harness.scenario.repeats else "", timed, 0)

    async def send_request(self) -> None:
        """Send a job on the connection and record its answer, or how it got none."""
        connection, attempt = self.connection, self.next_attempt()
        http = h11.Connection(h11.CLIENT)
        sent_at = now()
        connection.writer.write(attempt.request_bytes(http, self.harness.nodes[connection.who].listen))
        state_after_write = tcp_state(connection.writer)
        patience_s = attempt.walltime_ms / 1000 + ANSWER_SLACK_S
        is_leaving = self.leaves and self.draws.happens(0.5)
        if is_leaving:
            patience_s = self.draws.between(0, 0.1)
        try:
            async with asyncio.timeout(patience_s):
                answer = await read_answer(http, connection.reader, connection.writer)
        except TimeoutError:
            note_sent(self.harness, attempt, connection.who, sent_at)
            if is_leaving:
                self.leave(attempt, sent_at)
            else:
                self.close()
                self.record_lost(attempt, connection.who, sent_at, "TimeoutError")
        except (OSError, h11.ProtocolError) as error:
            was_reset = isinstance(error, ConnectionResetError) or tcp_state(connection.writer) == TCP_CLOSE
            self.record_end(attempt, sent_at, end_of_connection(state_after_write, was_reset))
            self.close()
        else:
            note_sent(self.harness, attempt, connection.who, sent_at)
            note_answer(self.harness, attempt, connection.who, sent_at, answer)
            connection.is_new = False
            if must_close(http, answer.head):
                self.close()

    def record_end(self, attempt: Attempt, sent_at: int, end: EndOfConnection) -> None:
        """Record a request without an answer: lost, or one that crossed the end of its connection.

        A request on a new connection counts as taken, read or not, unless a crowd fills the descriptors.
        """
        connection = self.connection
        is_crossing = end is not EndOfConnection.READ
        if is_crossing and (not connection.is_new or self.harness.plan.crowd):
            self.harness.note(
                "crossed",
                at=sent_at,
                job=attempt.job,
                who=connection.who,
                new=connection.is_new,
                why=end.name,
            )
            return
        note_sent(self.harness, attempt, connection.who, sent_at)
        self.record_lost(attempt, connection.who, sent_at, end.name)

    def record_lost(self, attempt: Attempt, who: str, sent_at: int, why: str) -> None:
        """Record that a request that was taken got no answer."""
        self.harness.note("lost", job=attempt.job, who=who, why=why, ms=(now() - sent_at) / 1000)


async def read_answer(
    http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> ReceivedAnswer:
    """Return an answer; raise ConnectionError if the connection ends first."""
    head = await event(http, reader)
    if not isinstance(head, h11.Response):
        raise ConnectionError("the connection ended")
    content = await body(http, reader)
    return ReceivedAnswer(head, content, last_data_at(writer))


def must_close(http: h11.Connection, head: h11.Response) -> bool:
    """Return whether the connection cannot be used for another request."""
    return http.their_state is not h11.DONE or dict(head.headers).get(b"connection") == b"close"
