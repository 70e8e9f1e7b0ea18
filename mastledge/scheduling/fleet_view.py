"""The workers that this dispatcher knows: the endpoint list, excluded workers, and polling for the list."""

from bisect import insort
from collections.abc import Collection, Iterable
from enum import StrEnum
from operator import attrgetter

from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.state import Worker

FIRST_SLOTS = 8.0  # initial slots of a worker while no other worker is known (as in the paper)
FIRST_POLL_STEPS = 100  # clock steps over which first polls are spread
FEW_LEFT = 16  # workers up to which each is looked for in the list of ready ones
RETRY_US, MAX_DOUBLINGS = 250_000, 6
RETRY_WITHOUT_LIMIT_US, POLL_WITHOUT_LIMIT_US = 1_000_000, 5_000_000


class ListKind(StrEnum):
    """Kind of an endpoint list update; members equal the plain strings."""

    CACHED = "cached"  # saved by an earlier incarnation of the dispatcher
    WHOLE = "whole"
    CHANGES = "changes"
    FAILED = "failed"


class FleetView:
    """Workers by id, and the ready ones, in the order of first listings.

    `ready` is replaced by a new list at each change, so a list that was read stays as it was. `ready_set`
    holds the same workers. Both are kept up to date by difference.
    """

    def __init__(self):
        """Start with no worker."""
        self.workers: dict = {}
        self.ready: list[Worker] = []
        self.ready_set: set[Worker] = set()
        self._ready_by_name_hash: dict[int, Worker] | None = None  # None: to be computed
        self._gone: set[Worker] = set()  # kept in `workers` while launches are in flight there
        self._listings = 0  # how many workers were listed so far
        # By worker id as text: excluded by an operator, and when an exclusion was last undone.
        self.excluded, self.readmitted_at = (), {}

    @property
    def ready_by_name_hash(self) -> dict[int, Worker]:
        """The ready workers by the hash of their id."""
        if self._ready_by_name_hash is None:
            self._ready_by_name_hash = {worker.name_hash: worker for worker in self.ready}
        return self._ready_by_name_hash

    def update(self, now: int, whole: bool, entries: Iterable[tuple]) -> None:
        """Apply entries of the endpoint list; workers missing from a whole list are gone."""
        has_new = any(entry[1] not in self.workers for entry in entries)
        slots = self._mean_slots() if has_new else 0.0
        changed = {self._apply_entry(now, slots, *entry) for entry in entries}
        if whole:
            missing = [worker for worker in self.workers.values() if worker not in changed]
            for worker in missing:
                worker.state = "gone"
            changed.update(missing)
        self._gone.update(worker for worker in changed if worker.state == "gone")
        self._drop_gone()
        self._refresh_ready(changed)

    def set_excluded(self, now: int, excluded: Collection[str], readmitted_at: dict[str, int]) -> None:
        """Set the excluded workers, which get no jobs, and the times at which exclusions were undone.

        A worker whose exclusion was undone begins an incarnation, as it may have been restarted meanwhile.
        """
        self.excluded, self.readmitted_at = excluded, readmitted_at
        for worker in self.workers.values() if readmitted_at else ():
            if readmitted_at.get(str(worker.id), 0) > worker.born:
                worker.begin_incarnation(readmitted_at[str(worker.id)], now)
        self._refresh_ready(self.workers.values())

    def count_skipped(self, now: int) -> int:
        """Return how many listed workers get no jobs now: draining, excluded or ejected ones."""
        return sum(
            worker not in self.ready_set
            or any(now < ejection.ends_at for ejection in worker.ejections.values())
            for worker in self.workers.values()
            if worker.state != "gone"
        )

    def _mean_slots(self) -> float:
        """Return the initial slots of a worker: the mean of the ready ones."""
        if not self.ready:
            return FIRST_SLOTS
        return sum([worker.slots for worker in self.ready]) / len(self.ready)

    def _apply_entry(self, now, slots, zone, worker_id, state, born, kind, cell, units):  # noqa: PLR0913 - the fields of a list entry
        worker, born = self.workers.get(worker_id), max(born, self.readmitted_at.get(str(worker_id), 0))
        if worker is None:
            self._listings += 1
            worker = self.workers[worker_id] = Worker(worker_id, self._listings, slots, born, now)
        elif born > worker.born:
            worker.begin_incarnation(born, now)
        worker.zone, worker.kind, worker.cell = zone, kind, cell
        worker.units, worker.state = units, state
        return worker

    def _drop_gone(self):
        """Drop workers that are gone once nothing is in flight there, as each release brings new ids."""
        for worker in list(self._gone):
            if worker.state != "gone":
                self._gone.remove(worker)
            elif not worker.in_flight:
                self._gone.remove(worker)
                del self.workers[worker.id]

    def _refresh_ready(self, changed: Iterable[Worker]):
        """Update what is ready, as only these workers can have changed."""
        joined, left = [], []
        for worker in changed:
            is_ready = worker.state == "ready" and str(worker.id) not in self.excluded
            if is_ready != (worker in self.ready_set):
                (joined if is_ready else left).append(worker)
        if not joined and not left:
            return
        self.ready_set.difference_update(left)
        if len(left) <= FEW_LEFT:
            ready = self.ready.copy()
            for worker in left:
                ready.remove(worker)
        else:
            ready = [worker for worker in self.ready if worker in self.ready_set]
        for worker in joined:
            insort(ready, worker, key=attrgetter("number"))
        self.ready_set.update(joined)
        self.ready, self._ready_by_name_hash = ready, None


class EndpointPoll:
    """Schedules polls of the endpoint list. `poll_at`: time of the next poll; None: changes are pushed."""

    def __init__(self, settings: dict, random: RandomSource):
        """Start with no poll due; `begin` schedules the first one."""
        self._settings, self._random = settings, random
        self.poll_at, self._failures = None, 0

    def begin(self, now: int) -> None:
        """Start over: schedule the first poll, unless the settings say that the list is pushed."""
        self.poll_at, self._failures = None, 0
        if self._settings["follow"] != "pushed":
            # Jitter, so that dispatchers restarted together do not poll at the same time.
            self.poll_at = now + int(self._random.chance() * FIRST_POLL_STEPS * self._settings["step"])

    def failed(self, now: int) -> None:
        """Schedule a retry after a backoff with jitter, well within the `ask_within` setting."""
        self._failures += 1
        max_backoff = self._settings["ask_within"] // 4 or RETRY_WITHOUT_LIMIT_US
        backoff = min((1 << min(self._failures, MAX_DOUBLINGS)) * RETRY_US, max_backoff)
        self.poll_at = now + int(backoff * (0.5 + self._random.chance() / 2))

    def answered(self) -> None:
        """Stop polling: the list was received, and its changes will be pushed."""
        self.poll_at, self._failures = None, 0

    def is_due(self, now: int) -> bool:
        """Return whether to poll now; `poll_at` must not be None.

        A poll schedules the next one, as its answer may be lost.
        """
        if self.poll_at > now:
            return False
        self.poll_at = now + (self._settings["ask_within"] // 2 or POLL_WITHOUT_LIMIT_US)
        return True
