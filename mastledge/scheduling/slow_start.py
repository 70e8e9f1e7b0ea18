"""Slow start: a restarted worker gets work within a budget that all dispatchers share.

A worker that warms up fails under the sum of the work that all dispatchers send, which no dispatcher knows.
So each one derives its part of the budget from the work it has completed; docs/design.md says why that is
enough.
"""

from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.state import Job, Worker
from mastledge.scheduling.subset import CandidateSubset
from mastledge.scheduling.traffic import Traffic

PART_OF_CAPACITY = 0.7  # minimum budget of a dispatcher, relative to an equal share of the capacity
REPORTED_SLOTS_PART = 0.75  # part of reported slots that counts as capacity, as slots may share cores


def min_warmth(worker: Worker, now: int, settings: dict) -> float:
    """Return the minimum share of its capacity that a worker has reached by now."""
    age, warm_up_time = now - worker.born, settings["cold_for"]
    if not worker.born or age >= warm_up_time:
        return 1.0
    coldest = settings["cold_from"]
    return coldest + (1 - coldest) * max(0, age) / warm_up_time


class SlowStart:
    """Slow-start budgets of workers that warm up. `capacity`: that of a mean worker, in work per time."""

    def __init__(
        self,
        settings: dict,
        random: RandomSource,
        fleet: FleetView,
        subset: CandidateSubset,
        traffic: Traffic,
    ):
        """Use the given parts; `recompute` must be called before any other method."""
        self._settings, self._random, self._fleet = settings, random, fleet
        self._subset, self._traffic = subset, traffic
        self.capacity = 1.0

    def recompute(self, queue_types: list, slots_are_reported: bool) -> None:
        """Set the mean capacity, once a second, without overestimating a worker that warms up."""
        ready = self._fleet.ready
        slots = sum([worker.peak for worker in ready]) / len(ready) if ready else 1.0
        max_hint_ratio = max(queue_type.hint_ratio.mean for queue_type in queue_types)
        self.capacity = (REPORTED_SLOTS_PART if slots_are_reported else 1.0) * slots / max_hint_ratio

    def is_warming_up(self, worker: Worker, now: int) -> bool:
        """Return whether the worker may still be warming up."""
        return bool(worker.born) and now - worker.born < self._settings["cold_for"]

    def update_warming_up(self, now: int) -> None:
        """Clear the `warming_up` mark of warm workers, once a second, to save checks for each job."""
        warm_up_time = self._settings["cold_for"]
        for worker in self._fleet.ready:
            worker.warming_up = worker.warming_up and now - worker.born < warm_up_time

    def within_budget(self, worker: Worker, job: Job, now: int) -> bool:
        """Return whether this dispatcher may send the job to a worker that warms up."""
        half_window, warmth = self._settings["fall_for"] // 2, min_warmth(worker, now, self._settings)
        limit = self._settings["fall_multiple"] * warmth
        rate = limit * self._own_work_rate(worker) * self._traffic.share
        # Credit is capped at half a window, or idle dispatchers would spend their savings all at once.
        worker.credit = min(worker.credit + rate * (now - worker.credit_at), rate * half_window)
        worker.credit_at = now
        if now >= worker.threshold_drawn_at + half_window:
            self._draw_threshold(worker, now)
        fits = job.work <= limit * self.capacity * half_window / 2
        return fits and worker.credit > worker.credit_threshold * job.work

    def charge(self, worker: Worker, job: Job, now: int) -> None:
        """Charge a job that was sent to the worker against its budget."""
        if self.is_warming_up(worker, now):
            worker.credit -= job.work
            self._draw_threshold(worker, now)

    def _own_work_rate(self, worker) -> float:
        """Return this dispatcher's part of the work that the worker gets, in work per time."""
        subset = self._subset
        # Under overload all dispatchers look past their subsets, which adds at most half as much work.
        sharers = len(subset.members) if subset.is_member(worker) else 2 * len(self._fleet.ready)
        min_rate = PART_OF_CAPACITY * self.capacity / self._settings["dispatchers"]
        return max(self._traffic.completed_rate / sharers, min_rate)

    def _draw_threshold(self, worker, now: int) -> None:
        """Draw the share of a job's work that the credit must exceed; less credit thus admits fewer jobs."""
        worker.credit_threshold, worker.threshold_drawn_at = self._random.chance(), now
