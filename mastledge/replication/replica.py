"""One holder: what it grants, keeps and tells of the keys that it has copies of. A book of claims by name.

What is known of a claim only grows: claimed, then that it may have run, then its answer. So copies that
differ are merged by taking what is known most, whoever tells it and in whatever order; only who may claim a
key at all needs a majority. A claim whose walltime is over with no word of its outcome may have run.
"""

from heapq import heapify, heappop, heappush

from mastledge.idempotency import key_table as b
from mastledge.replication import messages as m

GRACE = 250_000  # after a claim's walltime, in which its outcome is on its way


class Replica:
    def __init__(self, book, now):
        self.book, self.ends, self.count = book, [], 0
        for record in book.held.values():
            if record.state == b.CLAIMED:
                self.expect(record)
        heapify(self.ends)
        self.expire(now)

    def expect(self, record):
        self.count += 1
        heappush(self.ends, (record.until + GRACE, self.count, record))

    def wake_at(self):
        return self.ends[0][0] if self.ends else None

    def expire(self, now):
        """Whose walltime is over may have run: nobody says any more that it did not."""
        while self.ends and self.ends[0][0] <= now:
            record = heappop(self.ends)[2]
            if record.state == b.CLAIMED and self.book.held.get(record.place) is record:
                self.book.unsure(now, record)

    def had(self, op, what, record, now):
        if record is None or what in (m.GRANTED, m.DONE):
            return m.ReplicaResponse(op, what)
        told = record.state == b.ANSWERED
        return m.ReplicaResponse(
            op,
            what,
            record.claim,
            max(0, record.until - now),
            record.status if told else 0,
            record.content if told else b"",
            record.print,
        )

    def state(self, record):
        return {b.CLAIMED: m.HELD, b.ANSWERED: m.ANSWERED, b.UNSURE: m.MAYBE}[record.state]

    def claim(self, now, told):
        """Grants a key to one claim; what it holds already is told instead."""
        book, record = self.book, self.book.held.get((told.tenant, told.key))
        if record is not None and record.claim in told.over and record.state == b.CLAIMED:
            # Its owner has given it back, and the word to this holder is late.
            book.dropped(record)
            record = None
        if record is not None and record.claim == told.claim and record.state == b.CLAIMED:
            return self.had(told.op, m.GRANTED, record, now)
        what, record = book.offer(now, told.tenant, told.key, told.print, now + told.left, told.claim)
        if what == b.NEW:
            self.expect(record)
            return self.had(told.op, m.GRANTED, record, now)
        if record is not None:
            return self.had(told.op, self.state(record), record, now)
        return m.ReplicaResponse(told.op, m.OTHER if what == b.OTHER else m.FULL)

    def end(self, now, told):
        """Takes up what a claim came to, also where its claim never came here."""
        book, record = self.book, self.book.held.get((told.tenant, told.key))
        if record is not None and told.known and not record.claim and record.state == b.UNSURE:
            book.dropped(record)  # one of two, and now it is known which
            record = None
        if record is not None and record.claim != told.claim:
            # Another's: it lost against this one and is about to be given back, or is what came next.
            return self.had(told.op, self.state(record), record, now)
        if record is None:
            what, record = book.offer(now, told.tenant, told.key, told.print, now + told.left, told.claim)
            if what != b.NEW:
                return m.ReplicaResponse(told.op, m.FULL)
        self.raise_to(now, record, told.known, told.status, told.content, told.left)
        if told.known and record.state != b.ANSWERED:
            # No room for the answer: that it may have run is kept, and that is no copy of it.
            return m.ReplicaResponse(told.op, m.FULL)
        return self.had(told.op, m.DONE, record, now)

    def raise_to(self, now, record, known, status, content, left):
        if known and record.state != b.ANSWERED:
            self.book.ended(now, record, status, content)
        elif not known and record.state == b.CLAIMED:
            self.book.unsure(now, record)
        else:
            return
        if left < self.book.keep:
            # From another copy: its time does not begin anew.
            self.book.shorten(record, now + left)

    def drop(self, now, told):
        record = self.book.held.get((told.tenant, told.key))
        if record is not None and record.claim == told.claim and record.state != b.ANSWERED:
            self.book.dropped(record)
        return m.ReplicaResponse(told.op, m.DONE)

    def look(self, now, told):
        self.book.fade(now)
        record = self.book.held.get((told.tenant, told.key))
        return self.had(told.op, m.NONE if record is None else self.state(record), record, now)

    # Copies for who becomes a holder

    def copy(self, now, record):
        return m.Record(
            *record.place,
            record.print,
            record.claim,
            record.state,
            max(0, record.until - now),
            record.status,
            record.content,
        )

    def merge(self, now, told):
        """Takes up a copy. Only an answer proves that its claim was the one: of any others either may be."""
        book, record = self.book, self.book.held.get((told.tenant, told.key))
        if record is not None and record.claim != told.claim:
            if record.state == b.ANSWERED:
                return
            book.dropped(record)
            if told.state != b.ANSWERED:
                # It is neither's from here on, so that neither can take it back.
                told = m.Record(told.tenant, told.key, record.print, "", b.UNSURE, book.keep)
            record = None
        if record is None:
            what, record = book.offer(now, told.tenant, told.key, told.print, now + told.left, told.claim)
            if what != b.NEW:
                raise b.Full
            if told.state == b.CLAIMED:
                self.expect(record)
        if told.state != b.CLAIMED:
            self.raise_to(now, record, told.state == b.ANSWERED, told.status, told.content, told.left)
