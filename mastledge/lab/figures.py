"""What a run came to, as figures: of processes and of simulated time alike, from the record alone."""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

from mastledge.lab.invariant_checker import judged
from mastledge.lab.invariants.record_queries import calm_since, first_tries, of, out_at_once

WITHIN = 2_000_000  # in which a first try counts as served
SPAN = 500_000  # in which the service is looked at
LONGEST = 600_000_000  # of a time that is put down
LATE = 50.0  # milliseconds that the rig may be late before the machine is the limit

# name: (what it is, True where more is better)
FIGURES = {
    "served": ("share of clients served within 2 s of their first try", True),
    "served_after": ("the same, of those that come after the last fault", True),
    "s_to_95": ("seconds from the end of the last fault until 95% of first tries are served", False),
    "s_to_99": ("the same for 99%", False),
    "s_to_ready": ("seconds from the start of a process until the front sees it ready, the longest", False),
    "s_to_first": ("the same until it has served its first job", False),
    "p50_ms": ("from the first try to the answer that served it", False),
    "p99_ms": ("", False),
    "p999_ms": ("", False),
    "rejected": ("rejections a client", False),
    "tries": ("tries a client", False),
    "wasted": ("share of the work done whose client was not served by it", False),
    "killed": ("share of clients told that nothing is promised", False),
    "most_out": ("most launches at once at a worker, by its slots", False),
    "most_out_after": ("the same after the last fault", False),
    "launch_peak": ("most launches in a second after the last fault, to the mean before the first", False),
    "list_calls": ("calls of discovery in the busiest second, by dispatchers", False),
    "breaches": ("broken rules", False),
}


def histogram(times):
    """Of microseconds, to three digits."""
    out = HdrHistogram(1, LONGEST, 3)
    for time in times:
        out.record_value(max(1, min(LONGEST, int(time))))
    return out


def back(tries, since, share):
    """Seconds from `since` until that share of the first tries of half a second are served; None: never."""
    late = [(at, end) for at, end in tries if at >= since]
    for n, (at, _) in enumerate(late):
        some = []
        for other, end in late[n:]:
            if other >= at + SPAN:
                break
            some.append(end <= other + WITHIN)
        if late[-1][0] < at + SPAN:
            return None
        if sum(some) >= share * len(some):
            return (at - since) / 1e6
    return None


def after_starts(record, good):
    """The longest wait from the start of a process, after the load began, for an event of its dispatcher that
    is `good`; None where there was no start, or nothing came of one before the next.
    """
    began = next((event["at"] for event in of(record, "began")), 0)
    starts = defaultdict(list)
    for event in of(record, "started"):
        if event["at"] > began:
            starts[event["who"]].append(event["at"])
    waits, some = [], [event for event in record["events"] if good(event)]
    for who, ats in starts.items():
        for at, until in zip(ats, [*ats[1:], float("inf")], strict=True):
            first = next((e["at"] for e in some if e["who"] == who and at <= e["at"] < until), None)
            if first is not None:
                waits.append(first - at)
    return max(waits) / 1e6 if waits else None


def busiest(times):
    """Most events in any second that begins with one of them."""
    most, first = 0, 0
    for n, at in enumerate(times):
        while times[first] < at - 1_000_000:
            first += 1
        most = max(most, n - first + 1)
    return most


def of_record(record):
    """{name: figure} of FIGURES; None where it doesn't apply."""
    tries = first_tries(record)
    if not tries:
        return {name: None for name in FIGURES}
    since = calm_since(record)
    began = min((spell["from"] for spell in record["spells"]), default=0)
    good = [end <= at + WITHIN for at, end in tries]
    after = [end <= at + WITHIN for at, end in tries if since and at >= since]
    times = histogram(end - at for at, end in tries if end != float("inf"))
    clients = len(tries)
    status = Counter(event["status"] for event in of(record, "answer"))
    served = {event["job"] for event in of(record, "answer") if event["status"] == 200}
    done = Counter(event["job"] for event in of(record, "effect"))
    useful = sum(1 for job in done if job in served)
    effects = sum(done.values())
    most = out_at_once(record)
    launches = [event["at"] for event in of(record, "launch")]
    before = [at for at in launches if began and at < began]
    late = [at for at in launches if since and at >= since]
    rate = len(before) / max(1e-9, (before[-1] - before[0]) / 1e6) if len(before) > 20 else 0
    calls = [event["at"] for event in of(record, "list_call")]
    names = {event["who"] for event in of(record, "told")}
    slots = record["cold"]["slots"]
    then = out_after(record, since) if since else {}
    return {
        "served": sum(good) / clients,
        "served_after": sum(after) / len(after) if after else None,
        "s_to_95": back(tries, since, 0.95) if since else None,
        "s_to_99": back(tries, since, 0.99) if since else None,
        "s_to_ready": after_starts(record, lambda event: event["kind"] == "ready" and event["yes"]),
        "s_to_first": after_starts(record, lambda e: e["kind"] == "answer" and e["status"] == 200),
        "p50_ms": times.get_value_at_percentile(50) / 1000,
        "p99_ms": times.get_value_at_percentile(99) / 1000,
        "p999_ms": times.get_value_at_percentile(99.9) / 1000,
        "rejected": (status[503] + status[429]) / clients,
        "tries": len(of(record, "sent")) / clients,
        "wasted": 1 - useful / effects if effects else None,
        "killed": status[500] / clients,
        "most_out": max((n for n, _ in most.values()), default=0) / slots,
        "most_out_after": max(then.values(), default=0) / slots if since else None,
        "launch_peak": busiest(late) / rate if rate and late else None,
        "list_calls": busiest(calls) / max(1, len(names)) if calls else None,
        "breaches": sum(map(len, judged(record).values())),
    }


def out_after(record, since):
    """{worker: most launches there at once} from a time on."""
    out, most = defaultdict(int), defaultdict(int)
    for event in of(record, "launch", "effect", "dropped", "reborn"):
        worker = event["worker"]
        if event["kind"] == "reborn":
            out[worker] = 0
        else:
            out[worker] = max(0, out[worker] + (1 if event["kind"] == "launch" else -1))
        if event["at"] >= since:
            most[worker] = max(most[worker], out[worker])
    return most


def limited(record):
    """Why the machine and not the program was the limit of this run, "" where it was not."""
    if record.get("simulated"):
        return ""
    if record["lag_ms"] > LATE:
        return f"the rig was up to {record['lag_ms']:.0f} ms late"
    if record["late_ms"] > LATE:
        return f"jobs were sent up to {record['late_ms']:.0f} ms late"
    return ""


def by_second(record):
    """[(second, first tries, served of them, rejections, launches)] from the begin of the load on."""
    began = next((event["at"] for event in of(record, "began")), 0)
    rows = defaultdict(lambda: [0, 0, 0, 0])
    for at, end in first_tries(record):
        row = rows[int((at - began) // 1_000_000)]
        row[0] += 1
        row[1] += end <= at + WITHIN
    for event in of(record, "answer"):
        if event["status"] in (429, 503):
            rows[int((event["at"] - began) // 1_000_000)][2] += 1
    for event in of(record, "launch"):
        rows[int((event["at"] - began) // 1_000_000)][3] += 1
    return [(second, *rows[second]) for second in sorted(rows)]
