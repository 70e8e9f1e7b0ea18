"""`mastledge fleet`: the operators' commands for a fleet, sent to the control address of any dispatcher.

Each command returns the lines to print. It raises `CallError` if the dispatcher refuses or does not answer
(exit status 1), and `ConfigurationError` if the arguments are invalid (exit status 2).
"""

import os
import sys
from argparse import ArgumentParser, Namespace, _SubParsersAction
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any

import orjson

from mastledge.program import fleet_reports
from mastledge.program.configuration import ConfigurationError
from mastledge.program.operator_client import CallError, OperatorClient, control_address
from mastledge.transport.connection import address_of

OPTIONAL = "?"  # argparse: zero or one
ACCEPT_LOSS, ABANDON = b"accept-loss", b"desert"  # request bodies of /api/restore


def show(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Show what is agreed and in force."""
    return report(arguments, client.get_json("/api/agreed"), fleet_reports.fleet_report)


def copies(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Show the replicated keys, or change the replica count."""
    if arguments.count is None:
        return report(arguments, client.get_json("/api/copies"), fleet_reports.copies_report)
    if not arguments.count.isdecimal():
        raise ConfigurationError(f"the count of copies is not a whole number: {arguments.count}")
    return [client.post("/api/copies", orjson.dumps({"count": int(arguments.count)}))]


def recovery(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Show the progress of a start."""
    return report(arguments, client.get_json("/api/recovery"), fleet_reports.recovery_report)


def settings(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Show the settings, or replace them by those in a file."""
    current = client.get("/api/settings")
    if arguments.file is None:
        return [current.text.strip()]
    document = settings_document(arguments.file)
    return [client.post("/api/settings", orjson.dumps(document), [("If-Match", current.headers["ETag"])])]


def history(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Show the latest versions."""
    return fleet_reports.history_report(client.get_json("/api/history"))


def rollback(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Restore the settings of an earlier version, as a new version."""
    document = orjson.dumps(client.get_json(f"/api/settings/{arguments.version}"))
    current = client.get("/api/settings")
    return [client.post("/api/settings", document, [("If-Match", current.headers["ETag"])])]


def add(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Add a dispatcher to the fleet."""
    try:
        address_of(arguments.address)
    except ValueError as error:
        raise ConfigurationError(str(error)) from None
    change = {"kind": "add", "name": arguments.name, "address": arguments.address}
    return [client.post("/api/members", orjson.dumps(change))]


def remove(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Remove a dispatcher from the fleet."""
    return [client.post("/api/members", orjson.dumps({"kind": "remove", "name": arguments.name}))]


def relays(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Set the fan-out of the relays; only the leader accepts it."""
    if not arguments.fan_out.isdecimal():
        raise ConfigurationError(f"the fan-out is not a whole number: {arguments.fan_out}")
    return [client.post("/api/relays", orjson.dumps({"fan_out": int(arguments.fan_out)}))]


def snapshot(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Write a fleet snapshot to a file."""
    text = client.get("/api/snapshot").text
    replace_file(arguments.file, text)
    return [f"version {orjson.loads(text)['version']} is in {arguments.file}"]


def restore(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Start a new fleet from a fleet snapshot."""
    return [client.post("/api/restore", read_file(arguments.file))]


def form(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Start a new fleet from the state that one dispatcher keeps."""
    if not arguments.accept_loss:
        raise ConfigurationError(
            "fleet form keeps only the state of this dispatcher: confirm with --accept-loss"
        )
    return [client.post("/api/restore", ACCEPT_LOSS)]


def desert(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Have a dispatcher abandon a lost fleet."""
    return [client.post("/api/restore", ABANDON)]


def report(
    arguments: Namespace, document: dict[str, Any], lines: Callable[[dict[str, Any]], Iterator[str]]
) -> Iterable[str]:
    """Return a document as lines of text, or as JSON with --json."""
    if arguments.json:
        return [orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()]
    return lines(document)


def read_file(path: str) -> bytes:
    """Return the content of a file; raise `ConfigurationError` if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None


def settings_document(path: str) -> Any:
    """Return the settings in a file, which may hold them alone or a whole configuration."""
    try:
        document = orjson.loads(read_file(path))
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{path} is not valid JSON: {error}") from None
    if isinstance(document, dict) and "settings" in document:
        return document["settings"]
    return document


def replace_file(path: str, text: str) -> None:
    """Write a temporary file and rename it, so that the file is never partly written."""
    temporary_path = f"{path}.{os.getpid()}"
    try:
        with open(temporary_path, "w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, path)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None


@dataclass(frozen=True, slots=True)
class Argument:
    """A positional argument of a command."""

    name: str
    nargs: str | None = None


@dataclass(frozen=True, slots=True)
class Command:
    """A subcommand of `fleet`; its name is that of its function."""

    call: Callable[[OperatorClient, Namespace], Iterable[str]]
    help: str
    arguments: tuple[Argument, ...] = ()

    @property
    def name(self) -> str:
        """The name of the command on the command line."""
        return self.call.__name__


COMMANDS = (
    Command(show, "show what is agreed and in force"),
    Command(
        copies,
        "show the replicated keys, or change the number of copies of each",
        (Argument("count", OPTIONAL),),
    ),
    Command(recovery, "show the progress of a start, and the state that it has restored"),
    Command(settings, "show the settings, or replace them by those in a file", (Argument("file", OPTIONAL),)),
    Command(history, "show the latest versions"),
    Command(rollback, "restore the settings of an earlier version", (Argument("version"),)),
    Command(add, "add a dispatcher to the fleet", (Argument("name"), Argument("address"))),
    Command(remove, "remove a dispatcher from the fleet", (Argument("name"),)),
    Command(
        relays,
        "set how many others each dispatcher sends to; 0: the leader sends to all",
        (Argument("fan_out"),),
    ),
    Command(snapshot, "write a fleet snapshot to a file", (Argument("file"),)),
    Command(restore, "start a new fleet from a snapshot, after the loss of a majority", (Argument("file"),)),
    Command(form, "start a new fleet from the state of this dispatcher, after the loss of a majority"),
    Command(desert, "abandon a lost fleet, to join the next one as a new member"),
)
COMMANDS_WITH_JSON = (show, copies, recovery)


def run(arguments: Namespace) -> int:
    """Run the parsed command and return the exit status."""
    client = OperatorClient(partial(control_address, arguments))
    try:
        for line in arguments.fleet_command.call(client, arguments):
            print(line)
    except CallError as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 1
    return 0


def add_commands(commands: "_SubParsersAction[ArgumentParser]") -> None:
    """Add `fleet` and its subcommands to the commands of the program."""
    fleet = commands.add_parser(
        "fleet",
        help="show or change what the dispatchers of a fleet agree on",
        description="Show or change what the dispatchers of a fleet agree on.",
    )
    subcommands = fleet.add_subparsers(dest="asked", required=True, metavar="COMMAND")
    for command in COMMANDS:
        parser = subcommands.add_parser(command.name, help=command.help, description=command.help)
        parser.set_defaults(call=run, fleet_command=command)
        add_arguments(parser, command)


def add_arguments(parser: ArgumentParser, command: Command) -> None:
    """Add the arguments and options of a command to its parser."""
    for argument in command.arguments:
        parser.add_argument(argument.name, metavar=argument.name.upper(), nargs=argument.nargs)
    parser.add_argument(
        "--control",
        metavar="ADDRESS",
        help="control address of any dispatcher of the fleet (default: $GW_CONTROL, or the one in --config)",
    )
    parser.add_argument(
        "--config",
        default=os.environ.get("GW_CONFIG"),
        metavar="FILE",
        help="configuration file (default: $GW_CONFIG)",
    )
    if command.call is form:
        parser.add_argument(
            "--accept-loss",
            action="store_true",
            help="accept the loss of all state that only the lost dispatchers had",
        )
    if command.call in COMMANDS_WITH_JSON:
        parser.add_argument("--json", action="store_true", help="print the whole document as JSON")
