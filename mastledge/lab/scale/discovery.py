"""The stub discovery of a scale run: the whole list, and watches on it."""

import asyncio
from contextlib import suppress

import h11
import orjson

from mastledge.lab.wire import request, whole

HEARTBEAT_SECONDS = 2.0  # between two empty lines of a watch while nothing changes
READY, DRAINING, GONE = "ready", "draining", "gone"


class ScaleDiscovery:
    """Holds the list, and serves it to any number of dispatchers at one address."""

    def __init__(self, addresses: dict[str, str], zones: int) -> None:
        """Lists these workers as ready, in the zones by turns."""
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
        self.generation = 1
        self.changes: list[tuple[int, list[dict]]] = []  # entries by the generation that they came with
        self.changed = asyncio.Event()
        self.counts = {"changes": 0, "restarts": 0, "watches": 0, "bytes": 0}
        self.server: asyncio.Server | None = None
        self.address = ""

    async def begin(self, host: str) -> "ScaleDiscovery":
        """Listens at a port of that host; itself."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def end(self) -> None:
        """Accepts no more."""
        if self.server is not None:
            self.server.close()

    def any_ready_worker(self) -> str:
        """The id of a worker that is ready, as it is listed now."""
        return next(entry["instanceId"] for entry in self.instances.values() if entry["lifecycle"] == READY)

    def change(self, entries: list[dict]) -> None:
        """One change of the list, with all these entries."""
        self.generation += 1
        self.counts["changes"] += 1
        self.changes.append((self.generation, [dict(entry) for entry in entries]))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def whole_list(self) -> bytes:
        """All workers that are there, as one object."""
        there = [entry for entry in self.instances.values() if entry["lifecycle"] != GONE]
        return self.encoded(True, there)

    def changes_since(self, generation: int) -> bytes:
        """What has changed after a generation, as one object."""
        entries = {}
        for changed_in, changed in reversed(self.changes):
            if changed_in <= generation:
                break
            for entry in changed:
                entries.setdefault(entry["instanceId"], entry)
        return self.encoded(False, list(entries.values()))

    def encoded(self, reset: bool, entries: list[dict]) -> bytes:
        """One line of a watch, or the list."""
        return orjson.dumps({"generation": self.generation, "reset": reset, "instances": entries})

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection: a call of the list, or a watch on it."""
        connection = h11.Connection(h11.SERVER)
        try:
            head, _ = await request(connection, reader)
            if head is None:
                return
            path = head.target.decode()
            if "follow=1" in path:
                await self.watch(connection, writer, int(path.rpartition("since=")[2]))
                return
            await self.write(writer, whole(connection, 200, self.whole_list()))
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def watch(self, connection: h11.Connection, writer: asyncio.StreamWriter, known: int) -> None:
        """Writes each change after the `known` generation, until the connection ends."""
        self.counts["watches"] += 1
        head = h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])
        await self.write(writer, connection.send(head))
        while True:
            changed, line = self.changed, b""
            if known < self.generation:
                line, known = self.changes_since(known), self.generation
            await self.write(writer, connection.send(h11.Data(data=line + b"\n")))
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), HEARTBEAT_SECONDS)

    async def write(self, writer: asyncio.StreamWriter, raw: bytes) -> None:
        """Writes bytes, and counts them."""
        self.counts["bytes"] += len(raw)
        writer.write(raw)
        await writer.drain()
