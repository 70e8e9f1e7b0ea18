"""The commands of the program: serve, check, settings, version and fleet."""

import argparse
import os
import sys

import orjson

from mastledge import __version__
from mastledge.program.configuration import ConfigurationError, load_configuration
from mastledge.program.dispatcher import Dispatcher
from mastledge.program.logs import Log


def serve(args) -> int:
    """Run one dispatcher until SIGTERM and return its exit status."""
    configuration = load_configuration(args.config, os.environ)
    log = Log(sys.stderr.fileno(), configuration["name"], args.log)
    return Dispatcher(
        configuration, log, lambda: load_configuration(args.config, os.environ), os.environ.get("TMPDIR")
    ).run()


def check(args) -> int:
    """Load the configuration and report whether it is valid."""
    configuration = load_configuration(args.config, os.environ)
    print(
        f"{args.config}: good; {len(configuration['settings']['queue_types'])} queue types, listens on "
        f"{configuration['listen'][0]}:{configuration['listen'][1]}"
    )
    return 0


def settings(args) -> int:
    """Print the settings as the scheduler receives them."""
    configuration = load_configuration(args.config, os.environ)
    print(orjson.dumps(configuration["settings"], option=orjson.OPT_INDENT_2).decode())
    return 0


def version(args) -> int:
    """Print the version."""
    print(f"mastledge {__version__}")
    return 0


class Parser(argparse.ArgumentParser):
    """Reports an invalid command line in one line, with exit status 2."""

    def error(self, message):
        """Print argparse's message to stderr and exit with status 2."""
        print(f"mastledge: {message}", file=sys.stderr)
        raise SystemExit(2)


def new_parser():
    """Return a parser without commands, and the argparse object to which commands are added."""
    parser = Parser(prog="mastledge", description="A dispatcher that pushes jobs to workers.")
    return parser, parser.add_subparsers(dest="command", required=True, metavar="COMMAND")


def needs_command(command: str, arguments: list[str]) -> bool:
    """Return whether a command that is costly to import is needed: the arguments name it or ask for help."""
    return arguments[:1] in ([command], [], ["-h"], ["--help"])


def add_commands(commands, arguments: list[str]) -> None:
    """Add the commands of the program; the fleet commands only if the arguments need them."""
    for call, description in (
        (serve, "run one dispatcher until SIGTERM"),
        (check, "load the configuration and report whether it is valid"),
        (settings, "print the settings as the scheduler receives them"),
        (version, "print the version"),
    ):
        command = commands.add_parser(call.__name__, help=description, description=description)
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
                help="brief omits the events of single jobs and launches",
            )
    if needs_command("fleet", arguments):
        from mastledge.program import fleet_command

        fleet_command.add_commands(commands)


def run(args) -> int:
    """Run a parsed command and return its exit status; print one line to stderr if it cannot run."""
    if getattr(args, "config", "") is None and args.command != "fleet":
        return fail("no configuration: give --config or set GW_CONFIG", 2)
    try:
        return args.call(args)
    except ConfigurationError as error:
        return fail(str(error), 2)
    except ModuleNotFoundError as error:
        if (error.name or "").partition(".")[0] == "mastledge":
            raise
        # Only a dispatcher in a fleet needs further packages.
        return fail(f"peers needs {error.name}: pip install -r requirements-fleet.txt", 2)
    except OSError as error:
        return fail(f"cannot serve: {error}", 1)


def fail(reason: str, status: int) -> int:
    """Print to stderr why a command cannot run and return the exit status."""
    print(f"mastledge: {reason}", file=sys.stderr)
    return status


def main() -> int:
    """Run a command of the program, without the laboratory, and return its exit status."""
    arguments = sys.argv[1:]
    parser, commands = new_parser()
    add_commands(commands, arguments)
    return run(parser.parse_args(arguments))
