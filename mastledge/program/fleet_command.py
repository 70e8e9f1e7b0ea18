"""`mastledge fleet`: what operators ask of dispatchers that agree, at the second address of any of them."""

import http.client
import os
import sys
import time

import orjson

from mastledge.program.configuration import ConfigurationError, load_configuration
from mastledge.transport.connection import address_of

SECONDS = 3.0


class Refused(Exception):
    """The dispatcher said no, or nothing; the text says why."""


def control(args):
    """The second address: as told, of the environment, or of a configuration."""
    text = args.control or os.environ.get("GW_CONTROL")
    if text:
        try:
            return address_of(text)
        except ValueError as error:
            raise ConfigurationError(f"--control: {error}") from None
    if args.config:
        told = load_configuration(args.config, os.environ)["control"]
        if told:
            return told
    raise ConfigurationError("no second address: give --control, --config or set GW_CONTROL")


def call(args, method, path, body=b"", headers=()):
    """Status, headers and text of one call; Refused where there is no answer."""
    host, port = control(args)
    conn = http.client.HTTPConnection(host, port, timeout=SECONDS)
    try:
        conn.request(method, path, body, dict(headers))
        answer = conn.getresponse()
        return answer.status, answer.headers, answer.read().decode()
    except (OSError, http.client.HTTPException) as error:
        raise Refused(f"{host}:{port} does not answer: {str(error) or type(error).__name__}") from None
    finally:
        conn.close()


def told(args, path):
    status, _, text = call(args, "GET", path)
    if status != 200:
        raise Refused(text.strip())
    return orjson.loads(text)


def changed(args, path, body, headers=()):
    status, fields, text = call(args, "POST", path, body, headers)
    if status not in (200, 202):
        raise Refused(text.strip())
    print(text.strip())
    return 0


def show(args):
    state = told(args, "/api/agreed")
    if args.json:
        print(orjson.dumps(state, option=orjson.OPT_INDENT_2).decode())
        return 0
    force = "in force" if state["in_force"] else "agreed, not in force everywhere yet"
    print(
        f"fleet {state['fleet'] or '-'}, version {state['version']} {force}; term {state['term']}, "
        f"leader {state['leader'] or 'none'}"
    )
    print(
        f"{state['name']}: "
        + (
            f"lease for {state['lease_left_ms']} ms more"
            if state["lease_left_ms"]
            else f"no lease: {state['why']}"
        )
        + ("" if state["disk"] == "good" else "; its disk fails")
    )
    if state.get("fan_out"):
        heard = f"hears from {state['relay']}" if state["relay"] else "hears from the leader"
        print(f"relays of {state['fan_out']}: {heard}, heard by {len(state['heard_by'])}")
    for name, member in sorted(state["members"].items()):
        role = "votes" if member["votes"] else ("follows" if member["life"] else "has not come yet")
        print(f"  {name}  {member['address']}  {role}")
    for what, ids in (
        ("out by hand", state["out"]),
        ("out at this one alone", state["out_here"]),
        ("kept off by the others' lists", state["heard_out"]),
    ):
        if ids:
            print(f"{what}: {', '.join(ids)}")
    return 0


def copies(args):
    if args.count is not None:
        if not args.count.isdecimal():
            raise ConfigurationError(f"no count of copies: {args.count}")
        return changed(args, "/api/copies", orjson.dumps({"count": int(args.count)}))
    state = told(args, "/api/copies")
    if args.json:
        print(orjson.dumps(state, option=orjson.OPT_INDENT_2).decode())
        return 0
    print(
        f"{state['held']} keys held here, {state['claimed']} of them under way; "
        f"{state['copies']} copies of each; {state['bytes']} bytes"
    )
    print(f"owed to others: {state['owed']}; under-copied: {state['under_copied']}")
    if not state.get("takes_part", True):
        print("it takes no part yet: its start is not agreed")
    if state.get("copies_after", state["copies"]) != state["copies"]:
        print(f"there are to be {state['copies_after']} copies of each")
    if state.get("moving_to"):
        left = sorted(set(state["moving_to"]) - set(state["caught_up"]))
        print(f"holders change: {', '.join(left)} still without all copies; {state['taken']} taken here")
    if state["disk"] != "good":
        print("its disk fails: no new key is taken")
    return 0


def recovery(args):
    state = told(args, "/api/recovery")
    if args.json:
        print(orjson.dumps(state, option=orjson.OPT_INDENT_2).decode())
        return 0
    took = ", ".join(f"{step} {ms} ms" for step, ms in state["took_ms"].items())
    waits = f", waits for: {state['waits_for']}" if state["waits_for"] else ""
    print(f"step: {state['step']} for {state['for_ms']} ms{waits}" + (f" ({took})" if took else ""))
    for lesser in state["lesser_service"]:
        print(f"lesser service: {lesser}")
    door = state["door"]
    shut = f"open to {100 * door['share']:.0f}%, because of: {door['why']}"
    print(
        f"door: {'open' if door['open'] else shut}; "
        f"{door['held']} jobs in hand; refused {door['refused_first']} first and "
        f"{door['refused_further']} further tries; closed {door['closed']} times"
    )
    known = state["believed"]
    print(
        f"believed of before: {known['workers']} workers, {known['out']} with launches, "
        f"{known['learned']} learned of, {known['age_ms']} ms old"
    )
    for part, why in known["not"].items():
        print(f"not believed: {part}: {why}")
    if state["kept_off"]:
        print(f"kept off, as the list is older than one before: {', '.join(state['kept_off'])}")
    if state["disk"] != "good":
        print(f"its folder: {state['disk']}")
    return 0


def settings(args):
    status, fields, text = call(args, "GET", "/api/settings")
    if status != 200:
        raise Refused(text.strip())
    if args.file is None:
        print(text.strip())
        return 0
    try:
        with open(args.file, "rb") as file:
            document = orjson.loads(file.read())
    except OSError as error:
        raise ConfigurationError(f"{args.file}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{args.file} is no JSON: {error}") from None
    # A whole configuration is what operators have at hand.
    if isinstance(document, dict) and "settings" in document:
        document = document["settings"]
    return changed(args, "/api/settings", orjson.dumps(document), [("If-Match", fields["ETag"])])


def history(args):
    for one in told(args, "/api/history")["history"]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(one["at"] / 1e6)) if one["at"] else "-"
        print(f"{one['version']:6d}  {at:19s}  {one['by'] or '-':12s}  {one['what']}")
    return 0


def rollback(args):
    document = orjson.dumps(told(args, f"/api/settings/{args.version}"))
    status, fields, text = call(args, "GET", "/api/settings")
    if status != 200:
        raise Refused(text.strip())
    return changed(args, "/api/settings", document, [("If-Match", fields["ETag"])])


def add(args):
    try:
        address_of(args.address)
    except ValueError as error:
        raise ConfigurationError(str(error)) from None
    return changed(
        args, "/api/members", orjson.dumps({"kind": "add", "name": args.name, "address": args.address})
    )


def remove(args):
    return changed(args, "/api/members", orjson.dumps({"kind": "remove", "name": args.name}))


def relays(args):
    """How many hear from one dispatcher; the leader alone takes it."""
    if not args.fan_out.isdecimal():
        raise ConfigurationError(f"no fan-out: {args.fan_out}")
    return changed(args, "/api/relays", orjson.dumps({"fan_out": int(args.fan_out)}))


def snapshot(args):
    """Written beside and renamed, so that a file of this name is a whole one."""
    status, _, text = call(args, "GET", "/api/snapshot")
    if status != 200:
        raise Refused(text.strip())
    place = f"{args.file}.{os.getpid()}"
    try:
        with open(place, "w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(place, args.file)
    except OSError as error:
        raise ConfigurationError(f"{args.file}: {error.strerror}") from None
    print(f"version {orjson.loads(text)['version']} is in {args.file}")
    return 0


def restore(args):
    try:
        with open(args.file, "rb") as file:
            content = file.read()
    except OSError as error:
        raise ConfigurationError(f"{args.file}: {error.strerror}") from None
    return changed(args, "/api/restore", content)


def form(args):
    if not args.accept_loss:
        raise ConfigurationError("fleet form begins anew with what this one dispatcher keeps: --accept-loss")
    return changed(args, "/api/restore", b"accept-loss")


def desert(args):
    return changed(args, "/api/restore", b"desert")


def run(args):
    try:
        return args.below(args)
    except Refused as refused:
        print(f"mastledge: {refused}", file=sys.stderr)
        return 1


def commands(top):
    """The sub-commands below `fleet`."""
    fleet = top.add_parser(
        "fleet",
        help="ask dispatchers that agree, or change what they agree on",
        description="Dispatchers that agree.",
    )
    below = fleet.add_subparsers(dest="asked", required=True, metavar="COMMAND")
    for asked, about, words in (
        (show, "what is agreed and in force", ()),
        (copies, "keys that dispatchers hold for one another; change how many hold each", (("count", "?"),)),
        (recovery, "how far a start is, and what is believed of before", ()),
        (settings, "show the settings, or change them to those of a file", (("file", "?"),)),
        (history, "the last versions", ()),
        (rollback, "the settings of an earlier version again", (("version", None),)),
        (add, "a further dispatcher", (("name", None), ("address", None))),
        (remove, "a dispatcher leaves for good", (("name", None),)),
        (relays, "so many hear from one dispatcher; 0: all from the leader", (("fan_out", None),)),
        (snapshot, "write what is agreed to a file", (("file", None),)),
        (restore, "begin again with a snapshot, after a majority is lost", (("file", None),)),
        (form, "begin again with what this dispatcher keeps, after a majority is lost", ()),
        (desert, "leave a fleet that is no more, to come to the next one as new", ()),
    ):
        command = below.add_parser(asked.__name__, help=about, description=about)
        command.set_defaults(call=run, below=asked)
        for word, many in words:
            command.add_argument(word, metavar=word.upper(), **({"nargs": many} if many else {}))
        command.add_argument(
            "--control",
            metavar="ADDRESS",
            help="second address of any of them " "(default: $GW_CONTROL, else that of --config)",
        )
        command.add_argument(
            "--config",
            default=os.environ.get("GW_CONFIG"),
            metavar="FILE",
            help="configuration file (default: $GW_CONFIG)",
        )
        if asked is form:
            command.add_argument(
                "--accept-loss", action="store_true", help="what only those who are lost knew is gone"
            )
        if asked in (show, copies, recovery):
            command.add_argument("--json", action="store_true", help="all of it")
