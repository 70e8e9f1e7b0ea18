"""`mastledge lab suite`: each scenario of the package over seeds, longer than what CI plays."""

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from mastledge.lab.commands.options import SubCommands, add_command, add_quiet, add_seed
from mastledge.lab.commands.output import STATUS_BROKEN, STATUS_GOOD
from mastledge.lab.scenario import known

MAX_LINES = 3  # that are told of a run that was not good


@dataclass(frozen=True, slots=True)
class SuiteResult:
    """What one run came to: its status, and the lines that say what was wrong."""

    name: str
    seed: int
    status: int
    lines: list[str]

    def text(self) -> str:
        """What is told of it."""
        outcome = self.lines[:MAX_LINES] if self.status else "good"
        return f"{self.name}, seed {self.seed}: {outcome}"


def play(run: tuple[str, int]) -> SuiteResult:
    """One scenario with one seed, in a process of its own."""
    name, seed = run
    call = [sys.executable, "-B", "-m", "mastledge", "lab", "run", name, "--seed", str(seed), "--quiet"]
    done = subprocess.run(call, capture_output=True, text=True)
    lines = [line for line in done.stdout.splitlines() if line.startswith(("broken", "incomplete"))]
    return SuiteResult(name, seed, done.returncode, lines or done.stderr.splitlines()[-1:])


def suite(args: argparse.Namespace) -> int:
    """Plays all, some at once, and tells of each as it ends."""
    wanted = [name for name in known() if not args.only or args.only in name]
    runs = [(name, seed) for name in wanted for seed in range(args.seed, args.seed + args.seeds)]
    bad = 0
    with ThreadPoolExecutor(args.jobs) as pool:
        for number, result in enumerate(pool.map(play, runs), 1):
            bad += result.status != 0
            if result.status or not args.quiet:
                print(f"{number} of {len(runs)}: {result.text()}", flush=True)
    print(f"{len(runs) - bad} of {len(runs)} runs without a breach")
    return STATUS_BROKEN if bad else STATUS_GOOD


def add_suite(commands: SubCommands) -> None:
    """Adds `suite`."""
    about = "run all scenarios of the package over seeds, with processes"
    command = add_command(commands, "suite", suite, about)
    command.add_argument("--seeds", type=int, default=3, help="so many, from --seed on")
    command.add_argument("--only", metavar="WORD", default="", help="of whose name it is a part")
    command.add_argument("--jobs", type=int, default=2, help="runs at once")
    add_seed(command)
    add_quiet(command)
