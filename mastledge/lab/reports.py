"""Reports of experiments and of single records, as text and as JSON."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from mastledge.lab import comparison, experiment, figures
from mastledge.lab.experiment import Experiment, RunRow, format_figure
from mastledge.lab.scenario import ScenarioError


class PlayedExperiment(NamedTuple):
    """An experiment, the rows of what is played of it, and how many runs are planned."""

    experiment: Experiment
    rows: list[RunRow]
    planned: int


def load(folder: str) -> PlayedExperiment:
    """The experiment of a folder and its rows; ScenarioError where it is none."""
    try:
        with open(os.path.join(folder, experiment.EXPERIMENT_FILE), "rb") as file:
            found = msgspec.json.decode(file.read(), type=Experiment)
    except OSError as error:
        raise ScenarioError(f"{folder}: no experiment: {error.strerror}") from None
    except msgspec.MsgspecError as error:
        raise ScenarioError(f"{folder}/{experiment.EXPERIMENT_FILE}: {error}") from None
    rows = {row.key: row for row in experiment.written(os.path.join(folder, experiment.RUNS_FILE))}
    keys = [experiment.key_of(found, *planned) for planned in experiment.plan(found)]
    return PlayedExperiment(found, [rows[key] for key in keys if key in rows], len(keys))


def report(played: Experiment, rows: list[RunRow], planned: int) -> dict:
    """The report as its JSON document has it."""
    return {
        "name": played.name,
        "about": played.about,
        "how": sorted({played.how_of(variant) for variant in played.variants}),
        "complete": len(rows) == planned and all(row.complete for row in rows),
        "runs": len(rows),
        "planned": planned,
        "incomplete": [f"{_run_name(row)}: {row.why}" for row in rows if not row.complete],
        "machine_was_the_limit": [f"{_run_name(row)}: {row.limited}" for row in rows if row.limited],
        "broken": [f"{_run_name(row)}: {rule}: {line}" for row in rows for rule, line in row.broken.items()],
        "breaches": sum(row.figures["breaches"] or 0 for row in rows),
        "rule": "a difference is told where 95% of the mean of paired differences lie on one side of 0, over "
        f"{comparison.MIN_SEEDS} seeds or more, and it is at least {played.least:g}",
        "rows": [msgspec.to_builtins(row) for row in experiment.compare(played, rows)],
    }


def _run_name(row: RunRow) -> str:
    return f"{row.variant}, seed {row.seed}"


def text(document: dict) -> Iterator[str]:
    """A report as lines."""
    simulated = " (simulated)" if document["how"] == [experiment.EMULATED] else ""
    yield f"{document['name']}{simulated}: {document['about']}".rstrip(": ")
    counts = f"{document['runs']} of {document['planned']} runs, {document['breaches']} broken rules"
    yield counts + ("" if document["complete"] else "; INCOMPLETE")
    for line in document["incomplete"]:
        yield f"  incomplete: {line}"
    for line in document["broken"]:
        yield f"  broken: {line}"
    for line in document["machine_was_the_limit"]:
        yield f"  the machine was the limit: {line}"
    yield document["rule"]
    yield f"{'figure':15s} {'at':>10s} {'variant':14s} {'mean':>9s} {'spread':>8s} {'difference':>11s}  95%"
    for row in document["rows"]:
        yield _table_line(row)


def _table_line(row: dict) -> str:
    at = "" if row["value"] is None else f"{row['value']}"
    interval = "" if row["low"] is None else f"{row['low']:+.3f} to {row['high']:+.3f}"
    difference = "" if row["difference"] is None else f"{row['difference']:+.3f}"
    return (
        f"{row['figure']:15s} {at:>10s} {row['variant']:14s} {format_figure(row['mean']):>9s} "
        f"{format_figure(row['spread']):>8s} {difference:>11s}  {interval:20s} {row['verdict']}"
    )


def record_title(record: dict) -> str:
    """The scenario and seed of a record, and whether it was simulated."""
    simulated = " (simulated)" if record.get("simulated") else ""
    return f"{record['scenario']}, seed {record['seed']}{simulated}"


def record_text(record: dict) -> Iterator[str]:
    """The figures of one record as lines."""
    yield record_title(record)
    if not record["complete"]:
        yield f"INCOMPLETE: {record['why']}"
    if figures.limited(record):
        yield f"the machine was the limit: {figures.limited(record)}"
    for name, figure in figures.of_record(record).items():
        yield f"  {name:15s} {format_figure(figure):>9s}  {figures.FIGURES[name][0]}"


def of_path(path: str) -> tuple[dict | None, PlayedExperiment | None]:
    """The record of a file or folder, or the experiment of a folder; ScenarioError where it is neither."""
    if os.path.isdir(path) and os.path.exists(os.path.join(path, "record.json")):
        path = os.path.join(path, "record.json")
    if os.path.isdir(path):
        return None, load(path)
    try:
        with open(path) as file:
            return json.load(file), None
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except json.JSONDecodeError as error:
        raise ScenarioError(f"{path}: no record: {error}") from None
