"""Outputs of `Member.step`: one class for each action that the host has to take."""

from dataclasses import dataclass

from mastledge.consensus.messages import AnyMessage, WorkerRestrictions
from mastledge.consensus.state_machine import ChangeResult


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another member; it may be lost."""

    to: str
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Append records to the write-ahead log and sync; the host answers `Persisted` with the token."""

    token: int
    records: list[tuple]


@dataclass(frozen=True, slots=True)
class Rewrite:
    """Replace all records on disk by these; the host answers `Persisted` with the token."""

    token: int
    records: list[tuple]


@dataclass(frozen=True, slots=True)
class Committed:
    """The proposal `id` is committed as entry `index`, with this result."""

    id: str
    index: int
    result: ChangeResult


@dataclass(frozen=True, slots=True)
class RestrictionsReceived:
    """Worker restrictions from another member's registry."""

    restrictions: WorkerRestrictions


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event to write to the host's log."""

    name: str
    fields: dict


Output = Send | Persist | Rewrite | Committed | RestrictionsReceived | LogEvent
