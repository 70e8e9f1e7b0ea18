"""Experiments: variants over the same seeds, in pairs.

An experiment is TOML; each run is one line of `runs.jsonl` in its folder, so that one that was cut off goes
on where it ended. docs/laboratory.md.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import sys
import tomllib
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Any, NamedTuple

import msgspec

from mastledge.lab import figures
from mastledge.lab.build_variants import BUILDS
from mastledge.lab.comparison import Cell, Comparison, compare_pairs
from mastledge.lab.invariant_checker import judged
from mastledge.lab.policies import POLICIES
from mastledge.lab.process_harness import ProcessHarness
from mastledge.lab.scenario import Scenario, ScenarioError, Strict, find
from mastledge.lab.scenario import check as check_scenario
from mastledge.lab.simulator.simulation import Simulation
from mastledge.lab.simulator.support import check_supported

HERE = os.path.join(os.path.dirname(__file__), "experiments")
RUNS_FILE, EXPERIMENT_FILE = "runs.jsonl", "experiment.json"
MOST_RUNS = 2_000
EMULATED, PROCESSES = "emulated", "processes"  # values of `how`


class Variant(Strict):
    """One variant of an experiment.

    `set`: keys of the scenario by their path, `clients.per_second` say. `policy`: a baseline of
    lab/policies, "" for the program's own. `program`: a folder with another version of it (processes).
    """

    name: str
    how: str = ""
    set: dict = {}
    policy: str = ""
    program: str = ""


class Sweep(Strict):
    """A key of the scenario by its path, and the values that it takes."""

    key: str
    values: list


class Experiment(Strict):
    """An experiment as its file has it."""

    name: str
    about: str = ""
    how: str = EMULATED
    scenario: str = ""
    base: dict = {}
    seeds: list[int] = msgspec.field(default_factory=lambda: [1, 2, 3, 4, 5, 6])
    variants: list[Variant] = []
    sweep: Sweep | None = None
    figures: list[str] = msgspec.field(default_factory=lambda: ["served", "p99_ms", "rejected"])
    least: float = 0.01

    def how_of(self, variant: Variant) -> str:
        """Whether a variant is played by processes or emulated."""
        return variant.how or self.how

    def sweep_values(self) -> list:
        """The values of the sweep; None alone without one."""
        return self.sweep.values if self.sweep else [None]


class PlannedRun(NamedTuple):
    """One run of an experiment; `value`: of the sweep."""

    value: object
    variant: Variant
    seed: int


class RunRow(msgspec.Struct):
    """One line of `runs.jsonl`. `broken`: the first line of each broken rule; `limited`: why the machine was
    the limit, "" where it was not.
    """

    key: str
    value: Any
    variant: str
    seed: int
    complete: bool
    why: str
    limited: str
    broken: dict[str, str] = {}
    figures: dict[str, int | float | None] = {}


def known() -> list[str]:
    """Names of the experiments of the package."""
    return sorted(name[:-5] for name in os.listdir(HERE) if name.endswith(".toml"))


def read(path: str) -> Experiment:
    """The experiment in a file, or of this name; ScenarioError says file and key."""
    if not os.path.exists(path) and os.path.exists(os.path.join(HERE, path + ".toml")):
        path = os.path.join(HERE, path + ".toml")
    try:
        with open(path, "rb") as file:
            experiment = msgspec.convert(tomllib.load(file), Experiment)
        check(experiment)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}; there are: " + ", ".join(known())) from None
    except (tomllib.TOMLDecodeError, ValueError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    return experiment


def check(experiment: Experiment) -> None:
    """Raises ScenarioError, with the key, for an experiment that can't be played."""
    _check_lists(experiment)
    for n, variant in enumerate(experiment.variants):
        _check_variant(f"variants[{n}]", variant, experiment.how_of(variant))
    runs = plan(experiment)
    if len(runs) > MOST_RUNS:
        raise ScenarioError(f"{len(runs)} runs, over {MOST_RUNS}")
    for value in experiment.sweep_values():
        for variant in experiment.variants:
            scenario = make_scenario(experiment, variant, value)
            if experiment.how_of(variant) == EMULATED:
                check_supported(scenario)


def _check_lists(experiment: Experiment) -> None:
    if not experiment.variants:
        raise ScenarioError("variants: none")
    names = [variant.name for variant in experiment.variants]
    if len(set(names)) < len(names):
        raise ScenarioError(f"variants: a name stands twice: {names}")
    if bool(experiment.scenario) == bool(experiment.base):
        raise ScenarioError("either scenario or base")
    for name in experiment.figures:
        if name not in figures.FIGURES:
            raise ScenarioError(f"figures: unknown: {name}; there are: {', '.join(figures.FIGURES)}")
    if not experiment.seeds or len(set(experiment.seeds)) < len(experiment.seeds):
        raise ScenarioError(f"seeds: none, or one twice: {experiment.seeds}")


def _check_variant(path: str, variant: Variant, how: str) -> None:
    if how not in (EMULATED, PROCESSES):
        raise ScenarioError(f"{path}.how: neither emulated nor processes: {how}")
    if variant.policy and variant.policy not in POLICIES:
        raise ScenarioError(f"{path}.policy: none of {', '.join(POLICIES)}: {variant.policy}")
    if variant.program and how != PROCESSES:
        raise ScenarioError(f"{path}.program: only with processes")
    if variant.program and not os.path.isdir(os.path.join(variant.program, "mastledge")):
        raise ScenarioError(f"{path}.program: no mastledge in {variant.program}")


def put(document: dict, path: str, value: object) -> None:
    """Sets a key by its path; tables on the way are made. ScenarioError where there is something else."""
    *tables, last = path.split(".")
    for name in tables:
        document = document.setdefault(name, {})
        if not isinstance(document, dict):
            raise ScenarioError(f"{path}: {name} is no table")
    document[last] = value


def base_document(experiment: Experiment) -> dict:
    """The scenario of the experiment as its file has it, before any variant."""
    if experiment.base:
        return json.loads(json.dumps(experiment.base))
    with open(find(experiment.scenario), "rb") as file:
        return tomllib.load(file)


def make_scenario(experiment: Experiment, variant: Variant, value: object) -> Scenario:
    """The scenario of one run; ScenarioError names the variant."""
    document = base_document(experiment)
    if experiment.sweep is not None:
        put(document, experiment.sweep.key, value)
    for path, change in variant.set.items():
        put(document, path, change)
    document.setdefault("name", experiment.name)
    try:
        scenario = msgspec.convert(document, Scenario)
        check_scenario(scenario)
    except ValueError as error:
        raise ScenarioError(f"variant {variant.name}: {error}") from None
    return scenario


def plan(experiment: Experiment) -> list[PlannedRun]:
    """All runs: seeds outermost, so that what was cut off is still in pairs."""
    return [
        PlannedRun(value, variant, seed)
        for seed in experiment.seeds
        for value in experiment.sweep_values()
        for variant in experiment.variants
    ]


def key_of(experiment: Experiment, value: object, variant: Variant, seed: int) -> str:
    """By which a run is found again; another scenario is another key."""
    scenario = make_scenario(experiment, variant, value)
    identity = [scenario, variant, value, experiment.how_of(variant)]
    text = msgspec.json.encode(identity, order="sorted")
    return f"{hashlib.blake2b(text, digest_size=8).hexdigest()}.{seed}"


def one_run(experiment: Experiment, value: object, variant: Variant, seed: int) -> RunRow:
    """Plays one run: its figures, and why it can't be used where it can't."""
    scenario = make_scenario(experiment, variant, value)
    if experiment.how_of(variant) == EMULATED:
        record = Simulation(scenario, seed, variant.policy).play()
    else:
        record = _play_processes(scenario, variant, seed)
    return RunRow(
        key=key_of(experiment, value, variant, seed),
        value=value,
        variant=variant.name,
        seed=seed,
        complete=record["complete"],
        why=record["why"],
        limited=figures.limited(record),
        broken={rule: lines[0] for rule, lines in judged(record).items() if lines},
        figures=figures.of_record(record),
    )


def _play_processes(scenario: Scenario, variant: Variant, seed: int) -> dict:
    if variant.policy:
        names = [f"n{n}" for n in range(scenario.dispatchers)]
        scenario.builds = dict.fromkeys(names, variant.policy)
        assert variant.policy in BUILDS
    program = None
    if variant.program:
        code = (
            f"import sys; sys.path.insert(0, {variant.program!r}); import runpy; "
            "sys.argv[0] = 'mastledge'; runpy.run_module('mastledge', run_name='__main__')"
        )
        program = [sys.executable, "-B", "-c", code]
    return asyncio.run(ProcessHarness(scenario, seed, program=program).run())


def run(
    experiment: Experiment, folder: str, jobs: int = 1, show: Callable[[str], None] | None = None
) -> list[RunRow]:
    """Plays what is not played yet, so many runs at once; the rows of all. `show` gets a line a run."""
    show = show or (lambda text: None)
    os.makedirs(folder, exist_ok=True)
    path = os.path.join(folder, RUNS_FILE)
    rows = {row.key: row for row in written(path)}
    with open(os.path.join(folder, EXPERIMENT_FILE), "wb") as file:
        file.write(msgspec.json.encode(experiment))
    planned = [(key_of(experiment, *one), one) for one in plan(experiment)]
    missing = [one for key, one in planned if key not in rows]
    done = len(planned) - len(missing)
    if done:
        show(f"{done} of {len(planned)} runs are there already")
    with open(path, "a") as file, ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(one_run, experiment, *one) for one in missing]
        try:
            for future in as_completed(futures):
                row = future.result()
                file.write(json.dumps(msgspec.to_builtins(row)) + "\n")
                file.flush()
                rows[row.key], done = row, done + 1
                show(f"{done} of {len(planned)}: {_progress(experiment, row)}")
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return [rows[key] for key, _ in planned]


def _progress(experiment: Experiment, row: RunRow) -> str:
    figure = experiment.figures[0]
    at = "" if row.value is None else f" at {row.value}"
    text = f"{row.variant}{at}, seed {row.seed}: {figure} {format_figure(row.figures[figure])}"
    if row.limited:
        text += f"; {row.limited}"
    if not row.complete:
        text += f"; incomplete: {row.why}"
    return text


def written(path: str) -> Iterator[RunRow]:
    """The rows of a file; a last line that was cut is left out."""
    if not os.path.exists(path):
        return
    with open(path) as file:
        for line in file:
            try:
                fields = json.loads(line)
            except json.JSONDecodeError:
                return
            yield msgspec.convert(fields, RunRow)


def format_figure(figure: float | None) -> str:
    """As tables and progress show it."""
    return "-" if figure is None else f"{figure:.3f}"


def compare(experiment: Experiment, rows: list[RunRow]) -> list[Comparison]:
    """Each variant against the first one, seed by seed, for each figure and value of the sweep."""
    base = experiment.variants[0]
    usable = {(row.value, row.variant, row.seed): row.figures for row in rows if row.complete}
    comparisons = []
    for value in experiment.sweep_values():
        for variant in experiment.variants:
            for figure in experiment.figures:
                pairs = []
                for seed in experiment.seeds:
                    both = [usable.get((value, one.name, seed)) for one in (base, variant)]
                    pair = [None if one is None else one[figure] for one in both]
                    if None not in pair:
                        pairs.append(pair)
                cell = Cell(figure, value, variant.name, base.name)
                comparisons.append(compare_pairs(cell, pairs, experiment.least))
    return comparisons
