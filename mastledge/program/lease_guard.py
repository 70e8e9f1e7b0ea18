"""The check whether this dispatcher may act on the agreed state that it has applied."""

from collections.abc import Callable


class LeaseGuard:
    """Decides whether this dispatcher may act, and measures how long it has served without a lease.

    The check is made before each launch is scheduled and again before its last byte is sent, so it must be
    cheap. Times are those of the event loop, in microseconds.
    """

    def __init__(self, holds_lease: Callable[[int], bool], serves_without_lease: bool) -> None:
        """Take `holds_lease`, which returns whether there is a lease at a given time."""
        self.holds_lease, self.serves_without_lease = holds_lease, serves_without_lease
        self.past_without_lease_us = 0  # total of the ended periods without a lease
        self.without_lease_since = 0  # 0 while there is a lease

    def may_act(self, now: int) -> bool:
        """Return whether there is a lease, or the configuration permits serving without a lease."""
        if self.holds_lease(now):
            if self.without_lease_since:
                self.past_without_lease_us += now - self.without_lease_since
                self.without_lease_since = 0
            return True
        if self.serves_without_lease:
            self.without_lease_since = self.without_lease_since or now
        return self.serves_without_lease

    def served_without_lease_us(self, now: int) -> int:
        """Return the total time for which this dispatcher has served without a lease."""
        if not self.without_lease_since:
            return self.past_without_lease_us
        return self.past_without_lease_us + now - self.without_lease_since
