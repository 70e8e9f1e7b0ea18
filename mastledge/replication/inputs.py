"""Inputs of a `Node`.

They are msgspec structs because each message creates one, and a frozen dataclass takes four times as long to
create.
"""

from enum import StrEnum

import msgspec

from mastledge.replication.messages import AnyMessage


class JobOutcome(StrEnum):
    """How a job that was granted its key ended."""

    ANSWERED = "answered"
    UNSURE = "unsure"  # the job may have run
    RELEASED = "dropped"  # the job did not run, or a retry is harmless


class Input(msgspec.Struct, frozen=True, gc=False):
    """Base class of the inputs of a node."""


class Tick(Input):
    """Time has passed; the step runs the timers that are due."""


class Offer(Input):
    """A job with a key has arrived. `remaining_us` is the rest of its walltime."""

    job_id: int
    tenant: str
    key: bytes
    fingerprint: bytes
    remaining_us: int


class JobEnded(Input):
    """A job that was granted its key has ended; `status` and `content` are its answer, if any."""

    job_id: int
    outcome: JobOutcome
    status: int = 0
    content: bytes = b""


class ClientLeft(Input):
    """No client waits for the job any more, or its walltime is over."""

    job_id: int


class MessageReceived(Input):
    """A message from the dispatcher `sender`, whose data directory has the id `directory_id`."""

    sender: str
    directory_id: str
    message: AnyMessage


class Persisted(Input):
    """The records of the `Persist` output with this token, and of all earlier ones, are on the disk."""

    token: int


class DiskFailed(Input):
    """A write has failed: no record counts as persisted until `DiskRecovered`."""


class DiskRecovered(Input):
    """All records have been rewritten to the disk."""


class PlacementChanged(Input):
    """The fleet has committed a new placement; see `Placement` for the format of `state`."""

    state: dict
