"""`mastledge lab slopes`: scale runs along one axis, a line through their figures, and predictions.

The fit is least squares over all runs of all sizes (numpy.polyfit, degree 1); its spread is the root
of the mean square of what the line leaves over, in the figure's own unit.
"""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import fields

import numpy

from mastledge.lab.scale.options import ScaleOptions

AXES = {
    "dispatchers": "hollow",
    "workers": "workers",
    "changes": "changes_per_second",
    "restarts": "restarts_per_second",
    "jobs": "jobs_per_second",
}
ROLES = ("leader", "voter", "follower")
LEAST_SIZES = 2
SAID = 300  # characters of what a failed run said


def figures(told, role):
    """The figures of one run for a role, as the mean over the dispatchers that have it; {} where none has."""
    rows = [one for one in told["dispatchers"] if one["role"] == role]
    if not rows:
        return {}

    def mean(read):
        return float(numpy.mean([read(one) for one in rows]))

    return {
        "control_percent": mean(lambda one: one["cpu_percent"]["control"]),
        "agreement_percent": mean(lambda one: one["cpu_percent"].get("agreement", 0.0)),
        "list_percent": mean(lambda one: one["cpu_percent"].get("list", 0.0)),
        "jobs_percent": mean(lambda one: one["cpu_percent"].get("jobs", 0.0)),
        "memory_over_idle_mb": mean(lambda one: one["memory_over_idle_mb"]),
        "out_bytes": mean(lambda one: one["sent"]["all"][1]),
        "in_bytes": mean(lambda one: one["received"]["all"][1]),
        "out_messages": mean(lambda one: one["sent"]["all"][0]),
        "descriptors": mean(lambda one: one["descriptors"]),
        "longest_turn_ms": max(one["longest_turn_ms"] for one in rows),
    }


def size_of(told, axis):
    """Where a run stands on an axis: the dispatchers are counted with the real ones."""
    options = told["options"]
    return options["real"] + options["hollow"] if axis == "dispatchers" else options[AXES[axis]]


def fitted(runs, axis):
    """{role: {figure: {slope, base, spread, sizes, values}}} of complete runs."""
    out = {}
    for role in ROLES:
        points = [(size_of(told, axis), figures(told, role)) for told in runs if told["complete"]]
        points = [(size, some) for size, some in points if some]
        if len({size for size, _ in points}) < LEAST_SIZES:
            continue
        sizes = [size for size, _ in points]
        out[role] = {}
        for name in points[0][1]:
            values = [some[name] for _, some in points]
            slope, base = numpy.polyfit(sizes, values, 1)
            left = numpy.array(values) - (slope * numpy.array(sizes) + base)
            out[role][name] = {
                "slope": float(slope),
                "base": float(base),
                "spread": float(numpy.sqrt(numpy.mean(left**2))),
                "values": [[size, round(value, 3)] for size, value in zip(sizes, values, strict=True)],
            }
    return out


def predicted(fit, size):
    """{role: {figure: [value, spread]}} at a size by the lines of a fit."""
    return {
        role: {name: [one["slope"] * size + one["base"], one["spread"]] for name, one in some.items()}
        for role, some in fit.items()
    }


def command_of(options, out):
    """The call of one scale run."""
    words = [sys.executable, "-B", "-m", "mastledge", "lab", "scale", "--quiet", "--out", out]
    for one in fields(ScaleOptions):
        value = getattr(options, one.name)
        if one.name == "out" or value == one.default:
            continue
        words += (
            [f"--no-{one.name.replace('_', '-')}"]
            if value is False
            else [f"--{one.name.replace('_', '-')}", str(value)]
        )
    return words


def play(args, options):
    """All runs of the axis, so many at once; what each left."""
    plan = [(size, number) for number in range(args.runs) for size in args.sizes]

    def one(step):
        size, number = step
        out = os.path.join(args.out, f"{args.axis}-{size:g}-{number}")
        value = size - options.real if args.axis == "dispatchers" else size
        kind = type(getattr(options, AXES[args.axis]))
        chosen = {**options.as_dict(), AXES[args.axis]: kind(value), "seed": options.seed + number}
        done = subprocess.run(
            command_of(ScaleOptions(**chosen), out), capture_output=True, text=True, start_new_session=True
        )
        said = "good" if not done.returncode else (done.stderr or done.stdout)[-SAID:]
        print(f"{args.axis} {size:g}, run {number}: {said}", flush=True)
        try:
            with open(os.path.join(out, "scale.json")) as file:
                return json.load(file)
        except OSError:
            return None

    with ThreadPoolExecutor(args.jobs) as pool:
        return [told for told in pool.map(one, plan) if told is not None]


def run(args):
    options = ScaleOptions(**{one.name: getattr(args, one.name) for one in fields(ScaleOptions)})
    os.makedirs(args.out, exist_ok=True)
    told = play(args, options)
    fit = fitted(told, args.axis)
    result = {
        "axis": args.axis,
        "sizes": args.sizes,
        "runs": len(told),
        "incomplete": sum(not one["complete"] for one in told),
        "options": options.as_dict(),
        "fit": fit,
        "in_force_ms": [
            [size_of(one, args.axis), one["in_force_ms"]] for one in told if "in_force_ms" in one
        ],
        "new_leader_ms": [one["new_leader_ms"] for one in told if "new_leader_ms" in one],
        "predicted": {f"{size:g}": predicted(fit, size) for size in args.predict},
    }
    with open(os.path.join(args.out, f"{args.axis}.json"), "w") as file:
        json.dump(result, file, indent=1)
    for role, some in fit.items():
        for name, one in some.items():
            line = f"{one['slope']:.5g} x size + {one['base']:.4g}, spread {one['spread']:.3g}"
            print(f"{role:8} {name:20} {line}")
    return 0 if told and not result["incomplete"] else 1


def add(below, add_options):
    command = below.add_parser(
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
    command.set_defaults(call=run)


def numbers(text):
    return [float(word) for word in text.split(",")]
