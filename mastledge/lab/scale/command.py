"""`mastledge lab scale`: checks the figures, runs, and leaves `scale.json` and a plot."""

import asyncio
import json
import os
import sys
from dataclasses import fields

from mastledge.lab.scale import slopes
from mastledge.lab.scale.options import InvalidOptionsError, ScaleOptions, check
from mastledge.lab.scale.run import ScaleRun

FIGURES, PLOT = "scale.json", "scale.png"
HELP = {
    "real": "dispatchers that are processes of their own",
    "hollow": "dispatchers that only agree, many to a process",
    "voters": "odd",
    "workers": "hollow ones, many to a process",
    "regions": "of the dispatchers, by their zones",
    "zones": "of dispatchers and workers",
    "round_trip_ms": "between two regions, on links of dispatchers",
    "changes_per_second": "of settings",
    "restarts_per_second": "of workers: each drains, goes and starts",
    "jobs_per_second": "to the real dispatchers together",
    "seconds": "that are measured",
    "settle": "seconds from ready to the first measure",
    "out": f"a folder for {FIGURES} and {PLOT}",
    "lease_ms": "as peers.lease_ms",
    "fan_out": "members that hear from one relay; 0: all from the leader",
    "teams": "in the settings",
    "rack_at": "second at which a rack of workers goes; below 0: never",
    "zone_at": "second at which a zone of workers goes; below 0: never",
}


def add_options(command):
    """The options of a run, by the names of their fields."""
    for one in fields(ScaleOptions):
        flag = one.name.replace("_", "-")
        if isinstance(one.default, bool):
            command.add_argument(f"--no-{flag}", dest=one.name, action="store_false")
        else:
            command.add_argument(
                f"--{flag}", type=type(one.default), default=one.default, help=HELP.get(one.name)
            )


def add(below):
    command = below.add_parser(
        "scale",
        help="measure real dispatchers beside hollow ones (processes)",
        description="Real dispatchers beside hollow ones, on loopback.",
    )
    add_options(command)
    command.add_argument("--quiet", action="store_true", help="only the summary")
    command.set_defaults(call=run)
    slopes.add(below, add_options)


def run(args):
    try:
        options = check(ScaleOptions(**{one.name: getattr(args, one.name) for one in fields(ScaleOptions)}))
        os.makedirs(options.out, exist_ok=True)
    except InvalidOptionsError as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"mastledge: --out: {error.strerror}: {options.out}", file=sys.stderr)
        return 2
    show = None if args.quiet else lambda text: print(text, flush=True)
    told = asyncio.run(ScaleRun(options, show).run())
    with open(os.path.join(options.out, FIGURES), "w") as file:
        json.dump(told, file, indent=1)
    if told.get("dispatchers"):
        draw(told, os.path.join(options.out, PLOT))
    for line in summary(told):
        print(line)
    return 0 if told["complete"] and not told["faults"] else 1


def summary(told):
    """A line for each real dispatcher, and one for the run."""
    for one in told.get("dispatchers", ()):
        cpu, sent, received = one["cpu_percent"], one["sent"]["all"], one["received"]["all"]
        yield (
            f"{one['name']} {one['role']:8}: control {cpu['control']:.2f}% of a core, jobs "
            f"{cpu.get('jobs', 0):.2f}%; {one['memory_over_idle_mb']:.1f} MB over idle; out {sent[0]:.0f} "
            f"messages, {sent[1] / 1000:.1f} KB a second, in {received[0]:.0f}, {received[1] / 1000:.1f}; "
            f"{one['descriptors']} descriptors; longest turn {one['longest_turn_ms']:.1f} ms"
        )
    if told.get("in_force_ms", {}).get("count"):
        yield f"in force everywhere, ms: {told['in_force_ms']}; answers {told['changes']}"
    if "new_leader_ms" in told:
        yield f"another leader after {told['new_leader_ms']} ms"
    if "change_after_kill_ms" in told:
        yield f"a change agreed after {told['change_after_kill_ms']} ms"
    if told.get("faults"):
        yield f"{told['faults']} faults in the logs"
    if not told["complete"]:
        yield f"incomplete: {told['why']}"


def draw(told, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = told["dispatchers"]
    names = [f"{one['name']}\n{one['role']}" for one in rows]
    figure, axes = pyplot.subplots(1, 3, figsize=(12, 3.6))
    axes[0].bar(names, [one["cpu_percent"]["control"] for one in rows])
    axes[0].set_title("processor time for control, % of a core")
    axes[1].bar(names, [one["memory_over_idle_mb"] for one in rows])
    axes[1].set_title("memory over an idle process, MB")
    sent = [one["sent"]["all"][1] / 1000 for one in rows]
    axes[2].bar(names, sent, label="out")
    axes[2].bar(names, [one["received"]["all"][1] / 1000 for one in rows], bottom=sent, label="in")
    axes[2].set_title("KB a second")
    axes[2].legend()
    for ax in axes:
        ax.tick_params(axis="x", labelsize=6)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
