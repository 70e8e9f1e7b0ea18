"""Invariants of processes: none ends by itself, and a refused start says why in one line."""

from collections.abc import Iterator

from mastledge.lab.invariants.record_queries import Record, of


def nobody_crashes(record: Record) -> Iterator[str]:
    """A process ends when it is told to, with status 0."""
    for event in of(record, "crashed"):
        yield f"{event['who']} ended by itself with {event['status']}"


def refusals_are_plain(record: Record) -> Iterator[str]:
    """A start that can't be is one message with its reason, status 1, and no trace."""
    for event in of(record, "refused"):
        if event["status"] != 1 or not event["text"].startswith("mastledge: cannot serve: "):
            yield f"{event['who']} ended with {event['status']}: {event['text']}"
