"""A dispatcher's part in consensus, on the links and disks of `lab.schedule`."""

from __future__ import annotations

from mastledge.consensus import inputs
from mastledge.consensus.member import Member
from mastledge.lab import consensus_schedules


class ConsensusNode(consensus_schedules.Node):
    """A node whose dispatcher follows what is agreed."""

    def step(self, member: Member, input: inputs.Input) -> None:
        """One input; what it excludes or brings back reaches the scheduler at once."""
        super().step(member, input)
        dispatcher = self.fleet.dispatchers.get(self.name)
        if self.up and dispatcher is not None and dispatcher.scheduler is not None:
            dispatcher.refresh_exclusions()

    def excluded(self) -> tuple[str, ...]:
        """Workers that are excluded by agreement, as far as this member knows."""
        if not self.up or self.member.state_machine is None:
            return ()
        return tuple(self.member.state_machine.state["out"])

    def may_act(self) -> bool:
        """Whether the member's lease lets its dispatcher launch jobs now."""
        return self.up and self.member.may_act(self.clock())
