"""What the real dispatchers of a scale run tell of the consensus: who leads, and what is in force."""

import asyncio
from typing import Any

import orjson

from mastledge.lab.scale.fleet import CALL_SECONDS, READY_SECONDS, ScaleFleet
from mastledge.lab.scale.processes import DispatcherProcess
from mastledge.lab.wire import call

TRANSFER_SECONDS = 1.0  # in which a transfer of the leadership shows


async def consensus_state(node: DispatcherProcess) -> dict[str, Any]:
    """What one dispatcher tells; {} where it does not answer."""
    status, _, text = await call(node.control, "GET", "/api/agreed", seconds=CALL_SECONDS)
    return orjson.loads(text) if status == 200 else {}


async def leader_name(fleet: ScaleFleet) -> str:
    """The leader that all real dispatchers name, "" where they differ or know none."""
    running = [node for node in fleet.nodes.values() if node.process.poll() is None]
    names = {(await consensus_state(node)).get("leader", "") for node in running}
    return names.pop() if len(names) == 1 else ""


async def await_real_leader(fleet: ScaleFleet) -> None:
    """Lightweight dispatchers transfer the leadership until a real one has it.

    Raises ScaleRunError where none has in time.
    """

    async def real_one_leads() -> bool:
        name = await leader_name(fleet)
        if name and name not in fleet.nodes:
            for host in fleet.lightweight_hosts:
                host.say(f"leave {fleet.dispatchers[0].name}")
            await asyncio.sleep(TRANSFER_SECONDS)
        return name in fleet.nodes

    await fleet.until(real_one_leads, READY_SECONDS, "no real dispatcher leads")


async def is_in_force_everywhere(fleet: ScaleFleet) -> bool:
    """Whether the leader, or the first dispatcher where none is known, says that all changes are in force."""
    asked = await leader_name(fleet) or next(iter(fleet.nodes))
    return bool((await consensus_state(fleet.nodes[asked])).get("in_force"))


async def is_at_rest(fleet: ScaleFleet) -> bool:
    """Whether all know one leader, and all changes are in force."""
    return bool(await leader_name(fleet)) and await is_in_force_everywhere(fleet)
