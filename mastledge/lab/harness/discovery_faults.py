"""Faults of discovery and workers: lists late, silent, old or empty; workers drained, gone or restarted."""

import asyncio
from typing import TYPE_CHECKING

from mastledge.lab.scenario import Step
from mastledge.lab.wire import now

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness


async def delay_list(harness: "ProcessHarness", step: Step) -> None:
    """One dispatcher hears of changes `amount` seconds late."""
    harness.registry.agents[step.who].late = step.amount
    await asyncio.sleep(step.seconds)
    harness.registry.agents[step.who].late = 0.0


async def silence_list(harness: "ProcessHarness", step: Step) -> None:
    """One dispatcher hears nothing of discovery."""
    harness.registry.agents[step.who].silent = True
    await asyncio.sleep(step.seconds)
    harness.registry.agents[step.who].silent = False


async def silence_all_lists(harness: "ProcessHarness", step: Step) -> None:
    """No dispatcher hears anything of discovery."""
    for agent in harness.registry.agents.values():
        agent.silent = True
    await asyncio.sleep(step.seconds)
    for agent in harness.registry.agents.values():
        agent.silent = False


async def forget_changes(harness: "ProcessHarness", step: Step) -> None:
    """Discovery comes back without its last changes, and finds them again later."""
    harness.registry.forget(int(step.amount))
    await asyncio.sleep(step.seconds)
    harness.registry.lost = 0


async def empty_list(harness: "ProcessHarness", step: Step) -> None:
    """Discovery lists nobody, and all again later."""
    harness.registry.reset(True)
    await asyncio.sleep(step.seconds)
    harness.registry.reset(False)


async def trouble_worker(harness: "ProcessHarness", step: Step) -> None:
    """Launches at a worker meet what `kind` names (`lab/faults.py`)."""
    harness.workers[step.worker].troubles.add(now(), step)
    await asyncio.sleep(step.seconds)


async def drain_worker(harness: "ProcessHarness", step: Step) -> None:
    """Discovery lists a worker as draining."""
    harness.registry.change(step.worker, "draining")


async def list_worker_ready(harness: "ProcessHarness", step: Step) -> None:
    """Discovery lists a worker as ready."""
    harness.registry.change(step.worker, "ready")


async def remove_worker(harness: "ProcessHarness", step: Step) -> None:
    """Discovery lists a worker as gone."""
    harness.registry.change(step.worker, "gone")


async def restart_worker(harness: "ProcessHarness", step: Step) -> None:
    """A worker ends at once and comes back cold, under another address."""
    await harness.workers[step.worker].restart()
    harness.note("reborn", worker=step.worker)
    harness.registry.change(step.worker, "ready")
