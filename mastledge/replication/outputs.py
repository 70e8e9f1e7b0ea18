"""Outputs of a `Node`. They are msgspec structs for the reason given in `inputs`."""

from enum import StrEnum

import msgspec

from mastledge.replication.messages import AnyMessage


class Verdict(StrEnum):
    """Decision on a job with a key. The values appear in the statistics for operators."""

    GRANTED = "go"  # a quorum granted its claim: the job may be launched
    ANSWERED = "answer"  # an earlier job with this key has this answer
    UNSURE = "unsure"  # an earlier job with this key may have run
    REFUSED = "refused"  # the key is invalid, or was first used with another request body
    FULL = "full"
    NO_QUORUM = "nobody"
    REPLICATED = "lasting"  # a quorum has stored the outcome
    NOT_REPLICATED = "short"  # no quorum has stored the outcome in time


class Output(msgspec.Struct, frozen=True, gc=False):
    """Base class of the outputs of a node: an action for its host."""


class Send(Output):
    """Send a message to another dispatcher."""

    recipient: str
    message: AnyMessage


class Persist(Output):
    """Write records to the disk; the host answers with `Persisted` and the same token."""

    token: int
    records: list[tuple]


class JobVerdict(Output):
    """Report the verdict on a job; `status` and `content` are an HTTP status and a body, if there are any."""

    job_id: int
    verdict: Verdict
    status: int = 0
    content: bytes = b""


class CaughtUp(Output):
    """This replica has all its records of the epoch on its disk; the fleet has to commit that."""

    epoch: int
