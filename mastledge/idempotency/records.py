"""The record of a key: the state of its first job."""

from enum import StrEnum

import msgspec

from mastledge.idempotency.keyed_request import ScopedKey

RECORD_OVERHEAD_BYTES = 560  # memory of a record besides the key and the answer


class RecordState(StrEnum):
    """State of the first job of a key. The values are sent between dispatchers."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNSURE = "unsure"  # the job may have run


class Record(msgspec.Struct, gc=False, eq=False):
    """Record of one key of one tenant. Times are microseconds of the monotonic clock.

    `gc=False` hides records from the garbage collector: a full collection that visits 100,000 of them stops
    the dispatcher for a tenth of a second. So a record must never be part of a reference cycle, which would
    leak; it refers only to plain data.
    """

    scoped_key: ScopedKey
    fingerprint: bytes
    expires_at: int  # end of the walltime while claimed, later end of the retention
    claim_name: str = ""  # name of the claim between dispatchers; empty without replication
    state: RecordState = RecordState.CLAIMED
    status: int = 0  # HTTP status of the answer
    content: bytes = b""  # body of the answer
    size_bytes: int = 0  # memory charged to the tenant

    @property
    def tenant(self) -> str:
        """Return the tenant of the key, which the memory of the record is charged to."""
        return self.scoped_key[0]
