"""Invariants of the endpoint list: draining and removed workers get nothing new."""

from collections import defaultdict
from collections.abc import Iterator

from mastledge.lab.invariants.record_queries import SLACK, Record, of


def nothing_to_the_drained(record: Record) -> Iterator[str]:
    """Rule 3: by what each dispatcher was told of the list, to the sum of them."""
    told = defaultdict(list)
    for event in of(record, "told"):
        told[event["who"]].append((event["generation"], event["at"]))
    who = {event["job"]: event["who"] for event in of(record, "sent")}
    listed = defaultdict(list)
    for event in of(record, "listed"):
        listed[event["worker"]].append(event)
    for event in of(record, "launch"):
        name = who.get(event["job"])
        state = None
        for change in listed.get(event["worker"], ()):
            heard = min(
                (at for generation, at in told[name] if generation >= change["generation"]), default=None
            )
            if heard is not None and heard + record["grace"] + SLACK < event["at"]:
                state = change["state"]
            elif change["state"] == "ready" and change["at"] <= event["at"]:
                state = "ready"
        if state in ("draining", "gone"):
            yield f"{name} launched {event['job']} on {event['worker']}, which it was told is {state}"
