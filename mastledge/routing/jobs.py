"""Jobs and launches as the router holds them. All times are microseconds of the monotonic clock."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from mastledge.protocol.requests import Exchange
from mastledge.protocol.worker_endpoint import WorkerEndpoint


class JobEnd(StrEnum):
    """How a job was closed; the values appear in the log."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    KILLED = "killed"
    ABANDONED = "abandoned"
    HANDED_OFF = "handed_on"


class Job:
    """A job from its arrival until it is closed and its last launch has ended."""

    __slots__ = ("id", "exchange", "launches", "in_flight", "arrived_at")

    def __init__(self, job_id: int, exchange: Exchange, now: int) -> None:
        """Create a job that has just arrived; `exchange` sends the answer to its client."""
        self.id, self.exchange, self.arrived_at = job_id, exchange, now
        self.launches: list[Launch] = []
        self.in_flight = 0  # number of launches that have not ended


class Launch:
    """A launch as the router holds it; the scheduler names it by job id and number within that job."""

    __slots__ = (
        "job",
        "number",
        "endpoint",
        "task",
        "name",
        "sent",
        "created_at",
        "started_at",
        "ended",
        "conn",
        "headed",
        "send_by",
    )

    def __init__(self, job: Job, endpoint: WorkerEndpoint, now: int) -> None:
        """Create the next launch of a job; nothing of it is sent yet."""
        self.job, self.number, self.endpoint = job, len(job.launches), endpoint
        self.name, self.created_at, self.send_by = job.exchange.name, now, job.exchange.until
        self.task, self.started_at, self.ended = None, None, False
        # Set by the worker connection: request sent, its connection, head of the answer read.
        self.sent, self.conn, self.headed = False, None, False


class JobTable:
    """Holds all jobs that are open or have a launch in flight, and counts how earlier ones were closed."""

    def __init__(self, log: Callable[..., None]) -> None:
        """Create an empty table; `log(event, **fields)` writes a line for each job that is closed."""
        self.by_id: dict[int, Job] = {}
        self.count = 0  # of jobs that arrived; the last job id
        self.totals = {end.value: 0 for end in JobEnd}
        self._log = log

    def add(self, exchange: Exchange, now: int) -> Job:
        """Create the job for an exchange that has just arrived."""
        self.count += 1
        job = exchange.job = self.by_id[self.count] = Job(self.count, exchange, now)
        return job

    def find(self, exchange: Exchange) -> Job | None:
        """Return the job of an exchange, or None once it was discarded."""
        job: Any = exchange.job
        return job if job is not None and job.id in self.by_id else None

    def record_end(self, job: Job, end: JobEnd, now: int) -> None:
        """Count and log a job that is closed."""
        self.totals[end] += 1
        last = job.launches[-1] if job.launches else None
        self._log(
            "job_finished",
            job=job.exchange.name,
            type=job.exchange.kind,
            how=end,
            ms=(now - job.arrived_at) / 1000,
            launches=len(job.launches),
            worker=last and last.endpoint.id,
            waited=last and last.started_at and (last.started_at - job.arrived_at) / 1000,
        )

    def discard_if_over(self, job: Job) -> None:
        """Discard a job that is closed and has no launch in flight."""
        if not job.in_flight and not job.exchange.open:
            self.by_id.pop(job.id, None)
