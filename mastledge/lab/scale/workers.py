"""Hollow workers: each answers the workers' protocol on a socket of its own; many share one process.

`python -m mastledge.lab.scale.workers FILE` prints the address of each as one JSON object, then carries out
what its standard input says, a JSON list `["restart", NAME]` a line, and ends when that does.
"""

import asyncio
import json
import sys

import numpy

from mastledge.lab.scenario import Workers
from mastledge.lab.stub_servers import Worker


class Counts:
    """What stands in for a rig: it counts what happens and keeps no record of it."""

    def __init__(self, host):
        self.host, self.counts = host, {}

    def note(self, kind, at=None, **fields):
        self.counts[kind] = self.counts.get(kind, 0) + 1


async def serve(told):
    counts = Counts(told["host"])
    random = numpy.random.Generator(numpy.random.PCG64(told["seed"]))
    how = Workers(slots=told["slots"], run_ms=tuple(told["run_ms"]), cold_ms=told["cold_ms"], drops=True)
    workers = {name: await Worker(counts, name, how, random).begin() for name in told["names"]}
    print(json.dumps({name: one.address for name, one in workers.items()}), flush=True)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        what, name = json.loads(line)
        if what == "restart":
            await workers[name].restart()
            print(json.dumps({name: workers[name].address}), flush=True)
    print(json.dumps(counts.counts), flush=True)


def main(path):
    with open(path) as file:
        told = json.load(file)
    asyncio.run(serve(told))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
