"""The candidate subset: the workers that a dispatcher of little traffic keeps to.

A dispatcher keeps to as many workers as it can know: beyond, what it learned of one is old before it comes
again, and each job costs a connection. Subsets differ, so every worker is in some.
"""

from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.state import Worker

SMALLEST_SUBSET = 6
SMALLEST_LOOK = 4
LOOK_AT_WORKER_CPU_US = 0.2  # in the settings' measure, what looking at one worker takes
DRAWS_PER_MEMBER = 8


class CandidateSubset:
    """`members`: the workers that are looked at first; `looks_past`: whether there are others.

    `most_looked_at`: how many workers the CPU allows to look at for one job.
    """

    def __init__(self, settings: dict, random: RandomSource, fleet: FleetView):
        """No members until the first `survey`."""
        self._settings, self._random, self._fleet = settings, random, fleet
        self.members, self.looks_past, self.most_looked_at = [], False, SMALLEST_LOOK

    def survey(self, arrival_rate: float) -> None:
        """Once a second: who is in, at this many jobs a second."""
        ready = self._fleet.ready
        self.most_looked_at = self._affordable_looks(arrival_rate)
        # Few workers would get two jobs within the time that an idle connection lives.
        known = min(int(arrival_rate * self._settings["conn_idle"] / 2e6), self.most_looked_at)
        size = max(SMALLEST_SUBSET, known)
        self.looks_past, size = size < len(ready), min(size, len(ready))
        kept = [worker for worker in self.members if worker in ready and not worker.ejections]
        self.members = kept[:size] if self.looks_past else ready
        self._fill(size)

    def replace_one(self, worker: Worker) -> None:
        """No member was free, so any of them may go for the worker that was."""
        at = int(self._random.chance() * len(self.members))
        self.members[at : at + 1] = [worker]

    def _affordable_looks(self, arrival_rate: float) -> int:
        """A large fleet that is looked at whole for each job would make all jobs late."""
        settings = self._settings
        limits = (settings["cpu_a_job"], settings["cpu_a_second"] / arrival_rate)
        budgets = [limit for limit in limits if limit]
        if not budgets:
            return len(self._fleet.ready)
        return max(SMALLEST_LOOK, int(min(budgets) / 2 / LOOK_AT_WORKER_CPU_US))

    def _fill(self, size: int) -> None:
        """Draws members by declared size; a few draws may find nobody new."""
        members = self.members
        for _ in range(DRAWS_PER_MEMBER * size):
            if len(members) >= size:
                break
            worker = self._random.draw_by_size(self._fleet.ready)
            if worker not in members and not worker.ejections:
                members.append(worker)
