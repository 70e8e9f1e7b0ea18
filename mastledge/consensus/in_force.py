"""The in-force index: committed entries up to it have been applied by every member that holds a lease."""

from typing import NamedTuple

from mastledge.consensus.core import Core
from mastledge.consensus.leases import GrantedLeases, longest_lease_us
from mastledge.consensus.relay_children import RelayChildren


class InForce(NamedTuple):
    """The in-force index, and the latest time at which everything committed will be in force."""

    index: int
    all_in_force_at: int


class InForceTracker:
    """Computes the in-force index at the leader; times are by the leader's clock."""

    def __init__(self, core: Core, leases: GrantedLeases, relay_children: RelayChildren):
        """Initialize at the time of the won election."""
        self.core, self.leases, self.relay_children = core, leases, relay_children
        self.elected_at = core.clock.now

    def compute_without_relays(self) -> InForce:
        """Return the in-force index without relays: every current and departed member is considered."""
        state, now = self.core.state, self.core.clock.now
        reached = self._of_leader()
        departed = {member["name"] for member in state.departed_members()}
        for name in {*state.state_machine.members, *state.members(), *departed} - {state.name}:
            covered = self.leases.covered_index(name, now)
            if covered is not None:
                reached = self._with_holder(name, covered, reached)
        return reached

    def compute_with_relays(self, in_force_index: int) -> InForce:
        """Return the in-force index with relays: direct lease holders report for their relay children too."""
        state, now = self.core.state, self.core.clock.now
        former_leases_end = self.elected_at + longest_lease_us(state.lease_us)
        if now < former_leases_end:
            # Former leaders may have granted leases, directly or through relays, that are unknown here.
            return InForce(in_force_index, former_leases_end)
        reached = self._of_leader()
        for name in list(self.leases.holders):
            covered = self.leases.covered_index(name, now)
            if covered is not None:
                reached = self._with_holder(name, covered, reached)
            elif name not in state.members():
                del self.leases.holders[name]
        return reached

    def _of_leader(self) -> InForce:
        index = min(self.core.state.commit_index, self.relay_children.covered_index())
        return InForce(index, self.core.clock.now)

    def _with_holder(self, name: str, covered: int, reached: InForce) -> InForce:
        commit_index = self.core.state.commit_index
        all_in_force_at = reached.all_in_force_at
        if covered < commit_index:
            all_in_force_at = max(all_in_force_at, self.leases.expires_at(name, commit_index))
        return InForce(min(reached.index, covered), all_in_force_at)
