"""Errors of the records of idempotency keys."""


class IdempotencyError(Exception):
    """Base class of errors of the records of idempotency keys."""


class KeyTableFullError(IdempotencyError):
    """The table has no room for a record of another replica."""

    def __init__(self, key: bytes) -> None:
        """Take the key of the rejected record."""
        super().__init__(f"key table has no room for key {key!r}")
        self.key = key


class PersistedRecordError(IdempotencyError, ValueError):
    """The log has an entry that cannot be applied; a ValueError, as readers of a log expect."""
