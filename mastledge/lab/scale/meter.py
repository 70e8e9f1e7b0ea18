"""A build of the program that counts what it does: processor time by purpose, messages, the loop's turns.

Installed by `--build metered` (`lab/build_variants.py`). It writes its counts several times a second as one
JSON object to the file that `$MASTLEDGE_METER` names. What it costs itself is a purpose of its own.

Processor time is that of the loop's thread, taken round each step of a coroutine and assigned by its
function; steps and calls that run inside another one are taken out of it. What the loop does between steps is
shared out by the number of steps. Other threads (the one that writes the log) count as agreement.
"""

import os
import select
import time
from collections import defaultdict, deque
from collections.abc import Callable, Generator, Iterator
from typing import Any

import msgspec

from mastledge.consensus.messages import decode, encode
from mastledge.lab.scale.delay import DelayedLinks
from mastledge.lab.scale.host_plans import LinkRegions
from mastledge.lab.scale.meter_readings import AGREEMENT, CALLS, JOBS, LIST, METER, UPKEEP, MeterReading
from mastledge.transport.loop import Loop

FILE_VARIABLE = "MASTLEDGE_METER"
REGIONS_VARIABLE = "MASTLEDGE_SCALE"  # a file with `LinkRegions`
PERIOD_US = 250_000  # between two writes
MAX_TURNS = 400  # longest turns of as many periods that are kept
FRAME_HEAD_BYTES = 4  # of a frame before its content
ACKNOWLEDGEMENT, ACKNOWLEDGEMENT_BYTES = "read", 1  # sent back for each frame
UNKNOWN_MESSAGE = "other"

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
    """The counts of this process. Called at each step of the loop: lists and dicts, and no objects."""

    def __init__(self) -> None:
        """Begins with nothing counted."""
        self.spent_ns: dict[str, int] = defaultdict(int)  # by purpose
        self.steps: dict[str, int] = defaultdict(int)  # by purpose
        # Messages and bytes by the kind of message.
        self.sent: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self.received: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self.running: list[list] = []  # purposes that are on the stack, with the time since which they run
        self.longest_turn_us = 0  # of this period
        self.turns: deque[tuple[int, int]] = deque((), MAX_TURNS)

    def enter(self, purpose: str) -> None:
        """From now on time counts for this purpose, until `leave`."""
        now_ns = time.thread_time_ns()
        if self.running:
            self.spent_ns[self.running[-1][0]] += now_ns - self.running[-1][1]
        self.running.append([purpose, now_ns])

    def leave(self) -> None:
        """From now on time counts for the purpose before the last `enter`."""
        now_ns = time.thread_time_ns()
        purpose, since_ns = self.running.pop()
        self.spent_ns[purpose] += now_ns - since_ns
        if self.running:
            self.running[-1][1] = now_ns

    def reading(self) -> MeterReading:
        """All counts as they are now."""
        thread_ns = time.thread_time_ns()
        return MeterReading(
            at=time.monotonic_ns() // 1000,
            process_us=time.process_time_ns() // 1000,
            thread_us=thread_ns // 1000,
            spent_us={purpose: spent_ns // 1000 for purpose, spent_ns in self.spent_ns.items()},
            steps=dict(self.steps),
            sent={kind: tuple(counts) for kind, counts in self.sent.items()},
            received={kind: tuple(counts) for kind, counts in self.received.items()},
            turns=list(self.turns),
        )

    def write(self, path: str) -> Iterator[tuple[int, int, int]]:
        """The coroutine that writes all counts to a file, period after period."""
        while True:
            # The longest turn of each period, with the time of its end.
            self.turns.append((time.monotonic_ns() // 1000, self.longest_turn_us))
            self.longest_turn_us = 0
            with open(path + ".new", "wb") as file:
                file.write(msgspec.json.encode(self.reading()))
            os.replace(path + ".new", path)
            yield (-1, 0, Loop.now() + PERIOD_US)


class TimedPoll:
    """An epoll that tells the meter how long the loop was away from it."""

    def __init__(self, epoll: select.epoll, meter: Meter) -> None:
        """Stands in place of that epoll."""
        self.epoll, self.meter = epoll, meter
        self.returned_ns: int | None = None

    def poll(self, *limits: float) -> list[tuple[int, int]]:
        """As `epoll.poll`."""
        if self.returned_ns is not None:
            turn_us = (time.monotonic_ns() - self.returned_ns) // 1000
            self.meter.longest_turn_us = max(self.meter.longest_turn_us, turn_us)
        events = self.epoll.poll(*limits)
        self.returned_ns = time.monotonic_ns()
        return events

    def __getattr__(self, name: str) -> Any:
        """All else is that of the epoll."""
        return getattr(self.epoll, name)


def purpose_of(generator: Generator) -> str:
    """What a coroutine is for, by the class of its function; what is wrapped counts as what it wraps."""
    if generator.__qualname__ == "Dispatcher.supervised" and generator.gi_frame is not None:
        inner = generator.gi_frame.f_locals.get("steps")
        generator = inner if inner is not None else generator
    return PURPOSES.get(generator.__qualname__.partition(".")[0], JOBS)


def within(meter: Meter, purpose: str, call: Callable) -> Callable:
    """The same call, its time counted for a purpose."""

    def counted(*fields, **named):
        meter.enter(purpose)
        try:
            return call(*fields, **named)
        finally:
            meter.leave()

    return counted


def meter_loop(meter: Meter) -> None:
    """Has each step of the loop counted."""
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


def meter_messages(meter: Meter) -> None:
    """Has the messages between members counted."""
    from mastledge.program.consensus_driver import SERVICE_FRAME_PREFIX, ConsensusDriver

    frame_received = ConsensusDriver.frame_received

    def count(table, content, message):
        kind = type(message).__struct_config__.tag if message is not None else UNKNOWN_MESSAGE
        add(table[kind], FRAME_HEAD_BYTES + len(content))

    def add(counts, size_bytes):
        counts[0] += 1
        counts[1] += size_bytes

    def metered_send(self, output):
        content = encode(output.message)
        count(meter.sent, content, output.message)
        add(meter.received[ACKNOWLEDGEMENT], ACKNOWLEDGEMENT_BYTES)
        self.links.send(output.to, content)

    def metered_receive(self, name, incarnation, content):
        message = None if content.startswith(SERVICE_FRAME_PREFIX) else decode(content)
        count(meter.received, content, message)
        add(meter.sent[ACKNOWLEDGEMENT], ACKNOWLEDGEMENT_BYTES)
        frame_received(self, name, incarnation, content)

    ConsensusDriver.send_message = metered_send
    ConsensusDriver.frame_received = within(meter, AGREEMENT, metered_receive)


def hold_voters() -> None:
    """The voters stay those that the run began with."""
    from mastledge.lab.sized_fleets import FixedVotersMember
    from mastledge.program import consensus_driver

    consensus_driver.Member = FixedVotersMember


def delay_links(path: str) -> None:
    """The links to other dispatchers go by the regions in that file."""
    from mastledge.program import consensus_driver

    with open(path, "rb") as file:
        links = msgspec.json.decode(file.read(), type=LinkRegions)

    def delayed_links(*fields):
        return DelayedLinks(*fields, regions=links.regions, round_trip_us=links.round_trip_us)

    consensus_driver.Links = delayed_links


def metered() -> None:
    """The build: it counts, and goes by the regions of its run."""
    from mastledge.program.dispatcher import Dispatcher
    from mastledge.routing.router import Router

    meter = Meter()
    meter_loop(meter)
    meter_messages(meter)
    hold_voters()
    if os.environ.get(REGIONS_VARIABLE):
        delay_links(os.environ[REGIONS_VARIABLE])
    Router.on_endpoints_changed = within(meter, LIST, Router.on_endpoints_changed)
    begin, path = Dispatcher.begin, os.environ[FILE_VARIABLE]

    def metered_begin(self):
        begin(self)
        self.loop.spawn(meter.write(path))

    Dispatcher.begin = metered_begin
