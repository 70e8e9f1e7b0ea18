"""One record a key and tenant: what its first job came to, as far as that is known and promised.

Draft of the IETF on the Idempotency-Key header (draft-ietf-httpapi-idempotency-key-header) has the outline:
the same key with another body is 422, one whose first request is under way may wait or be refused. What may
have run is told
by 409 here.
"""

from collections import Counter, deque
from enum import StrEnum
from hashlib import blake2b
from itertools import islice

import msgspec

MAX_KEY_BYTES = 255


class Verdict(StrEnum):
    """What becomes of a job with a key. The values stand in the operators' figures."""

    NEW = "new"
    JOIN = "join"
    ANSWER = "answer"
    MAY_HAVE_RUN = "maybe"
    OTHER_REQUEST = "other"
    FULL = "full"
    INVALID_KEY = "bad"


class RecordState(StrEnum):
    """What is known of the first job of a key. The values stand in messages between dispatchers."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNSURE = "unsure"


HTTP_STATUS = {
    Verdict.MAY_HAVE_RUN: 409,
    Verdict.OTHER_REQUEST: 422,
    Verdict.FULL: 503,
    Verdict.INVALID_KEY: 400,
}
EXPLANATION = {
    Verdict.MAY_HAVE_RUN: "the first job of this key may have run; what it came to is not known",
    Verdict.OTHER_REQUEST: "this key has come with another body",
    Verdict.FULL: "no room for one more key",
    Verdict.INVALID_KEY: "a key is 1 to 255 visible ASCII characters",
}
ROOM_SHARES = 4  # a tenant takes all but one of them, so that none fills the room alone
RECORD_OVERHEAD_BYTES = 560  # of memory beside the key and the answer (`lab bench hoard`)


def request_fingerprint(target, body):
    """Tells one request from another under the same key."""
    return blake2b(body, digest_size=16, key=target[:64]).digest()


def is_valid_key(key):
    """Whether a key can be kept: bytes as they stand in the header."""
    return 1 <= len(key) <= MAX_KEY_BYTES and all(33 <= char <= 126 for char in key)


class KeyTableFullError(Exception):
    """There is no room for what has to be taken up."""


class Record(msgspec.Struct, gc=False, eq=False):
    """Untracked by the collector: where it looks at 100,000 of them, all else stands still for a tenth of a
    second.
    """

    scoped_key: tuple
    fingerprint: bytes
    expires_at: int
    claim_name: str = ""  # by which name of its dispatcher's, where copies are kept for others
    state: RecordState = RecordState.CLAIMED
    status: int = 0
    content: bytes = b""
    size_bytes: int = 0
    waiters: object = None  # the host's, until there is an outcome
    task: object = None


class PersistedRecord(msgspec.Struct, gc=False):
    """A record as the disk has it; `expires_at` in Unix microseconds."""

    fingerprint: bytes
    expires_at: int
    claim_name: str = ""
    state: RecordState = RecordState.CLAIMED
    status: int = 0
    content: bytes = b""


class KeyTable:
    """`retention_us`: for how long an answer, or that it may have run, is told. `max_records` and
    `max_bytes` are its room.

    What it changes is handed out by `take_changes()`, to be on the disk before the launch, or the answer,
    that depends on it. Times on the disk are Unix microseconds, as monotonic ones end with the machine;
    `unix_offset_us` is the difference.
    """

    def __init__(self, retention_us, max_records, max_bytes, unix_offset_us):
        self.retention_us, self.max_records = retention_us, max_records
        self.max_bytes, self.unix_offset_us = max_bytes, unix_offset_us
        self.records, self.used_bytes, self.tenant_bytes, self.expirations = {}, 0, Counter(), deque()
        self.changes, self.verdict_counts, self.claimed_count = [], Counter(), 0

    # What the door asks

    def try_claim(self, now, tenant, key, fingerprint, expires_at, claim_name=""):
        """What becomes of a job with this key; NEW has made a claim, which ends by `complete` or `release`.

        Gives (verdict, record or None). A claim is never forgotten for want of room: new keys are refused.
        """
        self.expire(now)
        if not is_valid_key(key):
            return self.count_verdict(Verdict.INVALID_KEY, None)
        record = self.records.get((tenant, key))
        if record is not None:
            if record.fingerprint != fingerprint:
                return self.count_verdict(Verdict.OTHER_REQUEST, None)
            return self.count_verdict(
                {
                    RecordState.CLAIMED: Verdict.JOIN,
                    RecordState.ANSWERED: Verdict.ANSWER,
                    RecordState.UNSURE: Verdict.MAY_HAVE_RUN,
                }[record.state],
                record,
            )
        size_bytes = RECORD_OVERHEAD_BYTES + len(key)
        if (
            len(self.records) >= self.max_records
            or self.used_bytes + size_bytes > self.max_bytes
            or self.tenant_bytes[tenant] + size_bytes > self.max_bytes // ROOM_SHARES * (ROOM_SHARES - 1)
        ):
            return self.count_verdict(Verdict.FULL, None)
        record = self.records[tenant, key] = Record(
            (tenant, key), fingerprint, expires_at, claim_name, size_bytes=size_bytes
        )
        self.charge(record, record.size_bytes)
        self.claimed_count += 1
        self.changes.append(self.claim_change(record))
        return self.count_verdict(Verdict.NEW, record)

    def claim_change(self, record):
        """A claim as the disk has it; its name stands there only where copies are kept."""
        named = (record.claim_name,) if record.claim_name else ()
        return (
            "claim",
            *record.scoped_key,
            record.fingerprint,
            record.expires_at + self.unix_offset_us,
            *named,
        )

    def count_verdict(self, verdict, record):
        self.verdict_counts[verdict] += 1
        return verdict, record

    def charge(self, record, size_bytes):
        self.used_bytes += size_bytes
        self.tenant_bytes[record.scoped_key[0]] += size_bytes

    def complete(self, now, record, status, content):
        """The first job has this answer, which is given again to each repeat until its time is over."""
        self.claimed_count -= record.state == RecordState.CLAIMED
        record.state, record.status, record.content, record.expires_at = (
            RecordState.ANSWERED,
            status,
            content,
            now + self.retention_us,
        )
        if self.used_bytes + len(content) > self.max_bytes:
            # No room for the answer itself: that it ran is what must not be forgotten.
            record.state, record.content = RecordState.UNSURE, b""
        self.charge(record, len(record.content))
        record.size_bytes += len(record.content)
        self.changes.append(
            (
                "end",
                *record.scoped_key,
                record.state == RecordState.ANSWERED,
                status,
                record.content,
                record.expires_at + self.unix_offset_us,
            )
        )
        self.expirations.append((record.expires_at, record))

    def mark_unsure(self, now, record):
        """It may have run, and nobody will learn what it came to."""
        self.claimed_count -= record.state == RecordState.CLAIMED
        record.state, record.expires_at = RecordState.UNSURE, now + self.retention_us
        self.changes.append(
            ("end", *record.scoped_key, False, 0, b"", record.expires_at + self.unix_offset_us)
        )
        self.expirations.append((record.expires_at, record))

    def shorten_retention(self, record, expires_at):
        """What was just put down is told until then only."""
        record.expires_at = expires_at
        self.changes[-1] = (*self.changes[-1][:-1], expires_at + self.unix_offset_us)
        self.expirations[-1] = (expires_at, record)

    def release(self, record):
        """It provably never ran, or trying again is harmless: the next one of this key is a first one."""
        if self.records.pop(record.scoped_key, None) is not None:
            self.claimed_count -= record.state == RecordState.CLAIMED
            self.charge(record, -record.size_bytes)
            self.changes.append(("drop", *record.scoped_key))

    def expire(self, now):
        while self.expirations and self.expirations[0][0] <= now:
            expires_at, record = self.expirations.popleft()
            if record.expires_at == expires_at and self.records.get(record.scoped_key) is record:
                del self.records[record.scoped_key]
                self.charge(record, -record.size_bytes)

    def take_changes(self):
        changes, self.changes = self.changes, []
        return changes

    def snapshot(self):
        """All that the disk has to hold, where it is written anew."""
        out = []
        for (tenant, key), record in self.records.items():
            out.append(self.claim_change(record))
            if record.state != RecordState.CLAIMED:
                out.append(
                    (
                        "end",
                        tenant,
                        key,
                        record.state == RecordState.ANSWERED,
                        record.status,
                        record.content,
                        record.expires_at + self.unix_offset_us,
                    )
                )
        return out

    def statistics(self):
        oldest = next(islice(self.records.values(), 1), None)
        return {
            "held": len(self.records),
            "bytes": self.used_bytes,
            "claimed": self.claimed_count,
            "oldest_until": oldest.expires_at if oldest else 0,
            **{verdict.value: self.verdict_counts[verdict] for verdict in Verdict},
        }

    # After a start

    def restore(self, now, persisted, own_claims=True):
        """Takes up what the disk held. What was claimed may have run: its dispatcher never said what became
        of it. Where claims are others' (not `own_claims`), they may still say so.

        No time is longer than `retention_us` from now, whatever the machine's clock has been set to.
        """
        for (tenant, key), told in persisted.items():
            expires_at = min(max(told.expires_at - self.unix_offset_us, now), now + self.retention_us)
            record = Record(
                (tenant, key),
                told.fingerprint,
                expires_at,
                told.claim_name,
                size_bytes=RECORD_OVERHEAD_BYTES + len(key),
            )
            self.records[tenant, key] = record
            if told.state == RecordState.ANSWERED:
                record.state, record.status, record.content = RecordState.ANSWERED, told.status, told.content
            elif not own_claims and told.claim_name and told.state == RecordState.CLAIMED:
                self.claimed_count += 1
            else:
                record.state, record.expires_at = RecordState.UNSURE, now + self.retention_us
            record.size_bytes += len(record.content)
            self.charge(record, record.size_bytes)
        self.expirations = deque(
            sorted(
                (
                    (record.expires_at, record)
                    for record in self.records.values()
                    if record.state != RecordState.CLAIMED
                ),
                key=lambda pair: pair[0],
            )
        )


class PersistedKeys:
    """What the journal amounts to; `unix_clock` gives Unix microseconds, by which what is over is left out
    of a rewrite.
    """

    def __init__(self, unix_clock):
        self.unix_clock, self.entries = unix_clock, {}

    def clear(self):
        self.entries = {}

    def take(self, record):
        what, tenant, key, *fields = record
        if what == "claim":
            self.entries[tenant, key] = PersistedRecord(*fields)
        elif what == "end":
            known, status, content, expires_at = fields
            row = self.entries.get((tenant, key))
            if row is None:
                raise ValueError(f"an end without its claim: {key!r}")
            row.state = RecordState.ANSWERED if known else RecordState.UNSURE
            row.status, row.content, row.expires_at = status, content, expires_at
        elif what == "drop":
            self.entries.pop((tenant, key), None)
        else:
            raise ValueError(f"a record of a later version: {what}")

    def records(self):
        """The fewest that lead to the same. A claim stays, however old: who made it may still be at it."""
        now, out = self.unix_clock(), []
        for (tenant, key), row in self.entries.items():
            if row.state != RecordState.CLAIMED and row.expires_at <= now:
                continue
            named = (row.claim_name,) if row.claim_name else ()
            out.append(("claim", tenant, key, row.fingerprint, row.expires_at, *named))
            if row.state != RecordState.CLAIMED:
                known = row.state == RecordState.ANSWERED
                out.append(("end", tenant, key, known, row.status, row.content, row.expires_at))
        return out
