"""Applies committed entries to the state machine, and makes snapshots."""

from mastledge.consensus.outbox import Outbox
from mastledge.consensus.proposals import Proposals
from mastledge.consensus.raft_state import RaftState

SNAPSHOT_INTERVAL = 512  # entries after a snapshot, after which there is another


class Applier:
    """Advances the commit index; halts at an entry that it cannot apply."""

    def __init__(self, state: RaftState, outbox: Outbox, proposals: Proposals, snapshot_interval: int):
        """Begin with nothing to halt for."""
        self.state, self.outbox, self.proposals = state, outbox, proposals
        self.snapshot_interval = snapshot_interval
        self.halt_reason = ""  # why this member cannot go on by what is committed

    def advance_to(self, commit_index: int) -> None:
        """Commit and apply the entries up to an index, in their order."""
        state = self.state
        while state.commit_index < commit_index and not self.halt_reason:
            if not self._apply_next():
                return
        if state.commit_index - state.log.base_index >= self.snapshot_interval:
            state.compact()
        state.forget_effective_members()

    def _apply_next(self) -> bool:
        state = self.state
        index = state.commit_index + 1
        entry = state.log.entry_at(index)
        try:
            result = state.commit(index)
        except (ValueError, KeyError, TypeError) as error:
            # To go on without it would be to act on another state than the rest.
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

    def resume(self) -> None:
        """Another state begins, which has nothing to halt for."""
        self.halt_reason = ""

    def report_results(self) -> None:
        """Tell what became of proposals that a snapshot has the results of."""
        results = self.state.state_machine.results
        for id in [id for id in self.proposals.pending if id in results]:
            self.proposals.complete(id)
            self.outbox.report_committed(id, self.state.commit_index, results[id])
