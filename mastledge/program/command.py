"""The commands of the program itself: serve, check, settings, version, fleet."""

import argparse
import os
import sys

import orjson

from mastledge import __version__
from mastledge.program.configuration import ConfigurationError, load_configuration
from mastledge.program.lifecycle import Program
from mastledge.program.logs import Log


def serve(args) -> int:
    """Runs one dispatcher until SIGTERM."""
    told = load_configuration(args.config, os.environ)
    log = Log(sys.stderr.fileno(), told["name"], args.log)
    return Program(
        told, log, lambda: load_configuration(args.config, os.environ), os.environ.get("TMPDIR")
    ).run()


def check(args) -> int:
    """Reads the configuration and says whether it is good."""
    told = load_configuration(args.config, os.environ)
    print(
        f"{args.config}: good; {len(told['settings']['queue_types'])} queue types, listens on "
        f"{told['listen'][0]}:{told['listen'][1]}"
    )
    return 0


def settings(args) -> int:
    """Shows the settings as the decisions are handed them."""
    told = load_configuration(args.config, os.environ)
    print(orjson.dumps(told["settings"], option=orjson.OPT_INDENT_2).decode())
    return 0


def version(args) -> int:
    """Shows the version."""
    print(f"mastledge {__version__}")
    return 0


class Parser(argparse.ArgumentParser):
    """Says in one line what can't be read of a call; status 2."""

    def error(self, message):
        """Ends the process with the message of argparse."""
        print(f"mastledge: {message}", file=sys.stderr)
        raise SystemExit(2)


def new_parser():
    """A parser without commands, and argparse's object to which commands are added."""
    parser = Parser(prog="mastledge", description="A dispatcher that pushes jobs to workers.")
    return parser, parser.add_subparsers(dest="command", required=True, metavar="COMMAND")


def offers(command: str, arguments: list[str]) -> bool:
    """Whether the arguments need a command that is costly to import: they name it, or ask for help."""
    return arguments[:1] in ([command], [], ["-h"], ["--help"])


def add_commands(commands, arguments: list[str]) -> None:
    """Adds the commands of the program; those on a fleet only where the arguments need them."""
    for call, about in (
        (serve, "run one dispatcher until SIGTERM"),
        (check, "read the configuration and say whether it is good"),
        (settings, "show the settings as the decisions are handed them"),
        (version, "show the version"),
    ):
        command = commands.add_parser(call.__name__, help=about, description=about)
        command.set_defaults(call=call)
        if call is not version:
            command.add_argument(
                "--config",
                default=os.environ.get("GW_CONFIG"),
                metavar="FILE",
                help="configuration file (default: $GW_CONFIG)",
            )
        if call is serve:
            command.add_argument(
                "--log",
                choices=("info", "brief"),
                default="info",
                help="brief leaves out the lines of single jobs and launches",
            )
    if offers("fleet", arguments):
        from mastledge.program import fleet_command

        fleet_command.add_commands(commands)


def run(args) -> int:
    """Runs a parsed command; its exit status, with one line on stderr where it cannot be run."""
    if getattr(args, "config", "") is None and args.command != "fleet":
        return fail("no configuration: give --config or set GW_CONFIG", 2)
    try:
        return args.call(args)
    except ConfigurationError as error:
        return fail(str(error), 2)
    except ModuleNotFoundError as error:
        if (error.name or "").partition(".")[0] == "mastledge":
            raise
        # Only dispatchers that agree need more than a dispatcher alone.
        return fail(f"peers needs {error.name}: pip install -r requirements-fleet.txt", 2)
    except OSError as error:
        return fail(f"cannot serve: {error}", 1)


def fail(why: str, status: int) -> int:
    """Says on stderr why a command cannot be run; the status."""
    print(f"mastledge: {why}", file=sys.stderr)
    return status


def main() -> int:
    """Runs a command of the program alone, without the laboratory; its exit status."""
    arguments = sys.argv[1:]
    parser, commands = new_parser()
    add_commands(commands, arguments)
    return run(parser.parse_args(arguments))
