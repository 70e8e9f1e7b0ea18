"""Inputs of `Member.step`, one class each."""

from dataclasses import dataclass

from mastledge.consensus.messages import AnyMessage, WorkerRestrictions


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the host gives this input at `Member.wake_at()` at the latest."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another member, with the sender's incarnation as the link's handshake gave it."""

    sender: str
    incarnation: str
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class Persisted:
    """The records of an earlier `Persist` or `Rewrite` are synced to disk; tokens arrive in order."""

    token: int


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """Writing records failed; no record is written after them until a `Rewrite` succeeds."""


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """This member's registry has sent an endpoint list or changes to it.

    `kind` is "whole", "cached" or "changes"; `entries` are (worker, state); `generation` is the list's
    generation, None if unknown.
    """

    registry: str
    kind: str
    entries: list[tuple[str, str]]
    generation: int | None


@dataclass(frozen=True, slots=True)
class ShareRestrictions:
    """Send the worker restrictions of this member's registry to the other members."""

    restrictions: WorkerRestrictions


@dataclass(frozen=True, slots=True)
class Propose:
    """A change that the host proposes; `id` is unique, so a repeated proposal is applied once."""

    id: str
    change: dict


@dataclass(frozen=True, slots=True)
class ForgetProposal:
    """The host no longer waits for this change; it is not proposed again."""

    id: str


@dataclass(frozen=True, slots=True)
class Restore:
    """An operator starts a new fleet from this state, with this member as its only voter."""

    fleet: str
    incarnation: str
    state: dict


@dataclass(frozen=True, slots=True)
class Abandon:
    """An operator declares the fleet lost: the member waits for the next fleet in a new incarnation."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class Leave:
    """This process shuts down; a leader transfers its leadership."""


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
