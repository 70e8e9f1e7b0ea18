"""The record of a key: what is known of its first job."""

from enum import StrEnum

import msgspec

from mastledge.idempotency.keyed_request import ScopedKey

RECORD_OVERHEAD_BYTES = 560  # of memory beside the key and the answer, as measured by `lab bench hoard`


class RecordState(StrEnum):
    """What is known of the first job of a key. The values stand in messages between dispatchers."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNSURE = "unsure"  # it may have run


class Record(msgspec.Struct, gc=False, eq=False):
    """One key of one tenant. Times are microseconds of the monotonic clock.

    Kept from the garbage collector on purpose (`gc=False`): a full collection that looks at 100,000 of them
    stops the dispatcher for a tenth of a second. So a record must never be part of a reference cycle, and
    whoever sets `waiters` or `task` clears them in the end.
    """

    scoped_key: ScopedKey
    fingerprint: bytes
    expires_at: int  # of a claim the end of its walltime; later the end of the retention
    claim_name: str = ""  # of the claim among dispatchers; empty where no copies are kept for others
    state: RecordState = RecordState.CLAIMED
    status: int = 0  # HTTP status of the answer
    content: bytes = b""  # body of the answer
    size_bytes: int = 0  # what it is charged with
    waiters: object = None  # connections whose clients wait for the first job; the host's alone
    task: object = None  # the coroutine that runs the first job; the host's alone
