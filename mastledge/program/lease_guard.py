"""Whether this dispatcher may act on what it has applied of what its fleet agrees on."""

from collections.abc import Callable


class LeaseGuard:
    """Asked before each launch is decided, and again before its last byte is sent: it stays lean.

    Times are the loop's, in microseconds.
    """

    def __init__(self, holds_lease: Callable[[int], bool], serves_without_lease: bool) -> None:
        """`holds_lease` takes a time and tells whether there is a lease at it."""
        self.holds_lease, self.serves_without_lease = holds_lease, serves_without_lease
        self.past_without_lease_us = 0  # served without a lease, where that is chosen
        self.without_lease_since = 0  # 0 while there is one

    def may_act(self, now: int) -> bool:
        """Tell whether to act: there is a lease, or the configuration chooses to serve without one."""
        if self.holds_lease(now):
            if self.without_lease_since:
                self.past_without_lease_us += now - self.without_lease_since
                self.without_lease_since = 0
            return True
        if self.serves_without_lease:
            self.without_lease_since = self.without_lease_since or now
        return self.serves_without_lease

    def served_without_lease_us(self, now: int) -> int:
        """Give for how long this dispatcher has served without a lease, in all."""
        if not self.without_lease_since:
            return self.past_without_lease_us
        return self.past_without_lease_us + now - self.without_lease_since
