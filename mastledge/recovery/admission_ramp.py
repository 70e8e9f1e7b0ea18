"""How far the door of a dispatcher is open after a start, and while the fleet doesn't get up by itself.

Room is how many jobs may be in hand at once. It begins at half of this dispatcher's part of what the workers
can take, and grows with what ends well: slow start and additive increase of TCP (RFC 5681), on jobs in place
of segments. A job for which there is no room is rejected at once, as nothing of it was sent anywhere. Once
the room is its part and what chance adds to that, or nothing was short of it for a second, the door is open
and the decisions alone say who is turned away.

Where further tries feed an overload whose cause has gone (Bronson et al., "Metastable failures in distributed
systems", HotOS 2021) less than half of what is taken ends well. Then the door closes down to its part again.
While it is not open, further tries get only what first ones leave idle: they are let in while less than four
fifths of the part is in hand.
"""

from collections import deque
from zlib import crc32

START = 0.5  # of this dispatcher's part of the slots, where nothing is known of the others
FLOOR = 0.5  # of that part: what the room never falls below
CHANCE = 3.0  # times the root of its part is added to it: more is in hand at once by chance, as arrivals are
BACK = 0.75  # times the room where the decisions turn away what was let in
FURTHER = 0.8  # of the part: with more in hand no further try is let in
LAST, OLD = 32, 4_000_000  # jobs that ended last, and not longer ago, are set against those that ended well
ENOUGH = 8  # of them, below which they say nothing
GOOD = 0.5  # of them; with less the door closes
SECOND = 1_000_000  # over which refusals are counted
CALM = 1_000_000  # with nothing refused, after which it is open
LEAST = 20_000  # of a hold off
GAIN = 0.125
# What became of a job that was let in.
DONE, TURNED, ELSE = "done", "turned", "else"


class AdmissionRamp:
    """`slots`: what the eligible workers run at once, as far as they are warm; `dispatchers` share them.

    All times are whole microseconds. `most_hold_off`: of a rejection, 0 where none may be told. `bound`:
    after which a start is over and the door is open, whatever was seen.
    """

    def __init__(self, seed, now, bound, most_hold_off):
        self.seed, self.draws, self.most_hold_off = seed, 0, most_hold_off
        self.part, self.others, self.room, self.rising = 1.0, None, 0.0, True
        self.closed, self.until, self.why = True, None, "start"
        self.bound, self.held, self.span = bound, 0, 0.0
        self.ends, self.refusals, self.good = deque(), deque(), 0
        self.cut_at, self.calm_since = now, now
        self.counts = {"let_in": 0, "refused_first": 0, "refused_further": 0, "closed": 0, "opened": 0}

    def chance(self):
        self.draws += 1
        return crc32(b"door %d %d" % (self.seed, self.draws)) / 4294967296.0

    def wide(self):
        """Room that holds nothing back but a queue."""
        return self.part + CHANCE * self.part**0.5

    # What is known

    def begins(self, now):
        """From here on it may serve: what went before, a lease that was awaited say, opens nothing."""
        self.until, self.calm_since = now + self.bound, now

    def sized(self, now, slots, dispatchers):
        """The workers that may be given something, by the list that is in force."""
        before, self.part = self.part, max(1.0, slots / max(1, dispatchers))
        if not self.room:
            self.room = self.part * START
        elif self.closed and before != self.part:
            self.room = max(self.room, self.part * FLOOR)

    def heard(self, now, loads):
        """What other dispatchers tell of themselves, [(jobs in hand, open)]: a fleet that serves has room for
        one more that takes as much as each of them; where all have just started nobody knows.
        """
        some = [held for held, open_ in loads if open_]
        if not self.closed or self.why != "start" or 2 * len(some) <= len(loads):
            return
        self.others = sum(some) / len(some)
        self.room = max(self.room, min(2 * self.others + 1, self.wide()))

    # Jobs

    def admit(self, now, further):
        """None: let in, and its end has to be told. Else the hold off of its rejection."""
        self.look(now)
        limit = min(self.room, FURTHER * self.part) if further else self.room
        if self.closed and self.held >= limit:
            self.counts["refused_further" if further else "refused_first"] += 1
            self.refusals.append(now)
            self.calm_since = now
            return self.hold_off(now)
        self.held += 1
        self.counts["let_in"] += 1
        return None

    def hold_off(self, now):
        """Until so much has ended that those who were refused lately have room, spread by chance."""
        wait = (self.span or LEAST) * (1 + len(self.refusals) / self.part) * (0.5 + self.chance())
        return min(max(LEAST, int(wait)), self.most_hold_off)

    def ended(self, now, how, span):
        """A job that was let in has its answer after `span`, or its client has left."""
        self.held -= 1
        if how != TURNED:
            # What the decisions turned away has cost the workers nothing.
            self.ends.append((now, how == DONE))
            self.good += how == DONE
        if how == DONE:
            self.span += GAIN * (span - self.span) if self.span else span
            self.room += 1.0 if self.rising else 1.0 / max(1.0, self.room)
            self.room = min(self.room, self.wide())
        elif how == TURNED and self.closed:
            self.rising = False
            if now >= self.cut_at + self.span:
                floor = FLOOR * self.part if self.why == "start" else self.part
                self.cut_at, self.room = now, max(1.0, floor, BACK * self.room)
        self.look(now)

    def look(self, now):
        while self.ends and (self.ends[0][0] <= now - OLD or len(self.ends) > LAST):
            self.good -= self.ends.popleft()[1]
        while self.refusals and self.refusals[0] <= now - SECOND:
            self.refusals.popleft()
        if self.until is None:
            return
        if self.closed:
            started = self.why == "start" and (self.room >= self.wide() or now >= self.until)
            if started or now >= self.calm_since + CALM:
                self.closed, self.why = False, ""
                self.counts["opened"] += 1
        elif len(self.ends) >= ENOUGH and self.good < GOOD * len(self.ends):
            self.closed, self.why, self.rising = True, "overload", False
            self.room, self.cut_at, self.calm_since = self.part, now, now
            self.ends.clear()
            self.good = 0
            self.counts["closed"] += 1

    def share(self):
        """How far it is open, 0 to 1."""
        return 1.0 if not self.closed else min(1.0, self.room / self.wide())

    def figures(self):
        return {
            **self.counts,
            "open": not self.closed,
            "share": round(self.share(), 3),
            "why": self.why,
            "room": round(self.room, 1),
            "part": round(self.part, 1),
            "held": self.held,
        }
