"""What a write-ahead log needs of the state that its records describe."""

from collections.abc import Sequence
from typing import Any, Protocol


class ReplayedState(Protocol):
    """State that the records of a log amount to, when applied in the order they were written.

    A log replays its file into one at the start. The writer's thread applies what it has synced, so that a
    long log can be compacted without asking anybody else.
    """

    def apply(self, record: Sequence[Any]) -> None:
        """Apply one record; `ValueError` or `TypeError` for one that cannot follow those before it."""

    def compacted_records(self) -> list[tuple]:
        """Give the fewest records that lead to the same state."""

    def reset(self) -> None:
        """Forget all records, as if none had been applied."""
