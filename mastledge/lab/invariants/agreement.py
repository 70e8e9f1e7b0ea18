"""Invariants of what the dispatchers agree on: nothing is lost, one fleet, one order of versions."""

from collections.abc import Iterator

from mastledge.lab.invariants.record_queries import Record, of


def nothing_agreed_is_lost(record: Record) -> Iterator[str]:  # noqa: C901 - one check, read from top to end
    """What was answered as agreed is there at the end at each dispatcher, and all have one version."""
    states = [event for event in of(record, "state") if event["status"] == 200]
    if not states:
        if of(record, "state"):
            yield "no dispatcher tells what is agreed"
        return
    versions = {event["who"]: (event["told"]["version"], tuple(event["told"]["out"])) for event in states}
    if len(set(versions.values())) > 1:
        yield f"dispatchers differ at the end: {versions}"
    for event in of(record, "state"):
        if event["status"] != 200:
            yield f"{event['who']} does not tell what is agreed: {event['status']}"
    want = {}
    for call in of(record, "call"):
        if call["call"] in ("exclude", "include"):
            # One that got no clear answer, or that crossed another one, may have been agreed last or not.
            crossed = any(
                other is not call
                and other.get("worker") == call["worker"]
                and other["began"] <= call["at"]
                and other["at"] >= call["began"]
                for other in of(record, "call")
            )
            sure = call["status"] in (200, 202) and not crossed
            want[call["worker"]] = (call["call"] == "exclude") if sure else None
    out = set(states[0]["told"]["out"])
    for worker, wanted in want.items():
        if wanted is not None and (worker in out) != wanted:
            there = "out" if worker in out else "in"
            yield f"{worker} is {there} at the end, and the last answer said otherwise"
    highest = max((call["version"] for call in of(record, "call") if call["status"] in (200, 202)), default=0)
    for event in states:
        if event["told"]["version"] < highest:
            yield f"version {highest} was agreed, and {event['who']} is at {event['told']['version']}"


def one_fleet(record: Record) -> Iterator[str]:
    """All that are there at the end are of one fleet: none has been begun beside it."""
    states = [event for event in of(record, "state") if event["status"] == 200]
    fleets = {event["who"]: event["told"].get("fleet") for event in states}
    if len(set(fleets.values())) > 1:
        yield f"dispatchers are of several fleets: {fleets}"


def one_order_of_versions(record: Record) -> Iterator[str]:
    """Each version is one change, whoever tells of it."""
    seen = {}
    for event in of(record, "history"):
        for one in event["history"]:
            told = (one["what"], one["by"], one["at"])
            known = seen.setdefault(one["version"], (event["who"], told))
            if known[1] != told:
                yield f"version {one['version']} is {told} at {event['who']}, {known[1]} at {known[0]}"
