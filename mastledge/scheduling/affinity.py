"""Key affinity: the home workers on which the data of a key is expected to be cached.

All dispatchers order the workers of a key alike, as the order is a hash of the key and the worker ids.
"""

from collections import Counter
from collections.abc import Iterable
from zlib import crc32

from mastledge.scheduling.estimation import MAX_KEYS, Estimate, FleetEstimates
from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.state import Launch, Worker

MAX_SHARE_OF_KEYS = 1.1  # times an equal share of the work, above which a worker gets no more keys
HASH_MULTIPLIER, HASH_VALUES = 0x9E3779B1, 1 << 32
KEY_WORK_KEPT_OF_60 = 59  # 60ths of the work per key that are kept each second
CACHED_RUNS = 2  # mean running times for which the data of the last key surely stays cached


class KeyAffinity:
    """The home workers of each key.

    `key_work`: smoothed work of the jobs with each key. `fetch`: the time to fetch a key's data.
    """

    def __init__(self, fleet: FleetView, estimates: FleetEstimates):
        """Start with the mean running time as the estimate of a fetch."""
        self._fleet, self._estimates = fleet, estimates
        self.fetch = Estimate(estimates.running_time.mean, 0.0, 1)
        self.key_work: Counter = Counter()
        self.orders: dict[int, list] = {}
        self.homes: dict[int, list] = {}

    def job_arrived(self, key: int, work: float) -> None:
        """Add the work of a job with this key."""
        self.key_work[key] += work

    def add_key_work(self, key_work: Iterable[tuple[int, float]]) -> None:
        """Add the work per key that another dispatcher reported, as (key, work)."""
        self.key_work.update(dict(key_work))

    def fleet_changed(self) -> None:
        """Recompute orders and homes after the set of ready workers changed."""
        self.orders = {}
        self.assign_homes()

    def order(self, key: int) -> list:
        """Return the ready workers in the order of this key."""
        if key not in self.orders:
            salt = crc32(str(key).encode())
            # Multiplied, as CRC-32 values alone would give similar keys similar orders.
            self.orders[key] = sorted(
                self._fleet.ready,
                key=lambda worker: (worker.name_hash ^ salt) * HASH_MULTIPLIER % HASH_VALUES,
            )
        return self.orders[key]

    def homes_of(self, key: int) -> list | tuple:
        """Return the home workers of a key; none for key 0."""
        return self.homes.get(key) or self.order(key)[:1] if key else ()

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
        """Give each key as many homes as its jobs fill: the first uncrowded workers in its order."""
        workers, work_shares = len(self._fleet.ready), Counter()
        # Adds one mean job of other keys per worker, so that the first jobs do not dominate the shares.
        smoothed_work = sum(self.key_work.values()) + workers * self._estimates.running_time.mean
        total_work = max(1.0, smoothed_work)
        self.homes = {}
        for key, work in self.key_work.most_common():
            share, order = work / total_work, self.order(key)
            count = 1 + int(share * workers)
            max_share = MAX_SHARE_OF_KEYS / workers if workers else 0.0
            homes = [worker for worker in order if work_shares[worker] + share / count <= max_share][:count]
            self.homes[key] = homes = homes or order[:1]
            work_shares.update(dict.fromkeys(homes, share / count))

    def decay(self) -> None:
        """Decay the work per key once a second, and keep only the `MAX_KEYS` keys with the most work."""
        if not self.key_work:
            return
        kept = self.key_work.most_common(MAX_KEYS)
        self.key_work = Counter({key: work * KEY_WORK_KEPT_OF_60 / 60 for key, work in kept})
        self.orders = {key: self.orders[key] for key in self.key_work if key in self.orders}
        self.assign_homes()
