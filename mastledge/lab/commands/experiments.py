"""`mastledge lab experiment` and `report`: variants over the same seeds, and what came of them."""

import argparse
import json
import sys

from mastledge.lab import experiment as experiments
from mastledge.lab import figures
from mastledge.lab.commands.options import SubCommands, add_command, add_file, add_output_folder, add_quiet
from mastledge.lab.commands.output import STATUS_BROKEN, STATUS_GOOD, bad_call, progress
from mastledge.lab.scenario import ScenarioError


def experiment(args: argparse.Namespace) -> int:
    """Plays what is not played yet, and tells of it."""
    try:
        plan = experiments.read(args.file)
    except ScenarioError as error:
        return bad_call(error)
    try:
        experiments.run(plan, args.out, args.jobs, progress(args.quiet))
    except KeyboardInterrupt:
        print("cut off; the same call goes on from here", file=sys.stderr)
        return STATUS_BROKEN
    return print_report(args.out)


def report(args: argparse.Namespace) -> int:
    """Tells of an experiment's folder, or of one record."""
    return print_report(args.path, args.json, args.plot)


def print_report(path: str, json_path: str | None = None, plot_path: str | None = None) -> int:
    """Prints it, and writes it to the files that are given; status 1 where it is incomplete or a rule was
    broken.
    """
    from mastledge.lab import plots, reports

    try:
        record, runs = reports.of_path(path)
        if record is not None:
            lines, whole = list(reports.record_text(record)), figures.of_record(record)
            complete = record["complete"]
        else:
            whole = reports.report(*runs)
            lines, complete = list(reports.text(whole)), whole["complete"]
    except ScenarioError as error:
        return bad_call(error)
    print("\n".join(lines))
    if json_path:
        with open(json_path, "w") as file:
            json.dump(whole, file, indent=1)
    if plot_path and record is not None:
        plots.draw_record(record, plot_path)
    elif plot_path:
        plots.draw(runs[0], runs[1], plot_path)
    return STATUS_GOOD if complete and not whole["breaches"] else STATUS_BROKEN


def add_experiment(commands: SubCommands) -> None:
    """Adds `experiment`."""
    about = "play variants over the same seeds, and say what differs"
    command = add_command(commands, "experiment", experiment, about)
    add_file(command)
    add_output_folder(command)
    add_quiet(command)


def add_report(commands: SubCommands) -> None:
    """Adds `report`."""
    about = "tell of an experiment's folder, or of one record"
    command = add_command(commands, "report", report, about)
    command.add_argument("path", metavar="DIR|RECORD")
    command.add_argument("--json", metavar="FILE")
    command.add_argument("--plot", metavar="FILE", help="a PNG")
