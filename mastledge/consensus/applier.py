"""Applies committed entries to the state machine and takes snapshots."""

from mastledge.consensus.outbox import Outbox
from mastledge.consensus.proposals import Proposals
from mastledge.consensus.raft_state import RaftState

SNAPSHOT_INTERVAL = 512  # applied entries between two snapshots


class Applier:
    """Advances the commit index; halts at the first entry that cannot be applied."""

    def __init__(self, state: RaftState, outbox: Outbox, proposals: Proposals, snapshot_interval: int):
        """Initialize without a reason to halt."""
        self.state, self.outbox, self.proposals = state, outbox, proposals
        self.snapshot_interval = snapshot_interval
        self.halt_reason = ""  # why no further entries are applied, also in HTTP answers; "" while they are

    def advance_to(self, commit_index: int) -> None:
        """Commit and apply the entries up to `commit_index` in order."""
        state = self.state
        while state.commit_index < commit_index and not self.halt_reason:
            if not self._apply_next():
                return
        if state.commit_index - state.log.base_index >= self.snapshot_interval:
            state.compact()
        state.invalidate_members()

    def _apply_next(self) -> bool:
        state = self.state
        index = state.commit_index + 1
        entry = state.log.entry_at(index)
        try:
            result = state.commit(index)
        except (ValueError, KeyError, TypeError) as error:
            # Skipping the entry would make this member's state differ from that of the other members.
            self.halt_reason = f"cannot follow what is agreed: {error}"
            self.outbox.log_event("halted", why=self.halt_reason)
            return False
        kind = entry.change["kind"]
        self.outbox.log_event(
            "entry_committed", index=index, version=result.version, kind=kind, why=result.reason
        )
        if self.proposals.complete(entry.id):
            self.outbox.report_committed(entry.id, index, result)
        return True

    def clear_halt_reason(self) -> None:
        """Clear the halt reason: the state has been replaced."""
        self.halt_reason = ""

    def report_results(self) -> None:
        """Report the results of pending proposals that an installed snapshot contains."""
        results = self.state.state_machine.results
        for id in [id for id in self.proposals.pending if id in results]:
            self.proposals.complete(id)
            self.outbox.report_committed(id, self.state.commit_index, results[id])
