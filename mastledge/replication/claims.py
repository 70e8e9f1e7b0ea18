"""Claims of this dispatcher's jobs: made, granted or refused, and given back."""

from collections.abc import Callable, Mapping

from mastledge.replication.jobs import JobPhase, KeyedJob
from mastledge.replication.listeners import RELEASED, ClaimListeners
from mastledge.replication.messages import ReplicaResponse, ReplicaResult
from mastledge.replication.quorum import (
    LONGEST_RETRY_US,
    ClaimCall,
    ReleaseCall,
)
from mastledge.replication.services import CoordinatorServices

QUORUM_TIMEOUT_US = 300_000  # where the job's walltime is not over before
# What a replica alone may say: that it knows an answer, or that it takes nothing.
CERTAIN_ALONE = frozenset((ReplicaResult.ANSWERED, ReplicaResult.FULL, ReplicaResult.DISK_FAILED))


class Claims:
    """Makes claims and gives them back. Times are microseconds."""

    def __init__(
        self,
        services: CoordinatorServices,
        listeners: ClaimListeners,
        on_refused: Callable[[int, KeyedJob, Mapping[str, ReplicaResponse]], None],
    ):
        """`on_refused(now, job, responses)` decides on a job that no quorum has granted its key."""
        self._names, self._jobs, self._calls = services.names, services.jobs, services.calls
        self._listeners, self._on_refused = listeners, on_refused

    def make(self, now: int, job: KeyedJob) -> None:
        """Asks the replicas for the job's key, under a new claim."""
        job.claim_count += 1
        job.phase, job.claim_name = JobPhase.CLAIMING, self._names.next()
        self._jobs.add_claim(job)
        deadline = min(now + QUORUM_TIMEOUT_US, job.deadline)
        job.call = self._calls.start(now, ClaimCall(job, deadline, self._on_granted, self._on_not_granted))

    def release(self, now: int, job: KeyedJob, on_end: Callable | None = None) -> ReleaseCall:
        """Gives the job's claim back: no replica keeps it for longer than the release can be repeated."""
        self._jobs.remove_claim(job)
        return self._calls.start(now, ReleaseCall(job, job.deadline + LONGEST_RETRY_US, on_end))

    def abandon(self, now: int, job: KeyedJob) -> None:
        """Gives the claim of a job back that is not launched, and tells who waits for it."""
        self.release(now, job)
        self._listeners.notify(now, job, RELEASED)

    def _on_granted(self, now: int, call: ClaimCall) -> None:
        call.job.phase = JobPhase.CLAIMED
        # Who has not answered need not grant it any more, and hears of the outcome.
        self._calls.close(call)
        self._jobs.grant(call.job)

    def _on_not_granted(self, now: int, call: ClaimCall) -> None:
        """No quorum is possible, or none in time: the records of who refused decide."""
        self._calls.close(call)
        self.abandon(now, call.job)
        responses = call.rejected
        if not call.replicas.is_quorum(call.responded):
            # What a minority knows may be of a claim that was never granted. An answer always counts.
            responses = {
                name: response for name, response in responses.items() if response.result in CERTAIN_ALONE
            }
        self._on_refused(now, call.job, responses)
