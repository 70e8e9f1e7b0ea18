"""For how long the machine kept a process from running although it was ready to run.

STANDING.md allows that a dispatcher is held up for up to 0.15 s between reading its clock and writing. The
kernel counts the time that a thread has waited for a processor (`/proc/PID/schedstat`, sched-stats.rst).
"""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastledge.lab.soak.harness import SoakHarness

SAMPLE_INTERVAL_S = 0.02
MIN_RECORDED_US = 1000


def run_delay_us(pid: int) -> int:
    """Return for how long the main thread of a process has waited for a processor; 0 if it is unknown."""
    try:
        with open(f"/proc/{pid}/schedstat") as file:
            return int(file.read().split()[1]) // 1000
    except (OSError, IndexError, ValueError):
        return 0


async def record_run_delays(harness: "SoakHarness") -> None:
    """Record the run delay of each process of a dispatcher, until cancelled."""
    known: dict[int, int] = {}
    while True:
        for who, pid in harness.started_processes():
            delay = run_delay_us(pid)
            since_last = delay - known.get(pid, delay)
            known[pid] = max(delay, known.get(pid, 0))
            if since_last >= MIN_RECORDED_US:
                harness.note("run_delay", who=who, us=since_last)
        await asyncio.sleep(SAMPLE_INTERVAL_S)
