"""Stand-ins: workers with slots, a cold start and a ledger of effects; and the discovery that lists them."""

import asyncio
import json
import time

import h11

from mastledge.lab.faults import Troubles
from mastledge.lab.wire import now, request, whole


class Worker:
    """Takes jobs by the protocol of the platform's pages, runs some at once, and writes down each effect."""

    def __init__(self, harness, name, told, random):
        self.harness, self.name, self.told, self.random = harness, name, told, random
        self.state, self.born, self.address, self.server, self.tasks = "ready", 0, None, None, set()
        self.free = asyncio.Semaphore(told.slots)
        self.troubles = Troubles()

    async def begin(self):
        self.server = await asyncio.start_server(self.serve, self.harness.host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def warmth(self):
        cold = self.told.cold_ms * 1000
        if not self.born or not cold:
            return 1.0
        return min(1.0, self.told.cold_from + (1 - self.told.cold_from) * (now() - self.born) / cold)

    async def serve(self, reader, writer):
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
                if was_deaf and self.told.drops:
                    await asyncio.sleep(0.02)
                    if reader.at_eof():
                        return  # it was sent long ago, and given up since
                at = now()
                await self.run(conn, reader, writer, head, at)
                if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                    return
                conn.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            # Cancelled: the run is over, or this worker has died.
            return
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def run(self, conn, reader, writer, head, at):
        fields = dict(head.headers)
        job = fields.get(b"x-txn", b"").decode()
        key = fields.get(b"idempotency-key", b"").decode()
        kind = head.target.decode()[1:]
        low, high = self.told.run_ms
        work = int((low + (high - low) * self.random.random()) * 1000)
        self.harness.note("launch", at=at, worker=self.name, job=job, key=key, type=kind, work=work)

        trouble = self.troubles.now(at, self.random.random)
        if trouble == "error":
            writer.write(whole(conn, 500, b""))
            await writer.drain()
            return
        if trouble == "silent":
            await reader.read()  # until its dispatcher gives up
            raise ConnectionError("silent")

        def line(**told):
            writer.write(
                conn.send(h11.Data(data=json.dumps({"id": job, "from": self.name, **told}).encode() + b"\n"))
            )

        writer.write(conn.send(h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])))
        if trouble == "malformed":
            writer.write(conn.send(h11.Data(data=b"{not a line\n")) + conn.send(h11.EndOfMessage()))
            await writer.drain()
            return
        slow = self.troubles.slow(at)
        async with self.free:
            if self.told.drops and reader.at_eof():
                self.harness.note("dropped", worker=self.name, job=job)
                return
            if trouble != "lost":
                line(state="started")
            await asyncio.sleep(work * slow / self.warmth() / 1e6)
            # From here on it has happened, whoever hears of it.
            self.harness.note("effect", worker=self.name, job=job, key=key, type=kind)
            if trouble == "lost":
                raise ConnectionError("its answer is lost")
            line(state="done", result=f"{self.name} {job}")
            writer.write(conn.send(h11.EndOfMessage()))
            await writer.drain()

    def entry(self):
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

    async def restart(self):
        """Ends at once with all it had, and comes back cold under another address."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.free, self.troubles = asyncio.Semaphore(self.told.slots), Troubles()
        await self.begin()
        self.born = now()


class Agent:
    """What one dispatcher hears of discovery, on an address of its own: it may be late, silent or down."""

    def __init__(self, registry, who):
        self.registry, self.who, self.late, self.silent, self.server = registry, who, 0.0, False, None
        self.told = 0  # the generation that has been written here
        self.shown, self.changed = (1, now(), []), asyncio.Event()

    async def begin(self):
        self.server = await asyncio.start_server(self.serve, self.registry.harness.host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def visible(self):
        """The newest change that has reached this agent."""
        seen = 0
        for generation, at, _ in self.registry.held():
            if not self.silent and now() >= at + self.late * 1e6 or generation <= self.told:
                seen = generation
        return max(seen, self.told)

    async def serve(self, reader, writer):
        conn, registry = h11.Connection(h11.SERVER), self.registry
        try:
            head, _ = await request(conn, reader)
            while self.silent:
                await asyncio.sleep(0.05)
            if head is None:
                return
            path = head.target.decode()
            self.registry.harness.note("list_call", who=self.who, whole="follow=1" not in path)
            if "follow=1" not in path:
                last = self.visible()
                writer.write(whole(conn, 200, registry.list(last)))
                self.heard(last)
                await writer.drain()
                return
            since = int(path.rpartition("since=")[2])
            writer.write(conn.send(h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])))
            spoke = now()
            while True:
                last = self.visible()
                if last < since and not self.silent:
                    # It knows less than who asks has heard: all that it has, as the whole of it.
                    writer.write(conn.send(h11.Data(data=registry.list(last) + b"\n")))
                    await writer.drain()
                    since, spoke = last, now()
                if last > since and not self.silent:
                    writer.write(conn.send(h11.Data(data=registry.changed(since, last) + b"\n")))
                    await writer.drain()
                    self.heard(last)
                    since, spoke = last, now()
                elif now() - spoke > 2_000_000 and not self.silent:
                    writer.write(conn.send(h11.Data(data=b"\n")))
                    await writer.drain()
                    spoke = now()
                await asyncio.sleep(0.01)
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    def heard(self, generation):
        if generation > self.told:
            self.told = generation
            self.registry.harness.note("told", who=self.who, generation=generation)


class Registry:
    def __init__(self, harness, workers):
        self.harness, self.workers, self.generation = harness, workers, 1
        self.changes, self.agents, self.lost = [(1, 0, [])], {}, 0

    async def agent(self, who):
        self.agents[who] = await Agent(self, who).begin()
        return self.agents[who]

    def change(self, worker, state):
        self.workers[worker].state = state
        self.generation += 1
        self.changes.append((self.generation, now(), [self.workers[worker].entry()]))
        self.harness.note("listed", worker=worker, state=state, generation=self.generation)

    def held(self):
        """What it has not lost of the changes."""
        return self.changes[: len(self.changes) - self.lost]

    def forget(self, count):
        """It comes back without its last changes."""
        self.lost = min(count, len(self.changes) - 1)
        for agent in self.agents.values():
            agent.told = min(agent.told, self.held()[-1][0])

    def reset(self, empty):
        """It tells that there is nobody, or all that there are."""
        self.generation += 1
        entries = [] if empty else [worker.entry() for worker in self.workers.values()]
        self.changes.append((self.generation, now(), None if empty else entries))
        for name, worker in self.workers.items():
            state = "gone" if empty else worker.state
            self.harness.note("listed", worker=name, state=state, generation=self.generation)

    def as_of(self, last):
        known = {}
        for generation, _, entries in self.changes:
            if generation <= last:
                some = entries
                if entries is None:
                    some = [{**worker.entry(), "lifecycle": "gone"} for worker in self.workers.values()]
                known.update({entry["instanceId"]: entry for entry in some})
        return known

    def list(self, last):
        known = self.as_of(last)
        entries = [
            known.get(name, {**worker.entry(), "lifecycle": "ready"}) for name, worker in self.workers.items()
        ]
        return json.dumps(
            {
                "generation": last,
                "reset": True,
                "instances": [one for one in entries if one["lifecycle"] != "gone"],
            }
        ).encode()

    def changed(self, since, last):
        if any(since < generation <= last and entries is None for generation, _, entries in self.changes):
            return self.list(last)
        entries = {}
        for generation, _, some in self.changes:
            if since < generation <= last:
                entries.update({entry["instanceId"]: entry for entry in some})
        return json.dumps({"generation": last, "reset": False, "instances": list(entries.values())}).encode()
