"""Outputs of a `Node`; see `inputs` for why they are msgspec structs."""

from enum import StrEnum

import msgspec

from mastledge.replication.messages import AnyMessage


class Verdict(StrEnum):
    """What becomes of a job with a key. The values stand in the operators' figures."""

    GRANTED = "go"  # its claim holds: it may be launched
    ANSWERED = "answer"  # a former job of this key has this answer
    UNSURE = "unsure"  # a former job of this key may have run
    REFUSED = "refused"  # the key is invalid, or came with another body
    FULL = "full"
    NO_QUORUM = "nobody"
    REPLICATED = "lasting"  # a quorum has the outcome
    NOT_REPLICATED = "short"  # no quorum has the outcome in time


class Output(msgspec.Struct, frozen=True, gc=False):
    """Something that is to be done."""


class Send(Output):
    """Sends a message to another dispatcher."""

    recipient: str
    message: AnyMessage


class Persist(Output):
    """Writes records to the disk; `Persisted` with the token follows."""

    token: int
    records: list[tuple]


class JobVerdict(Output):
    """Tells a job what becomes of it; `status` and `content` are an HTTP status and a body, where it has
    them.
    """

    job_id: int
    verdict: Verdict
    status: int = 0
    content: bytes = b""


class CaughtUp(Output):
    """This replica has all its records of the epoch on its disk, which the fleet has to commit."""

    epoch: int
