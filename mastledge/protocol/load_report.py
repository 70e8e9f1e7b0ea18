"""The load report that comes with a worker's answer, in a header or in a line."""

from collections.abc import Sequence

# What a worker may call a field: the name by which settings and decisions know it.
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
NOT_REPORTED = -1.0  # no figure of a report is below zero
NO_REPORT = ()


def report_of_header(value: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """The figures of a header `TEXT name=figure,...` in the order of `fields`; () where it is no report."""
    pairs = (pair.partition(b"=") for pair in value.removeprefix(b"TEXT ").split(b","))
    try:
        load = {name.strip().decode(): float(figure) for name, _, figure in pairs if figure}
    except ValueError:
        return NO_REPORT
    return report_of_object(load, fields)


def report_of_object(load: dict, fields: Sequence[str]) -> tuple[float, ...]:
    """The figures of a JSON object in the order of `fields`; () where it holds none."""
    figures = {
        FIELD_NAMES.get(name, name): float(figure)
        for name, figure in load.items()
        if isinstance(figure, int | float)
    }
    return tuple(figures.get(name, NOT_REPORTED) for name in fields) if figures else NO_REPORT
