"""Records of a member's write-ahead log: on disk a list of the kind and the fields (docs/formats.md)."""

from collections.abc import Sequence
from typing import Any

import msgspec

from mastledge.consensus.errors import RecordError
from mastledge.consensus.messages import Entry


class Identity(msgspec.Struct, frozen=True):
    """The fleet and the incarnation that the following records belong to."""

    fleet: str
    incarnation: str


class HardState(msgspec.Struct, frozen=True):
    """Raft's term, and who got this member's vote in it; "" for nobody."""

    term: int
    voted_for: str


class Snapshot(msgspec.Struct, frozen=True):
    """The state document as of one entry, in place of the log up to it."""

    last_index: int
    last_term: int
    state: dict


class LogEntry(msgspec.Struct, frozen=True):
    """One entry of the log, and its index."""

    index: int
    entry: Entry


class Truncation(msgspec.Struct, frozen=True):
    """The log loses its entries from this index on."""

    first_index: int


Record = Identity | HardState | Snapshot | LogEntry | Truncation
RECORD_TYPES: dict[str, type] = {
    "identity": Identity,
    "hard": HardState,
    "snapshot": Snapshot,
    "entry": LogEntry,
    "cut": Truncation,
}
RECORD_KINDS = {record_type: kind for kind, record_type in RECORD_TYPES.items()}


def encode_record(record: Record) -> tuple:
    """Return the form on disk."""
    return (RECORD_KINDS[type(record)], *msgspec.structs.astuple(record))


def decode_record(raw: Sequence[Any]) -> Record:
    """Read the form on disk; raises `RecordError` for a record of a later version."""
    kind, *fields = raw
    record_type = RECORD_TYPES.get(kind)
    if record_type is None:
        raise RecordError(f"a record of a later version: {kind}")
    if len(fields) != len(record_type.__struct_fields__):
        raise RecordError(f"a record {kind} of {len(fields)} fields")
    if record_type is LogEntry and not isinstance(fields[1], Entry):
        fields[1] = Entry(*fields[1])
    return record_type(*fields)
