"""Jobs with a key at the dispatcher that they came to, which is the owner of their claims."""

from collections.abc import Callable
from enum import Enum, auto

import msgspec

from mastledge.idempotency import verdicts
from mastledge.replication.messages import format_claim_name
from mastledge.replication.outputs import JobVerdict, Verdict
from mastledge.replication.quorum import CompleteCall, QuorumCall, QuorumCalls, Sequence


class JobPhase(Enum):
    """How far a job has got."""

    CLAIMING = auto()  # its claim is at the replicas
    CLAIMED = auto()  # it may be launched, or runs
    COMPLETING = auto()  # its outcome is at the replicas
    ENDED = auto()
    AWAITING_CLAIM = auto()  # another job's claim on the key is under way
    WAITING = auto()  # for its next claim, or until a quorum has the answer that it is to get


OUTCOME_IS_OPEN = frozenset((JobPhase.CLAIMING, JobPhase.CLAIMED, JobPhase.COMPLETING))


class RemoteListener(msgspec.Struct, frozen=True):
    """Another dispatcher that has asked what a claim came to."""

    dispatcher: str
    call_id: int
    claim_name: str


class KeyedJob:
    """One job with a key, from its arrival until nobody can ask for it any more. Times are microseconds."""

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
        """`deadline` is the end of its walltime."""
        self.job_id, self.scoped_key, self.fingerprint = job_id, scoped_key, fingerprint
        self.deadline, self.phase = deadline, JobPhase.CLAIMING
        self.claim_name, self.claim_count = "", 0
        self.released_claims: list[str] = []  # others' claims that this job has waited for
        self.call: QuorumCall | None = None
        self.listeners: list[KeyedJob | RemoteListener] = []  # who waits for what its claim comes to
        self.answered, self.status = False, 0
        self.content: bytes | None = None  # None where replicas alone have it
        self.awaited_claim, self.last_read_at = "", 0
        self.read_call: QuorumCall | None = None
        self.is_closed = False  # the host has its verdict, or does not want one any more


class ClaimNames:
    """Names for the claims of one incarnation of a dispatcher."""

    def __init__(self, owner: str, incarnation: str, sequence: Sequence):
        """`sequence` numbers the claims."""
        self.owner, self.incarnation, self._sequence = owner, incarnation, sequence

    def next(self) -> str:
        """A name that no other claim has."""
        return format_claim_name(self.owner, self.incarnation, self._sequence.next())


class JobTable:
    """The jobs that wait for a verdict, and the claims whose outcome is known here."""

    def __init__(self, calls: QuorumCalls, report: Callable[[JobVerdict], None]):
        """`report(JobVerdict)` tells the host."""
        self._calls, self._report = calls, report
        self._open: dict[int, KeyedJob] = {}
        self._by_claim: dict[str, KeyedJob] = {}
        self._by_key: dict[tuple[str, bytes], KeyedJob] = {}

    def open_count(self) -> int:
        """How many jobs wait for a verdict."""
        return len(self._open)

    def add(self, job: KeyedJob) -> None:
        """Takes up a job."""
        self._open[job.job_id] = job

    def get(self, job_id: int) -> KeyedJob | None:
        """The job, while it waits for a verdict."""
        return self._open.get(job_id)

    def add_claim(self, job: KeyedJob) -> None:
        """The job's claim is now the one of its key at this dispatcher."""
        self._by_claim[job.claim_name] = self._by_key[job.scoped_key] = job

    def remove_claim(self, job: KeyedJob) -> None:
        """The job's claim is unknown from here on."""
        self._by_claim.pop(job.claim_name, None)
        if self._by_key.get(job.scoped_key) is job:
            del self._by_key[job.scoped_key]

    def with_claim(self, claim_name: str) -> KeyedJob | None:
        """The job that made a claim."""
        return self._by_claim.get(claim_name)

    def claimant(self, scoped_key: tuple[str, bytes]) -> KeyedJob | None:
        """The job whose claim is the one of the key."""
        return self._by_key.get(scoped_key)

    def grant(self, job: KeyedJob) -> None:
        """Tells the host that the job may be launched."""
        if not job.is_closed:
            self._report(JobVerdict(job.job_id, Verdict.GRANTED))

    def reply(self, job: KeyedJob, verdict: Verdict, status: int = 0, content: bytes = b"") -> None:
        """Tells the host the last verdict on a job that is not launched."""
        if not job.is_closed:
            self._report(JobVerdict(job.job_id, verdict, status, content))
        self.close(job)

    def refuse(self, job: KeyedJob, reason: verdicts.Verdict) -> None:
        """Tells the host that the request is wrong."""
        self.reply(job, Verdict.REFUSED, verdicts.HTTP_STATUS[reason], verdicts.EXPLANATION[reason].encode())

    def finish(self, job: KeyedJob, verdict: Verdict) -> None:
        """Tells the host once whether the outcome of a launched job is replicated."""
        if not job.is_closed:
            job.is_closed = True
            self._open.pop(job.job_id, None)
            self._report(JobVerdict(job.job_id, verdict, job.status, job.content or b""))

    def close(self, job: KeyedJob) -> None:
        """The host wants no verdict any more; an outcome is distributed on."""
        job.is_closed = True
        self._open.pop(job.job_id, None)
        for call in (job.call, job.read_call):
            if call is not None and not isinstance(call, CompleteCall):
                self._calls.close(call)
