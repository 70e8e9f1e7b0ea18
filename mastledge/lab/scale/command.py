"""`mastledge lab scale`: checks the figures, runs, and leaves `scale.json` and a plot."""

import argparse
import asyncio
import json
import os
import sys
from collections.abc import Iterator
from dataclasses import fields
from typing import Any

from mastledge.lab.commands.options import SubCommands
from mastledge.lab.scale import slopes
from mastledge.lab.scale.options import InvalidOptionsError, ScaleOptions, check
from mastledge.lab.scale.run import ScaleRun

FIGURES_FILE, PLOT_FILE = "scale.json", "scale.png"
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
    "out": f"a folder for {FIGURES_FILE} and {PLOT_FILE}",
    "lease_ms": "as peers.lease_ms",
    "fan_out": "members that hear from one relay; 0: all from the leader",
    "teams": "in the settings",
    "rack_at": "second at which a rack of workers goes; below 0: never",
    "zone_at": "second at which a zone of workers goes; below 0: never",
}


def add_options(command: argparse.ArgumentParser) -> None:
    """The options of a run, by the names of their fields."""
    for field in fields(ScaleOptions):
        flag = field.name.replace("_", "-")
        if isinstance(field.default, bool):
            command.add_argument(f"--no-{flag}", dest=field.name, action="store_false")
        else:
            command.add_argument(
                f"--{flag}", type=type(field.default), default=field.default, help=HELP.get(field.name)
            )


def options_of(args: argparse.Namespace) -> ScaleOptions:
    """The options of a run, not checked yet."""
    return ScaleOptions(**{field.name: getattr(args, field.name) for field in fields(ScaleOptions)})


def add(commands: SubCommands) -> None:
    """Adds the sub-commands `scale` and `slopes`."""
    command = commands.add_parser(
        "scale",
        help="measure real dispatchers beside hollow ones (processes)",
        description="Real dispatchers beside hollow ones, on loopback.",
    )
    add_options(command)
    command.add_argument("--quiet", action="store_true", help="only the summary")
    command.set_defaults(call=run)
    slopes.add(commands, add_options, options_of)


def run(args: argparse.Namespace) -> int:
    """Checks, runs and leaves the figures; status 2 for bad options, 1 for an incomplete run or faults."""
    try:
        options = check(options_of(args))
        os.makedirs(options.out, exist_ok=True)
    except InvalidOptionsError as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"mastledge: --out: {error.strerror}: {options.out}", file=sys.stderr)
        return 2
    show = None if args.quiet else lambda text: print(text, flush=True)
    figures = asyncio.run(ScaleRun(options, show).run())
    with open(os.path.join(options.out, FIGURES_FILE), "w") as file:
        json.dump(figures, file, indent=1)
    if figures.get("dispatchers"):
        draw(figures, os.path.join(options.out, PLOT_FILE))
    for line in summary(figures):
        print(line)
    return 0 if figures["complete"] and not figures["faults"] else 1


def summary(figures: dict[str, Any]) -> Iterator[str]:
    """A line for each real dispatcher, and one for the run."""
    for row in figures.get("dispatchers", ()):
        cpu, sent, received = row["cpu_percent"], row["sent"]["all"], row["received"]["all"]
        yield (
            f"{row['name']} {row['role']:8}: control {cpu['control']:.2f}% of a core, jobs "
            f"{cpu.get('jobs', 0):.2f}%; {row['memory_over_idle_mb']:.1f} MB over idle; out {sent[0]:.0f} "
            f"messages, {sent[1] / 1000:.1f} KB a second, in {received[0]:.0f}, {received[1] / 1000:.1f}; "
            f"{row['descriptors']} descriptors; longest turn {row['longest_turn_ms']:.1f} ms"
        )
    if figures.get("in_force_ms", {}).get("count"):
        yield f"in force everywhere, ms: {figures['in_force_ms']}; answers {figures['changes']}"
    if "new_leader_ms" in figures:
        yield f"another leader after {figures['new_leader_ms']} ms"
    if "change_after_kill_ms" in figures:
        yield f"a change agreed after {figures['change_after_kill_ms']} ms"
    if figures.get("faults"):
        yield f"{figures['faults']} faults in the logs"
    if not figures["complete"]:
        yield f"incomplete: {figures['why']}"


def draw(figures: dict[str, Any], path: str) -> None:
    """Draws processor time, memory and traffic of each real dispatcher."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = figures["dispatchers"]
    names = [f"{row['name']}\n{row['role']}" for row in rows]
    figure, axes = pyplot.subplots(1, 3, figsize=(12, 3.6))
    axes[0].bar(names, [row["cpu_percent"]["control"] for row in rows])
    axes[0].set_title("processor time for control, % of a core")
    axes[1].bar(names, [row["memory_over_idle_mb"] for row in rows])
    axes[1].set_title("memory over an idle process, MB")
    sent = [row["sent"]["all"][1] / 1000 for row in rows]
    axes[2].bar(names, sent, label="out")
    axes[2].bar(names, [row["received"]["all"][1] / 1000 for row in rows], bottom=sent, label="in")
    axes[2].set_title("KB a second")
    axes[2].legend()
    for ax in axes:
        ax.tick_params(axis="x", labelsize=6)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
