"""Launches that are late or silent: the job is moved to another worker, or hedged by a second launch.

Both double the work of a trouble that all share, so they are kept to a share of the jobs. Times are whole
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

HEDGE_SHARE = 0.2  # share of jobs hedged, or under pressure moved
FIRST_BUDGET = 2.0  # launches
SLACK_PARTS_HEDGED, SLACK_PARTS_MOVED = 2, 3  # not started within that part of the slack is late
LATE_VARIATIONS = 4  # variations above the mean start lag after which an unheard worker is silent
LONG_SILENCE_NOTES = 2  # progress notes that are missing before a run-once launch is no load any more
LONG_RUN_FACTOR = 2  # times its upper bound after which a running launch is late


class Verdict(Enum):
    """What to do about a launch."""

    WAIT = auto()
    GIVE_UP = auto()  # too late to start: under overload it takes the room of one in time
    HEDGE = auto()  # launch the job once more and let this launch go on
    MOVE = auto()  # revoke the launch; the job is launched again after its end


class LaunchMonitor:
    """Looks at launches whose time has come. `budget`: how many may be moved or hedged now."""

    def __init__(  # noqa: PLR0913 - the parts that a verdict depends on
        self,
        settings: dict,
        timers: Timers,
        selector: WorkerSelector,
        outliers: OutlierDetector,
        admission: AdmissionControl,
        estimates: FleetEstimates,
        traffic: Traffic,
    ):
        """Sets timers for its next looks."""
        self._settings, self._timers, self._selector = settings, timers, selector
        self._outliers, self._admission = outliers, admission
        self._estimates, self._traffic = estimates, traffic
        self.budget = FIRST_BUDGET

    def job_arrived(self) -> None:
        """Each job adds a share of a launch to the budget.

        What was not used is saved for a second only: of hundreds of dispatchers none may save for a flood.
        Under overload a hedge is work for nothing, and a move loses its place in a queue for another's end.
        """
        normal, pressed = (HEDGE_SHARE, 0.0) if self._settings["parallel"] else (1.0, HEDGE_SHARE)
        share = pressed if self._admission.pressure else normal
        self.budget = min(1 + share * self._traffic.arrival_rate, self.budget + share)

    def first_look(self, launch: Launch, now: int) -> int:
        """When a launch that was just sent is to be looked at, where starts are told."""
        # Not started in the time that a free worker takes: load that is not seen is in its way.
        worker, settings = launch.worker, self._settings
        left = slack(launch.job, now, slowness(worker, now, settings))
        parts = SLACK_PARTS_HEDGED if settings["parallel"] else SLACK_PARTS_MOVED
        return now + int(max(free_start_lag(worker, settings), left / parts))

    def check(self, launch: Launch, now: int) -> Verdict:
        """A launch past its estimated end: is its worker silent or slow, and may the job go elsewhere?"""
        entry, settings = launch.curve_entry, self._settings
        if launch.started_at and entry is not None and now < entry[0]:
            return Verdict.WAIT
        self._learn(launch, now)
        job = launch.job
        # Ever rarer: on an overloaded fleet looking again and again at all that waits makes all late.
        again = max(job.variation, launch.mean / 2, (now - launch.sent_at) / 2, settings["step"])
        self._timers.set(now + int(again), launch)
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
        """A launch that runs long is a slow worker; one whose worker was not heard since, a silent one."""
        worker, settings, estimates = launch.worker, self._settings, self._estimates
        slow, tells_start = slowness(worker, now, settings), settings["tells_start"]
        if launch.started_at and tells_start:
            ratio = (now - launch.started_at) / launch.mean
            if ratio > slow:
                learn_slowness(worker, ratio, now, settings)
        elif worker.heard_at < launch.sent_at:
            run = estimates.running_time.mean if tells_start else launch.mean * slow
            lag = estimates.start_lag
            if now - launch.sent_at > lag.mean + LATE_VARIATIONS * lag.variation + run:
                self._outliers.eject(worker, LOST_OR_SILENT, launch, now)

    def _is_silent(self, launch, now: int) -> bool:
        """No progress note when one was due: its connection may be dead while its worker goes on."""
        # 1.25 times as long as notes take.
        return bool(launch.started_at) and 0 < 5 * self._settings["progress_every"] < 4 * (
            now - launch.heard_at
        )

    def _is_hopeless(self, launch, now: int) -> bool:
        """Not started, revocable, too late for its target, and pressure above a late answer's worth."""
        settings, job = self._settings, launch.job
        queue_type = job.queue_type
        if queue_type.effect != RESTARTABLE or settings["parallel"] or launch.started_at:
            return False
        if not settings["may_revoke"] or self._admission.pressure <= queue_type.late_utility:
            return False
        return expected_end(job, now, slowness(launch.worker, now, settings)) > job.target_at

    def _may_relaunch(self, launch, is_silent: bool) -> bool:
        """By effect, budget and settings."""
        job, settings = launch.job, self._settings
        if job.ended or launch.revoked or self.budget < 1 or job.in_flight > 1:
            return False
        if job.queue_type.effect == RUN_ONCE or len(job.launches) + 2 > settings["launches"]:
            return False
        if settings["parallel"]:
            return True
        return settings["may_revoke"] and (is_silent or not launch.started_at)

    def _gains_elsewhere(self, launch, is_silent: bool, now: int) -> bool:
        """Whether another worker could start the job at once and end it sooner."""
        job, worker = launch.job, launch.worker
        is_deduplicated = job.queue_type.effect == DEDUPLICATED
        best, wait = self._selector.pick(job, now, worker if is_deduplicated else None)
        if best is None or wait > 0:
            return False
        end = expected_end(job, now, slowness(best, now, self._settings))
        if launch.started_at and not worker.ejections and not is_silent:
            # As long again as it has run: the best guess for a job that outran its estimate.
            # But a hint is often this wrong, and a hedge of a job that is about to end is waste.
            latest = min(2 * now - launch.started_at, job.target_at)
            long_run = LONG_RUN_FACTOR * (job.mean + job.variation)
            if now - launch.started_at < long_run or end > latest:
                return False
        return not is_deduplicated or end <= launch.sent_at + job.queue_type.window
