"""The complete command line: the commands of the program, and `lab` if the laboratory is installed.

This module imports the program and the laboratory; neither of them imports this module.
"""

import argparse
import sys

from mastledge.program import command


def main() -> int:
    """Run the command that the process's arguments name and return its exit status."""
    arguments = sys.argv[1:]
    parser, commands = command.new_parser()
    command.add_commands(commands, arguments)
    if command.needs_command("lab", arguments):
        add_laboratory(commands)
    return command.run(parser.parse_args(arguments))


def add_laboratory(commands) -> None:
    """Add `lab`; if a package that the laboratory needs is missing, add a `lab` that reports this."""
    try:
        from mastledge.lab.command import add  # none of it is needed to serve
    except ImportError as error:
        missing = error.name
        laboratory = commands.add_parser("lab", help=f"not installed: {missing}")
        laboratory.add_argument("rest", nargs=argparse.REMAINDER, help=argparse.SUPPRESS)
        laboratory.set_defaults(call=lambda args: report_missing(missing))
    else:
        add(commands)


def report_missing(package: str) -> int:
    """Report the package that the laboratory needs and return exit status 2."""
    print(f"mastledge: the laboratory needs {package}: pip install -r requirements-lab.txt", file=sys.stderr)
    return 2
