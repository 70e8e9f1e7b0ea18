"""What the parts of a coordinator use in common; each field is owned by its own class."""

from collections.abc import Callable
from dataclasses import dataclass

from mastledge.replication.jobs import ClaimNames, JobTable
from mastledge.replication.messages import Message
from mastledge.replication.quorum import QuorumCalls
from mastledge.replication.timers import Jitter, Timers


@dataclass(frozen=True, slots=True)
class CoordinatorServices:
    """`send(recipient, message)` sends to a dispatcher, this one included."""

    names: ClaimNames
    jobs: JobTable
    calls: QuorumCalls
    timers: Timers
    jitter: Jitter
    send: Callable[[str, Message], None]
