"""Leases that a member grants to others, in its own time; all times are whole microseconds.

A lease runs from a time of the holder's own that the leader received before a majority last heard the leader.
So whoever leads next is elected after that time in truth, and has waited out all former leases once it has
led for one of them (Gray and Cheriton, "Leases", 1989, section 3; drift as in section 5 there).
"""

from collections import deque

DRIFT_DIVISOR = 100  # a clock gains or loses one part in so many at the most
MAX_CLOCK_REPORTS = 16  # of one holder that wait for a majority


def shortest_lease_us(lease_us: int) -> int:
    """Return how long a holder counts on its lease by its own clock."""
    return lease_us - lease_us // DRIFT_DIVISOR


def longest_lease_us(lease_us: int) -> int:
    """Return after how long, by its own clock, who granted a lease takes it that nobody counts on it."""
    return lease_us + lease_us // DRIFT_DIVISOR


class Holder:
    """What is known of one member that may hold a lease."""

    __slots__ = ("applied_index", "clock_reports", "grants", "latest_clock", "latest_grant", "process_id")

    def __init__(self, expires_at: int):
        """Take it that somebody before has granted a lease until then."""
        self.clock_reports: deque[tuple[int, int]] = deque((), MAX_CLOCK_REPORTS)  # (its clock, received at)
        self.grants: deque[tuple[int, int]] = deque(((0, expires_at),))  # (index it had to know, expires at)
        self.applied_index = self.latest_grant = self.latest_clock = self.process_id = 0

    def forget_clock(self) -> None:
        """Another process of this name has begun, on a clock of its own."""
        self.clock_reports.clear()
        self.latest_grant = 0


class GrantedLeases:
    """Who may hold a lease that was granted here, until when, and what it knows."""

    def __init__(self, lease_us: int, now: int):
        """Begin without a knowledge of former grants: everybody may hold one from `now`."""
        self.lease_us, self.began_at = lease_us, now
        self.holders: dict[str, Holder] = {}

    def holder(self, name: str) -> Holder:
        """Return what is known of a member, from here on if nothing was."""
        if name not in self.holders:
            self.holders[name] = Holder(self.began_at + longest_lease_us(self.lease_us))
        return self.holders[name]

    def record_report(self, name: str, now: int, clock: int, applied_index: int, process_id: int = 0) -> None:
        """Take over what a holder tells: its clock, what it has applied, and which process it is."""
        holder = self.holder(name)
        if process_id != holder.process_id:
            holder.forget_clock()
            holder.applied_index = 0
            holder.process_id, holder.latest_clock = process_id, clock
        holder.applied_index = max(holder.applied_index, applied_index)
        if clock < holder.latest_clock:
            holder.forget_clock()  # a process of a version that tells no process id
        holder.latest_clock = clock
        if not holder.clock_reports or clock > holder.clock_reports[-1][0]:
            holder.clock_reports.append((clock, now))

    def grant(self, name: str, majority_heard_at: int, commit_index: int) -> int:
        """Return the time of the holder's own clock from which its lease runs; 0 for none yet."""
        holder = self.holder(name)
        while holder.clock_reports and holder.clock_reports[0][1] <= majority_heard_at:
            holder.latest_grant, received_at = holder.clock_reports.popleft()
            expires_at = received_at + longest_lease_us(self.lease_us)
            if holder.grants and holder.grants[-1][0] == commit_index:
                holder.grants[-1] = (commit_index, max(expires_at, holder.grants[-1][1]))
            else:
                holder.grants.append((commit_index, expires_at))
        return holder.latest_grant

    def covered_index(self, name: str, now: int) -> int | None:
        """Return up to which entry this holder cannot act on older state; None: it holds no lease at all."""
        holder = self.holder(name)
        while holder.grants and holder.grants[0][1] <= now:
            holder.grants.popleft()
        if not holder.grants:
            return None
        return max(holder.applied_index, holder.grants[0][0])

    def expires_at(self, name: str, commit_index: int) -> int:
        """Return when the last lease of this holder is over that was granted before `commit_index`."""
        grants = self.holder(name).grants
        return max((expires_at for index, expires_at in grants if index < commit_index), default=0)

    def has_expired(self, name: str, now: int) -> bool:
        """Return whether this holder holds no lease."""
        return self.covered_index(name, now) is None
