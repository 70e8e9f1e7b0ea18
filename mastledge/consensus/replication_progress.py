"""How far each member has the leader's log (raft's nextIndex, matchIndex), and when it is spoken to next."""

from mastledge.consensus.messages import AppendResponse
from mastledge.consensus.raft_state import RaftState


class ReplicationProgress:
    """Figures by the name of the member."""

    def __init__(self, state: RaftState):
        """Begin with nothing known of anybody."""
        self.state = state
        self.next_index: dict[str, int] = {}  # of the entry to send
        self.match_index: dict[str, int] = {}  # up to which the member's disk has this log
        self.heartbeat_at: dict[str, int] = {}  # when it is spoken to next
        self._resent_for: dict[str, int] = {}  # time of the message whose refusal was answered at once

    def hurry(self) -> None:
        """Nobody waits for the next heartbeat."""
        self.heartbeat_at = dict.fromkeys(self.heartbeat_at, 0)

    def schedule(self, name: str, at: int) -> None:
        """Speak to a member next at this time; 0 for at once."""
        self.heartbeat_at[name] = at

    def forget_others(self, names: set[str]) -> None:
        """Speak to nobody but these."""
        for name in self.heartbeat_at.keys() - names:
            del self.heartbeat_at[name]

    def on_sent(self, name: str, next_index: int) -> None:
        """The member has been sent the entries before this one."""
        self.next_index[name] = next_index

    def on_persisted(self, name: str, index: int) -> None:
        """The leader's own disk has the log up to an entry."""
        self.match_index[name] = index

    def on_refusal(self, name: str, response: AppendResponse) -> None:
        """The member's log does not have what was sent; step back, to what is committed there at once."""
        previous = min(response.commit_index, self.next_index.get(name, 1) - 1, self.state.log.last_index)
        self.next_index[name] = max(1, previous + 1)
        if response.sent_at and self._resent_for.get(name) != response.sent_at:
            self._resent_for[name] = response.sent_at
            self.schedule(name, 0)

    def on_success(self, name: str, response: AppendResponse) -> None:
        """The member's disk has the log up to an entry, if that is of this log."""
        persisted = response.persisted_index
        is_same = self.state.log.term_at(persisted) == response.persisted_term
        if persisted > self.match_index.get(name, 0) and is_same:
            self.match_index[name] = persisted
        self.next_index[name] = max(self.next_index.get(name, 1), self.match_index.get(name, 0) + 1)
