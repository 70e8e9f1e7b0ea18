"""Descriptors for links alone: strangers that use them up take none of the clients' or workers'."""

SPARE_DESCRIPTORS = 16
DESCRIPTORS_PER_MEMBER = 2  # one link each way


class DescriptorBudget:
    """Counts open sockets of links, with the calls that `transport/` makes of a budget.

    Its one kind of connection is never idle, so `evict` finds none to close.
    """

    def __init__(self, members: int) -> None:
        """Room for links with so many members, and some to spare."""
        self.used = self.limit = 0
        self.grow(members)

    def grow(self, members: int) -> None:
        """Make room for links with so many members; the room never shrinks."""
        self.limit = max(self.limit, DESCRIPTORS_PER_MEMBER * members + SPARE_DESCRIPTORS)

    def acquire(self, kind: str) -> bool:
        """Whether one more may be opened; it is counted then."""
        if self.used >= self.limit:
            return False
        self.used += 1
        return True

    def release(self, kind: str) -> None:
        """One has been closed."""
        self.used -= 1

    def evict(self, *kinds: str) -> bool:
        """Whether an idle connection was closed for another one."""
        return False
