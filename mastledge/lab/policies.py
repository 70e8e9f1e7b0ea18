"""Baselines: the program's decisions with another choice of the worker, and nothing else changed.

Rules, retries, ejections, slow-start budgets, pressure and final answers are those of the program; only the
pick differs, and tells no wait, so that nothing is rejected for one.
"""

from collections.abc import Callable, Sequence
from functools import partial

from mastledge.scheduling.scheduler import Scheduler
from mastledge.scheduling.selection import WorkerSelector
from mastledge.scheduling.state import Job, Worker


class Baseline(WorkerSelector):
    """Picks one of the eligible workers by what `chosen` says."""

    def pick(self, job: Job, now: int, group_worker: Worker | None) -> tuple[Worker | None, float]:
        """The worker for the job, without a predicted wait."""
        workers = [
            worker
            for worker in self._fleet.ready
            if self._eligibility.is_eligible(worker, job, now, group_worker)
        ]
        return (self.chosen(workers), 0.0) if workers else (None, 0.0)

    def chosen(self, workers: Sequence[Worker]) -> Worker:
        """One of these workers."""
        raise NotImplementedError

    def any_of(self, workers: Sequence[Worker]) -> Worker:
        """One of them by chance."""
        return workers[int(self._random.chance() * len(workers))]


class Random(Baseline):
    """Any worker."""

    def chosen(self, workers: Sequence[Worker]) -> Worker:
        """By chance."""
        return self.any_of(workers)


class Least(Baseline):
    """Least own outstanding load, ties by chance."""

    def chosen(self, workers: Sequence[Worker]) -> Worker:
        """Of those with the least load, by chance."""
        least = min(worker.load for worker in workers)
        return self.any_of([worker for worker in workers if worker.load == least])


class Two(Baseline):
    """The less loaded of two by chance (Mitzenmacher 2001)."""

    def chosen(self, workers: Sequence[Worker]) -> Worker:
        """Two draws."""
        one, other = self.any_of(workers), self.any_of(workers)
        return one if one.load <= other.load else other


POLICIES = {"random": Random, "least": Least, "two": Two}


def named(policy: str) -> Callable[..., Scheduler]:
    """What makes a scheduler with this baseline, or with the program's own choice for ""."""
    return partial(Scheduler, selector_type=POLICIES[policy]) if policy else Scheduler


def installed(policy: str) -> None:
    """Replaces the choice of workers in this process by the baseline."""
    made = POLICIES[policy]
    WorkerSelector.pick, WorkerSelector.chosen = Baseline.pick, made.chosen
    WorkerSelector.any_of = Baseline.any_of
