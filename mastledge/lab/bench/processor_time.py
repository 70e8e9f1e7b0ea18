"""Processor time of the dispatchers for each job: with and without peers, and of an earlier version."""

import asyncio
import os
import sys
import time
from dataclasses import dataclass, field
from typing import Any

import numpy

from mastledge.lab.bench.measured_rig import Figures, MeasuredRig, measured
from mastledge.lab.bench.percentiles import ratios_to_off
from mastledge.lab.load import Clients as Load
from mastledge.lab.scenario import Clients, QueueType, Scenario, Workers

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
FRONT_LOOK_SECONDS = 0.3  # in which the front asks who is ready, before the first job
LOAD_WORKERS = Workers(count=6, slots=20, run_ms=(5, 15))


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """A load on dispatchers of one configuration.

    `repeats` configures the kept keys, on `disk` if that is given; `keyed` is the share of jobs with a key;
    `program` is the command line of another program.
    """

    agree: bool
    per_second: float
    seconds: float
    dispatchers: int = 3
    repeats: dict[str, Any] = field(default_factory=dict)
    disk: str | None = None
    keyed: float = 1.0
    program: list[str] | None = None

    def scenario(self) -> Scenario:
        """The scenario whose clients bring the load."""
        return Scenario(
            name="cpu",
            seconds=self.seconds,
            agree=self.agree,
            repeats=self.repeats,
            dispatchers=self.dispatchers,
            workers=LOAD_WORKERS,
            clients=Clients(
                per_second=self.per_second,
                retries=0,
                keyed=self.keyed,
                queue_types=[QueueType(name="read")],
            ),
        )


def processor_seconds(process_id: int) -> float:
    """What a process has had so far, user and system (proc_pid_stat(5), fields 14 and 15)."""
    with open(f"/proc/{process_id}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def measure_load(plan: LoadPlan, seed: int) -> Figures:
    """Processor milliseconds of all dispatchers for each job that was answered, and the jobs' times."""
    scenario = plan.scenario()

    async def measure(rig: MeasuredRig) -> Figures:
        clients = Load(rig, scenario.clients, seed, plan.seconds)
        look = asyncio.create_task(clients.front.look())
        await asyncio.sleep(FRONT_LOOK_SECONDS)
        before = {name: processor_seconds(node.process.pid) for name, node in rig.nodes.items()}
        await clients.run(time.monotonic_ns() // 1000)
        used = sum(processor_seconds(node.process.pid) - before[name] for name, node in rig.nodes.items())
        look.cancel()
        times_ms = [
            event["ms"] for event in rig.events if event["kind"] == "answer" and event["status"] == 200
        ]
        return {"ms_a_job": used * 1000 / max(1, len(times_ms)), "jobs": len(times_ms), "ms": times_ms}

    return measured(MeasuredRig(scenario, seed, measure, program=plan.program, disk=plan.disk))


def alternating(kinds: dict[str, Any], pair: int) -> list[str]:
    """The kinds in the order of one pair of runs: forth in each odd one, back in each even one."""
    return list(kinds) if pair % 2 else list(kinds)[::-1]


def earlier_program(folder: str) -> list[str]:
    """The command line of the program in another folder."""
    code = (
        f"import sys; sys.path.insert(0, {folder!r}); sys.argv[0] = "
        "'mastledge'; from mastledge.program.command import main; sys.exit(main())"
    )
    return [sys.executable, "-B", "-c", code]


def compare_processor_time(
    pairs: int, per_second: float, seconds: float, seed: int, earlier: str | None = None
) -> Figures:
    """Peers on and off, and an earlier version of the program, in alternating pairs over the same seeds."""
    plans = {
        "off": LoadPlan(agree=False, per_second=per_second, seconds=seconds),
        "on": LoadPlan(agree=True, per_second=per_second, seconds=seconds),
    }
    if earlier:
        plans["earlier"] = LoadPlan(
            agree=False, per_second=per_second, seconds=seconds, program=earlier_program(earlier)
        )
    figures = {kind: [] for kind in plans}
    for pair in range(pairs):
        for kind in alternating(plans, pair):
            figures[kind].append(measure_load(plans[kind], seed + pair)["ms_a_job"])
    return {kind: compared(figures, kind) for kind in plans}


def compared(figures: dict[str, list[float]], kind: str) -> dict[str, float]:
    """The median of a kind, and how it stands to `off`: median, least and greatest ratio."""
    median = {"ms_a_job": round(float(numpy.median(figures[kind])), 4)}
    if kind == "off":
        return median
    ratios = ratios_to_off(figures, kind)
    return {
        **median,
        "to_off": round(float(numpy.median(ratios)), 4),
        "from": round(min(ratios), 4),
        "up_to": round(max(ratios), 4),
    }
