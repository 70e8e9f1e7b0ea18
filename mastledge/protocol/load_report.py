"""Parses the load report in a worker's answer, from a header or a JSON line."""

from collections.abc import Sequence

# Field names used by workers, mapped to the names in settings and the scheduler.
FIELD_NAMES = {
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "busy",
    "utilization": "busy",
    "latency_ms": "recent_ms",
    "eps": "errors_per_s",
    "x0": "free_slots",
    "x1": "free_memory",
}
NOT_REPORTED = -1.0  # reported values are never negative
NO_REPORT = ()


def report_of_header(value: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """Return the values of a header `TEXT name=value,...` in the order of `fields`; () if malformed."""
    pairs = (pair.partition(b"=") for pair in value.removeprefix(b"TEXT ").split(b","))
    try:
        load = {name.strip().decode(): float(number) for name, _, number in pairs if number}
    except ValueError:
        return NO_REPORT
    return report_of_object(load, fields)


def report_of_object(load: dict, fields: Sequence[str]) -> tuple[float, ...]:
    """Return the values of a JSON object in the order of `fields`; () if it has no numbers."""
    values = {
        FIELD_NAMES.get(name, name): float(number)
        for name, number in load.items()
        if isinstance(number, int | float)
    }
    return tuple(values.get(name, NOT_REPORTED) for name in fields) if values else NO_REPORT
