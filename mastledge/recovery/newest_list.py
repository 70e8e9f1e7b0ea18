"""The newest endpoint list that was ever heard, and the workers that it keeps from new jobs.

A registry that has lost what it knew may come back with an older list. Such a list frees no worker that a
newer one restricted.
"""

from collections.abc import Iterable, Mapping

MAX_WORKERS = 4096
START_TOLERANCE_US = 1000
"""Start times of one incarnation may differ by this much, as some are told in milliseconds."""


class NewestList:
    """Its generation, and {worker id: start of the worker in Unix microseconds} of the restricted ones."""

    def __init__(self):
        """No list was heard."""
        self.generation = 0
        self.restricted: dict[str, int] = {}

    def restore(self, generation: int, restricted: Mapping[str, int]) -> None:
        """Takes what the last run stored, unless a newer list was heard in this one."""
        if self.generation <= generation:
            self.reset(generation, restricted)

    def reset(self, generation: int, restricted: Mapping[str, int] | None = None) -> None:
        """From here on this list counts as the newest, also if its generation is lower."""
        self.generation = generation
        self.restricted = dict(restricted or {})

    def observe(
        self,
        generation: int,
        states: Iterable[tuple[str, str]],
        starts: Mapping[str, int],
        is_whole: bool,
    ) -> None:
        """Discovery has told of a list: [(worker id, state)], of all workers or of those that changed.

        `starts`: of the workers known before. An older list than the newest changes nothing.
        """
        if generation < self.generation:
            return
        self.generation = generation
        states = list(states)
        if is_whole:
            named = {id for id, _ in states}
            self.restricted.update({id: start for id, start in starts.items() if id not in named})
        for id, state in states:
            if state == "ready":
                self.restricted.pop(id, None)
            else:
                self.restricted[id] = starts.get(id, 0)
        while len(self.restricted) > MAX_WORKERS:
            del self.restricted[next(iter(self.restricted))]

    def excluded(self, generation: int | None, starts: Mapping[str, int]) -> frozenset[str]:
        """The workers that a list of this generation must not free; `starts`: of the workers on it.

        A worker that was started anew since is free.
        """
        if generation is None or generation >= self.generation:
            return frozenset()
        return frozenset(
            id
            for id, start in self.restricted.items()
            if id not in starts or starts[id] <= start + START_TOLERANCE_US
        )
