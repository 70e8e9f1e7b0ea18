"""What follows from a step of a member: one class for each thing that its host has to do."""

from dataclasses import dataclass

from mastledge.consensus.messages import AnyMessage, WorkerRestrictions
from mastledge.consensus.state_machine import ChangeResult


@dataclass(frozen=True, slots=True)
class Send:
    """A message goes to another member; it may be lost."""

    to: str
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Records are appended to the write-ahead log and synced; `Persisted` with the token follows."""

    token: int
    records: list[tuple]


@dataclass(frozen=True, slots=True)
class Rewrite:
    """These records replace all that is on disk; `Persisted` with the token follows."""

    token: int
    records: list[tuple]


@dataclass(frozen=True, slots=True)
class Committed:
    """The proposal of that id is committed as entry `index`; `result` is what became of it."""

    id: str
    index: int
    result: ChangeResult


@dataclass(frozen=True, slots=True)
class RestrictionsReceived:
    """Another member has told whom its registry restricts."""

    restrictions: WorkerRestrictions


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event for the log of the host."""

    name: str
    fields: dict


Output = Send | Persist | Rewrite | Committed | RestrictionsReceived | LogEvent
