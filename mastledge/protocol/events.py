"""What the protocol side puts into the queue of the decisions: one class for each kind of news.

They are named tuples and no dataclasses: several are made for each job, and a frozen dataclass takes more
than twice as long to make. Launches and jobs are those of the queue's reader, which alone knows their type.
"""

from typing import Any, NamedTuple

from mastledge.protocol.requests import Exchange


class EndpointsChanged(NamedTuple):
    """The endpoint list was read or has changed.

    `kind` is "whole", "changes", "failed" or the name that a caller of `Discovery.apply` gave. An entry is
    (id, address, zone, state, start, machine type, cell, weight), the start in microseconds of the monotonic
    clock, 0 for none.
    """

    kind: str
    entries: list[tuple] | tuple


class JobArrived(NamedTuple):
    """A job was let in; `terms` are what the decisions are told of it, as `Requests.job` gives them."""

    exchange: Exchange
    terms: tuple


class JobAbandoned(NamedTuple):
    """Nobody waits for the job's answer, and it is not to go on."""

    exchange: Exchange


class ClientLeft(NamedTuple):
    """A client of the job has gone; others may wait for the same answer."""

    exchange: Exchange


class LaunchStarted(NamedTuple):
    """The worker tells that it has begun."""

    launch: Any


class LaunchSilent(NamedTuple):
    """The worker has not even told that it has the launch, in a time in which it should have."""

    launch: Any


class LaunchProgressed(NamedTuple):
    """The worker tells the share that is done."""

    launch: Any
    share: float


class LaunchEnded(NamedTuple):
    """A launch ended, once for each; `outcome` is one of `scheduling.outcomes.Outcome` or its value.

    `report` is the worker's load, empty where none was told.
    """

    launch: Any
    outcome: str
    result: bytes | None
    report: tuple[float, ...]
