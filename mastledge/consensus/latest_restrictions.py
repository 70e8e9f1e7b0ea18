"""Without relays: the latest restrictions that members have told the leader, which tells all of them."""

from mastledge.consensus.messages import WorkerRestrictions

SHARED_FOR_US = 3_000_000  # after which whoever told them tells them again


class LatestRestrictions:
    """One set of restrictions for each registry."""

    def __init__(self):
        """Begin without any."""
        self._by_registry: dict[str, WorkerRestrictions] = {}
        self._shared_until = 0

    def record(self, restrictions: WorkerRestrictions, now: int) -> bool:
        """Take over what a member tells; return whether it is at least as new as what was there."""
        last = self._by_registry.get(restrictions.registry)
        if last is not None and restrictions.generation < last.generation:
            return False
        # What an older list restricted is told again by the newer one, as far as it still holds.
        self._by_registry[restrictions.registry] = restrictions
        self._shared_until = now + SHARED_FOR_US
        return True

    def current(self, now: int) -> list[WorkerRestrictions]:
        """Return what goes with the heartbeats."""
        return list(self._by_registry.values()) if now < self._shared_until else []
