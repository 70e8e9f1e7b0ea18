"""`mastledge lab bench`: carries out one measurement and prints its figures."""

import argparse
import json
from collections.abc import Callable

import msgspec

from mastledge.lab.bench.changes import change_times, changes_after_kills
from mastledge.lab.bench.fleet_sizes import fleet_sizes
from mastledge.lab.bench.key_retention import compare_key_storage, compare_replica_counts
from mastledge.lab.bench.many_keys import measure_many_keys
from mastledge.lab.bench.measured_rig import Figures
from mastledge.lab.bench.outage_recovery import OutagePlan, outage_recovery
from mastledge.lab.bench.processor_time import compare_processor_time
from mastledge.lab.commands.options import SubCommands
from mastledge.lab.sized_fleets import measure_size

VOTERS = 7  # of a fleet with relays


def outages(args: argparse.Namespace) -> Figures:
    """The measurement `outages`."""
    plan = OutagePlan(args.count or 100, args.dispatchers, args.per_second, args.copies, args.open_ms)
    return outage_recovery(plan, args.seed)


def sizes(args: argparse.Namespace) -> list[Figures]:
    """The measurement `sizes`: one size with relays, or all without."""
    if args.fan_out:
        return [measure_size(VOTERS, args.dispatchers, args.fan_out, args.seed)]
    return fleet_sizes(args.seed, args.plot)


MEASUREMENTS: dict[str, Callable[[argparse.Namespace], Figures | list[Figures]]] = {
    "calls": lambda args: change_times(args.count or 300, args.seed),
    "kills": lambda args: changes_after_kills(args.count or 50, args.seed),
    "cpu": lambda args: compare_processor_time(
        args.count or 5, args.per_second, args.seconds, args.seed, args.earlier
    ),
    "keys": lambda args: compare_key_storage(
        args.count or 3, args.per_second, args.seconds, args.seed, args.disk
    ),
    "copies": lambda args: compare_replica_counts(
        args.count or 3, args.per_second, args.seconds, args.seed, args.disk
    ),
    "hoard": lambda args: measure_many_keys(args.count or 100_000, args.seed),
    "outages": outages,
    "sizes": sizes,
}


def run(args: argparse.Namespace) -> int:
    """Prints a JSON object a line, and writes all of them to `--json`; status 0."""
    figures = MEASUREMENTS[args.what](args)
    if args.json:
        with open(args.json, "wb") as file:
            file.write(msgspec.json.encode(figures))
    for row in figures if isinstance(figures, list) else [figures]:
        print(json.dumps(row))
    return 0


def add(commands: SubCommands) -> None:
    """Adds the sub-command with its options."""
    command = commands.add_parser("bench", help="measure: calls, kills, cpu (processes), sizes (simulated)")
    command.add_argument("what", choices=tuple(MEASUREMENTS))
    command.add_argument("--disk", metavar="DIR", help="where keys and copies are kept (default: $TMPDIR)")
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--count", type=int, help="calls, kills or pairs")
    command.add_argument("--per-second", type=float, default=300)
    command.add_argument("--dispatchers", type=int, default=5, help="outages; sizes with --fan-out")
    command.add_argument("--fan-out", type=int, default=0, help="sizes: of relays, for --dispatchers")
    command.add_argument("--copies", type=int, default=3, help="outages: of each key; 0 keeps none")
    command.add_argument("--open-ms", type=int, default=0, help="outages: starts by steps; 0: without")
    command.add_argument("--seconds", type=float, default=10)
    command.add_argument(
        "--earlier", metavar="DIR", help="cpu: a folder with an earlier version of the program"
    )
    command.add_argument("--json", metavar="FILE")
    command.add_argument("--plot", metavar="FILE")
    command.set_defaults(call=run)
