"""Seeded outages: how long until the service is back, and what rules were broken."""

from dataclasses import dataclass

from mastledge.lab import outages
from mastledge.lab.bench.measured_rig import Figures, MeasuredRig, record_of
from mastledge.lab.judge import judged

MAX_BREACHES_TOLD = 5  # of each rule


@dataclass(frozen=True, slots=True)
class OutagePlan:
    """`copies` of each key are kept, none where it is 0; `open_ms` is the admission ramp, 0 without one."""

    count: int
    dispatchers: int
    per_second: float
    copies: int
    open_ms: int = 0


def outage_recovery(plan: OutagePlan, seed: int) -> Figures:
    """Times until the service is back, and what the invariant checker says of all that was seen.

    Raises SystemExit with the reason where the run is incomplete.
    """
    scenario = outages.scenario(plan.count, plan.dispatchers, plan.per_second, plan.copies, plan.open_ms)
    rig = MeasuredRig(scenario, seed, lambda rig: outages.play(rig, plan.count))
    rig.removed = 0
    record = record_of(rig)
    breaches = {rule: lines[:MAX_BREACHES_TOLD] for rule, lines in judged(record).items() if lines}
    answers = [event["status"] for event in record["events"] if event["kind"] == "answer"]
    counts = {str(status): answers.count(status) for status in sorted(set(answers))}
    times = outages.spread(outages.times(record))
    return {
        "outages": plan.count,
        "dispatchers": plan.dispatchers,
        "answers": counts,
        **times,
        "breaches": breaches,
    }
