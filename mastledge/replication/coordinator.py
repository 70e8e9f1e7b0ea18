"""The side of the dispatcher that has the job: claims its key, tells what it came to, finds out for repeats.

A claim holds once a majority of the key's holders has granted it, each on its disk: two majorities have one
in common, and that one grants a key once. Nothing may be launched before. An outcome is told to all holders,
and the job is answered once a majority has it. So whoever asks a majority later hears of it, whatever machine
is lost.

A claim that some holders grant and others don't is given back, and its job waits for what the other claim
comes to: it asks that one's owner, and looks at the holders in case the owner is lost.
"""

from heapq import heappop, heappush
from zlib import crc32

from mastledge.idempotency.keyed_request import is_valid_key
from mastledge.idempotency.records import RecordState
from mastledge.idempotency.verdicts import EXPLANATION, HTTP_STATUS, Verdict
from mastledge.replication import messages as m
from mastledge.replication.placement import Placement

PATIENCE = 300_000  # for a majority, where the job's time is longer
AGAIN, LONGEST = 60_000, 2_000_000  # between two times that the same is said to who does not answer
ASKS = 100_000  # between two questions to the owner of the claim that is waited for
LOOKS = 300_000  # between two looks at the holders, as that owner may be lost
GIVEN_BACK = 60_000  # for which a rejection waits until its claim is given back
LAST = 30_000  # before the end of a job's walltime, in which its client still has to hear
TRIES = 8  # claims of one job, where others' are given back before it
ROUND = 20_000  # before a key is claimed again that several claimed at once
# What becomes of a job, as the host is told.
GO, ANSWER, UNSURE, REFUSED, FULL, NOBODY, LASTING, SHORT = (
    "go",
    "answer",
    "unsure",
    "refused",
    "full",
    "nobody",
    "lasting",
    "short",
)
CLAIMING, HELD, ENDING, OVER, JOINING, WAITING = "claiming", "held", "ending", "over", "joining", "waiting"


class Job:
    """One job with a key, from its coming until nobody can ask for it any more."""

    __slots__ = (
        "n",
        "place",
        "print",
        "until",
        "phase",
        "claim",
        "op",
        "over",
        "tries",
        "listeners",
        "status",
        "content",
        "known",
        "target",
        "target_until",
        "asked_at",
        "looked_at",
        "looks",
        "left",
        "forget",
    )

    def __init__(self, n, place, print_, until):
        self.n, self.place, self.print, self.until = n, place, print_, until
        self.phase, self.claim, self.op, self.over, self.tries = CLAIMING, "", None, [], 0
        self.listeners, self.status, self.content, self.known = [], 0, None, False
        self.target, self.target_until, self.asked_at, self.looked_at, self.looks = "", 0, 0, 0, None
        self.left, self.forget = False, 0


class QuorumCall:
    """Something said to all holders of a key, again and again until each has answered or its time is over."""

    __slots__ = (
        "n",
        "kind",
        "fields",
        "place",
        "acks",
        "against",
        "said",
        "until",
        "done",
        "failed",
        "settled",
        "waits",
        "turn",
        "share",
        "heard",
        "job",
    )

    def __init__(self, n, kind, place, fields, until, done, failed=None):
        self.n, self.kind, self.place, self.fields, self.until = n, kind, place, fields, until
        self.acks, self.against, self.said = {}, {}, {}
        self.heard = {}  # whoever has answered, whatever it was: by name the id of its folder
        self.done, self.failed, self.settled, self.waits = done, failed, False, AGAIN
        self.turn = 0  # of saying it: one that was put off before the last one is none of its
        self.job = None  # whose answer may be forgotten here once all have it


class Coordinator:
    """`host.say(to, message)`, `host.tell(n, what, status, content)`, `host.ids` {name: id} as heard."""

    def __init__(self, host, name, run, keep, seed):
        self.host, self.name, self.run, self.keep, self.seed = host, name, run, keep, seed
        self.placement, self.count, self.draws = Placement(), 0, 0
        self.jobs, self.claims, self.places, self.ops = {}, {}, {}, {}
        self.due, self.pushes = [], 0

    # Time

    def at(self, when, call, *fields):
        self.pushes += 1
        heappush(self.due, (when, self.pushes, call, fields))

    def wake_at(self):
        return self.due[0][0] if self.due else None

    def run_due(self, now):
        while self.due and self.due[0][0] <= now:
            _, _, call, fields = heappop(self.due)
            call(now, *fields)

    def spread(self, most):
        """A part of a time, by chance, so that those who collided once don't again."""
        self.draws += 1
        return int(
            most * (0.5 + crc32(b"%d %s %d" % (self.seed, self.name.encode(), self.draws)) / 8589934592)
        )

    def number(self):
        self.count += 1
        return self.count

    # Operations on all holders of a key

    def begin(self, now, kind, place, fields, until, done, failed=None):
        op = QuorumCall(self.number(), kind, place, fields, until, done, failed)
        op.share = self.placement.share(*place)
        self.ops[op.n] = op
        self.push(now, op)
        self.at(until, self.expired, op)
        return op

    def message(self, now, op):
        kind, (tenant, key) = op.kind, op.place
        if kind is m.ClaimKey:
            print_, claim, until, over = op.fields
            return m.ClaimKey(op.n, self.placement.epoch, tenant, key, print_, claim, until - now, over)
        if kind is m.CompleteKey:
            print_, claim, known, status, content = op.fields
            left = max(0, op.until - now)
            return m.CompleteKey(
                op.n, self.placement.epoch, tenant, key, print_, claim, known, status, content, left
            )
        return kind(op.n, tenant, key, *op.fields)

    def push(self, now, op, turn=None):
        """Says it to each who has not answered, and comes back to it later."""
        if op.n not in self.ops or turn not in (None, op.turn):
            return
        op.turn += 1
        message = None
        for name in op.share.names:
            if name not in op.acks and name not in op.against:
                message = message or self.message(now, op)
                self.host.say(name, message)
        if not self.placement.now and op.failed is not None:
            self.settle(now, op, False)
            return
        if message is None:
            self.weigh(now, op)
            return
        op.waits, wait = min(op.waits * 2, LONGEST), op.waits
        self.at(now + wait, self.push, op, op.turn)

    def expired(self, now, op):
        if op.n in self.ops:
            self.closed(op)
            if not op.settled:
                self.settle(now, op, False)

    def closed(self, op):
        self.ops.pop(op.n, None)

    def settle(self, now, op, well):
        if op.settled:
            return
        op.settled = True
        call = op.done if well else op.failed
        if call is not None:
            call(now, op)

    def on_ReplicaResponse(self, now, sender, id_, had):
        op = self.ops.get(had.op)
        if op is None:
            return
        op.heard[sender] = id_
        good = (m.GRANTED,) if op.kind is m.ClaimKey else (m.DONE,)
        if had.what in good or op.kind is m.ReadKey:
            op.acks[sender] = id_
            op.said[sender] = had
        elif had.what == m.STALE:
            return  # it has heard of other holders earlier than this one, and is asked again by and by
        elif op.kind is m.ClaimKey:
            op.against[sender] = had
        elif had.what in (m.FULL, m.DISK, m.HELD, m.MAYBE, m.ANSWERED):
            return  # not now; it is told again
        self.weigh(now, op)

    def weigh(self, now, op):
        if not op.settled:
            if op.share.enough(op.acks):
                self.settle(now, op, True)
            elif op.against and not op.share.possible(op.against):
                self.settle(now, op, False)
        if op.n in self.ops and all(name in op.acks or name in op.against for name in op.share.names):
            self.closed(op)
            self.settle(now, op, False)
            if op.job is not None and op.job.phase == OVER:
                op.job.content = None  # each holder has it

    def configured(self, now, placement):
        """Other holders: what is under way is said to them as well, and counts by them.

        Claims are asked for anew from all: one that a new holder had granted before it had its copies of what
        the old ones granted was no grant.
        """
        other, self.placement = placement.epoch != self.placement.epoch, placement
        for op in list(self.ops.values()):
            op.waits, op.share = AGAIN, placement.share(*op.place)
            if op.kind is m.ClaimKey and other:
                del self.ops[op.n]
                op.n, op.acks, op.against, op.heard = self.number(), {}, {}, {}
                self.ops[op.n] = op
            self.push(now, op)
            if op.n in self.ops:
                self.weigh(now, op)

    # Jobs

    def offer(self, now, n, tenant, key, print_, left):
        if not is_valid_key(key):
            self.host.tell(
                n, REFUSED, HTTP_STATUS[Verdict.INVALID_KEY], EXPLANATION[Verdict.INVALID_KEY].encode()
            )
            return
        job = self.jobs[n] = Job(n, (tenant, key), print_, now + left)
        known = self.places.get(job.place)
        if known is None:
            self.claim(now, job)
        elif known.print != print_:
            self.tell(
                job, REFUSED, HTTP_STATUS[Verdict.OTHER_REQUEST], EXPLANATION[Verdict.OTHER_REQUEST].encode()
            )
        else:
            job.phase = JOINING
            self.listen_to(now, job, known)

    def tell(self, job, what, status=0, content=b""):
        if not job.left:
            self.host.tell(job.n, what, status, content)
        if what not in (GO, LASTING, SHORT):
            self.gone(job)

    def gone(self, job):
        """The host asks no more of this one."""
        job.left = True
        self.jobs.pop(job.n, None)
        for op in (job.op, job.looks):
            if op is not None and op.kind is not m.CompleteKey:
                self.closed(op)

    def claim(self, now, job):
        job.tries += 1
        job.phase, job.claim = CLAIMING, m.named(self.name, self.run, self.number())
        self.claims[job.claim] = self.places[job.place] = job
        fields = (job.print, job.claim, job.until, job.over)
        job.op = self.begin(
            now,
            m.ClaimKey,
            job.place,
            fields,
            min(now + PATIENCE, job.until),
            lambda now, op: self.granted(now, job),
            lambda now, op: self.not_granted(now, job, op),
        )

    def granted(self, now, job):
        job.phase = HELD
        # Who has not answered need not grant it any more, and hears of the outcome.
        self.closed(job.op)
        self.tell(job, GO)

    def give_back(self, now, job, done=None):
        """No holder keeps a claim that came to nothing, for longer than it can be told."""
        claim = job.claim
        self.claims.pop(claim, None)
        if self.places.get(job.place) is job:
            del self.places[job.place]
        return self.begin(now, m.ReleaseClaim, job.place, (claim,), job.until + LONGEST, done, done)

    def not_granted(self, now, job, op):
        """A majority for this claim is not to be had, or not in time: what those who refused know decides."""
        self.closed(op)
        self.give_back(now, job)
        for other in self.heard_of(job):
            self.told(now, other, m.DROPPED)
        copies = [*op.against.items()]
        if not op.share.enough(op.heard):
            # What a minority knows may be of a claim that never held. An answer always is one.
            copies = [(name, had) for name, had in copies if had.what in (m.ANSWERED, m.FULL, m.DISK)]
        self.by_copies(now, job, copies)

    def heard_of(self, job):
        listeners, job.listeners = job.listeners, []
        return listeners

    def by_copies(self, now, job, copies):
        """What holders said of a key that was asked for: the most that any of them knows counts."""
        by = {}
        for name, had in copies:
            by.setdefault(had.what, []).append((name, had))
        for what in (m.ANSWERED, m.MAYBE, m.HELD):
            for _, had in by.get(what, ()):
                if had.print and had.print != job.print:
                    self.tell(
                        job,
                        REFUSED,
                        HTTP_STATUS[Verdict.OTHER_REQUEST],
                        EXPLANATION[Verdict.OTHER_REQUEST].encode(),
                    )
                    return
        if m.ANSWERED in by:
            self.answer(now, job, by[m.ANSWERED])
        elif m.MAYBE in by:
            self.tell(job, UNSURE)
        elif m.OTHER in by:
            self.tell(
                job, REFUSED, HTTP_STATUS[Verdict.OTHER_REQUEST], EXPLANATION[Verdict.OTHER_REQUEST].encode()
            )
        elif m.HELD in by:
            self.join(now, job, by[m.HELD][0][1])
        elif m.FULL in by or m.DISK in by:
            self.tell(job, FULL)
        else:
            self.tell(job, NOBODY)

    def answer(self, now, job, copies):
        """Before an answer is given again a majority has it: the copy that told of it may be the last one."""
        _, had = copies[0]
        fields = (had.print, had.claim, True, had.status, had.content)
        job.phase = WAITING
        job.op = self.begin(
            now,
            m.CompleteKey,
            job.place,
            fields,
            max(now + had.left, now + 1),
            lambda now, op: self.tell(job, ANSWER, had.status, had.content),
            lambda now, op: self.tell(job, NOBODY),
        )
        for name, one in copies:
            if one.claim == had.claim:
                job.op.acks[name] = self.host.ids.get(name)
        self.weigh(now, job.op)
        if not job.op.settled:
            self.at(min(now + PATIENCE, job.until), self.unanswered, job)

    def unanswered(self, now, job):
        if job.phase == WAITING and not job.left:
            self.tell(job, NOBODY)

    # Repeats of a claim that is under way elsewhere

    def join(self, now, job, had):
        job.phase, job.target, job.target_until = JOINING, had.claim, now + had.left + 2 * ASKS
        job.asked_at = job.looked_at = 0
        self.at(min(job.target_until, job.until), self.no_word, job, job.target)
        self.ask(now, job, job.target)

    def ask(self, now, job, target):
        """Asks its owner; one's own claims are here."""
        if job.left or job.phase != JOINING or job.target != target:
            return
        owner, run = m.parts(target)
        if owner == self.name:
            known = self.claims.get(target)
            if known is not None:
                self.listen_to(now, job, known)
            else:
                self.told(now, job, m.DROPPED if run == self.run else m.UNKNOWN)
            return
        self.host.say(owner, m.OwnerQuery(job.n, target))
        if now >= job.looked_at + LOOKS:
            if job.looked_at:
                self.look(now, job)
            job.looked_at = now
        self.at(now + ASKS, self.ask, job, target)

    def look(self, now, job):
        if job.looks is not None and not job.looks.settled:
            return
        job.looks = self.begin(
            now,
            m.ReadKey,
            job.place,
            (),
            now + 2 * PATIENCE,
            lambda now, op, target=job.target: self.looked(now, job, op, target),
            lambda now, op: self.out_of_reach(job, op),
        )

    def out_of_reach(self, job, op):
        """Neither the owner nor a majority of the holders is heard: nobody here will learn of it."""
        if job.looks is op and job.phase == JOINING:
            self.tell(job, NOBODY)

    def looked(self, now, job, op, target):
        if job.left or job.phase != JOINING or job.target != target:
            return
        copies = [(name, had) for name, had in op.said.items() if had.what != m.NONE]
        if any(had.what != m.HELD for _, had in copies):
            self.by_copies(now, job, copies)
        elif not copies:
            # Given back, or its grants are on their way yet: only its owner can tell, so it is not taken for
            # over.
            self.again(now, job)

    def no_word(self, now, job, target):
        """The other claim's walltime is over, and nobody tells what it came to."""
        if not job.left and job.phase == JOINING and job.target == target:
            self.tell(job, UNSURE)

    def listen_to(self, now, job, known):
        """Hears of what a claim of this very dispatcher comes to."""
        job.target = known.claim
        if known.phase in (CLAIMING, HELD, ENDING):
            known.listeners.append(job)
        else:
            self.told(now, job, *self.outcome(known))

    def outcome(self, known):
        if not known.known:
            return (m.MAYBE,)
        if known.content is None:
            return (m.LOOK,)
        return m.ANSWERED, known.status, known.content

    def on_OwnerQuery(self, now, sender, ask):
        try:
            owner, run = m.parts(ask.claim)
        except ValueError:
            return
        known = self.claims.get(ask.claim)
        if known is None:
            # Of this run all are known that were not given back; of one before nothing.
            mine = owner == self.name and run == self.run
            self.host.say(sender, m.OwnerResponse(ask.op, ask.claim, m.DROPPED if mine else m.UNKNOWN))
        elif known.phase in (CLAIMING, HELD, ENDING):
            listener = (sender, ask.op, ask.claim)
            if listener not in known.listeners:
                known.listeners.append(listener)
        else:
            self.host.say(sender, m.OwnerResponse(ask.op, ask.claim, *self.outcome(known)))

    def on_OwnerResponse(self, now, sender, told):
        job = self.jobs.get(told.op)
        # One that comes late may be of a claim that this job has waited for before.
        if job is not None and job.phase == JOINING and job.target == told.claim:
            self.told(now, job, told.what, told.status, told.content)

    def told(self, now, job, what, status=0, content=b""):
        """What the claim that this job waits for came to; `job` may be one of another dispatcher's."""
        if isinstance(job, tuple):
            sender, op, claim = job
            self.host.say(sender, m.OwnerResponse(op, claim, what, status, content))
            return
        if job.left or job.phase != JOINING:
            return
        if what == m.ANSWERED:
            self.tell(job, ANSWER, status, content)
        elif what in (m.MAYBE, m.UNKNOWN):
            self.tell(job, UNSURE)
        elif what == m.LOOK:
            self.look(now, job)
        elif what == m.DROPPED:
            if job.target and job.target not in job.over:
                job.over = [*job.over[1 - TRIES :], job.target]
            self.again(now, job)

    def again(self, now, job):
        """Another claim for this job, unless it has had too many."""
        if job.tries >= TRIES:
            self.tell(job, NOBODY)
            return
        job.phase, job.target = WAITING, ""
        self.at(now + (self.spread(ROUND) if job.tries else 0), self.claim_again, job)

    def claim_again(self, now, job):
        if job.left or job.phase != WAITING:
            return
        known = self.places.get(job.place)
        if known is not None and known is not job:
            job.phase = JOINING
            self.listen_to(now, job, known)
        elif now < job.until:
            self.claim(now, job)

    # What the first job came to

    def ended(self, now, n, how, status=0, content=b""):
        """`how`: answered, unsure or dropped, as in the book."""
        job = self.jobs.get(n)
        if job is None or job.phase != HELD:
            return
        if how == m.DROPPED:
            job.phase = OVER
            op = self.give_back(now, job, lambda now, op: self.finished(now, job, LASTING))
            self.at(min(now + GIVEN_BACK, job.until), self.finished, job, LASTING)
            job.op = op
            for other in self.heard_of(job):
                self.told(now, other, m.DROPPED)
            return
        job.known, job.phase = how == RecordState.ANSWERED, ENDING
        fields = (job.print, job.claim, job.known, status, content)
        job.status, job.content = status, content if job.known else None
        job.op = self.begin(
            now,
            m.CompleteKey,
            job.place,
            fields,
            now + self.keep,
            lambda now, op: self.kept(now, job),
            lambda now, op: self.finished(now, job, SHORT),
        )
        job.op.job = job
        self.at(now + self.keep, self.forgotten, job)
        if job.known:
            self.at(max(job.until - LAST, now + 1), self.finished, job, SHORT)
        else:
            self.kept(now, job)

    def kept(self, now, job):
        """A majority has it, so it is told from here on."""
        if job.phase == ENDING:
            job.phase = OVER
            for other in self.heard_of(job):
                self.told(now, other, *self.outcome(job))
            self.finished(now, job, LASTING)

    def finished(self, now, job, what):
        if not job.left:
            job.left = True
            self.jobs.pop(job.n, None)
            self.host.tell(job.n, what, job.status, job.content or b"")

    def forgotten(self, now, job):
        self.claims.pop(job.claim, None)
        if self.places.get(job.place) is job:
            del self.places[job.place]
        job.content = None
        for other in self.heard_of(job):
            self.told(now, other, m.MAYBE)

    def gone_client(self, now, n):
        """Its client has left, or its time is over: who only waited need not wait any more."""
        job = self.jobs.get(n)
        if job is not None and job.phase in (JOINING, WAITING):
            self.gone(job)
        elif job is not None and job.phase == HELD:
            # It was told to go and has not gone.
            self.ended(now, n, m.DROPPED)
        elif job is not None and job.phase == CLAIMING:
            self.gone(job)
            self.give_back(now, job)
            for other in self.heard_of(job):
                self.told(now, other, m.DROPPED)

    def figures(self):
        under = {op.place for op in self.ops.values() if op.kind is m.CompleteKey}
        owed = sum(
            name not in op.acks
            for op in self.ops.values()
            if op.kind is m.CompleteKey
            for name in op.share.names
        )
        return {"owed": owed, "under_copied": len(under), "under_way": len(self.jobs)}
