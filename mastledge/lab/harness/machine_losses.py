"""Machines lost with their disks, and outages of most dispatchers, as the seed draws them."""

import asyncio
from typing import TYPE_CHECKING

from mastledge.lab import outages
from mastledge.lab.harness.storage_faults import erase
from mastledge.lab.scenario import Step
from mastledge.lab.wire import now

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness
MAX_PAUSE_S = 0.4  # between the copies being whole and the next loss


async def lose_machines(harness: "ProcessHarness", step: Step) -> None:
    """Machines lost with their disks, one after the other, each once the copies are whole again.

    Whom and when is drawn from the seed.
    """
    names = list(harness.nodes)
    for n in range(int(step.amount)):
        await harness.until_whole(f"{n} losses")
        await asyncio.sleep(MAX_PAUSE_S * harness.random.random())
        node = harness.nodes[names[int(harness.random.integers(len(names)))]]
        spell = {"who": node.name, "fault": "wipe", "from": now(), "to": float("inf")}
        harness.spells.append(spell)
        harness.killed(node)
        erase(harness, node)
        await harness.back(node)
        spell["to"] = now()
        harness.note("machine_lost", who=node.name)


async def outages_in_turn(harness: "ProcessHarness", step: Step) -> None:
    """Most dispatchers killed at once, again and again, with more that goes wrong beside it."""
    for n in range(int(step.amount)):
        await outages.befall(harness, outages.drawn(harness.random, harness.nodes, harness.workers), n)
        await asyncio.sleep(step.seconds)
        if harness.scenario.repeats:
            await harness.until_whole(f"outage {n}")
