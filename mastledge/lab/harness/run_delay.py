"""For how long the machine kept a process from running although it was ready to run.

STANDING.md allows that a dispatcher is held up for up to 0.15 s between reading its clock and writing. The
kernel counts the time that a thread has waited for a processor (`/proc/PID/schedstat`, sched-stats.rst).
"""

import asyncio
import contextlib
import os
import subprocess
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness

SAMPLE_INTERVAL_S = 0.02
MIN_RECORDED_US = 1000
SCHEDSTAT_BYTES = 100


def run_delay_us(pid: int) -> int:
    """Return for how long the main thread of a process has waited for a processor; 0 if it is unknown."""
    try:
        with open(f"/proc/{pid}/schedstat", "rb") as file:
            return parse_run_delay_us(file.read())
    except OSError:
        return 0


def parse_run_delay_us(schedstat: bytes) -> int:
    """Return the run delay, which is the second figure, in nanoseconds."""
    return int(schedstat.split()[1]) // 1000


class RunDelayMeter:
    """Measures the run delay of one process between two looks."""

    def __init__(self, process: subprocess.Popen) -> None:
        """Begin with the run delay that the process has by now."""
        self._descriptor = os.open(f"/proc/{process.pid}/schedstat", os.O_RDONLY | os.O_CLOEXEC)
        self._total_us = 0
        self.since_last_us()

    def since_last_us(self) -> int:
        """Return the run delay since the last call; 0 once the process has ended."""
        try:
            total_us = parse_run_delay_us(os.pread(self._descriptor, SCHEDSTAT_BYTES, 0))
        except OSError:
            return 0
        since_last_us, self._total_us = total_us - self._total_us, total_us
        return since_last_us

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


async def record_run_delays(harness: "ProcessHarness") -> None:
    """Record the run delay of each process of a dispatcher, until cancelled."""
    meters: list[tuple[str, RunDelayMeter]] = []
    seen = 0
    try:
        while True:
            for who, process in harness.started[seen:]:
                with contextlib.suppress(OSError):  # it has ended already
                    meters.append((who, RunDelayMeter(process)))
            seen = len(harness.started)
            for who, meter in meters:
                delay_us = meter.since_last_us()
                if delay_us >= MIN_RECORDED_US:
                    harness.note("run_delay", who=who, us=delay_us)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
    finally:
        for _, meter in meters:
            meter.close()
