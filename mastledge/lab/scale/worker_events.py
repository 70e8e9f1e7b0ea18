"""What happens to the workers of a scale run: restarts at a rate, a rack and a zone that go and come back."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from mastledge.lab.scale.discovery import DRAINING, GONE, READY, ScaleDiscovery
from mastledge.lab.scale.options import ScaleOptions

DRAIN_SECONDS = 0.5  # from draining to gone
DOWN_SECONDS = 0.5  # from gone to the next start
RACKS = 40
RACK_DOWN_SECONDS, ZONE_DOWN_SECONDS = 3.0, 5.0
RESTARTS_PER_REPLACEMENT = 10  # one of so many restarts comes back under another id


class WorkerEvents:
    """Changes the list of discovery as the workers restart, go and come back."""

    def __init__(
        self,
        discovery: ScaleDiscovery,
        options: ScaleOptions,
        restart: Callable[[str], Awaitable[str]],
    ) -> None:
        """`restart` restarts the named worker, and gives its next address."""
        self.discovery, self.options, self.restart = discovery, options, restart
        self.names = list(discovery.instances)
        self.next_index = 0  # of the worker that restarts next
        self.busy: set[str] = set()  # workers that something happens to already

    async def play(self) -> None:
        """All that the options ask for, until it is cancelled."""
        tasks = [asyncio.create_task(self.restarts())]
        rack, zone = self.names[::RACKS], self.names[:: self.options.zones]
        for begins_at, names, down_seconds in (
            (self.options.rack_at, rack, RACK_DOWN_SECONDS),
            (self.options.zone_at, zone, ZONE_DOWN_SECONDS),
        ):
            if begins_at >= 0:
                tasks.append(asyncio.create_task(self.outage(begins_at, names, down_seconds)))
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def restarts(self) -> None:
        """One worker after the other, at the rate of the options."""
        rate, began, count, tasks = self.options.restarts_per_second, time.monotonic(), 0, set()
        if not rate:
            return
        try:
            while True:
                count += 1
                await asyncio.sleep(max(0, began + count / rate - time.monotonic()))
                name = self.names[self.next_index % len(self.names)]
                self.next_index += 1
                is_replaced = count % RESTARTS_PER_REPLACEMENT == 0
                task = asyncio.create_task(self.restart_worker(name, is_replaced))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:
                task.cancel()

    async def restart_worker(self, name: str, is_replaced: bool) -> None:
        """Drains, goes, and starts anew, under another id if it is replaced: three changes of the list."""
        if name in self.busy:
            return
        self.busy.add(name)
        entry = self.discovery.instances[name]
        self.set_lifecycle([entry], DRAINING)
        await asyncio.sleep(DRAIN_SECONDS)
        self.set_lifecycle([entry], GONE)
        entry["hostPort"] = await self.restart(name)
        await asyncio.sleep(DOWN_SECONDS)
        if is_replaced:
            entry["instanceId"] = f"{name}-{self.discovery.generation}"
        self.start([entry])
        self.discovery.counts["restarts"] += 1
        self.busy.discard(name)

    async def outage(self, begins_at: float, names: list[str], down_seconds: float) -> None:
        """Many go at once, and start at once."""
        await asyncio.sleep(begins_at)
        entries = [self.discovery.instances[name] for name in names if name not in self.busy]
        self.busy.update(names)
        self.set_lifecycle(entries, GONE)
        await asyncio.sleep(down_seconds)
        self.start(entries)
        self.busy.difference_update(names)

    def set_lifecycle(self, entries: list[dict], lifecycle: str) -> None:
        """One change of the list, in which all these take the lifecycle."""
        for entry in entries:
            entry["lifecycle"] = lifecycle
        self.discovery.change(entries)

    def start(self, entries: list[dict]) -> None:
        """They are ready, as of now."""
        for entry in entries:
            entry["startedAtMs"] = int(time.time() * 1000)
        self.set_lifecycle(entries, READY)
