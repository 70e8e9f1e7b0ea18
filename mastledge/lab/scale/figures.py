"""Figures as a scale run tells them: rounded, and percentiles of times."""

import numpy

PERCENTILES = (50, 99)


def rounded(traffic: dict[str, list[float]]) -> dict[str, list[float]]:
    """Messages and bytes a second by kind, in the order of the kinds."""
    return {kind: [round(count, 2), round(size, 1)] for kind, (count, size) in sorted(traffic.items())}


def spread(times_ms: list[float]) -> dict[str, float]:
    """Count, percentiles and the most of milliseconds; the count alone where there are none."""
    if not times_ms:
        return {"count": 0}
    at = {f"p{percent}": round(float(numpy.percentile(times_ms, percent)), 1) for percent in PERCENTILES}
    return {"count": len(times_ms), **at, "most": round(max(times_ms), 1)}
