"""Outlier ejection: a worker that fails or is silent gets nothing for a while, then a trickle of trials.

A quick failure empties a load curve and would draw work. The pause doubles with each further failure; what is
let through doubles while trials go well. Times are whole microseconds.
"""

from collections import Counter
from dataclasses import dataclass
from itertools import chain

from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.outcomes import RUN_ONCE
from mastledge.scheduling.state import Job, Launch, Worker

# Reasons for an ejection; any other is the name of a queue type that fails there.
LOST_OR_SILENT = None
CONNECTION_REFUSED = -1
FIRST_PAUSE_US, LONGEST_PAUSE_US = 125_000, 4_000_000  # between an ejection and its first trial
RUN_ONCE_FACTOR = 4  # times as long, where a trial may cost a run-once job
RUN_ONCE_EXTRA_PAUSES = 2  # longest pauses more, where a job of another effect could be the trial


@dataclass(slots=True)
class Ejection:
    """Why and how long a worker gets nothing."""

    pause_us: int  # the last pause
    trial_limit: int = 1  # how many jobs may be in flight there as trials
    completed_trials: int = 0  # since the limit was last doubled
    ends_at: int = 0  # from when on trials are sent

    def stored(self) -> dict:
        """The form on disk, whose field names stay."""
        return {
            "pause": self.pause_us,
            "trickle": self.trial_limit,
            "good": self.completed_trials,
            "back_at": self.ends_at,
        }

    @classmethod
    def from_stored(cls, stored: dict) -> "Ejection":
        """An ejection from its form on disk; KeyError for a field that is missing."""
        return cls(stored["pause"], stored["trickle"], stored["good"], stored["back_at"])


class OutlierDetector:
    """Ejects workers and lets them back. `counts`: how many ready workers are ejected, by reason."""

    def __init__(self, fleet: FleetView):
        """No worker is ejected."""
        self._fleet = fleet
        self.counts: Counter = Counter()

    def eject(self, worker: Worker, reason: str | int | None, launch: Launch, now: int) -> None:
        """The launch failed there; one sent before the last pause was over tells nothing new."""
        factor = RUN_ONCE_FACTOR if launch.may_have_run and launch.job.queue_type.effect == RUN_ONCE else 1
        ejection = worker.ejections.get(reason)
        if ejection is None:
            ejection = worker.ejections[reason] = Ejection(factor * FIRST_PAUSE_US)
        elif launch.sent_at < ejection.ends_at - ejection.pause_us:
            return
        ejection.trial_limit, ejection.completed_trials = 1, 0
        ejection.pause_us = min(2 * ejection.pause_us, factor * LONGEST_PAUSE_US)
        ejection.ends_at = now + ejection.pause_us
        self.count()

    def trial_completed(self, worker: Worker, launch: Launch) -> None:
        """What was sent before the worker was ejected proves nothing of how it does now."""
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

    def count(self) -> None:
        """Brings the counts up to date."""
        ejections = [worker.ejections for worker in self._fleet.ready if worker.ejections]
        self.counts = Counter(chain.from_iterable(ejections))

    def keeps_out(self, worker: Worker, job: Job, now: int) -> bool:
        """Whether the job must not go there now."""
        ejections, queue_type, ready = worker.ejections, job.queue_type, len(self._fleet.ready)
        own = (LOST_OR_SILENT, CONNECTION_REFUSED, queue_type.name)
        is_run_once = queue_type.effect == RUN_ONCE
        # Where one queue type fails the others may, and jobs that may run again find that out at less cost.
        for reason in ejections if is_run_once else own:
            ejection = ejections.get(reason)
            # A trouble that most of the fleet shares is no reason to eject workers. But no connection is no
            # slowness: with a zone cut off, those that are left carry the jobs.
            most = ready - 1 if reason == CONNECTION_REFUSED else ready / 2
            if ejection is None or self.counts[reason] > most:
                continue
            is_own = reason in own
            pause = _extra_pause_us(reason, is_own, ejection) if is_run_once else 0
            if now < ejection.ends_at + pause:
                return True
            if is_own and len(worker.in_flight) >= ejection.trial_limit:
                return True
        return False


def _extra_pause_us(reason, is_own: bool, ejection: Ejection) -> int:
    """How much longer a run-once job waits for its trial."""
    if reason in (LOST_OR_SILENT, CONNECTION_REFUSED):
        return RUN_ONCE_EXTRA_PAUSES * LONGEST_PAUSE_US
    return 0 if is_own else ejection.pause_us
