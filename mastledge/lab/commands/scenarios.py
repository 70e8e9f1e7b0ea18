"""`mastledge lab run`, `check`, `judge` and `names`: one scenario or record, and what there is."""

import argparse
import asyncio
import json

from mastledge.lab import experiment as experiments
from mastledge.lab.build_variants import BUILDS
from mastledge.lab.commands.options import SubCommands, add_command, add_file, add_quiet, add_seed
from mastledge.lab.commands.output import (
    STATUS_BROKEN,
    STATUS_GOOD,
    bad_call,
    print_verdict,
    progress,
)
from mastledge.lab.invariant_checker import judged
from mastledge.lab.process_harness import ProcessHarness
from mastledge.lab.scenario import Scenario, ScenarioError, known, read
from mastledge.lab.scenario import check as check_scenario

MAX_LINES_PER_RULE = 10


def set_builds(scenario: Scenario, choices: list[str]) -> None:
    """Takes other builds of dispatchers, each as WHO=BUILD, into the scenario."""
    for choice in choices:
        who, _, build = choice.partition("=")
        names = [f"n{number}" for number in range(scenario.dispatchers)] if who == "all" else [who]
        scenario.builds.update(dict.fromkeys(names, build))


def run(args: argparse.Namespace) -> int:
    """Plays a scenario with processes, and judges it."""
    try:
        scenario = read(args.file)
        set_builds(scenario, args.build)
        check_scenario(scenario)
        rig = ProcessHarness(scenario, args.seed, args.out, progress(args.quiet))
    except ScenarioError as error:
        return bad_call(error)
    return print_verdict(scenario.name, args.seed, asyncio.run(rig.run()))


def check(args: argparse.Namespace) -> int:
    """Reads a scenario, and says whether it is good."""
    try:
        scenario = read(args.file)
    except ScenarioError as error:
        return bad_call(error)
    print(f"{scenario.name}: good; {len(scenario.steps)} steps in {scenario.seconds:g} s")
    return STATUS_GOOD


def judge(args: argparse.Namespace) -> int:
    """Judges a record again."""
    with open(args.file) as file:
        breaches = judged(json.load(file))
    for rule, lines in breaches.items():
        print(f"{rule}: {len(lines)}")
        for line in lines[:MAX_LINES_PER_RULE]:
            print(f"  {line}")
    return STATUS_BROKEN if any(breaches.values()) else STATUS_GOOD


def names(args: argparse.Namespace) -> int:
    """Names the scenarios and experiments of the package."""
    print("\n".join(known()))
    print("experiments: " + ", ".join(experiments.known()))
    return STATUS_GOOD


def add_run(commands: SubCommands) -> None:
    """Adds `run`."""
    command = add_command(commands, "run", run, "run a scenario: a file, or a name of `lab names`")
    add_file(command)
    add_seed(command)
    command.add_argument("--out", metavar="DIR", help="keep configurations, logs and the record there")
    command.add_argument(
        "--build",
        action="append",
        default=[],
        metavar="WHO=BUILD",
        help="another build for one dispatcher, or all: FILE.py:NAME (a function that changes the "
        "program) or " + ", ".join(sorted(BUILDS)),
    )
    add_quiet(command)


def add_check(commands: SubCommands) -> None:
    """Adds `check`."""
    add_file(add_command(commands, "check", check, "read a scenario and say whether it is good"))


def add_judge(commands: SubCommands) -> None:
    """Adds `judge`."""
    add_file(add_command(commands, "judge", judge, "judge a record again"))


def add_names(commands: SubCommands) -> None:
    """Adds `names`."""
    about = "name the scenarios and experiments that come with the package"
    add_command(commands, "names", names, about)
