"""The choice of a follower's relay, and the switch to another relay when the current one falls silent."""

from collections.abc import Callable

from mastledge.consensus.acknowledgements import Acknowledgements
from mastledge.consensus.clock import RandomDraws
from mastledge.consensus.core import Core
from mastledge.consensus.relay_tree import EffectiveTree, RelayTree
from mastledge.consensus.restriction_sharing import RestrictionSharing

RELAY_TIMEOUT_HALF_HEARTBEATS = 5  # without contact, until a follower of level 1 tries another relay
LEVEL_TIMEOUT_HEARTBEATS = 1  # added per further level, so that the level above can switch relays first
PREFERRED_RELAY_RETRY_US = 20_000_000  # mean delay before returning; drawn from 0.5 to 1.5 of it


class RelayChoice:
    """The relay that this member follows."""

    def __init__(
        self,
        core: Core,
        draws: RandomDraws,
        acknowledgements: Acknowledgements,
        restriction_sharing: RestrictionSharing,
        ask_members: Callable[[], None],
    ):
        """Initialize without a relay; `ask_members` makes the leader send directly for a while."""
        self.core, self.draws, self.restriction_sharing = core, draws, restriction_sharing
        self.acknowledgements, self.ask_members = acknowledgements, ask_members
        self.relay: str | None = None
        self.joined_at = core.clock.now
        self.failed_relays = 0  # tried in a row without news from the leader
        self.latest_contact = (0, 0)  # (term, leader's time) of the latest relayed message
        self.leader_heard_at = core.clock.now
        self.relay_has_sent = False
        self._tree = EffectiveTree()

    def forget(self) -> None:
        """Reset the choice when relays are turned off or another fleet starts."""
        self.relay, self.latest_contact, self.relay_has_sent = None, (0, 0), False

    def leave(self) -> None:
        """Follow no relay, as this member leads."""
        self.relay = None

    def tree(self) -> RelayTree:
        """Return the relay tree of the current members."""
        return self._tree.of(self.core.state.members(), self.core.state.fan_out)

    def uses_relay(self) -> bool:
        """Return whether this member is a follower that should use a relay."""
        state = self.core.state
        is_learner = self.core.roles.is_follower() and not state.is_voter()
        return bool(state.fan_out) and is_learner and state.is_admitted()

    def run(self) -> None:
        """Choose a relay, switch to the next one after a timeout, or return to the preferred one."""
        if not self.uses_relay():
            return
        now = self.core.clock.now
        relays = self.tree().relays(self.core.state.name, self.core.roles.leader)
        if not relays:
            return
        if self.relay not in relays:
            self._join(relays[0])
        elif now > self._timeout_at():
            self._try_next(relays)
        elif self.relay != relays[0] and now > self.joined_at + int(
            PREFERRED_RELAY_RETRY_US * (0.5 + self.draws.next())
        ):
            # The preferred relay may be back; returning to it keeps the followers spread evenly.
            self._join(relays[0])

    def _timeout_at(self) -> int:
        level = max(1, self.tree().level(self.core.state.name))
        heartbeat_us = self.core.state.heartbeat_us
        first_level_us = heartbeat_us * RELAY_TIMEOUT_HALF_HEARTBEATS // 2
        lower_levels_us = (level - 1) * LEVEL_TIMEOUT_HEARTBEATS * heartbeat_us
        return max(self.leader_heard_at, self.joined_at) + first_level_us + lower_levels_us

    def _try_next(self, relays: list[str]) -> None:
        self.failed_relays += 1
        if self.failed_relays >= len(relays):
            self.failed_relays = 0
            self.ask_members()
        self._join(relays[(relays.index(self.relay) + 1) % len(relays)])

    def _join(self, relay: str) -> None:
        """Switch to a relay and ask it to send to this member."""
        if self.relay is not None and self.relay != relay:
            self.restriction_sharing.lists.forget(self.relay)
        self.relay, self.joined_at, self.relay_has_sent = relay, self.core.clock.now, False
        self.acknowledgements.send(relay, success=False, sent_at=0)

    def on_relayed_message(self, sender: str, term: int, leader_time: int) -> None:
        """Record a relayed message of the leader; a repeated message does not count as contact."""
        if sender != self.relay:
            return
        self.relay_has_sent = True
        if (term, leader_time) > self.latest_contact:
            self.latest_contact, self.leader_heard_at, self.failed_relays = (
                (term, leader_time),
                self.core.clock.now,
                0,
            )

    def should_answer(self, sender: str, is_relayed: bool) -> bool:
        """Return whether to answer a message; a former relay stops sending once it gets no more answers."""
        return not is_relayed or sender == self.relay or not self.relay_has_sent

    def wake_times(self) -> list[int]:
        """Return the time at which another relay has to be tried."""
        if self.relay is None or not self.uses_relay():
            return []
        return [self._timeout_at() + 1]
