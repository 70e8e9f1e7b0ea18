"""State of a replica as replayed from its write-ahead log."""

from collections.abc import Callable

from mastledge.idempotency.persisted_keys import PersistedKeys


class PersistedReplica(PersistedKeys):
    """Replayed state of a log that has, besides the records of keys, two more kinds of records.

    ("holder", directory id, starts) has the id of the data directory and how often it was opened;
    ("fence", epoch) says that requests of earlier epochs are refused.
    """

    def __init__(self, unix_clock: Callable[[], int]):
        """Start empty; `unix_clock` returns Unix microseconds and decides what a rewrite drops as expired."""
        super().__init__(unix_clock)
        self.directory_id, self.start_count, self.fence = "", 0, 0

    def reset(self) -> None:
        """Forget all records."""
        super().reset()
        self.directory_id, self.start_count, self.fence = "", 0, 0

    def apply(self, record: tuple) -> None:
        """Apply the next record; raise ValueError if its kind is unknown."""
        kind, *fields = record
        if kind == "holder":
            self.directory_id, self.start_count = fields
        elif kind == "fence":
            self.fence = max(self.fence, *fields)
        else:
            super().apply(record)

    def compacted_records(self) -> list[tuple]:
        """Return the fewest records that lead to the same state."""
        return head_records(self.directory_id, self.start_count, self.fence) + super().compacted_records()


def head_records(directory_id: str, start_count: int, fence: int) -> list[tuple]:
    """Return the records about the replica itself; none if it has no directory id yet."""
    return [("holder", directory_id, start_count), ("fence", fence)] if directory_id else []
