"""Assignment of home workers to keys, by the work of the keys: consistent hashing with bounded loads.

Keys get their homes in the order of their work, as workers that are full by then are passed over.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable

from mastledge.scheduling.key_orders import KeyOrders
from mastledge.scheduling.rendezvous import key_hash, rank
from mastledge.scheduling.state import Worker

MAX_SHARE_OF_KEYS = 1.1  # times an equal share of the work, above which a worker gets no more keys
LEAST_CANDIDATES, CANDIDATES_PER_HOME = 6, 2  # workers that are tried first for a key
FEW_WITH_ROOM = 64  # workers with room up to which all of them are looked through


class WorkShares:
    """The share of all work that each worker has been given, and which workers have room for more."""

    def __init__(self, workers: list[Worker]):
        """Start with no work at any worker; no worker may get more than `max_share`."""
        self.max_share = MAX_SHARE_OF_KEYS / len(workers) if workers else 0.0
        self.of_worker = dict.fromkeys(workers, 0.0)
        # (share, number, worker) of each worker, sorted; None: not needed so far.
        self._sorted: list[tuple[float, int, Worker]] | None = None

    def add(self, worker: Worker, share: float) -> None:
        """Give the worker this share in addition."""
        before = self.of_worker[worker]
        after = self.of_worker[worker] = before + share
        if self._sorted is not None:
            del self._sorted[bisect_left(self._sorted, (before, worker.number))]
            insort(self._sorted, (after, worker.number, worker))

    def count_with_room_for(self, share: float) -> int:
        """Return how many workers may get this share in addition."""
        if self._sorted is None:
            self._sorted = sorted((taken, worker.number, worker) for worker, taken in self.of_worker.items())
        max_share = self.max_share
        return bisect_left(self._sorted, True, key=lambda entry: entry[0] + share > max_share)

    def with_room_for(self, share: float) -> list[Worker]:
        """Return the workers that may get this share in addition, in no particular order."""
        count = self.count_with_room_for(share)
        return [worker for _, _, worker in self._sorted[:count]]

    def first_with_room_for(self, share: float, workers: Iterable[Worker], most: int) -> list[Worker]:
        """Return the first of these workers that may get this share in addition, `most` at the most."""
        of_worker, max_share, found = self.of_worker, self.max_share, []
        for worker in workers:
            if of_worker[worker] + share <= max_share:
                found.append(worker)
                if len(found) == most:
                    break
        return found


class HomeAssignment:
    """The homes of each key, as many as its jobs fill: the first workers in its order that have room.

    Keys are assigned as far as homes are asked for. The workers must not change meanwhile.
    """

    def __init__(
        self, key_work: Iterable[tuple[int, float]], total_work: float, orders: KeyOrders, workers: list
    ):
        """Take the work of each key, most first, and that of all keys."""
        self._key_work, self._total_work = dict(key_work), total_work
        self._orders, self._workers = orders, workers
        self._shares = WorkShares(workers)
        self._unassigned = iter(self._key_work.items())
        self._homes: dict[int, list[Worker]] = {}

    def homes_of(self, key: int) -> list[Worker]:
        """Return the homes of a key; none if it had no work when the assignment began."""
        if key in self._key_work and key not in self._homes:
            self._assign_until(key)
        return self._homes.get(key, [])

    def all_homes(self) -> dict[int, list[Worker]]:
        """Return the homes of all keys."""
        self._assign_until(None)
        return self._homes

    def _assign_until(self, last_key: int | None) -> None:
        """Assign homes to the next keys, up to this one (None: to all)."""
        workers, total_work, shares = len(self._workers), self._total_work, self._shares
        first, first_with_room_for = self._orders.first, shares.first_with_room_for
        for key, work in self._unassigned:
            share = work / total_work
            count = 1 + int(share * workers)
            part = share / count
            candidates = first(key, LEAST_CANDIDATES + CANDIDATES_PER_HOME * count)
            homes = first_with_room_for(part, candidates, count)
            if len(homes) < count and len(candidates) < workers:
                homes = self._search_further(key, candidates, count, part)
            self._homes[key] = homes = homes or candidates[:1]
            for worker in homes:
                shares.add(worker, part)
            if key == last_key:
                break

    def _search_further(self, key: int, tried: list[Worker], count: int, part: float) -> list[Worker]:
        """Return the homes of a key where too few of the workers that were tried have room."""
        shares, candidates = self._shares, tried
        with_room = shares.count_with_room_for(part)
        while with_room > FEW_WITH_ROOM and len(candidates) < len(self._workers):
            candidates = self._orders.first(key, 2 * len(candidates))
            homes = shares.first_with_room_for(part, candidates, count)
            if len(homes) == count:
                return homes
        hashed = key_hash(key)
        homes = shares.with_room_for(part)
        homes.sort(key=lambda worker: (rank(worker.name_hash, hashed), worker.number))
        return homes[:count]
