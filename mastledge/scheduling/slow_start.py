"""Slow start: a worker that was restarted is given work within a budget that all dispatchers share.

Workers that warm up fall over under the sum of what all send, and no dispatcher knows that sum. So each one
sets its own part against the work that it has completed: docs/design.md says why that is enough.
"""

from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.state import Job, Worker
from mastledge.scheduling.subset import CandidateSubset
from mastledge.scheduling.traffic import Traffic

PART_OF_CAPACITY = 0.7  # of one part in the number of dispatchers, which each may use at the least
REPORTED_SLOTS_PART = 0.75  # of reported slots count as capacity, as slots may share cores


def least_warmth(worker: Worker, now: int, settings: dict) -> float:
    """The least share of its capacity that a worker can have by now."""
    age, warming_time = now - worker.born, settings["cold_for"]
    if not worker.born or age >= warming_time:
        return 1.0
    coldest = settings["cold_from"]
    return coldest + (1 - coldest) * max(0, age) / warming_time


class SlowStart:
    """Budgets of workers that warm up. `capacity`: what a mean worker can do, in work per time."""

    def __init__(
        self,
        settings: dict,
        random: RandomSource,
        fleet: FleetView,
        subset: CandidateSubset,
        traffic: Traffic,
    ):
        """`survey` has to come before the first question."""
        self._settings, self._random, self._fleet = settings, random, fleet
        self._subset, self._traffic = subset, traffic
        self.capacity = 1.0

    def survey(self, queue_types: list, slots_are_reported: bool) -> None:
        """Once a second: the mean capacity. A worker that warms up must not be taken for a larger one."""
        ready = self._fleet.ready
        slots = sum(worker.peak for worker in ready) / len(ready) if ready else 1.0
        most_ratio = max(queue_type.hint_ratio.mean for queue_type in queue_types)
        self.capacity = (REPORTED_SLOTS_PART if slots_are_reported else 1.0) * slots / most_ratio

    def is_warming_up(self, worker: Worker, now: int) -> bool:
        """Whether the worker may still be slower than it will be."""
        return bool(worker.born) and now - worker.born < self._settings["cold_for"]

    def update_warming_up(self, now: int) -> None:
        """Once a second: marks who is warm, so that no job asks for it again."""
        warming_time = self._settings["cold_for"]
        for worker in self._fleet.ready:
            worker.warming_up = worker.warming_up and now - worker.born < warming_time

    def within_budget(self, worker: Worker, job: Job, now: int) -> bool:
        """Whether this dispatcher may send the job to a worker that warms up."""
        half_window, warmth = self._settings["fall_for"] // 2, least_warmth(worker, now, self._settings)
        limit = self._settings["fall_multiple"] * warmth
        rate = limit * self._own_part(worker) * self._traffic.share
        # No more than half a window is kept, or dispatchers that were idle would come all at once.
        worker.credit = min(worker.credit + rate * (now - worker.credit_at), rate * half_window)
        worker.credit_at = now
        if now >= worker.threshold_drawn_at + half_window:
            self._draw_threshold(worker, now)
        fits = job.work <= limit * self.capacity * half_window / 2
        return fits and worker.credit > worker.credit_threshold * job.work

    def charge(self, worker: Worker, job: Job, now: int) -> None:
        """The job was sent there."""
        if self.is_warming_up(worker, now):
            worker.credit -= job.work
            self._draw_threshold(worker, now)

    def _own_part(self, worker) -> float:
        """This dispatcher's part of the work that such a worker gets, in work per time."""
        subset = self._subset
        # Under overload all look past their subsets, and then at most half as much again comes from there.
        within = subset.looks_past and worker in subset.members
        sharers = len(subset.members) if within else 2 * len(self._fleet.ready)
        least = PART_OF_CAPACITY * self.capacity / self._settings["dispatchers"]
        return max(self._traffic.completed_rate / sharers, least)

    def _draw_threshold(self, worker, now: int) -> None:
        """Credit for less than a job is a matter of chance."""
        worker.credit_threshold, worker.threshold_drawn_at = self._random.chance(), now
