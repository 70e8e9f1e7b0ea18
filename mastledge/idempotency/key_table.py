"""One record a key and tenant: what its first job came to, as far as that is known and promised.

Draft of the IETF on the Idempotency-Key header (draft-ietf-httpapi-idempotency-key-header) has the outline:
the same key with another body is 422, one whose first request is under way may wait or be refused. What may
have run is told
by 409 here.
"""

from collections import Counter, deque
from hashlib import blake2b
from itertools import islice

import msgspec

MOST_KEY = 255
NEW, JOIN, ANSWER, MAYBE, OTHER, FULL, BAD = "new", "join", "answer", "maybe", "other", "full", "bad"
CLAIMED, ANSWERED, UNSURE = "claimed", "answered", "unsure"
STATUS = {MAYBE: 409, OTHER: 422, FULL: 503, BAD: 400}
WHY = {
    MAYBE: "the first job of this key may have run; what it came to is not known",
    OTHER: "this key has come with another body",
    FULL: "no room for one more key",
    BAD: "a key is 1 to 255 visible ASCII characters",
}
TENANTS = 4  # in so many parts the room is divided at the least: no tenant fills it up alone
COST = 560  # bytes that a record takes in memory beside its key and its answer (`lab bench hoard`)


def fingerprint(target, body):
    """Tells one request from another under the same key."""
    return blake2b(body, digest_size=16, key=target[:64]).digest()


def sound(key):
    """Whether a key can be kept: bytes as they stand in the header."""
    return 1 <= len(key) <= MOST_KEY and all(33 <= char <= 126 for char in key)


class Full(Exception):
    """There is no room for what has to be taken up."""


class Record(msgspec.Struct, gc=False, eq=False):
    """Untracked by the collector: where it looks at 100,000 of them, all else stands still for a tenth of a
    second.
    """

    place: tuple
    print: bytes
    until: int
    claim: str = ""  # by which name of its dispatcher's, where copies are kept for others
    state: str = CLAIMED
    status: int = 0
    content: bytes = b""
    cost: int = 0
    waiters: object = None  # the host's, until there is an outcome
    task: object = None


class Row(msgspec.Struct, gc=False):
    """A record as the disk has it; `until` in Unix microseconds."""

    print: bytes
    until: int
    claim: str = ""
    state: str = CLAIMED
    status: int = 0
    content: bytes = b""


class KeyTable:
    """`keep`: for how long an answer, or that it may have run, is told (microseconds). `entries` and
    `bytes_` are its room.

    What it changes is handed out by `records()`, to be on the disk before the launch, or the answer, that
    depends on it. Times on the disk are Unix microseconds, as monotonic ones end with the machine; `since`
    is the
    difference.
    """

    def __init__(self, keep, entries, bytes_, since):
        self.keep, self.entries, self.bytes, self.since = keep, entries, bytes_, since
        self.held, self.used, self.tenants, self.fates = {}, 0, Counter(), deque()
        self.out, self.counts, self.claimed = [], Counter(), 0

    # What the door asks

    def offer(self, now, tenant, key, print_, until, claim=""):
        """What becomes of a job with this key; NEW has made a claim, which ends by `ended` or `dropped`.

        Gives (what, record or None). A claim is never forgotten for want of room: then new keys are refused.
        """
        self.fade(now)
        if not sound(key):
            return self.counted(BAD, None)
        record = self.held.get((tenant, key))
        if record is not None:
            if record.print != print_:
                return self.counted(OTHER, None)
            return self.counted({CLAIMED: JOIN, ANSWERED: ANSWER, UNSURE: MAYBE}[record.state], record)
        cost = COST + len(key)
        if (
            len(self.held) >= self.entries
            or self.used + cost > self.bytes
            or self.tenants[tenant] + cost > self.bytes // TENANTS * (TENANTS - 1)
        ):
            return self.counted(FULL, None)
        record = self.held[tenant, key] = Record((tenant, key), print_, until, claim, cost=cost)
        self.charge(record, record.cost)
        self.claimed += 1
        self.out.append(self.claim_of(record))
        return self.counted(NEW, record)

    def claim_of(self, record):
        """A claim as the disk has it; its name stands there only where copies are kept."""
        named = (record.claim,) if record.claim else ()
        return ("claim", *record.place, record.print, record.until + self.since, *named)

    def counted(self, what, record):
        self.counts[what] += 1
        return what, record

    def charge(self, record, cost):
        self.used += cost
        self.tenants[record.place[0]] += cost

    def ended(self, now, record, status, content):
        """The first job has this answer, which is given again to each repeat until its time is over."""
        self.claimed -= record.state == CLAIMED
        record.state, record.status, record.content, record.until = ANSWERED, status, content, now + self.keep
        if self.used + len(content) > self.bytes:
            # No room for the answer itself: that it ran is what must not be forgotten.
            record.state, record.content = UNSURE, b""
        self.charge(record, len(record.content))
        record.cost += len(record.content)
        self.out.append(
            (
                "end",
                *record.place,
                record.state == ANSWERED,
                status,
                record.content,
                record.until + self.since,
            )
        )
        self.fates.append((record.until, record))

    def unsure(self, now, record):
        """It may have run, and nobody will learn what it came to."""
        self.claimed -= record.state == CLAIMED
        record.state, record.until = UNSURE, now + self.keep
        self.out.append(("end", *record.place, False, 0, b"", record.until + self.since))
        self.fates.append((record.until, record))

    def shorten(self, record, until):
        """What was just put down is told until then only."""
        record.until = until
        self.out[-1] = (*self.out[-1][:-1], until + self.since)
        self.fates[-1] = (until, record)

    def dropped(self, record):
        """It provably never ran, or trying again is harmless: the next one of this key is a first one."""
        if self.held.pop(record.place, None) is not None:
            self.claimed -= record.state == CLAIMED
            self.charge(record, -record.cost)
            self.out.append(("drop", *record.place))

    def fade(self, now):
        while self.fates and self.fates[0][0] <= now:
            until, record = self.fates.popleft()
            if record.until == until and self.held.get(record.place) is record:
                del self.held[record.place]
                self.charge(record, -record.cost)

    def records(self):
        out, self.out = self.out, []
        return out

    def everything(self):
        """All that the disk has to hold, where it is written anew."""
        out = []
        for (tenant, key), record in self.held.items():
            out.append(self.claim_of(record))
            if record.state != CLAIMED:
                out.append(
                    (
                        "end",
                        tenant,
                        key,
                        record.state == ANSWERED,
                        record.status,
                        record.content,
                        record.until + self.since,
                    )
                )
        return out

    def figures(self):
        oldest = next(islice(self.held.values(), 1), None)
        return {
            "held": len(self.held),
            "bytes": self.used,
            "claimed": self.claimed,
            "oldest_until": oldest.until if oldest else 0,
            **{what: self.counts[what] for what in (NEW, JOIN, ANSWER, MAYBE, OTHER, FULL, BAD)},
        }

    # After a start

    def recovered(self, now, kept, own=True):
        """Takes up what the disk held. What was claimed may have run: its dispatcher never said what became
        of it. Where claims are others' (not `own`), they may still say so.

        No time is longer than `keep` from now, whatever the machine's clock has been set to meanwhile.
        """
        for (tenant, key), told in kept.items():
            until = min(max(told.until - self.since, now), now + self.keep)
            record = Record((tenant, key), told.print, until, told.claim, cost=COST + len(key))
            self.held[tenant, key] = record
            if told.state == ANSWERED:
                record.state, record.status, record.content = ANSWERED, told.status, told.content
            elif not own and told.claim and told.state == CLAIMED:
                self.claimed += 1
            else:
                record.state, record.until = UNSURE, now + self.keep
            record.cost += len(record.content)
            self.charge(record, record.cost)
        self.fates = deque(
            sorted(
                ((record.until, record) for record in self.held.values() if record.state != CLAIMED),
                key=lambda pair: pair[0],
            )
        )


class PersistedKeys:
    """What the journal amounts to; `now` gives Unix microseconds, by which what is over is left out of a
    rewrite.
    """

    def __init__(self, now):
        self.now, self.held = now, {}

    def reset(self):
        self.held = {}

    def apply(self, record):
        what, tenant, key, *fields = record
        if what == "claim":
            self.held[tenant, key] = Row(*fields)
        elif what == "end":
            known, status, content, until = fields
            row = self.held.get((tenant, key))
            if row is None:
                raise ValueError(f"an end without its claim: {key!r}")
            row.state = ANSWERED if known else UNSURE
            row.status, row.content, row.until = status, content, until
        elif what == "drop":
            self.held.pop((tenant, key), None)
        else:
            raise ValueError(f"a record of a later version: {what}")

    def compacted_records(self):
        """The fewest that lead to the same. A claim stays, however old: who made it may still be at it."""
        now, out = self.now(), []
        for (tenant, key), row in self.held.items():
            if row.state != CLAIMED and row.until <= now:
                continue
            named = (row.claim,) if row.claim else ()
            out.append(("claim", tenant, key, row.print, row.until, *named))
            if row.state != CLAIMED:
                known = row.state == ANSWERED
                out.append(("end", tenant, key, known, row.status, row.content, row.until))
        return out
