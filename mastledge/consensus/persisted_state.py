"""A member's persisted state, rebuilt from the records of its write-ahead log."""

from collections.abc import Sequence
from typing import Any

import msgspec

from mastledge.consensus import records
from mastledge.consensus.errors import RecordError
from mastledge.consensus.messages import Entry


class PersistedMember(msgspec.Struct):
    """The state a member starts from: identity, hard state, the latest snapshot, and the log after it."""

    fleet: str
    incarnation: str
    term: int
    voted_for: str
    snapshot_index: int
    snapshot_term: int
    snapshot_state: dict
    entries: list[Entry]


def encoded_records(member: PersistedMember) -> list[tuple]:
    """Return the shortest sequence of encoded records that yields this state."""
    first_index = member.snapshot_index + 1
    log_entries = [records.LogEntry(index, entry) for index, entry in enumerate(member.entries, first_index)]
    snapshot = records.Snapshot(member.snapshot_index, member.snapshot_term, member.snapshot_state)
    identity = records.Identity(member.fleet, member.incarnation)
    hard_state = records.HardState(member.term, member.voted_for)
    return [records.encode_record(record) for record in (identity, hard_state, snapshot, *log_entries)]


class PersistedState:
    """Replays a member's write-ahead log; see `storage.replayed_state`."""

    def __init__(self):
        """Initialize as for an empty disk."""
        self.reset()

    def reset(self) -> None:
        """Discard all records applied so far."""
        self.fleet = self.incarnation = self.voted_for = ""
        self.term = self.snapshot_index = self.snapshot_term = 0
        self.snapshot_state: dict | None = None
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """The index of the last log entry, or of the snapshot."""
        return self.snapshot_index + len(self.entries)

    def apply(self, record: Sequence[Any]) -> None:
        """Apply an encoded record; raise `RecordError` if it is unknown or does not follow the log."""
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
            self.reset()  # votes and entries of the former incarnation do not bind this one
        self.fleet, self.incarnation = identity.fleet, identity.incarnation

    def _apply_snapshot(self, snapshot: records.Snapshot) -> None:
        covered_count = snapshot.last_index - self.snapshot_index  # log entries that the snapshot replaces
        keeps_log = 0 <= covered_count <= len(self.entries)
        if keeps_log and covered_count and self.entries[covered_count - 1].term != snapshot.last_term:
            keeps_log = False
        self.entries = self.entries[covered_count:] if keeps_log else []
        self.snapshot_index, self.snapshot_term = snapshot.last_index, snapshot.last_term
        self.snapshot_state = snapshot.state

    def compacted_records(self) -> list[tuple]:
        """Return the shortest sequence of encoded records that yields the same state."""
        return encoded_records(self._member()) if self.fleet else []

    def value(self) -> PersistedMember | None:
        """Return the state a member starts from; None if the disk holds no fleet."""
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
