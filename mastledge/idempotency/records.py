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
    stops the dispatcher for a tenth of a second. So a record must never be part of a reference cycle: nothing
    would find one. All that it refers to is plain data.
    """

    scoped_key: ScopedKey
    fingerprint: bytes
    expires_at: int  # of a claim the end of its walltime; later the end of the retention
    claim_name: str = ""  # of the claim among dispatchers; empty where no copies are kept for others
    state: RecordState = RecordState.CLAIMED
    status: int = 0  # HTTP status of the answer
    content: bytes = b""  # body of the answer
    size_bytes: int = 0  # what it is charged with

    @property
    def tenant(self) -> str:
        """Whose key it is, and who is charged with its room."""
        return self.scoped_key[0]
