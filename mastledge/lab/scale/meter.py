"""A build of the program that counts what it does: processor time by purpose, messages, the loop's turns.

Installed by `--build metered` (`lab/builds.py`). It writes its counts several times a second as one
JSON object to the file that `$MASTLEDGE_METER` names. What it costs itself is a purpose of its own.

Processor time is that of the loop's thread, taken round each step of a coroutine and told by the coroutine's
function; steps and calls that run inside another one are taken out of it. What the loop does between steps is
shared out by the number of steps. Other threads (the one that writes the journal) count as agreement.
"""

import json
import os
import time
from collections import defaultdict, deque

from mastledge.consensus.messages import encode
from mastledge.lab.scale.delay import DelayedLinks
from mastledge.transport.loop import Loop

FILE = "MASTLEDGE_METER"
SCALE = "MASTLEDGE_SCALE"  # a file: regions of the members, and the round trip between two of them
PERIOD = 250_000  # microseconds between two writes
TURNS = 400  # longest turns of as many periods that are kept
FRAME_HEAD = 4  # bytes of a frame before its content
READ_BYTE = 1  # sent back for each frame

AGREEMENT, LIST, CALLS, JOBS, UPKEEP, METER = "agreement", "list", "calls", "jobs", "upkeep", "meter"
CONTROL = (AGREEMENT, LIST, CALLS, UPKEEP)
PURPOSES = {
    "OutgoingLink": AGREEMENT,
    "LinkListener": AGREEMENT,
    "DelayedLinks": AGREEMENT,
    "ConsensusDriver": AGREEMENT,
    "ChangeRequests": AGREEMENT,
    "RestrictionExchange": AGREEMENT,
    "SharedLeaseExchange": AGREEMENT,
    "Discovery": LIST,
    "Control": CALLS,
    "Dispatcher": UPKEEP,
    "SiblingWatch": UPKEEP,
    "ConnectionHandoff": UPKEEP,
    "Meter": METER,
}


class Meter:
    """The counts of this process."""

    def __init__(self):
        self.spent, self.steps = defaultdict(int), defaultdict(int)  # nanoseconds, steps by purpose
        self.sent, self.received = defaultdict(lambda: [0, 0]), defaultdict(lambda: [0, 0])
        self.stack, self.turn, self.turns = [], 0, deque((), TURNS)
        self.returned = None

    def enter(self, purpose):
        now = time.thread_time_ns()
        if self.stack:
            self.spent[self.stack[-1][0]] += now - self.stack[-1][1]
        self.stack.append([purpose, now])

    def leave(self):
        now = time.thread_time_ns()
        purpose, since = self.stack.pop()
        self.spent[purpose] += now - since
        if self.stack:
            self.stack[-1][1] = now

    def told(self):
        main = time.thread_time_ns()
        return {
            "at": time.monotonic_ns() // 1000,
            "process_us": time.process_time_ns() // 1000,
            "thread_us": main // 1000,
            "spent_us": {purpose: ns // 1000 for purpose, ns in self.spent.items()},
            "steps": dict(self.steps),
            "sent": {kind: list(some) for kind, some in self.sent.items()},
            "received": {kind: list(some) for kind, some in self.received.items()},
            "turns": list(self.turns),
        }

    def write(self, path):
        while True:
            # The longest turn of each period, with the time of its end.
            self.turns.append((time.monotonic_ns() // 1000, self.turn))
            self.turn = 0
            with open(path + ".new", "w") as file:
                json.dump(self.told(), file)
            os.replace(path + ".new", path)
            yield (-1, 0, Loop.now() + PERIOD)


class TimedPoll:
    """An epoll that tells how long the loop was away from it."""

    def __init__(self, epoll, meter):
        self.epoll, self.meter = epoll, meter

    def poll(self, *how):
        meter, now = self.meter, time.monotonic_ns()
        if meter.returned is not None:
            meter.turn = max(meter.turn, (now - meter.returned) // 1000)
        got = self.epoll.poll(*how)
        meter.returned = time.monotonic_ns()
        return got

    def __getattr__(self, name):
        return getattr(self.epoll, name)


def purpose_of(generator):
    """What a coroutine is for, by the class of its function; what is wrapped counts as what it wraps."""
    if generator.__qualname__ == "Dispatcher.supervised" and generator.gi_frame is not None:
        inner = generator.gi_frame.f_locals.get("steps")
        generator = inner if inner is not None else generator
    return PURPOSES.get(generator.__qualname__.partition(".")[0], JOBS)


def within(meter, purpose, call):
    """The same call, its time told apart."""

    def told(*fields, **named):
        meter.enter(purpose)
        try:
            return call(*fields, **named)
        finally:
            meter.leave()

    return told


def meter_loop(meter):
    spawn, step, made = Loop.spawn, Loop.step, Loop.__init__

    def metered_init(self, *fields):
        made(self, *fields)
        self.epoll = TimedPoll(self.epoll, meter)
        self.purposes = {}

    def metered_spawn(self, generator, first=False):
        purpose = purpose_of(generator)
        task = spawn(self, generator, first)
        self.purposes[task] = purpose
        return task

    def metered_step(self, task, value):
        purpose = self.purposes.get(task, JOBS)
        meter.steps[purpose] += 1
        meter.enter(purpose)
        try:
            step(self, task, value)
        finally:
            meter.leave()
            if task.ended:
                self.purposes.pop(task, None)

    def metered_cancel(self, task, cancel=Loop.cancel):
        cancel(self, task)
        self.purposes.pop(task, None)

    Loop.__init__, Loop.spawn, Loop.step, Loop.cancel = (
        metered_init,
        metered_spawn,
        metered_step,
        metered_cancel,
    )


def meter_messages(meter):
    from mastledge.program.consensus_driver import ConsensusDriver

    frame_received = ConsensusDriver.frame_received

    def count(table, content, message):
        some = table[type(message).__struct_config__.tag if message is not None else "other"]
        some[0] += 1
        some[1] += FRAME_HEAD + len(content)

    def metered_send(self, output):
        content = encode(output.message)
        count(meter.sent, content, output.message)
        meter.received["read"][0] += 1
        meter.received["read"][1] += READ_BYTE
        self.links.send(output.to, content)

    def metered_heard(self, name, life, content):
        from mastledge.consensus import messages

        message = None if content[:1] == b"\xc1" else messages.decode(content)
        count(meter.received, content, message)
        meter.sent["read"][0] += 1
        meter.sent["read"][1] += READ_BYTE
        frame_received(self, name, life, content)

    ConsensusDriver.send_message = metered_send
    ConsensusDriver.frame_received = within(meter, AGREEMENT, metered_heard)


def hold_voters():
    """The voters stay those that the run began with."""
    from mastledge.lab.sized_fleets import FixedVotersMember
    from mastledge.program import consensus_driver

    consensus_driver.Member = FixedVotersMember


def delay_links(path):
    from mastledge.program import consensus_driver

    with open(path) as file:
        told = json.load(file)

    def made(*fields):
        return DelayedLinks(*fields, regions=told["regions"], round_trip=told["round_trip"])

    consensus_driver.Links = made


def metered():
    """The build: it counts, and goes by the regions of its run."""
    from mastledge.program.dispatcher import Dispatcher
    from mastledge.routing.router import Router

    meter = Meter()
    meter_loop(meter)
    meter_messages(meter)
    hold_voters()
    if os.environ.get(SCALE):
        delay_links(os.environ[SCALE])
    Router.on_members = within(meter, LIST, Router.on_members)
    begin, path = Dispatcher.begin, os.environ[FILE]

    def metered_begin(self):
        begin(self)
        self.loop.spawn(meter.write(path))

    Dispatcher.begin = metered_begin


def share(before, after):
    """Processor time by purpose between two tellings, in microseconds a second, and the control's sum.

    What no step had is shared out by the steps of each purpose; other threads count as agreement.
    """
    seconds = (after["at"] - before["at"]) / 1e6
    purposes = set(after["spent_us"]) | set(after["steps"])

    def grown(what, name):
        return after[what].get(name, 0) - before[what].get(name, 0)

    spent = {purpose: grown("spent_us", purpose) for purpose in purposes}
    steps = {purpose: grown("steps", purpose) for purpose in purposes}
    thread = after["thread_us"] - before["thread_us"]
    process = after["process_us"] - before["process_us"]
    between = max(0, thread - sum(spent.values()))
    total = max(1, sum(steps.values()))
    out = {purpose: spent[purpose] + between * steps[purpose] / total for purpose in purposes}
    out[AGREEMENT] = out.get(AGREEMENT, 0) + max(0, process - thread)
    rates = {purpose: used / seconds for purpose, used in out.items()}
    return {**rates, "control": sum(rates.get(purpose, 0) for purpose in CONTROL)}


def traffic(before, after, table):
    """{kind: [messages a second, bytes a second]} between two tellings, and their sum as "all"."""
    seconds = (after["at"] - before["at"]) / 1e6
    out = {}
    for kind, (count, size) in after[table].items():
        count_before, size_before = before[table].get(kind, (0, 0))
        out[kind] = [(count - count_before) / seconds, (size - size_before) / seconds]
    out["all"] = [sum(some[n] for some in out.values()) for n in (0, 1)]
    return out


def longest_turn(before, after):
    """Microseconds of the longest turn of the loop that ended between two tellings."""
    return max((turn for at, turn in after["turns"] if before["at"] < at <= after["at"]), default=0)
