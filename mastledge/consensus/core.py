"""What every part of a member is handed."""

from dataclasses import dataclass

from mastledge.consensus.clock import MemberClock
from mastledge.consensus.outbox import Outbox, Persistence
from mastledge.consensus.raft_state import RaftState
from mastledge.consensus.role_state import RoleState


@dataclass(frozen=True, slots=True)
class Core:
    """The time of the step, its outputs, the disk, raft's state, and the role."""

    clock: MemberClock
    outbox: Outbox
    persistence: Persistence
    state: RaftState
    roles: RoleState
