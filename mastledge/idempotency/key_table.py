"""The table of idempotency keys: claims, their answers and their expiry. No I/O, no clock of its own.

The draft of the IETF on the Idempotency-Key header (draft-ietf-httpapi-idempotency-key-header) has the
outline: the same key with another body is 422, a repeat whose first request is under way may wait or be
refused. What may have run is 409 here.
"""

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple, TypedDict

from mastledge.idempotency.keyed_request import KeyedRequest, ScopedKey, is_valid_key
from mastledge.idempotency.persisted_keys import (
    LogEntry,
    PersistedRecord,
    claim_entry,
    drop_entry,
    end_entry,
    entries_of,
    with_expiry,
)
from mastledge.idempotency.records import RECORD_OVERHEAD_BYTES, Record, RecordState
from mastledge.idempotency.room import Room
from mastledge.idempotency.verdicts import Verdict

VERDICT_OF_STATE = {
    RecordState.CLAIMED: Verdict.JOIN,
    RecordState.ANSWERED: Verdict.ANSWER,
    RecordState.UNSURE: Verdict.MAY_HAVE_RUN,
}


class ClaimResult(NamedTuple):
    """What becomes of a job, and the record of its key where the verdict is of one."""

    verdict: Verdict
    record: Record | None


class KeyTableStatistics(TypedDict):
    """Figures of a table under their names in `GET /api/copies`; the last seven count verdicts."""

    held: int  # records
    bytes: int
    claimed: int  # records whose job is under way
    oldest_until: int  # expiry of the oldest record, 0 where there is none; monotonic microseconds
    new: int
    join: int
    answer: int
    maybe: int
    other: int
    full: int
    bad: int


class KeyTable:
    """One record a key and tenant: what is known and promised of its first job.

    Each change has to be on the disk before the launch, or the answer, that depends on it: `take_changes`
    hands them out as entries of the log. Times here are microseconds of the monotonic clock; the
    log has Unix microseconds, `unix_offset_us` more.
    """

    def __init__(self, retention_us: int, max_records: int, max_bytes: int, unix_offset_us: int) -> None:
        """`retention_us`: for how long a repeat is answered; the limits are of all tenants together."""
        self.retention_us, self.unix_offset_us = retention_us, unix_offset_us
        self.room = Room(max_records, max_bytes)
        self.records: dict[ScopedKey, Record] = {}
        self.expirations: deque[tuple[int, Record]] = deque()  # by time, but for shortened retentions
        self.changes: list[LogEntry] = []
        self.claimed_count = 0
        self.verdict_counts: Counter[Verdict] = Counter()

    # Claims and their ends

    def claim(self, now: int, request: KeyedRequest) -> ClaimResult:
        """What becomes of a job with a key.

        NEW has made a claim, which ends by `complete`, `mark_unsure` or `release`. A claim is never forgotten
        for want of room: then new keys are refused.
        """
        self.expire(now)
        result = self._decide(request)
        self.verdict_counts[result.verdict] += 1
        return result

    def _decide(self, request: KeyedRequest) -> ClaimResult:
        if not is_valid_key(request.key):
            return ClaimResult(Verdict.INVALID_KEY, None)
        record = self.records.get(request.scoped_key)
        if record is None:
            return self._make_claim(request)
        if record.fingerprint != request.fingerprint:
            return ClaimResult(Verdict.OTHER_REQUEST, None)
        return ClaimResult(VERDICT_OF_STATE[record.state], record)

    def _make_claim(self, request: KeyedRequest) -> ClaimResult:
        size_bytes = RECORD_OVERHEAD_BYTES + len(request.key)
        if not self.room.admits(request.tenant, size_bytes, len(self.records)):
            return ClaimResult(Verdict.FULL, None)
        scoped_key, expires_at = request.scoped_key, request.expires_at
        record = Record(
            scoped_key, request.fingerprint, expires_at, request.claim_name, size_bytes=size_bytes
        )
        self.records[scoped_key] = record
        self.room.charge(request.tenant, size_bytes)
        self.claimed_count += 1
        self.changes.append(
            claim_entry(scoped_key, request.fingerprint, expires_at + self.unix_offset_us, request.claim_name)
        )
        return ClaimResult(Verdict.NEW, record)

    def complete(self, now: int, record: Record, status: int, content: bytes) -> None:
        """The first job has this answer, which each repeat gets until its retention is over."""
        state = RecordState.ANSWERED
        if not self.room.has_bytes(len(content)):
            # No room for the answer itself: that the job ran is what must not be forgotten.
            state, content = RecordState.UNSURE, b""
        record.status, record.content = status, content
        record.size_bytes += len(content)
        self.room.charge(record.tenant, len(content))
        self._end(record, state, now + self.retention_us, status, content)

    def mark_unsure(self, now: int, record: Record) -> None:
        """The first job may have run, and nobody will learn its answer."""
        self._end(record, RecordState.UNSURE, now + self.retention_us, 0, b"")

    def _end(self, record: Record, state: RecordState, expires_at: int, status: int, content: bytes) -> None:
        self._count_claim_ended(record)
        record.state, record.expires_at = state, expires_at
        self.changes.append(
            end_entry(record.scoped_key, state, status, content, expires_at + self.unix_offset_us)
        )
        self.expirations.append((expires_at, record))

    def _count_claim_ended(self, record: Record) -> None:
        if record.state == RecordState.CLAIMED:
            self.claimed_count -= 1

    def shorten_retention(self, record: Record, expires_at: int) -> None:
        """Ends the retention of a record earlier; only for the one whose end is the last change."""
        record.expires_at = expires_at
        self.changes[-1] = with_expiry(self.changes[-1], expires_at + self.unix_offset_us)
        self.expirations[-1] = (expires_at, record)

    def release(self, record: Record) -> None:
        """Forgets a claim: its job provably never ran, or a retry is harmless.

        The next job of its key is a first one again.
        """
        if self.records.pop(record.scoped_key, None) is not None:
            self._count_claim_ended(record)
            self.room.charge(record.tenant, -record.size_bytes)
            self.changes.append(drop_entry(record.scoped_key))

    def expire(self, now: int) -> None:
        """Forgets records whose retention is over; a claim never expires by itself."""
        while self.expirations and self.expirations[0][0] <= now:
            expires_at, record = self.expirations.popleft()
            # A record that has ended again, or was released, has another entry here or none.
            if record.expires_at == expires_at and self.records.get(record.scoped_key) is record:
                del self.records[record.scoped_key]
                self.room.charge(record.tenant, -record.size_bytes)

    # What is persisted

    def take_changes(self) -> list[LogEntry]:
        """The changes since the last call, in their order."""
        changes, self.changes = self.changes, []
        return changes

    def snapshot(self) -> list[LogEntry]:
        """All that the disk has to hold, where the log is written anew."""
        entries = []
        for scoped_key, record in self.records.items():
            entries += entries_of(scoped_key, record, self.unix_offset_us)
        return entries

    def restore(
        self, now: int, persisted: Mapping[ScopedKey, PersistedRecord], own_claims: bool = True
    ) -> None:
        """Takes up what the disk held when the process started.

        The job of a claim may have run, as its dispatcher never said what became of it. Where claims are of
        other dispatchers (not `own_claims`), those may still say so. Nothing expires later than
        `retention_us` from now, whatever the machine's clock has been set to.
        """
        for scoped_key, found in persisted.items():
            self._restore_record(now, scoped_key, found, own_claims)
        ended = [record for record in self.records.values() if record.state != RecordState.CLAIMED]
        ended.sort(key=lambda record: record.expires_at)
        self.expirations = deque((record.expires_at, record) for record in ended)

    def _restore_record(
        self, now: int, scoped_key: ScopedKey, found: PersistedRecord, own_claims: bool
    ) -> None:
        tenant, key = scoped_key
        latest = now + self.retention_us
        expires_at = min(max(found.expires_at - self.unix_offset_us, now), latest)
        record = Record(scoped_key, found.fingerprint, expires_at, found.claim_name)
        if found.state == RecordState.ANSWERED:
            record.state, record.status, record.content = found.state, found.status, found.content
        elif not own_claims and found.claim_name and found.state == RecordState.CLAIMED:
            self.claimed_count += 1
        else:
            record.state, record.expires_at = RecordState.UNSURE, latest
        record.size_bytes = RECORD_OVERHEAD_BYTES + len(key) + len(record.content)
        self.records[scoped_key] = record
        self.room.charge(tenant, record.size_bytes)

    def statistics(self) -> KeyTableStatistics:
        """What operators see."""
        oldest = next(iter(self.records.values()), None)
        return {
            "held": len(self.records),
            "bytes": self.room.used_bytes,
            "claimed": self.claimed_count,
            "oldest_until": oldest.expires_at if oldest else 0,
            **{verdict.value: self.verdict_counts[verdict] for verdict in Verdict},
        }
