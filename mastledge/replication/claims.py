"""Claims of this dispatcher's jobs: how they are made, granted, refused and released."""

from collections.abc import Callable, Mapping

from mastledge.replication.jobs import JobPhase, KeyedJob
from mastledge.replication.listeners import RELEASED, ClaimListeners
from mastledge.replication.messages import ReplicaResponse, ReplicaResult
from mastledge.replication.quorum import (
    MAX_RETRY_INTERVAL_US,
    ClaimCall,
    ReleaseCall,
)
from mastledge.replication.services import CoordinatorServices

QUORUM_TIMEOUT_US = 300_000  # unless the job's walltime ends earlier
# Results that count without a quorum: the replica knows an answer, or it accepts no claim.
RESULTS_VALID_ALONE = frozenset((ReplicaResult.ANSWERED, ReplicaResult.FULL, ReplicaResult.DISK_FAILED))


class Claims:
    """Makes and releases claims. Times are microseconds."""

    def __init__(
        self,
        services: CoordinatorServices,
        listeners: ClaimListeners,
        on_refused: Callable[[int, KeyedJob, Mapping[str, ReplicaResponse]], None],
    ):
        """Set `on_refused(now, job, responses)`, which decides on a job without a quorum of grants."""
        self._names, self._jobs, self._calls = services.names, services.jobs, services.calls
        self._listeners, self._on_refused = listeners, on_refused

    def make(self, now: int, job: KeyedJob) -> None:
        """Make a new claim on the job's key and send it to the replicas."""
        job.claim_count += 1
        job.phase, job.claim_name = JobPhase.CLAIMING, self._names.next()
        self._jobs.add_claim(job)
        deadline = min(now + QUORUM_TIMEOUT_US, job.deadline)
        job.call = self._calls.start(now, ClaimCall(job, deadline, self._on_granted, self._on_not_granted))

    def release(self, now: int, job: KeyedJob, on_end: Callable | None = None) -> ReleaseCall:
        """Release the job's claim, with retries for as long as a replica may keep the claim."""
        self._jobs.remove_claim(job)
        return self._calls.start(now, ReleaseCall(job, job.deadline + MAX_RETRY_INTERVAL_US, on_end))

    def abandon(self, now: int, job: KeyedJob) -> None:
        """Release the claim of a job that is not launched, and notify the listeners of the claim."""
        self.release(now, job)
        self._listeners.notify(now, job, RELEASED)

    def _on_granted(self, now: int, call: ClaimCall) -> None:
        call.job.phase = JobPhase.CLAIMED
        # The other replicas need not grant the claim any more; they get the outcome later.
        self._calls.close(call)
        self._jobs.grant(call.job)

    def _on_not_granted(self, now: int, call: ClaimCall) -> None:
        """Decide by the records of the replicas that refused, as no quorum has granted the claim in time."""
        self._calls.close(call)
        self.abandon(now, call.job)
        responses = call.rejected
        if not call.replicas.is_quorum(call.responded):
            # A record that only a minority has may belong to a claim that no quorum granted, but an answer is
            # always valid.
            responses = {
                name: response
                for name, response in responses.items()
                if response.result in RESULTS_VALID_ALONE
            }
        self._on_refused(now, call.job, responses)
