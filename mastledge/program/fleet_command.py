"""`mastledge fleet`: what operators ask of dispatchers that agree, at the second address of any of them.

Each command gives the lines that it prints. It raises `CallError` where the dispatcher refuses or does not
answer (status 1), and `ConfigurationError` where the call itself is bad (status 2).
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

OPTIONAL = "?"  # of argparse
ACCEPT_LOSS, ABANDON = b"accept-loss", b"desert"  # bodies of /api/restore


def show(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """What is agreed and in force."""
    return report(arguments, client.get_json("/api/agreed"), fleet_reports.fleet_report)


def copies(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Show the keys that dispatchers hold for one another, or change how many hold each."""
    if arguments.count is None:
        return report(arguments, client.get_json("/api/copies"), fleet_reports.copies_report)
    if not arguments.count.isdecimal():
        raise ConfigurationError(f"no count of copies: {arguments.count}")
    return [client.post("/api/copies", orjson.dumps({"count": int(arguments.count)}))]


def recovery(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """How far a start is."""
    return report(arguments, client.get_json("/api/recovery"), fleet_reports.recovery_report)


def settings(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Show the settings, or change them to those of a file."""
    current = client.get("/api/settings")
    if arguments.file is None:
        return [current.text.strip()]
    document = settings_document(arguments.file)
    return [client.post("/api/settings", orjson.dumps(document), [("If-Match", current.headers["ETag"])])]


def history(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """The last versions."""
    return fleet_reports.history_report(client.get_json("/api/history"))


def rollback(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """The settings of an earlier version again, as a new version."""
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
    """Set how many hear from one dispatcher; the leader alone takes it."""
    if not arguments.fan_out.isdecimal():
        raise ConfigurationError(f"no fan-out: {arguments.fan_out}")
    return [client.post("/api/relays", orjson.dumps({"fan_out": int(arguments.fan_out)}))]


def snapshot(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Write what is agreed to a file."""
    text = client.get("/api/snapshot").text
    replace_file(arguments.file, text)
    return [f"version {orjson.loads(text)['version']} is in {arguments.file}"]


def restore(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Begin a fleet with a snapshot."""
    return [client.post("/api/restore", read_file(arguments.file))]


def form(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Begin a fleet with what one dispatcher keeps."""
    if not arguments.accept_loss:
        raise ConfigurationError("fleet form begins anew with what this one dispatcher keeps: --accept-loss")
    return [client.post("/api/restore", ACCEPT_LOSS)]


def desert(client: OperatorClient, arguments: Namespace) -> Iterable[str]:
    """Have a dispatcher abandon a fleet that is no more."""
    return [client.post("/api/restore", ABANDON)]


def report(
    arguments: Namespace, document: dict[str, Any], lines: Callable[[dict[str, Any]], Iterator[str]]
) -> Iterable[str]:
    """A document in lines for people, or whole where --json asks for that."""
    if arguments.json:
        return [orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()]
    return lines(document)


def read_file(path: str) -> bytes:
    """The content of a file that the operator has named."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None


def settings_document(path: str) -> Any:
    """The settings in a file, which may be a whole configuration: that is what operators have at hand."""
    try:
        document = orjson.loads(read_file(path))
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{path} is no JSON: {error}") from None
    if isinstance(document, dict) and "settings" in document:
        return document["settings"]
    return document


def replace_file(path: str, text: str) -> None:
    """Write a file beside and rename it, so that a file of this name is a whole one."""
    replacement = f"{path}.{os.getpid()}"
    try:
        with open(replacement, "w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(replacement, path)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None


@dataclass(frozen=True, slots=True)
class Argument:
    """A positional argument of a command."""

    name: str
    nargs: str | None = None


@dataclass(frozen=True, slots=True)
class Command:
    """A command below `fleet`; its name is that of its function."""

    call: Callable[[OperatorClient, Namespace], Iterable[str]]
    help: str
    arguments: tuple[Argument, ...] = ()

    @property
    def name(self) -> str:
        """The word on the command line."""
        return self.call.__name__


COMMANDS = (
    Command(show, "what is agreed and in force"),
    Command(
        copies,
        "keys that dispatchers hold for one another; change how many hold each",
        (Argument("count", OPTIONAL),),
    ),
    Command(recovery, "how far a start is, and what is believed of before"),
    Command(settings, "show the settings, or change them to those of a file", (Argument("file", OPTIONAL),)),
    Command(history, "the last versions"),
    Command(rollback, "the settings of an earlier version again", (Argument("version"),)),
    Command(add, "a further dispatcher", (Argument("name"), Argument("address"))),
    Command(remove, "a dispatcher leaves for good", (Argument("name"),)),
    Command(relays, "so many hear from one dispatcher; 0: all from the leader", (Argument("fan_out"),)),
    Command(snapshot, "write what is agreed to a file", (Argument("file"),)),
    Command(restore, "begin again with a snapshot, after a majority is lost", (Argument("file"),)),
    Command(form, "begin again with what this dispatcher keeps, after a majority is lost"),
    Command(desert, "leave a fleet that is no more, to come to the next one as new"),
)
WITH_JSON = (show, copies, recovery)


def run(arguments: Namespace) -> int:
    """Runs the command that was parsed; gives the exit status."""
    client = OperatorClient(partial(control_address, arguments))
    try:
        for line in arguments.fleet_command.call(client, arguments):
            print(line)
    except CallError as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 1
    return 0


def add_commands(commands: "_SubParsersAction[ArgumentParser]") -> None:
    """Adds `fleet` and the commands below it to the program's own."""
    fleet = commands.add_parser(
        "fleet",
        help="ask dispatchers that agree, or change what they agree on",
        description="Dispatchers that agree.",
    )
    below = fleet.add_subparsers(dest="asked", required=True, metavar="COMMAND")
    for command in COMMANDS:
        parser = below.add_parser(command.name, help=command.help, description=command.help)
        parser.set_defaults(call=run, fleet_command=command)
        add_arguments(parser, command)


def add_arguments(parser: ArgumentParser, command: Command) -> None:
    """Adds the arguments and options of one command."""
    for argument in command.arguments:
        parser.add_argument(argument.name, metavar=argument.name.upper(), nargs=argument.nargs)
    parser.add_argument(
        "--control",
        metavar="ADDRESS",
        help="second address of any of them (default: $GW_CONTROL, else that of --config)",
    )
    parser.add_argument(
        "--config",
        default=os.environ.get("GW_CONFIG"),
        metavar="FILE",
        help="configuration file (default: $GW_CONFIG)",
    )
    if command.call is form:
        parser.add_argument(
            "--accept-loss", action="store_true", help="what only those who are lost knew is gone"
        )
    if command.call in WITH_JSON:
        parser.add_argument("--json", action="store_true", help="all of it")
