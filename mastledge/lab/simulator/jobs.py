"""What is on its way in the simulator: attempts of clients, their launches at workers, and replies."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastledge.lab.scenario import QueueType
    from mastledge.lab.simulator.worker import SimulatedWorker


@dataclass(frozen=True, slots=True)
class Reply:
    """What a dispatcher answers to an attempt; `hold_off_us` is its Retry-After, 0 for none."""

    status: int
    hold_off_us: int = 0
    content: str = ""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a client at one dispatcher. Times are microseconds of the simulation."""

    client: int
    number: int  # among the attempts of its client, from 0
    name: str
    key: str  # "" without one
    queue_type: QueueType
    dispatcher: str
    sent_at: int = 0
    arrived_at: int = 0
    deadline: int = 0
    is_open: bool = True  # the dispatcher still owes a reply
    job_id: int | None = None  # of the scheduler, once that has it
    claim_id: int = 0  # of its key, 0 without one
    launches: list[Launch] = field(default_factory=list)
    reply: Reply | None = None  # waits until its outcome is replicated


@dataclass(slots=True, eq=False)
class Launch:
    """One launch of a job at a worker. Times are microseconds of the simulation."""

    attempt: Attempt
    number: int  # among the launches of its attempt, from 0
    worker: SimulatedWorker
    worker_started_at: int  # the incarnation of the worker that it was decided for
    dispatcher_incarnation: int  # of the dispatcher that decided it
    launched_at: int
    send_by: int
    is_sent: bool = False
    is_ended: bool = False
    trouble: str = ""  # what it met at its worker, a kind of `lab.faults`
