"""Entries of the write-ahead log of keys, and the records that result from them.

An entry is a plain tuple that starts with its kind; docs/formats.md describes the format. It is encoded as
is, so it stays byte for byte what earlier versions read and wrote. Times are Unix microseconds, because the
monotonic clock restarts with the machine.
"""

from collections.abc import Callable, Sequence

import msgspec

from mastledge.idempotency.errors import PersistedRecordError
from mastledge.idempotency.keyed_request import ScopedKey
from mastledge.idempotency.records import Record, RecordState

CLAIM, END, DROP = "claim", "end", "drop"  # kinds of entries
LogEntry = tuple[str | bytes | int, ...]


class PersistedRecord(msgspec.Struct, gc=False):
    """A record as stored on the disk; `expires_at` is in Unix microseconds.

    `gc=False` for the same reason as in `records.Record`; it refers to no container.
    """

    fingerprint: bytes
    expires_at: int
    claim_name: str = ""
    state: RecordState = RecordState.CLAIMED
    status: int = 0
    content: bytes = b""


def claim_entry(scoped_key: ScopedKey, fingerprint: bytes, expires_at: int, claim_name: str) -> LogEntry:
    """Return the entry for a claim; it has a claim name only with replication."""
    name = (claim_name,) if claim_name else ()
    return (CLAIM, *scoped_key, fingerprint, expires_at, *name)


def end_entry(
    scoped_key: ScopedKey, state: RecordState, status: int, content: bytes, expires_at: int
) -> LogEntry:
    """Return the entry for the end of a claim: its answer, or that its job may have run."""
    return (END, *scoped_key, state == RecordState.ANSWERED, status, content, expires_at)


def drop_entry(scoped_key: ScopedKey) -> LogEntry:
    """Return the entry for a released claim, whose job never ran or whose retry is harmless."""
    return (DROP, *scoped_key)


def with_expiry(entry: LogEntry, expires_at: int) -> LogEntry:
    """Return the same end entry with another expiry."""
    return (*entry[:-1], expires_at)


class PersistedKeys:
    """Replayed state of a log of keys; implements `ReplayedState` for `WriteAheadLog`."""

    def __init__(self, unix_clock: Callable[[], int]) -> None:
        """Start empty; `unix_clock` returns Unix microseconds and decides what a rewrite drops as expired."""
        self.unix_clock = unix_clock
        self.entries: dict[ScopedKey, PersistedRecord] = {}

    def reset(self) -> None:
        """Forget all entries before a log is read again."""
        self.entries = {}

    def apply(self, record: Sequence) -> None:
        """Apply one entry; raise PersistedRecordError if that is impossible."""
        kind, tenant, key, *fields = record
        if kind == CLAIM:
            self.entries[tenant, key] = PersistedRecord(*fields)
        elif kind == END:
            self._end((tenant, key), *fields)
        elif kind == DROP:
            self.entries.pop((tenant, key), None)
        else:
            raise PersistedRecordError(f"unknown kind of entry, perhaps of a later version: {kind}")

    def _end(
        self, scoped_key: ScopedKey, answered: bool, status: int, content: bytes, expires_at: int
    ) -> None:
        persisted = self.entries.get(scoped_key)
        if persisted is None:
            raise PersistedRecordError(f"end entry without a claim for key {scoped_key[1]!r}")
        persisted.state = RecordState.ANSWERED if answered else RecordState.UNSURE
        persisted.status, persisted.content, persisted.expires_at = status, content, expires_at

    def compacted_records(self) -> list[LogEntry]:
        """Return the fewest entries that lead to the same state.

        A claim stays, however old: its job may still be running at the dispatcher that made it.
        """
        now, entries = self.unix_clock(), []
        for scoped_key, persisted in self.entries.items():
            if persisted.state != RecordState.CLAIMED and persisted.expires_at <= now:
                continue
            entries += entries_of(scoped_key, persisted, 0)
        return entries


def entries_of(
    scoped_key: ScopedKey, record: Record | PersistedRecord, unix_offset_us: int
) -> list[LogEntry]:
    """Return the entries that lead to a record, whose times are `unix_offset_us` behind Unix time."""
    expires_at = record.expires_at + unix_offset_us
    entries = [claim_entry(scoped_key, record.fingerprint, expires_at, record.claim_name)]
    if record.state != RecordState.CLAIMED:
        entries.append(end_entry(scoped_key, record.state, record.status, record.content, expires_at))
    return entries
