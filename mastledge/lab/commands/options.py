"""How a sub-command is added, and the options that several of them have."""

import argparse
from collections.abc import Callable

from mastledge.lab.policies import POLICIES

SubCommands = argparse._SubParsersAction  # what `add_subparsers` returns has no public name


def add_command(
    commands: SubCommands, name: str, carry_out: Callable[[argparse.Namespace], int], about: str
) -> argparse.ArgumentParser:
    """Adds a sub-command without options; `carry_out` gives the status of the process."""
    command = commands.add_parser(name, help=about, description=about)
    command.set_defaults(call=carry_out)
    return command


def add_file(command: argparse.ArgumentParser) -> None:
    """What the command reads."""
    command.add_argument("file", metavar="FILE")


def add_seed(command: argparse.ArgumentParser) -> None:
    """The seed, 1 by default."""
    command.add_argument("--seed", type=int, default=1)


def add_policy(command: argparse.ArgumentParser) -> None:
    """A baseline in place of the program's own selection."""
    command.add_argument("--policy", choices=sorted(POLICIES), default="", help="a baseline")


def add_output_folder(command: argparse.ArgumentParser) -> None:
    """Where all runs are kept, and how many are played at once."""
    command.add_argument("--out", metavar="DIR", required=True, help="what is played is kept there")
    command.add_argument("--jobs", type=int, default=1, help="runs at once")


def add_quiet(command: argparse.ArgumentParser) -> None:
    """No progress."""
    command.add_argument("--quiet", action="store_true", help="only the summary")
