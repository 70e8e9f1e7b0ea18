"""Distribution of the outcomes of launched jobs: an answer is valid once a quorum has stored it."""

from mastledge.replication.claims import Claims
from mastledge.replication.inputs import JobEnded, JobOutcome
from mastledge.replication.jobs import JobPhase, KeyedJob
from mastledge.replication.listeners import RELEASED, UNSURE, ClaimListeners, outcome_of
from mastledge.replication.outputs import Verdict
from mastledge.replication.quorum import CompleteCall, KeyOutcome
from mastledge.replication.services import CoordinatorServices

RELEASE_TIMEOUT_US = 60_000  # how long a rejection waits for a quorum to release the claim
REPLY_MARGIN_US = 30_000  # time left before the end of the walltime for the reply to the client


class OutcomeDistribution:
    """Distributes the outcomes of this dispatcher's claims to the replicas."""

    def __init__(
        self,
        services: CoordinatorServices,
        claims: Claims,
        listeners: ClaimListeners,
        retention_us: int,
    ):
        """Keep each outcome for `retention_us` from the end of its job."""
        self._jobs, self._calls, self._timers = services.jobs, services.calls, services.timers
        self._claims, self._listeners, self._retention_us = claims, listeners, retention_us

    def job_ended(self, now: int, ended: JobEnded) -> None:
        """Distribute the outcome of a job that was granted its key; ignore any other job."""
        job = self._jobs.get(ended.job_id)
        if job is None or job.phase is not JobPhase.CLAIMED:
            return
        if ended.outcome is JobOutcome.RELEASED:
            self._release(now, job)
        else:
            self._distribute(now, job, ended)

    def _release(self, now: int, job: KeyedJob) -> None:
        job.phase = JobPhase.ENDED
        call = self._claims.release(now, job, self._on_released)
        self._timers.at(min(now + RELEASE_TIMEOUT_US, job.deadline), self._on_release_timeout, job)
        job.call = call
        self._listeners.notify(now, job, RELEASED)

    def _on_released(self, now: int, call) -> None:
        self._on_release_timeout(now, call.job)

    def _on_release_timeout(self, now: int, job: KeyedJob) -> None:
        self._jobs.finish(job, Verdict.REPLICATED)

    def _distribute(self, now: int, job: KeyedJob, ended: JobEnded) -> None:
        job.answered, job.phase = ended.outcome is JobOutcome.ANSWERED, JobPhase.COMPLETING
        job.status, job.content = ended.status, ended.content if job.answered else None
        outcome = KeyOutcome(job.fingerprint, job.claim_name, job.answered, ended.status, ended.content)
        forget_at = now + self._retention_us
        job.call = self._calls.start(
            now, CompleteCall(job, outcome, forget_at, self._on_replicated, self._on_not_replicated)
        )
        job.call.on_complete = self._on_complete
        self._timers.at(forget_at, self._forget, job)
        if job.answered:
            reply_at = max(job.deadline - REPLY_MARGIN_US, now + 1)
            self._timers.at(reply_at, self._on_reply_timeout, job)
        else:
            self._end(now, job)

    def _on_replicated(self, now: int, call: CompleteCall) -> None:
        self._end(now, call.job)

    def _on_not_replicated(self, now: int, call: CompleteCall) -> None:
        self._on_reply_timeout(now, call.job)

    def _on_reply_timeout(self, now: int, job: KeyedJob) -> None:
        self._jobs.finish(job, Verdict.NOT_REPLICATED)

    def _on_complete(self, now: int, call: CompleteCall) -> None:
        if call.job.phase is JobPhase.ENDED:
            call.job.content = None  # each replica has stored it

    def _end(self, now: int, job: KeyedJob) -> None:
        """Report the outcome: a quorum has stored it, or it needs no quorum."""
        if job.phase is JobPhase.COMPLETING:
            job.phase = JobPhase.ENDED
            self._listeners.notify(now, job, outcome_of(job))
            self._jobs.finish(job, Verdict.REPLICATED)

    def _forget(self, now: int, job: KeyedJob) -> None:
        """Drop the outcome at the end of its retention."""
        self._jobs.remove_claim(job)
        job.content = None
        self._listeners.notify(now, job, UNSURE)
