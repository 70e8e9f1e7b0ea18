"""Key affinity: the home workers on which the data of a key is expected to be cached.

All dispatchers order the workers of a key alike, as the order is a hash of the key and the worker ids.
"""

from collections import Counter
from collections.abc import Iterable

from mastledge.scheduling.estimation import MAX_KEYS, Estimate, FleetEstimates
from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.home_assignment import HomeAssignment
from mastledge.scheduling.key_orders import KeyOrders
from mastledge.scheduling.state import Launch, Worker

KEY_WORK_KEPT_OF_60 = 59  # 60ths of the work per key that are kept each second
CACHED_RUNS = 2  # mean running times for which the data of the last key surely stays cached


class KeyAffinity:
    """The home workers of each key.

    `key_work`: smoothed work of the jobs with each key. `fetch`: the time to fetch a key's data. `orders`:
    the ready workers in the order of each key.

    Homes are those for the work and the workers at the last change of the fleet or decay. They are assigned
    only once they are asked for, as more changes than jobs may come.
    """

    def __init__(self, fleet: FleetView, estimates: FleetEstimates):
        """Start with the mean running time as the estimate of a fetch."""
        self._fleet, self._estimates = fleet, estimates
        self.fetch = Estimate(estimates.running_time.mean, 0.0, 1)
        self.key_work: Counter = Counter()
        self.orders = KeyOrders()
        self._assignment: HomeAssignment | None = None  # None: not begun since the last change
        self._running_time_at_change = estimates.running_time.mean

    @property
    def homes(self) -> dict[int, list[Worker]]:
        """The homes of all keys that had work at the last change."""
        return self._current_assignment().all_homes()

    def job_arrived(self, key: int, work: float) -> None:
        """Add the work of a job with this key."""
        self._current_assignment()
        self.key_work[key] += work

    def add_key_work(self, key_work: Iterable[tuple[int, float]]) -> None:
        """Add the work per key that another dispatcher reported, as (key, work)."""
        self._current_assignment()
        self.key_work.update(dict(key_work))

    def fleet_changed(self) -> None:
        """Have the homes assigned anew, after the set of ready workers changed."""
        self.assign_homes()

    def homes_of(self, key: int) -> list | tuple:
        """Return the home workers of a key; none for key 0."""
        if not key:
            return ()
        return self._current_assignment().homes_of(key) or self.orders.first(key)[:1]

    def fetch_time(self, key: int, worker: Worker, homes: Iterable[Worker]) -> float:
        """Return the time, in microseconds, that a job of this key would spend on fetching its data."""
        return 0.0 if worker in homes or worker.last_key[0] == key else self.fetch.mean

    def launched(self, launch: Launch, now: int) -> None:
        """Set the expected fetch of the launch, and record its key as the last one on the worker."""
        key, worker = launch.job.key, launch.worker
        last_key, last_at = worker.last_key
        # Used so recently that it cannot have been evicted yet.
        launch.needs_no_fetch = (
            last_key == key and now - last_at < CACHED_RUNS * self._estimates.running_time.mean
        )
        launch.fetch_time = self.fetch_time(key, worker, self.homes_of(key))
        worker.last_key = (key, now)

    def assign_homes(self) -> None:
        """Have the homes of all keys assigned anew, by the work and the ready workers of now."""
        self._assignment = None
        self._running_time_at_change = self._estimates.running_time.mean

    def decay(self) -> None:
        """Decay the work per key once a second, and keep only the `MAX_KEYS` keys with the most work."""
        if not self.key_work:
            return
        kept = self.key_work.most_common(MAX_KEYS)
        self.key_work = Counter({key: work * KEY_WORK_KEPT_OF_60 / 60 for key, work in kept})
        self.orders.retain(self.key_work)
        self.assign_homes()

    def _current_assignment(self) -> HomeAssignment:
        """Return the assignment for the last change; it begins before any later job adds to the work."""
        if self._assignment is None:
            ready = self._fleet.ready
            self.orders.update(ready)
            # Adds one mean job of other keys per worker, so that the first jobs do not dominate the shares.
            smoothed_work = sum(self.key_work.values()) + len(ready) * self._running_time_at_change
            key_work = self.key_work.most_common()
            self._assignment = HomeAssignment(key_work, max(1.0, smoothed_work), self.orders, ready)
        return self._assignment
