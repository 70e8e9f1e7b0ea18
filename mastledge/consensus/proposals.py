"""Changes that the host of this member wants committed, until it is known what became of them."""

PROPOSAL_RETRY_US = 200_000  # after which a proposal without a result is handed to the leader once more


class Proposals:
    """The changes by their ids, and when they are handed in again."""

    def __init__(self):
        """Begin without proposals."""
        self.pending: dict[str, dict] = {}
        self.retry_at: int | None = None

    def add(self, id: str, change: dict) -> None:
        """The host wants a change."""
        self.pending[id] = change

    def await_result(self, now: int) -> None:
        """A change has been handed in, and is so again after a while."""
        self.retry_at = self.retry_at or now + PROPOSAL_RETRY_US

    def forget(self, id: str) -> None:
        """Nobody waits for it any more."""
        self.pending.pop(id, None)

    def complete(self, id: str) -> bool:
        """It is committed; return whether it is one of these."""
        return self.pending.pop(id, None) is not None

    def retry_now(self, now: int) -> None:
        """Somebody else leads, who may not have heard of them."""
        self.retry_at = now if self.pending else None

    def due(self, now: int) -> list[tuple[str, dict]]:
        """Return the (id, change) that are to be handed in again now."""
        if self.retry_at is None or now < self.retry_at:
            return []
        self.retry_at = now + PROPOSAL_RETRY_US if self.pending else None
        return list(self.pending.items())
