"""Each member's replication progress (raft's nextIndex, matchIndex), and when its next heartbeat is due."""

from mastledge.consensus.messages import AppendResponse
from mastledge.consensus.raft_state import RaftState


class ReplicationProgress:
    """The next index, match index and next heartbeat time, by member name."""

    def __init__(self, state: RaftState):
        """Initialize with no progress known."""
        self.state = state
        self.next_index: dict[str, int] = {}  # index of the next entry to send
        self.match_index: dict[str, int] = {}  # the member has persisted this log up to here
        self.heartbeat_at: dict[str, int] = {}  # due time of the next heartbeat
        self._resent_message_time: dict[str, int] = {}  # sent_at of the latest message resent after a refusal

    def schedule_all_now(self) -> None:
        """Make the next heartbeat to every member due at once."""
        self.heartbeat_at = dict.fromkeys(self.heartbeat_at, 0)

    def schedule(self, name: str, at: int) -> None:
        """Set when the next heartbeat to a member is due, in microseconds; 0 for at once."""
        self.heartbeat_at[name] = at

    def forget_others(self, names: set[str]) -> None:
        """Drop the heartbeat times of all members that are not in `names`."""
        for name in self.heartbeat_at.keys() - names:
            del self.heartbeat_at[name]

    def on_sent(self, name: str, next_index: int) -> None:
        """Record that the member was sent the entries before `next_index`."""
        self.next_index[name] = next_index

    def on_persisted(self, name: str, index: int) -> None:
        """Record that the leader has persisted its log up to `index`."""
        self.match_index[name] = index

    def on_refusal(self, name: str, response: AppendResponse) -> None:
        """Step back to the member's commit index, as its log does not match the entries that were sent."""
        previous = min(response.commit_index, self.next_index.get(name, 1) - 1, self.state.log.last_index)
        self.next_index[name] = max(1, previous + 1)
        if response.sent_at and self._resent_message_time.get(name) != response.sent_at:
            self._resent_message_time[name] = response.sent_at
            self.schedule(name, 0)

    def on_success(self, name: str, response: AppendResponse) -> None:
        """Record the member's persisted index if the entry there is from this log."""
        persisted = response.persisted_index
        is_same = self.state.log.term_at(persisted) == response.persisted_term
        if persisted > self.match_index.get(name, 0) and is_same:
            self.match_index[name] = persisted
        self.next_index[name] = max(self.next_index.get(name, 1), self.match_index.get(name, 0) + 1)
