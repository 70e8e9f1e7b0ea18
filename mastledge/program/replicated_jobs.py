"""Jobs whose idempotency keys are replicated, from the request of the client to its answer.

A quorum of the key's replicas has the claim before the job is passed to the scheduler, and has the outcome
before the client gets its answer.
"""

from collections import Counter
from collections.abc import Callable, Generator

from mastledge.idempotency import verdicts
from mastledge.idempotency.keyed_request import request_fingerprint
from mastledge.program.keyed_job import KILLED_REPLY, REJECTED_REPLY, Reply, rejection, replay
from mastledge.program.keyed_service import ANSWER_MARGIN_US, KeyedService
from mastledge.protocol import events, http
from mastledge.protocol.requests import COMPLETED, REJECTED, Exchange
from mastledge.replication.inputs import ClientLeft, Input, JobEnded, JobOutcome, Offer
from mastledge.replication.outputs import JobVerdict, Verdict
from mastledge.transport.connection import Connection
from mastledge.transport.loop import Coroutine, Task

OUTCOME_OF_STATUS = {COMPLETED: JobOutcome.ANSWERED, REJECTED: JobOutcome.RELEASED}


class _Job:
    """A job, and the connection of its client while the client waits.

    The exchange refers to the job. The job does not refer to the exchange, as that would form a reference
    cycle.
    """

    __slots__ = ("job_id", "conn", "task", "is_launched")

    def __init__(self, job_id: int, conn: Connection):
        self.job_id = job_id
        self.conn: Connection | None = conn
        self.task: Task | None = None  # the coroutine that runs the job
        self.is_launched = False  # whether the job was passed to the scheduler

    def client_left(self) -> bool:
        return self.conn is None or http.has_disconnected(self.conn)


class ReplicatedJobs:
    """Runs the keyed jobs of the clients of this dispatcher."""

    def __init__(
        self,
        service: KeyedService,
        handle: Callable[[Input], None],
        count_under_way: Callable[[int], None],
    ):
        """Take `handle`, which passes an input to the node.

        `count_under_way` takes each change of the number of running jobs.
        """
        self._service, self._loop = service, service.loop
        self._handle, self._count_under_way = handle, count_under_way
        self._jobs: dict[int, _Job] = {}
        self._last_id = 0
        self.verdict_counts: Counter[Verdict] = Counter()

    def on_verdict(self, job_verdict: JobVerdict) -> None:
        """Wake a job with the verdict of the node."""
        self.verdict_counts[job_verdict.verdict] += 1
        job = self._jobs.get(job_verdict.job_id)
        if job is not None:
            self._loop.wake(job.task, job_verdict)

    def run(
        self, conn: Connection, exchange: Exchange, arrival: tuple
    ) -> Generator[tuple, object, Reply | None]:
        """Return the reply to a job, or None if its client has left.

        `arrival`: the fields of the job that the scheduler takes.
        """
        self._last_id += 1
        job = self._jobs[self._last_id] = _Job(self._last_id, conn)
        # Counted before the task starts, so that the directory is not released in between.
        self._count_under_way(1)
        job.task = self._loop.spawn(self._run_to_end(job, exchange, arrival))
        exchange.disconnect_check = job.client_left
        try:
            reply = yield from self._service.program.listener.jobs.wait_for_answer(conn, exchange.until)
        finally:
            job.conn = None
        if reply:
            return reply
        self._abandon(job, exchange)
        return None if reply is None else KILLED_REPLY

    def _abandon(self, job: _Job, exchange: Exchange) -> None:
        """Handle that the client of a job no longer waits."""
        if job.is_launched:
            # If the job ends without an outcome, the requests that wait for its claim, on any dispatcher,
            # claim the key again.
            self._service.inbox.put(events.ClientLeft(exchange))
        elif job.job_id in self._jobs:
            # Not launched yet, so the job can be dropped.
            self._handle(ClientLeft(job.job_id))
            self._loop.cancel(job.task)

    def _run_to_end(self, job: _Job, exchange: Exchange, arrival: tuple) -> Coroutine:
        """Run a job to its end even if its client leaves, and wake the client, if it still waits."""
        try:
            reply = yield from self._claim_and_launch(job, exchange, arrival)
            if job.conn is not None:
                self._loop.wake(job.conn.owner, reply)
        finally:
            del self._jobs[job.job_id]
            job.is_launched = False
            self._count_under_way(-1)

    def _claim_and_launch(
        self, job: _Job, exchange: Exchange, arrival: tuple
    ) -> Generator[tuple, object, Reply]:
        remaining_us = exchange.until - self._loop.now()
        fingerprint = request_fingerprint(exchange.target, exchange.body)
        self._handle(Offer(job.job_id, exchange.tenant, exchange.key, fingerprint, remaining_us))
        job_verdict = yield (-1, 0, exchange.until + ANSWER_MARGIN_US)
        if not isinstance(job_verdict, JobVerdict):
            self._handle(ClientLeft(job.job_id))
            return KILLED_REPLY
        if job_verdict.verdict is not Verdict.GRANTED:
            return _reply_without_launch(job_verdict)
        if self._loop.now() >= exchange.until or exchange.client_has_disconnected():
            self._handle(JobEnded(job.job_id, JobOutcome.RELEASED))
            return REJECTED_REPLY
        return (yield from self._launch(job, exchange, arrival))

    def _launch(self, job: _Job, exchange: Exchange, arrival: tuple) -> Generator[tuple, object, Reply]:
        """Pass the job to the scheduler, and its outcome to the replicas."""
        job.is_launched = True
        reply = yield from self._service.schedule_job(job.task, exchange, arrival)
        outcome = OUTCOME_OF_STATUS.get(reply.status, JobOutcome.UNSURE)
        is_answered = outcome is JobOutcome.ANSWERED
        self._handle(JobEnded(job.job_id, outcome, reply.status, reply.content if is_answered else b""))
        job_verdict = yield (-1, 0, max(exchange.until, self._loop.now()) + ANSWER_MARGIN_US)
        is_replicated = isinstance(job_verdict, JobVerdict) and job_verdict.verdict is Verdict.REPLICATED
        if is_answered and not is_replicated:
            # No quorum has stored the answer, so a retry could get another answer: the job may have run.
            return KILLED_REPLY
        return reply


def _reply_without_launch(job_verdict: JobVerdict) -> Reply:
    """Return the reply to a job that was not granted the claim of its key."""
    if job_verdict.verdict is Verdict.ANSWERED:
        return replay(job_verdict.status, job_verdict.content)
    if job_verdict.verdict is Verdict.UNSURE:
        return rejection(verdicts.Verdict.MAY_HAVE_RUN)
    if job_verdict.verdict is Verdict.REFUSED:
        return Reply(job_verdict.status, [], job_verdict.content)
    return rejection(verdicts.Verdict.FULL)
