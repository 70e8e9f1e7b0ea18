"""A search for the scenario on which the program does worst, in simulated time; its finds become scenarios.

Faults, load and clients are changed a little at a time, and what does more harm is kept (random restarts,
then hill climbing; McMinn, "Search-based software test data generation", 2004). Harm is what is lost after
the last fault is over, where nothing excuses it any more: first tries that come from `RECOVERY_S` after it
on and are not served, and each broken rule. The load is a share of what the workers that are left can do.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple, TypedDict

import msgspec
import numpy
import tomli_w
from numpy.random import Generator

from mastledge.lab import faults
from mastledge.lab.invariant_checker import judged
from mastledge.lab.invariants.record_queries import first_tries
from mastledge.lab.scenario import Scenario, check
from mastledge.lab.simulator.simulation import Simulation

RECOVERY_S = 3.0  # after the last fault; what is lost later counts
WITHIN_US = 2_000_000  # in which a first try counts as served
LOAD_DELAY_US = 250_000  # from the event "began" to the first job
RANDOM_SHARE = 0.4  # of the tries, which are drawn anew; the others change what is worst so far
CALM_S, FIRST_FAULT_SPREAD_S = 3.0, 3.0  # faults begin after the calm, within the spread
MIN_FAULT_S, MAX_FAULT_S, MAX_DOWN_S = 0.3, 6.0, 2.0
TAIL_S = 9.0  # that a run goes on after the last fault
MAX_FAULT_GROUPS = 4
MIN_LOAD, MIN_DRAWN_LOAD, MAX_LOAD, LOAD_STEP = 0.4, 0.5, 0.9, 0.05  # shares of the capacity
MAX_RETRIES, MAX_SEED = 14, 999
BREACH_HARM = 1.0  # of a broken rule: as much as all that is lost
MAX_FINDS, PARENTS = 20, 5  # finds that are remembered; how many of the worst are changed further
BATCH_PER_JOB = 4

DRAWN_FAULTS = [
    "kill",
    "stop",
    "all",
    "worker",
    "workers",
    "restart",
    "drain",
    "list_down",
    "list_late",
    "restarts",
]


class Genes(TypedDict):
    """What is played: groups of steps (maps as in a scenario's file), load, retries and patience of clients
    (milliseconds, 0: endless), seed of the run.
    """

    steps: list[list[dict]]
    load: float
    retries: int
    patience: float
    seed: int


class Find(NamedTuple):
    """How much harm these genes do, and the worst of it in words."""

    harm: float
    reason: str
    genes: Genes


def draw_step(random: Generator, base: Scenario) -> list[dict]:
    """One fault by chance, as a group of steps."""
    at = round(CALM_S + FIRST_FAULT_SPREAD_S * random.random(), 2)
    seconds = round(MIN_FAULT_S + (MAX_FAULT_S - MIN_FAULT_S) * random.random(), 2)
    worker = f"w{random.integers(base.workers.count)}"
    who = f"n{random.integers(base.dispatchers)}"
    fault = str(random.choice(DRAWN_FAULTS))
    if fault == "worker":
        step = _draw_trouble(random, at, seconds)
        return [{**step, "worker": worker}]
    if fault == "workers":
        step = _draw_trouble(random, at, seconds)
        count = max(2, round(base.workers.count * float(random.random())))
        return [{**step, "worker": f"w{n}"} for n in range(count)]
    if fault == "restarts":
        count = max(1, round(base.workers.count * float(random.random()) / 2))
        return [{"at": at, "fault": "restart", "worker": f"w{n}"} for n in range(count)]
    fields = {
        "kill": {"who": who, "seconds": min(MAX_DOWN_S, seconds)},
        "stop": {"who": who, "seconds": seconds},
        "all": {"seconds": min(MAX_DOWN_S, seconds)},
        "restart": {"worker": worker},
        "drain": {"worker": worker},
        "list_down": {"seconds": seconds},
        "list_late": {"who": who, "amount": 2.0, "seconds": seconds},
    }
    return [{"at": at, "fault": fault, **fields[fault]}]


def _draw_trouble(random: Generator, at: float, seconds: float) -> dict:
    """A step of the fault `worker`, without its worker."""
    kind = str(random.choice(sorted(faults.KINDS)))
    step = {"at": at, "fault": "worker", "kind": kind, "seconds": seconds}
    step["share"] = float(random.choice([0.1, 0.5, 1.0]))
    if kind == "slow":
        step["amount"] = float(random.choice([2.0, 4.0, 8.0]))
    return step


def draw_genes(random: Generator, base: Scenario) -> Genes:
    """All of it by chance."""
    return {
        "steps": [draw_step(random, base) for _ in range(int(random.integers(1, MAX_FAULT_GROUPS)))],
        "load": round(float(random.uniform(MIN_DRAWN_LOAD, MAX_LOAD)), 3),
        "retries": int(random.integers(0, MAX_RETRIES + 1)),
        "patience": float(random.choice([0, 0, 600, 800, 1200])),
        "seed": int(random.integers(1, MAX_SEED + 1)),
    }


def change_genes(random: Generator, base: Scenario, genes: Genes) -> Genes:
    """A copy of which a little is another."""
    changed = json.loads(json.dumps(genes))
    steps = changed["steps"]
    kind = int(random.integers(5))
    if kind == 0 and len(steps) < MAX_FAULT_GROUPS:
        steps.append(draw_step(random, base))
    elif kind == 1 and len(steps) > 1:
        steps.pop(int(random.integers(len(steps))))
    elif kind == 2:
        load = min(MAX_LOAD, max(MIN_LOAD, changed["load"] + random.normal(0, LOAD_STEP)))
        changed["load"] = round(float(load), 3)
    elif kind == 3:
        other = draw_genes(random, base)
        changed["retries"], changed["patience"] = other["retries"], other["patience"]
    else:
        step_group = draw_step(random, base)
        steps[int(random.integers(len(steps)))] = step_group
    return changed


def capacity(base: Scenario, steps: list[dict]) -> float:
    """Jobs a second that the workers can do which are not drained at the end: a load above it is no find."""
    drained = {step["worker"] for step in steps if step["fault"] == "drain"}
    mean_run_s = sum(base.workers.run_ms) / 2000
    return (base.workers.count - len(drained)) * base.workers.slots / mean_run_s


def _end_of(step: dict) -> float:
    """Second of the run at which the fault of a step is over."""
    return step["at"] + step.get("seconds", 0)


def scenario_of(base: Scenario, genes: Genes, name: str = "found") -> Scenario:
    """The scenario that these genes stand for."""
    document = msgspec.to_builtins(base)
    steps = sorted((step for group in genes["steps"] for step in group), key=lambda step: step["at"])
    last = max(_end_of(step) for step in steps)
    per_second = genes["load"] * capacity(base, steps)
    document |= {"name": name, "steps": steps, "seconds": round(last + TAIL_S, 1)}
    document["clients"] |= {
        "per_second": round(per_second, 1),
        "retries": genes["retries"],
        "patience_ms": genes["patience"],
        "again_when_lost": True,
    }
    scenario = msgspec.convert(document, Scenario)
    check(scenario)
    return scenario


def harm(base: Scenario, genes: Genes, policy: str = "") -> tuple[float, str]:
    """How much is lost after all is over, and why; a run that has no end is the worst."""
    scenario = scenario_of(base, genes)
    record = Simulation(scenario, genes["seed"], policy).play()
    if not record["complete"]:
        return 1.0, f"incomplete: {record['why']}"
    broken = [f"{rule}: {lines[0]}" for rule, lines in judged(record).items() if lines]
    since = _last_fault_end(record, genes) + RECOVERY_S * 1e6
    late = [(at, end) for at, end in first_tries(record) if at >= since]
    lost = sum(end > at + WITHIN_US for at, end in late) / len(late) if late else 0.0
    reason = broken[0] if broken else f"{lost:.3f} of first tries lost afterwards"
    return lost + BREACH_HARM * len(broken), reason


def _last_fault_end(record: dict, genes: Genes) -> float:
    """Microseconds of the record at which all faults are over.

    A drained or restarted worker is over at once, and a kill once its process is ready again.
    """
    began = next(event["at"] for event in record["events"] if event["kind"] == "began") + LOAD_DELAY_US
    planned = max(began + _end_of(step) * 1e6 for group in genes["steps"] for step in group)
    spells = [spell["to"] for spell in record["spells"] if spell["to"] != float("inf")]
    return max([planned, *spells])


def _try(fields: tuple[Scenario, Genes, str]) -> Find:
    base, genes, policy = fields
    return Find(*harm(base, genes, policy), genes)


def search(  # noqa: PLR0913 - the options of the command, in its order
    base: Scenario,
    tries: int,
    seed: int,
    jobs: int = 1,
    policy: str = "",
    show: Callable[[str], None] | None = None,
) -> list[Find]:
    """The worst that was found, the worst first, no two of one list of faults; `show` gets a line a batch."""
    random = numpy.random.Generator(numpy.random.PCG64([seed, 5]))
    found, played = [], 0
    with ProcessPoolExecutor(jobs) as pool:
        while played < tries:
            batch = [
                _next_genes(random, base, found) for _ in range(min(BATCH_PER_JOB * jobs, tries - played))
            ]
            # In the order they were drawn, so that one seed gives one search, however many play at once.
            found += pool.map(_try, [(base, genes, policy) for genes in batch])
            played += len(batch)
            found.sort(key=lambda find: (-find.harm, json.dumps(find.genes, sort_keys=True)))
            found = _distinct(found)[:MAX_FINDS]
            if show:
                show(f"{played} of {tries}: {found[0].harm:.3f}, {found[0].reason}")
    return found


def _next_genes(random: Generator, base: Scenario, found: list[Find]) -> Genes:
    if not found or random.random() < RANDOM_SHARE:
        return draw_genes(random, base)
    parent = found[int(random.integers(min(PARENTS, len(found))))]
    return change_genes(random, base, parent.genes)


def _distinct(found: list[Find]) -> list[Find]:
    """The first of each list of faults."""
    by_faults: dict[str, Find] = {}
    for find in found:
        heads = [step for group in find.genes["steps"] for step in group[:1]]
        kinds = json.dumps(sorted((step["fault"], step.get("kind", "")) for step in heads))
        by_faults.setdefault(kinds, find)
    return list(by_faults.values())


def write(base: Scenario, found: list[Find], folder: str, least: float) -> list[str]:
    """The finds that do at least so much harm, each as a scenario with its seed and goal; their paths."""
    os.makedirs(folder, exist_ok=True)
    paths = []
    for n, find in enumerate(find for find in found if find.harm >= least):
        path = os.path.join(folder, f"found-{n}.toml")
        with open(path, "wb") as file:
            tomli_w.dump(_find_document(base, find, f"found {n}"), file)
        paths.append(path)
    return paths


def _find_document(base: Scenario, find: Find, name: str) -> dict:
    """A find as the file of a scenario has it; what a step leaves at its default is left out."""
    document = msgspec.to_builtins(scenario_of(base, find.genes, name))
    document["about"] = f"Found by a search: {find.reason} (simulated, seed {find.genes['seed']})."
    document["goals"] |= {"back_s": RECOVERY_S}
    document["steps"] = [
        {key: value for key, value in step.items() if value not in ("", 0, {}, 0.0)}
        for step in document["steps"]
    ]
    for step in document["steps"]:
        step.setdefault("at", 0.0)
    return document
