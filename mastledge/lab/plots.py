"""Plots of experiments and of single records, by matplotlib."""

from __future__ import annotations

from types import ModuleType
from typing import Any

from mastledge.lab import figures
from mastledge.lab.experiment import EMULATED, Experiment, RunRow
from mastledge.lab.reports import record_title

DPI = 110
PANELS_ACROSS = 3
RECORD_LINES = "first tries", "served of them within 2 s", "rejections", "launches"


def load_pyplot() -> ModuleType:
    """Matplotlib, without a display; it takes its time to load, so only who plots loads it."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot


def draw(experiment: Experiment, rows: list[RunRow], path: str) -> None:
    """One panel a figure: over the sweep, or one point a seed and variant. The format is that of the path."""
    pyplot = load_pyplot()
    names = experiment.figures
    across = min(PANELS_ACROSS, len(names))
    down = (len(names) + across - 1) // across
    figure, axes = pyplot.subplots(down, across, figsize=(4.2 * across, 3.2 * down), squeeze=False)
    for axis in axes.flat[len(names) :]:
        axis.axis("off")
    for axis, name in zip(axes.flat, names, strict=False):
        _draw_panel(axis, experiment, rows, name)
    is_simulated = all(experiment.how_of(variant) == EMULATED for variant in experiment.variants)
    figure.suptitle(experiment.name + (" (simulated)" if is_simulated else ""), fontsize=11)
    _save(pyplot, figure, path)


def _draw_panel(axis: Any, experiment: Experiment, rows: list[RunRow], name: str) -> None:
    for n, variant in enumerate(experiment.variants):
        some = [row for row in rows if row.variant == variant.name and row.figures[name] is not None]
        if experiment.sweep is None:
            axis.plot([n] * len(some), [row.figures[name] for row in some], "o", alpha=0.6)
        else:
            line = _draw_swept(axis, experiment.sweep.values, some, name)
            line.set_label(variant.name)
    if experiment.sweep is None:
        names = [variant.name for variant in experiment.variants]
        axis.set_xticks(range(len(names)), names)
        axis.set_xlim(-0.5, len(names) - 0.5)
    else:
        axis.set_xlabel(experiment.sweep.key)
        axis.legend(fontsize=8)
    axis.set_title(name, fontsize=10)
    axis.set_ylim(bottom=0)


def _draw_swept(axis: Any, values: list, rows: list[RunRow], name: str) -> Any:
    """The line of one variant: means, and the span from the least to the most."""
    played = [value for value in values if any(row.value == value for row in rows)]
    by_value = [[row.figures[name] for row in rows if row.value == value] for value in played]
    means = [sum(each) / len(each) for each in by_value]
    line = axis.plot(played, means, "o-")[0]
    least, most = [min(each) for each in by_value], [max(each) for each in by_value]
    axis.fill_between(played, least, most, color=line.get_color(), alpha=0.15)
    return line


def draw_record(record: dict, path: str) -> None:
    """Second by second: first tries, served of them, rejections, launches; faults are shaded."""
    pyplot = load_pyplot()
    rows = figures.by_second(record)
    began = next((event["at"] for event in record["events"] if event["kind"] == "began"), 0)
    figure, axis = pyplot.subplots(figsize=(8, 3.6))
    for column, label in enumerate(RECORD_LINES, 1):
        axis.plot([row[0] for row in rows], [row[column] for row in rows], label=label)
    for spell in record["spells"]:
        if spell["to"] != float("inf"):
            axis.axvspan((spell["from"] - began) / 1e6, (spell["to"] - began) / 1e6, color="red", alpha=0.06)
    axis.set_xlabel("seconds")
    axis.set_ylabel("a second")
    axis.legend(fontsize=8)
    axis.set_title(record_title(record), fontsize=10)
    _save(pyplot, figure, path)


def _save(pyplot: ModuleType, figure: Any, path: str) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=DPI)
    pyplot.close(figure)
