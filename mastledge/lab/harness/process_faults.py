"""Faults of processes: killed, stopped, terminated, upgraded, started or added."""

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from mastledge.lab.harness.dispatcher import LOOK, RunFailedError
from mastledge.lab.scenario import Step
from mastledge.lab.wire import now

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness
UPGRADE_READY_S = 6.0  # for the new process to be ready
UPGRADE_END_S = 5.0  # for the old one to end from then on


async def kill(harness: "ProcessHarness", step: Step) -> None:
    """Killed; started again after `seconds`, where there are any, as the build that `build` names."""
    node = harness.nodes[step.who]
    harness.killed(node)
    if step.build:
        harness.scenario.builds[step.who] = "" if step.build == "none" else step.build
    if not step.seconds:
        node.process = None
        return
    await asyncio.sleep(step.seconds)
    if step.build and step.build != "none":
        harness.start(node)  # a wrong build need not become ready
    else:
        await harness.back(node)


async def kill_all(harness: "ProcessHarness", step: Step) -> None:
    """Power is lost everywhere at once, and comes back in the same moment."""
    nodes = [node for node in harness.nodes.values() if node.process is not None]
    spells = [{"who": node.name, "fault": "kill", "from": now(), "to": float("inf")} for node in nodes]
    harness.spells += spells
    for node in nodes:
        node.process.send_signal(signal.SIGKILL)
    for node in nodes:
        harness.killed(node)
    await asyncio.sleep(step.seconds)
    await asyncio.gather(*(harness.back(node) for node in nodes))
    harness.note("all_up")
    for spell in spells:
        spell["to"] = now()


async def terminate(harness: "ProcessHarness", step: Step) -> None:
    """Told to end, waited for, and started again after `seconds`."""
    node = harness.nodes[step.who]
    node.process.terminate()
    while node.process.poll() is None:
        await asyncio.sleep(LOOK)
    if node.process.returncode:
        harness.note("crashed", who=node.name, status=node.process.returncode)
    await asyncio.sleep(step.seconds)
    await harness.back(node)


async def stop(harness: "ProcessHarness", step: Step) -> None:
    """Stopped for so many seconds; it holds its connections and does nothing."""
    node = harness.nodes[step.who]
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(step.seconds)
    node.process.send_signal(signal.SIGCONT)
    harness.note("continued", who=step.who)


async def start(harness: "ProcessHarness", step: Step) -> None:
    """Ready again or not, which the fleet decides."""
    harness.start(harness.nodes[step.who])


async def add(harness: "ProcessHarness", step: Step) -> None:
    """A further dispatcher, whom the members have been told of by a call."""
    node = harness.nodes[step.who]
    harness.configure(node)
    await harness.back(node)


async def upgrade(harness: "ProcessHarness", step: Step) -> None:
    """A new process beside the old one, which is told to end once the new one is ready."""
    node = harness.nodes[step.who]
    old, was = node.process, node.control
    node.control = harness.free()
    harness.configure(node)
    harness.start(node)
    await harness.until(
        lambda: harness.ready(node),
        UPGRADE_READY_S,
        f"the new {node.name} is not ready in {UPGRADE_READY_S:.0f} s: {node.last_log_line()}",
    )
    old.terminate()
    last = time.monotonic() + UPGRADE_END_S
    while old.poll() is None:
        if time.monotonic() > last:
            raise RunFailedError(f"the old {node.name} at {was} does not end")
        await asyncio.sleep(LOOK)
    if old.returncode:
        harness.note("crashed", who=node.name, status=old.returncode)
