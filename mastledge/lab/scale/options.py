"""What a scale run is asked for, checked whole before anything starts."""

import math
import os
from dataclasses import asdict, dataclass

from mastledge.consensus.changes import MAX_FAN_OUT

MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5  # of the machine's memory, at most
MAX_DISPATCHERS = 1024
MAX_WORKERS = 4096
MAX_VOTERS = 7
MAX_SECONDS = 600.0
MAX_RATE_PER_SECOND = 10_000.0  # of changes, restarts or jobs a second
MAX_ROUND_TRIP_MS = 1_000.0
LEASE_RANGE_MS = 500, 60_000  # as `peers.lease_ms` of the configuration

LIGHTWEIGHT_DISPATCHERS_PER_PROCESS = 29
WORKERS_PER_PROCESS = 850

# Estimates of resident memory, rounded up from what runs have shown.
REAL_PROCESS_BYTES = 40 << 20
REAL_BYTES_PER_WORKER = 12 << 10
HOST_PROCESS_BYTES = 48 << 20
LIGHTWEIGHT_DISPATCHER_BYTES = 1 << 20
LIGHTWEIGHT_BYTES_PER_MEMBER = 4 << 10
LIGHTWEIGHT_WORKER_BYTES = 40 << 10


class InvalidOptionsError(ValueError):
    """An unknown or impossible figure, named in one line."""


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
        """All of them, real and lightweight."""
        return self.real + self.hollow

    @property
    def lightweight_processes(self) -> int:
        """Processes that host the lightweight dispatchers."""
        return math.ceil(self.hollow / LIGHTWEIGHT_DISPATCHERS_PER_PROCESS)

    @property
    def worker_processes(self) -> int:
        """Processes that host the workers."""
        return math.ceil(self.workers / WORKERS_PER_PROCESS)

    @property
    def processes(self) -> int:
        """All that run at once, with this one and the idle dispatcher that memory is compared with."""
        return self.real + self.lightweight_processes + self.worker_processes + 2

    @property
    def memory_bytes(self) -> int:
        """An estimate of what all processes hold at once."""
        real = self.real * (REAL_PROCESS_BYTES + self.workers * REAL_BYTES_PER_WORKER)
        lightweight = self.hollow * (
            LIGHTWEIGHT_DISPATCHER_BYTES + self.dispatchers * LIGHTWEIGHT_BYTES_PER_MEMBER
        )
        hosts = (self.lightweight_processes + self.worker_processes) * HOST_PROCESS_BYTES
        return real + lightweight + hosts + self.workers * LIGHTWEIGHT_WORKER_BYTES

    def as_dict(self) -> dict:
        """All figures, without the folder of this machine."""
        return {name: value for name, value in asdict(self).items() if name != "out"}


RANGES = {
    "real": (2, MAX_DISPATCHERS),
    "hollow": (0, MAX_DISPATCHERS),
    "voters": (1, MAX_VOTERS),
    "workers": (1, MAX_WORKERS),
    "regions": (1, MAX_DISPATCHERS),
    "zones": (1, MAX_DISPATCHERS),
    "round_trip_ms": (0, MAX_ROUND_TRIP_MS),
    "changes_per_second": (0, MAX_RATE_PER_SECOND),
    "restarts_per_second": (0, MAX_RATE_PER_SECOND),
    "jobs_per_second": (0, MAX_RATE_PER_SECOND),
    "seconds": (1, MAX_SECONDS),
    "settle": (1, MAX_SECONDS),
    "seed": (0, 1 << 32),
    "lease_ms": LEASE_RANGE_MS,
    "fan_out": (0, MAX_FAN_OUT),
    "teams": (0, 1000),
    "rack_at": (-1, MAX_SECONDS),
    "zone_at": (-1, MAX_SECONDS),
}


def machine_memory() -> int:
    """The machine's memory in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def check(options: ScaleOptions, memory: int | None = None) -> ScaleOptions:
    """The options as they are; raises InvalidOptionsError with one line that names the first bad figure.

    `memory` is that of the machine in bytes.
    """
    check_ranges(options)
    if not options.out:
        raise InvalidOptionsError("--out is missing: a folder for scale.json and the plot")
    check_fleet(options)
    check_outages(options)
    check_machine(options, memory or machine_memory())
    return options


def option_name(field: str) -> str:
    """The option of the command line that sets a field."""
    return f"--{field.replace('_', '-')}"


def check_ranges(options: ScaleOptions) -> None:
    """Each figure by itself."""
    for name, (least, most) in RANGES.items():
        value = getattr(options, name)
        if not least <= value <= most:  # what is no number is in no range
            raise InvalidOptionsError(f"{option_name(name)} is not from {least:g} to {most:g}: {value:g}")


def check_fleet(options: ScaleOptions) -> None:
    """Figures of the fleet that have to go together."""
    if options.dispatchers > MAX_DISPATCHERS:
        raise InvalidOptionsError(
            f"--real and --hollow are {options.dispatchers} together, over {MAX_DISPATCHERS}"
        )
    if options.fan_out == 1:
        raise InvalidOptionsError("--fan-out is 1: 0, or from 2 on")
    if options.voters % 2 == 0:
        raise InvalidOptionsError(f"--voters is even: {options.voters}")
    if options.voters > options.dispatchers:
        raise InvalidOptionsError(
            f"--voters is over all dispatchers: {options.voters} of {options.dispatchers}"
        )
    if options.zones < options.regions:
        raise InvalidOptionsError(f"--zones is below --regions: {options.zones} of {options.regions}")


def check_outages(options: ScaleOptions) -> None:
    """Outages have to begin while the run is measured."""
    for name in ("rack_at", "zone_at"):
        if getattr(options, name) >= options.seconds:
            raise InvalidOptionsError(f"{option_name(name)} is not within --seconds {options.seconds:g}")


def check_machine(options: ScaleOptions, memory: int) -> None:
    """What the run takes of a machine with that many bytes of memory."""
    if options.processes > MAX_PROCESSES:
        raise InvalidOptionsError(f"{options.processes} processes would run, over {MAX_PROCESSES}")
    most = int(memory * MAX_MEMORY_SHARE)
    if options.memory_bytes > most:
        raise InvalidOptionsError(
            f"about {options.memory_bytes >> 20} MB would be held, over {most >> 20} MB, "
            "half of this machine's memory"
        )
