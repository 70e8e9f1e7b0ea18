"""The table of idempotency keys: claims, their answers and their expiry. No I/O and no clock.

It follows the IETF draft on the Idempotency-Key header (draft-ietf-httpapi-idempotency-key-header): the same
key with another body gets 422, and a repeat may wait for the first request or be refused. A repeat of a job
that may have run gets 409 here.
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
from mastledge.idempotency.room import TableCapacity
from mastledge.idempotency.verdicts import Verdict

VERDICT_OF_STATE = {
    RecordState.CLAIMED: Verdict.JOIN,
    RecordState.ANSWERED: Verdict.ANSWER,
    RecordState.UNSURE: Verdict.MAY_HAVE_RUN,
}


class ClaimResult(NamedTuple):
    """Verdict on a job, and the record of its key if the verdict is based on one."""

    verdict: Verdict
    record: Record | None


class KeyTableStatistics(TypedDict):
    """Statistics of a table, by their names in `GET /api/copies`; the last seven count verdicts."""

    held: int  # records
    bytes: int
    claimed: int  # records whose job has not ended
    oldest_until: int  # expiry of the oldest record in monotonic microseconds, or 0 if there is none
    new: int
    join: int
    answer: int
    maybe: int
    other: int
    full: int
    bad: int


class KeyTable:
    """Holds one record for each key of each tenant, with the state of its first job.

    A change has to be on the disk before the launch or the answer that depends on it; `take_changes` returns
    the changes as entries of the log. Times are microseconds of the monotonic clock; the log has Unix
    microseconds, which are `unix_offset_us` more.
    """

    def __init__(self, retention_us: int, max_records: int, max_bytes: int, unix_offset_us: int) -> None:
        """Answer repeats for `retention_us`; the limits apply to all tenants together."""
        self.retention_us, self.unix_offset_us = retention_us, unix_offset_us
        self.room = TableCapacity(max_records, max_bytes)
        self.records: dict[ScopedKey, Record] = {}
        # Ordered by time, except for shortened retentions.
        self.expirations: deque[tuple[int, Record]] = deque()
        self.changes: list[LogEntry] = []
        self.claimed_count = 0
        self.verdict_counts: Counter[Verdict] = Counter()

    # Claims and their outcomes

    def claim(self, now: int, request: KeyedRequest) -> ClaimResult:
        """Return the verdict on a job with a key.

        NEW makes a claim, which ends with `complete`, `mark_unsure` or `release`. A full table refuses new
        keys and never drops a claim.
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
        """Store the answer of the first job, which each repeat gets until the retention ends."""
        state = RecordState.ANSWERED
        if not self.room.has_bytes(len(content)):
            # There is no room for the answer, but the table must still record that the job may have run.
            state, content = RecordState.UNSURE, b""
        record.status, record.content = status, content
        record.size_bytes += len(content)
        self.room.charge(record.tenant, len(content))
        self._end(record, state, now + self.retention_us, status, content)

    def mark_unsure(self, now: int, record: Record) -> None:
        """Record that the first job may have run and that its answer is lost."""
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
        """End the retention of a record earlier; its end must be the last change."""
        record.expires_at = expires_at
        self.changes[-1] = with_expiry(self.changes[-1], expires_at + self.unix_offset_us)
        self.expirations[-1] = (expires_at, record)

    def release(self, record: Record) -> None:
        """Drop a claim whose job provably never ran, or whose retry is harmless.

        The next job with the key is a first job again.
        """
        if self.records.pop(record.scoped_key, None) is not None:
            self._count_claim_ended(record)
            self.room.charge(record.tenant, -record.size_bytes)
            self.changes.append(drop_entry(record.scoped_key))

    def expire(self, now: int) -> None:
        """Drop records whose retention is over; a claim never expires by itself."""
        while self.expirations and self.expirations[0][0] <= now:
            expires_at, record = self.expirations.popleft()
            # An entry is stale if its record has ended again or was released.
            if record.expires_at == expires_at and self.records.get(record.scoped_key) is record:
                del self.records[record.scoped_key]
                self.room.charge(record.tenant, -record.size_bytes)

    # Persistence

    def take_changes(self) -> list[LogEntry]:
        """Return the changes since the last call, in order."""
        changes, self.changes = self.changes, []
        return changes

    def snapshot(self) -> list[LogEntry]:
        """Return the entries for a rewrite of the log."""
        entries = []
        for scoped_key, record in self.records.items():
            entries += entries_of(scoped_key, record, self.unix_offset_us)
        return entries

    def restore(
        self, now: int, persisted: Mapping[ScopedKey, PersistedRecord], own_claims: bool = True
    ) -> None:
        """Restore the records that the disk held when the process started.

        The job of an open claim may have run, because its outcome was never recorded. If the claims belong to
        other dispatchers (`own_claims` is False), they stay open, as their owners may still report outcomes.
        Nothing expires later than `retention_us` from now, even if the machine's clock was set back.
        """
        for scoped_key, persisted_record in persisted.items():
            self._restore_record(now, scoped_key, persisted_record, own_claims)
        ended = [record for record in self.records.values() if record.state != RecordState.CLAIMED]
        ended.sort(key=lambda record: record.expires_at)
        self.expirations = deque((record.expires_at, record) for record in ended)

    def _restore_record(
        self, now: int, scoped_key: ScopedKey, persisted: PersistedRecord, own_claims: bool
    ) -> None:
        tenant, key = scoped_key
        latest = now + self.retention_us
        expires_at = min(max(persisted.expires_at - self.unix_offset_us, now), latest)
        record = Record(scoped_key, persisted.fingerprint, expires_at, persisted.claim_name)
        if persisted.state == RecordState.ANSWERED:
            record.state, record.status, record.content = persisted.state, persisted.status, persisted.content
        elif not own_claims and persisted.claim_name and persisted.state == RecordState.CLAIMED:
            self.claimed_count += 1
        else:
            record.state, record.expires_at = RecordState.UNSURE, latest
        record.size_bytes = RECORD_OVERHEAD_BYTES + len(key) + len(record.content)
        self.records[scoped_key] = record
        self.room.charge(tenant, record.size_bytes)

    def statistics(self) -> KeyTableStatistics:
        """Return the statistics for operators."""
        oldest = next(iter(self.records.values()), None)
        return {
            "held": len(self.records),
            "bytes": self.room.used_bytes,
            "claimed": self.claimed_count,
            "oldest_until": oldest.expires_at if oldest else 0,
            **{verdict.value: self.verdict_counts[verdict] for verdict in Verdict},
        }
