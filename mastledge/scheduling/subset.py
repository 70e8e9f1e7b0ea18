"""The candidate subset: the workers that a dispatcher with little traffic uses.

With more workers, learned values would be outdated before a worker is used again, and each job would need a
new connection. Dispatchers draw different subsets, so each worker is in some.
"""

from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.outliers import OutlierDetector
from mastledge.scheduling.random_source import RandomSource, cumulative_sizes
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

    def __init__(self, settings: dict, random: RandomSource, fleet: FleetView, outliers: OutlierDetector):
        """Start without members until the first `recompute`."""
        self._settings, self._random, self._fleet, self._outliers = settings, random, fleet, outliers
        self.members, self.has_non_members, self.max_considered = [], False, MIN_CONSIDERED
        self._member_set: set[Worker] = set()  # kept only while there are others

    def is_member(self, worker: Worker) -> bool:
        """Return whether the worker is a member, while there are others; False if all workers are members."""
        return worker in self._member_set

    def recompute(self, arrival_rate: float) -> None:
        """Update the members for this arrival rate (jobs per second), once a second."""
        ready = self._fleet.ready
        self.max_considered = self._affordable_candidates(arrival_rate)
        # As many workers as get two jobs each within the idle timeout of a connection.
        usable = min(int(arrival_rate * self._settings["conn_idle"] / 2e6), self.max_considered)
        size = max(SMALLEST_SUBSET, usable)
        self.has_non_members, size = size < len(ready), min(size, len(ready))
        if self.has_non_members:
            self.members = self._usable_members()[:size]
            if len(self.members) != len(self._member_set):
                self._member_set = set(self.members)
            self._fill(size)
        else:
            self.members, self._member_set = ready, set()

    def replace_one(self, worker: Worker) -> None:
        """Replace a random member by a worker that was free when no member was."""
        position = int(self._random.chance() * len(self.members))
        self._member_set -= set(self.members[position : position + 1])
        self._member_set.add(worker)
        self.members[position : position + 1] = [worker]

    def _usable_members(self) -> list[Worker]:
        ready, members = self._fleet.ready_set, self._member_set
        if members and members <= ready and members.isdisjoint(self._outliers.ejected):
            return self.members
        return [worker for worker in self.members if worker in ready and not worker.ejections]

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
        if len(members) >= size:
            return
        ready = self._fleet.ready
        cumulative = cumulative_sizes(ready)
        for _ in range(DRAWS_PER_MEMBER * size):
            if len(members) >= size:
                break
            worker = self._random.draw_by_size(ready, cumulative)
            if worker not in self._member_set and not worker.ejections:
                members.append(worker)
                self._member_set.add(worker)
