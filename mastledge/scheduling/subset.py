"""The candidate subset: the workers that a dispatcher with little traffic uses.

With more workers, learned values would be outdated before a worker is used again, and each job would need a
new connection. Dispatchers draw different subsets, so each worker is in some.
"""

from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.state import Worker

SMALLEST_SUBSET = 6
MIN_CONSIDERED = 4
RANK_WORKER_CPU_US = 0.2  # CPU time to rank a worker, in the unit of the CPU settings
DRAWS_PER_MEMBER = 8


class CandidateSubset:
    """The workers that are considered first.

    `members`: these workers. `has_non_members`: whether there are others. `max_considered`: how many workers
    may be considered for a job within the CPU budget.
    """

    def __init__(self, settings: dict, random: RandomSource, fleet: FleetView):
        """Start without members until the first `recompute`."""
        self._settings, self._random, self._fleet = settings, random, fleet
        self.members, self.has_non_members, self.max_considered = [], False, MIN_CONSIDERED

    def recompute(self, arrival_rate: float) -> None:
        """Update the members for this arrival rate (jobs per second), once a second."""
        ready = self._fleet.ready
        self.max_considered = self._affordable_candidates(arrival_rate)
        # As many workers as get two jobs each within the idle timeout of a connection.
        usable = min(int(arrival_rate * self._settings["conn_idle"] / 2e6), self.max_considered)
        size = max(SMALLEST_SUBSET, usable)
        self.has_non_members, size = size < len(ready), min(size, len(ready))
        kept = [worker for worker in self.members if worker in ready and not worker.ejections]
        self.members = kept[:size] if self.has_non_members else ready
        self._fill(size)

    def replace_one(self, worker: Worker) -> None:
        """Replace a random member by a worker that was free when no member was."""
        position = int(self._random.chance() * len(self.members))
        self.members[position : position + 1] = [worker]

    def _affordable_candidates(self, arrival_rate: float) -> int:
        """Return how many workers may be considered for a job; all of a large fleet would make jobs late."""
        settings = self._settings
        limits = (settings["cpu_a_job"], settings["cpu_a_second"] / arrival_rate)
        budgets = [limit for limit in limits if limit]
        if not budgets:
            return len(self._fleet.ready)
        return max(MIN_CONSIDERED, int(min(budgets) / 2 / RANK_WORKER_CPU_US))

    def _fill(self, size: int) -> None:
        """Draw members with their declared size as weight; the number of draws is limited."""
        members = self.members
        for _ in range(DRAWS_PER_MEMBER * size):
            if len(members) >= size:
                break
            worker = self._random.draw_by_size(self._fleet.ready)
            if worker not in members and not worker.ejections:
                members.append(worker)
