"""Interface of the state that the records of a write-ahead log describe."""

from collections.abc import Sequence
from typing import Any, Protocol


class ReplayedState(Protocol):
    """State that results from applying the records of a log in the order they were written.

    A log replays its file into the state when it is opened. The writer's thread also applies the records that
    it has synced, so that it can compact a long log without another thread.
    """

    def apply(self, record: Sequence[Any]) -> None:
        """Apply one record; raise `ValueError` or `TypeError` if it cannot follow the earlier ones."""

    def compacted_records(self) -> list[tuple]:
        """Return the fewest records that lead to the same state."""

    def reset(self) -> None:
        """Forget all records, as if none had been applied."""
