"""Takes a job that has arrived: what it is expected to need, and by when it has to be answered."""

from mastledge.scheduling.affinity import KeyAffinity
from mastledge.scheduling.estimation import FleetEstimates
from mastledge.scheduling.gossip import LoadGossip
from mastledge.scheduling.state import Job
from mastledge.scheduling.traffic import Traffic

ANSWER_STEPS = 2  # steps of the clock by which a final answer comes before the end of the attempt


class JobIntake:
    """Completes the records of new jobs."""

    def __init__(
        self,
        settings: dict,
        estimates: FleetEstimates,
        affinity: KeyAffinity,
        gossip: LoadGossip,
        traffic: Traffic,
    ):
        """Tells these parts of each job, and keeps nothing itself."""
        self._settings, self._estimates = settings, estimates
        self._affinity, self._gossip, self._traffic = affinity, gossip, traffic

    def take(self, job: Job, patience: int, now: int, shutdown_at: int | None) -> None:
        """Sets the job's estimates and times; `patience`: what is left of this attempt, in microseconds."""
        terms, key = job.queue_type, job.key
        # Early: a timer is rung at a step's end, and the answer takes effect there.
        answer_by = now + max(0, patience - ANSWER_STEPS * self._settings["step"])
        job.deadline = min(answer_by, shutdown_at or now + patience)
        terms.most_patience = max(terms.most_patience, patience)
        self._estimates.estimate(job)
        work = job.expected_work()
        # A small rough hint is mostly error, so it counts halfway to a mean job where a worker warms up.
        job.work = max(work, (work + self._estimates.mean_work) / 2) * job.load
        if key:
            self._affinity.job_arrived(key, work)
        self._gossip.job_arrived(key, work, now)
        objective = min(terms.target + int(terms.stretch * work), terms.walltime)
        # A later attempt's time is counted from the client's first one.
        job.target_at = now + objective - max(0, terms.most_patience - patience)
        self._traffic.job_arrived(job.tenant)
