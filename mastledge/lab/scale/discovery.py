"""The stand-in discovery of a scale run: the whole list, watches on it, and what befalls the workers."""

import asyncio
import time

import h11
import orjson

from mastledge.lab.wire import request, whole

HEARTBEAT = 2.0  # seconds between two empty lines of a watch while nothing changes
DRAIN = 0.5  # seconds from draining to gone
DOWN = 0.5  # seconds from gone to the next start
RACKS = 40
RACK_DOWN, ZONE_DOWN = 3.0, 5.0  # seconds
REPLACED = 10  # one of so many restarts comes back under another id
READY, DRAINING, GONE = "ready", "draining", "gone"


class ScaleDiscovery:
    """Holds the list, and serves it to any number of dispatchers at one address."""

    def __init__(self, addresses, zones):
        self.instances = {
            name: {
                "instanceId": name,
                "hostPort": address,
                "zone": f"zone-{number % zones}",
                "machineType": "m",
                "cell": number % zones,
                "lifecycle": READY,
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for number, (name, address) in enumerate(addresses.items())
        }
        self.generation, self.changes, self.changed = 1, [], asyncio.Event()
        self.counts = {"changes": 0, "restarts": 0, "watches": 0, "bytes": 0}
        self.server = self.address = None

    async def begin(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def end(self):
        if self.server is not None:
            self.server.close()

    def a_ready_one(self):
        """The id of a worker that is ready, as it is listed now."""
        return next(one["instanceId"] for one in self.instances.values() if one["lifecycle"] == READY)

    def change(self, entries):
        """One change of the list, with all these entries."""
        self.generation += 1
        self.counts["changes"] += 1
        self.changes.append((self.generation, [dict(entry) for entry in entries]))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def whole_list(self):
        there = [one for one in self.instances.values() if one["lifecycle"] != GONE]
        return self.encoded(True, there)

    def since(self, generation):
        """What has changed after a generation, as one object."""
        entries = {}
        for at, some in reversed(self.changes):
            if at <= generation:
                break
            for entry in some:
                entries.setdefault(entry["instanceId"], entry)
        return self.encoded(False, list(entries.values()))

    def encoded(self, reset, entries):
        return orjson.dumps({"generation": self.generation, "reset": reset, "instances": entries})

    async def serve(self, reader, writer):
        conn = h11.Connection(h11.SERVER)
        try:
            head, _ = await request(conn, reader)
            if head is None:
                return
            path = head.target.decode()
            if "follow=1" in path:
                await self.watch(conn, writer, int(path.rpartition("since=")[2]))
                return
            await self.write(writer, whole(conn, 200, self.whole_list()))
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def watch(self, conn, writer, known):
        self.counts["watches"] += 1
        head = h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])
        await self.write(writer, conn.send(head))
        while True:
            changed, line = self.changed, b""
            if known < self.generation:
                line, known = self.since(known), self.generation
            await self.write(writer, conn.send(h11.Data(data=line + b"\n")))
            try:
                await asyncio.wait_for(changed.wait(), HEARTBEAT)
            except TimeoutError:
                pass

    async def write(self, writer, raw):
        self.counts["bytes"] += len(raw)
        writer.write(raw)
        await writer.drain()


class Events:
    """What befalls the workers: restarts at a rate, a rack and a zone that go and come back.

    `restart` is a coroutine function that gives a worker's next address.
    """

    def __init__(self, discovery, options, restart):
        self.discovery, self.options, self.restart = discovery, options, restart
        self.names, self.next, self.busy = list(discovery.instances), 0, set()

    async def play(self):
        """Until it is cancelled."""
        tasks = [asyncio.create_task(self.restarts())]
        for at, some, down in (
            (self.options.rack_at, self.names[::RACKS], RACK_DOWN),
            (self.options.zone_at, self.names[:: self.options.zones], ZONE_DOWN),
        ):
            if at >= 0:
                tasks.append(asyncio.create_task(self.outage(at, some, down)))
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def restarts(self):
        rate, began, count, tasks = self.options.restarts_per_second, time.monotonic(), 0, set()
        if not rate:
            return
        try:
            while True:
                count += 1
                await asyncio.sleep(max(0, began + count / rate - time.monotonic()))
                name = self.names[self.next % len(self.names)]
                self.next += 1
                task = asyncio.create_task(self.one(name, count % REPLACED == 0))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:
                task.cancel()

    async def one(self, name, replaced):
        """Drains, goes, and starts anew: three changes of the list."""
        if name in self.busy:
            return
        self.busy.add(name)
        entry = self.discovery.instances[name]
        self.becomes([entry], DRAINING)
        await asyncio.sleep(DRAIN)
        self.becomes([entry], GONE)
        entry["hostPort"] = await self.restart(name)
        await asyncio.sleep(DOWN)
        if replaced:
            entry["instanceId"] = f"{name}-{self.discovery.generation}"
        self.starts([entry])
        self.discovery.counts["restarts"] += 1
        self.busy.discard(name)

    async def outage(self, at, names, down):
        """Many go at once, and start at once."""
        await asyncio.sleep(at)
        entries = [self.discovery.instances[name] for name in names if name not in self.busy]
        self.busy.update(names)
        self.becomes(entries, GONE)
        await asyncio.sleep(down)
        self.starts(entries)
        self.busy.difference_update(names)

    def becomes(self, entries, state):
        for entry in entries:
            entry["lifecycle"] = state
        self.discovery.change(entries)

    def starts(self, entries):
        for entry in entries:
            entry["startedAtMs"] = int(time.time() * 1000)
        self.becomes(entries, READY)
