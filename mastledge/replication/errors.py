"""Errors of the replication of keys."""


class ReplicationError(Exception):
    """Another dispatcher has sent an invalid message."""


class ClaimNameError(ReplicationError, ValueError):
    """A message has a malformed claim name; a ValueError, as readers of frames expect."""

    def __init__(self, claim_name: str) -> None:
        """Take the malformed name for the message."""
        super().__init__(f"invalid claim name: {claim_name!r}")
        self.claim_name = claim_name
