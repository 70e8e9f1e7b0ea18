"""What counts as a difference between variants of an experiment (docs/laboratory.md)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec
import numpy

from mastledge.lab import figures

RESAMPLES = 10_000
MIN_SEEDS = 4  # below which nothing is called a difference
MIN_BASE_MEAN = 1e-9  # so that a relative difference from 0 is defined


class Cell(NamedTuple):
    """Where a comparison stands: a figure, at a value of the sweep, of a variant against the base."""

    figure: str
    value: object
    variant: str
    base: str


class Comparison(msgspec.Struct):
    """One row of a report. Means, spread and differences are in the unit of the figure, None where there is
    none; `low` and `high`: 95% of the mean of the paired differences.
    """

    figure: str
    value: Any
    variant: str
    base: str
    pairs: int
    mean: float | None = None
    base_mean: float | None = None
    spread: float | None = None
    difference: float | None = None
    low: float | None = None
    high: float | None = None
    verdict: str = "no figures"


def confidence_interval(differences: Sequence[float], seed: int = 1) -> tuple[float, float]:
    """95% of the mean of paired differences, by resampling (Efron 1979); one seed, so the same each time."""
    values = numpy.array(differences, float)
    random = numpy.random.Generator(numpy.random.PCG64(seed))
    means = values[random.integers(len(values), size=(RESAMPLES, len(values)))].mean(axis=1)
    return float(numpy.percentile(means, 2.5)), float(numpy.percentile(means, 97.5))


def compare_pairs(cell: Cell, pairs: Sequence[Sequence[float]], least: float) -> Comparison:
    """Compares (base, variant) pairs of a figure, one a seed.

    The variant is called better or worse where 95% of the mean difference lie on one side of 0, over at least
    MIN_SEEDS pairs, and the mean is at least `least` (of the base's mean, or of 1 where the figure is a
    share); else no difference is told.
    """
    comparison = Comparison(*cell, pairs=len(pairs))
    if not pairs:
        return comparison
    values = numpy.array(pairs, float)
    comparison.base_mean = float(values[:, 0].mean())
    comparison.mean = float(values[:, 1].mean())
    comparison.spread = float(values[:, 1].std(ddof=1)) if len(values) > 1 else 0.0
    if cell.variant == cell.base:
        comparison.verdict = "base"
        return comparison
    differences = values[:, 1] - values[:, 0]
    comparison.low, comparison.high = confidence_interval(differences)
    comparison.difference = float(differences.mean())
    comparison.verdict = _verdict(comparison, least)
    return comparison


def _verdict(comparison: Comparison, least: float) -> str:
    more_is_better = figures.FIGURES[comparison.figure][1]
    least_difference = least * (1.0 if more_is_better else max(abs(comparison.base_mean), MIN_BASE_MEAN))
    if comparison.pairs < MIN_SEEDS:
        return f"too few seeds: {comparison.pairs}"
    is_one_sided = comparison.low > 0 or comparison.high < 0
    if is_one_sided and abs(comparison.difference) >= least_difference:
        return "better" if (comparison.difference > 0) == more_is_better else "worse"
    return "no difference told"
