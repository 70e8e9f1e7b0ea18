"""`mastledge lab`: runs a scenario and says what was served, what was broken."""

import asyncio
import json
import os
import subprocess
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor

from mastledge.lab import crossing, figures
from mastledge.lab import experiment as experiments
from mastledge.lab.bench import add as add_bench
from mastledge.lab.builds import BUILDS
from mastledge.lab.judge import judged
from mastledge.lab.policies import POLICIES
from mastledge.lab.rig import Rig
from mastledge.lab.scale.command import add as add_scale
from mastledge.lab.scenario import BadScenario, known, read
from mastledge.lab.scenario import check as check_scenario
from mastledge.lab.simulator.simulation import Simulation
from mastledge.lab.simulator.support import check_supported

MOST = 5  # lines a rule


def summary(record):
    """Figures of a run, as text."""
    answers = Counter(event["status"] for event in record["events"] if event["kind"] == "answer")
    lost = sum(event["kind"] == "lost" for event in record["events"])
    times = sorted(
        event["ms"] for event in record["events"] if event["kind"] == "answer" and event["status"] == 200
    )
    told = f"served {answers[200]}, rejected {answers[503]}, killed {answers[500]}, lost {lost}"
    if times:
        told += f"; p50 {times[len(times) // 2]:.0f} ms, p99 {times[len(times) * 99 // 100]:.0f} ms"
    return told + f"; the rig itself was up to {record['lag_ms']:.0f} ms late"


def run(args):
    try:
        scenario = read(args.file)
        for told in args.build:
            who, _, build = told.partition("=")
            names = [f"n{n}" for n in range(scenario.dispatchers)] if who == "all" else [who]
            scenario.builds.update(dict.fromkeys(names, build))
        check_scenario(scenario)
        rig = Rig(scenario, args.seed, args.out, None if args.quiet else lambda text: print(text, flush=True))
    except BadScenario as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    return told_of(scenario.name, args.seed, asyncio.run(rig.run()))


def told_of(name, seed, record, how=""):
    """Says what a run came to; its status."""
    breaches = judged(record)
    print(f"{name}, seed {seed}{how}: {summary(record)}")
    if not record["complete"]:
        print(f"incomplete: {record['why']}")
    broken = [f"{rule}: {line}" for rule, lines in breaches.items() for line in lines]
    for rule, lines in breaches.items():
        for line in lines[:MOST]:
            print(f"broken: {rule}: {line}")
    print(f"{len(broken)} breaches of {len(breaches)} rules")
    return 1 if broken or not record["complete"] else 0


def judge(args):
    with open(args.file) as file:
        breaches = judged(json.load(file))
    for rule, lines in breaches.items():
        print(f"{rule}: {len(lines)}")
        for line in lines[:10]:
            print(f"  {line}")
    return 1 if any(breaches.values()) else 0


def check(args):
    try:
        scenario = read(args.file)
    except BadScenario as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    print(f"{scenario.name}: good; {len(scenario.steps)} steps in {scenario.seconds:g} s")
    return 0


def emulate(args):
    """One run in simulated time, judged as one of processes is."""
    try:
        scenario = read(args.file)
        simulation = Simulation(scenario, args.seed, args.policy, None if args.quiet else print)
    except BadScenario as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    record = simulation.play()
    if args.out:
        os.makedirs(args.out, exist_ok=True)
        with open(os.path.join(args.out, "record.json"), "w") as file:
            json.dump(record, file)
    return told_of(scenario.name, args.seed, record, " (simulated)")


def experiment(args):
    try:
        told = experiments.read(args.file)
    except BadScenario as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    show = None if args.quiet else lambda text: print(text, flush=True)
    try:
        experiments.run(told, args.out, args.jobs, show)
    except KeyboardInterrupt:
        print("cut off; the same call goes on from here", file=sys.stderr)
        return 1
    args.path, args.json, args.plot = args.out, None, None
    return report(args)


def report(args):
    """Status 1 where it is incomplete or a rule was broken."""
    from mastledge.lab import plots, reports

    try:
        record, told = reports.of_path(args.path)
        if record is not None:
            lines, whole = list(reports.record_text(record)), figures.of_record(record)
            good = record["complete"] and not whole["breaches"]
        else:
            whole = reports.report(*told)
            lines, good = list(reports.text(whole)), whole["complete"] and not whole["breaches"]
    except BadScenario as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    print("\n".join(lines))
    if args.json:
        with open(args.json, "w") as file:
            json.dump(whole, file, indent=1)
    if args.plot:
        if record is not None:
            plots.draw_record(record, args.plot)
        else:
            plots.draw(told[0], told[1], args.plot)
    return 0 if good else 1


def suite(args):
    """Each scenario of the package over seeds, some at once: longer than what CI plays."""
    wanted = [name for name in known() if not args.only or args.only in name]
    runs = [(name, seed) for name in wanted for seed in range(args.seed, args.seed + args.seeds)]

    def one(run):
        name, seed = run
        call = [sys.executable, "-B", "-m", "mastledge", "lab", "run", name, "--seed", str(seed), "--quiet"]
        done = subprocess.run(call, capture_output=True, text=True)
        lines = [line for line in done.stdout.splitlines() if line.startswith(("broken", "incomplete"))]
        return name, seed, done.returncode, lines or done.stderr.splitlines()[-1:]

    bad = 0
    with ThreadPoolExecutor(args.jobs) as pool:
        for n, (name, seed, status, lines) in enumerate(pool.map(one, runs), 1):
            bad += status != 0
            if status or not args.quiet:
                told = lines[:3] if status else "good"
                print(f"{n} of {len(runs)}: {name}, seed {seed}: {told}", flush=True)
    print(f"{len(runs) - bad} of {len(runs)} runs without a breach")
    return 1 if bad else 0


def search(args):
    from mastledge.lab import search as searching

    try:
        base = read(args.file)
        check_supported(base)
    except BadScenario as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    show = None if args.quiet else lambda text: print(text, flush=True)
    found = searching.search(base, args.tries, args.seed, args.jobs, args.policy, show)
    for lost, why, genes in found[:5]:
        print(f"{lost:.3f}  {why}; seed {genes['seed']}, load {genes['load']}, {len(genes['steps'])} faults")
    for path in searching.write(base, found, args.out, args.least):
        print(path)
    return 0


def cross(args):
    """Tries orders of two events, or of more; replays scripts by their names."""
    try:
        scripts = [crossing.parsed(place) for place in args.places if "/" in place]
        places = [place for place in args.places if "/" not in place]
        for place in places:
            if place not in crossing.PLACES:
                raise crossing.BadScript(f"unknown place: {place}")
        for name in ("depth", "count", "jobs"):
            if getattr(args, name) < (2 if name == "depth" else 1):
                raise crossing.BadScript(f"--{name} is too small: {getattr(args, name)}")
    except crossing.BadScript as error:
        print(f"mastledge: {error}", file=sys.stderr)
        return 2
    status = 0
    for script in scripts:
        lines = crossing.played(*script)
        status = status or bool(lines)
        print(crossing.named(script[0], script[1], script[2]) + ": " + ("; ".join(lines) or "no rule broken"))
    if scripts and not places:
        return int(status)
    began, total = time.monotonic(), 0
    with ProcessPoolExecutor(args.jobs) as pool:
        told = {}
        for place in places or crossing.PLACES:
            for effect in crossing.EFFECTS:
                how = place, effect, args.depth, args.count, args.seed
                told[place, effect] = pool.submit(crossing.search, *how)
        for (place, effect), future in told.items():
            tried, broken = future.result()
            total += tried
            print(f"{place}, {effect}: {tried} orders, {len(broken)} rules broken")
            for rule, found in broken.items():
                status = 1
                for name, line in found:
                    print(f"  {rule}: {name}: {line}")
    print(f"{total} orders in {time.monotonic() - began:.1f} s")
    return int(status)


def names(args):
    print("\n".join(known()))
    print("experiments: " + ", ".join(experiments.known()))
    return 0


def add(commands):
    """The sub-commands below `lab`."""
    lab = commands.add_parser(
        "lab", help="run scenarios of failures and judge them", description="The laboratory."
    )
    below = lab.add_subparsers(dest="below", required=True, metavar="COMMAND")
    add_bench(below)
    add_scale(below)
    for call, about in (
        (run, "run a scenario: a file, or a name of `lab names`"),
        (check, "read a scenario and say whether it is good"),
        (judge, "judge a record again"),
        (names, "name the scenarios and experiments that come with the package"),
        (emulate, "play a scenario in simulated time"),
        (experiment, "play variants over the same seeds, and say what differs"),
        (report, "tell of an experiment's folder, or of one record"),
        (suite, "run all scenarios of the package over seeds, with processes"),
        (cross, "try orders of two events with the program's own code, peers and time steered"),
        (search, "look for the scenario on which the program does worst (simulated)"),
    ):
        command = below.add_parser(call.__name__, help=about, description=about)
        command.set_defaults(call=call)
        if call is report:
            command.add_argument("path", metavar="DIR|RECORD")
            command.add_argument("--json", metavar="FILE")
            command.add_argument("--plot", metavar="FILE", help="a PNG")
        elif call is suite:
            command.add_argument("--seeds", type=int, default=3, help="so many, from --seed on")
            command.add_argument("--only", metavar="WORD", default="", help="of whose name it is a part")
            command.add_argument("--jobs", type=int, default=2, help="runs at once")
        elif call is cross:
            command.add_argument(
                "places",
                metavar="PLACE|SCRIPT",
                nargs="*",
                help="a script is replayed; none: all of " + ", ".join(crossing.PLACES),
            )
            command.add_argument("--depth", type=int, default=2, help="steps; above 2 drawn by the seed")
            command.add_argument("--count", type=int, default=100, help="of those drawn, a place and effect")
            command.add_argument("--jobs", type=int, default=2, help="processes")
            command.add_argument("--seed", type=int, default=1)
        elif call is not names:
            command.add_argument("file", metavar="FILE")
        if call in (run, emulate, search, suite):
            command.add_argument("--seed", type=int, default=1)
        if call in (emulate, search):
            command.add_argument("--policy", choices=sorted(POLICIES), default="", help="a baseline")
        if call is emulate:
            command.add_argument("--out", metavar="DIR", help="keep the record there")
        if call in (experiment, search):
            command.add_argument("--out", metavar="DIR", required=True, help="what is played is kept there")
            command.add_argument("--jobs", type=int, default=1, help="runs at once")
        if call is search:
            command.add_argument("--tries", type=int, default=200)
            command.add_argument("--least", type=float, default=0.05, help="harm of what is written down")
        if call in (emulate, experiment, search, suite):
            command.add_argument("--quiet", action="store_true", help="only the summary")
        if call is run:
            command.add_argument(
                "--out", metavar="DIR", help="keep configurations, logs and the record there"
            )
            command.add_argument(
                "--build",
                action="append",
                default=[],
                metavar="WHO=BUILD",
                help="another build for one dispatcher, or all: FILE.py:NAME (a function that changes the "
                "program) or " + ", ".join(sorted(BUILDS)),
            )
            command.add_argument("--quiet", action="store_true", help="only the summary")
