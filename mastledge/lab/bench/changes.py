"""How long a change of the fleet takes: without a fault, and after the death of the leader."""

import asyncio
import time
from typing import Any

from mastledge.lab.bench.measured_rig import Figures, MeasuredRig, measured
from mastledge.lab.bench.percentiles import spread
from mastledge.lab.process_harness import LOOK
from mastledge.lab.scenario import Clients, Scenario
from mastledge.lab.wire import call

DISPATCHERS = 5
KILLS_SECONDS = 600  # of the scenario in which leaders are killed
AGREED_STATUSES = (200, 202)


async def change_worker(rig: MeasuredRig, dispatcher: str, number: int) -> tuple[int, dict[bytes, bytes]]:
    """Calls one change at one dispatcher, by turns excluding and including a worker: status, headers."""
    operation = ("exclude", "include")[number % 2]
    status, headers, _ = await call(rig.nodes[dispatcher].control, "POST", f"/api/{operation}/w0")
    return status, headers


def change_times(count: int, seed: int) -> Figures:
    """From a call to in force at all of five processes, without a fault."""

    async def measure(rig: MeasuredRig) -> Figures:
        times_ms, statuses = [], []
        for number in range(count):
            began = time.monotonic()
            status, _ = await change_worker(rig, f"n{number % DISPATCHERS}", number)
            times_ms.append((time.monotonic() - began) * 1000)
            statuses.append(status)
        return {"ms": spread(times_ms), "in_force_at_once": statuses.count(200)}

    scenario = Scenario(name="calls", dispatchers=DISPATCHERS, clients=Clients(per_second=0))
    return measured(MeasuredRig(scenario, seed, measure))


async def consensus_states(rig: MeasuredRig) -> dict[str, tuple[int, Any]]:
    """What each dispatcher tells of the consensus: its status and its state."""
    return {name: await rig.agreed(node) for name, node in rig.nodes.items()}


def leader_at_rest(states: dict[str, tuple[int, Any]]) -> str | None:
    """The leader's name, None where there is none, or a dispatcher has no lease or not all is in force."""
    leader = next(
        (name for name, (status, state) in states.items() if status == 200 and state["leads"]), None
    )
    calm = all(
        status == 200 and state["lease_left_ms"] and state["in_force"] for status, state in states.values()
    )
    return leader if calm else None


async def change_after_kill(rig: MeasuredRig, leader: str, number: int) -> tuple[float, int]:
    """Kills the leader and asks another dispatcher for a change until it is agreed.

    The milliseconds until then, and those after which the change is in force at the latest.
    """
    other = next(name for name in rig.nodes if name != leader)
    rig.killed(rig.nodes[leader])
    began = time.monotonic()
    while True:
        status, headers = await change_worker(rig, other, number)
        if status in AGREED_STATUSES:
            break
    return (time.monotonic() - began) * 1000, int(headers.get(b"in-force-in-ms", b"0"))


def changes_after_kills(count: int, seed: int) -> Figures:
    """From the death of the leader to the next change agreed, asked for at another one again and again."""

    async def measure(rig: MeasuredRig) -> Figures:
        times_ms, in_force_later_ms = [], []
        while len(times_ms) < count:
            leader = leader_at_rest(await consensus_states(rig))
            if leader is None:
                await asyncio.sleep(LOOK)
                continue
            agreed_ms, in_force_ms = await change_after_kill(rig, leader, len(times_ms))
            times_ms.append(agreed_ms)
            in_force_later_ms.append(in_force_ms)
            await rig.back(rig.nodes[leader])
        return {"ms": spread(times_ms), "in_force_later_ms": spread(in_force_later_ms)}

    clients = Clients(per_second=0)
    scenario = Scenario(name="kills", dispatchers=DISPATCHERS, seconds=KILLS_SECONDS, clients=clients)
    return measured(MeasuredRig(scenario, seed, measure))
