"""Leases that a member has granted to others, by the granting member's clock, in whole microseconds.

A lease starts at a reading of the holder's clock that the leader received before a majority last heard from
the leader. The next leader is therefore elected after that time, and every former lease has expired once the
next leader has led for one lease (Gray and Cheriton, "Leases", 1989, section 3; clock drift as in section 5).
"""

from collections import deque
from typing import NamedTuple

DRIFT_DIVISOR = 100  # a clock gains or loses at most one part in this many
MAX_CLOCK_REPORTS = 16  # per holder, waiting until a majority has heard from the leader


def shortest_lease_us(lease_us: int) -> int:
    """Return how long the holder relies on a lease, by the holder's clock, in microseconds."""
    return lease_us - lease_us // DRIFT_DIVISOR


def longest_lease_us(lease_us: int) -> int:
    """Return how long the granting member treats a lease as held, by the granting member's clock."""
    return lease_us + lease_us // DRIFT_DIVISOR


class ClockReport(NamedTuple):
    """A reading of the holder's clock, and the local time at which the report was received."""

    clock: int
    received_at: int


class Grant(NamedTuple):
    """A lease that requires the holder to have applied the log up to `index`."""

    index: int
    expires_at: int


class Holder:
    """The applied index, clock reports and grants of one member that may hold a lease."""

    __slots__ = ("applied_index", "clock_reports", "grants", "latest_clock", "latest_grant", "process_id")

    def __init__(self, expires_at: int):
        """Assume that an earlier leader or process granted a lease that lasts until `expires_at`."""
        self.clock_reports: deque[ClockReport] = deque((), MAX_CLOCK_REPORTS)
        self.grants: deque[Grant] = deque((Grant(0, expires_at),))
        self.applied_index = self.latest_grant = self.latest_clock = self.process_id = 0

    def forget_clock(self) -> None:
        """Discard the clock reports of an earlier process, which used another clock."""
        self.clock_reports.clear()
        self.latest_grant = 0


class GrantedLeases:
    """The members that may hold a lease granted by this member, with the expiry times and applied indexes."""

    def __init__(self, lease_us: int, now: int):
        """Initialize with former grants unknown: any member may hold a lease that runs from `now`."""
        self.lease_us, self.began_at = lease_us, now
        self.holders: dict[str, Holder] = {}

    def holder(self, name: str) -> Holder:
        """Return the holder of this name, created if missing."""
        if name not in self.holders:
            self.holders[name] = Holder(self.began_at + longest_lease_us(self.lease_us))
        return self.holders[name]

    def record_report(self, name: str, now: int, clock: int, applied_index: int, process_id: int = 0) -> None:
        """Record the clock reading, applied index and process id that a holder has reported."""
        holder = self.holder(name)
        if process_id != holder.process_id:
            holder.forget_clock()
            holder.applied_index = 0
            holder.process_id, holder.latest_clock = process_id, clock
        holder.applied_index = max(holder.applied_index, applied_index)
        if clock < holder.latest_clock:
            holder.forget_clock()  # a new process of a version that reports no process id
        holder.latest_clock = clock
        if not holder.clock_reports or clock > holder.clock_reports[-1].clock:
            holder.clock_reports.append(ClockReport(clock, now))

    def grant(self, name: str, majority_heard_at: int, commit_index: int) -> int:
        """Return the reading of the holder's clock from which its lease runs; 0 if there is no lease yet."""
        holder = self.holder(name)
        while holder.clock_reports and holder.clock_reports[0].received_at <= majority_heard_at:
            holder.latest_grant, received_at = holder.clock_reports.popleft()
            expires_at = received_at + longest_lease_us(self.lease_us)
            if holder.grants and holder.grants[-1].index == commit_index:
                holder.grants[-1] = Grant(commit_index, max(expires_at, holder.grants[-1].expires_at))
            else:
                holder.grants.append(Grant(commit_index, expires_at))
        return holder.latest_grant

    def covered_index(self, name: str, now: int) -> int | None:
        """Return the index of the oldest state that the holder may act on; None if it holds no lease."""
        holder = self.holder(name)
        while holder.grants and holder.grants[0].expires_at <= now:
            holder.grants.popleft()
        if not holder.grants:
            return None
        return max(holder.applied_index, holder.grants[0].index)

    def expires_at(self, name: str, commit_index: int) -> int:
        """Return when the last of the holder's leases granted before `commit_index` expires; 0 if none."""
        grants = self.holder(name).grants
        return max((grant.expires_at for grant in grants if grant.index < commit_index), default=0)

    def has_expired(self, name: str, now: int) -> bool:
        """Return whether the member holds no lease any more."""
        return self.covered_index(name, now) is None
