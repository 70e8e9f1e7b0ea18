"""With relays: to whom the leader speaks itself."""

from collections.abc import Callable

from mastledge.consensus.core import Core
from mastledge.consensus.leases import GrantedLeases
from mastledge.consensus.membership import wanted_voters
from mastledge.consensus.relay_tree import RelayTree

ADOPTED_LEASES = 2  # for which the leader speaks to a follower that has asked


class DirectMembers:
    """The voters, who has asked lately, and who is to become a voter."""

    def __init__(self, core: Core, leases: GrantedLeases, tree: Callable[[], RelayTree]):
        """Begin with nobody adopted; `tree` gives the levels of the fleet."""
        self.core, self.leases, self.tree = core, leases, tree
        self.adopted: dict[str, int] = {}  # followers that hear from the leader, and until when

    def adopt(self, name: str) -> None:
        """Speak to a follower for a while."""
        state = self.core.state
        self.adopted[name] = self.core.clock.now + ADOPTED_LEASES * state.lease_us

    def names(self) -> set[str]:
        """Return to whom the leader speaks now."""
        state, now = self.core.state, self.core.clock.now
        members = state.members()
        names = {name for name, member in members.items() if member["votes"]}
        for name, until in list(self.adopted.items()):
            if now >= until or name not in members:
                del self.adopted[name]
        names.update(self.adopted)
        names.update(self.recruits())
        departed = {member["name"] for member in state.departed()}
        return names | {name for name in departed if name in self.leases.holders}

    def recruits(self) -> list[str]:
        """Return followers that may be made voters: the leader has to know what their disks hold."""
        state = self.core.state
        missing = wanted_voters(len(state.members())) - len(state.voters())
        if missing <= 0:
            return []
        followers = [name for level in self.tree().levels[1:] for name in level]
        return [name for name in followers if name not in self.adopted][: 2 * missing]
