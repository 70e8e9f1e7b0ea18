"""Late or silent launches: the job is moved to another worker, or hedged by a second launch.

When the whole fleet is slow both only add work, so they are limited to a share of the jobs. Times are whole
microseconds.
"""

from enum import Enum, auto

from mastledge.scheduling.admission import AdmissionControl
from mastledge.scheduling.estimation import FleetEstimates
from mastledge.scheduling.outcomes import DEDUPLICATED, RESTARTABLE, RUN_ONCE
from mastledge.scheduling.outliers import LOST_OR_SILENT, OutlierDetector
from mastledge.scheduling.prediction import (
    expected_end,
    free_start_lag,
    learn_slowness,
    remove_if_connection_is_dead,
    slack,
    slowness,
)
from mastledge.scheduling.selection import WorkerSelector
from mastledge.scheduling.state import Launch
from mastledge.scheduling.timers import Timers
from mastledge.scheduling.traffic import Traffic

HEDGE_SHARE = 0.2  # share of jobs that may be hedged, or moved under pressure
FIRST_BUDGET = 2.0  # launches
# A launch is late if it has not started within the slack divided by this.
SLACK_PARTS_HEDGED, SLACK_PARTS_MOVED = 2, 3
LATE_VARIATIONS = 4  # variations above the mean start lag after which a worker counts as silent
LONG_SILENCE_NOTES = 2  # missed progress notes after which a run-once launch may stop counting as load
LONG_RUN_FACTOR = 2  # a running launch is late after this many times its upper bound


class Verdict(Enum):
    """Action to take on a launch."""

    WAIT = auto()
    GIVE_UP = auto()  # too late to start: under overload it would delay jobs that can still be in time
    HEDGE = auto()  # launch the job again while this launch goes on
    MOVE = auto()  # revoke the launch; the job is launched again once it has ended


class LaunchMonitor:
    """Checks launches whose timers are due. `budget`: how many may be moved or hedged now."""

    def __init__(  # noqa: PLR0913 - a verdict depends on all of them
        self,
        settings: dict,
        timers: Timers,
        selector: WorkerSelector,
        outliers: OutlierDetector,
        admission: AdmissionControl,
        estimates: FleetEstimates,
        traffic: Traffic,
    ):
        """Start with a budget of `FIRST_BUDGET` launches."""
        self._settings, self._timers, self._selector = settings, timers, selector
        self._outliers, self._admission = outliers, admission
        self._estimates, self._traffic = estimates, traffic
        self.budget = FIRST_BUDGET

    def job_arrived(self) -> None:
        """Add a share of a launch to the budget for an arriving job.

        At most one second's budget is saved, so that hundreds of dispatchers cannot spend savings at once.
        Under overload a hedge is wasted work, and a moved job loses its place in a worker's queue.
        """
        normal, under_pressure = (HEDGE_SHARE, 0.0) if self._settings["parallel"] else (1.0, HEDGE_SHARE)
        share = under_pressure if self._admission.pressure else normal
        self.budget = min(1 + share * self._traffic.arrival_rate, self.budget + share)

    def first_check_at(self, launch: Launch, now: int) -> int:
        """Return when to check a launch that was just sent, where workers report starts."""
        # Not started within a free worker's start lag: other load must be ahead of it.
        worker, settings = launch.worker, self._settings
        remaining_slack = slack(launch.job, now, slowness(worker, now, settings))
        divisor = SLACK_PARTS_HEDGED if settings["parallel"] else SLACK_PARTS_MOVED
        return now + int(max(free_start_lag(worker, settings), remaining_slack / divisor))

    def check(self, launch: Launch, now: int) -> Verdict:
        """Return the verdict on a launch whose timer is due: its worker may be slow or silent."""
        entry, settings = launch.curve_entry, self._settings
        if launch.started_at and entry is not None and now < entry[0]:
            return Verdict.WAIT
        self._learn(launch, now)
        job = launch.job
        # At growing intervals: under overload frequent checks of all waiting launches would delay all jobs.
        recheck_delay = max(job.variation, launch.mean / 2, (now - launch.sent_at) / 2, settings["step"])
        self._timers.set(now + int(recheck_delay), launch)
        if self._is_hopeless(launch, now):
            return Verdict.GIVE_UP
        is_silent = self._is_silent(launch, now)
        long_silent = is_silent and now - launch.heard_at > LONG_SILENCE_NOTES * settings["progress_every"]
        if long_silent and job.queue_type.effect == RUN_ONCE:
            remove_if_connection_is_dead(launch)
        if not self._may_relaunch(launch, is_silent) or not self._gains_elsewhere(launch, is_silent, now):
            return Verdict.WAIT
        is_hedge = settings["parallel"] and job.queue_type.effect == RESTARTABLE
        return Verdict.HEDGE if is_hedge else Verdict.MOVE

    def _learn(self, launch, now: int) -> None:
        """Learn slowness from a long run; eject a worker not heard from since the launch was sent."""
        worker, settings, estimates = launch.worker, self._settings, self._estimates
        slow, reports_starts = slowness(worker, now, settings), settings["tells_start"]
        if launch.started_at and reports_starts:
            ratio = (now - launch.started_at) / launch.mean
            if ratio > slow:
                learn_slowness(worker, ratio, now, settings)
        elif worker.heard_at < launch.sent_at:
            run = estimates.running_time.mean if reports_starts else launch.mean * slow
            lag = estimates.start_lag
            if now - launch.sent_at > lag.mean + LATE_VARIATIONS * lag.variation + run:
                self._outliers.eject(worker, LOST_OR_SILENT, launch, now)

    def _is_silent(self, launch, now: int) -> bool:
        """Return whether a progress note is overdue: the connection may be dead while the worker goes on."""
        # Silent for more than 1.25 note intervals.
        return bool(launch.started_at) and 0 < 5 * self._settings["progress_every"] < 4 * (
            now - launch.heard_at
        )

    def _is_hopeless(self, launch, now: int) -> bool:
        """Return whether an unstarted, revocable launch is late, with pressure above its late utility."""
        settings, job = self._settings, launch.job
        queue_type = job.queue_type
        if queue_type.effect != RESTARTABLE or settings["parallel"] or launch.started_at:
            return False
        if not settings["may_revoke"] or self._admission.pressure <= queue_type.late_utility:
            return False
        return expected_end(job, now, slowness(launch.worker, now, settings)) > job.target_at

    def _may_relaunch(self, launch, is_silent: bool) -> bool:
        """Return whether effect, budget and settings allow another launch of the job."""
        job, settings = launch.job, self._settings
        if job.ended or launch.revoked or self.budget < 1 or job.in_flight > 1:
            return False
        if job.queue_type.effect == RUN_ONCE or len(job.launches) + 2 > settings["launches"]:
            return False
        if settings["parallel"]:
            return True
        return settings["may_revoke"] and (is_silent or not launch.started_at)

    def _gains_elsewhere(self, launch, is_silent: bool, now: int) -> bool:
        """Return whether another worker could start the job at once and end it sooner."""
        job, worker = launch.job, launch.worker
        is_deduplicated = job.queue_type.effect == DEDUPLICATED
        best, wait = self._selector.pick(job, now, worker if is_deduplicated else None)
        if best is None or wait > 0:
            return False
        end = expected_end(job, now, slowness(best, now, self._settings))
        if launch.started_at and not worker.ejections and not is_silent:
            # A job past its estimate is assumed to need as long again as it has run.
            # Hints are often too low, and a hedge of a job that is about to end is wasted, hence `long_run`.
            latest_end = min(2 * now - launch.started_at, job.target_at)
            long_run = LONG_RUN_FACTOR * (job.mean + job.variation)
            if now - launch.started_at < long_run or end > latest_end:
                return False
        return not is_deduplicated or end <= launch.sent_at + job.queue_type.window
