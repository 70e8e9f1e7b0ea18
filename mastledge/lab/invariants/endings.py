"""Invariants of the end of a process: it ends by itself in time, answers what it has read, leaves nothing."""

from collections.abc import Iterator

from mastledge.lab.invariants.record_queries import Record, of

CLIENT_GONE_US = 100_000  # after which nothing may be sent for a client that has closed its connection


def processes_end_by_themselves(record: Record) -> Iterator[str]:
    """A process that is told to end is gone before it is killed."""
    for event in of(record, "outlived_shutdown"):
        yield f"{event['who']}, process {event['pid']}, had to be killed"


def what_runs_is_answered(record: Record) -> Iterator[str]:
    """A request that crossed the end of its connection was not read, so no worker has it."""
    crossed = {event["job"]: event for event in of(record, "crossed")}
    for event in of(record, "launch"):
        if event["job"] in crossed:
            who = crossed[event["job"]]["who"]
            yield f"job {event['job']} of {who} was launched at {event['worker']} and got no answer"


def nothing_for_who_has_left(record: Record) -> Iterator[str]:
    """Rule 1: nothing is sent for a client that has closed its connection."""
    left = {event["job"]: event["at"] for event in of(record, "left")}
    for event in of(record, "launch"):
        at = left.get(event["job"])
        if at is not None and event["at"] > at + CLIENT_GONE_US:
            late = (event["at"] - at) / 1000
            yield f"job {event['job']} was launched {late:.0f} ms after its client had left"


def nothing_is_left_behind(record: Record) -> Iterator[str]:
    """No connection of a client that has gone stays open, and no file of a process that has ended stays."""
    for event in of(record, "connections_left"):
        yield f"{event['who']} holds {event['count']} connections of clients that have gone"
    for event in of(record, "file_left"):
        yield f"{event['who']} left the file {event['path']}"


def half_requests_end(record: Record) -> Iterator[str]:
    """A client that stops inside its request gets an error or a close."""
    for event in of(record, "half_request_kept"):
        yield f"{event['who']} kept half request {event['number']} open"
