"""`mastledge lab emulate` and `search`: scenarios in simulated time."""

import argparse
import json
import os

from mastledge.lab.commands.options import (
    SubCommands,
    add_command,
    add_file,
    add_output_folder,
    add_policy,
    add_quiet,
    add_seed,
)
from mastledge.lab.commands.output import STATUS_GOOD, bad_call, print_verdict, progress
from mastledge.lab.scenario import ScenarioError, read
from mastledge.lab.simulator.simulation import Simulation
from mastledge.lab.simulator.support import check_supported

MAX_FINDS = 5  # that are told


def emulate(args: argparse.Namespace) -> int:
    """One run in simulated time, judged as one of processes is."""
    try:
        scenario = read(args.file)
        simulation = Simulation(scenario, args.seed, args.policy, None if args.quiet else print)
    except ScenarioError as error:
        return bad_call(error)
    record = simulation.play()
    if args.out:
        os.makedirs(args.out, exist_ok=True)
        with open(os.path.join(args.out, "record.json"), "w") as file:
            json.dump(record, file)
    return print_verdict(scenario.name, args.seed, record, " (simulated)")


def search(args: argparse.Namespace) -> int:
    """Looks for the worst scenarios, and writes them down."""
    from mastledge.lab import search as searching

    try:
        base = read(args.file)
        check_supported(base)
    except ScenarioError as error:
        return bad_call(error)
    found = searching.search(base, args.tries, args.seed, args.jobs, args.policy, progress(args.quiet))
    for lost, why, genes in found[:MAX_FINDS]:
        print(f"{lost:.3f}  {why}; seed {genes['seed']}, load {genes['load']}, {len(genes['steps'])} faults")
    for path in searching.write(base, found, args.out, args.least):
        print(path)
    return STATUS_GOOD


def add_emulate(commands: SubCommands) -> None:
    """Adds `emulate`."""
    command = add_command(commands, "emulate", emulate, "play a scenario in simulated time")
    add_file(command)
    add_seed(command)
    add_policy(command)
    command.add_argument("--out", metavar="DIR", help="keep the record there")
    add_quiet(command)


def add_search(commands: SubCommands) -> None:
    """Adds `search`."""
    about = "look for the scenario on which the program does worst (simulated)"
    command = add_command(commands, "search", search, about)
    add_file(command)
    add_seed(command)
    add_policy(command)
    add_output_folder(command)
    command.add_argument("--tries", type=int, default=200)
    command.add_argument("--least", type=float, default=0.05, help="harm of what is written down")
    add_quiet(command)
