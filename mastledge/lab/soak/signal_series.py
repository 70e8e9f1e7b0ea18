"""The end of a process: the signals of a plan, and what became of the process."""

import asyncio
import os
import signal
import subprocess
from typing import TYPE_CHECKING

from mastledge.lab.harness.dispatcher import LOOK, READY_TIMEOUT_S, Dispatcher
from mastledge.lab.harness.run_delay import run_delay_us
from mastledge.lab.invariants.answers import MAX_HOLD_UP_US
from mastledge.lab.soak.plan import Ending
from mastledge.lab.wire import now

if TYPE_CHECKING:
    from mastledge.lab.soak.harness import SoakHarness

RELOAD_PAUSE_S = 0.1  # between two SIGHUP and SIGTERM, in which the configuration is read


def hold_up_us(pid: int, delay_before: int) -> int:
    """Return for how long a process was held up since its run delay was `delay_before`, within the limit."""
    return min(MAX_HOLD_UP_US, max(0, run_delay_us(pid) - delay_before))


class SignalSeries:
    """Plays the ending of a plan on dispatcher n0."""

    def __init__(self, harness: "SoakHarness", node: Dispatcher) -> None:
        """Take the dispatcher whose process ends."""
        self.harness, self.node, self.plan = harness, node, harness.plan

    async def play(self) -> None:
        """Play the signals, and return when the process that they end is gone."""
        ending = self.plan.ending
        if ending is Ending.UPGRADE:
            await self.upgrade()
        elif ending is Ending.TERM_IN_UPGRADE:
            await self.end_upgrade_early()
        elif ending is Ending.TERM_IN_START:
            await self.end(self.node.process)
            await self.end_start()
        else:
            await self.end(self.node.process)

    async def end(self, process: subprocess.Popen) -> None:
        """End a process that serves, and record whether it was gone by itself before the kill."""
        ending = self.plan.ending
        if ending is Ending.RELOAD_THEN_TERM:
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(RELOAD_PAUSE_S)
        if ending is Ending.RELOAD_AND_TERM:
            process.send_signal(signal.SIGHUP)
        self.harness.shutdown_begins(process.pid)
        process.send_signal(signal.SIGTERM)
        if ending is Ending.TERM_AND_RELOAD:
            process.send_signal(signal.SIGHUP)
        await self.wait_for_end(process, self.plan.second_signal_ms if ending is Ending.TERM_TWICE else None)

    async def wait_for_end(
        self, process: subprocess.Popen, second_signal_ms: float | None = None, may_be_starting: bool = False
    ) -> None:
        """Wait until a process is gone, and kill it at the time of the plan.

        The kill comes later by the time for which the machine has held the process up meanwhile.
        `may_be_starting`: SIGTERM may have come before the process handles signals, and ends it then.
        """
        signalled_at = now()
        kill_at = signalled_at + self.plan.kill_after_ms * 1000
        delay_before = run_delay_us(process.pid)
        while process.poll() is None and now() < kill_at + hold_up_us(process.pid, delay_before):
            if second_signal_ms is not None and now() >= signalled_at + second_signal_ms * 1000:
                process.send_signal(signal.SIGTERM)
                second_signal_ms = None
            await asyncio.sleep(LOOK)
        if process.poll() is None:
            process.kill()
            process.wait()
            self.harness.note("outlived_shutdown", who=self.node.name, pid=process.pid)
        elif process.returncode and not (may_be_starting and process.returncode == -signal.SIGTERM):
            self.harness.note("crashed", who=self.node.name, status=process.returncode)
        self.harness.note(
            "shutdown_ended",
            who=self.node.name,
            pid=process.pid,
            status=process.returncode,
            ms=(now() - signalled_at) / 1000,
        )

    async def start_beside(self) -> subprocess.Popen:
        """Start a new process beside the running one and return the running one."""
        old = self.node.process
        self.node.control = self.harness.free()
        self.harness.configure(self.node)
        self.harness.start(self.node)
        return old

    async def upgrade(self) -> None:
        """End the old process once the new one is ready."""
        old = await self.start_beside()
        await self.harness.until(
            lambda: self.harness.ready(self.node),
            READY_TIMEOUT_S,
            f"the new {self.node.name} is not ready: {self.node.last_log_line()}",
        )
        self.harness.has_successor = True
        self.harness.silence_list()
        await self.end(old)

    async def end_upgrade_early(self) -> None:
        """End the new process of an upgrade while it starts; the old one serves on and ends later."""
        old = await self.start_beside()
        new = self.node.process
        await asyncio.sleep(self.plan.second_signal_ms / 1000)
        os.kill(new.pid, signal.SIGTERM)
        await self.wait_for_end(new, may_be_starting=True)
        await asyncio.sleep(self.plan.serve_ms / 1000)
        self.node.process = old
        await self.end(old)

    async def end_start(self) -> None:
        """Start the process again and end it at a drawn time, mostly before it is ready."""
        self.harness.start(self.node)
        await asyncio.sleep(self.plan.second_signal_ms / 1000)
        self.harness.shutdown_begins(self.node.process.pid)
        self.node.process.send_signal(signal.SIGTERM)
        await self.wait_for_end(self.node.process, may_be_starting=True)
