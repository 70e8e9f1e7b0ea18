"""What the disk of a member holds, from its records in their order."""

from collections.abc import Sequence
from typing import Any

import msgspec

from mastledge.consensus import records
from mastledge.consensus.errors import RecordError
from mastledge.consensus.messages import Entry


class PersistedMember(msgspec.Struct):
    """What a member starts from: identity, hard state, the latest snapshot, and the log after it."""

    fleet: str
    incarnation: str
    term: int
    voted_for: str
    snapshot_index: int
    snapshot_term: int
    snapshot_state: dict
    entries: list[Entry]


def encoded_records(member: PersistedMember) -> list[tuple]:
    """Return the fewest records that lead to this, in their form on disk."""
    first = member.snapshot_index + 1
    log = [records.LogEntry(index, entry) for index, entry in enumerate(member.entries, first)]
    snapshot = records.Snapshot(member.snapshot_index, member.snapshot_term, member.snapshot_state)
    identity = records.Identity(member.fleet, member.incarnation)
    hard_state = records.HardState(member.term, member.voted_for)
    return [records.encode_record(record) for record in (identity, hard_state, snapshot, *log)]


class PersistedState:
    """The state that a member's write-ahead log is replayed into; see `storage.replayed_state`."""

    def __init__(self):
        """Begin with an empty disk."""
        self.reset()

    def reset(self) -> None:
        """Forget all records, as if none had been applied."""
        self.fleet = self.incarnation = self.voted_for = ""
        self.term = self.snapshot_index = self.snapshot_term = 0
        self.snapshot_state: dict | None = None
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot_index + len(self.entries)

    def apply(self, record: Sequence[Any]) -> None:
        """Apply one record in its form on disk; `RecordError` where it is unknown or cannot follow."""
        decoded = records.decode_record(record)
        match decoded:
            case records.Identity():
                self._apply_identity(decoded)
            case records.HardState():
                self.term, self.voted_for = decoded.term, decoded.voted_for
            case records.Snapshot():
                self._apply_snapshot(decoded)
            case records.LogEntry():
                if decoded.index != self.last_index + 1:
                    raise RecordError(f"entry {decoded.index} follows {self.last_index}")
                self.entries.append(decoded.entry)
            case records.Truncation():
                del self.entries[decoded.first_index - self.snapshot_index - 1 :]

    def _apply_identity(self, identity: records.Identity) -> None:
        if identity.incarnation != self.incarnation:
            self.reset()  # what the former incarnation had promised is not this one's
        self.fleet, self.incarnation = identity.fleet, identity.incarnation

    def _apply_snapshot(self, snapshot: records.Snapshot) -> None:
        replaced = snapshot.last_index - self.snapshot_index  # entries that it stands for
        keeps_log = 0 <= replaced <= len(self.entries)
        if keeps_log and replaced and self.entries[replaced - 1].term != snapshot.last_term:
            keeps_log = False
        self.entries = self.entries[replaced:] if keeps_log else []
        self.snapshot_index, self.snapshot_term = snapshot.last_index, snapshot.last_term
        self.snapshot_state = snapshot.state

    def compacted_records(self) -> list[tuple]:
        """Return the fewest records that lead to the same state."""
        return encoded_records(self._member()) if self.fleet else []

    def value(self) -> PersistedMember | None:
        """Return what a member starts from; None where the disk holds no fleet."""
        return self._member() if self.fleet and self.snapshot_state is not None else None

    def _member(self) -> PersistedMember:
        return PersistedMember(
            self.fleet,
            self.incarnation,
            self.term,
            self.voted_for,
            self.snapshot_index,
            self.snapshot_term,
            self.snapshot_state,
            list(self.entries),
        )
