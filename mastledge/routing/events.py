"""Events that the program puts into the router's queue; those of the sockets are in `protocol.events`."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkersExcluded:
    """Operators exclude these workers and no others; `on_applied` is called once the router has applied that.

    `included_at`: when workers were included again, by id, in microseconds of the monotonic clock.
    """

    excluded: frozenset[str]
    included_at: Mapping[str, int]
    on_applied: Callable[[], object]


@dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """The lease has lapsed: this dispatcher no longer knows which restrictions are in force."""


@dataclass(frozen=True, slots=True)
class LearnedStateRestored:
    """State learned by another process of this dispatcher, as `Scheduler.restore_learned` takes it."""

    learned: dict[str, list]


@dataclass(frozen=True, slots=True)
class TrafficShareChanged:
    """The share of the dispatcher's jobs that this process serves, from 0 to 1."""

    share: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings for the scheduler."""

    settings: dict


@dataclass(frozen=True, slots=True)
class ShutdownScheduled:
    """The process ends at `end_at`, in microseconds of the monotonic clock."""

    end_at: int


@dataclass(frozen=True, slots=True)
class ShutdownDue:
    """The process ends now: each open job has to be answered."""
