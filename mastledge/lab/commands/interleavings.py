"""`mastledge lab cross`: tries orders of two events, or of more; replays scripts by their names."""

import argparse
import time
from concurrent.futures import ProcessPoolExecutor

from mastledge.lab.commands.options import SubCommands, add_command
from mastledge.lab.commands.output import bad_call
from mastledge.lab.interleaving.places import PLACES
from mastledge.lab.interleaving.program_settings import EFFECTS
from mastledge.lab.interleaving.scripts import Script, ScriptError, check_place, parse_script
from mastledge.lab.interleaving.search import play, search_place

MIN_OPTIONS = {"depth": 2, "count": 1, "jobs": 1}


def check_call(args: argparse.Namespace, places: list[str]) -> None:
    """Raises ScriptError where a place is unknown or an option too small."""
    for place in places:
        check_place(place)
    for name, least in MIN_OPTIONS.items():
        if getattr(args, name) < least:
            raise ScriptError(f"--{name} is too small: {getattr(args, name)}")


def cross(args: argparse.Namespace) -> int:
    """Replays the scripts, then searches the places: all of them where neither is named.

    Status 1 where a rule was broken.
    """
    try:
        scripts = [parse_script(place) for place in args.places if "/" in place]
        places = [place for place in args.places if "/" not in place]
        check_call(args, places)
    except ScriptError as error:
        return bad_call(error)
    broken = replay(scripts)
    if places or not scripts:
        broken = search_places(args, places or list(PLACES)) or broken
    return int(broken)


def replay(scripts: list[Script]) -> bool:
    """Plays each script; whether one broke a rule."""
    broken = False
    for script in scripts:
        lines = play(script)
        broken = broken or bool(lines)
        print(f"{script}: " + ("; ".join(lines) or "no rule broken"))
    return broken


def search_places(args: argparse.Namespace, places: list[str]) -> bool:
    """Tries orders at each place with each effect, some at once; whether one broke a rule."""
    began, total, any_broken = time.monotonic(), 0, False
    with ProcessPoolExecutor(args.jobs) as pool:
        searches = {
            (place, effect): pool.submit(search_place, place, effect, args.depth, args.count, args.seed)
            for place in places
            for effect in EFFECTS
        }
        for (place, effect), future in searches.items():
            result = future.result()
            total += result.orders
            any_broken = any_broken or bool(result.findings)
            print(f"{place}, {effect}: {result.orders} orders, {len(result.findings)} rules broken")
            for rule, findings in result.findings.items():
                for finding in findings:
                    print(f"  {rule}: {finding.script}: {finding.line}")
    print(f"{total} orders in {time.monotonic() - began:.1f} s")
    return any_broken


def add_cross(commands: SubCommands) -> None:
    """Adds `cross`."""
    about = "try orders of two events with the program's own code, peers and time steered"
    command = add_command(commands, "cross", cross, about)
    command.add_argument(
        "places",
        metavar="PLACE|SCRIPT",
        nargs="*",
        help="a script is replayed; none: all of " + ", ".join(PLACES),
    )
    command.add_argument("--depth", type=int, default=2, help="steps; above 2 drawn by the seed")
    command.add_argument("--count", type=int, default=100, help="of those drawn, a place and effect")
    command.add_argument("--jobs", type=int, default=2, help="processes")
    command.add_argument("--seed", type=int, default=1)
