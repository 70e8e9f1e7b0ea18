"""What the meter of a dispatcher has written, and what two readings say of the time between them."""

import msgspec

AGREEMENT, LIST, CALLS, JOBS, UPKEEP, METER = "agreement", "list", "calls", "jobs", "upkeep", "meter"
CONTROL_PURPOSES = (AGREEMENT, LIST, CALLS, UPKEEP)

PurposeFigures = dict[str, float]
TrafficFigures = dict[str, list[float]]  # messages and bytes a second, by the kind of message


class MeterReading(msgspec.Struct, frozen=True):
    """Counts of one process since its start; `at` is on the monotonic clock, in microseconds.

    `spent_us` and `steps` are by purpose, `sent` and `received` are counts and bytes by the kind of message,
    `turns` are the longest turns of the loop with the time of their ends, in microseconds.
    """

    at: int
    process_us: int
    thread_us: int
    spent_us: dict[str, int]
    steps: dict[str, int]
    sent: dict[str, tuple[int, int]] = {}
    received: dict[str, tuple[int, int]] = {}
    turns: list[tuple[int, int]] = []


def seconds_between(before: MeterReading, after: MeterReading) -> float:
    """Seconds between two readings."""
    return (after.at - before.at) / 1e6


def grown(before: dict[str, int], after: dict[str, int], names: set[str]) -> dict[str, int]:
    """How much each count has grown."""
    return {name: after.get(name, 0) - before.get(name, 0) for name in names}


def share(before: MeterReading, after: MeterReading) -> PurposeFigures:
    """Processor time by purpose between two readings, in microseconds a second, and the control's sum.

    What no step had is shared out by the steps of each purpose; other threads count as agreement.
    """
    purposes = set(after.spent_us) | set(after.steps)
    spent_us = grown(before.spent_us, after.spent_us, purposes)
    steps = grown(before.steps, after.steps, purposes)
    thread_us = after.thread_us - before.thread_us
    process_us = after.process_us - before.process_us
    between_us = max(0, thread_us - sum(spent_us.values()))
    all_steps = max(1, sum(steps.values()))
    used_us = {purpose: spent_us[purpose] + between_us * steps[purpose] / all_steps for purpose in purposes}
    used_us[AGREEMENT] = used_us.get(AGREEMENT, 0) + max(0, process_us - thread_us)
    seconds = seconds_between(before, after)
    rates = {purpose: used / seconds for purpose, used in used_us.items()}
    return {**rates, "control": sum(rates.get(purpose, 0) for purpose in CONTROL_PURPOSES)}


def traffic(
    before: dict[str, tuple[int, int]], after: dict[str, tuple[int, int]], seconds: float
) -> TrafficFigures:
    """{kind: [messages a second, bytes a second]} of what was sent or received, and their sum as "all"."""
    rates = {}
    for kind, (count, size_bytes) in after.items():
        count_before, bytes_before = before.get(kind, (0, 0))
        rates[kind] = [(count - count_before) / seconds, (size_bytes - bytes_before) / seconds]
    rates["all"] = [sum(rate[index] for rate in rates.values()) for index in (0, 1)]
    return rates


def longest_turn(before: MeterReading, after: MeterReading) -> int:
    """Microseconds of the longest turn of the loop that ended between two readings."""
    return max((turn for at, turn in after.turns if before.at < at <= after.at), default=0)
