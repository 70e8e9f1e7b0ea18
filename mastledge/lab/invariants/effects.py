"""Invariants of effects: a run-once job has one at the most, and a rejected one none."""

from collections import defaultdict
from collections.abc import Iterator

from mastledge.lab.invariants.record_queries import Record, of


def one_effect_a_key(record: Record) -> Iterator[str]:
    """Where keys are kept: a run-once key has its effect once, over all tries of its client."""
    effects = defaultdict(list)
    for event in of(record, "effect") if record.get("repeats") else ():
        if event["type"] in record["run_once"]:
            effects[event["key"]].append(event["job"])
    for key, jobs in effects.items():
        if len(jobs) > 1:
            yield f"run-once key {key} had its effect {len(jobs)} times, for {', '.join(jobs)}"


def no_effect_twice(record: Record) -> Iterator[str]:
    """Rule 2, for one try of a run-once job: over all its launches there is one effect."""
    effects = defaultdict(list)
    for event in of(record, "effect"):
        if event["type"] in record["run_once"]:
            effects[event["job"]].append(event["worker"])
    for job, workers in effects.items():
        if len(workers) > 1:
            yield f"run-once job {job} had its effect {len(workers)} times, at {', '.join(workers)}"


def harmless_rejections(record: Record) -> Iterator[str]:
    """Rule 2: what was rejected had no effect, where a second one would be one too many."""
    rejected = {event["job"] for event in of(record, "answer") if event["status"] in (429, 503)}
    for event in of(record, "effect"):
        if event["type"] in record["run_once"] and event["job"] in rejected:
            yield f"run-once job {event['job']} was rejected and had its effect at {event['worker']}"
