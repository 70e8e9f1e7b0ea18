"""Invariants of workers that operators have excluded: once in force, an exclusion holds everywhere."""

from collections import defaultdict
from collections.abc import Iterator

from mastledge.lab.invariants.record_queries import SLACK, Record, of


def nothing_contradicts(record: Record) -> Iterator[str]:
    """No launch contradicts a rule for longer than the stated time: who was called out gets nothing once
    that is in force by the answer, and T after the answer at the latest.
    """
    spans = defaultdict(list)
    calls = of(record, "call")
    for call in calls:
        if call["call"] == "exclude" and call["status"] in (200, 202):
            # From the time that a call back began it may be back, whether or not the caller heard of it.
            until = min(
                (
                    other["began"]
                    for other in calls
                    if other["call"] == "include"
                    and other["worker"] == call["worker"]
                    and other["at"] >= call["began"]
                ),
                default=None,
            )
            spans[call["worker"]].append((call["at"] + call["in_force_in"] * 1000 + SLACK, until))
    for event in of(record, "launch"):
        for since, until in spans.get(event["worker"], ()):
            if event["at"] > since and (until is None or event["at"] < until):
                late = (event["at"] - since) / 1000
                yield f"job {event['job']} went to {event['worker']} {late:.0f} ms after it was out for all"


def here_only_holds_here(record: Record) -> Iterator[str]:
    """A word that holds here only does so from its answer on."""
    who = {event["job"]: event["who"] for event in of(record, "sent")}
    for call in of(record, "call"):
        if call["call"] != "exclude" or call["status"] != 503 or "here only" not in call["text"]:
            continue
        ended = min(
            (
                other["began"]
                for other in of(record, "call")
                if other["call"] == "include"
                and other["worker"] == call["worker"]
                and other["began"] > call["at"]
            ),
            default=float("inf"),
        )
        for event in of(record, "launch"):
            if (
                event["worker"] == call["worker"]
                and who.get(event["job"]) == call["who"]
                and call["at"] + SLACK < event["at"] < ended
            ):
                yield f"{call['who']} launched {event['job']} on {event['worker']}, which is out there"
