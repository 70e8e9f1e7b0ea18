"""Measurements of the agreement: of processes, and of the decisions alone in simulated time."""

import asyncio
import json
import os
import shutil
import tempfile
import time
import tracemalloc

import msgspec
import numpy

from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.keyed_request import KeyedRequest
from mastledge.lab import outages
from mastledge.lab.judge import judged
from mastledge.lab.rig import LOOK, Rig
from mastledge.lab.scenario import Clients, QueueType, Scenario, Workers
from mastledge.lab.sized_fleets import fleet_at_rest, measure_size
from mastledge.lab.wire import call
from mastledge.replication.persisted_state import PersistedReplica, head_records
from mastledge.replication.placement import heaviest
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.write_ahead_log import WriteAheadLog

VOTERS = 7  # of a fleet with relays
TICK = os.sysconf("SC_CLK_TCK")


def spread(figures):
    """Count and percentiles of milliseconds."""
    some = sorted(figures)
    at = {f"p{p}": round(float(numpy.percentile(some, p)), 1) for p in (50, 90, 99)}
    return {"count": len(some), **at, "most": round(some[-1], 1)}


class Bench(Rig):
    """The rig, played by a measurement instead of by steps."""

    def __init__(self, scenario, seed, play, program=None, disk=None):
        super().__init__(scenario, seed, program=program, disk=disk)
        self.play_this, self.figures = play, {}

    async def play(self):
        self.began = time.monotonic_ns() // 1000
        self.figures = await self.play_this(self)


def measured(scenario, seed, play, program=None, disk=None):
    rig = Bench(scenario, seed, play, program, disk)
    record = asyncio.run(rig.run())
    if not record["complete"]:
        raise SystemExit(f"incomplete: {record['why']}")
    return {**rig.figures, "rig_late_ms": record["lag_ms"]}


async def word(rig, who, n):
    """One change called at one dispatcher: milliseconds, status."""
    began = time.monotonic()
    status, _, _ = await call(rig.nodes[who].control, "POST", f"/api/{('exclude', 'include')[n % 2]}/w0")
    return (time.monotonic() - began) * 1000, status


def calls(count, seed):
    """From a call to in force at all of five processes, no fault."""

    async def play(rig):
        times, statuses = [], []
        for n in range(count):
            ms, status = await word(rig, f"n{n % 5}", n)
            times.append(ms)
            statuses.append(status)
        return {"ms": spread(times), "in_force_at_once": statuses.count(200)}

    return measured(Scenario(name="calls", dispatchers=5, clients=Clients(per_second=0)), seed, play)


def kills(count, seed):
    """From the death of the leader to the next change agreed, asked for at another one again and again."""

    async def play(rig):
        times, left = [], []
        n = 0
        while len(times) < count:
            states = {name: await rig.agreed(node) for name, node in rig.nodes.items()}
            leader = next(
                (name for name, (status, told) in states.items() if status == 200 and told["leads"]), None
            )
            calm = all(
                status == 200 and told["lease_left_ms"] and told["in_force"]
                for status, told in states.values()
            )
            if leader is None or not calm:
                await asyncio.sleep(LOOK)
                continue
            other = next(name for name in rig.nodes if name != leader)
            rig.killed(rig.nodes[leader])
            began = time.monotonic()
            while True:
                status, fields, _ = await call(
                    rig.nodes[other].control, "POST", f"/api/{('exclude', 'include')[n % 2]}/w0"
                )
                if status in (200, 202):
                    break
            times.append((time.monotonic() - began) * 1000)
            left.append(int(fields.get(b"in-force-in-ms", b"0")))
            n += 1
            await rig.back(rig.nodes[leader])
        return {"ms": spread(times), "in_force_later_ms": spread(left)}

    return measured(
        Scenario(name="kills", dispatchers=5, seconds=600, clients=Clients(per_second=0)), seed, play
    )


def outage_run(count, seed, dispatchers, per_second, keys, open_ms=0):
    """Seeded outages: times until the service is back, and what the judge says of all that was seen."""
    scenario = outages.scenario(count, dispatchers, per_second, keys, open_ms)
    rig = Bench(scenario, seed, lambda rig: outages.play(rig, count))
    rig.removed = 0
    record = asyncio.run(rig.run())
    if not record["complete"]:
        raise SystemExit(f"incomplete: {record['why']}")
    breaches = {rule: lines[:5] for rule, lines in judged(record).items() if lines}
    answers = [event["status"] for event in record["events"] if event["kind"] == "answer"]
    counts = {str(status): answers.count(status) for status in sorted(set(answers))}
    times = outages.spread(outages.times(record))
    return {"outages": count, "dispatchers": dispatchers, "answers": counts, **times, "breaches": breaches}


def cpu_of(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def load(agree, per_second, seconds, seed, program=None, repeats=None, dispatchers=3, disk=None, keyed=1.0):
    """CPU of the dispatchers for each job that was answered."""
    scenario = Scenario(
        name="cpu",
        seconds=seconds,
        agree=agree,
        repeats=repeats or {},
        dispatchers=dispatchers,
        workers=Workers(count=6, slots=20, run_ms=(5, 15)),
        clients=Clients(per_second=per_second, retries=0, keyed=keyed, queue_types=[QueueType(name="read")]),
    )

    async def play(rig):
        from mastledge.lab.load import Clients as Load

        clients = Load(rig, scenario.clients, seed, seconds)
        look = asyncio.create_task(clients.front.look())
        await asyncio.sleep(0.3)
        before = {name: cpu_of(node.process.pid) for name, node in rig.nodes.items()}
        await clients.run(time.monotonic_ns() // 1000)
        used = sum(cpu_of(node.process.pid) - before[name] for name, node in rig.nodes.items())
        look.cancel()
        ms = [event["ms"] for event in rig.events if event["kind"] == "answer" and event["status"] == 200]
        return {"ms_a_job": used * 1000 / max(1, len(ms)), "jobs": len(ms), "ms": ms}

    return measured(scenario, seed, play, program, disk)


def synced(folder, count=200):
    """Microseconds that one small write and its sync take there, p50 and p99."""
    times = []
    with tempfile.NamedTemporaryFile(dir=folder) as file:
        for _ in range(count):
            began = time.monotonic_ns()
            os.write(file.fileno(), b"x" * 200)
            os.fdatasync(file.fileno())
            times.append((time.monotonic_ns() - began) / 1000)
    return [round(float(numpy.percentile(times, p))) for p in (50, 99)]


def keyed(kinds, pairs, per_second, seconds, seed, dispatchers, folder):
    """{kind: figures} of jobs with keys, kept as each kind says, in alternating order over the same seeds."""
    figures = {}
    with tempfile.TemporaryDirectory(dir=folder) as disk:
        for n in range(pairs):
            for kind in list(kinds) if n % 2 else list(kinds)[::-1]:
                on_disk, repeats, *rest = kinds[kind]
                if repeats:
                    repeats = {"keep_ms": 60_000, "entries": 200_000, "bytes": 1 << 28, **repeats}
                told = load(
                    dispatchers > 1,
                    per_second,
                    seconds,
                    seed + n,
                    repeats=repeats,
                    dispatchers=dispatchers,
                    disk=os.path.join(disk, f"{kind} {n}") if on_disk else None,
                    keyed=rest[0] if rest else 1.0,
                )
                some = figures.setdefault(kind, {"ms_a_job": [], "ms": []})
                some["ms_a_job"].append(told["ms_a_job"])
                some["ms"] += told["ms"]
        sync = synced(disk)
    out = {"sync_us_p50_p99": sync}
    for kind, some in figures.items():
        at = {f"p{p}": round(float(numpy.percentile(some["ms"], p)), 2) for p in (50, 99, 99.9)}
        ratios = [a / b for a, b in zip(some["ms_a_job"], figures["off"]["ms_a_job"], strict=True)]
        out[kind] = {
            "jobs": len(some["ms"]),
            "ms_a_job": round(float(numpy.median(some["ms_a_job"])), 3),
            "cpu_to_off": [round(one, 3) for one in (min(ratios), float(numpy.median(ratios)), max(ratios))],
            **at,
        }
    return out


def keys(pairs, per_second, seconds, seed, folder=None):
    """One dispatcher: jobs with keys, kept on a disk, kept in memory, and not kept."""
    kinds = {"off": (False, {}), "memory": (False, {"copies": 1}), "disk": (True, {"copies": 1})}
    return keyed(kinds, pairs, per_second, seconds, seed, 1, folder)


def copies(pairs, per_second, seconds, seed, folder=None):
    """Five dispatchers: keys kept by one, three and five of them, on disks that are waited for and not;
    and jobs without a key beside that.
    """
    kinds = {"off": (False, {}), "no key, 3": (True, {"copies": 3}, 0.0)}
    for count in (1, 3, 5):
        kinds[f"{count}"] = True, {"copies": count}
        if count > 1:
            kinds[f"{count}, not synced"] = True, {"copies": count, "sync": False}
    return keyed(kinds, pairs, per_second, seconds, seed, 5, folder)


class Hoard(Bench):
    """Five dispatchers whose folders hold so many keys between them, before they start."""

    def __init__(self, keys, seed, play, answer):
        repeats = {"copies": 3, "keep_ms": 600_000, "entries": 4 * keys, "bytes": 1 << 31}
        scenario = Scenario(
            name="hoard", dispatchers=5, seconds=600, repeats=repeats, clients=Clients(per_second=0)
        )
        super().__init__(scenario, seed, play)
        self.keys, self.answer = keys, answer

    async def build(self):
        await super().build()
        names, until = list(self.nodes), time.time_ns() // 1000 + 600_000_000
        records = {name: head_records(f"id-{name}", 1, 0) for name in names}
        for n in range(self.keys):
            key = b"key-%032d" % n
            for name in heaviest(names, "", key, 3):
                records[name].append(("claim", "", key, b"p" * 16, until, f"{n}.0123456789ab.{name}"))
                records[name].append(("end", "", key, True, 200, self.answer, until))
        self.written = {}
        for name, node in self.nodes.items():
            folder = DataDirectory(os.path.join(node.folder, "repeats")).acquire()
            journal = WriteAheadLog(folder, "copies", {"name": name}, PersistedReplica(time.time_ns)).open()
            journal.rewrite(records[name])
            self.written[name] = journal.size, len(records[name]) // 2
            journal.close()
            folder.release()


def hoard(keys, seed):
    """What so many keys take in memory and on disk, how long they are read at a start, and how long it takes
    until a machine that lost its disk has its copies again.
    """
    answer = b"x" * 60

    async def play(rig):
        async def told(node):
            status, _, text = await call(node.control, "GET", "/api/copies")
            return json.loads(text) if status == 200 else {}

        await rig.until(rig.whole, 60.0, "holders do not come together")
        node = rig.nodes["n1"]
        before = (await told(node))["held"]
        rig.killed(node)
        shutil.rmtree(os.path.join(node.folder, "repeats"))
        began = time.monotonic()
        rig.start(node)
        await rig.until(lambda: rig.ready(node), 30.0, "n1 is not ready")
        ready = time.monotonic() - began

        async def back():
            state = await told(node)
            return state.get("held", 0) >= before and await rig.whole()

        await rig.until(back, 120.0, "n1 does not get its copies")
        whole = time.monotonic() - began
        steps = [(await told(one))["longest_step_us"] / 1000 for one in rig.nodes.values()]
        rig.killed(rig.nodes["n2"])
        began = time.monotonic()
        await rig.back(rig.nodes["n2"])
        bytes_, count = rig.written["n1"]
        return {
            "keys": keys,
            "copies_on_n1": before,
            "bytes_a_copy_on_disk": round(bytes_ / count, 1),
            "s_to_ready_without_its_disk": round(ready, 2),
            "s_to_full_copies": round(whole, 2),
            "longest_step_ms": round(max(steps), 1),
            "s_to_ready_with_its_disk": round(time.monotonic() - began, 2),
        }

    rig = Hoard(keys, seed, play, answer)
    record = asyncio.run(rig.run())
    if not record["complete"]:
        raise SystemExit(f"incomplete: {record['why']}")
    return {**rig.figures, **remembered(keys, answer)}


def remembered(keys, answer):
    """Bytes that a copy takes in memory, and what the table counts for it."""
    tracemalloc.start()
    key_table = KeyTable(600_000_000, 4 * keys, 1 << 31, 0)
    before = tracemalloc.get_traced_memory()[0]
    for n in range(keys):
        fingerprint, claim_name = bytes([n % 256]) * 16, f"{n}.0123456789ab.n1"
        request = KeyedRequest("", b"key-%032d" % n, fingerprint, 1, claim_name)
        _, record = key_table.claim(0, request)
        key_table.complete(0, record, 200, bytes(answer) + b"%06d" % n)
        key_table.take_changes()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "bytes_a_copy_in_memory": round(used / keys, 1),
        "bytes_counted": round(key_table.room.used_bytes / keys, 1),
    }


def cpu(pairs, per_second, seconds, seed, earlier=None):
    """Peers on and off, and an earlier version of the program, in alternating pairs over the same seeds."""
    import sys

    kinds = {"off": (False, None), "on": (True, None)}
    if earlier:
        # Another folder of the program, by its own command line.
        kinds["earlier"] = (
            False,
            [
                sys.executable,
                "-B",
                "-c",
                f"import sys; sys.path.insert(0, {earlier!r}); sys.argv[0] = "
                "'mastledge'; from mastledge.program.command import main; sys.exit(main())",
            ],
        )
    figures = {kind: [] for kind in kinds}
    for n in range(pairs):
        order = list(kinds) if n % 2 else list(kinds)[::-1]
        for kind in order:
            agree, program = kinds[kind]
            figures[kind].append(load(agree, per_second, seconds, seed + n, program)["ms_a_job"])
    out = {kind: {"ms_a_job": round(float(numpy.median(some)), 4)} for kind, some in figures.items()}
    for kind in kinds:
        if kind != "off":
            ratios = [a / b for a, b in zip(figures[kind], figures["off"], strict=True)]
            out[kind] |= {
                "to_off": round(float(numpy.median(ratios)), 4),
                "from": round(min(ratios), 4),
                "up_to": round(max(ratios), 4),
            }
    return out


def size(voters, followers, seed, tries=7):
    """Simulated: messages and bytes a second at rest, time to in force, time to a new leader."""
    fleet = fleet_at_rest(voters, followers, seed)
    leader = fleet.leader()
    sent, bytes_, began = fleet.sent, fleet.bytes, fleet.now
    by_leader = leader.sent
    fleet.run(began + 10_000_000)
    count = len(fleet.nodes)
    out = {
        "voters": len(leader.member.state.voters()),
        "followers": count - len(leader.member.state.voters()),
        "messages_a_second": round((fleet.sent - sent) / 10 / count, 1),
        "bytes_a_second": round((fleet.bytes - bytes_) / 10 / count),
        "leader_messages_a_second": round((leader.sent - by_leader) / 10, 1),
    }
    times, elections = [], []
    for n in range(tries):
        leader, began = fleet.leader(), fleet.now
        last = leader.member.log.last_index
        fleet.propose(
            leader.name, f"c{n}", {"kind": ("out", "back")[n % 2], "worker": "w", "at": 1, "cold_for": 1}
        )
        fleet.run(
            began + 5_000_000, lambda leader=leader, last=last: leader.member.lease.in_force_index > last
        )
        times.append((fleet.now - began) / 1000)
        fleet.run(fleet.now + 1_000_000)
    for _ in range(tries):
        leader, began = fleet.leader(), fleet.now
        leader.crash()
        fleet.run(
            began + 20_000_000,
            lambda: fleet.leader() is not None
            and fleet.leader().member.commit_index >= fleet.leader().member.leadership.first_index,
        )
        elections.append((fleet.now - began) / 1000)
        leader.start()
        fleet.run(fleet.now + 5_000_000)
    return {
        **out,
        "in_force_ms": spread(times)["p50"],
        "in_force_most_ms": spread(times)["most"],
        "new_leader_ms": spread(elections)["p50"],
        "new_leader_most_ms": spread(elections)["most"],
    }


def sizes(seed, plot=None):
    table = [size(voters, followers, seed) for voters in (3, 5, 7) for followers in (20, 60, 200)]
    if plot:
        draw(table, plot)
    return table


def draw(table, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(12, 3.6))
    for voters in sorted({row["voters"] for row in table}):
        rows = [row for row in table if row["voters"] == voters]
        for ax, key, label in zip(
            axes,
            ("leader_messages_a_second", "in_force_ms", "new_leader_ms"),
            ("messages a second of the leader", "ms to in force (median)", "ms to a new leader (median)"),
            strict=True,
        ):
            ax.plot(
                [row["followers"] for row in rows], [row[key] for row in rows], "o-", label=f"{voters} voters"
            )
            ax.set(xlabel="followers", title=label)
            ax.set_ylim(bottom=0)
    axes[0].legend()
    figure.suptitle("Agreement in simulated time")
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def run(args):
    what = {
        "calls": lambda: calls(args.count or 300, args.seed),
        "kills": lambda: kills(args.count or 50, args.seed),
        "cpu": lambda: cpu(args.count or 5, args.per_second, args.seconds, args.seed, args.earlier),
        "keys": lambda: keys(args.count or 3, args.per_second, args.seconds, args.seed, args.disk),
        "copies": lambda: copies(args.count or 3, args.per_second, args.seconds, args.seed, args.disk),
        "hoard": lambda: hoard(args.count or 100_000, args.seed),
        "outages": lambda: outage_run(
            args.count or 100, args.seed, args.dispatchers, args.per_second, args.copies, args.open_ms
        ),
        "sizes": lambda: (
            [measure_size(VOTERS, args.dispatchers, args.fan_out, args.seed)]
            if args.fan_out
            else sizes(args.seed, args.plot)
        ),
    }[args.what]
    told = what()
    if args.json:
        with open(args.json, "wb") as file:
            file.write(msgspec.json.encode(told))
    for row in told if isinstance(told, list) else [told]:
        print(json.dumps(row))
    return 0


def add(below):
    command = below.add_parser("bench", help="measure: calls, kills, cpu (processes), sizes (simulated)")
    kinds = ("calls", "kills", "cpu", "keys", "copies", "hoard", "outages", "sizes")
    command.add_argument("what", choices=kinds)
    command.add_argument("--disk", metavar="DIR", help="where keys and copies are kept (default: $TMPDIR)")
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--count", type=int, help="calls, kills or pairs")
    command.add_argument("--per-second", type=float, default=300)
    command.add_argument("--dispatchers", type=int, default=5, help="outages; sizes with --fan-out")
    command.add_argument("--fan-out", type=int, default=0, help="sizes: of relays, for --dispatchers")
    command.add_argument("--copies", type=int, default=3, help="outages: of each key; 0 keeps none")
    command.add_argument("--open-ms", type=int, default=0, help="outages: starts by steps; 0: without")
    command.add_argument("--seconds", type=float, default=10)
    command.add_argument(
        "--earlier", metavar="DIR", help="cpu: a folder with an earlier version of the program"
    )
    command.add_argument("--json", metavar="FILE")
    command.add_argument("--plot", metavar="FILE")
    command.set_defaults(call=run)
