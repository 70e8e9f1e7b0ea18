"""The owner of claims: claims the key of each job, distributes its outcome, and resolves repeats.

A claim holds once a quorum of the key's replicas has granted it and has the grant on disk. Two quorums share
a replica, which grants a key only once. The job is not launched before that. The outcome is sent to all
replicas, and the job is answered once a quorum has stored it. So a later repeat that asks a quorum finds the
outcome even if a machine is lost.

A claim that only some replicas grant is released, and its job waits for the outcome of the other claim.
"""

from collections.abc import Mapping
from typing import Protocol

from mastledge.idempotency import verdicts
from mastledge.idempotency.keyed_request import is_valid_key
from mastledge.replication.claim_resolution import ClaimResolution
from mastledge.replication.claims import Claims
from mastledge.replication.existing_records import ExistingRecords
from mastledge.replication.inputs import ClientLeft, JobEnded, JobOutcome, Offer
from mastledge.replication.jobs import ClaimNames, JobPhase, JobTable, KeyedJob
from mastledge.replication.listeners import ClaimListeners
from mastledge.replication.messages import Message, OwnerQuery, OwnerResponse, ReplicaResponse
from mastledge.replication.outcomes import OutcomeDistribution
from mastledge.replication.outputs import JobVerdict, Verdict
from mastledge.replication.placement import Placement
from mastledge.replication.quorum import NumberSequence, QuorumCalls
from mastledge.replication.services import CoordinatorServices
from mastledge.replication.timers import Jitter, Timers


class CoordinatorHost(Protocol):
    """Interface that a coordinator needs of its node."""

    directory_ids: Mapping[str, str]  # by dispatcher, as last received

    def send(self, recipient: str, message: Message) -> None:
        """Send a message to any dispatcher, including this one."""

    def report(self, verdict: JobVerdict) -> None:
        """Report the verdict on a job to the host."""


class Coordinator:
    """Connects the parts and passes each input to the part concerned. Times are microseconds."""

    def __init__(self, host: CoordinatorHost, owner: str, incarnation: str, retention_us: int, seed: int):
        """Create the parts; outcomes are kept for `retention_us`, `seed` is that of the jitter."""
        self._host = host
        self.timers = Timers()
        sequence = NumberSequence()
        self._calls = QuorumCalls(host.send, self.timers, sequence)
        self._jobs = JobTable(self._calls, host.report)
        services = CoordinatorServices(
            names=ClaimNames(owner, incarnation, sequence),
            jobs=self._jobs,
            calls=self._calls,
            timers=self.timers,
            jitter=Jitter(seed, owner),
            send=host.send,
        )
        self.resolution = ClaimResolution(services)
        self._listeners = ClaimListeners(services, self.resolution.resolve)
        existing_records = ExistingRecords(services, host.directory_ids, self.resolution.await_claim)
        self._claims = Claims(services, self._listeners, existing_records.decide)
        self.resolution.connect(self._claims.make, existing_records.decide)
        self._outcomes = OutcomeDistribution(services, self._claims, self._listeners, retention_us)

    def offer(self, now: int, offer: Offer) -> None:
        """Take a job with a key and claim the key; the verdict on the job is reported later."""
        if not is_valid_key(offer.key):
            invalid = verdicts.Verdict.INVALID_KEY
            status, content = verdicts.HTTP_STATUS[invalid], verdicts.EXPLANATION[invalid].encode()
            self._host.report(JobVerdict(offer.job_id, Verdict.REFUSED, status, content))
            return
        scoped_key = offer.tenant, offer.key
        job = KeyedJob(offer.job_id, scoped_key, offer.fingerprint, now + offer.remaining_us)
        self._jobs.add(job)
        claimant = self._jobs.claimant(scoped_key)
        if claimant is None:
            self._claims.make(now, job)
        elif claimant.fingerprint != job.fingerprint:
            self._jobs.refuse(job, verdicts.Verdict.OTHER_REQUEST)
        else:
            self.resolution.await_own_claim(now, job, claimant)

    def job_ended(self, now: int, ended: JobEnded) -> None:
        """Distribute the outcome of a job that was granted its key."""
        self._outcomes.job_ended(now, ended)

    def client_left(self, now: int, left: ClientLeft) -> None:
        """Drop a job that no client waits for, or whose walltime is over; outcomes are still distributed."""
        job = self._jobs.get(left.job_id)
        if job is None:
            return
        if job.phase in (JobPhase.AWAITING_CLAIM, JobPhase.WAITING):
            self._jobs.close(job)
        elif job.phase is JobPhase.CLAIMED:
            # The claim was granted too late for the job to be launched.
            self._outcomes.job_ended(now, JobEnded(left.job_id, JobOutcome.RELEASED))
        elif job.phase is JobPhase.CLAIMING:
            self._jobs.close(job)
            self._claims.abandon(now, job)

    def on_placement(self, now: int, placement: Placement) -> None:
        """Use a newly committed placement."""
        self._calls.on_placement(now, placement)

    def on_replica_response(
        self, now: int, sender: str, directory_id: str, response: ReplicaResponse
    ) -> None:
        """Count a replica's response to a quorum call."""
        self._calls.on_response(now, sender, directory_id, response)

    def on_owner_query(self, now: int, sender: str, query: OwnerQuery) -> None:
        """Answer another dispatcher's query about a claim of this dispatcher."""
        self._listeners.on_query(now, sender, query)

    def on_owner_response(self, now: int, response: OwnerResponse) -> None:
        """Resolve a claim with its owner's response."""
        self.resolution.on_owner_response(now, response)

    def statistics(self) -> dict[str, int]:
        """Return the statistics for operators."""
        return {**self._calls.statistics(), "under_way": self._jobs.open_count()}
