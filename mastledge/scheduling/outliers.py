"""Outlier ejection: a worker that fails or is silent gets no jobs for a pause, then a few trial jobs.

Otherwise quick failures would empty the worker's load curve and attract jobs. The pause doubles with each
further failure; the number of trials doubles while they complete. Times are whole microseconds.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain

from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.outcomes import RUN_ONCE
from mastledge.scheduling.state import Job, Launch, Worker

# Reasons for an ejection; any other reason is the name of a queue type whose jobs fail on the worker.
LOST_OR_SILENT = None
CONNECTION_REFUSED = -1
# Pause between an ejection and its first trial; the first ejection already doubles FIRST_PAUSE_US.
FIRST_PAUSE_US, LONGEST_PAUSE_US = 125_000, 4_000_000
# Multiplies the first and the longest pause after a failed launch of a run-once job that may have run.
RUN_ONCE_FACTOR = 4
# Longest pauses that run-once jobs wait in addition, so that jobs of other effects are the trials.
RUN_ONCE_EXTRA_PAUSES = 2


@dataclass(slots=True)
class Ejection:
    """One ejection of a worker: its pause, and the trials after it."""

    pause_us: int  # length of the last pause
    trial_limit: int = 1  # how many trial jobs may be in flight on the worker
    completed_trials: int = 0  # since the limit was last doubled
    ends_at: int = 0  # when the pause ends and trials begin

    def stored(self) -> dict:
        """Return the stored form; its field names are fixed."""
        return {
            "pause": self.pause_us,
            "trickle": self.trial_limit,
            "good": self.completed_trials,
            "back_at": self.ends_at,
        }

    @classmethod
    def from_stored(cls, stored: dict) -> "Ejection":
        """Return an ejection from its stored form; raise KeyError if a field is missing."""
        return cls(stored["pause"], stored["trickle"], stored["good"], stored["back_at"])


class OutlierDetector:
    """Ejects workers and readmits them.

    `counts`: how many ready workers are ejected, by reason. `ejected`: all workers with ejections, and some
    whose ejections have ended since the last count.
    """

    def __init__(self, fleet: FleetView):
        """Start with no worker ejected."""
        self._fleet = fleet
        self.counts: Counter = Counter()
        self.ejected: set[Worker] = set()

    def eject(self, worker: Worker, reason: str | int | None, launch: Launch, now: int) -> None:
        """Eject the worker after a failed launch, unless that launch was sent before the last pause began."""
        factor = RUN_ONCE_FACTOR if launch.may_have_run and launch.job.queue_type.effect == RUN_ONCE else 1
        ejection = worker.ejections.get(reason)
        if ejection is None:
            ejection = worker.ejections[reason] = Ejection(factor * FIRST_PAUSE_US)
            self.ejected.add(worker)
        elif launch.sent_at < ejection.ends_at - ejection.pause_us:
            return
        ejection.trial_limit, ejection.completed_trials = 1, 0
        ejection.pause_us = min(2 * ejection.pause_us, factor * LONGEST_PAUSE_US)
        ejection.ends_at = now + ejection.pause_us
        self.count()

    def trial_completed(self, worker: Worker, launch: Launch) -> None:
        """Count a completed trial; a launch sent before the end of the pause is no trial."""
        for reason in (LOST_OR_SILENT, CONNECTION_REFUSED, launch.job.queue_type.name):
            ejection = worker.ejections.get(reason)
            if ejection is None or launch.sent_at < ejection.ends_at:
                continue
            ejection.completed_trials += 1
            if ejection.completed_trials >= ejection.trial_limit:
                ejection.trial_limit, ejection.completed_trials = 2 * ejection.trial_limit, 0
            if ejection.trial_limit > worker.slots:
                del worker.ejections[reason]
                self.count()

    def restored(self, workers: Iterable[Worker]) -> None:
        """Take workers whose ejections were restored; `count` has to be called then."""
        self.ejected.update(worker for worker in workers if worker.ejections)

    def count(self) -> None:
        """Recount the ejected workers by reason."""
        known = self._fleet.workers
        self.ejected = {
            worker for worker in self.ejected if worker.ejections and known.get(worker.id) is worker
        }
        ready = self._fleet.ready_set
        self.counts = Counter(
            chain.from_iterable(worker.ejections for worker in self.ejected if worker in ready)
        )

    def is_kept_out(self, worker: Worker, job: Job, now: int) -> bool:
        """Return whether an ejection keeps the job off the worker now."""
        ejections, queue_type, ready = worker.ejections, job.queue_type, len(self._fleet.ready)
        own_reasons = (LOST_OR_SILENT, CONNECTION_REFUSED, queue_type.name)
        is_run_once = queue_type.effect == RUN_ONCE
        # A run-once job also avoids workers that fail another queue type: trials by other jobs cost less.
        for reason in ejections if is_run_once else own_reasons:
            ejection = ejections.get(reason)
            # A failure shared by more than half of the fleet keeps jobs off no worker. Refused connections do
            # unless all workers refuse them: with a zone cut off, the remaining workers carry the jobs.
            max_ejected = ready - 1 if reason == CONNECTION_REFUSED else ready / 2
            if ejection is None or self.counts[reason] > max_ejected:
                continue
            is_own = reason in own_reasons
            pause = _extra_pause_us(reason, is_own, ejection) if is_run_once else 0
            if now < ejection.ends_at + pause:
                return True
            if is_own and len(worker.in_flight) >= ejection.trial_limit:
                return True
        return False


def _extra_pause_us(reason, is_own: bool, ejection: Ejection) -> int:
    """Return how much longer than other jobs a run-once job is kept off the worker, in microseconds.

    0 if jobs of its own queue type failed there: no other job could be the trial.
    """
    if reason in (LOST_OR_SILENT, CONNECTION_REFUSED):
        return RUN_ONCE_EXTRA_PAUSES * LONGEST_PAUSE_US
    return 0 if is_own else ejection.pause_us
