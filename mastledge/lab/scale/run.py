"""A scale run from start to end, and the figures that it leaves."""

import asyncio
import os
import shutil
import signal
import tempfile
from collections.abc import Callable
from typing import Any

from mastledge.lab.scale.consensus_state import await_real_leader, is_in_force_everywhere
from mastledge.lab.scale.errors import ScaleRunError
from mastledge.lab.scale.fleet import READY_SECONDS, ScaleFleet
from mastledge.lab.scale.leader_replacement import replace_leader
from mastledge.lab.scale.loop_lag import LoopLag
from mastledge.lab.scale.measurement import Measurement
from mastledge.lab.scale.options import ScaleOptions
from mastledge.lab.scale.processes import HostSilentError

MEMORY_FOLDER = "/dev/shm"
FORMAT = 1


class ScaleRun:
    """One run, in a folder of its own that goes with it."""

    def __init__(self, options: ScaleOptions, show: Callable[[str], None] | None = None) -> None:
        """`options` have been checked; `show` gets a line for who looks on."""
        self.options, self.show = options, show
        self.folder = tempfile.mkdtemp(
            prefix="mastledge-scale-", dir=MEMORY_FOLDER if os.path.isdir(MEMORY_FOLDER) else None
        )
        self.fleet = ScaleFleet(options, self.folder)
        self.figures: dict[str, Any] = {}
        self.lag = LoopLag()

    async def run(self) -> dict[str, Any]:
        """The figures, marked incomplete with the reason where it failed or was cut off."""
        reason, watch = "", None
        this = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        try:
            await self.start()
            watch = asyncio.create_task(self.lag.watch())
            await self.measure()
            if self.options.kill_leader:
                await replace_leader(self.fleet, self.figures)
        except (ScaleRunError, HostSilentError) as error:
            reason = str(error)
        except (asyncio.CancelledError, KeyboardInterrupt):
            reason = "cut off"
            this.uncancel()
        finally:
            if watch is not None:
                watch.cancel()
            await self.end()
        return {
            "format": FORMAT,
            "complete": not reason,
            "why": reason,
            "options": self.options.as_dict(),
            **self.figures,
        }

    async def start(self) -> None:
        """Starts the fleet, and waits until a real dispatcher leads and all is in force."""
        self.figures["ready_s"] = round(await self.fleet.start(), 2)
        await await_real_leader(self.fleet)
        await self.fleet.until(
            lambda: is_in_force_everywhere(self.fleet), READY_SECONDS, "nothing comes into force"
        )
        if self.show is not None:
            self.show(
                f"{len(self.fleet.dispatchers)} dispatchers, {len(self.fleet.nodes)} of them real, and "
                f"{self.options.workers} workers are ready"
            )

    async def measure(self) -> None:
        """Measures one window, and sums up what came of it."""
        measurement = Measurement(self.fleet, self.figures)
        await measurement.run()
        results = measurement.results
        self.figures.update(measurement.changes.figures())
        self.figures["jobs"] = results.figures()
        self.figures["faults"] = sum(node.faults() for node in self.fleet.nodes.values())
        self.figures["late_ms"] = {
            "jobs": round(results.late * 1000, 1),
            "rig": round(self.lag.longest_seconds * 1000, 1),
        }

    async def end(self) -> None:
        """Ends all processes, and removes the folder."""
        await self.fleet.end()
        shutil.rmtree(self.folder, ignore_errors=True)
