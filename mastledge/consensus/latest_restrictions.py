"""The latest worker restrictions reported to the leader, which it shares with all members without relays."""

from mastledge.consensus.messages import WorkerRestrictions

SHARED_FOR_US = 3_000_000  # after that the reporting member reports them again


class LatestRestrictions:
    """The latest restrictions of each registry."""

    def __init__(self):
        """Initialize without restrictions."""
        self._by_registry: dict[str, WorkerRestrictions] = {}
        self._shared_until = 0

    def record(self, restrictions: WorkerRestrictions, now: int) -> bool:
        """Record restrictions unless newer ones are known; return whether they were recorded."""
        last = self._by_registry.get(restrictions.registry)
        if last is not None and restrictions.generation < last.generation:
            return False
        # The newer list repeats the older restrictions that still apply.
        self._by_registry[restrictions.registry] = restrictions
        self._shared_until = now + SHARED_FOR_US
        return True

    def current(self, now: int) -> list[WorkerRestrictions]:
        """Return the restrictions to include in heartbeats; none once they have expired."""
        return list(self._by_registry.values()) if now < self._shared_until else []
