"""The command line."""

import argparse
import os
import sys

import orjson

from mastledge import __version__
from mastledge.program.configuration import BadConfiguration, configuration
from mastledge.program.lifecycle import Program
from mastledge.program.logs import Log


def serve(args):
    told = configuration(args.config, os.environ)
    log = Log(sys.stderr.fileno(), told["name"], args.log)
    return Program(told, log, lambda: configuration(args.config, os.environ), os.environ.get("TMPDIR")).run()


def check(args):
    told = configuration(args.config, os.environ)
    print(
        f"{args.config}: good; {len(told['settings']['queue_types'])} queue types, listens on "
        f"{told['listen'][0]}:{told['listen'][1]}"
    )
    return 0


def settings(args):
    told = configuration(args.config, os.environ)
    print(orjson.dumps(told["settings"], option=orjson.OPT_INDENT_2).decode())
    return 0


def version(args):
    print(f"mastledge {__version__}")
    return 0


class Parser(argparse.ArgumentParser):
    """Says in one line what can't be read of a call; status 2."""

    def error(self, message):
        print(f"mastledge: {message}", file=sys.stderr)
        raise SystemExit(2)


def parser(words=()):
    top = Parser(prog="mastledge", description="A dispatcher that pushes jobs to workers.")
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")
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
    if words[:1] == ["fleet"] or words[:1] in ([], ["-h"], ["--help"]):
        from mastledge.program import fleet_command

        fleet_command.commands(commands)
    # The rig, where it is installed: none of it is needed to serve.
    if words[:1] == ["lab"] or words[:1] in ([], ["-h"], ["--help"]):
        try:
            from mastledge.lab.command import add
        except ImportError as error:
            lab = commands.add_parser("lab", help=f"not installed: {error.name}")
            lab.add_argument("rest", nargs=argparse.REMAINDER, help=argparse.SUPPRESS)
            lab.set_defaults(call=lambda args, name=error.name: missing(name))
        else:
            add(commands)
    return top


def missing(name):
    print(f"mastledge: the laboratory needs {name}: pip install -r requirements-lab.txt", file=sys.stderr)
    return 2


def main():
    args = parser(sys.argv[1:]).parse_args()
    if getattr(args, "config", "") is None and args.command != "fleet":
        print("mastledge: no configuration: give --config or set GW_CONFIG", file=sys.stderr)
        return 2
    try:
        return args.call(args)
    except BadConfiguration as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    except ModuleNotFoundError as error:
        if (error.name or "").partition(".")[0] == "mastledge":
            raise
        # Only dispatchers that agree need more than a dispatcher alone.
        print(f"mastledge: peers needs {error.name}: pip install -r requirements-fleet.txt", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"mastledge: cannot serve: {error}", file=sys.stderr)
        return 1
