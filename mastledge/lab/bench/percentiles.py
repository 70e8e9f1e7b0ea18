"""Percentiles of measured times."""

from collections.abc import Iterable, Mapping

import numpy

PERCENTILES = (50, 90, 99)


def spread(times_ms: Iterable[float]) -> dict[str, float]:
    """Count, percentiles and maximum (`most`) of at least one time in milliseconds, to a tenth of one."""
    ordered = sorted(times_ms)
    at = {f"p{percent}": rounded_percentile(ordered, percent, 1) for percent in PERCENTILES}
    return {"count": len(ordered), **at, "most": round(ordered[-1], 1)}


def rounded_percentile(figures: Iterable[float], percent: float, digits: int | None = None) -> float:
    """One percentile by linear interpolation; a whole number where no `digits` are given."""
    return round(float(numpy.percentile(figures, percent)), digits)


def ratios_to_off(figures: Mapping[str, list[float]], kind: str) -> list[float]:
    """What each run of a kind came to, divided by the run of `off` over the same seed."""
    return [mine / off for mine, off in zip(figures[kind], figures["off"], strict=True)]
