"""The window of a scale run that is measured: load, changes and restarts, and what they cost."""

import asyncio
import time
from typing import Any

from mastledge.lab.load import Clients
from mastledge.lab.scale.client_results import ClientResults
from mastledge.lab.scale.consensus_state import consensus_state
from mastledge.lab.scale.errors import ScaleRunError
from mastledge.lab.scale.figures import rounded
from mastledge.lab.scale.fleet import ScaleFleet
from mastledge.lab.scale.meter_readings import (
    MeterReading,
    longest_turn,
    seconds_between,
    share,
    traffic,
)
from mastledge.lab.scale.options import ScaleOptions
from mastledge.lab.scale.processes import DispatcherProcess
from mastledge.lab.scale.settings_changes import SettingsChanges
from mastledge.lab.scale.worker_events import WorkerEvents
from mastledge.lab.scenario import Clients as Load
from mastledge.lab.scenario import QueueType

LAST_ANSWERS_SECONDS = 30  # that clients have after the window
QUEUE_TYPES = (("read", 0.8), ("post", 0.2))  # with their shares of the jobs


class Measurement:
    """One window of `seconds`, with all that the options ask for in it."""

    def __init__(self, fleet: ScaleFleet, figures: dict[str, Any]) -> None:
        """Fills `figures` as far as it comes, so that a run that is cut off keeps what it has."""
        self.fleet, self.figures = fleet, figures
        self.options: ScaleOptions = fleet.options
        self.results = ClientResults(fleet.nodes)
        self.changes = SettingsChanges(list(fleet.nodes.values()), fleet.settings)
        load = Load(
            per_second=self.options.jobs_per_second,
            retries=0,
            queue_types=[QueueType(name=name, share=part) for name, part in QUEUE_TYPES],
        )
        self.clients = Clients(self.results, load, self.options.seed, self.options.seconds)

    async def run(self) -> None:
        """Raises ScaleRunError where clients do not end, or anything of the window fails."""
        tasks = self.start_background()
        await asyncio.sleep(self.options.settle)
        before = self.readings()
        listed_before = dict(self.fleet.discovery.counts)
        jobs = asyncio.create_task(self.clients.run(time.monotonic_ns() // 1000))
        try:
            await asyncio.sleep(self.options.seconds)
            await self.measure_dispatchers(before, self.readings())
            self.figures["list"] = self.list_rates(listed_before)
            async with asyncio.timeout(LAST_ANSWERS_SECONDS):
                await jobs
        except TimeoutError:
            raise ScaleRunError("clients did not come to an end") from None
        finally:
            for task in (*tasks, jobs):
                task.cancel()
            ended = await asyncio.gather(*tasks, jobs, return_exceptions=True)
        for error in ended:
            if isinstance(error, Exception) and not isinstance(error, asyncio.CancelledError):
                raise ScaleRunError(f"{type(error).__name__}: {error}")

    def start_background(self) -> list[asyncio.Task]:
        """What goes on beside the jobs, and before they come."""
        events = WorkerEvents(self.fleet.discovery, self.options, self.fleet.restart_worker)
        tasks = [asyncio.create_task(events.play())]
        if self.options.jobs_per_second:
            tasks.append(asyncio.create_task(self.clients.front.look()))
        if self.options.changes_per_second:
            tasks.append(asyncio.create_task(self.changes.play(self.options.changes_per_second)))
        return tasks

    def readings(self) -> dict[str, MeterReading]:
        """What the meter of each dispatcher says now."""
        return {name: node.reading() for name, node in self.fleet.nodes.items()}

    def list_rates(self, before: dict[str, int]) -> dict[str, float]:
        """Changes, watches and bytes of the list, a second."""
        counts = self.fleet.discovery.counts
        return {name: (count - before[name]) / self.options.seconds for name, count in counts.items()}

    async def measure_dispatchers(
        self, before: dict[str, MeterReading], after: dict[str, MeterReading]
    ) -> None:
        """Memory of the idle dispatcher, and the figures of each real one."""
        idle_bytes = self.fleet.idle.resident_bytes()
        self.figures["idle_mb"] = round(idle_bytes / 1e6, 2)
        self.figures["dispatchers"] = [
            await dispatcher_figures(node, before[name], after[name], idle_bytes)
            for name, node in self.fleet.nodes.items()
        ]


async def dispatcher_figures(
    node: DispatcherProcess, before: MeterReading, after: MeterReading, idle_bytes: int
) -> dict[str, Any]:
    """What one dispatcher took between two readings: processor time, memory, messages."""
    role = role_of(node.name, await consensus_state(node))
    seconds = seconds_between(before, after)
    processor_us = share(before, after)
    return {
        "name": node.name,
        "role": role,
        "cpu_percent": {purpose: round(us / 1e4, 3) for purpose, us in sorted(processor_us.items())},
        "memory_mb": round(node.resident_bytes() / 1e6, 2),
        "memory_over_idle_mb": round((node.resident_bytes() - idle_bytes) / 1e6, 2),
        "descriptors": node.descriptors(),
        "longest_turn_ms": longest_turn(before, after) / 1000,
        "sent": rounded(traffic(before.sent, after.sent, seconds)),
        "received": rounded(traffic(before.received, after.received, seconds)),
    }


def role_of(name: str, state: dict[str, Any]) -> str:
    """What a dispatcher is by what it tells of the consensus: leader, voter or follower."""
    if state.get("leads"):
        return "leader"
    return "voter" if state.get("members", {}).get(name, {}).get("votes") else "follower"
