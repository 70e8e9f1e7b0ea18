"""One holder: what it grants, keeps and tells of the keys that it has copies of. A book of claims by name.

What is known of a claim only grows: claimed, then that it may have run, then its answer. So copies that
differ are merged by taking what is known most, whoever tells it and in whatever order; only who may claim a
key at all needs a majority. A claim whose walltime is over with no word of its outcome may have run.
"""

from heapq import heapify, heappop, heappush

from mastledge.idempotency.errors import KeyTableFullError
from mastledge.idempotency.records import RecordState
from mastledge.idempotency.verdicts import Verdict
from mastledge.replication import messages as m

GRACE = 250_000  # after a claim's walltime, in which its outcome is on its way


class Replica:
    def __init__(self, book, now):
        self.book, self.ends, self.count = book, [], 0
        for record in book.records.values():
            if record.state == RecordState.CLAIMED:
                self.expect(record)
        heapify(self.ends)
        self.expire(now)

    def expect(self, record):
        self.count += 1
        heappush(self.ends, (record.expires_at + GRACE, self.count, record))

    def wake_at(self):
        return self.ends[0][0] if self.ends else None

    def expire(self, now):
        """Whose walltime is over may have run: nobody says any more that it did not."""
        while self.ends and self.ends[0][0] <= now:
            record = heappop(self.ends)[2]
            if record.state == RecordState.CLAIMED and self.book.records.get(record.scoped_key) is record:
                self.book.mark_unsure(now, record)

    def had(self, op, what, record, now):
        if record is None or what in (m.GRANTED, m.DONE):
            return m.ReplicaResponse(op, what)
        told = record.state == RecordState.ANSWERED
        return m.ReplicaResponse(
            op,
            what,
            record.claim_name,
            max(0, record.expires_at - now),
            record.status if told else 0,
            record.content if told else b"",
            record.fingerprint,
        )

    def state(self, record):
        return {RecordState.CLAIMED: m.HELD, RecordState.ANSWERED: m.ANSWERED, RecordState.UNSURE: m.MAYBE}[
            record.state
        ]

    def claim(self, now, told):
        """Grants a key to one claim; what it holds already is told instead."""
        book, record = self.book, self.book.records.get((told.tenant, told.key))
        if record is not None and record.claim_name in told.over and record.state == RecordState.CLAIMED:
            # Its owner has given it back, and the word to this holder is late.
            book.release(record)
            record = None
        if record is not None and record.claim_name == told.claim and record.state == RecordState.CLAIMED:
            return self.had(told.op, m.GRANTED, record, now)
        what, record = book.try_claim(now, told.tenant, told.key, told.print, now + told.left, told.claim)
        if what == Verdict.NEW:
            self.expect(record)
            return self.had(told.op, m.GRANTED, record, now)
        if record is not None:
            return self.had(told.op, self.state(record), record, now)
        return m.ReplicaResponse(told.op, m.OTHER if what == Verdict.OTHER_REQUEST else m.FULL)

    def end(self, now, told):
        """Takes up what a claim came to, also where its claim never came here."""
        book, record = self.book, self.book.records.get((told.tenant, told.key))
        if record is not None and told.known and not record.claim_name and record.state == RecordState.UNSURE:
            book.release(record)  # one of two, and now it is known which
            record = None
        if record is not None and record.claim_name != told.claim:
            # Another's: it lost against this one and is about to be given back, or is what came next.
            return self.had(told.op, self.state(record), record, now)
        if record is None:
            what, record = book.try_claim(now, told.tenant, told.key, told.print, now + told.left, told.claim)
            if what != Verdict.NEW:
                return m.ReplicaResponse(told.op, m.FULL)
        self.raise_to(now, record, told.known, told.status, told.content, told.left)
        if told.known and record.state != RecordState.ANSWERED:
            # No room for the answer: that it may have run is kept, and that is no copy of it.
            return m.ReplicaResponse(told.op, m.FULL)
        return self.had(told.op, m.DONE, record, now)

    def raise_to(self, now, record, known, status, content, left):
        if known and record.state != RecordState.ANSWERED:
            self.book.complete(now, record, status, content)
        elif not known and record.state == RecordState.CLAIMED:
            self.book.mark_unsure(now, record)
        else:
            return
        if left < self.book.retention_us:
            # From another copy: its time does not begin anew.
            self.book.shorten_retention(record, now + left)

    def drop(self, now, told):
        record = self.book.records.get((told.tenant, told.key))
        if record is not None and record.claim_name == told.claim and record.state != RecordState.ANSWERED:
            self.book.release(record)
        return m.ReplicaResponse(told.op, m.DONE)

    def look(self, now, told):
        self.book.expire(now)
        record = self.book.records.get((told.tenant, told.key))
        return self.had(told.op, m.NONE if record is None else self.state(record), record, now)

    # Copies for who becomes a holder

    def copy(self, now, record):
        return m.Record(
            *record.scoped_key,
            record.fingerprint,
            record.claim_name,
            record.state,
            max(0, record.expires_at - now),
            record.status,
            record.content,
        )

    def merge(self, now, told):
        """Takes up a copy. Only an answer proves that its claim was the one: of any others either may be."""
        book, record = self.book, self.book.records.get((told.tenant, told.key))
        if record is not None and record.claim_name != told.claim:
            if record.state == RecordState.ANSWERED:
                return
            book.release(record)
            if told.state != RecordState.ANSWERED:
                # It is neither's from here on, so that neither can take it back.
                told = m.Record(
                    told.tenant, told.key, record.fingerprint, "", RecordState.UNSURE, book.retention_us
                )
            record = None
        if record is None:
            what, record = book.try_claim(now, told.tenant, told.key, told.print, now + told.left, told.claim)
            if what != Verdict.NEW:
                raise KeyTableFullError(told.key)
            if told.state == RecordState.CLAIMED:
                self.expect(record)
        if told.state != RecordState.CLAIMED:
            self.raise_to(
                now, record, told.state == RecordState.ANSWERED, told.status, told.content, told.left
            )
