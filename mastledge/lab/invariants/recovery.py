"""Invariants after the last fault, where a scenario sets goals: the service is back, without a stampede."""

from collections.abc import Iterator

from mastledge.lab.invariants.record_queries import (
    SLACK,
    Record,
    calm_since,
    first_tries,
    goal_window_start,
    out_at_once,
)


def the_service_comes_back(record: Record) -> Iterator[str]:
    """Where a scenario has the goal: so long after the last fault first tries are served as before.

    A record without first tries in that time cannot be judged, which is a breach as well. A harness that was
    late itself may be the cause: the breach says so.
    """
    goals = record.get("goals") or {}
    if not goals.get("back_s"):
        return
    since = goal_window_start(record, goals["back_s"])
    first = first_tries(record)
    late = [(at, end) for at, end in first if at >= since]
    if not late:
        yield f"cannot be judged: nobody came later than {goals['back_s']:g} s after the last fault" + (
            f", the last first try {(since - first[-1][0]) / 1e6:.1f} s before that" if first else ""
        )
        return
    served = sum(end <= at + goals["within_s"] * 1e6 for at, end in late) / len(late)
    if served < goals["share"]:
        line = f"{served:.3f} of first tries are served {goals['back_s']:g} s after the last fault and later"
        lag_ms = record.get("lag_ms", 0)
        if lag_ms * 1000 > SLACK:
            line += f"; the harness, which has the workers, was {lag_ms:.0f} ms late"
        yield line


def no_stampede(record: Record) -> Iterator[str]:
    """Where a scenario has the goal: no worker gets more at once than so many times its slots.

    The workers are the harness's: one that ran late itself has let launches pile up, and can't tell.
    """
    goals = record.get("goals") or {}
    if not goals.get("most_out") or record.get("lag_ms", 0) * 1000 > SLACK:
        return
    for worker, (most, at) in out_at_once(record).items():
        if most > goals["most_out"] * record["cold"]["slots"]:
            after = (at - calm_since(record)) / 1e6
            yield f"{worker} had {most} launches at once, {after:.1f} s after the last fault"
