"""Queries over a record that several invariants, figures and searches share.

Times of a record are microseconds of one clock.
"""

from collections import defaultdict
from typing import Any

# As `record.json` holds them: maps, as each kind of event has fields of its own.
Record = dict[str, Any]
Event = dict[str, Any]

SLACK = 50_000  # microseconds in which a message gets through a busy machine


def of(record: Record, *kinds: str) -> list[Event]:
    """The events of a record that are of one of these kinds, in their order."""
    return [event for event in record["events"] if event["kind"] in kinds]


def excused(record: Record, who: str, since: int, until: int) -> bool:
    """Whether the scenario kept this dispatcher from answering at any time from `since` to `until`."""
    return any(
        spell["who"] == who and spell["from"] <= until and since <= spell["to"] + SLACK
        for spell in record["spells"]
        if spell["fault"] in ("kill", "stop", "wipe", "lose", "tear", "put_back", "clone", "spoil_file")
    )


def first_tries(record: Record) -> list[tuple[int, float]]:
    """[(when it was sent, when it was served at any try, or infinity)] of the clients, in their order."""
    first, end = {}, {}
    for event in of(record, "sent"):
        if not event["attempt"]:
            first[event["job"].partition(".")[0]] = event["at"]
    for event in of(record, "answer"):
        if event["status"] == 200:
            end.setdefault(event["job"].partition(".")[0], event["at"])
    return sorted((at, end.get(client, float("inf"))) for client, at in first.items())


def calm_since(record: Record) -> float:
    """When the last fault was over; 0 where there was none."""
    return max((spell["to"] for spell in record["spells"]), default=0)


def hold_up_us(record: Record, who: str, since: int, until: int) -> int:
    """Return for how long the machine kept a dispatcher's processes from running in that time.

    Simulated runs have none.
    """
    return sum(
        event["us"]
        for event in of(record, "run_delay")
        if event["who"] == who and since <= event["at"] <= until
    )


def goal_window_start(record: Record, back_s: float) -> float:
    """Return the time from which first tries count for the goal `back_s` (seconds after the last fault)."""
    return calm_since(record) + back_s * 1e6


def out_at_once(record: Record) -> dict[str, tuple[int, int]]:
    """{worker: (most launches there at once, when)}, by what it has taken and what has ended there."""
    out, most = defaultdict(int), {}
    for event in of(record, "launch", "effect", "dropped", "reborn"):
        worker = event["worker"]
        if event["kind"] == "reborn":
            out[worker] = 0
            continue
        out[worker] = max(0, out[worker] + (1 if event["kind"] == "launch" else -1))
        if out[worker] > most.get(worker, (0, 0))[0]:
            most[worker] = (out[worker], event["at"])
    return most
