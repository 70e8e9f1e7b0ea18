"""Which role a member has, who leads, and what is known of that leader."""

from typing import TYPE_CHECKING

from mastledge.consensus.clock import MemberClock
from mastledge.consensus.outbox import Outbox
from mastledge.consensus.proposals import Proposals
from mastledge.consensus.raft_state import RaftState
from mastledge.consensus.roles import Role

if TYPE_CHECKING:
    from mastledge.consensus.leader import Leadership


class Candidacy:
    """What there is only while a member campaigns."""

    def __init__(self, pre_vote: bool, write_token: int):
        """Begin without votes; an own vote counts once the write of that token is on disk."""
        self.pre_vote, self.write_token = pre_vote, write_token
        self.votes: dict[str, int] = {}  # 1 for each member that would vote, or votes, for this one


class LeaderContact:
    """When the leader was heard last, and by whom. Times are microseconds."""

    def __init__(self):
        """Begin without a leader."""
        self.heard_at = 0
        self.leader_time = 0  # of the leader's clock
        self.sender: str | None = None  # the leader itself, or a relay

    def record(self, now: int, leader_time: int, sender: str) -> None:
        """The leader was heard."""
        self.heard_at, self.leader_time, self.sender = now, leader_time, sender

    def forget_sender(self) -> None:
        """Whoever told of the leader is spoken to no more."""
        self.sender = None


class RoleState:
    """The role follows from what there is: a leadership, a candidacy, or neither."""

    def __init__(self, clock: MemberClock, outbox: Outbox, state: RaftState, proposals: Proposals):
        """Begin as a follower without a leader."""
        self.clock, self.outbox, self.state, self.proposals = clock, outbox, state, proposals
        self.leader: str | None = None
        self.candidacy: Candidacy | None = None
        self.leadership: Leadership | None = None
        self.contact = LeaderContact()

    @property
    def role(self) -> Role:
        """Raft's role."""
        if self.leadership is not None:
            return Role.LEADER
        return Role.CANDIDATE if self.candidacy is not None else Role.FOLLOWER

    def forget_leader(self) -> None:
        """Another fleet begins, in which nobody leads yet."""
        self.leader = None

    def is_follower(self) -> bool:
        """Return whether this member follows, a known leader or not."""
        return self.leadership is None and self.candidacy is None

    def raise_term(self, term: int) -> None:
        """Another member is in this term; a later one than the own is entered."""
        if term > self.state.term:
            self.become_follower(term, None)

    def become_follower(self, term: int, leader: str | None) -> None:
        """Follow a leader, or nobody, in a term that is not before the own."""
        if term > self.state.term:
            self.state.set_hard_state(term, "")
        if self.leadership is not None:
            self.outbox.log_event("lost_leadership", term=self.state.term)
        if leader is not None and leader != self.leader:
            self.proposals.retry_now(self.clock.now)
        self.leader, self.candidacy, self.leadership = leader, None, None

    def step_down(self) -> None:
        """Follow nobody, in the own term."""
        self.become_follower(self.state.term, None)

    def step_down_if_active(self) -> None:
        """Follow nobody, where this member leads or campaigns."""
        if not self.is_follower():
            self.step_down()

    def become_candidate(self, candidacy: Candidacy) -> None:
        """Campaign."""
        self.leader, self.candidacy, self.leadership = None, candidacy, None

    def become_leader(self, leadership: "Leadership") -> None:
        """Lead."""
        self.leader, self.candidacy, self.leadership = self.state.name, None, leadership
