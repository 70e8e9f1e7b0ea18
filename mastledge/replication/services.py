"""Services that the parts of a coordinator share."""

from collections.abc import Callable
from dataclasses import dataclass

from mastledge.replication.jobs import ClaimNames, JobTable
from mastledge.replication.messages import Message
from mastledge.replication.quorum import QuorumCalls
from mastledge.replication.timers import Jitter, Timers


@dataclass(frozen=True, slots=True)
class CoordinatorServices:
    """Shared services; `send(recipient, message)` sends to any dispatcher, including this one."""

    names: ClaimNames
    jobs: JobTable
    calls: QuorumCalls
    timers: Timers
    jitter: Jitter
    send: Callable[[str, Message], None]
