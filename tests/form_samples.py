"""Samples of all stored records and wire messages, as plain values in their encoded form."""

import math
import struct

import form_names as program

PROCESS, MONOTONIC_NS = 4242, 777_000_000_000  # of the process that writes the files for its sibling process
STATE = {
    "format": 1,
    "version": 5,
    "settings": {"balancers": 3, "me": 0, "queueTypes": [{"name": "render", "walltimeMs": 5000.0}]},
    "settings_version": 2,
    "lease": 1_000_000,
    "out": ["s-1"],
    "back": {"s-2": 1_699_999_000_000_000},
    "gone": [{"name": "n9", "address": "127.0.0.1:9", "life": "life-n9", "version": 4}],
    "names": [["n0.life-n0.7.1.1", {"status": 200, "version": 4}]],
    "documents": {"1": {"balancers": 2}, "2": {"balancers": 3}},
    "members": {
        "n0": {"address": "127.0.0.1:7000", "life": "life-n0", "votes": True, "listed": True},
        "n1": {"address": "127.0.0.1:7001", "life": "life-n1", "votes": True, "listed": True},
        "n2": {"address": "127.0.0.1:7002", "life": "life-n2", "votes": False},
    },
    "history": [
        {"version": 1, "what": "formed", "by": "", "at": 0},
        {"version": 5, "what": "out s-1", "by": "n0", "at": 1_699_999_000_000_001},
    ],
    "fan_out": 2,
    "copies": {
        "epoch": 3,
        "count": 2,
        "now": {"n0": "holder-0", "n1": "holder-1"},
        "next": {"n0": "holder-0", "n2": "holder-2"},
        "caught": ["n2"],
        "starts": {"n0": ["holder-0", 2], "n1": ["holder-1", 1], "n2": ["holder-2", 1]},
        "after": 3,
    },
}
NOOP = [3, "noop n0 3", {"kind": "noop"}]
CHANGE = {"kind": "settings", "settings": {"balancers": 4}, "expects": 2, "by": "n0", "at": 1_700_000_000_000}
ENTRY = [3, "n0.life-n0.7.1.2", CHANGE]
NEWS = ["News", "registry-1", 42, [["s-1", "draining"], ["s-2", "gone"], ["s-3", "ready"]], 40]
LARGE = 2**63 - 1
RECORD = ["tenant", b"key-1", b"\x01" * 16, "1.run-1.n0", "answered", 60_000_000, 200, b"\x00content\xff"]
KEY = ["tenant", b"key-1"]

# (all fields, required fields only); the second is None where all fields are required.
SAMPLES = {
    "agreement": [
        (["Ask", "fleet-1", False, True, 3_000_000_001, 7, 6, 99], ["Ask", "", True, False, 0]),
        (
            ["Told", "fleet-1", False, True, 3_000_000_001, False, 7, 6, 99],
            ["Told", "", True, False, 0],
        ),
        (["Form", "fleet-1", STATE], None),
        (["Poll", 7, 6, 99, True], None),
        (["Ballot", 7, True, False], None),
        (
            [
                "Append",
                7,
                98,
                6,
                [NOOP, ENTRY],
                97,
                LARGE,
                1_234_567,
                96,
                500_000,
                {"n1": ["life-n1", 7, 6, 99]},
                [NEWS],
                "n0",
                {"registry-1": 42},
            ],
            ["Append", 7, 98, 6, [], 97, 0, 0, 96, 0],
        ),
        (
            ["Ack", 7, False, 99, 6, 97, LARGE, 1_234_567, 55, 4_000_000_000, {"registry-1": 42}],
            ["Ack", 7, True, 99, 6, 97, 0, 0],
        ),
        (["Install", 7, 99, 6, STATE, 1_234_567, "n0"], ["Install", 7, 99, 6, {}, 0]),
        (["Propose", "n0.life-n0.7.1.2", CHANGE], None),
        (["Lead", 7], None),
        (NEWS, ["News", "registry-1", 42, []]),
    ],
    "copies": [
        (
            ["Claim", 1, 3, *KEY, b"\x01" * 16, "1.run-1.n0", 60_000_000, ["2.run-1.n0"]],
            ["Claim", 1, 3, *KEY, b"", "", 0],
        ),
        (
            ["End", 2, 3, *KEY, b"\x01" * 16, "1.run-1.n0", True, 200, b"\x00content\xff", 60_000_000],
            None,
        ),
        (["Drop", 3, *KEY, "1.run-1.n0"], None),
        (["Look", 4, *KEY], None),
        (
            ["Had", 5, "answered", "1.run-1.n0", 60_000_000, 200, b"\x00content\xff", b"\x01" * 16],
            ["Had", 5, "granted"],
        ),
        (["Ask", 6, "1.run-1.n0"], None),
        (
            ["Told", 6, "1.run-1.n0", "answered", 200, b"\x00content\xff"],
            ["Told", 6, "1.run-1.n0", "unknown"],
        ),
        (["Scan", 3, 128], None),
        (
            ["Batch", 3, 128, 256, [RECORD, ["", b"k", b"", "", "claimed", 1, 0, b""]], True],
            ["Batch", 3, 128, 256, [["", b"k", b"", "", "claimed", 1]], False],
        ),
    ],
    "recovery": [(["Ask", 17], None), (["Load", 17, 250, True, 90_000_000], None)],
}

WORKERS = {
    "s-1": ["ready", 1_699_999_000_000_000, ["127.0.0.1", 8001], "a", "m", 3, 1.5],
    "s-2": ["draining", 0, ["127.0.0.1", 8002], "", "", 0, 1.0],
    "s-3": ["gone", 0, ["", 0]],  # written by an older version, or known only as restricted
}
ASIDE = {"pause": 100_000, "trickle": 0.5, "good": 2, "back_at": 30_000}
WHEN = [1_699_999_999_000_000, 5_000_000, "boot-1"]
END = ["end", *KEY, True, 200, b"\x00content\xff", program.JOURNAL_NOW + 60_000_000]
UNSURE = ["end", "", b"key-2", False, 0, b"", program.JOURNAL_NOW + 50_000_000]
OLD_END = ["end", "", b"key-4", True, 200, b"old", program.JOURNAL_NOW - 1]
PRINT = b"\x02" * 16
JOURNAL_OWNERS = {
    "agreement": {"name": "n0", "fleet": "fleet-1"},
    "repeats": {"name": "n0"},
    "copies": {"name": "n0", "fleet": "fleet-1"},
    "recovery": {"name": "n0"},
}


def claims(claim=()):
    """Return records of keys: answered, unsure, dropped, expired and still claimed."""
    keys = [("tenant", b"key-1"), ("", b"key-2"), ("", b"key-3"), ("", b"key-4"), ("", b"key-5")]
    first = [["claim", *key, PRINT, program.JOURNAL_NOW + number, *claim] for number, key in enumerate(keys)]
    return [first[:2], [*first[2:], END, UNSURE], [["drop", "", b"key-3"], OLD_END]]


# The records of each frame, by journal.
JOURNAL_FRAMES = {
    "agreement": [
        [["identity", "fleet-1", "life-n0"], ["hard", 1, ""], ["snapshot", 1, 1, STATE]],
        [["entry", 2, [1, "a", {"kind": "noop"}]], ["entry", 3, [1, "b", CHANGE]]],
        [["hard", 3, "n1"]],
        [["cut", 3], ["entry", 3, ENTRY]],
        [["entry", 4, NOOP]],
        [["snapshot", 2, 1, STATE]],
    ],
    "repeats": claims(),
    "copies": [
        [["holder", "holder-0", 2], ["fence", 3]],
        *claims(("1.run-1.n0",)),
        [["fence", 5], ["claim", "", b"key-6", PRINT, program.JOURNAL_NOW]],
    ],
    "recovery": [
        [["list", *WHEN, "registry-1", 42, WORKERS]],
        [["out", *WHEN, {"s-1": [1_699_999_000_000_000, ["127.0.0.1", 8001], 1.5, program.JOURNAL_NOW]}]],
        [["learned", *WHEN, {"s-1": [4.0, 5.5, 1.25, [["cut_off", ASIDE], ["slow", ASIDE]]]}]],
    ],
}
LINK_CONTENTS = [b"\x92\xa4Lead\x07", b"\xc1R\x92\xa3Ask\x11", b"", b"x" * 300]
LINK_WHO = ("fleet-1", "n0", "life-n0")
OLD_HELLO = ["mastledge peer", 1, "fleet-1", "n0", "life-n0"]

HANDOVER = {
    "version": 1,
    "serial": 4,
    "out": ["s-1"],
    "back": {"s-2": 1_699_999_000_000_000},
    "draining": True,
    "ready": [0, 1],
    "leaving": [1],
    "seen": {"0": 3, "1": 4},
}
LEARNED = {"s-1": [4.0, 5.5, 1.25, [["slow", ASIDE]], 2.5], "s-2": [None, None, None, [], 1.0]}
SAID = {"to": PROCESS, "index": 99, "lease_until": 5_000_000, "state": STATE}
TAKEN = {"index": 98}
JOBS = {
    "a job in the midst of its answer": {
        "name": "c1",
        "kind": 1,
        "until": 1_234_567_890,
        "headed": True,
        "rest": b'{"id":"c1","st',
    },
    "a job before its answer": {"name": "x" * 64, "kind": 0, "until": 1, "headed": False, "rest": b""},
}
BALANCE_MESSAGES = {
    "full": (1_234_567, [(1, 0.25), (2**32 - 1, 63.75)], [(2**64 - 1, 65_535_000), (7, 1_000)]),
    "empty": (0, [], []),
}

ADAPTER_SETTINGS = """balancers=3
me=0
zones=a,b
kinds=m
stepMs=4
discovery=pushed
familyInfo.tellsStart=true
familyInfo.progressMs=100
limits.cancel=true
limits.peerMessages=true
limits.retryAfter=true
limits.maxRetryAfterMs=1000
limits.maxLaunches=3
limits.parallelTries=true
rules.coldFrom=0.2
rules.coldMs=1000
rules.fallMs=1000
rules.fallMultiple=3
rules.stopSendingWithinMs=500
loadInfo.how=piggyback
loadInfo.fields=x0,x1
queueTypes.count=3
queueTypes.0.name=pure
queueTypes.0.targetTurnaroundMs=200
queueTypes.0.walltimeMs=5000
queueTypes.0.idempotency=pure
queueTypes.1.name=once
queueTypes.1.targetTurnaroundMs=200
queueTypes.1.walltimeMs=5000
queueTypes.1.idempotency=side_effect
queueTypes.2.name=token
queueTypes.2.targetTurnaroundMs=200
queueTypes.2.walltimeMs=5000
queueTypes.2.idempotency=token
queueTypes.2.windowMs=1000
"""
POOL, NEW, END_OF, NOTE, DUE, LIST, BEGIN, TEARDOWN, STARTED, ABANDONED, ECHO, INBOX = (
    4,
    10,
    12,
    9,
    8,
    11,
    7,
    6,
    2,
    1,
    3,
    5,
)
FIRST, SECOND = 5, 6  # instances
POOL_ENTRY = struct.Struct(">H6sBdHHf")
WORKER_IDS = [b"wkr-%02d" % number for number in range(3)]


def event_frame(clock_ms, records, tail=b""):
    """Return an input frame of the adapter; records are (code, fields...)."""
    raw = b"".join(
        (struct.pack(">H", code) + program.EVENT_LAYOUTS[code].pack(*fields)).ljust(
            program.EVENT_RECORD_BYTES, b"\0"
        )
        for code, *fields in records
    )
    length = program.EVENT_HEAD.size + len(raw) + len(tail)
    return program.EVENT_HEAD.pack(len(records), length, clock_ms) + raw + tail


def new_job(job, queue_type, patience_ms, width=1.0, hint_ms=50.0, instance=FIRST):
    return (NEW, instance, job, hint_ms, 9, queue_type, 1, width, 0, patience_ms, 0.0)


def end_of(job, worker, launch, code, final, lag_ms=20.0):
    return (END_OF, FIRST, job, WORKER_IDS[worker], lag_ms, launch, 0, final, code, 2, 3.0, 2.0, 0.0, 0.0)


ENDING_CODES = (200, 500, 503, 504, 502, 598, 499, 410)


def ending_session(code):
    """Return frames in which jobs of each queue type end with this code and further jobs arrive."""
    settings, pool = ADAPTER_SETTINGS.encode(), pool_of_workers()
    frames = [event_frame(1000.0, [(BEGIN, FIRST, 7, 0, len(settings))], settings)]
    frames.append(event_frame(1001.0, [(POOL, 1, 0, len(WORKER_IDS)), (LIST, FIRST, 1, 0, 1)], pool))
    frames.append(event_frame(1004.0, [new_job(job, job % 3, 900.0) for job in range(6)]))
    frames.append(event_frame(1300.0, [end_of(job, job % 3, 0, code, 0) for job in range(6)]))
    for step in range(1, 12):
        records = [(DUE, FIRST, 1300 + 100 * step), new_job(10 + step, step % 3, 900.0)]
        frames.append(event_frame(1300.0 + 100 * step, records))
    return b"".join(frames)


def pool_of_workers():
    return b"".join(
        POOL_ENTRY.pack(number % 2, name, 1, 0.0, 0, 0, 1.0) for number, name in enumerate(WORKER_IDS)
    )


def adapter_session():
    """Return frames with every kind of event, which lead to every kind of action."""
    settings, pool = ADAPTER_SETTINGS.encode(), pool_of_workers()
    message = program.load_message(900_000, [(0, 1.5)], [(9, 40_000)])
    begin = [(BEGIN, instance, 7 + instance, 0, len(settings)) for instance in (FIRST, SECOND)]
    frames = [event_frame(1000.0, begin, settings)]
    lists = [(POOL, 1, 0, len(WORKER_IDS))]
    lists += [
        (LIST, FIRST, 1, 0, 1),
        (LIST, SECOND, 1, 0, 1),
        (LIST, SECOND, 0, 0, 1),
        (LIST, SECOND, 2, 0, 1),
    ]
    frames.append(event_frame(1001.0, lists, pool))
    frames.append(event_frame(1002.0, [(LIST, SECOND, 3, 0, 0), (INBOX, FIRST, 1, 0, len(message))], message))
    jobs = [new_job(number, number % 3, 4000.0) for number in range(1, 13)]
    frames.append(event_frame(1004.0, jobs))
    frames.append(event_frame(1006.0, [(STARTED, FIRST, 1, 0, WORKER_IDS[0], 0.0)]))
    notes_of = [(NOTE, FIRST, job, 0, 0.0, 1, b"") for job in (1, 2, 4)]
    notes_of.append((NOTE, FIRST, 1, 0, 0.5, 2, b""))
    frames.append(event_frame(1050.0, notes_of))
    ends = [
        end_of(1, 0, 0, 200, 1),
        end_of(3, 0, 0, 503, 0),
        end_of(5, 1, 0, 502, 0),
        end_of(6, 1, 0, 500, 0),
    ]
    ends += [
        end_of(2, 1, 0, 504, 0),
        end_of(8, 1, 0, 598, 0),
        end_of(9, 1, 0, 410, 0),
        end_of(10, 1, 0, 499, 0),
    ]
    frames.append(event_frame(1080.0, ends))
    frames.append(
        event_frame(1090.0, [(ABANDONED, FIRST, 4), (ECHO, FIRST, WORKER_IDS[0], 0.0, 0, 2, 0, 0, 0, 0)])
    )
    for step in range(1, 60):
        clock = 1100.0 + 100.0 * step
        records = [(DUE, FIRST, int(clock)), (DUE, SECOND, int(clock))]
        if step in (3, 7, 11):
            records += [new_job(100 * step + n, n % 3, 900.0, hint_ms=400.0) for n in range(40)]
        frames.append(event_frame(clock, records))
    # An infinite load makes the scheduler fail, which is answered as a fatal text.
    endless = [new_job(9000, 0, 3000.0, math.inf), *(new_job(9001 + n, 0, 3000.0) for n in range(5))]
    frames.append(event_frame(7200.0, endless))
    frames += [event_frame(7200.0 + 50 * n, [(DUE, FIRST, 7200 + 50 * n)]) for n in range(1, 9)]
    frames.append(event_frame(8000.0, [(TEARDOWN, FIRST), (TEARDOWN, SECOND)]))
    frames.append(event_frame(8001.0, []))
    return b"".join(frames)
