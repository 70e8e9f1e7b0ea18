"""Invariants of workers that have just started: no more work than their warmth allows."""

from collections.abc import Iterator

from mastledge.lab.invariants.record_queries import Record, of


def cold_ones_are_not_pushed_over(record: Record) -> Iterator[str]:
    """Rule 4: in no window of the stated length does a cold worker get more than its warmth allows.

    With the slack for chance that the standing test has: where that is N jobs of mean work, three times the
    root of N and three more.
    """
    span, multiple, slots, cold_from, cold = (
        record["cold"][x] for x in ("span", "multiple", "slots", "from", "for")
    )
    if not cold:
        return
    born = {}
    for event in record["events"]:
        if event["kind"] == "reborn":
            born[event["worker"]] = event["at"]
    for worker, since in born.items():
        launches = [
            event
            for event in of(record, "launch")
            if event["worker"] == worker and since <= event["at"] < since + cold
        ]
        for n, first in enumerate(launches):
            work = 0
            for event in launches[n:]:
                if event["at"] >= first["at"] + span:
                    break
                work += event["work"]
            warm = min(1.0, cold_from + (1 - cold_from) * (first["at"] + span - since) / cold)
            mean = sum(event["work"] for event in launches) / len(launches)
            allowed = multiple * warm * slots * span / mean
            if work > (allowed + 3 * allowed**0.5 + 3) * mean:
                yield (
                    f"{worker} was given {work / 1000:.0f} ms of work in {span / 1000:.0f} ms, "
                    f"{(first['at'] - since) / 1000:.0f} ms after its start"
                )
                break
