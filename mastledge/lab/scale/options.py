"""What a scale run is asked for, checked whole before anything starts."""

import math
import os
from dataclasses import asdict, dataclass

from mastledge.consensus.changes import MAX_FAN_OUT

MOST_PROCESSES = 300
MEMORY_SHARE = 0.5  # of the machine's memory, at most
MOST_DISPATCHERS = 1024
MOST_WORKERS = 4096
MOST_VOTERS = 7
MOST_SECONDS = 600.0
MOST_RATE = 10_000.0  # of changes, restarts or jobs a second
MOST_ROUND_TRIP_MS = 1_000.0
LEASE_MS = 500, 60_000  # as `peers.lease_ms` of the configuration

HOLLOW_A_PROCESS = 29
WORKERS_A_PROCESS = 850

# Estimates of resident memory, in bytes, rounded up from what runs have shown.
REAL_PROCESS = 40 << 20
REAL_A_WORKER = 12 << 10
HOST_PROCESS = 48 << 20
HOLLOW_DISPATCHER = 1 << 20
HOLLOW_A_MEMBER = 4 << 10
HOLLOW_WORKER = 40 << 10


class BadOptions(ValueError):
    """An unknown or impossible figure, in one line."""


@dataclass(frozen=True)
class ScaleOptions:
    """One run. Spans are milliseconds or seconds as their names say; rates are those of the whole run."""

    real: int = 3
    hollow: int = 4
    voters: int = 3
    workers: int = 20
    regions: int = 1
    zones: int = 1
    round_trip_ms: float = 0.0
    changes_per_second: float = 0.0
    restarts_per_second: float = 0.0
    jobs_per_second: float = 0.0
    seconds: float = 10.0
    seed: int = 1
    out: str = ""
    settle: float = 3.0
    lease_ms: int = 2000
    fan_out: int = 0
    teams: int = 43
    rack_at: float = -1.0
    zone_at: float = -1.0
    kill_leader: bool = True

    @property
    def dispatchers(self) -> int:
        return self.real + self.hollow

    @property
    def hollow_processes(self) -> int:
        return math.ceil(self.hollow / HOLLOW_A_PROCESS)

    @property
    def worker_processes(self) -> int:
        return math.ceil(self.workers / WORKERS_A_PROCESS)

    @property
    def processes(self) -> int:
        """All that run at once, with this one and the idle dispatcher that memory is compared with."""
        return self.real + self.hollow_processes + self.worker_processes + 2

    @property
    def memory_bytes(self) -> int:
        """An estimate of what all processes hold at once."""
        real = self.real * (REAL_PROCESS + self.workers * REAL_A_WORKER)
        hollow = self.hollow * (HOLLOW_DISPATCHER + self.dispatchers * HOLLOW_A_MEMBER)
        hosts = (self.hollow_processes + self.worker_processes) * HOST_PROCESS
        return real + hollow + hosts + self.workers * HOLLOW_WORKER

    def as_dict(self) -> dict:
        """All figures, without the folder of this machine."""
        return {name: value for name, value in asdict(self).items() if name != "out"}


def machine_memory() -> int:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def check(options: ScaleOptions, memory: int | None = None) -> ScaleOptions:
    """The options as they are; raises BadOptions with one line that names the figure."""
    ranges = {
        "real": (2, MOST_DISPATCHERS),
        "hollow": (0, MOST_DISPATCHERS),
        "voters": (1, MOST_VOTERS),
        "workers": (1, MOST_WORKERS),
        "regions": (1, MOST_DISPATCHERS),
        "zones": (1, MOST_DISPATCHERS),
        "round_trip_ms": (0, MOST_ROUND_TRIP_MS),
        "changes_per_second": (0, MOST_RATE),
        "restarts_per_second": (0, MOST_RATE),
        "jobs_per_second": (0, MOST_RATE),
        "seconds": (1, MOST_SECONDS),
        "settle": (1, MOST_SECONDS),
        "seed": (0, 1 << 32),
        "lease_ms": LEASE_MS,
        "fan_out": (0, MAX_FAN_OUT),
        "teams": (0, 1000),
        "rack_at": (-1, MOST_SECONDS),
        "zone_at": (-1, MOST_SECONDS),
    }
    for name, (least, most) in ranges.items():
        value = getattr(options, name)
        if not least <= value <= most:  # what is no number is in no range
            raise BadOptions(f"--{name.replace('_', '-')} is not from {least:g} to {most:g}: {value:g}")
    if not options.out:
        raise BadOptions("--out is missing: a folder for scale.json and the plot")
    if options.dispatchers > MOST_DISPATCHERS:
        raise BadOptions(f"--real and --hollow are {options.dispatchers} together, over {MOST_DISPATCHERS}")
    if options.fan_out == 1:
        raise BadOptions("--fan-out is 1: 0, or from 2 on")
    if options.voters % 2 == 0:
        raise BadOptions(f"--voters is even: {options.voters}")
    if options.voters > options.dispatchers:
        raise BadOptions(f"--voters is over all dispatchers: {options.voters} of {options.dispatchers}")
    if options.zones < options.regions:
        raise BadOptions(f"--zones is below --regions: {options.zones} of {options.regions}")
    for name in ("rack_at", "zone_at"):
        if getattr(options, name) >= options.seconds:
            raise BadOptions(f"--{name.replace('_', '-')} is not within --seconds {options.seconds:g}")
    if options.processes > MOST_PROCESSES:
        raise BadOptions(f"{options.processes} processes would run, over {MOST_PROCESSES}")
    most = int((memory or machine_memory()) * MEMORY_SHARE)
    if options.memory_bytes > most:
        raise BadOptions(
            f"about {options.memory_bytes >> 20} MB would be held, over {most >> 20} MB, "
            "half of this machine's memory"
        )
    return options
