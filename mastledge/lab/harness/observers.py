"""What looks on while a run goes: how late the harness itself is, and a line a second for who watches."""

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness

LAG_INTERVAL_S = 0.01
PROGRESS_INTERVAL_S = 1.0


async def measure_lag(harness: "ProcessHarness") -> None:
    """Measure how late this very process runs: what it says of milliseconds is no better than that."""
    while True:
        at = time.monotonic()
        await asyncio.sleep(LAG_INTERVAL_S)
        harness.lag = max(harness.lag, time.monotonic() - at - LAG_INTERVAL_S)


async def show_progress(harness: "ProcessHarness") -> None:
    """Say each second what was served and which version is in force."""
    count = 0
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        new_events, count = harness.events[count:], len(harness.events)
        answers = [event["status"] for event in new_events if event["kind"] == "answer"]
        lost = sum(event["kind"] == "lost" for event in new_events)
        states = [(name, *await harness.agreed(node)) for name, node in harness.nodes.items() if node.process]
        versions = ", ".join(version_line(*state) for state in states)
        harness.say(
            f"served {answers.count(200):4d}, rejected {answers.count(503):3d}, "
            f"killed {answers.count(500):3d}, lost {lost}; version in force at {versions}"
        )


def version_line(name: str, status: int, agreed: dict) -> str:
    """Return what one dispatcher tells of the version in force, its lease and its role."""
    if status != 200:
        return f"{name} gone"
    lease = "" if agreed["lease_left_ms"] else " (no lease)"
    role = " leads" if agreed["leads"] else ""
    return f"{name} {agreed['version']}{lease}{role}"
