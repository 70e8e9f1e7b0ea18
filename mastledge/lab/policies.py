"""Baselines: the program's decisions with another choice of the worker, and nothing else changed.

Rules, retries, workers set aside, cold budgets, pressure and final answers are those of the program; only
`pick_worker` differs, and tells no wait, so that nothing is turned away for one.
"""

from mastledge.scheduling.scheduler import Scheduler


class Baseline(Scheduler):
    def pick_worker(self, job, now, group):
        some = [wkr for wkr in self.ready if self.eligible(wkr, job, now, group)]
        return (self.chosen(some), 0.0) if some else (None, 0.0)

    def chosen(self, some):
        raise NotImplementedError

    def any_of(self, some):
        return some[int(self.chance() * len(some))]


class Random(Baseline):
    def chosen(self, some):
        return self.any_of(some)


class Least(Baseline):
    """Least own outstanding load, ties by chance."""

    def chosen(self, some):
        least = min(wkr.load for wkr in some)
        return self.any_of([wkr for wkr in some if wkr.load == least])


class Two(Baseline):
    """The less loaded of two by chance (Mitzenmacher 2001)."""

    def chosen(self, some):
        one, other = self.any_of(some), self.any_of(some)
        return one if one.load <= other.load else other


POLICIES = {"random": Random, "least": Least, "two": Two}


def named(policy):
    """The class of decisions of this name; Scheduler for ""."""
    return POLICIES[policy] if policy else Scheduler


def installed(policy):
    """Has this process decide by it."""
    made = POLICIES[policy]
    Scheduler.pick_worker, Scheduler.chosen, Scheduler.any_of = (
        Baseline.pick_worker,
        made.chosen,
        Baseline.any_of,
    )
