"""`mastledge lab soak`: the end of a process over many seeds, with what goes wrong drawn from each."""

import argparse
import asyncio
import multiprocessing
import os
import shutil
import tempfile
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial

from mastledge.lab.commands.options import SubCommands, add_command, add_quiet
from mastledge.lab.commands.output import STATUS_BROKEN, STATUS_GOOD
from mastledge.lab.invariant_checker import RULES, judged
from mastledge.lab.invariants.record_queries import SLACK, Record, of
from mastledge.lab.soak.harness import SoakHarness
from mastledge.lab.soak.plan import SoakPlan, draw_plan

MAX_LINES = 3  # of what a seed broke
DEFAULT_JOBS = 3
DEFAULT_RECORDS = os.path.join("found", "soak")


@dataclass(frozen=True, slots=True)
class SeedResult:
    """What one seed came to; `answers` counts by status, and requests without an answer by kind."""

    plan: SoakPlan
    incomplete: str
    breaches: dict[str, list[str]]
    answers: Counter
    shutdown_ms: list[float] = field(default_factory=list)
    record: str = ""

    @property
    def is_good(self) -> bool:
        """Return whether the run was complete and broke no rule."""
        return not self.incomplete and not any(self.breaches.values())

    def lines(self) -> Iterator[str]:
        """Return the line of this seed, and what it broke."""
        answers = ", ".join(f"{kind} {count}" for kind, count in sorted(self.answers.items()) if count)
        ended = ", ".join(f"{ms:.0f}" for ms in self.shutdown_ms)
        verdict = "good" if self.is_good else "BROKEN"
        yield f"seed {self.plan.seed}: {verdict}: {self.plan.describe()}; {answers}; ended in {ended} ms"
        if self.incomplete:
            yield f"  incomplete: {self.incomplete}"
        for rule, lines in self.breaches.items():
            yield from (f"  broken: {rule}: {line}" for line in lines[:MAX_LINES])
        if self.record:
            yield f"  record: {self.record}"


def answers_of(record: Record) -> Counter:
    """Return how many requests got each status, and how many got none, by the reason."""
    answers = Counter(str(event["status"]) for event in of(record, "answer"))
    answers.update(event["kind"] for event in of(record, "lost", "left"))
    answers.update(f"crossed {event['why']}" for event in of(record, "crossed"))
    answers["over 50 ms late"] = late_answer_count(record)
    return answers


def late_answer_count(record: Record) -> int:
    """Return how many answers came later than the protocol allows without a hold-up by the machine."""
    due = {event["job"]: event["at"] + event["walltime"] for event in of(record, "sent")}
    return sum(event["at"] > due[event["job"]] + SLACK for event in of(record, "answer"))


def play_seed(seed: int, records: str, build: str = "") -> SeedResult:
    """Play one seed; keep its record below the folder `records` if it broke a rule."""
    plan = draw_plan(seed)
    folder = tempfile.mkdtemp(prefix=f"mastledge-soak-{seed}-")
    record = asyncio.run(SoakHarness(plan, folder, build).run())
    result = SeedResult(
        plan=plan,
        incomplete="" if record["complete"] else record["why"],
        breaches=judged(record),
        answers=answers_of(record),
        shutdown_ms=[event["ms"] for event in of(record, "shutdown_ended")],
    )
    if result.is_good:
        shutil.rmtree(folder, ignore_errors=True)
        return result
    kept = os.path.join(records, f"seed-{seed}")
    shutil.rmtree(kept, ignore_errors=True)
    shutil.copytree(folder, kept)
    shutil.rmtree(folder, ignore_errors=True)
    return SeedResult(plan, result.incomplete, result.breaches, result.answers, result.shutdown_ms, kept)


def play_seeds(seeds: Iterable[int], jobs: int, records: str, build: str = "") -> Iterator[SeedResult]:
    """Play seeds, some at once, each process for one seed at a time; yield the results in their order."""
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(partial(play_seed, records=records, build=build), seeds)


def summary(results: list[SeedResult]) -> Iterator[str]:
    """Return the lines of the summary: endings, crowds, answers, and the breaches of each rule."""
    endings = Counter(result.plan.ending.value for result in results)
    answers: Counter = Counter()
    for result in results:
        answers.update(result.answers)
    crowds = sum(result.plan.crowd > 0 for result in results)
    yield "endings: " + ", ".join(f"{ending} {count}" for ending, count in sorted(endings.items()))
    yield f"crowds: {crowds}"
    yield "requests: " + ", ".join(f"{kind} {count}" for kind, count in sorted(answers.items()))
    for rule in RULES:
        broken = sum(len(result.breaches[rule.__name__]) for result in results)
        yield f"{rule.__name__}: {broken}"
    good = sum(result.is_good for result in results)
    yield f"{good} of {len(results)} seeds without a breach"


def soak(args: argparse.Namespace) -> int:
    """Play the seeds, tell of each, and play those that broke a rule once more."""
    seeds = range(args.first_seed, args.first_seed + args.seeds)
    results = []
    for result in play_seeds(seeds, args.jobs, args.out, args.build):
        results.append(result)
        if not result.is_good or not args.quiet:
            print("\n".join(result.lines()), flush=True)
    broken = [result.plan.seed for result in results if not result.is_good]
    for result in play_seeds(broken, args.jobs, os.path.join(args.out, "again"), args.build):
        print("again, " + "\n".join(result.lines()), flush=True)
    print("\n".join(summary(results)))
    return STATUS_BROKEN if broken else STATUS_GOOD


def add_soak(commands: SubCommands) -> None:
    """Add `soak`."""
    about = "end processes over and over, with what goes wrong drawn from each seed"
    command = add_command(commands, "soak", soak, about)
    command.add_argument("--seeds", type=int, default=10, help="how many")
    command.add_argument("--first-seed", type=int, default=1)
    command.add_argument("--jobs", type=int, default=DEFAULT_JOBS, help="runs at once")
    command.add_argument("--out", metavar="DIR", default=DEFAULT_RECORDS, help="records of broken seeds")
    command.add_argument(
        "--build", metavar="FILE.py:NAME", default="", help="another build of all dispatchers"
    )
    add_quiet(command)
