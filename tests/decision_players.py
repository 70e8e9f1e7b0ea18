"""Players that pass a script's inputs to the scheduler, by calls or by frames of the adapter's wire."""

import io
from struct import Struct

from mastledge.adapter.frames import frame_from
from mastledge.adapter.host import Host
from mastledge.program.settings import parse_pairs, parse_settings
from mastledge.scheduling.decisions import (
    FollowEndpoints,
    KillJob,
    LaunchJob,
    RejectJob,
    RevokeLaunch,
    SendLoadMessage,
)
from mastledge.scheduling.scheduler import Scheduler

# The only names of the program that the scripts use, so that a rename in the program is a change here alone.

PROGRAM = {
    "new": Scheduler,
    "read settings": lambda text: parse_settings(parse_pairs(text)),
    "members": lambda dispatcher, *given: dispatcher.update_endpoints(*given),
    "arrived": lambda dispatcher, *given: dispatcher.job_arrived(*given),
    "started": lambda dispatcher, *given: dispatcher.launch_started(*given),
    "silent": lambda dispatcher, *given: dispatcher.launch_unconfirmed(*given),
    "progress": lambda dispatcher, *given: dispatcher.launch_progressed(*given),
    "ended": lambda dispatcher, *given: dispatcher.launch_ended(*given),
    "message": lambda dispatcher, *given: dispatcher.load_message_received(*given),
    "configured": lambda dispatcher, *given: dispatcher.reconfigure(*given),
    "abandoned": lambda dispatcher, *given: dispatcher.job_abandoned(*given),
    "by hand": lambda dispatcher, *given: dispatcher.set_excluded(*given),
    "sharing": lambda dispatcher, *given: dispatcher.set_traffic_share(*given),
    "leaving": lambda dispatcher, *given: dispatcher.set_shutdown_time(*given),
    "inherited": lambda dispatcher, *given: dispatcher.restore_learned(*given),
    "learned": lambda dispatcher: dispatcher.learned_state(),
    "skipped": lambda dispatcher, now: dispatcher.count_skipped_workers(now),
    "wake at": lambda dispatcher: dispatcher.wake_at(),
    "decide": lambda dispatcher, now: dispatcher.decide(now),
    "new host": Host,
    "host's instance": lambda host, number: host.instances.get(number),
    "host's turn": lambda host, raw: host.turn(frame_from(io.BytesIO(raw))),
}
KINDS = {
    LaunchJob: "launch",
    RejectJob: "reject",
    KillJob: "kill",
    RevokeLaunch: "revoke",
    FollowEndpoints: "follow",
    SendLoadMessage: "message",
}
EJECTION_FIELDS = ("pause", "trickle", "good", "back_at")


def plain_decision(decision):
    """Return a decision as plain JSON values: its kind, then its fields."""
    values = [getattr(decision, field) for field in decision.__slots__]
    if isinstance(decision, FollowEndpoints):
        values = [True]
    return [KINDS[decision.__class__], *(v.decode() if isinstance(v, bytes) else v for v in values)]


def plain_learned(learned):
    """Return the learned state by worker, without field names."""
    return {
        worker: [
            slots,
            peak,
            slow,
            [[reason, [ejection[name] for name in EJECTION_FIELDS]] for reason, ejection in ejections],
        ]
        for worker, (slots, peak, slow, ejections) in learned.items()
    }


def changed_learned(learned):
    """Return learned state with values removed for some workers, and earlier load added for some."""
    changed = {}
    for position, (worker, (slots, peak, slow, ejections)) in enumerate(learned.items()):
        values = (0, 0, 0) if position % 5 == 1 else (slots, peak, slow)
        changed[worker] = [*values, ejections, *([2.0] if position % 3 == 0 else [])]
    return changed


# No names of the program are used below: the wire format is written out, as it must not change.

MS = 1000
STEP = 2 * MS
LIST_KINDS = {"changes": 0, "whole": 1, "cached": 2, "failed": 3}
WORKER_STATES = {"gone": 0, "ready": 1, "draining": 2}
END_CODES = {
    "completed": 200,
    "error": 500,
    "full": 503,
    "timeout": 504,
    "unreachable": 502,
    "lost": 598,
    "revoked": 499,
    "unsent": 410,
}
INPUTS = {
    "new": (10, Struct(">IIdQHHfHdf")),
    "end": (12, Struct(">II6sdBIBHB4f")),
    "note": (9, Struct(">IIBfB6s")),
    "due": (8, Struct(">IQ")),
    "pool": (4, Struct(">HII")),
    "membership": (11, Struct(">IBIH")),
    "power on": (7, Struct(">IQII")),
    "teardown": (6, Struct(">I")),
    "abandoned": (1, Struct(">II")),
    "inbox": (5, Struct(">IIII")),
}
OUTPUTS = {
    1: ("launch", Struct(">II6sd")),
    2: ("reject", Struct(">IId")),
    3: ("kill", Struct(">II")),
    4: ("revoke", Struct(">IIB")),
    5: ("notify", Struct(">IQd")),
    8: ("message", Struct(">IHII")),
    11: ("follow", Struct(">IB")),
}
LIST_ENTRY = Struct(">H6sBdHHf")
FRAME_HEAD, REPLY_HEAD = Struct(">IId"), Struct(">II")
RECORD_BYTES, ACTION_BYTES = 56, 24
STARTED_TOPIC, PROGRESS_TOPIC = 1, 2


class DirectPlayer:
    """Passes inputs as calls on the scheduler."""

    def __init__(self):
        self.instances, self.touched, self.inputs = {}, {}, 0

    def instance(self, number):
        return self.instances.get(number)

    def power_on(self, now, number, seed, text):
        self.instances[number] = PROGRAM["new"](PROGRAM["read settings"](text), seed, now)
        self.touched[number] = True

    def teardown(self, number):
        self.instances.pop(number, None)
        self.touched.pop(number, None)

    def due(self, number):
        self.touched[number] = True

    def call(self, what, number, *given):
        if number in self.instances:
            PROGRAM[what](self.instances[number], *given)
            self.touched[number] = True
            self.inputs += 1

    def members(self, now, number, kind, entries):
        self.call("members", number, now, kind, entries)

    def arrived(self, now, number, *given):
        self.call("arrived", number, now, *given)

    def started(self, now, number, job, launch):
        self.call("started", number, now, job, launch)

    def progress(self, now, number, job, launch, share):
        self.call("progress", number, now, job, launch, share)

    def ended(self, now, number, *given):
        self.call("ended", number, now, *given)

    def abandoned(self, now, number, job):
        self.call("abandoned", number, now, job)

    def message(self, now, number, sender, content):
        self.call("message", number, now, sender, *content)

    def turn(self, now):
        """Return all decisions of the instances that got inputs."""
        decisions = []
        for number in self.touched:
            dispatcher = self.instances[number]
            while (decision := PROGRAM["decide"](dispatcher, now)) is not None:
                kind, *values = plain_decision(decision)
                decisions.append([kind, number, *values])
        self.touched = {}
        return decisions


class WirePlayer:
    """Passes inputs as records of a frame to the adapter's host, and reads decisions from its reply."""

    def __init__(self):
        self.host = PROGRAM["new host"]()
        self.records, self.tail, self.pools, self.alive = [], bytearray(), 0, set()
        self.inputs = 0

    def instance(self, number):
        return PROGRAM["host's instance"](self.host, number) if number in self.alive else None

    def add(self, what, *fields):
        self.inputs += what not in ("pool", "due")
        code, layout = INPUTS[what]
        self.records.append((code.to_bytes(2, "big") + layout.pack(*fields)).ljust(RECORD_BYTES, b"\0"))

    def attach(self, content):
        self.tail += content
        return len(self.tail) - len(content)

    def power_on(self, now, number, seed, text):
        raw = text.encode()
        self.add("power on", number, seed, self.attach(raw), len(raw))
        self.alive.add(number)

    def teardown(self, number):
        self.add("teardown", number)
        self.alive.discard(number)

    def due(self, number):
        self.add("due", number, 0)

    def members(self, now, number, kind, entries):
        self.pools = self.pools % 60_000 + 1
        rows = [
            LIST_ENTRY.pack(zone, worker, WORKER_STATES[state], born / MS, machine, cell, units)
            for zone, worker, state, born, machine, cell, units in entries
        ]
        self.add("pool", self.pools, self.attach(b"".join(rows)), len(rows))
        self.add("membership", number, LIST_KINDS[kind], 0, self.pools)

    def arrived(self, now, number, job, queue_type, hint, key, width, memory, tenant, patience):
        hinted = 1 if hint else 0
        self.add("new", number, job, hint / MS, key, queue_type, hinted, width, tenant, patience / MS, memory)

    def started(self, now, number, job, launch):
        self.add("note", number, job, launch, 0.0, STARTED_TOPIC, b"")

    def progress(self, now, number, job, launch, share):
        self.add("note", number, job, launch, share, PROGRESS_TOPIC, b"")

    def ended(self, now, number, job, launch, outcome, lag, final, report):
        report_values = [*report, 0.0, 0.0, 0.0, 0.0][:4]
        code = END_CODES[outcome]
        self.add("end", number, job, b"", lag / MS, launch, 0, final, code, len(report), *report_values)

    def abandoned(self, now, number, job):
        self.add("abandoned", number, job)

    def message(self, now, number, sender, content):
        self.add("inbox", number, sender, self.attach(content), len(content))

    def turn(self, now):
        """Send all added records as one frame; return the decisions in its reply."""
        records, size = b"".join(self.records), RECORD_BYTES * len(self.records)
        header = FRAME_HEAD.pack(len(self.records), FRAME_HEAD.size + size + len(self.tail), now / MS)
        reply = PROGRAM["host's turn"](self.host, header + records + bytes(self.tail))
        self.records, self.tail = [], bytearray()
        count, length = REPLY_HEAD.unpack_from(reply)
        assert length == len(reply)
        tail, decisions = reply[REPLY_HEAD.size + count * ACTION_BYTES :], []
        for position in range(count):
            start = REPLY_HEAD.size + position * ACTION_BYTES
            code = int.from_bytes(reply[start : start + 2], "big")
            assert code in OUTPUTS, f"unknown action: {reply[start:]}"
            kind, layout = OUTPUTS[code]
            number, *values = layout.unpack_from(reply, start + 2)
            if kind == "message":
                _, offset, size = values
                values = [tail[offset : offset + size].hex()]
            decisions.append([kind, number, *(v.decode() if isinstance(v, bytes) else v for v in values)])
        return decisions
