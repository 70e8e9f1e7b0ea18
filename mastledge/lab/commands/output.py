"""What the commands of the laboratory print: progress, errors of a call, and the verdict of a run."""

import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

from mastledge.lab.judge import judged

STATUS_GOOD, STATUS_BROKEN, STATUS_BAD_CALL = 0, 1, 2
MAX_LINES_PER_RULE = 5


def progress(quiet: bool) -> Callable[[str], None] | None:
    """What prints a line of progress at once; None where only the summary is wanted."""
    return None if quiet else lambda text: print(text, flush=True)


def bad_call(error: Exception) -> int:
    """Prints what is wrong with a call; its status."""
    print(f"mastledge: {error}", file=sys.stderr)
    return STATUS_BAD_CALL


def summary(record: dict[str, Any]) -> str:
    """Figures of a run, as text."""
    answers = Counter(event["status"] for event in record["events"] if event["kind"] == "answer")
    lost = sum(event["kind"] == "lost" for event in record["events"])
    times_ms = sorted(
        event["ms"] for event in record["events"] if event["kind"] == "answer" and event["status"] == 200
    )
    text = f"served {answers[200]}, rejected {answers[503]}, killed {answers[500]}, lost {lost}"
    if times_ms:
        median, percentile_99 = times_ms[len(times_ms) // 2], times_ms[len(times_ms) * 99 // 100]
        text += f"; p50 {median:.0f} ms, p99 {percentile_99:.0f} ms"
    return text + f"; the rig itself was up to {record['lag_ms']:.0f} ms late"


def print_verdict(name: str, seed: int, record: dict[str, Any], how: str = "") -> int:
    """Prints what a run came to, and what rules it broke; its status."""
    breaches = judged(record)
    print(f"{name}, seed {seed}{how}: {summary(record)}")
    if not record["complete"]:
        print(f"incomplete: {record['why']}")
    for rule, lines in breaches.items():
        for line in lines[:MAX_LINES_PER_RULE]:
            print(f"broken: {rule}: {line}")
    broken = sum(len(lines) for lines in breaches.values())
    print(f"{broken} breaches of {len(breaches)} rules")
    return STATUS_BROKEN if broken or not record["complete"] else STATUS_GOOD
