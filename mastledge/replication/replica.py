"""A replica: grants keys to claims and stores the outcomes of claims in a key table.

The state of a claim only advances: claimed, then unsure (its job may have run), then answered. So copies that
differ are merged by taking the most advanced state, in whatever order they arrive; only granting a key needs
a quorum. The job of a claim whose walltime ends without an outcome may have run.
"""

from heapq import heapify, heappop, heappush

from mastledge.idempotency import records
from mastledge.idempotency.errors import KeyTableFullError
from mastledge.idempotency.key_table import ClaimResult, KeyTable
from mastledge.idempotency.keyed_request import KeyedRequest
from mastledge.idempotency.records import RecordState
from mastledge.idempotency.verdicts import Verdict
from mastledge.replication.messages import (
    ClaimKey,
    CompleteKey,
    ReadKey,
    Record,
    ReleaseClaim,
    ReplicaResponse,
    ReplicaResult,
)

OUTCOME_GRACE_US = 250_000  # after a claim's walltime, as its outcome may still be in flight
RESULT_OF_STATE = {
    RecordState.CLAIMED: ReplicaResult.CLAIMED,
    RecordState.ANSWERED: ReplicaResult.ANSWERED,
    RecordState.UNSURE: ReplicaResult.UNSURE,
}


def _response_with(call_id: int, record: records.Record, now: int) -> ReplicaResponse:
    """Return a response with the existing record of the key."""
    is_answered = record.state == RecordState.ANSWERED
    return ReplicaResponse(
        call_id,
        RESULT_OF_STATE[record.state],
        record.claim_name,
        max(0, record.expires_at - now),
        record.status if is_answered else 0,
        record.content if is_answered else b"",
        record.fingerprint,
    )


class Replica:
    """Stores records of keys in a key table that only it changes. Times are microseconds."""

    def __init__(self, table: KeyTable, now: int):
        """Take over `table` as restored from the disk."""
        self.table = table
        # Heap of (time, number, record): plain tuples, because heapq compares them without running Python
        # code.
        self._claim_ends: list[tuple[int, int, records.Record]] = []
        self._claim_count = 0
        for record in table.records.values():
            if record.state == RecordState.CLAIMED:
                self._expect_outcome(record)
        heapify(self._claim_ends)
        self.expire(now)

    def _expect_outcome(self, record: records.Record) -> None:
        self._claim_count += 1
        heappush(self._claim_ends, (record.expires_at + OUTCOME_GRACE_US, self._claim_count, record))

    def next_expiry_at(self) -> int | None:
        """Return when `expire` is due next, in microseconds, or None if no claim is open."""
        return self._claim_ends[0][0] if self._claim_ends else None

    def expire(self, now: int) -> None:
        """Mark claims as unsure if no outcome came by the end of their walltime and the grace time."""
        claim_ends = self._claim_ends
        while claim_ends and claim_ends[0][0] <= now:
            record = heappop(claim_ends)[2]
            if record.state == RecordState.CLAIMED and self.table.records.get(record.scoped_key) is record:
                self.table.mark_unsure(now, record)

    def claim(self, now: int, request: ClaimKey) -> ReplicaResponse:
        """Grant the key to the claim, or respond with the existing record of the key."""
        table, record = self.table, self.table.records.get((request.tenant, request.key))
        if (
            record is not None
            and record.claim_name in request.released_claims
            and record.state == RecordState.CLAIMED
        ):
            # The owner has released the claim, but the release has not arrived here yet.
            table.release(record)
            record = None
        if (
            record is not None
            and record.claim_name == request.claim_name
            and record.state == RecordState.CLAIMED
        ):
            return ReplicaResponse(request.call_id, ReplicaResult.GRANTED)
        verdict, record = self._claim(now, request)
        if verdict is Verdict.NEW:
            self._expect_outcome(record)
            return ReplicaResponse(request.call_id, ReplicaResult.GRANTED)
        if record is not None:
            return _response_with(request.call_id, record, now)
        is_other = verdict is Verdict.OTHER_REQUEST
        return ReplicaResponse(
            request.call_id, ReplicaResult.OTHER_REQUEST if is_other else ReplicaResult.FULL
        )

    def complete(self, now: int, request: CompleteKey) -> ReplicaResponse:
        """Store the outcome of a claim, even if the claim itself never arrived here."""
        table, record = self.table, self.table.records.get((request.tenant, request.key))
        if (
            record is not None
            and request.answered
            and not record.claim_name
            and record.state == RecordState.UNSURE
        ):
            # The record was merged from two claims, and the answer shows which claim counts.
            table.release(record)
            record = None
        if record is not None and record.claim_name != request.claim_name:
            # The record belongs to another claim, which lost and will be released, or was made later.
            return _response_with(request.call_id, record, now)
        if record is None:
            verdict, record = self._claim(now, request)
            if verdict is not Verdict.NEW:
                return ReplicaResponse(request.call_id, ReplicaResult.FULL)
        self._raise_to(now, record, request, request.answered)
        if request.answered and record.state != RecordState.ANSWERED:
            # The table had no room for the answer and stored the claim as unsure, so the answer is not
            # acknowledged.
            return ReplicaResponse(request.call_id, ReplicaResult.FULL)
        return ReplicaResponse(request.call_id, ReplicaResult.DONE)

    def release(self, request: ReleaseClaim) -> ReplicaResponse:
        """Release a claim unless it is answered."""
        record = self.table.records.get((request.tenant, request.key))
        if (
            record is not None
            and record.claim_name == request.claim_name
            and record.state != RecordState.ANSWERED
        ):
            self.table.release(record)
        return ReplicaResponse(request.call_id, ReplicaResult.DONE)

    def read(self, now: int, request: ReadKey) -> ReplicaResponse:
        """Return a response with the record of the key, or UNKNOWN_KEY if there is none."""
        self.table.expire(now)
        record = self.table.records.get((request.tenant, request.key))
        if record is None:
            return ReplicaResponse(request.call_id, ReplicaResult.UNKNOWN_KEY)
        return _response_with(request.call_id, record, now)

    def copy_of(self, now: int, record: records.Record) -> Record:
        """Return the record in the form that is sent to a new replica."""
        return Record(
            *record.scoped_key,
            record.fingerprint,
            record.claim_name,
            record.state,
            max(0, record.expires_at - now),
            record.status,
            record.content,
        )

    def merge(self, now: int, copy: Record) -> None:
        """Merge another replica's record; raise KeyTableFullError if there is no room for it.

        If the two records belong to different claims, only an answer shows which claim counts.
        """
        table, record = self.table, self.table.records.get((copy.tenant, copy.key))
        if record is not None and record.claim_name != copy.claim_name:
            if record.state == RecordState.ANSWERED:
                return
            table.release(record)
            if copy.state != RecordState.ANSWERED:
                # Either claim may count: store the key without a claim name, so that neither owner can
                # release it.
                copy = Record(
                    copy.tenant, copy.key, record.fingerprint, "", RecordState.UNSURE, table.retention_us
                )
            record = None
        if record is None:
            verdict, record = self._claim(now, copy)
            if verdict is not Verdict.NEW:
                raise KeyTableFullError(copy.key)
            if copy.state == RecordState.CLAIMED:
                self._expect_outcome(record)
        if copy.state != RecordState.CLAIMED:
            self._raise_to(now, record, copy, copy.state == RecordState.ANSWERED)

    def _claim(self, now: int, claim: ClaimKey | CompleteKey | Record) -> ClaimResult:
        expires_at = now + claim.remaining_us
        return self.table.claim(
            now, KeyedRequest(claim.tenant, claim.key, claim.fingerprint, expires_at, claim.claim_name)
        )

    def _raise_to(
        self, now: int, record: records.Record, known: CompleteKey | Record, answered: bool
    ) -> None:
        """Advance the state of the record if `known` is further; otherwise leave it."""
        if answered and record.state != RecordState.ANSWERED:
            self.table.complete(now, record, known.status, known.content)
        elif not answered and record.state == RecordState.CLAIMED:
            self.table.mark_unsure(now, record)
        else:
            return
        if known.remaining_us < self.table.retention_us:
            # The outcome comes from a copy, so its retention does not start again.
            self.table.shorten_retention(record, now + known.remaining_us)
