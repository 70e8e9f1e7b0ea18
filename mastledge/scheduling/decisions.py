"""The decisions that a host carries out. Ids are those that the host gave; times are whole microseconds."""

from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LaunchJob:
    """Send the job to the worker. The launches of a job are numbered from 0.

    `within`: time in which the last byte has to be sent, else the launch must not be sent; 0: no limit while
    the job is open.
    """

    job: Hashable
    worker: Hashable
    within: int


@dataclass(frozen=True, slots=True)
class RejectJob:
    """Answer that the job is rejected: a retry is harmless, best after `retry_after`."""

    job: Hashable
    retry_after: int


@dataclass(frozen=True, slots=True)
class KillJob:
    """Answer that the job is killed: it may have run, so a retry may run it twice."""

    job: Hashable


@dataclass(frozen=True, slots=True)
class RevokeLaunch:
    """Revoke the launch; the host still has to report its end."""

    job: Hashable
    number: int


@dataclass(frozen=True, slots=True)
class FollowEndpoints:
    """Subscribe to the endpoint list."""


@dataclass(frozen=True, slots=True)
class SendLoadMessage:
    """Send all other dispatchers the loads by worker name hash, and the work per key."""

    sent_at: int
    loads: list[tuple[int, float]]
    key_work: list[tuple[int, float]]


Decision = LaunchJob | RejectJob | KillJob | RevokeLaunch | FollowEndpoints | SendLoadMessage
