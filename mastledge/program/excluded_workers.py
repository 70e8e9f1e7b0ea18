"""Workers that get no new jobs, by who says so."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class ExcludedWorkers:
    """What excludes workers here beside the marks that two processes of one dispatcher share.

    `committed` and `committed_included_at` (when a worker was included again, Unix time in microseconds) are
    what the dispatchers have agreed on; `restricted_by_fleet` are draining or gone by a newer list of another
    dispatcher; `restricted_by_restored_list` by a list newer than today's that outlasted a restart.
    """

    committed: frozenset[str] = frozenset()
    committed_included_at: dict[str, int] = field(default_factory=dict)
    restricted_by_fleet: frozenset[str] = frozenset()
    restricted_by_restored_list: frozenset[str] = frozenset()

    def with_shared(self, shared: Iterable[str]) -> frozenset[str]:
        """All excluded workers; `shared` are those of the upgrade state."""
        return (
            frozenset(shared) | self.committed | self.restricted_by_fleet | self.restricted_by_restored_list
        )
