"""Records of a member's write-ahead log, encoded as a list of kind and fields (docs/formats.md)."""

from collections.abc import Sequence
from typing import Any

import msgspec

from mastledge.consensus.errors import RecordError
from mastledge.consensus.messages import Entry


class Identity(msgspec.Struct, frozen=True):
    """The fleet and incarnation to which the following records belong."""

    fleet: str
    incarnation: str


class HardState(msgspec.Struct, frozen=True):
    """Raft's term, and the candidate voted for in it; "" for none."""

    term: int
    voted_for: str


class Snapshot(msgspec.Struct, frozen=True):
    """The state document as of entry `last_index`, which replaces the log up to it."""

    last_index: int
    last_term: int
    state: dict


class LogEntry(msgspec.Struct, frozen=True):
    """A log entry and its index."""

    index: int
    entry: Entry


class Truncation(msgspec.Struct, frozen=True):
    """Removes the log entries from `first_index` on."""

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
    """Encode a record as it is stored on disk."""
    return (RECORD_KINDS[type(record)], *msgspec.structs.astuple(record))


def decode_record(raw: Sequence[Any]) -> Record:
    """Decode a record from disk; raise `RecordError` for an unknown kind or number of fields."""
    kind, *fields = raw
    record_type = RECORD_TYPES.get(kind)
    if record_type is None:
        raise RecordError(f"unknown record kind, written by a later version: {kind}")
    if len(fields) != len(record_type.__struct_fields__):
        raise RecordError(
            f"a record {kind} of {len(fields)} fields, expected {len(record_type.__struct_fields__)}"
        )
    if record_type is LogEntry and not isinstance(fields[1], Entry):
        fields[1] = Entry(*fields[1])
    return record_type(*fields)
