"""The state that all parts of a member share."""

from dataclasses import dataclass

from mastledge.consensus.clock import MemberClock
from mastledge.consensus.outbox import Outbox, Persistence
from mastledge.consensus.raft_state import RaftState
from mastledge.consensus.role_state import RoleState


@dataclass(frozen=True, slots=True)
class Core:
    """The clock, the outputs of the step, persistence, raft state and role."""

    clock: MemberClock
    outbox: Outbox
    persistence: Persistence
    state: RaftState
    roles: RoleState
