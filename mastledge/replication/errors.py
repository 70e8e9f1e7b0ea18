"""What can go wrong with the replication of keys."""


class ReplicationError(Exception):
    """Something is wrong with what another dispatcher has sent."""


class ClaimNameError(ReplicationError, ValueError):
    """A message names a claim that can't be one; a ValueError, as readers of frames expect."""

    def __init__(self, claim_name: str) -> None:
        """`claim_name` is what stands in its place."""
        super().__init__(f"no name of a claim: {claim_name!r}")
        self.claim_name = claim_name
