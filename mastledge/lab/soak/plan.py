"""What a seed draws: a small fleet, its load, and how a process of it ends."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar
from zlib import crc32

from mastledge.lab import faults
from mastledge.lab.scenario import Clients, QueueType, Scenario, Workers

Choice = TypeVar("Choice")

KILL_AFTER_LONGEST_WALLTIME_MS = 700  # the earliest SIGKILL after SIGTERM that PROTOCOL.md allows
LONGEST_WALLTIMES_MS = (600, 1000, 1500, 3000)
NEW_CONNECTIONS_MS = (200, 400)  # for which new connections go on after SIGTERM
MAX_SOCKETS = 512  # of each dispatcher
WORKER_COUNT = 4
CLIENT_COUNT = 16
MIN_RUN_MS, SHORT_RUN_MS = 5, 60
LONG_RUN_FRACTION = 0.6  # of the longest walltime


class Ending(Enum):
    """The series of signals of a run."""

    TERM = "SIGTERM"
    TERM_TWICE = "SIGTERM twice"
    RELOAD_THEN_TERM = "SIGHUP twice in a turn, then SIGTERM"
    RELOAD_AND_TERM = "SIGHUP and SIGTERM together"
    TERM_AND_RELOAD = "SIGTERM and SIGHUP together"
    TERM_IN_START = "SIGTERM, then SIGTERM in the next start"
    UPGRADE = "SIGTERM after an upgrade"
    TERM_IN_UPGRADE = "SIGTERM to the new process of an upgrade, then to the old one"


class Hang(Enum):
    """What workers do from just before SIGTERM on; the values are kinds of `lab.faults`, "" for none."""

    NONE = ""
    SILENT = "silent"
    HALF_OPEN = "half_open"
    RESET = "lost"
    PIECES = faults.PIECES
    SLOW = "slow"


class Draws:
    """Random numbers from 0 to 1, reproducible from a seed.

    A CRC is linear, so those of similar texts are correlated: each is the CRC of another one's digits.
    """

    def __init__(self, seed: int, name: str) -> None:
        """Take the seed and the name of what is drawn."""
        self._seed, self._name, self._count = seed, name.encode(), 0

    def number(self) -> float:
        """Return the next number."""
        self._count += 1
        first = crc32(b"soak %d %s %d" % (self._seed, self._name, self._count))
        return crc32(b"%d" % crc32(b"%d" % first)) / 4294967296.0

    def between(self, low: float, high: float) -> float:
        """Return the next number between two bounds."""
        return low + (high - low) * self.number()

    def happens(self, probability: float) -> bool:
        """Return whether something of this probability happens."""
        return self.number() < probability

    def choice(self, choices: Sequence[Choice]) -> Choice:
        """Return one of the choices, each with the same probability."""
        return choices[int(self.number() * len(choices))]


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One run. Times are milliseconds unless the name says otherwise.

    The process of dispatcher n0 ends; the others, if any, go on.
    """

    seed: int
    dispatchers: int
    agrees: bool
    keeps_keys: bool
    stages_start: bool
    longest_walltime_ms: int
    longest_run_ms: float
    ending: Ending
    second_signal_ms: float
    serve_ms: float
    new_connections_ms: float
    clients: int
    crowd: int
    half_written: int
    pipelining: int
    leaving: int
    hang: Hang
    hanging_workers: int
    list_is_silent: bool

    @property
    def kill_after_ms(self) -> int:
        """Return the time from SIGTERM to SIGKILL."""
        return self.longest_walltime_ms + KILL_AFTER_LONGEST_WALLTIME_MS

    def scenario(self) -> Scenario:
        """Return the fleet as the harness takes it."""
        walltime = self.longest_walltime_ms
        return Scenario(
            name=f"soak of endings, {self.ending.value}",
            dispatchers=self.dispatchers,
            agree=self.agrees,
            repeats=self._repeats(),
            recovery={"open_ms": 500} if self.stages_start else {},
            workers=Workers(
                count=WORKER_COUNT, slots=4, run_ms=(MIN_RUN_MS, self.longest_run_ms), drops=True
            ),
            clients=Clients(
                queue_types=[
                    QueueType(name="read", share=0.5, target_ms=walltime / 4, walltime_ms=walltime),
                    QueueType(
                        name="post",
                        effect="side_effect",
                        share=0.5,
                        target_ms=walltime / 4,
                        walltime_ms=walltime,
                    ),
                ]
            ),
        )

    def _repeats(self) -> dict:
        if not self.keeps_keys:
            return {}
        copies = 3 if self.agrees and self.dispatchers >= 3 else 1
        return {"keep_ms": 30_000, "copies": copies, "entries": 5000, "bytes": 4_000_000}

    def describe(self) -> str:
        """Return what was drawn, in one line."""
        parts = [
            self.ending.value,
            f"{self.dispatchers} dispatchers",
            *(
                name
                for name, drawn in (
                    ("peers", self.agrees),
                    ("repeats", self.keeps_keys),
                    ("recovery", self.stages_start),
                    ("silent list", self.list_is_silent),
                )
                if drawn
            ),
            f"walltime {self.longest_walltime_ms} ms",
        ]
        if self.crowd:
            parts.append(f"crowd of {self.crowd}")
        if self.hang is not Hang.NONE:
            parts.append(f"{self.hanging_workers} workers {self.hang.value}")
        return ", ".join(parts)


def draw_plan(seed: int) -> SoakPlan:
    """Return the run of a seed; the endings take turns, so that ten seeds in a row have each of them."""
    draws = Draws(seed, "plan")
    endings = list(Ending)
    dispatchers = draws.choice((1, 2, 3))
    walltime = draws.choice(LONGEST_WALLTIMES_MS)
    return SoakPlan(
        seed=seed,
        dispatchers=dispatchers,
        agrees=dispatchers > 1 and draws.happens(0.6),
        keeps_keys=draws.happens(0.4),
        stages_start=draws.happens(0.4),
        longest_walltime_ms=walltime,
        longest_run_ms=draws.choice((SHORT_RUN_MS, walltime * LONG_RUN_FRACTION)),
        ending=endings[seed % len(endings)],
        second_signal_ms=draws.between(0, 500),
        serve_ms=draws.between(400, 1000),
        new_connections_ms=draws.between(*NEW_CONNECTIONS_MS),
        clients=CLIENT_COUNT,
        crowd=int(draws.between(0.6, 1.1) * MAX_SOCKETS) if draws.happens(0.25) else 0,
        half_written=draws.choice((0, 2, 6)),
        pipelining=draws.choice((0, 0, 2)),
        leaving=draws.choice((0, 2, 4)),
        hang=draws.choice(tuple(Hang)),
        hanging_workers=draws.choice((1, 2, WORKER_COUNT)),
        list_is_silent=draws.happens(0.25),
    )
