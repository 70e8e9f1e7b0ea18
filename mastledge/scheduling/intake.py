"""Intake of arriving jobs: sets their estimates, latency objectives and deadlines."""

from mastledge.scheduling.affinity import KeyAffinity
from mastledge.scheduling.estimation import FleetEstimates
from mastledge.scheduling.gossip import LoadGossip
from mastledge.scheduling.state import Job
from mastledge.scheduling.traffic import Traffic

ANSWER_STEPS = 2  # clock steps between the final answer and the end of the attempt


class JobIntake:
    """Completes the records of arriving jobs."""

    def __init__(
        self,
        settings: dict,
        estimates: FleetEstimates,
        affinity: KeyAffinity,
        gossip: LoadGossip,
        traffic: Traffic,
    ):
        """Use the given parts, which are informed of each job; no state is kept here."""
        self._settings, self._estimates = settings, estimates
        self._affinity, self._gossip, self._traffic = affinity, gossip, traffic

    def take(self, job: Job, patience: int, now: int, shutdown_at: int | None) -> None:
        """Set the job's estimates and times; `patience`: time left of this attempt, in microseconds."""
        queue_type, key = job.queue_type, job.key
        # Early, as a timer fires at the end of a clock step, and the answer takes effect only then.
        answer_by = now + max(0, patience - ANSWER_STEPS * self._settings["step"])
        job.deadline = min(answer_by, shutdown_at or now + patience)
        queue_type.most_patience = max(queue_type.most_patience, patience)
        self._estimates.estimate(job)
        work = job.expected_work()
        # A small hint is mostly error, so the slow-start budget counts it halfway to a mean job.
        job.work = max(work, (work + self._estimates.mean_work) / 2) * job.load
        if key:
            self._affinity.job_arrived(key, work)
        self._gossip.job_arrived(key, work, now)
        objective = min(queue_type.target + int(queue_type.stretch * work), queue_type.walltime)
        # Counted from the client's first attempt, as far as the remaining patience shows when that was.
        job.target_at = now + objective - max(0, queue_type.most_patience - patience)
        self._traffic.job_arrived(job.tenant)
