"""Entries of the write-ahead log of keys, and the records that they amount to.

An entry is a plain tuple with its kind in front, as docs/formats.md has it: it is encoded as it is and stays
byte for byte what earlier versions read and wrote. Times are Unix microseconds, as monotonic ones end with
the machine.
"""

from collections.abc import Callable, Sequence

import msgspec

from mastledge.idempotency.errors import PersistedRecordError
from mastledge.idempotency.keyed_request import ScopedKey
from mastledge.idempotency.records import Record, RecordState

CLAIM, END, DROP = "claim", "end", "drop"  # kinds of entries
LogEntry = tuple[str | bytes | int, ...]


class PersistedRecord(msgspec.Struct, gc=False):
    """A record as the disk has it; `expires_at` in Unix microseconds.

    `gc=False` for the same reason as `records.Record`, and it refers to no container at all.
    """

    fingerprint: bytes
    expires_at: int
    claim_name: str = ""
    state: RecordState = RecordState.CLAIMED
    status: int = 0
    content: bytes = b""


def claim_entry(scoped_key: ScopedKey, fingerprint: bytes, expires_at: int, claim_name: str) -> LogEntry:
    """A claim; its name stands there only where copies are kept for others."""
    name = (claim_name,) if claim_name else ()
    return (CLAIM, *scoped_key, fingerprint, expires_at, *name)


def end_entry(
    scoped_key: ScopedKey, state: RecordState, status: int, content: bytes, expires_at: int
) -> LogEntry:
    """The end of a claim: its answer, or that its job may have run."""
    return (END, *scoped_key, state == RecordState.ANSWERED, status, content, expires_at)


def drop_entry(scoped_key: ScopedKey) -> LogEntry:
    """A claim that is given back: its job never ran, or a retry is harmless."""
    return (DROP, *scoped_key)


def with_expiry(entry: LogEntry, expires_at: int) -> LogEntry:
    """The same end of a claim with another expiry."""
    return (*entry[:-1], expires_at)


class PersistedKeys:
    """What the entries of a log amount to, in the form that `WriteAheadLog` asks for."""

    def __init__(self, unix_clock: Callable[[], int]) -> None:
        """`unix_clock` gives Unix microseconds, by which a rewrite leaves out what has expired."""
        self.unix_clock = unix_clock
        self.entries: dict[ScopedKey, PersistedRecord] = {}

    def reset(self) -> None:
        """Forgets all, before a log is read anew."""
        self.entries = {}

    def apply(self, record: Sequence) -> None:
        """Follows one entry; PersistedRecordError where it can't be followed."""
        kind, tenant, key, *fields = record
        if kind == CLAIM:
            self.entries[tenant, key] = PersistedRecord(*fields)
        elif kind == END:
            self._end((tenant, key), *fields)
        elif kind == DROP:
            self.entries.pop((tenant, key), None)
        else:
            raise PersistedRecordError(f"a record of a later version: {kind}")

    def _end(
        self, scoped_key: ScopedKey, answered: bool, status: int, content: bytes, expires_at: int
    ) -> None:
        persisted = self.entries.get(scoped_key)
        if persisted is None:
            raise PersistedRecordError(f"an end without its claim: {scoped_key[1]!r}")
        persisted.state = RecordState.ANSWERED if answered else RecordState.UNSURE
        persisted.status, persisted.content, persisted.expires_at = status, content, expires_at

    def compacted_records(self) -> list[LogEntry]:
        """The fewest entries that lead to the same.

        A claim stays, however old: the dispatcher that made it may still be running its job.
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
    """The entries that lead to a record, whose times are `unix_offset_us` behind Unix time."""
    expires_at = record.expires_at + unix_offset_us
    entries = [claim_entry(scoped_key, record.fingerprint, expires_at, record.claim_name)]
    if record.state != RecordState.CLAIMED:
        entries.append(end_entry(scoped_key, record.state, record.status, record.content, expires_at))
    return entries
