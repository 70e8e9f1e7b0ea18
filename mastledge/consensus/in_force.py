"""Up to which entry what is committed is in force: applied by each member that holds a lease."""

from mastledge.consensus.core import Core
from mastledge.consensus.leases import GrantedLeases, longest_lease_us
from mastledge.consensus.relay_children import RelayChildren


class InForceTracker:
    """The leader's side of it, in its own time; both ways give (index, when the rest is at the latest)."""

    def __init__(self, core: Core, leases: GrantedLeases, children: RelayChildren):
        """Begin as a leader does."""
        self.core, self.leases, self.children = core, leases, children
        self.won_at = core.clock.now

    def of_all_members(self) -> tuple[int, int]:
        """Without relays: each member, and each that left, is waited for by its name."""
        state, now = self.core.state, self.core.clock.now
        reached, by = self._own()
        departed = {member["name"] for member in state.departed()}
        for name in {*state.state_machine.members, *state.members(), *departed} - {state.name}:
            covered = self.leases.covered_index(name, now)
            if covered is not None:
                reached, by = self._with_holder(name, covered, reached, by)
        return reached, by

    def of_holders(self, in_force_index: int) -> tuple[int, int]:
        """With relays: those that the leader has granted to are waited for; they tell of their children."""
        state, now = self.core.state, self.core.clock.now
        former_leases_end = self.won_at + longest_lease_us(state.lease_us)
        if now < former_leases_end:
            # Whoever led before has granted, directly or by relays, to whom is not known here.
            return in_force_index, former_leases_end
        reached, by = self._own()
        for name in list(self.leases.holders):
            covered = self.leases.covered_index(name, now)
            if covered is not None:
                reached, by = self._with_holder(name, covered, reached, by)
            elif name not in state.members():
                del self.leases.holders[name]
        return reached, by

    def _own(self) -> tuple[int, int]:
        return min(self.core.state.commit_index, self.children.covered_index()), self.core.clock.now

    def _with_holder(self, name: str, covered: int, reached: int, by: int) -> tuple[int, int]:
        commit_index = self.core.state.commit_index
        if covered < commit_index:
            by = max(by, self.leases.expires_at(name, commit_index))
        return min(reached, covered), by
