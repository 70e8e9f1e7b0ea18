"""Who may act on what, and until when: the leader's side of it, in the leader's own time.

A lease runs from a time of the holder's own that the leader heard before a majority last heard the leader.
So whoever leads next is elected after that time in truth, and has waited out all former leases once it has
led for one
of them (Gray and Cheriton, "Leases", 1989, section 3; drift as in section 5 there).
"""

from collections import deque

DRIFT = 100  # a clock gains or loses one part in so many at the most
KEPT = 16  # times of a holder that wait for a majority


def shortest(lease):
    """What a holder counts on by its own clock."""
    return lease - lease // DRIFT


def longest(lease):
    """After which the leader, by its own clock, takes it that no holder counts on it any more."""
    return lease + lease // DRIFT


class Holder:
    __slots__ = ("told", "grants", "applied", "given", "last", "process")

    def __init__(self, until):
        # Each pair: the entry up to which the holder had to know to take the lease, and when it is over.
        self.told, self.grants, self.applied, self.given = deque((), KEPT), deque(((0, until),)), 0, 0
        self.last = self.process = 0


class Leases:
    def __init__(self, lease, now):
        """A leader begins: what its forerunner granted is not known, so everybody may hold one."""
        self.lease, self.began, self.holders = lease, now, {}

    def holder(self, name):
        if name not in self.holders:
            self.holders[name] = Holder(self.began + longest(self.lease))
        return self.holders[name]

    def heard(self, name, now, clock, applied, process=0):
        """A holder has told its time and what it has applied; `process` as in `messages.Ack`."""
        holder = self.holder(name)
        if process != holder.process:
            # Another process of this name, on a clock of its own: what the one before had counts no more.
            holder.told.clear()
            holder.given = holder.applied = 0
            holder.process, holder.last = process, clock
        holder.applied = max(holder.applied, applied)
        if clock < holder.last:
            # Another process of this name, on a clock of its own: what was told by the one before is not for
            # it.
            holder.told.clear()
            holder.given = 0
        holder.last = clock
        if not holder.told or clock > holder.told[-1][0]:
            holder.told.append((clock, now))

    def grant(self, name, majority, commit):
        """The time of the holder's own from which its lease runs; 0 for none yet."""
        holder = self.holder(name)
        while holder.told and holder.told[0][1] <= majority:
            holder.given, received = holder.told.popleft()
            until = received + longest(self.lease)
            if holder.grants and holder.grants[-1][0] == commit:
                holder.grants[-1] = (commit, max(until, holder.grants[-1][1]))
            else:
                holder.grants.append((commit, until))
        return holder.given

    def reached(self, name, now):
        """Up to which entry nobody of this name can contradict what is agreed; None: it holds no lease at
        all.
        """
        holder = self.holder(name)
        while holder.grants and holder.grants[0][1] <= now:
            holder.grants.popleft()
        if not holder.grants:
            return None
        return max(holder.applied, holder.grants[0][0])

    def over(self, name, commit):
        """When the last lease of this name is over that was granted before `commit` was agreed."""
        return max((until for entry, until in self.holder(name).grants if entry < commit), default=0)

    def left(self, name, now):
        return self.reached(name, now) is None
