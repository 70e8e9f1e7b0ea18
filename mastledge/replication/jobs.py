"""Jobs with a key at the dispatcher that received them, which is the owner of their claims."""

from collections.abc import Callable
from enum import Enum, auto

import msgspec

from mastledge.idempotency import verdicts
from mastledge.replication.messages import format_claim_name
from mastledge.replication.outputs import JobVerdict, Verdict
from mastledge.replication.quorum import CompleteCall, NumberSequence, QuorumCall, QuorumCalls


class JobPhase(Enum):
    """Phase of a job with a key."""

    CLAIMING = auto()  # the replicas have been asked for a grant
    CLAIMED = auto()  # the key is granted: the job may be launched, or runs
    COMPLETING = auto()  # the outcome is being distributed to the replicas
    ENDED = auto()
    AWAITING_CLAIM = auto()  # another job's claim on the key is under way
    WAITING = auto()  # for its next claim, or until a quorum has stored the answer that it will get


OPEN_PHASES = frozenset((JobPhase.CLAIMING, JobPhase.CLAIMED, JobPhase.COMPLETING))


class RemoteListener(msgspec.Struct, frozen=True):
    """Another dispatcher that has asked for the outcome of a claim."""

    dispatcher: str
    call_id: int
    claim_name: str


class KeyedJob:
    """One job with a key, from its arrival until its outcome expires. Times are microseconds."""

    __slots__ = (
        "job_id",
        "scoped_key",
        "fingerprint",
        "deadline",
        "phase",
        "claim_name",
        "claim_count",
        "released_claims",
        "call",
        "listeners",
        "answered",
        "status",
        "content",
        "awaited_claim",
        "last_read_at",
        "read_call",
        "is_closed",
    )

    def __init__(self, job_id: int, scoped_key: tuple[str, bytes], fingerprint: bytes, deadline: int):
        """Start in phase CLAIMING; `deadline` is the end of the walltime."""
        self.job_id, self.scoped_key, self.fingerprint = job_id, scoped_key, fingerprint
        self.deadline, self.phase = deadline, JobPhase.CLAIMING
        self.claim_name, self.claim_count = "", 0
        self.released_claims: list[str] = []  # claims of other jobs that this job has waited for
        self.call: QuorumCall | None = None
        self.listeners: list[KeyedJob | RemoteListener] = []  # waiting for the outcome of its claim
        self.answered, self.status = False, 0
        self.content: bytes | None = None  # None if only the replicas have the answer
        self.awaited_claim, self.last_read_at = "", 0
        self.read_call: QuorumCall | None = None
        self.is_closed = False  # the host has the verdict, or no longer needs one


class ClaimNames:
    """Generates names for the claims of one incarnation of a dispatcher."""

    def __init__(self, owner: str, incarnation: str, sequence: NumberSequence):
        """Number the claims by `sequence`."""
        self.owner, self.incarnation, self._sequence = owner, incarnation, sequence

    def next(self) -> str:
        """Return a new, unique claim name."""
        return format_claim_name(self.owner, self.incarnation, self._sequence.next())


class JobTable:
    """The jobs that wait for a verdict, and the claims made here until their release or end of retention."""

    def __init__(self, calls: QuorumCalls, report: Callable[[JobVerdict], None]):
        """Start without jobs; `report(JobVerdict)` reports a verdict to the host."""
        self._calls, self._report = calls, report
        self._open: dict[int, KeyedJob] = {}
        self._by_claim: dict[str, KeyedJob] = {}
        self._by_key: dict[tuple[str, bytes], KeyedJob] = {}

    def open_count(self) -> int:
        """Return how many jobs wait for a verdict."""
        return len(self._open)

    def add(self, job: KeyedJob) -> None:
        """Add a job that waits for a verdict."""
        self._open[job.job_id] = job

    def get(self, job_id: int) -> KeyedJob | None:
        """Return the job, or None if it does not wait for a verdict."""
        return self._open.get(job_id)

    def add_claim(self, job: KeyedJob) -> None:
        """Register the job's claim as the current claim of its key at this dispatcher."""
        self._by_claim[job.claim_name] = self._by_key[job.scoped_key] = job

    def remove_claim(self, job: KeyedJob) -> None:
        """Remove the job's claim; it is unknown from now on."""
        self._by_claim.pop(job.claim_name, None)
        if self._by_key.get(job.scoped_key) is job:
            del self._by_key[job.scoped_key]

    def with_claim(self, claim_name: str) -> KeyedJob | None:
        """Return the job that made the claim, or None if the claim is unknown."""
        return self._by_claim.get(claim_name)

    def claimant(self, scoped_key: tuple[str, bytes]) -> KeyedJob | None:
        """Return the job whose claim is the current one of the key, or None."""
        return self._by_key.get(scoped_key)

    def grant(self, job: KeyedJob) -> None:
        """Report that the job may be launched."""
        if not job.is_closed:
            self._report(JobVerdict(job.job_id, Verdict.GRANTED))

    def reply(self, job: KeyedJob, verdict: Verdict, status: int = 0, content: bytes = b"") -> None:
        """Report the final verdict on a job that is not launched, and close the job."""
        if not job.is_closed:
            self._report(JobVerdict(job.job_id, verdict, status, content))
        self.close(job)

    def refuse(self, job: KeyedJob, reason: verdicts.Verdict) -> None:
        """Report that the request is refused, with the HTTP status and body for the reason."""
        self.reply(job, Verdict.REFUSED, verdicts.HTTP_STATUS[reason], verdicts.EXPLANATION[reason].encode())

    def finish(self, job: KeyedJob, verdict: Verdict) -> None:
        """Report, once, whether the outcome of a launched job is replicated."""
        if not job.is_closed:
            job.is_closed = True
            self._open.pop(job.job_id, None)
            self._report(JobVerdict(job.job_id, verdict, job.status, job.content or b""))

    def close(self, job: KeyedJob) -> None:
        """Close the job: no verdict is reported any more, but its outcome is still distributed."""
        job.is_closed = True
        self._open.pop(job.job_id, None)
        for call in (job.call, job.read_call):
            if call is not None and not isinstance(call, CompleteCall):
                self._calls.close(call)
