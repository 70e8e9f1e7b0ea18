"""What the program puts into the router's queue; what comes from sockets stands in `protocol.events`."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkersExcluded:
    """Operators exclude these workers and no others; `on_applied` is called once that holds.

    `included_at` are the times from which workers are back, in microseconds of the monotonic clock.
    """

    excluded: frozenset[str]
    included_at: Mapping[str, int]
    on_applied: Callable[[], object]


@dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """What is in force is not known here any more."""


@dataclass(frozen=True, slots=True)
class LearnedStateRestored:
    """What another process of this dispatcher has learned, as `Scheduler.restore_learned` takes it."""

    learned: dict[str, list]


@dataclass(frozen=True, slots=True)
class TrafficShareChanged:
    """This process's part of the dispatcher's jobs, from 0 to 1."""

    share: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings of the decisions."""

    settings: dict


@dataclass(frozen=True, slots=True)
class ShutdownScheduled:
    """The process ends at that time, in microseconds of the monotonic clock."""

    end_at: int


@dataclass(frozen=True, slots=True)
class ShutdownDue:
    """The process ends now: each open job is answered."""
