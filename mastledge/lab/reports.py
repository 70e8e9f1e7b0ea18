"""Reports of experiments and of single records: text, JSON, plots."""

import json
import os

import msgspec

from mastledge.lab import experiment, figures
from mastledge.lab.experiment import shown


def load(folder):
    """The experiment of a folder and its rows; ScenarioError where it is none."""
    try:
        with open(os.path.join(folder, "experiment.json"), "rb") as file:
            told = msgspec.json.decode(file.read(), type=experiment.Experiment)
    except OSError as error:
        raise experiment.ScenarioError(f"{folder}: no experiment: {error.strerror}") from None
    except msgspec.MsgspecError as error:
        raise experiment.ScenarioError(f"{folder}/experiment.json: {error}") from None
    known = {row["key"]: row for row in experiment.written(os.path.join(folder, "runs.jsonl"))}
    keys = [experiment.key_of(told, *one) for one in experiment.plan(told)]
    return told, [known[key] for key in keys if key in known], len(keys)


def report(told, rows, planned):
    """All that a report says, as a map."""
    limits = [f"{row['variant']}, seed {row['seed']}: {row['limited']}" for row in rows if row["limited"]]
    return {
        "name": told.name,
        "about": told.about,
        "how": sorted({one.how or told.how for one in told.variants}),
        "complete": len(rows) == planned and all(row["complete"] for row in rows),
        "runs": len(rows),
        "planned": planned,
        "incomplete": [
            f"{row['variant']}, seed {row['seed']}: {row['why']}" for row in rows if not row["complete"]
        ],
        "machine_was_the_limit": limits,
        "broken": [
            f"{row['variant']}, seed {row['seed']}: {rule}: {line}"
            for row in rows
            for rule, line in row.get("broken", {}).items()
        ],
        "breaches": sum(row["figures"]["breaches"] or 0 for row in rows),
        "rule": "a difference is told where 95% of the mean of paired differences lie on one side of 0, over "
        f"{experiment.LEAST_SEEDS} seeds or more, and it is at least {told.least:g}",
        "rows": experiment.compared(told, rows),
    }


def text(told):
    """The report as lines."""
    simulated = " (simulated)" if told["how"] == ["emulated"] else ""
    yield f"{told['name']}{simulated}: {told['about']}".rstrip(": ")
    yield (
        f"{told['runs']} of {told['planned']} runs, {told['breaches']} broken rules"
        + ("" if told["complete"] else "; INCOMPLETE")
    )
    for line in told["incomplete"]:
        yield f"  incomplete: {line}"
    for line in told["broken"]:
        yield f"  broken: {line}"
    for line in told["machine_was_the_limit"]:
        yield f"  the machine was the limit: {line}"
    yield told["rule"]
    yield f"{'figure':15s} {'at':>10s} {'variant':14s} {'mean':>9s} {'spread':>8s} {'difference':>11s}  95%"
    for row in told["rows"]:
        at = "" if row["value"] is None else f"{row['value']}"
        span = "" if row["low"] is None else f"{row['low']:+.3f} to {row['high']:+.3f}"
        change = "" if row["difference"] is None else f"{row['difference']:+.3f}"
        yield (
            f"{row['figure']:15s} {at:>10s} {row['variant']:14s} {shown(row['mean']):>9s} "
            f"{shown(row['spread']):>8s} {change:>11s}  {span:20s} {row['verdict']}"
        )


def canvas():
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot


def draw(told, rows, path):
    """One panel a figure: over the sweep, or one point a seed and variant."""
    pyplot = canvas()
    names = told.figures
    across = min(3, len(names))
    down = (len(names) + across - 1) // across
    figure, axes = pyplot.subplots(down, across, figsize=(4.2 * across, 3.2 * down), squeeze=False)
    for axis in axes.flat[len(names) :]:
        axis.axis("off")
    for axis, name in zip(axes.flat, names, strict=False):
        for n, variant in enumerate(told.variants):
            some = [row for row in rows if row["variant"] == variant.name]
            some = [row for row in some if row["figures"][name] is not None]
            if told.sweep is None:
                axis.plot([n] * len(some), [row["figures"][name] for row in some], "o", alpha=0.6)
                continue
            at = [value for value in told.sweep.values if any(row["value"] == value for row in some)]
            by = [[row["figures"][name] for row in some if row["value"] == value] for value in at]
            line = axis.plot(at, [sum(each) / len(each) for each in by], "o-", label=variant.name)[0]
            axis.fill_between(
                at, [min(each) for each in by], [max(each) for each in by], color=line.get_color(), alpha=0.15
            )
        if told.sweep is None:
            axis.set_xticks(range(len(told.variants)), [one.name for one in told.variants])
            axis.set_xlim(-0.5, len(told.variants) - 0.5)
        else:
            axis.set_xlabel(told.sweep.key)
            axis.legend(fontsize=8)
        axis.set_title(name, fontsize=10)
        axis.set_ylim(bottom=0)
    how = " (simulated)" if all((one.how or told.how) == "emulated" for one in told.variants) else ""
    figure.suptitle(told.name + how, fontsize=11)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def draw_record(record, path):
    """Second by second: first tries, served of them, rejections, launches; faults are shaded."""
    pyplot = canvas()
    rows = figures.by_second(record)
    began = next((event["at"] for event in record["events"] if event["kind"] == "began"), 0)
    figure, axis = pyplot.subplots(figsize=(8, 3.6))
    labels = "first tries", "served of them within 2 s", "rejections", "launches"
    for n, label in enumerate(labels, 1):
        axis.plot([row[0] for row in rows], [row[n] for row in rows], label=label)
    for spell in record["spells"]:
        if spell["to"] != float("inf"):
            axis.axvspan((spell["from"] - began) / 1e6, (spell["to"] - began) / 1e6, color="red", alpha=0.06)
    axis.set_xlabel("seconds")
    axis.set_ylabel("a second")
    axis.legend(fontsize=8)
    axis.set_title(
        f"{record['scenario']}, seed {record['seed']}" + (" (simulated)" if record.get("simulated") else ""),
        fontsize=10,
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def record_text(record):
    yield f"{record['scenario']}, seed {record['seed']}" + (" (simulated)" if record.get("simulated") else "")
    if not record["complete"]:
        yield f"INCOMPLETE: {record['why']}"
    if figures.limited(record):
        yield f"the machine was the limit: {figures.limited(record)}"
    for name, figure in figures.of_record(record).items():
        yield f"  {name:15s} {shown(figure):>9s}  {figures.FIGURES[name][0]}"


def of_path(path):
    """(record or None, experiment and rows or None) of a file or folder."""
    if os.path.isdir(path) and os.path.exists(os.path.join(path, "record.json")):
        path = os.path.join(path, "record.json")
    if os.path.isdir(path):
        return None, load(path)
    try:
        with open(path) as file:
            return json.load(file), None
    except OSError as error:
        raise experiment.ScenarioError(f"{path}: {error.strerror}") from None
    except json.JSONDecodeError as error:
        raise experiment.ScenarioError(f"{path}: no record: {error}") from None
