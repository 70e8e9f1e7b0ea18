"""Excludes workers while the current endpoint list is older than one that was received before."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from mastledge.program.recovery_records import worker_starts
from mastledge.recovery.newest_list import NewestList

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher


class WorkerExclusion:
    """Sets `dispatcher.excluded.by_newer_list` from the newest endpoint list and the current one."""

    def __init__(self, dispatcher: "Dispatcher", list_validity_us: int, log: Callable[..., None]):
        """Take `list_validity_us`, the time after which a list with a lower generation is accepted.

        The registry may have restarted its generations.
        """
        self.newest_list = NewestList()
        self._dispatcher, self._list_validity_us, self._log = dispatcher, list_validity_us, log
        self._starts: dict[str, int] = {}
        self._older_since: int | None = None

    def list_changed(self, kind: str, entries: list) -> None:
        """Take `entries` of discovery in the scheduler's form; `kind` is "whole", "changes" or "cached"."""
        generation = self._dispatcher.discovery.generation
        if generation is None or kind not in ("whole", "changes"):
            return
        states = [(entry[0], entry[3]) for entry in entries]
        self.newest_list.observe(generation, states, self._starts, kind == "whole")
        self._starts = worker_starts(self._dispatcher)
        self.update()

    def update(self) -> None:
        """Recompute which workers are excluded, and log and apply a change."""
        excluded = self._excluded() if self._dispatcher.discovery.answered else frozenset()
        if excluded == self._dispatcher.excluded.by_newer_list:
            return
        self._log(
            "workers_excluded_by_newer_list",
            out=sorted(excluded),
            generation=self._dispatcher.discovery.generation,
            newest=self.newest_list.generation,
        )
        self._dispatcher.excluded.by_newer_list = excluded
        self._dispatcher.refresh_excluded_workers()

    def _excluded(self) -> frozenset[str]:
        generation = self._dispatcher.discovery.generation
        now = self._dispatcher.loop.now()
        excluded = self.newest_list.excluded(generation, self._starts)
        if not excluded:
            self._older_since = None
            return excluded
        self._older_since = self._older_since or now
        if now >= self._older_since + self._list_validity_us:
            self.newest_list.reset(generation)
            return frozenset()
        return excluded
