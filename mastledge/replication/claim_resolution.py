"""Resolution of another job's claim on the same key, for a job that waits for its outcome.

The dispatcher asks the owner of the claim and also reads the replicas from time to time, because the owner
may be lost. If the claim was released, the waiting job makes a new claim.
"""

from collections.abc import Callable, Mapping

from mastledge.replication.claims import QUORUM_TIMEOUT_US
from mastledge.replication.jobs import OPEN_PHASES, JobPhase, KeyedJob
from mastledge.replication.listeners import RELEASED, UNKNOWN, ClaimOutcome, outcome_of
from mastledge.replication.messages import (
    ClaimStatus,
    OwnerQuery,
    OwnerResponse,
    ReplicaResponse,
    ReplicaResult,
    parse_claim_name,
)
from mastledge.replication.outputs import Verdict
from mastledge.replication.quorum import ReadCall
from mastledge.replication.services import CoordinatorServices

OWNER_QUERY_INTERVAL_US = 100_000
READ_INTERVAL_US = 300_000
MAX_CLAIMS = 8  # of one job, when other claims on its key keep being released
CLAIM_BACKOFF_US = 20_000  # before the next claim on a key that several jobs claimed at the same time

DecideByRecords = Callable[[int, KeyedJob, Mapping[str, ReplicaResponse]], None]


class ClaimResolution:
    """Resolves the claims that jobs wait for, and retries their claims. Times are microseconds."""

    def __init__(self, services: CoordinatorServices):
        """Create the part; `connect` has to be called before use, because the parts depend on each other."""
        self._names, self._jobs, self._calls = services.names, services.jobs, services.calls
        self._timers, self._jitter, self._send = services.timers, services.jitter, services.send
        self._make_claim: Callable[[int, KeyedJob], None] | None = None
        self._decide_by_records: DecideByRecords | None = None

    def connect(
        self, make_claim: Callable[[int, KeyedJob], None], decide_by_records: DecideByRecords
    ) -> None:
        """Set the callbacks that make a new claim and that decide by the records of replicas."""
        self._make_claim, self._decide_by_records = make_claim, decide_by_records

    def await_claim(self, now: int, job: KeyedJob, response: ReplicaResponse) -> None:
        """Let the job wait for the claim in a replica's response."""
        job.phase, job.awaited_claim, job.last_read_at = JobPhase.AWAITING_CLAIM, response.claim_name, 0
        claim_deadline = now + response.remaining_us + 2 * OWNER_QUERY_INTERVAL_US
        self._timers.at(min(claim_deadline, job.deadline), self.on_deadline, job, job.awaited_claim)
        self._ask_owner(now, job, job.awaited_claim)

    def await_own_claim(self, now: int, job: KeyedJob, claimant: KeyedJob) -> None:
        """Let the job wait for a claim that this dispatcher owns."""
        job.phase, job.awaited_claim = JobPhase.AWAITING_CLAIM, claimant.claim_name
        if claimant.phase in OPEN_PHASES:
            claimant.listeners.append(job)
        else:
            self.resolve(now, job, outcome_of(claimant))

    def on_owner_response(self, now: int, response: OwnerResponse) -> None:
        """Resolve the claim with the owner's response; ignore a late response about an earlier claim."""
        job = self._jobs.get(response.call_id)
        if job is not None and self._is_awaiting(job, response.claim_name):
            outcome = ClaimOutcome(response.claim_status, response.status, response.content)
            self.resolve(now, job, outcome)

    def resolve(self, now: int, job: KeyedJob, outcome: ClaimOutcome) -> None:
        """Answer the job with the outcome of the awaited claim, or retry if the claim was released."""
        if job.is_closed or job.phase is not JobPhase.AWAITING_CLAIM:
            return
        status = outcome.claim_status
        if status is ClaimStatus.ANSWERED:
            self._jobs.reply(job, Verdict.ANSWERED, outcome.status, outcome.content)
        elif status is ClaimStatus.UNSURE or status is ClaimStatus.UNKNOWN:
            self._jobs.reply(job, Verdict.UNSURE)
        elif status is ClaimStatus.READ_REPLICAS:
            self._read_replicas(now, job)
        elif status is ClaimStatus.RELEASED:
            if job.awaited_claim and job.awaited_claim not in job.released_claims:
                job.released_claims = [*job.released_claims[1 - MAX_CLAIMS :], job.awaited_claim]
            self._retry_claim(now, job)

    def on_deadline(self, now: int, job: KeyedJob, claim_name: str) -> None:
        """Answer the job as unsure: the walltime of the claim or of the job ended without an outcome."""
        if self._is_awaiting(job, claim_name):
            self._jobs.reply(job, Verdict.UNSURE)

    @staticmethod
    def _is_awaiting(job: KeyedJob, claim_name: str) -> bool:
        return not job.is_closed and job.phase is JobPhase.AWAITING_CLAIM and job.awaited_claim == claim_name

    def _ask_owner(self, now: int, job: KeyedJob, claim_name: str) -> None:
        """Ask the owner until it answers; after the first read interval, also read the replicas."""
        if not self._is_awaiting(job, claim_name):
            return
        owner, incarnation = parse_claim_name(claim_name)
        if owner == self._names.owner:
            self._resolve_own(now, job, incarnation)
            return
        self._send(owner, OwnerQuery(job.job_id, claim_name))
        if now >= job.last_read_at + READ_INTERVAL_US:
            if job.last_read_at:
                self._read_replicas(now, job)
            job.last_read_at = now
        self._timers.at(now + OWNER_QUERY_INTERVAL_US, self._ask_owner, job, claim_name)

    def _resolve_own(self, now: int, job: KeyedJob, incarnation: str) -> None:
        claimant = self._jobs.with_claim(job.awaited_claim)
        if claimant is not None:
            self.await_own_claim(now, job, claimant)
        else:
            is_this_incarnation = incarnation == self._names.incarnation
            self.resolve(now, job, RELEASED if is_this_incarnation else UNKNOWN)

    def _read_replicas(self, now: int, job: KeyedJob) -> None:
        if job.read_call is not None and not job.read_call.settled:
            return
        deadline = now + 2 * QUORUM_TIMEOUT_US
        job.read_call = self._calls.start(now, ReadCall(job, deadline, self._on_read, self._on_read_failed))

    def _on_read(self, now: int, call: ReadCall) -> None:
        job = call.job
        if not self._is_awaiting(job, call.awaited_claim):
            return
        responses = {
            name: response
            for name, response in call.responses.items()
            if response.result is not ReplicaResult.UNKNOWN_KEY
        }
        if any(response.result is not ReplicaResult.CLAIMED for response in responses.values()):
            self._decide_by_records(now, job, responses)
        elif not responses:
            # The claim was released, or its requests have not reached the replicas yet. Only its owner knows
            # which, so the claim is not added to the released ones.
            self._retry_claim(now, job)

    def _on_read_failed(self, now: int, call: ReadCall) -> None:
        """Answer that there is no quorum: neither the owner nor enough replicas have responded."""
        if call.job.read_call is call and call.job.phase is JobPhase.AWAITING_CLAIM:
            self._jobs.reply(call.job, Verdict.NO_QUORUM)

    def _retry_claim(self, now: int, job: KeyedJob) -> None:
        if job.claim_count >= MAX_CLAIMS:
            self._jobs.reply(job, Verdict.NO_QUORUM)
            return
        job.phase, job.awaited_claim = JobPhase.WAITING, ""
        backoff_us = self._jitter.random_delay(CLAIM_BACKOFF_US) if job.claim_count else 0
        self._timers.at(now + backoff_us, self._claim_again, job)

    def _claim_again(self, now: int, job: KeyedJob) -> None:
        if job.is_closed or job.phase is not JobPhase.WAITING:
            return
        claimant = self._jobs.claimant(job.scoped_key)
        if claimant is not None and claimant is not job:
            self.await_own_claim(now, job, claimant)
        elif now < job.deadline:
            self._make_claim(now, job)
