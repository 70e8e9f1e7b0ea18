"""What it costs to keep the keys of jobs: in memory, on a disk, and at several dispatchers."""

import os
import tempfile
import time
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import Any

import numpy

from mastledge.lab.bench.measured_rig import Figures
from mastledge.lab.bench.percentiles import ratios_to_off, rounded_percentile
from mastledge.lab.bench.processor_time import LoadPlan, alternating, measure_load

KEPT_KEYS = {"keep_ms": 60_000, "entries": 200_000, "bytes": 1 << 28}
SYNC_CONTENT = b"x" * 200
SYNCS = 200
FLEET_SIZE = 5
REPLICA_COUNTS = (1, 3, 5)


@dataclass(frozen=True, slots=True)
class RetentionKind:
    """One way to keep keys: what configures it (nothing: not at all), and the share of jobs with a key."""

    on_disk: bool = False
    repeats: dict[str, Any] = field(default_factory=dict)
    keyed: float = 1.0

    def plan(self, base: LoadPlan, folder: str) -> LoadPlan:
        """The load with its keys kept so, in `folder` if they go to a disk."""
        repeats = {**KEPT_KEYS, **self.repeats} if self.repeats else {}
        return replace(base, repeats=repeats, disk=folder if self.on_disk else None, keyed=self.keyed)


def sync_times_us(folder: str, count: int = SYNCS) -> list[float]:
    """Microseconds that one small write and its sync take there, p50 and p99."""
    times_us = []
    with tempfile.NamedTemporaryFile(dir=folder) as file:
        for _ in range(count):
            began = time.monotonic_ns()
            os.write(file.fileno(), SYNC_CONTENT)
            os.fdatasync(file.fileno())
            times_us.append((time.monotonic_ns() - began) / 1000)
    return [rounded_percentile(times_us, percent) for percent in (50, 99)]


def compare_retention(
    kinds: dict[str, RetentionKind], pairs: int, base: LoadPlan, seed: int, folder: str | None
) -> Figures:
    """Figures of jobs with keys, kept as each kind says, in alternating order over the same seeds."""
    processor_ms, answer_ms = defaultdict(list), defaultdict(list)
    with tempfile.TemporaryDirectory(dir=folder) as disk:
        for pair in range(pairs):
            for kind in alternating(kinds, pair):
                plan = kinds[kind].plan(base, os.path.join(disk, f"{kind} {pair}"))
                figures = measure_load(plan, seed + pair)
                processor_ms[kind].append(figures["ms_a_job"])
                answer_ms[kind] += figures["ms"]
        sync = sync_times_us(disk)
    out: Figures = {"sync_us_p50_p99": sync}
    for kind in processor_ms:  # in the order of the first pair
        out[kind] = retention_figures(processor_ms, answer_ms, kind)
    return out


def retention_figures(
    processor_ms: dict[str, list[float]], answer_ms: dict[str, list[float]], kind: str
) -> Figures:
    """Jobs, processor time and its ratio to `off` (least, median, greatest), and answer times in ms."""
    ratios = ratios_to_off(processor_ms, kind)
    return {
        "jobs": len(answer_ms[kind]),
        "ms_a_job": round(float(numpy.median(processor_ms[kind])), 3),
        "cpu_to_off": [round(one, 3) for one in (min(ratios), float(numpy.median(ratios)), max(ratios))],
        **{f"p{percent}": rounded_percentile(answer_ms[kind], percent, 2) for percent in (50, 99, 99.9)},
    }


def compare_key_storage(
    pairs: int, per_second: float, seconds: float, seed: int, folder: str | None = None
) -> Figures:
    """One dispatcher: jobs with keys, kept on a disk, kept in memory, and not kept."""
    kinds = {
        "off": RetentionKind(),
        "memory": RetentionKind(repeats={"copies": 1}),
        "disk": RetentionKind(on_disk=True, repeats={"copies": 1}),
    }
    base = LoadPlan(agree=False, per_second=per_second, seconds=seconds, dispatchers=1)
    return compare_retention(kinds, pairs, base, seed, folder)


def compare_replica_counts(
    pairs: int, per_second: float, seconds: float, seed: int, folder: str | None = None
) -> Figures:
    """Five dispatchers: keys kept by one, three and five of them, on disks that are waited for and not;
    and jobs without a key beside that.
    """
    kinds = {
        "off": RetentionKind(),
        "no key, 3": RetentionKind(on_disk=True, repeats={"copies": 3}, keyed=0.0),
    }
    for count in REPLICA_COUNTS:
        kinds[f"{count}"] = RetentionKind(on_disk=True, repeats={"copies": count})
        if count > 1:
            not_synced = {"copies": count, "sync": False}
            kinds[f"{count}, not synced"] = RetentionKind(on_disk=True, repeats=not_synced)
    base = LoadPlan(agree=True, per_second=per_second, seconds=seconds, dispatchers=FLEET_SIZE)
    return compare_retention(kinds, pairs, base, seed, folder)
