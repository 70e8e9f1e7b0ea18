"""Outages drawn from a seed: most dispatchers killed at once and back at once, with more that goes wrong;
and how long it takes until the service is what it was.
"""

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import numpy

from mastledge.lab.harness.dispatcher import RunFailedError
from mastledge.lab.harness.settling import settle
from mastledge.lab.harness.storage_faults import erase
from mastledge.lab.invariants.record_queries import Record
from mastledge.lab.load import Clients as OpenLoopClients
from mastledge.lab.scenario import Clients, QueueType, Scenario, Workers
from mastledge.lab.wire import now

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness

SHARE = 0.7  # of the dispatchers that die in one second, and come back in the same
SPAN = 500_000  # in which the service is looked at, in microseconds
REST = 2.5  # seconds between one outage and the next


def drawn(random: numpy.random.Generator, nodes: Iterable[str], workers: Iterable[str]) -> dict[str, Any]:
    """Draw one outage: who dies and when, for how long, and what befalls the others meanwhile."""
    names = sorted(nodes)
    count = max(1, round(SHARE * len(names)))
    dead = [str(name) for name in random.choice(names, count, replace=False)]
    left = [name for name in names if name not in dead]
    return {
        "dead": dead,
        "at": [float(at) for at in random.random(count)],
        "down": float(random.random()),
        "cold": str(random.choice(sorted(workers))) if random.random() < 0.5 else "",
        "cut": str(random.choice(left)) if left and random.random() < 0.3 else "",
        "wiped": dead[0] if random.random() < 0.3 else "",
    }


def times(record: Record) -> list[list[float | None]]:
    """For each outage the seconds from the last process being up until 95% and 99% of the first tries that
    come in half a second are served; None where that is not before the next outage.
    """
    sent = [e for e in record["events"] if e["kind"] == "sent" and not e["attempt"]]
    good = {e["job"] for e in record["events"] if e["kind"] == "answer" and e["status"] == 200}
    ups = [e["at"] for e in record["events"] if e["kind"] == "all_up"]
    began = [e["at"] for e in record["events"] if e["kind"] == "outage"]
    at = numpy.array([e["at"] for e in sent])
    served = numpy.array([e["job"] in good for e in sent])
    out = []
    for up, until in zip(ups, [*began[1:], float("inf")], strict=True):
        row = []
        for share in (0.95, 0.99):
            found = None
            for n in range(numpy.searchsorted(at, up), len(at)):
                if at[n] + SPAN > min(until, at[-1]):
                    break
                some = served[n : numpy.searchsorted(at, at[n] + SPAN)]
                if some.mean() >= share:
                    found = float(at[n] - up) / 1e6
                    break
            row.append(found)
        out.append(row)
    return out


def scenario(count: int, dispatchers: int, per_second: float, copies: int, open_ms: float = 0) -> Scenario:
    """Return the scenario in which outages are measured, with so many copies of keys (0: none kept)."""
    repeats = {"keep_ms": 60_000, "copies": copies, "entries": 50_000, "bytes": 1 << 26} if copies else {}
    return Scenario(
        name="outages",
        seconds=600,
        dispatchers=dispatchers,
        repeats=repeats,
        recovery={"open_ms": open_ms} if open_ms else {},
        workers=Workers(count=6, slots=6, run_ms=(100, 400), cold_ms=3000, drops=bool(open_ms)),
        clients=Clients(
            per_second=per_second,
            retries=10,
            again_when_lost=True,
            again_after=0.2,
            queue_types=[
                QueueType(name="read", share=0.6, target_ms=1000, walltime_ms=3000),
                QueueType(name="post", effect="side_effect", share=0.4, target_ms=1000, walltime_ms=3000),
            ],
        ),
    )


async def befall(harness: "ProcessHarness", one: dict[str, Any], n: int) -> None:
    """Carry one outage out on processes; its end is when all that died are up and the cut is whole."""
    harness.note("outage", n=n, **{"drawn": one})

    async def die(name, at):
        await asyncio.sleep(at)
        node = harness.nodes[name]
        spell = {"who": name, "fault": "kill", "from": now(), "to": float("inf")}
        harness.spells.append(spell)
        harness.killed(node)
        if name == one["wiped"]:
            erase(harness, node)
        await asyncio.sleep(one["down"])
        await harness.back(node)
        spell["to"] = now()

    proxies = []
    if one["cut"]:
        proxies = [proxy for pair, proxy in harness.link_proxies.items() if one["cut"] in pair]
        for proxy in proxies:
            proxy.forth = proxy.back = False
    if one["cold"]:
        await harness.workers[one["cold"]].restart()
        harness.note("reborn", worker=one["cold"])
        harness.registry.change(one["cold"], "ready")

    async def heal():
        await asyncio.sleep(1.0)
        for proxy in proxies:
            proxy.heal()

    await asyncio.gather(heal(), *(die(name, at) for name, at in zip(one["dead"], one["at"], strict=True)))
    harness.note("all_up", n=n)


async def play(harness: "ProcessHarness", count: int) -> None:
    """Play so many outages under load; each begins once the copies of the one before are whole."""
    clients = OpenLoopClients(harness, harness.scenario.clients, harness.seed, harness.scenario.seconds)
    look = asyncio.create_task(clients.front.look())
    await asyncio.sleep(0.3)
    load = asyncio.create_task(clients.run(now()))
    try:
        await asyncio.sleep(REST)
        for n in range(count):
            await befall(harness, drawn(harness.random, harness.nodes, harness.workers), n)
            await asyncio.sleep(REST)
            if harness.scenario.repeats:
                await harness.until_whole(f"outage {n}")
    finally:
        clients.over = True
        try:
            async with asyncio.timeout(30):
                await load
        except TimeoutError:
            raise RunFailedError("clients did not come to an end") from None
        finally:
            look.cancel()
    await settle(harness)


def spread(rows: list[list[float | None]]) -> dict[str, Any]:
    """Return percentiles of the times, and how many did not come back before the next outage."""
    out = {}
    for n, share in enumerate(("95", "99")):
        some = [row[n] for row in rows if row[n] is not None]
        out[f"s_to_{share}"] = {f"p{p}": round(float(numpy.percentile(some, p)), 2) for p in (50, 90, 99)}
        out[f"s_to_{share}"]["most"] = round(max(some), 2)
        out[f"not_to_{share}"] = len(rows) - len(some)
    return out
