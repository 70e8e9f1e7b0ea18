"""What dispatchers tell one another about keys. Times are spans in microseconds: no two clocks are compared.

Fields are only ever added at the end, with a value that stands in. `op` is the sender's own number of what it
asks, and comes back with the answer.
"""

import msgspec

# What a holder says of a key.
GRANTED, HELD, ANSWERED, MAYBE, OTHER, FULL, DISK, STALE, DONE, NONE = (
    "granted",
    "held",
    "answered",
    "maybe",
    "other",
    "full",
    "disk",
    "stale",
    "done",
    "none",
)
# What the owner of a claim says of it.
DROPPED, UNKNOWN, LOOK = "dropped", "unknown", "look"


class Message(msgspec.Struct, array_like=True):
    """A message about keys. The `tag` of each subclass is its name on the wire and stays."""


class ClaimKey(Message, tag="Claim"):
    """May `claim` be the only one of its key? `left`: of its walltime; `over`: claims that were dropped."""

    op: int
    epoch: int
    tenant: str
    key: bytes
    print: bytes
    claim: str
    left: int
    over: list[str] = []


class CompleteKey(Message, tag="End"):
    """What the claim came to: answered, or it may have run; told for `left` more."""

    op: int
    epoch: int
    tenant: str
    key: bytes
    print: bytes
    claim: str
    known: bool
    status: int
    content: bytes
    left: int


class ReleaseClaim(Message, tag="Drop"):
    """The claim is given back: nothing ran, or trying again is harmless."""

    op: int
    tenant: str
    key: bytes
    claim: str


class ReadKey(Message, tag="Look"):
    """What is known of this key? It changes nothing."""

    op: int
    tenant: str
    key: bytes


class ReplicaResponse(Message, tag="Had"):
    """A holder's answer; `claim`, `left` and what follows are of the record that it has."""

    op: int
    what: str
    claim: str = ""
    left: int = 0
    status: int = 0
    content: bytes = b""
    print: bytes = b""


class OwnerQuery(Message, tag="Ask"):
    """To the dispatcher that made a claim: what has become of it?"""

    op: int
    claim: str


class OwnerResponse(Message, tag="Told"):
    op: int
    claim: str
    what: str
    status: int = 0
    content: bytes = b""


class ScanRequest(Message, tag="Scan"):
    """From who becomes a holder: the next of the records that are to be its own, from this place on."""

    epoch: int
    place: int


class Record(msgspec.Struct, array_like=True):
    tenant: str
    key: bytes
    print: bytes
    claim: str
    state: str
    left: int
    status: int = 0
    content: bytes = b""


class ScanResponse(Message, tag="Batch"):
    """What there is from `place` up to `to`, which may be nothing."""

    epoch: int
    place: int
    to: int
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


def named(owner, run, n):
    """The name of a claim: which one of which run of which dispatcher."""
    return f"{n}.{run}.{owner}"


def parts(claim):
    """(owner, run) of a claim; ValueError for what is none."""
    _, run, owner = claim.split(".", 2)
    return owner, run
