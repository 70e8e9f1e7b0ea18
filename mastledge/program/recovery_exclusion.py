"""Keeps workers from new jobs while the endpoint list is older than one that was heard before."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from mastledge.program.recovery_records import worker_starts
from mastledge.recovery.newest_list import NewestList

if TYPE_CHECKING:
    from mastledge.program.lifecycle import Program


class WorkerExclusion:
    """Sets `program.excluded.restricted_by_restored_list`, by the newest list and the one of now."""

    def __init__(self, program: "Program", list_validity_us: int, log: Callable[..., None]):
        """`list_validity_us`: after which an older list counts, as registries may count anew."""
        self.newest_list = NewestList()
        self._program, self._list_validity_us, self._log = program, list_validity_us, log
        self._starts: dict[str, int] = {}
        self._older_since: int | None = None

    def list_changed(self, kind: str, entries: list) -> None:
        """Discovery has told `entries` as the decisions take them; `kind`: "whole", "changes" or "cached"."""
        generation = self._program.discovery.generation
        if generation is None or kind not in ("whole", "changes"):
            return
        states = [(entry[0], entry[3]) for entry in entries]
        self.newest_list.observe(generation, states, self._starts, kind == "whole")
        self._starts = worker_starts(self._program)
        self.update()

    def update(self) -> None:
        """Excludes workers or frees them."""
        excluded = self._excluded() if self._program.discovery.answered else frozenset()
        if excluded == self._program.excluded.restricted_by_restored_list:
            return
        self._log(
            "workers_excluded_by_newer_list",
            out=sorted(excluded),
            generation=self._program.discovery.generation,
            newest=self.newest_list.generation,
        )
        self._program.excluded.restricted_by_restored_list = excluded
        self._program.refresh_excluded_workers()

    def _excluded(self) -> frozenset[str]:
        generation = self._program.discovery.generation
        now = self._program.loop.now()
        excluded = self.newest_list.excluded(generation, self._starts)
        if not excluded:
            self._older_since = None
            return excluded
        self._older_since = self._older_since or now
        if now >= self._older_since + self._list_validity_us:
            self.newest_list.reset(generation)
            return frozenset()
        return excluded
