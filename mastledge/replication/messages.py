"""Messages about keys between dispatchers.

Times are spans in microseconds, as no two clocks are compared. Fields are only ever added at the end, with a
default. `call_id` is the sender's own number of its request and comes back with the response.
"""

from enum import StrEnum

import msgspec

from mastledge.replication.errors import ClaimNameError

CLAIM_NAME_PARTS = 3  # number, incarnation, owner


class ReplicaResult(StrEnum):
    """What a replica answers about a key. The values go over the wire."""

    GRANTED = "granted"  # the key is the claim's
    CLAIMED = "held"  # it is another claim's, which is under way
    ANSWERED = "answered"
    UNSURE = "maybe"  # its job may have run
    OTHER_REQUEST = "other"  # the key came with another body
    FULL = "full"
    DISK_FAILED = "disk"
    STALE_EPOCH = "stale"  # the request is of a placement below the fence
    DONE = "done"
    UNKNOWN_KEY = "none"
    UNRECOGNIZED = ""  # of a later version; it counts as no acknowledgement

    @classmethod
    def _missing_(cls, value):
        return cls.UNRECOGNIZED


class ClaimStatus(StrEnum):
    """What the owner of a claim answers about it. The values go over the wire."""

    ANSWERED = "answered"
    UNSURE = "maybe"  # its job may have run
    RELEASED = "dropped"  # nothing ran, or a retry is harmless
    UNKNOWN = "unknown"  # it was made in an earlier incarnation of its owner
    READ_REPLICAS = "look"  # it has an answer, which only the replicas still have
    UNRECOGNIZED = ""  # of a later version; it is ignored

    @classmethod
    def _missing_(cls, value):
        return cls.UNRECOGNIZED


class Message(msgspec.Struct, array_like=True):
    """A message about keys. The `tag` of each subclass is its name on the wire and stays."""


class ClaimKey(Message, tag="Claim"):
    """Asks a replica to grant the key to `claim_name`.

    `remaining_us` is what is left of the job's walltime; `released_claims` are former ones of the key that
    were given back.
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
    """The claim's outcome: `answered`, or its job may have run; it is kept for `remaining_us`."""

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
    """The claim is given back: nothing ran, or a retry is harmless."""

    call_id: int
    tenant: str
    key: bytes
    claim_name: str


class ReadKey(Message, tag="Look"):
    """Asks what a replica knows of a key; changes nothing."""

    call_id: int
    tenant: str
    key: bytes


class ReplicaResponse(Message, tag="Had"):
    """A replica's answer; `claim_name` and what follows are of the record that it has."""

    call_id: int
    result: ReplicaResult
    claim_name: str = ""
    remaining_us: int = 0
    status: int = 0
    content: bytes = b""
    fingerprint: bytes = b""


class OwnerQuery(Message, tag="Ask"):
    """Asks the owner of a claim what has become of it."""

    call_id: int
    claim_name: str


class OwnerResponse(Message, tag="Told"):
    """The owner's answer; `status` and `content` are set where the claim is answered."""

    call_id: int
    claim_name: str
    claim_status: ClaimStatus
    status: int = 0
    content: bytes = b""


class ScanRequest(Message, tag="Scan"):
    """From a new replica: asks for the next of the records that are to be its own, from `position` on."""

    epoch: int
    position: int


class Record(msgspec.Struct, array_like=True):
    """A copy of one key's record. `state` is a `RecordState`; one of a later version counts as unsure."""

    tenant: str
    key: bytes
    fingerprint: bytes
    claim_name: str
    state: str
    remaining_us: int
    status: int = 0
    content: bytes = b""


class ScanResponse(Message, tag="Batch"):
    """The records, which may be none, from `position` up to `next_position`."""

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
    """The name of a claim: which one of which incarnation of which dispatcher."""
    return f"{number}.{incarnation}.{owner}"


def parse_claim_name(claim_name: str) -> tuple[str, str]:
    """(owner, incarnation) of a claim; ClaimNameError where it is no name of one."""
    parts = claim_name.split(".", 2)
    if len(parts) != CLAIM_NAME_PARTS:
        raise ClaimNameError(claim_name)
    _, incarnation, owner = parts
    return owner, incarnation
