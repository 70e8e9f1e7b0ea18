"""The newest endpoint list that was ever received, and the workers that it restricts.

A registry that has lost its state may return with an older list. Such a list must not lift the restriction of
a worker that a newer list restricted (gave a state other than ready).
"""

from collections.abc import Iterable, Mapping

MAX_WORKERS = 4096
START_TOLERANCE_US = 1000
"""Tolerance for start times of one incarnation, as some sources give them in milliseconds."""


class NewestList:
    """Holds the newest generation, and {worker id: start in Unix microseconds} of restricted workers."""

    def __init__(self):
        """Create the state before any list was received."""
        self.generation = 0
        self.restricted: dict[str, int] = {}

    def restore(self, generation: int, restricted: Mapping[str, int]) -> None:
        """Restore what the previous run stored, unless a newer list was received in this run."""
        if self.generation <= generation:
            self.reset(generation, restricted)

    def reset(self, generation: int, restricted: Mapping[str, int] | None = None) -> None:
        """Make this list the newest, even if its generation is lower."""
        self.generation = generation
        self.restricted = dict(restricted or {})

    def observe(
        self,
        generation: int,
        states: Iterable[tuple[str, str]],
        starts: Mapping[str, int],
        is_whole: bool,
    ) -> None:
        """Apply a list from discovery: `states` of all workers (`is_whole`), or of those that changed.

        `starts`: start times of the workers known before. A list older than the newest changes nothing.
        """
        if generation < self.generation:
            return
        self.generation = generation
        states = list(states)
        if is_whole:
            listed = {id for id, _ in states}
            self.restricted.update({id: start for id, start in starts.items() if id not in listed})
        for id, state in states:
            if state == "ready":
                self.restricted.pop(id, None)
            else:
                self.restricted[id] = starts.get(id, 0)
        while len(self.restricted) > MAX_WORKERS:
            del self.restricted[next(iter(self.restricted))]

    def excluded(self, generation: int | None, starts: Mapping[str, int]) -> frozenset[str]:
        """Return the workers whose restriction a list of this generation must not lift.

        `starts`: start times of the workers on that list. A worker that was restarted since is not
        restricted.
        """
        if generation is None or generation >= self.generation:
            return frozenset()
        return frozenset(
            id
            for id, start in self.restricted.items()
            if id not in starts or starts[id] <= start + START_TOLERANCE_US
        )
