"""Lightweight workers: each answers the workers' protocol on a socket of its own; many share one process.

`python -m mastledge.lab.scale.lightweight_workers FILE` prints the address of each as one JSON object,
then carries out what its standard input says, a JSON list `["restart", NAME]` a line, and ends with it.
"""

import asyncio
import json
import sys
from collections import Counter

import msgspec
import numpy

from mastledge.lab.scale.host_plans import WorkerHostPlan
from mastledge.lab.scenario import Workers
from mastledge.lab.stands import Worker

RESTART = "restart"


class EventCounts:
    """What a worker needs of a rig: it counts events by their kind and keeps no record of them."""

    def __init__(self, host: str) -> None:
        """`host` is the address that the workers listen at."""
        self.host = host
        self.counts: Counter[str] = Counter()

    def note(self, kind: str, at: int | None = None, **fields) -> None:
        """One more event of the kind."""
        self.counts[kind] += 1


async def serve(plan: WorkerHostPlan) -> None:
    """Starts the workers, and restarts those that standard input names, until its end."""
    events = EventCounts(plan.host)
    random = numpy.random.Generator(numpy.random.PCG64(plan.seed))
    configuration = Workers(slots=plan.slots, run_ms=plan.run_ms, cold_ms=plan.cold_ms, drops=True)
    workers = {name: await Worker(events, name, configuration, random).begin() for name in plan.names}
    say({name: worker.address for name, worker in workers.items()})
    commands = await standard_input()
    while line := await commands.readline():
        command, name = json.loads(line)
        if command == RESTART:
            await workers[name].restart()
            say({name: workers[name].address})
    say(events.counts)


def say(message: dict[str, str] | dict[str, int]) -> None:
    """One line on standard output, at once."""
    print(json.dumps(message), flush=True)


async def standard_input() -> asyncio.StreamReader:
    """Standard input, to be read beside the workers."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


def main(path: str) -> int:
    """Hosts the workers of the plan in that file; the process's status."""
    with open(path, "rb") as file:
        plan = msgspec.json.decode(file.read(), type=WorkerHostPlan)
    asyncio.run(serve(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
