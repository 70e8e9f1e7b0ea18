"""Clients that do what they should not: a crowd of idle ones, half requests, several requests at once."""

import asyncio
from typing import TYPE_CHECKING

import h11

from mastledge.lab.load import Attempt
from mastledge.lab.scenario import QueueType
from mastledge.lab.soak.clients import read_answer
from mastledge.lab.tcp_info import hang_up
from mastledge.lab.wire import address, now

if TYPE_CHECKING:
    from mastledge.lab.soak.harness import SoakHarness

CONNECT_TIMEOUT_S = 0.5
CROWD_BATCH = 50  # connections opened at a time
BAD_CLIENT_END_S = 3.0  # in which a client that stops inside its request is owed an error or a close
HALF_REQUEST_TIMEOUT_S = 8.0
PIPELINED_REQUESTS = 3


class OddClients:
    """All such clients of a run, at one dispatcher."""

    def __init__(self, harness: "SoakHarness", who: str) -> None:
        """Take the dispatcher that they connect to."""
        self.harness, self.who = harness, who
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task] = []

    async def begin(self) -> None:
        """Connect the crowd and start the others."""
        plan = self.harness.plan
        for begun in range(0, plan.crowd, CROWD_BATCH):
            await asyncio.gather(*(self.connect() for _ in range(min(CROWD_BATCH, plan.crowd - begun))))
        for number in range(plan.half_written):
            self.tasks.append(asyncio.create_task(self.send_half_request(number)))
        for number in range(plan.pipelining):
            self.tasks.append(asyncio.create_task(self.send_requests_at_once(number)))

    async def end(self) -> None:
        """End the tasks and close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Return a new connection, or None if there is none to be had."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                streams = await asyncio.open_connection(*address(self.harness.nodes[self.who].listen))
        except (OSError, TimeoutError):
            return None
        self.writers.append(streams[1])
        return streams

    async def send_half_request(self, number: int) -> None:
        """Send a part of a request, stay, and record when the dispatcher ended it."""
        streams = await self.connect()
        if streams is None:
            return
        reader, writer = streams
        raw = self.attempt(f"half{number}").request_bytes(h11.Connection(h11.CLIENT), "service.internal")
        sent_at = now()
        writer.write(raw[: len(raw) * (1 + number) // 8])
        try:
            async with asyncio.timeout(HALF_REQUEST_TIMEOUT_S):
                await reader.read(1)
        except TimeoutError:
            self.harness.note("half_request_kept", who=self.who, number=number)
        except OSError:
            pass
        self.harness.note("half_request_ended", who=self.who, number=number, ms=(now() - sent_at) / 1000)

    async def send_requests_at_once(self, number: int) -> None:
        """Send several requests in one write and leave after the first answer, again and again.

        Only what the workers run is judged.
        """
        for turn in range(1000):
            if self.harness.load_is_over:
                return
            streams = await self.connect()
            if streams is None:
                return
            reader, writer = streams
            http = h11.Connection(h11.CLIENT)
            jobs = [self.attempt(f"pipelined{number}x{turn}x{place}") for place in range(PIPELINED_REQUESTS)]
            raw = b"".join(job.request_bytes(h11.Connection(h11.CLIENT), "service.internal") for job in jobs)
            http.send(h11.Request(method="GET", target="/", headers=[("host", "service.internal")]))
            http.send(h11.EndOfMessage())
            try:
                async with asyncio.timeout(2 + jobs[0].walltime_ms / 1000):
                    writer.write(raw)
                    await read_answer(http, reader, writer)
            except (OSError, TimeoutError, h11.ProtocolError):
                pass
            finally:
                left_at = hang_up(writer)
            for job in jobs[1:]:
                self.harness.note("left", at=left_at, job=job.job, who=self.who, ms=0)

    def attempt(self, name: str) -> Attempt:
        """Return a job with the name, which is its key too where keys are kept."""
        queue_types = self.harness.scenario.clients.queue_types
        longest = max(queue_type.walltime_ms for queue_type in queue_types)
        key = name if self.harness.scenario.repeats else ""
        return Attempt(f"{name}.0", key, QueueType(name="post", effect="side_effect", walltime_ms=longest), 0)
