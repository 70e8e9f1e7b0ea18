"""Learning from ended launches: running times, the slowness of workers, and outliers."""

from mastledge.scheduling.affinity import KeyAffinity
from mastledge.scheduling.estimation import GAIN, FleetEstimates
from mastledge.scheduling.other_load import OtherLoad
from mastledge.scheduling.outcomes import COMPLETED, NOT_CAUSED_BY_WORKER, REJECTED, Outcome
from mastledge.scheduling.outliers import CONNECTION_REFUSED, LOST_OR_SILENT, OutlierDetector
from mastledge.scheduling.prediction import learn_slowness, slowness
from mastledge.scheduling.state import Launch
from mastledge.scheduling.traffic import Traffic

LATE_END_STEPS = 2  # clock steps after which an end counts as processed late
MEAN_WORK_GAIN = GAIN / 8
MAX_FETCHES = 4  # cap of a fetch time sample, in mean fetch times
MAX_RUNS = 8  # cap of a hinted job's running time sample, in estimated running times
REASONS = {Outcome.UNREACHABLE: CONNECTION_REFUSED, Outcome.LOST: LOST_OR_SILENT}


class OutcomeLearner:
    """Updates estimates, slowness and ejections from ended launches."""

    def __init__(  # noqa: PLR0913 - each part learns from ended launches
        self,
        settings: dict,
        estimates: FleetEstimates,
        traffic: Traffic,
        affinity: KeyAffinity,
        outliers: OutlierDetector,
        other_load: OtherLoad,
    ):
        """Use the given parts, which are updated; no state is kept here."""
        self._settings, self._estimates, self._traffic = settings, estimates, traffic
        self._affinity, self._outliers, self._other_load = affinity, outliers, other_load

    def learn(self, launch: Launch, outcome: Outcome, lag: int, now: int) -> None:
        """Learn from the outcome of a launch that ended `lag` after it was sent."""
        if outcome in NOT_CAUSED_BY_WORKER:
            return
        worker = launch.worker
        if outcome == COMPLETED:
            worker.heard_at = now
            self._learn_completed(launch, lag, now)
            if worker.ejections:
                self._outliers.trial_completed(worker, launch)
            return
        if outcome == Outcome.ERROR or outcome in REJECTED:
            worker.heard_at = now
        if outcome in REJECTED:
            self._other_load.observe_refusal(worker, now)
        # A release may fail one queue type only. Quick failures would make the load curve look empty.
        reason = REASONS.get(outcome, launch.job.queue_type.name)
        self._outliers.eject(worker, reason, launch, now)

    def _learn_completed(self, launch, lag: int, now: int) -> None:
        job, worker, estimates = launch.job, launch.worker, self._estimates
        # A stall of the host that delayed processing the end must not count as running time.
        processed_late = now - launch.sent_at - lag > LATE_END_STEPS * self._settings["step"]
        end = launch.sent_at + lag if processed_late else now
        run = max(1, end - (launch.started_at or launch.sent_at))
        slow = slowness(worker, now, self._settings)
        if launch.uncontended:
            learn_slowness(worker, run / launch.mean, now, self._settings)
        estimates.running_time.learn(run)
        if not self._settings["tells_start"]:
            estimates.start_lag.learn(max(0, run - launch.mean * slow))
        self._traffic.completed_work += job.expected_work() * job.load
        estimates.mean_work += MEAN_WORK_GAIN * (job.expected_work() - estimates.mean_work)
        job.queue_type.running_time.learn(run)
        if launch.uncontended and launch.fetch_time:
            fetch = self._affinity.fetch
            fetch.learn(min(max(0.0, run / slow - job.mean), MAX_FETCHES * fetch.mean))
        elif launch.uncontended and launch.needs_no_fetch:
            self._learn_running_time(launch, run, slow)

    def _learn_running_time(self, launch, run: int, slow: float) -> None:
        """Learn the hint ratio and the key's running time from a job that met no contention and no fetch."""
        job, queue_type = launch.job, launch.job.queue_type
        if job.hint:
            sample, mean = min(run / slow, MAX_RUNS * launch.mean) / job.hint, queue_type.hint_ratio.mean
            # A small hint gets less weight, as even a short wait is many times as long.
            weight = min(1.0, job.hint / queue_type.running_time.mean) if job.key else 1.0
            queue_type.hint_ratio.learn(mean + (sample - mean) * weight)
        if job.key in self._estimates.by_key:
            self._estimates.by_key[job.key].learn(run)
