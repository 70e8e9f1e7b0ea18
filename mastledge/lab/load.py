"""Open-loop clients: when each job comes is drawn ahead from the seed, so that a slow answer doesn't thin
out the load.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import h11
import numpy

from mastledge.lab.scenario import Clients as ClientOptions
from mastledge.lab.scenario import QueueType
from mastledge.lab.stub_servers import Notes
from mastledge.lab.tcp_info import hang_up, last_data_at
from mastledge.lab.wire import address, body, call, event, now

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness

LOOK_INTERVAL_S = 0.1  # between two looks of the front at who is ready
LOOK_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5
SHAPE_STEP_S = 0.01  # between two looks at a shape
LATE_S = 0.05  # from which on a job that is sent late is put down
ANSWER_SLACK_S = 1.0  # for which an answer is waited for after the walltime
RECONNECT_S = 0.02  # until the next try, where no connection was made
MIN_RETRY_S = 0.05  # until the next try, where a rejection names no time or the client has left
LOST_RETRY_S = 0.1  # until the next try of a client that comes again when its answer is lost
CONTENT = b"x" * 20
MAX_RESULT_CHARACTERS = 60


def note_sent(notes: Notes, attempt: "Attempt", who: str, sent: int) -> None:
    """Note that a try was sent to a dispatcher at microsecond `sent`."""
    notes.note(
        "sent",
        at=sent,
        job=attempt.job,
        key=attempt.key,
        type=attempt.queue_type.name,
        who=who,
        walltime=attempt.walltime_ms * 1000,
        attempt=attempt.number,
    )


class ReceivedAnswer(NamedTuple):
    """An answer as a client has read it; `at` is the microsecond at which its last bytes came."""

    head: h11.Response
    content: bytes
    at: int


def note_answer(notes: Notes, attempt: "Attempt", who: str, sent: int, answer: ReceivedAnswer) -> None:
    """Note the answer of a try that was sent at microsecond `sent`."""
    headers = dict(answer.head.headers)
    at = max(sent, answer.at)
    notes.note(
        "answer",
        at=at,
        job=attempt.job,
        status=answer.head.status_code,
        ms=(at - sent) / 1000,
        who=who,
        type=attempt.queue_type.name,
        result=answer.content.decode("latin-1")[:MAX_RESULT_CHARACTERS],
        retry=headers.get(b"retry-after", b"").decode(),
    )


class Front:
    """The load balancer before the dispatchers: it picks among those that say that they are ready."""

    def __init__(self, harness: "ProcessHarness") -> None:
        """Begin without knowing who is ready."""
        self.harness = harness
        self.ready: dict[str, bool] = {}
        self.idle: dict[str, deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def look(self) -> None:
        """Ask each dispatcher ten times a second, until cancelled."""

        async def ask(name: str) -> None:
            # Which address is asked may change while it is asked: an upgrade keeps it, a new member brings
            # its own.
            listen = self.harness.nodes[name].listen
            status, _, _ = await call(listen, "GET", "/health/ready", seconds=LOOK_TIMEOUT_S)
            if self.ready.get(name) != (status == 200):
                self.harness.note("ready", who=name, yes=status == 200)
            self.ready[name] = status == 200

        while True:
            await asyncio.gather(*(ask(name) for name in list(self.harness.nodes)))
            await asyncio.sleep(LOOK_INTERVAL_S)

    def pick(self, random: numpy.random.Generator) -> str:
        """Draw one of the dispatchers that are ready, or of all where none is."""
        up = [name for name, ready in sorted(self.ready.items()) if ready] or sorted(self.harness.nodes)
        return up[int(random.integers(len(up)))]


def shaped(
    random: numpy.random.Generator, shape: list[tuple[float, float]], per_second: float, seconds: float
) -> numpy.ndarray:
    """Draw when jobs come, by a Poisson process whose rate follows the shape: its first and last factors hold
    before and after. Drawn by the inverse of the summed rate (Cinlar 1975).
    """
    at = numpy.arange(0, seconds + SHAPE_STEP_S, SHAPE_STEP_S)
    rate = per_second * numpy.interp(at, [second for second, _ in shape], [factor for _, factor in shape])
    summed = numpy.concatenate([[0.0], numpy.cumsum((rate[1:] + rate[:-1]) / 2 * SHAPE_STEP_S)])
    count = int(random.poisson(summed[-1]))
    return numpy.interp(numpy.sort(random.random(count)) * summed[-1], summed, at)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a job: each has an id of its own, all of one job have one key ("": none)."""

    job: str
    key: str
    queue_type: QueueType
    number: int

    @property
    def walltime_ms(self) -> int:
        """The job's walltime, as its header has it."""
        return int(self.queue_type.walltime_ms)

    def request_bytes(self, conn: h11.Connection, place: str) -> bytes:
        """Return the bytes of its request to a dispatcher's address."""
        head = h11.Request(
            method="POST",
            target=f"/{self.queue_type.name}",
            headers=[
                ("host", place),
                ("x-txn", self.job),
                ("x-remaining-ms", str(self.walltime_ms)),
                *([("idempotency-key", self.key)] if self.key else []),
                *([("x-resent", "1")] if self.number else []),
                ("content-length", str(len(CONTENT))),
            ],
        )
        return conn.send(head) + conn.send(h11.Data(data=CONTENT)) + conn.send(h11.EndOfMessage())


class Clients:
    """All clients of a run: what each sends and when is drawn as this is made."""

    def __init__(self, harness: "ProcessHarness", options: ClientOptions, seed: int, seconds: float) -> None:
        """Draw the jobs of so many seconds."""
        self.harness, self.options, self.front = harness, options, Front(harness)
        self.random = numpy.random.Generator(numpy.random.PCG64([seed, 2]))
        self.over = False  # nothing more comes, whatever was drawn
        self.seconds = seconds
        self.extension_random = numpy.random.Generator(numpy.random.PCG64([seed, 5]))
        shares = numpy.array([one.share for one in options.queue_types])
        self.shares = shares / shares.sum()
        if options.shape:
            self.times = shaped(self.random, options.shape, options.per_second, seconds)
            count = len(self.times)
        else:
            count = int(self.random.poisson(options.per_second * seconds)) if options.per_second else 0
            self.times = numpy.sort(self.random.random(count)) * seconds
        self.kinds = self.random.choice(len(shares), count, p=self.shares)
        self.keyed = self.random.random(count) < options.keyed
        # Some come again after their answer, as who taps twice does: in so many seconds, or never.
        self.again = numpy.where(
            self.random.random(count) < options.again_after, 0.05 + 3 * self.random.random(count), 0.0
        )

    async def run(self, began: int, needs_more: Callable[[], bool] = lambda: False) -> None:
        """Send all jobs at their times after microsecond `began`, and wait for their ends.

        After the drawn jobs, more are sent at the last rate while `needs_more` returns true.
        """
        jobs = []
        for n, (at, kind) in enumerate(zip(self.times, self.kinds, strict=True)):
            if self.over:
                break
            await self.wait_for_turn(began / 1e6 + at)
            key = f"k{n}" if self.keyed[n] else ""
            jobs.append(asyncio.create_task(self.job(n, self.options.queue_types[kind], key, self.again[n])))
        jobs += await self.extend(began, needs_more)
        if jobs:
            await asyncio.wait(jobs)

    async def extend(self, began: int, needs_more: Callable[[], bool]) -> list[asyncio.Task]:
        """Send jobs at the last rate after the end of the drawn load while they are needed; return them."""
        factor = self.options.shape[-1][1] if self.options.shape else 1.0
        rate, random = self.options.per_second * factor, self.extension_random
        jobs, at = [], began / 1e6 + self.seconds
        while rate and not self.over and needs_more():
            at += random.exponential(1 / rate)
            await self.wait_for_turn(at)
            n = len(self.times) + len(jobs)
            queue_type = self.options.queue_types[random.choice(len(self.shares), p=self.shares)]
            key = f"k{n}" if random.random() < self.options.keyed else ""
            jobs.append(asyncio.create_task(self.job(n, queue_type, key, 0.0)))
        return jobs

    async def wait_for_turn(self, at: float) -> None:
        """Wait until second `at` of the monotonic clock, and record how late it already is."""
        wait = at - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        elif wait < -LATE_S:
            self.harness.late = max(self.harness.late, -wait)

    async def job(self, n: int, queue_type: QueueType, key: str, again_s: float) -> None:
        """Send one job with its tries; each has a new id, all of them one key."""
        for number in range(1 + self.options.retries):
            retry_s = await self.attempt(Attempt(f"j{n}.{number}", key, queue_type, number))
            if retry_s is None:
                break
            await asyncio.sleep(retry_s)
        if again_s:
            await asyncio.sleep(again_s)
            await self.attempt(Attempt(f"j{n}.again", key, queue_type, 1))

    async def attempt(self, attempt: Attempt) -> float | None:
        """Make one try; return the seconds until the next one, None where there is none."""
        who = self.front.pick(self.random)
        place = self.harness.nodes[who].listen
        conn = h11.Connection(h11.CLIENT)
        raw = attempt.request_bytes(conn, place)
        try:
            reader, writer = await self.connect(who, place)
        except (OSError, TimeoutError):
            # Nothing was sent, so nobody has taken it.
            self.front.ready[who] = False
            return RECONNECT_S
        sent = now()
        note_sent(self.harness, attempt, who, sent)
        keeps = False
        try:
            writer.write(raw)
            head, result = await self.read_answer(conn, reader, attempt)
            note_answer(self.harness, attempt, who, sent, ReceivedAnswer(head, result, last_data_at(writer)))
            fields = dict(head.headers)
            if conn.their_state is h11.DONE and fields.get(b"connection") != b"close":
                self.front.idle[who].append((reader, writer))
                keeps = True
            if head.status_code in (429, 503):
                return float(fields.get(b"retry-after", b"") or MIN_RETRY_S)
            return None
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            return self.note_no_answer(attempt, who, sent, error, writer)
        finally:
            if not keeps:
                writer.close()

    async def connect(self, who: str, place: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return an idle connection to a dispatcher that is still open, or a new one."""
        idle = self.front.idle.setdefault(who, deque())
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(*address(place))

    async def read_answer(
        self, conn: h11.Connection, reader: asyncio.StreamReader, attempt: Attempt
    ) -> tuple[h11.Response, bytes]:
        """Read the answer; TimeoutError after the client's patience, ConnectionError where it has ended."""
        patience = self.options.patience_ms / 1000
        async with asyncio.timeout(min(patience or 1e9, attempt.walltime_ms / 1000 + ANSWER_SLACK_S)):
            head = await event(conn, reader)
            if not isinstance(head, h11.Response):
                raise ConnectionError("ended")
            return head, await body(conn, reader)

    def note_no_answer(
        self, attempt: Attempt, who: str, sent: int, error: Exception, writer: asyncio.StreamWriter
    ) -> float | None:
        """Note that a try got no answer; return the seconds until the next one, None where there is none."""
        if self.options.patience_ms and isinstance(error, TimeoutError):
            # It was tired of waiting, and comes again.
            left_at = hang_up(writer)
            self.harness.note("left", at=left_at, job=attempt.job, who=who, ms=(left_at - sent) / 1000)
            return MIN_RETRY_S
        waited_ms = (now() - sent) / 1000
        self.harness.note("lost", job=attempt.job, who=who, why=type(error).__name__, ms=waited_ms)
        return LOST_RETRY_S if self.options.again_when_lost else None
