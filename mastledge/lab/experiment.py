"""Experiments: variants over the same seeds, in pairs, and what counts as a difference.

An experiment is TOML; each run is one line of `runs.jsonl` in its folder, so that one that was cut off goes
on where it ended. docs/laboratory.md.
"""

import asyncio
import hashlib
import json
import os
import sys
import tomllib
from concurrent.futures import ProcessPoolExecutor, as_completed

import msgspec
import numpy

from mastledge.lab import figures
from mastledge.lab.builds import BUILDS
from mastledge.lab.judge import judged
from mastledge.lab.policies import POLICIES
from mastledge.lab.rig import Rig
from mastledge.lab.scenario import BadScenario, Scenario, Strict, find
from mastledge.lab.scenario import check as check_scenario
from mastledge.lab.simulator.simulation import Simulation
from mastledge.lab.simulator.support import check_supported

HERE = os.path.join(os.path.dirname(__file__), "experiments")
RESAMPLES = 10_000
LEAST_SEEDS = 4  # below which nothing is called a difference
MOST_RUNS = 2_000


class Variant(Strict):
    """`set`: keys of the scenario by their path, `clients.per_second` say. `policy`: a baseline of
    lab/policies, "" for the program's own. `program`: a folder with another version of it (processes).
    """

    name: str
    how: str = ""
    set: dict = {}
    policy: str = ""
    program: str = ""


class Sweep(Strict):
    key: str
    values: list


class Experiment(Strict):
    name: str
    about: str = ""
    how: str = "emulated"
    scenario: str = ""
    base: dict = {}
    seeds: list[int] = msgspec.field(default_factory=lambda: [1, 2, 3, 4, 5, 6])
    variants: list[Variant] = []
    sweep: Sweep | None = None
    figures: list[str] = msgspec.field(default_factory=lambda: ["served", "p99_ms", "rejected"])
    least: float = 0.01


def known():
    return sorted(name[:-5] for name in os.listdir(HERE) if name.endswith(".toml"))


def read(path):
    """The experiment in a file, or of this name; BadScenario says file and key."""
    if not os.path.exists(path) and os.path.exists(os.path.join(HERE, path + ".toml")):
        path = os.path.join(HERE, path + ".toml")
    try:
        with open(path, "rb") as file:
            told = msgspec.convert(tomllib.load(file), Experiment)
        check(told)
    except OSError as error:
        raise BadScenario(f"{path}: {error.strerror}; there are: " + ", ".join(known())) from None
    except (tomllib.TOMLDecodeError, ValueError) as error:
        raise BadScenario(f"{path}: {error}") from None
    return told


def check(told):
    if not told.variants:
        raise BadScenario("variants: none")
    names = [one.name for one in told.variants]
    if len(set(names)) < len(names):
        raise BadScenario(f"variants: a name stands twice: {names}")
    if bool(told.scenario) == bool(told.base):
        raise BadScenario("either scenario or base")
    for name in told.figures:
        if name not in figures.FIGURES:
            raise BadScenario(f"figures: unknown: {name}; there are: {', '.join(figures.FIGURES)}")
    if not told.seeds or len(set(told.seeds)) < len(told.seeds):
        raise BadScenario(f"seeds: none, or one twice: {told.seeds}")
    for n, one in enumerate(told.variants):
        if (one.how or told.how) not in ("emulated", "processes"):
            raise BadScenario(f"variants[{n}].how: neither emulated nor processes: {one.how or told.how}")
        if one.policy and one.policy not in POLICIES:
            raise BadScenario(f"variants[{n}].policy: none of {', '.join(POLICIES)}: {one.policy}")
        if one.program and (one.how or told.how) != "processes":
            raise BadScenario(f"variants[{n}].program: only with processes")
        if one.program and not os.path.isdir(os.path.join(one.program, "mastledge")):
            raise BadScenario(f"variants[{n}].program: no mastledge in {one.program}")
    runs = plan(told)
    if len(runs) > MOST_RUNS:
        raise BadScenario(f"{len(runs)} runs, over {MOST_RUNS}")
    for value in told.sweep.values if told.sweep else [None]:
        for one in told.variants:
            scenario = made(told, one, value)
            if (one.how or told.how) == "emulated":
                check_supported(scenario)


def put(document, path, value):
    """Sets a key by its path; tables on the way are made."""
    *way, last = path.split(".")
    for name in way:
        document = document.setdefault(name, {})
        if not isinstance(document, dict):
            raise BadScenario(f"{path}: {name} is no table")
    document[last] = value


def document(told):
    if told.base:
        return json.loads(json.dumps(told.base))
    with open(find(told.scenario), "rb") as file:
        return tomllib.load(file)


def made(told, variant, value):
    """The scenario of one run."""
    whole = document(told)
    if told.sweep is not None:
        put(whole, told.sweep.key, value)
    for path, change in variant.set.items():
        put(whole, path, change)
    whole.setdefault("name", told.name)
    try:
        scenario = msgspec.convert(whole, Scenario)
        check_scenario(scenario)
    except ValueError as error:
        raise BadScenario(f"variant {variant.name}: {error}") from None
    return scenario


def plan(told):
    """[(value of the sweep, variant, seed)]: seeds outermost, so that what was cut off is still in pairs."""
    values = told.sweep.values if told.sweep else [None]
    return [(value, one, seed) for seed in told.seeds for value in values for one in told.variants]


def key_of(told, value, variant, seed):
    """By which a run is found again; another scenario is another key."""
    scenario = made(told, variant, value)
    text = msgspec.json.encode([scenario, variant, value, variant.how or told.how], order="sorted")
    return f"{hashlib.blake2b(text, digest_size=8).hexdigest()}.{seed}"


def one_run(told, value, variant, seed):
    """Figures of one run, and why it can't be used where it can't."""
    scenario, how = made(told, variant, value), variant.how or told.how
    if how == "emulated":
        record = Simulation(scenario, seed, variant.policy).play()
    else:
        if variant.policy:
            scenario.builds = dict.fromkeys((f"n{n}" for n in range(scenario.dispatchers)), variant.policy)
            assert variant.policy in BUILDS
        program = None
        if variant.program:
            code = (
                f"import sys; sys.path.insert(0, {variant.program!r}); import runpy; "
                "sys.argv[0] = 'mastledge'; runpy.run_module('mastledge', run_name='__main__')"
            )
            program = [sys.executable, "-B", "-c", code]
        record = asyncio.run(Rig(scenario, seed, program=program).run())
    broken = {rule: lines[0] for rule, lines in judged(record).items() if lines}
    whole = {
        "complete": record["complete"],
        "why": record["why"],
        "limited": figures.limited(record),
        "broken": broken,
    }
    return {**whole, "figures": figures.of_record(record)}


def run(told, folder, jobs=1, show=None):
    """Plays what is not played yet; the rows of all. A row is {key, value, variant, seed, ...}."""
    os.makedirs(folder, exist_ok=True)
    path = os.path.join(folder, "runs.jsonl")
    rows = {row["key"]: row for row in written(path)}
    with open(os.path.join(folder, "experiment.json"), "wb") as file:
        file.write(msgspec.json.encode(told))
    runs = [(key_of(told, *one), *one) for one in plan(told)]
    left = [one for one in runs if one[0] not in rows]
    done = len(runs) - len(left)
    if show and done:
        show(f"{done} of {len(runs)} runs are there already")
    with open(path, "a") as file, ProcessPoolExecutor(jobs) as pool:
        futures = {pool.submit(one_run, told, *one[1:]): one for one in left}
        try:
            for future in as_completed(futures):
                key, value, variant, seed = futures[future]
                row = {"key": key, "value": value, "variant": variant.name, "seed": seed, **future.result()}
                file.write(json.dumps(row) + "\n")
                file.flush()
                rows[key], done = row, done + 1
                if show:
                    first = told.figures[0]
                    at = "" if value is None else f" at {value}"
                    show(
                        f"{done} of {len(runs)}: {variant.name}{at}, seed {seed}: {first} "
                        f"{shown(row['figures'][first])}"
                        + (f"; {row['limited']}" if row["limited"] else "")
                        + ("" if row["complete"] else f"; incomplete: {row['why']}")
                    )
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return [rows[key] for key, *_ in runs]


def written(path):
    """The rows of a file; a last line that was cut is left out."""
    if not os.path.exists(path):
        return
    with open(path) as file:
        for line in file:
            try:
                yield json.loads(line)
            except json.JSONDecodeError:
                return


def shown(figure):
    return "-" if figure is None else f"{figure:.3f}"


# What counts as a difference


def interval(differences, seed=1):
    """95% of the mean of paired differences, by resampling (Efron 1979); one seed, so the same each time."""
    some = numpy.array(differences, float)
    random = numpy.random.Generator(numpy.random.PCG64(seed))
    means = some[random.integers(len(some), size=(RESAMPLES, len(some)))].mean(axis=1)
    return float(numpy.percentile(means, 2.5)), float(numpy.percentile(means, 97.5))


def compared(told, rows):
    """[{figure, value, variant, base, means, spreads, difference, low, high, pairs, verdict}].

    Each variant is set against the first one, seed by seed. It is called better or worse where 95% of the
    mean difference lie on one side of 0, over at least LEAST_SEEDS pairs, and the mean is at least `least`
    (of the base's mean, or of 1 where that is a share); else no difference is told.
    """
    out, base = [], told.variants[0]
    usable = {(row["value"], row["variant"], row["seed"]): row for row in rows if row["complete"]}
    for value in told.sweep.values if told.sweep else [None]:
        for variant in told.variants:
            for name in told.figures:
                pairs = []
                for seed in told.seeds:
                    one, other = usable.get((value, base.name, seed)), usable.get((value, variant.name, seed))
                    figs = [row and row["figures"][name] for row in (one, other)]
                    if None not in figs:
                        pairs.append(figs)
                out.append(judged_pairs(told, value, base, variant, name, pairs))
    return out


def judged_pairs(told, value, base, variant, name, pairs):
    row = {
        "figure": name,
        "value": value,
        "variant": variant.name,
        "base": base.name,
        "pairs": len(pairs),
        "mean": None,
        "base_mean": None,
        "spread": None,
        "difference": None,
        "low": None,
        "high": None,
        "verdict": "no figures",
    }
    if not pairs:
        return row
    some = numpy.array(pairs, float)
    row |= {
        "base_mean": float(some[:, 0].mean()),
        "mean": float(some[:, 1].mean()),
        "spread": float(some[:, 1].std(ddof=1)) if len(some) > 1 else 0.0,
    }
    if variant.name == base.name:
        return {**row, "verdict": "base"}
    differences = some[:, 1] - some[:, 0]
    low, high = interval(differences)
    mean = float(differences.mean())
    least = told.least * (1.0 if figures.FIGURES[name][1] else max(abs(row["base_mean"]), 1e-9))
    verdict = "no difference told"
    if len(pairs) < LEAST_SEEDS:
        verdict = f"too few seeds: {len(pairs)}"
    elif (low > 0 or high < 0) and abs(mean) >= least:
        verdict = "better" if (mean > 0) == figures.FIGURES[name][1] else "worse"
    return {**row, "difference": mean, "low": low, "high": high, "verdict": verdict}
