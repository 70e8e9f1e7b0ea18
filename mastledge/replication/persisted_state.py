"""What a replica's write-ahead log amounts to."""

from collections.abc import Callable

from mastledge.idempotency.persisted_keys import PersistedKeys


class PersistedReplica(PersistedKeys):
    """The records of keys, and two more: ("holder", directory id, starts) tells which data directory this is
    and how often it was opened; ("fence", epoch): requests of earlier placements are refused.
    """

    def __init__(self, unix_clock: Callable[[], int]):
        """`unix_clock` gives Unix microseconds, by which what is over is left out of a rewrite."""
        super().__init__(unix_clock)
        self.directory_id, self.start_count, self.fence = "", 0, 0

    def reset(self) -> None:
        """Forgets all records."""
        super().reset()
        self.directory_id, self.start_count, self.fence = "", 0, 0

    def apply(self, record: tuple) -> None:
        """Applies the next record; ValueError where it is of no known kind."""
        kind, *fields = record
        if kind == "holder":
            self.directory_id, self.start_count = fields
        elif kind == "fence":
            self.fence = max(self.fence, *fields)
        else:
            super().apply(record)

    def compacted_records(self) -> list[tuple]:
        """The fewest records that lead to the same."""
        return head_records(self.directory_id, self.start_count, self.fence) + super().compacted_records()


def head_records(directory_id: str, start_count: int, fence: int) -> list[tuple]:
    """The records of a replica itself, none where it has no data directory yet."""
    return [("holder", directory_id, start_count), ("fence", fence)] if directory_id else []
