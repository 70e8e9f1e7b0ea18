"""What can go wrong with keys."""


class IdempotencyError(Exception):
    """Something is wrong with the records of idempotency keys."""


class KeyTableFullError(IdempotencyError):
    """A table has no room for a record that it has to take over from another replica."""

    def __init__(self, key: bytes) -> None:
        """`key` is the one that has no room."""
        super().__init__(f"no room for the key {key!r}")
        self.key = key


class PersistedRecordError(IdempotencyError, ValueError):
    """The log holds something that this version cannot follow; a ValueError, as readers of a log expect."""
