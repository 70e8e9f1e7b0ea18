"""Faults of the links between dispatchers, by the proxies that stand on them."""

import asyncio
from typing import TYPE_CHECKING

from mastledge.lab.link_proxy import LinkProxy
from mastledge.lab.scenario import Step
from mastledge.lab.wire import now

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness


def links(harness: "ProcessHarness", step: Step, forth: bool = True, back: bool = True) -> list[LinkProxy]:
    """The proxies of who, both ways or one, to all or to one."""
    others = [step.to] if step.to else [name for name in harness.nodes if name != step.who]
    out = [harness.link_proxies[step.who, other] for other in others] if forth else []
    return out + ([harness.link_proxies[other, step.who] for other in others] if back else [])


async def heal_after(proxies: list[LinkProxy], seconds: float) -> None:
    """Let a fault of links last so many seconds."""
    await asyncio.sleep(seconds)
    for proxy in proxies:
        proxy.heal()


async def cut(harness: "ProcessHarness", step: Step) -> None:
    """Nothing passes between `who` and `to`, or all others, either way."""
    proxies = links(harness, step)
    for proxy in proxies:
        proxy.forth = proxy.back = False
    await heal_after(proxies, step.seconds)


async def cut_one_way(harness: "ProcessHarness", step: Step) -> None:
    """What `who` says gets nowhere; what it is told still comes."""
    forth, back = links(harness, step, back=False), links(harness, step, forth=False)
    for proxy in forth:
        proxy.forth = False
    for proxy in back:
        proxy.back = False
    await heal_after([*forth, *back], step.seconds)


async def delay(harness: "ProcessHarness", step: Step) -> None:
    """What passes takes `amount` milliseconds more, each way."""
    proxies = links(harness, step)
    for proxy in proxies:
        proxy.delay = step.amount / 1000
    await heal_after(proxies, step.seconds)


async def drip(harness: "ProcessHarness", step: Step) -> None:
    """`amount` bytes a second pass, each way."""
    proxies = links(harness, step)
    for proxy in proxies:
        proxy.rate = step.amount
    await heal_after(proxies, step.seconds)


async def reset(harness: "ProcessHarness", step: Step) -> None:
    """Connections are reset, ten times a second."""
    proxies = links(harness, step)
    last = now() + step.seconds * 1e6
    while now() < last:
        for proxy in proxies:
            proxy.reset()
        await asyncio.sleep(0.1)


async def half_open(harness: "ProcessHarness", step: Step) -> None:
    """Open, and what goes in never comes out; whole again only by another connection."""
    proxies = links(harness, step)
    for proxy in proxies:
        proxy.swallows = True
    await heal_after(proxies, step.seconds)


async def spoil(harness: "ProcessHarness", step: Step) -> None:
    """A byte of what `who` and the others send is changed, five times a second."""
    proxies = links(harness, step)
    last = now() + step.seconds * 1e6
    while now() < last:
        for proxy in proxies:
            proxy.spoils = 1
        await asyncio.sleep(0.2)
    for proxy in proxies:
        proxy.heal()


async def garbage(harness: "ProcessHarness", step: Step) -> None:
    """Strangers on the peers' port: nonsense, a frame too large, one byte a second, and silence."""
    where = harness.nodes[step.who].peers
    host, port = where.rsplit(":", 1)
    writers = []
    for n in range(int(step.amount) or 60):
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            continue
        writer.write([b"\x00\x00\x00\x08nonsense", b"\xff\xff\xff\xff", b"\x00", b""][n % 4])
        writers.append(writer)
    await asyncio.sleep(step.seconds or 1)
    for writer in writers:
        writer.close()
