"""Key affinity: the home workers at which the data of a key is expected to be cached.

All dispatchers order the workers of a key alike, as the order is a hash over the ids' texts.
"""

from collections import Counter
from collections.abc import Iterable
from zlib import crc32

from mastledge.scheduling.estimation import MOST_KEYS, Estimate, FleetEstimates
from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.state import Launch, Worker

MOST_SHARE_OF_KEYS = 1.1  # times its part of the work, above which a worker is home to no more keys
HASH_MULTIPLIER, HASH_VALUES = 0x9E3779B1, 1 << 32
WANTS_KEPT_OF_60 = 59  # of what keys wanted, each second
CACHED_RUNS = 2  # mean running times for which the data of the last key is surely still there


class KeyAffinity:
    """Homes of keys. `key_work`: smoothed work that each key wanted. `fetch`: the time that a fetch takes."""

    def __init__(self, fleet: FleetView, estimates: FleetEstimates):
        """A fetch takes a mean job's time, until more is learned."""
        self._fleet, self._estimates = fleet, estimates
        self.fetch = Estimate(estimates.running_time.mean, 0.0, 1)
        self.key_work: Counter = Counter()
        self.orders: dict[int, list] = {}
        self.homes: dict[int, list] = {}

    def job_arrived(self, key: int, work: float) -> None:
        """A job wants the data of this key."""
        self.key_work[key] += work

    def add_wants(self, wants: Iterable[tuple[int, float]]) -> None:
        """Another dispatcher's jobs wanted these keys, as (key, work)."""
        self.key_work.update(dict(wants))

    def fleet_changed(self) -> None:
        """Other workers are ready."""
        self.orders = {}
        self.assign_homes()

    def order(self, key: int) -> list:
        """The ready workers in the order of this key."""
        if key not in self.orders:
            salt = crc32(str(key).encode())
            # Multiplied, as sums of this kind alone would give like keys like orders.
            self.orders[key] = sorted(
                self._fleet.ready,
                key=lambda worker: (worker.name_hash ^ salt) * HASH_MULTIPLIER % HASH_VALUES,
            )
        return self.orders[key]

    def homes_of(self, key: int) -> list | tuple:
        """The home workers of a key; none for 0."""
        return self.homes.get(key) or self.order(key)[:1] if key else ()

    def fetch_time(self, key: int, worker: Worker, homes: Iterable[Worker]) -> float:
        """The time that a job of this key would spend there on fetching its data, in microseconds."""
        return 0.0 if worker in homes or worker.last_key[0] == key else self.fetch.mean

    def launched(self, launch: Launch, now: int) -> None:
        """Sets what the launch has to fetch, and that its key is now the last one there."""
        key, worker = launch.job.key, launch.worker
        last_key, last_at = worker.last_key
        # Just used there, so it cannot have been put out yet.
        launch.fetch_certain = (
            last_key == key and now - last_at < CACHED_RUNS * self._estimates.running_time.mean
        )
        launch.fetch_time = self.fetch_time(key, worker, self.homes_of(key))
        worker.last_key = (key, now)

    def assign_homes(self) -> None:
        """Each key gets as many homes as its jobs fill, the first in its order that are not crowded."""
        workers, crowd = len(self._fleet.ready), Counter()
        # The first jobs tell little: as much is added as a job of another key for each worker.
        known = sum(self.key_work.values()) + workers * self._estimates.running_time.mean
        whole = max(1.0, known)
        self.homes = {}
        for key, work in self.key_work.most_common():
            share, order = work / whole, self.order(key)
            count = 1 + int(share * workers)
            most = MOST_SHARE_OF_KEYS / workers if workers else 0.0
            homes = [worker for worker in order if crowd[worker] + share / count <= most][:count]
            self.homes[key] = homes = homes or order[:1]
            crowd.update(dict.fromkeys(homes, share / count))

    def fade(self) -> None:
        """Once a second: keys that are not wanted any more go, at the most so many are kept."""
        if not self.key_work:
            return
        kept = self.key_work.most_common(MOST_KEYS)
        self.key_work = Counter({key: work * WANTS_KEPT_OF_60 / 60 for key, work in kept})
        self.orders = {key: self.orders[key] for key in self.key_work if key in self.orders}
        self.assign_homes()
