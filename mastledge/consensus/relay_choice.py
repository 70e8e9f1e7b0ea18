"""The relay that a follower hears from, and its search for another one when nothing new comes from it."""

from collections.abc import Callable

from mastledge.consensus.acknowledgements import Acknowledgements
from mastledge.consensus.clock import RandomDraws
from mastledge.consensus.core import Core
from mastledge.consensus.relay_tree import EffectiveTree, RelayTree
from mastledge.consensus.restriction_sharing import RestrictionSharing

RELAY_TIMEOUT_HALF_HEARTBEATS = 5  # without the leader, after which a follower of the first level looks
LEVEL_TIMEOUT_HEARTBEATS = 1  # more for each level below, as the one above may find another relay first
RETURN_US = 20_000_000  # half to one and a half of it after a move, the first relay is tried again


class RelayChoice:
    """Which relay this member has told that it wants to hear from it."""

    def __init__(
        self,
        core: Core,
        draws: RandomDraws,
        acknowledgements: Acknowledgements,
        sharing: RestrictionSharing,
        ask_members: Callable[[], None],
    ):
        """Begin without a relay; `ask_members` has the leader speak to this member itself for a while."""
        self.core, self.draws, self.sharing = core, draws, sharing
        self.acknowledgements, self.ask_members = acknowledgements, ask_members
        self.relay: str | None = None
        self.joined_at = core.clock.now
        self.failed_relays = 0  # tried one after the other since the leader was last heard of
        self.latest_contact = (0, 0)  # term and time of the leader
        self.leader_heard_at = core.clock.now
        self.relay_has_spoken = False
        self._tree = EffectiveTree()

    def forget(self) -> None:
        """Relays are turned off, or another fleet begins."""
        self.relay, self.latest_contact, self.relay_has_spoken = None, (0, 0), False

    def leave(self) -> None:
        """Hear from no relay, as this member leads."""
        self.relay = None

    def tree(self) -> RelayTree:
        """Return the levels of the fleet."""
        return self._tree.of(self.core.state.members(), self.core.state.fan_out)

    def hears_relays(self) -> bool:
        """Return whether this member is a follower that is to hear from a relay."""
        state = self.core.state
        is_learner = self.core.roles.is_follower() and not state.is_voter()
        return bool(state.fan_out) and is_learner and state.is_admitted()

    def run(self) -> None:
        """Choose a relay, and another one when it is time."""
        if not self.hears_relays():
            return
        now = self.core.clock.now
        relays = self.tree().relays(self.core.state.name, self.core.roles.leader)
        if not relays:
            return
        if self.relay not in relays:
            self._join(relays[0])
        elif now > self._timeout_at():
            self._try_next(relays)
        elif self.relay != relays[0] and now > self.joined_at + int(RETURN_US * (0.5 + self.draws.next())):
            # The first one may be back by now, and each has its part of the followers.
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
        """Say to a relay that this one wants to hear from it."""
        if self.relay is not None and self.relay != relay:
            self.sharing.lists.forget(self.relay)
        self.relay, self.joined_at, self.relay_has_spoken = relay, self.core.clock.now, False
        self.acknowledgements.send(relay, success=False, sent_at=0)

    def on_relayed(self, sender: str, term: int, leader_time: int) -> None:
        """A relay has passed on a message of the leader; a repeated one does not count."""
        if sender != self.relay:
            return
        self.relay_has_spoken = True
        if (term, leader_time) > self.latest_contact:
            self.latest_contact, self.leader_heard_at, self.failed_relays = (
                (term, leader_time),
                self.core.clock.now,
                0,
            )

    def is_answered(self, sender: str, is_relayed: bool) -> bool:
        """Return whether a message is answered; a former relay stops speaking once it hears nothing more."""
        return not is_relayed or sender == self.relay or not self.relay_has_spoken

    def wake_times(self) -> list[int]:
        """Return when another relay has to be looked for."""
        if self.relay is None or not self.hears_relays():
            return []
        return [self._timeout_at() + 1]
