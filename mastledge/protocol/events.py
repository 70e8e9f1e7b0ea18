"""Events that the protocol layer queues for the scheduler, one class per kind.

They are named tuples because several are created for each job, and creating a frozen dataclass takes more
than twice as long. Launches and jobs are objects of the queue's reader, which alone knows their type.
"""

from typing import Any, NamedTuple

from mastledge.protocol.requests import Exchange


class EndpointsChanged(NamedTuple):
    """The endpoint list was read or has changed.

    `kind` is "whole", "changes", "failed" or the name passed to `Discovery.apply`. An entry is (id, address,
    zone, state, start, machine type, cell, weight); the start is in microseconds of the monotonic clock, 0 if
    unknown.
    """

    kind: str
    entries: list[tuple] | tuple


class JobArrived(NamedTuple):
    """A job was admitted; `terms` are its properties as returned by `Requests.job`."""

    exchange: Exchange
    terms: tuple


class JobAbandoned(NamedTuple):
    """No client waits for the job's answer any more, and the job is to be stopped."""

    exchange: Exchange


class ClientLeft(NamedTuple):
    """A client of the job has disconnected; others may wait for the same answer."""

    exchange: Exchange


class LaunchStarted(NamedTuple):
    """The worker reports that the launch has started."""

    launch: Any


class LaunchUnconfirmed(NamedTuple):
    """The worker has not confirmed the launch in the expected time."""

    launch: Any


class LaunchProgressed(NamedTuple):
    """The worker reports the share of the work that is done."""

    launch: Any
    share: float


class LaunchEnded(NamedTuple):
    """A launch ended; sent once per launch. `outcome` is a `scheduling.outcomes.Outcome` or its value.

    `report` is the worker's load report, empty if there was none.
    """

    launch: Any
    outcome: str
    result: bytes | None
    report: tuple[float, ...]
