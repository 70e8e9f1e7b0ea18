"""The members to which the leader sends directly when relays are on."""

from collections.abc import Callable

from mastledge.consensus.core import Core
from mastledge.consensus.leases import GrantedLeases
from mastledge.consensus.membership import target_voter_count
from mastledge.consensus.relay_tree import RelayTree

ADOPTED_LEASES = 2  # how long, in leases, the leader sends directly to a follower that asked


class DirectMembers:
    """The voters, the followers that recently asked for direct contact, and those that may become voters."""

    def __init__(self, core: Core, leases: GrantedLeases, tree: Callable[[], RelayTree]):
        """Initialize with no followers in direct contact; `tree` returns the current relay tree."""
        self.core, self.leases, self.tree = core, leases, tree
        self.direct_until: dict[str, int] = {}  # end of direct contact, by follower

    def contact_directly(self, name: str) -> None:
        """Send directly to a follower for the next `ADOPTED_LEASES` leases."""
        state = self.core.state
        self.direct_until[name] = self.core.clock.now + ADOPTED_LEASES * state.lease_us

    def names(self) -> set[str]:
        """Return the members to which the leader sends directly now."""
        state, now = self.core.state, self.core.clock.now
        members = state.members()
        names = {name for name, member in members.items() if member["votes"]}
        for name, until in list(self.direct_until.items()):
            if now >= until or name not in members:
                del self.direct_until[name]
        names.update(self.direct_until)
        names.update(self.learners_to_promote())
        departed = {member["name"] for member in state.departed_members()}
        return names | {name for name in departed if name in self.leases.holders}

    def learners_to_promote(self) -> list[str]:
        """Return followers that may become voters; the leader has to know their persisted index first."""
        state = self.core.state
        missing = target_voter_count(len(state.members())) - len(state.voters())
        if missing <= 0:
            return []
        followers = [name for level in self.tree().levels[1:] for name in level]
        return [name for name in followers if name not in self.direct_until][: 2 * missing]
