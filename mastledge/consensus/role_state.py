"""The role of a member, the current leader, and the last contact with it."""

from typing import TYPE_CHECKING

from mastledge.consensus.clock import MemberClock
from mastledge.consensus.outbox import Outbox
from mastledge.consensus.proposals import Proposals
from mastledge.consensus.raft_state import RaftState
from mastledge.consensus.roles import Role

if TYPE_CHECKING:
    from mastledge.consensus.leader import Leadership


class Candidacy:
    """The state of a candidate; it exists only during a campaign."""

    def __init__(self, pre_vote: bool, write_token: int):
        """Initialize without votes; the candidate's own vote counts once write `write_token` is on disk."""
        self.pre_vote, self.write_token = pre_vote, write_token
        self.votes: dict[str, int] = {}  # by member: 1 for a granted vote or pre-vote


class LeaderContact:
    """Time and sender of the leader's last message. Times are microseconds."""

    def __init__(self):
        """Initialize without a contact."""
        self.heard_at = 0
        self.leader_time = 0  # on the leader's clock
        self.sender: str | None = None  # the leader or a relay

    def record(self, now: int, leader_time: int, sender: str) -> None:
        """Record a message from the leader, directly or through a relay."""
        self.heard_at, self.leader_time, self.sender = now, leader_time, sender

    def forget_sender(self) -> None:
        """Forget the sender, which gets no further responses."""
        self.sender = None


class RoleState:
    """The role of a member: leader with a leadership, candidate with a candidacy, otherwise follower."""

    def __init__(self, clock: MemberClock, outbox: Outbox, state: RaftState, proposals: Proposals):
        """Initialize as a follower without a leader."""
        self.clock, self.outbox, self.state, self.proposals = clock, outbox, state, proposals
        self.leader: str | None = None
        self.candidacy: Candidacy | None = None
        self.leadership: Leadership | None = None
        self.leader_contact = LeaderContact()

    @property
    def role(self) -> Role:
        """The raft role of the member."""
        if self.leadership is not None:
            return Role.LEADER
        return Role.CANDIDATE if self.candidacy is not None else Role.FOLLOWER

    def forget_leader(self) -> None:
        """Clear the leader, as another fleet begins."""
        self.leader = None

    def is_follower(self) -> bool:
        """Return whether this member is a follower, with or without a known leader."""
        return self.leadership is None and self.candidacy is None

    def observe_term(self, term: int) -> None:
        """Become a follower in `term` if it is later than the current term."""
        if term > self.state.term:
            self.become_follower(term, None)

    def become_follower(self, term: int, leader: str | None) -> None:
        """Become a follower of `leader` (None if unknown) in the current or a later term."""
        if term > self.state.term:
            self.state.set_hard_state(term, "")
        if self.leadership is not None:
            self.outbox.log_event("lost_leadership", term=self.state.term)
        if leader is not None and leader != self.leader:
            self.proposals.retry_now(self.clock.now)
        self.leader, self.candidacy, self.leadership = leader, None, None

    def step_down(self) -> None:
        """Become a follower without a leader in the current term."""
        self.become_follower(self.state.term, None)

    def step_down_if_active(self) -> None:
        """Step down if this member leads or campaigns."""
        if not self.is_follower():
            self.step_down()

    def become_candidate(self, candidacy: Candidacy) -> None:
        """Become a candidate."""
        self.leader, self.candidacy, self.leadership = None, candidacy, None

    def become_leader(self, leadership: "Leadership") -> None:
        """Become the leader."""
        self.leader, self.candidacy, self.leadership = self.state.name, None, leadership
