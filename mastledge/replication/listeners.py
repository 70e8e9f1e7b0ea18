"""Notification of jobs and dispatchers that wait for the outcome of this dispatcher's claims."""

from collections.abc import Callable

import msgspec

from mastledge.replication.errors import ClaimNameError
from mastledge.replication.jobs import (
    OPEN_PHASES,
    KeyedJob,
    RemoteListener,
)
from mastledge.replication.messages import (
    ClaimStatus,
    OwnerQuery,
    OwnerResponse,
    parse_claim_name,
)
from mastledge.replication.services import CoordinatorServices


class ClaimOutcome(msgspec.Struct, frozen=True, gc=False):
    """Outcome of a claim; `status` and `content` are an HTTP status and a body if it is answered."""

    claim_status: ClaimStatus
    status: int = 0
    content: bytes = b""


RELEASED = ClaimOutcome(ClaimStatus.RELEASED)
UNSURE = ClaimOutcome(ClaimStatus.UNSURE)
UNKNOWN = ClaimOutcome(ClaimStatus.UNKNOWN)
READ_REPLICAS = ClaimOutcome(ClaimStatus.READ_REPLICAS)


def outcome_of(job: KeyedJob) -> ClaimOutcome:
    """Return the outcome of a claim whose job has ended."""
    if not job.answered:
        return UNSURE
    if job.content is None:
        return READ_REPLICAS
    return ClaimOutcome(ClaimStatus.ANSWERED, job.status, job.content)


class ClaimListeners:
    """Answers queries about claims: at once, or when the claim has an outcome."""

    def __init__(self, services: CoordinatorServices, resolve: Callable[[int, KeyedJob, ClaimOutcome], None]):
        """Set the callback `resolve(now, job, outcome)` that answers a waiting job of this dispatcher."""
        self._names, self._jobs, self._send = services.names, services.jobs, services.send
        self._resolve = resolve

    def on_query(self, now: int, sender: str, query: OwnerQuery) -> None:
        """Answer the query of another dispatcher; ignore a query with a malformed claim name."""
        try:
            owner, incarnation = parse_claim_name(query.claim_name)
        except ClaimNameError:
            return
        listener = RemoteListener(sender, query.call_id, query.claim_name)
        job = self._jobs.with_claim(query.claim_name)
        if job is None:
            # Claims of this incarnation are known until they are released; those of earlier ones are not.
            is_own = owner == self._names.owner and incarnation == self._names.incarnation
            self._respond(listener, RELEASED if is_own else UNKNOWN)
        elif job.phase not in OPEN_PHASES:
            self._respond(listener, outcome_of(job))
        elif listener not in job.listeners:
            job.listeners.append(listener)

    def notify(self, now: int, job: KeyedJob, outcome: ClaimOutcome) -> None:
        """Send the outcome to all listeners of this job's claim."""
        listeners, job.listeners = job.listeners, []
        for listener in listeners:
            if isinstance(listener, RemoteListener):
                self._respond(listener, outcome)
            else:
                self._resolve(now, listener, outcome)

    def _respond(self, listener: RemoteListener, outcome: ClaimOutcome) -> None:
        self._send(
            listener.dispatcher,
            OwnerResponse(
                listener.call_id,
                listener.claim_name,
                outcome.claim_status,
                outcome.status,
                outcome.content,
            ),
        )
