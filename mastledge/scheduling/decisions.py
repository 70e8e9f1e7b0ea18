"""What a host has to carry out. Ids are those that the host gave; times are whole microseconds."""

from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LaunchJob:
    """Send the job to the worker, the last byte within this time or not at all; 0: while the job is open.

    The launches of a job count from 0.
    """

    job: Hashable
    worker: Hashable
    within: int


@dataclass(frozen=True, slots=True)
class RejectJob:
    """Final: trying again is harmless, best after this time."""

    job: Hashable
    retry_after: int


@dataclass(frozen=True, slots=True)
class KillJob:
    """Final: nothing is promised."""

    job: Hashable


@dataclass(frozen=True, slots=True)
class RevokeLaunch:
    """Stop waiting for that launch; its end still has to be told."""

    job: Hashable
    number: int


@dataclass(frozen=True, slots=True)
class FollowEndpoints:
    """Subscribe to the endpoint list."""


@dataclass(frozen=True, slots=True)
class SendLoadMessage:
    """Tell all other dispatchers: loads by name hash, and the work that keys wanted."""

    told_at: int
    loads: list[tuple[int, float]]
    wants: list[tuple[int, float]]


Decision = LaunchJob | RejectJob | KillJob | RevokeLaunch | FollowEndpoints | SendLoadMessage
