"""What a member can be told: one class for each input of `Member.step`."""

from dataclasses import dataclass

from mastledge.consensus.messages import AnyMessage, WorkerRestrictions


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due at `Member.wake_at` at the latest."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message has come from another member, in the incarnation that its link has told."""

    sender: str
    incarnation: str
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class Persisted:
    """The records of an earlier `Persist` or `Rewrite` are synced to disk; tokens come in their order."""

    token: int


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """Records could not be written; none is written after them until a `Rewrite` has gone well."""


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The own registry has told a list or a change of it.

    `kind` is "whole", "cached" or "changes", `entries` are (worker, state), `generation` is that of the list,
    None where it is not known.
    """

    registry: str
    kind: str
    entries: list[tuple[str, str]]
    generation: int | None


@dataclass(frozen=True, slots=True)
class ShareRestrictions:
    """Other members are to hear whom the own registry restricts."""

    restrictions: WorkerRestrictions


@dataclass(frozen=True, slots=True)
class Propose:
    """A change that the host wants committed; `id` is unique, so that a repeated one counts once."""

    id: str
    change: dict


@dataclass(frozen=True, slots=True)
class ForgetProposal:
    """Nobody waits for that change any more, so it is not proposed again."""

    id: str


@dataclass(frozen=True, slots=True)
class Restore:
    """An operator begins another fleet with this state, and with this member as its only voter."""

    fleet: str
    incarnation: str
    state: dict


@dataclass(frozen=True, slots=True)
class Abandon:
    """An operator says that the fleet is no more: the member waits for the next one, as a new one."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class Leave:
    """This process ends; a leader hands its leadership on."""


Input = (
    Tick
    | MessageReceived
    | Persisted
    | DiskFailed
    | EndpointListUpdate
    | ShareRestrictions
    | Propose
    | ForgetProposal
    | Restore
    | Abandon
    | Leave
)
