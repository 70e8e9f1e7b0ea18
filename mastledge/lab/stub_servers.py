"""Stub servers: workers with slots, a cold start and a ledger of effects; and discovery that lists them."""

import asyncio
import json
import time
from typing import Any, NamedTuple, Protocol

import h11
import numpy

from mastledge.lab.faults import PIECES, Troubles
from mastledge.lab.scenario import Workers
from mastledge.lab.tcp_info import last_data_at
from mastledge.lab.wire import now, request, whole

HEARTBEAT_US = 2_000_000  # without a change, after which a follower gets an empty line
FOLLOW_POLL_S = 0.01
PIECE_BYTES = 7
PIECE_PAUSE_S = 0.002


class Notes(Protocol):
    """Who runs stub servers: it says on which address, and is told what happens."""

    host: str

    def note(self, kind: str, at: int | None = None, **fields: Any) -> None:
        """Take an event, of now or of microsecond `at`."""


class ReceivedRequest(NamedTuple):
    """A request whose last bytes came at microsecond `came_at`; the worker took it at `taken_at`."""

    head: h11.Request
    came_at: int
    taken_at: int


class Slots:
    """The slots of a worker, each with the microsecond at which it became free.

    A job begins when it came or its slot became free, whenever the harness runs it: a harness that is late
    does not make the worker slower.
    """

    def __init__(self, count: int) -> None:
        """Begin with all slots free since ever."""
        self._free: asyncio.Queue[int] = asyncio.Queue()
        for _ in range(count):
            self._free.put_nowait(0)

    async def take(self) -> int:
        """Wait for a free slot and return since when it is free."""
        return await self._free.get()

    def give_back(self, free_at: int) -> None:
        """Free a slot as of that microsecond."""
        self._free.put_nowait(free_at)


class Worker:
    """A worker: takes jobs by the platform's protocol, runs some at once, and notes each effect."""

    def __init__(self, harness: Notes, name: str, options: Workers, random: numpy.random.Generator) -> None:
        """Make a worker that notes what happens at `harness`; `begin` opens it."""
        self.harness, self.name, self.options, self.random = harness, name, options, random
        self.state = "ready"  # as discovery lists it
        self.born = 0  # microsecond of its last restart; 0: warm since ever
        self.address = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.slots = Slots(options.slots)
        self.troubles = Troubles()

    async def begin(self) -> "Worker":
        """Open its socket; `address` is where it listens."""
        self.server = await asyncio.start_server(self.serve, self.harness.host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def warmth(self) -> float:
        """Return how fast it runs jobs now, by what it does once warm: up to 1."""
        cold = self.options.cold_ms * 1000
        if not self.born or not cold:
            return 1.0
        return min(1.0, self.options.cold_from + (1 - self.options.cold_from) * (now() - self.born) / cold)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a dispatcher until it ends."""
        conn = h11.Connection(h11.SERVER)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                was_deaf = False
                while self.troubles.deaf(now()):
                    was_deaf = True
                    await asyncio.sleep(0.02)
                head, content = await request(conn, reader)
                if head is None:
                    return
                if was_deaf and self.options.drops:
                    await asyncio.sleep(0.02)
                    if reader.at_eof():
                        return  # it was sent long ago, and given up since
                came_at = last_data_at(writer)
                taken_at = now() if was_deaf else came_at
                await self.run(conn, reader, writer, ReceivedRequest(head, came_at, taken_at))
                if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                    return
                conn.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            # Cancelled: the run is over, or this worker has died.
            return
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def run(self, conn, reader, writer, received: ReceivedRequest) -> None:
        """Run the job of a request, and answer it."""
        at = now()
        fields = dict(received.head.headers)
        job = fields.get(b"x-txn", b"").decode()
        key = fields.get(b"idempotency-key", b"").decode()
        kind = received.head.target.decode()[1:]
        low, high = self.options.run_ms
        work = int((low + (high - low) * self.random.random()) * 1000)
        self.harness.note(
            "launch", at=received.came_at, worker=self.name, job=job, key=key, type=kind, work=work
        )

        trouble = self.troubles.now(at, self.random.random)
        if trouble == "error":
            writer.write(whole(conn, 500, b""))
            await writer.drain()
            return
        if trouble == "silent":
            await reader.read()  # until its dispatcher gives up
            raise ConnectionError("silent")

        async def write_line(**fields: str) -> None:
            line = json.dumps({"id": job, "from": self.name, **fields}).encode() + b"\n"
            raw = conn.send(h11.Data(data=line))
            if trouble == PIECES:
                await write_in_pieces(writer, raw)
            else:
                writer.write(raw)

        writer.write(conn.send(h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])))
        if trouble == "malformed":
            writer.write(conn.send(h11.Data(data=b"{not a line\n")) + conn.send(h11.EndOfMessage()))
            await writer.drain()
            return
        slow, slots = self.troubles.slow(at), self.slots
        ends_at = max(received.taken_at, await slots.take())
        try:
            if self.options.drops and reader.at_eof():
                self.harness.note("dropped", worker=self.name, job=job)
                return
            if trouble != "lost":
                await write_line(state="started")
            ends_at += int(work * slow / self.warmth())
            await asyncio.sleep(max(0, ends_at - now()) / 1e6)
            # From here on it has happened, whoever hears of it.
            self.harness.note("effect", worker=self.name, job=job, key=key, type=kind)
            if trouble == "lost":
                raise ConnectionError("its answer is lost")
            await write_line(state="done", result=f"{self.name} {job}")
            writer.write(conn.send(h11.EndOfMessage()))
            await writer.drain()
        finally:
            slots.give_back(ends_at)

    def entry(self) -> dict[str, Any]:
        """Return the entry of discovery's list for this worker, as it is now."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": self.state,
            "weight": 1.0,
            "startedAtMs": int(time.time() * 1000 - (now() - self.born) / 1000) if self.born else 0,
        }

    async def restart(self) -> None:
        """End at once with all it had, and come back cold under another address."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.slots, self.troubles = Slots(self.options.slots), Troubles()
        await self.begin()
        self.born = now()


async def write_in_pieces(writer: asyncio.StreamWriter, raw: bytes) -> None:
    """Write bytes in small pieces, each in a segment of its own."""
    for begin in range(0, len(raw), PIECE_BYTES):
        writer.write(raw[begin : begin + PIECE_BYTES])
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)


class Agent:
    """What one dispatcher hears of discovery, on an address of its own: it may be late, silent or down."""

    def __init__(self, registry: "Registry", who: str) -> None:
        """Make the agent of dispatcher `who`; `begin` opens it."""
        self.registry, self.who = registry, who
        self.late = 0.0  # seconds after which it hears of a change
        self.silent = False
        self.server: asyncio.Server | None = None
        self.written = 0  # the newest generation that has been written here

    async def begin(self) -> "Agent":
        """Open its socket; `address` is where it listens."""
        self.server = await asyncio.start_server(self.serve, self.registry.harness.host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def visible(self) -> int:
        """Return the generation of the newest change that has reached this agent."""
        newest = 0
        for generation, at, _ in self.registry.held():
            if not self.silent and now() >= at + self.late * 1e6 or generation <= self.written:
                newest = generation
        return max(newest, self.written)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call of discovery: the whole list, or changes as they come."""
        conn = h11.Connection(h11.SERVER)
        try:
            head, _ = await request(conn, reader)
            while self.silent:
                await asyncio.sleep(0.05)
            if head is None:
                return
            path = head.target.decode()
            follows = "follow=1" in path
            self.registry.harness.note("list_call", who=self.who, whole=not follows)
            if follows:
                await self.follow(conn, writer, int(path.rpartition("since=")[2]))
                return
            last = self.visible()
            writer.write(whole(conn, 200, self.registry.list(last)))
            self.note_written(last)
            await writer.drain()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def follow(self, conn: h11.Connection, writer: asyncio.StreamWriter, since: int) -> None:
        """Write changes after generation `since` as they come, and an empty line where none does."""
        writer.write(conn.send(h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])))
        written_at = now()
        while True:
            last = self.visible()
            if last < since and not self.silent:
                # It knows less than who asks has heard: all that it has, as the whole of it.
                writer.write(conn.send(h11.Data(data=self.registry.list(last) + b"\n")))
                await writer.drain()
                since, written_at = last, now()
            if last > since and not self.silent:
                writer.write(conn.send(h11.Data(data=self.registry.changed(since, last) + b"\n")))
                await writer.drain()
                self.note_written(last)
                since, written_at = last, now()
            elif now() - written_at > HEARTBEAT_US and not self.silent:
                writer.write(conn.send(h11.Data(data=b"\n")))
                await writer.drain()
                written_at = now()
            await asyncio.sleep(FOLLOW_POLL_S)

    def note_written(self, generation: int) -> None:
        """Note that its dispatcher was told of all up to this generation."""
        if generation > self.written:
            self.written = generation
            self.registry.harness.note("told", who=self.who, generation=generation)


class Registry:
    """Discovery: all changes of the list by their generations, and an agent for each dispatcher."""

    def __init__(self, harness: Notes, workers: dict[str, Worker]) -> None:
        """List all workers as they are, as generation 1."""
        self.harness, self.workers, self.generation = harness, workers, 1
        # (generation, microsecond, entries); None for entries: nobody is there.
        self.changes: list[tuple[int, int, list[dict[str, Any]] | None]] = [(1, 0, [])]
        self.agents: dict[str, Agent] = {}
        self.lost = 0  # of the last changes

    async def agent(self, who: str) -> Agent:
        """Open the agent of a dispatcher."""
        self.agents[who] = await Agent(self, who).begin()
        return self.agents[who]

    def change(self, worker: str, state: str) -> None:
        """List a worker in another state."""
        self.workers[worker].state = state
        self.generation += 1
        self.changes.append((self.generation, now(), [self.workers[worker].entry()]))
        self.harness.note("listed", worker=worker, state=state, generation=self.generation)

    def held(self) -> list[tuple[int, int, list[dict[str, Any]] | None]]:
        """Return what it has not lost of the changes."""
        return self.changes[: len(self.changes) - self.lost]

    def forget(self, count: int) -> None:
        """Come back without the last changes."""
        self.lost = min(count, len(self.changes) - 1)
        for agent in self.agents.values():
            agent.written = min(agent.written, self.held()[-1][0])

    def reset(self, empty: bool) -> None:
        """Tell that there is nobody, or all that there are."""
        self.generation += 1
        entries = [] if empty else [worker.entry() for worker in self.workers.values()]
        self.changes.append((self.generation, now(), None if empty else entries))
        for name, worker in self.workers.items():
            state = "gone" if empty else worker.state
            self.harness.note("listed", worker=name, state=state, generation=self.generation)

    def as_of(self, last: int) -> dict[str, dict[str, Any]]:
        """Return the entries that changes up to generation `last` have given, by worker."""
        known = {}
        for generation, _, entries in self.changes:
            if generation <= last:
                some = entries
                if entries is None:
                    some = [{**worker.entry(), "lifecycle": "gone"} for worker in self.workers.values()]
                known.update({entry["instanceId"]: entry for entry in some})
        return known

    def list(self, last: int) -> bytes:
        """Return the whole list as of a generation, as JSON."""
        known = self.as_of(last)
        entries = [
            known.get(name, {**worker.entry(), "lifecycle": "ready"}) for name, worker in self.workers.items()
        ]
        present = [entry for entry in entries if entry["lifecycle"] != "gone"]
        return json.dumps({"generation": last, "reset": True, "instances": present}).encode()

    def changed(self, since: int, last: int) -> bytes:
        """Return what has changed after generation `since` up to `last`, as JSON."""
        if any(since < generation <= last and entries is None for generation, _, entries in self.changes):
            return self.list(last)
        entries = {}
        for generation, _, some in self.changes:
            if since < generation <= last:
                entries.update({entry["instanceId"]: entry for entry in some})
        return json.dumps({"generation": last, "reset": False, "instances": [*entries.values()]}).encode()
