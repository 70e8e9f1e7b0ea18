"""The owner of claims: claims the key of each job, distributes its outcome, and resolves repeats.

A claim holds once a quorum of the key's replicas has granted it, each on its disk: two quorums have a replica
in common, and that one grants a key once. Nothing is launched before. An outcome goes to all replicas, and
the job is answered once a quorum has it. So whoever asks a quorum later hears of it, whatever machine is
lost.

A claim that only some replicas grant is released, and its job waits for what the other claim comes to.
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
from mastledge.replication.quorum import QuorumCalls, Sequence
from mastledge.replication.services import CoordinatorServices
from mastledge.replication.timers import Jitter, Timers


class CoordinatorHost(Protocol):
    """What a coordinator needs of the node around it."""

    directory_ids: Mapping[str, str]  # of each dispatcher, as last heard

    def send(self, recipient: str, message: Message) -> None:
        """Sends to a dispatcher, this one included."""

    def report(self, verdict: JobVerdict) -> None:
        """Tells the host of the job."""


class Coordinator:
    """Puts the parts together and gives each of them its inputs. Times are microseconds."""

    def __init__(self, host: CoordinatorHost, owner: str, incarnation: str, retention_us: int, seed: int):
        """Outcomes are kept for `retention_us`; `seed` is of the jitter."""
        self._host = host
        self.timers = Timers()
        sequence = Sequence()
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
        """A job with a key has arrived; a verdict on it follows."""
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
        """A job that was granted its key has ended."""
        self._outcomes.job_ended(now, ended)

    def client_left(self, now: int, left: ClientLeft) -> None:
        """Nobody waits for the job any more, or its time is over; one that runs is seen through."""
        job = self._jobs.get(left.job_id)
        if job is None:
            return
        if job.phase in (JobPhase.AWAITING_CLAIM, JobPhase.WAITING):
            self._jobs.close(job)
        elif job.phase is JobPhase.CLAIMED:
            # Its verdict came too late for it to be launched.
            self._outcomes.job_ended(now, JobEnded(left.job_id, JobOutcome.RELEASED))
        elif job.phase is JobPhase.CLAIMING:
            self._jobs.close(job)
            self._claims.abandon(now, job)

    def on_placement(self, now: int, placement: Placement) -> None:
        """The fleet has committed other replicas."""
        self._calls.on_placement(now, placement)

    def on_replica_response(
        self, now: int, sender: str, directory_id: str, response: ReplicaResponse
    ) -> None:
        """A replica has answered a quorum call."""
        self._calls.on_response(now, sender, directory_id, response)

    def on_owner_query(self, now: int, sender: str, query: OwnerQuery) -> None:
        """Another dispatcher asks for a claim of this one."""
        self._listeners.on_query(now, sender, query)

    def on_owner_response(self, now: int, response: OwnerResponse) -> None:
        """Another dispatcher tells what became of its claim."""
        self.resolution.on_owner_response(now, response)

    def statistics(self) -> dict[str, int]:
        """Figures for operators."""
        return {**self._calls.statistics(), "under_way": self._jobs.open_count()}
