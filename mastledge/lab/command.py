"""`mastledge lab`: the sub-commands of the laboratory."""

from mastledge.lab.bench.command import add as add_bench
from mastledge.lab.commands.experiments import add_experiment, add_report
from mastledge.lab.commands.interleavings import add_cross
from mastledge.lab.commands.options import SubCommands
from mastledge.lab.commands.scenarios import add_check, add_judge, add_names, add_run
from mastledge.lab.commands.simulations import add_emulate, add_search
from mastledge.lab.commands.suite import add_suite
from mastledge.lab.scale.command import add as add_scale
from mastledge.lab.soak.command import add_soak

ADDED_IN_ORDER = (
    add_bench,
    add_scale,
    add_run,
    add_check,
    add_judge,
    add_names,
    add_emulate,
    add_experiment,
    add_report,
    add_suite,
    add_soak,
    add_cross,
    add_search,
)


def add(commands: SubCommands) -> None:
    """Adds `lab` and the sub-commands below it."""
    lab = commands.add_parser(
        "lab", help="run scenarios of failures and judge them", description="The laboratory."
    )
    below = lab.add_subparsers(dest="below", required=True, metavar="COMMAND")
    for add_command in ADDED_IN_ORDER:
        add_command(below)
