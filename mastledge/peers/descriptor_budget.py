"""A descriptor budget for links: unknown peers cannot use up the descriptors of clients and workers."""

SPARE_DESCRIPTORS = 16
DESCRIPTORS_PER_MEMBER = 2  # one link each way


class DescriptorBudget:
    """Counts the open sockets of links, with the interface of a budget that `transport/` uses.

    Links count as never idle, so `evict` finds none to close.
    """

    def __init__(self, members: int) -> None:
        """Create a budget for links with `members` members, with some spare descriptors."""
        self.used = self.limit = 0
        self.grow(members)

    def grow(self, members: int) -> None:
        """Raise the limit for links with `members` members; the limit never shrinks."""
        self.limit = max(self.limit, DESCRIPTORS_PER_MEMBER * members + SPARE_DESCRIPTORS)

    def acquire(self, kind: str) -> bool:
        """Count one more socket and return True, or return False at the limit."""
        if self.used >= self.limit:
            return False
        self.used += 1
        return True

    def release(self, kind: str) -> None:
        """Count a closed socket."""
        self.used -= 1

    def evict(self, *kinds: str) -> bool:
        """Return whether an idle connection was closed to make room: never."""
        return False
