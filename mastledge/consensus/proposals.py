"""The host's proposed changes, until their results are known."""

from mastledge.consensus.messages import Propose

PROPOSAL_RETRY_US = 200_000  # after which a proposal without a result is sent to the leader again


class Proposals:
    """Pending changes by id, and the time of their next retry."""

    def __init__(self):
        """Initialize without proposals."""
        self.pending: dict[str, dict] = {}
        self.retry_at: int | None = None

    def add(self, id: str, change: dict) -> None:
        """Add a change that the host proposes."""
        self.pending[id] = change

    def schedule_retry(self, now: int) -> None:
        """Schedule a retry after a proposal was sent, unless one is scheduled."""
        self.retry_at = self.retry_at or now + PROPOSAL_RETRY_US

    def forget(self, id: str) -> None:
        """Drop a proposal that the host no longer waits for."""
        self.pending.pop(id, None)

    def complete(self, id: str) -> bool:
        """Remove a committed proposal; return whether it was pending."""
        return self.pending.pop(id, None) is not None

    def retry_now(self, now: int) -> None:
        """Retry all pending proposals now, as a new leader may not have them."""
        self.retry_at = now if self.pending else None

    def due(self, now: int) -> list[Propose]:
        """Return the proposals to send again now, and schedule the next retry."""
        if self.retry_at is None or now < self.retry_at:
            return []
        self.retry_at = now + PROPOSAL_RETRY_US if self.pending else None
        return [Propose(id, change) for id, change in self.pending.items()]
