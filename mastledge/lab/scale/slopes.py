"""`mastledge lab slopes`: scale runs along one axis, a line through their figures, and predictions.

The fit is least squares over all runs of all sizes (numpy.polyfit, degree 1); its spread is the root
of the mean square of what the line leaves over, in the figure's own unit.
"""

import argparse
import json
import os
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, fields
from typing import Any

import numpy

from mastledge.lab.commands.options import SubCommands
from mastledge.lab.scale.options import ScaleOptions

AXES = {
    "dispatchers": "hollow",
    "workers": "workers",
    "changes": "changes_per_second",
    "restarts": "restarts_per_second",
    "jobs": "jobs_per_second",
}
ROLES = ("leader", "voter", "follower")
MIN_SIZES = 2  # for a line
MAX_ERROR_LENGTH = 300  # characters of what a failed run said

RunFigures = dict[str, Any]  # as `scale.json` holds them
Fit = dict[str, dict[str, dict[str, Any]]]  # line by role and figure


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """One run of an axis: its size there, and its number among those of the same size."""

    size: float
    number: int


def role_figures(run: RunFigures, role: str) -> dict[str, float]:
    """The figures of one run for a role, as the mean over the dispatchers that have it; {} where none has."""
    rows = [row for row in run["dispatchers"] if row["role"] == role]
    if not rows:
        return {}

    def mean(read):
        return float(numpy.mean([read(row) for row in rows]))

    return {
        "control_percent": mean(lambda row: row["cpu_percent"]["control"]),
        "agreement_percent": mean(lambda row: row["cpu_percent"].get("agreement", 0.0)),
        "list_percent": mean(lambda row: row["cpu_percent"].get("list", 0.0)),
        "jobs_percent": mean(lambda row: row["cpu_percent"].get("jobs", 0.0)),
        "memory_over_idle_mb": mean(lambda row: row["memory_over_idle_mb"]),
        "out_bytes": mean(lambda row: row["sent"]["all"][1]),
        "in_bytes": mean(lambda row: row["received"]["all"][1]),
        "out_messages": mean(lambda row: row["sent"]["all"][0]),
        "descriptors": mean(lambda row: row["descriptors"]),
        "longest_turn_ms": max(row["longest_turn_ms"] for row in rows),
    }


def size_of(run: RunFigures, axis: str) -> float:
    """Where a run stands on an axis: the dispatchers are counted with the real ones."""
    options = run["options"]
    return options["real"] + options["hollow"] if axis == "dispatchers" else options[AXES[axis]]


def fitted(runs: list[RunFigures], axis: str) -> Fit:
    """{role: {figure: {slope, base, spread, values}}} of complete runs."""
    fit = {}
    for role in ROLES:
        points = [(size_of(run, axis), role_figures(run, role)) for run in runs if run["complete"]]
        points = [(size, values) for size, values in points if values]
        if len({size for size, _ in points}) < MIN_SIZES:
            continue
        sizes = [size for size, _ in points]
        fit[role] = {
            name: line_through(sizes, [values[name] for _, values in points]) for name in points[0][1]
        }
    return fit


def line_through(sizes: list[float], values: list[float]) -> dict[str, Any]:
    """The line of least squares, its spread in the unit of the values, and the points."""
    slope, base = numpy.polyfit(sizes, values, 1)
    residuals = numpy.array(values) - (slope * numpy.array(sizes) + base)
    return {
        "slope": float(slope),
        "base": float(base),
        "spread": float(numpy.sqrt(numpy.mean(residuals**2))),
        "values": [[size, round(value, 3)] for size, value in zip(sizes, values, strict=True)],
    }


def predicted(fit: Fit, size: float) -> dict[str, dict[str, list[float]]]:
    """{role: {figure: [value, spread]}} at a size by the lines of a fit."""
    return {
        role: {name: [line["slope"] * size + line["base"], line["spread"]] for name, line in lines.items()}
        for role, lines in fit.items()
    }


def command_of(options: ScaleOptions, out: str) -> list[str]:
    """The command line of one scale run that leaves its figures in the folder `out`."""
    words = [sys.executable, "-B", "-m", "mastledge", "lab", "scale", "--quiet", "--out", out]
    for field in fields(ScaleOptions):
        value = getattr(options, field.name)
        if field.name == "out" or value == field.default:
            continue
        flag = field.name.replace("_", "-")
        words += [f"--no-{flag}"] if value is False else [f"--{flag}", str(value)]
    return words


def options_of_run(axis: str, base: ScaleOptions, run: PlannedRun) -> ScaleOptions:
    """The options of one run of the axis; each number has a seed of its own."""
    value = run.size - base.real if axis == "dispatchers" else run.size
    kind = type(getattr(base, AXES[axis]))
    return ScaleOptions(**{**base.as_dict(), AXES[axis]: kind(value), "seed": base.seed + run.number})


def play(args: argparse.Namespace, base: ScaleOptions) -> list[RunFigures]:
    """All runs of the axis, `args.jobs` at once; the figures that each left."""
    plan = [PlannedRun(size, number) for number in range(args.runs) for size in args.sizes]

    def play_one(run: PlannedRun) -> RunFigures | None:
        out = os.path.join(args.out, f"{args.axis}-{run.size:g}-{run.number}")
        command = command_of(options_of_run(args.axis, base, run), out)
        done = subprocess.run(command, capture_output=True, text=True, start_new_session=True)
        said = "good" if not done.returncode else (done.stderr or done.stdout)[-MAX_ERROR_LENGTH:]
        print(f"{args.axis} {run.size:g}, run {run.number}: {said}", flush=True)
        try:
            with open(os.path.join(out, "scale.json")) as file:
                return json.load(file)
        except OSError:
            return None

    with ThreadPoolExecutor(args.jobs) as pool:
        return [left for left in pool.map(play_one, plan) if left is not None]


def run(args: argparse.Namespace) -> int:
    """Plays the axis, writes the fit and prints its lines; status 1 where a run was incomplete."""
    options = args.options_of(args)
    os.makedirs(args.out, exist_ok=True)
    runs = play(args, options)
    fit = fitted(runs, args.axis)
    incomplete = sum(not one["complete"] for one in runs)
    result = {
        "axis": args.axis,
        "sizes": args.sizes,
        "runs": len(runs),
        "incomplete": incomplete,
        "options": options.as_dict(),
        "fit": fit,
        "in_force_ms": [
            [size_of(one, args.axis), one["in_force_ms"]] for one in runs if "in_force_ms" in one
        ],
        "new_leader_ms": [one["new_leader_ms"] for one in runs if "new_leader_ms" in one],
        "predicted": {f"{size:g}": predicted(fit, size) for size in args.predict},
    }
    with open(os.path.join(args.out, f"{args.axis}.json"), "w") as file:
        json.dump(result, file, indent=1)
    for role, lines in fit.items():
        for name, line in lines.items():
            text = f"{line['slope']:.5g} x size + {line['base']:.4g}, spread {line['spread']:.3g}"
            print(f"{role:8} {name:20} {text}")
    return 0 if runs and not incomplete else 1


def add(
    commands: SubCommands,
    add_options: Callable[[argparse.ArgumentParser], None],
    options_of: Callable[[argparse.Namespace], ScaleOptions],
) -> None:
    """Adds the sub-command; `add_options` and `options_of` are those of a scale run."""
    command = commands.add_parser(
        "slopes",
        help="scale runs along one axis, with a line through their figures",
        description="Scale runs along one axis.",
    )
    command.add_argument("axis", choices=sorted(AXES))
    command.add_argument("--sizes", type=numbers, required=True, help="of the fit: A,B,C,D")
    command.add_argument("--predict", type=numbers, default=[], help="sizes that the fit is asked for")
    command.add_argument("--runs", type=int, default=3, help="of each size")
    command.add_argument("--jobs", type=int, default=1, help="runs at once")
    add_options(command)
    command.set_defaults(call=run, options_of=options_of)


def numbers(text: str) -> list[float]:
    """Numbers with commas between them; raises ValueError."""
    return [float(word) for word in text.split(",")]
