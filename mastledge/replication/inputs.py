"""Inputs of a `Node`.

They are msgspec structs and no dataclasses: one is made for each message, and a frozen dataclass takes four
times as long to make.
"""

from enum import StrEnum

import msgspec

from mastledge.replication.messages import AnyMessage


class JobOutcome(StrEnum):
    """How a job ended that had been granted its key."""

    ANSWERED = "answered"
    UNSURE = "unsure"  # it may have run
    RELEASED = "dropped"  # nothing ran, or a retry is harmless


class Input(msgspec.Struct, frozen=True, gc=False):
    """Something that has happened."""


class Tick(Input):
    """Time has passed."""


class Offer(Input):
    """A job with a key has arrived. `remaining_us` is what is left of its walltime."""

    job_id: int
    tenant: str
    key: bytes
    fingerprint: bytes
    remaining_us: int


class JobEnded(Input):
    """A job that was granted its key has ended; `status` and `content` are its answer, where it has one."""

    job_id: int
    outcome: JobOutcome
    status: int = 0
    content: bytes = b""


class ClientLeft(Input):
    """Nobody waits for the job any more."""

    job_id: int


class MessageReceived(Input):
    """A message from the dispatcher `sender`, whose data directory has the id `directory_id`."""

    sender: str
    directory_id: str
    message: AnyMessage


class Persisted(Input):
    """The records of `Persist` with this token, and of all before it, are on the disk."""

    token: int


class DiskFailed(Input):
    """Nothing that is handed to the disk is sure to be there, until `DiskRecovered`."""


class DiskRecovered(Input):
    """All records have been written anew."""


class PlacementChanged(Input):
    """What the fleet has committed of replicas and epochs; see `Placement`."""

    state: dict
