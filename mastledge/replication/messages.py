"""Messages about idempotency keys between dispatchers.

Times are durations in microseconds, because the clocks of two machines are never compared. New fields are
added only at the end, with a default. `call_id` is the number that the sender gave its request; the response
repeats it.
"""

from enum import StrEnum

import msgspec

from mastledge.replication.errors import ClaimNameError

CLAIM_NAME_PARTS = 3  # number, incarnation, owner


class ReplicaResult(StrEnum):
    """Response of a replica to a request about a key. The values are sent on the wire."""

    GRANTED = "granted"  # the claim of the request holds the key
    CLAIMED = "held"  # another claim holds the key, and its job has not ended
    ANSWERED = "answered"
    UNSURE = "maybe"  # the job of the key may have run
    OTHER_REQUEST = "other"  # the key was first used with another request body
    FULL = "full"
    DISK_FAILED = "disk"
    STALE_EPOCH = "stale"  # the epoch of the request is below the fence
    DONE = "done"
    UNKNOWN_KEY = "none"
    UNRECOGNIZED = ""  # a value of a later version; not counted as an acknowledgement

    @classmethod
    def _missing_(cls, value):
        return cls.UNRECOGNIZED


class ClaimStatus(StrEnum):
    """Response of the owner of a claim about its outcome. The values are sent on the wire."""

    ANSWERED = "answered"
    UNSURE = "maybe"  # the job of the claim may have run
    RELEASED = "dropped"  # the job did not run, or a retry is harmless
    UNKNOWN = "unknown"  # the claim was made by an earlier incarnation of the owner
    READ_REPLICAS = "look"  # answered, but only the replicas still have the answer
    UNRECOGNIZED = ""  # a value of a later version; ignored

    @classmethod
    def _missing_(cls, value):
        return cls.UNRECOGNIZED


class Message(msgspec.Struct, array_like=True):
    """A message about keys. The `tag` of each subclass is its name on the wire and must not change."""


class ClaimKey(Message, tag="Claim"):
    """Request to a replica to grant the key to the claim `claim_name`.

    `remaining_us` is the rest of the job's walltime; `released_claims` are earlier claims on the key that
    their owners have released.
    """

    call_id: int
    epoch: int
    tenant: str
    key: bytes
    fingerprint: bytes
    claim_name: str
    remaining_us: int
    released_claims: list[str] = []


class CompleteKey(Message, tag="End"):
    """Outcome of a claim: `answered`, or else its job may have run. It is kept for `remaining_us`."""

    call_id: int
    epoch: int
    tenant: str
    key: bytes
    fingerprint: bytes
    claim_name: str
    answered: bool
    status: int
    content: bytes
    remaining_us: int


class ReleaseClaim(Message, tag="Drop"):
    """Release of a claim: its job did not run, or a retry is harmless."""

    call_id: int
    tenant: str
    key: bytes
    claim_name: str


class ReadKey(Message, tag="Look"):
    """Request for the record that a replica has of a key; changes nothing."""

    call_id: int
    tenant: str
    key: bytes


class ReplicaResponse(Message, tag="Had"):
    """Response of a replica; `claim_name` and the fields after it come from its record of the key."""

    call_id: int
    result: ReplicaResult
    claim_name: str = ""
    remaining_us: int = 0
    status: int = 0
    content: bytes = b""
    fingerprint: bytes = b""


class OwnerQuery(Message, tag="Ask"):
    """Request to the owner of a claim for the outcome of the claim."""

    call_id: int
    claim_name: str


class OwnerResponse(Message, tag="Told"):
    """Response of the owner; `status` and `content` are set if the claim is answered."""

    call_id: int
    claim_name: str
    claim_status: ClaimStatus
    status: int = 0
    content: bytes = b""


class ScanRequest(Message, tag="Scan"):
    """Request of a new replica for the next records it has to hold, starting at `position`."""

    epoch: int
    position: int


class Record(msgspec.Struct, array_like=True):
    """Copy of one key's record. `state` is a `RecordState`; a state of a later version counts as unsure."""

    tenant: str
    key: bytes
    fingerprint: bytes
    claim_name: str
    state: str
    remaining_us: int
    status: int = 0
    content: bytes = b""


class ScanResponse(Message, tag="Batch"):
    """Records from `position` up to `next_position`; the list may be empty."""

    epoch: int
    position: int
    next_position: int
    records: list[Record]
    last: bool


AnyMessage = (
    ClaimKey
    | CompleteKey
    | ReleaseClaim
    | ReadKey
    | ReplicaResponse
    | OwnerQuery
    | OwnerResponse
    | ScanRequest
    | ScanResponse
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(AnyMessage).decode
encode_all = msgspec.msgpack.Encoder().encode
decode_all = msgspec.msgpack.Decoder(list[AnyMessage]).decode


def format_claim_name(owner: str, incarnation: str, number: int) -> str:
    """Return the name of a claim, made of its number, the owner's incarnation and the owner."""
    return f"{number}.{incarnation}.{owner}"


def parse_claim_name(claim_name: str) -> tuple[str, str]:
    """Return (owner, incarnation) of a claim; raise ClaimNameError if the name is malformed."""
    parts = claim_name.split(".", 2)
    if len(parts) != CLAIM_NAME_PARTS:
        raise ClaimNameError(claim_name)
    _, incarnation, owner = parts
    return owner, incarnation
