"""Workers that get no new jobs, by the source of the exclusion."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class ExcludedWorkers:
    """The excluded workers, without those in the upgrade state that two processes of a dispatcher share.

    `committed` and `committed_included_at` (when a worker was included again, Unix time in microseconds) are
    agreed by the dispatchers. `restricted_by_fleet` are draining or gone in a newer list of another
    dispatcher, `by_newer_list` in a newer list than the current one of this dispatcher.
    """

    committed: frozenset[str] = frozenset()
    committed_included_at: dict[str, int] = field(default_factory=dict)
    restricted_by_fleet: frozenset[str] = frozenset()
    by_newer_list: frozenset[str] = frozenset()

    def with_shared(self, shared: Iterable[str]) -> frozenset[str]:
        """Return all excluded workers; `shared` are those of the upgrade state."""
        return frozenset(shared) | self.committed | self.restricted_by_fleet | self.by_newer_list
