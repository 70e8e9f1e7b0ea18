"""A search for the scenario on which the program does worst, in simulated time; its finds become scenarios.

Faults, load and clients are changed a little at a time, and what does more harm is kept (random restarts,
then hill climbing; McMinn, "Search-based software test data generation", 2004). Harm is what is lost after
the last fault is over, where nothing excuses it any more: first tries that come from `AFTER` on and are not
served, and each broken rule. The load is a share of what the workers that are left can do.
"""

import json
import os
from concurrent.futures import ProcessPoolExecutor

import msgspec
import numpy
import tomli_w

from mastledge.lab import faults
from mastledge.lab.judge import first_tries, judged
from mastledge.lab.scenario import Scenario, check
from mastledge.lab.simulator.simulation import Simulation

AFTER = 3.0  # seconds after the last fault
WITHIN = 2_000_000
FIRST = 0.4  # of the tries, which are drawn anew; the others change what is worst so far
CALM, LONGEST = 3.0, 6.0  # seconds before the first fault, and of one
TAIL = 9.0  # seconds that a run goes on after the last
MOST_FAULTS = 4
BREACH = 1.0  # harm of a broken rule: as much as all that is lost


def draw_step(dice, base):
    """One fault by chance, as a map."""
    at, seconds = round(CALM + 3 * dice.random(), 2), round(0.3 + (LONGEST - 0.3) * dice.random(), 2)
    worker = f"w{dice.integers(base.workers.count)}"
    who = f"n{dice.integers(base.dispatchers)}"
    fault = str(
        dice.choice(
            [
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
        )
    )
    step = {"at": at, "fault": fault}
    if fault in ("worker", "workers"):
        step |= {"fault": "worker", "kind": str(dice.choice(sorted(faults.KINDS))), "seconds": seconds}
        step["share"] = float(dice.choice([0.1, 0.5, 1.0]))
        if step["kind"] == "slow":
            step["amount"] = float(dice.choice([2.0, 4.0, 8.0]))
        several = 1 if fault == "worker" else max(2, round(base.workers.count * float(dice.random())))
        some = [f"w{n}" for n in range(several)] if several > 1 else [worker]
        return [{**step, "worker": name} for name in some]
    if fault == "restarts":
        several = max(1, round(base.workers.count * float(dice.random()) / 2))
        return [{"at": at, "fault": "restart", "worker": f"w{n}"} for n in range(several)]
    step |= {
        "kill": {"who": who, "seconds": min(2.0, seconds)},
        "stop": {"who": who, "seconds": seconds},
        "all": {"seconds": min(2.0, seconds)},
        "restart": {"worker": worker},
        "drain": {"worker": worker},
        "list_down": {"seconds": seconds},
        "list_late": {"who": who, "amount": 2.0, "seconds": seconds},
    }[fault]
    return [step]


def drawn(dice, base):
    """What is played, as genes: groups of faults, load, tries and patience of clients."""
    return {
        "steps": [draw_step(dice, base) for _ in range(int(dice.integers(1, MOST_FAULTS)))],
        "load": round(float(dice.uniform(0.5, 0.9)), 3),
        "retries": int(dice.integers(0, 15)),
        "patience": float(dice.choice([0, 0, 600, 800, 1200])),
        "seed": int(dice.integers(1, 1000)),
    }


def changed(dice, base, genes):
    """A little of it is another."""
    out = json.loads(json.dumps(genes))
    what = int(dice.integers(5))
    if what == 0 and len(out["steps"]) < MOST_FAULTS:
        out["steps"].append(draw_step(dice, base))
    elif what == 1 and len(out["steps"]) > 1:
        out["steps"].pop(int(dice.integers(len(out["steps"]))))
    elif what == 2:
        out["load"] = round(float(min(0.9, max(0.4, out["load"] + dice.normal(0, 0.05)))), 3)
    elif what == 3:
        other = drawn(dice, base)
        out["retries"], out["patience"] = other["retries"], other["patience"]
    else:
        out["steps"][int(dice.integers(len(out["steps"])))] = draw_step(dice, base)
    return out


def capacity(base, steps):
    """Jobs a second that the workers can do which are not drained at the end: a load above it is no find."""
    away = {step["worker"] for step in steps if step["fault"] == "drain"}
    run = sum(base.workers.run_ms) / 2000
    return (base.workers.count - len(away)) * base.workers.slots / run


def scenario_of(base, genes, name="found"):
    """The scenario that these genes stand for."""
    told = msgspec.to_builtins(base)
    steps = sorted((step for group in genes["steps"] for step in group), key=lambda step: step["at"])
    last = max(step["at"] + step.get("seconds", 0) for step in steps)
    rate = genes["load"] * capacity(base, steps)
    told |= {"name": name, "steps": steps, "seconds": round(last + TAIL, 1)}
    told["clients"] |= {
        "per_second": round(rate, 1),
        "retries": genes["retries"],
        "patience_ms": genes["patience"],
        "again_when_lost": True,
    }
    scenario = msgspec.convert(told, Scenario)
    check(scenario)
    return scenario


def harm(base, genes, policy=""):
    """How much is lost after all is over, and why; a run that has no end is the worst."""
    scenario = scenario_of(base, genes)
    record = Simulation(scenario, genes["seed"], policy).play()
    if not record["complete"]:
        return 1.0, f"incomplete: {record['why']}"
    broken = [f"{rule}: {lines[0]}" for rule, lines in judged(record).items() if lines]
    # A drained or restarted worker is over at once, and a kill once its process is ready again.
    steps = [step for group in genes["steps"] for step in group]
    began = next(event["at"] for event in record["events"] if event["kind"] == "began") + 250_000
    over = max(began + (step["at"] + step.get("seconds", 0)) * 1e6 for step in steps)
    since = max([over, *(spell["to"] for spell in record["spells"] if spell["to"] != float("inf"))])
    late = [(at, end) for at, end in first_tries(record) if at >= since + AFTER * 1e6]
    lost = sum(end > at + WITHIN for at, end in late) / len(late) if late else 0.0
    return lost + BREACH * len(broken), broken[0] if broken else f"{lost:.3f} of first tries lost afterwards"


def scored(fields):
    base, genes, policy = fields
    return genes, harm(base, genes, policy)


def search(base, tries, seed, jobs=1, policy="", show=None):
    """The worst that was found: [(harm, why, genes)], the worst first, no two of one fault list."""
    dice = numpy.random.Generator(numpy.random.PCG64([seed, 5]))
    found, played = [], 0
    with ProcessPoolExecutor(jobs) as pool:
        while played < tries:
            some = []
            for _ in range(min(4 * jobs, tries - played)):
                if not found or dice.random() < FIRST:
                    some.append(drawn(dice, base))
                else:
                    some.append(changed(dice, base, found[int(dice.integers(min(5, len(found))))][2]))
            # In the order they were drawn, so that one seed gives one search, however many play at once.
            for genes, (lost, why) in pool.map(scored, [(base, genes, policy) for genes in some]):
                found.append((lost, why, genes))
            played += len(some)
            found.sort(key=lambda one: (-one[0], json.dumps(one[2], sort_keys=True)))
            found = distinct(found)[:20]
            if show:
                show(f"{played} of {tries}: {found[0][0]:.3f}, {found[0][1]}")
    return found


def distinct(found):
    seen, out = set(), []
    for one in found:
        kinds = json.dumps(
            sorted((step["fault"], step.get("kind", "")) for group in one[2]["steps"] for step in group[:1])
        )
        if kinds not in seen:
            seen.add(kinds)
            out.append(one)
    return out


def write(base, found, folder, least):
    """The finds that do at least so much harm, each as a scenario with its seed and goal; their paths."""
    os.makedirs(folder, exist_ok=True)
    paths = []
    for n, (_, why, genes) in enumerate(one for one in found if one[0] >= least):
        told = msgspec.to_builtins(scenario_of(base, genes, f"found {n}"))
        told["about"] = f"Found by a search: {why} (simulated, seed {genes['seed']})."
        told["goals"] |= {"back_s": AFTER}
        told["steps"] = [
            {key: value for key, value in step.items() if value not in ("", 0, {}, 0.0)}
            for step in told["steps"]
        ]
        for step in told["steps"]:
            step.setdefault("at", 0.0)
        path = os.path.join(folder, f"found-{n}.toml")
        with open(path, "wb") as file:
            tomli_w.dump(told, file)
        paths.append(path)
    return paths
