"""The workers in the order of each key, kept up to date by difference as workers come and go.

Only the first workers of each order are kept: the cost of all would grow with workers times keys.
"""

from bisect import insort
from collections.abc import Collection

from mastledge.scheduling.rendezvous import RANKS, PackedHashes, key_hash, rank
from mastledge.scheduling.state import Worker

LEAST_WANTED = 8
NUMBER_BITS = 64  # more than the number of a worker has
KEPT_PER_WANTED = 2  # workers that are kept for each one that is wanted, as some of them leave the fleet
FEW_REMOVED = 16  # workers up to which they are looked up, in place of looking through all orders
TRIMMED_ABOVE = 32  # workers for each one that is wanted above which the order of a key is shortened


class KeyOrder:
    """The first workers in the order of a key: all of a rank below `limit`."""

    __slots__ = ("hash", "limit", "workers")

    def __init__(self, key: int):
        """Start with no worker."""
        self.hash, self.limit = key_hash(key), 0
        self.workers: list[Worker] = []

    def place(self, worker: Worker) -> int:
        """Return what the workers are sorted by: the rank, then the order of first listings."""
        return rank(worker.name_hash, self.hash) << NUMBER_BITS | worker.number

    def add(self, worker: Worker) -> None:
        """Add a worker of a rank below the limit."""
        insort(self.workers, worker, key=self.place)

    def shorten(self, length: int) -> None:
        """Keep about this many workers."""
        self.limit = rank(self.workers[length].name_hash, self.hash)
        end = self.limit << NUMBER_BITS
        self.workers = [worker for worker in self.workers[:length] if self.place(worker) < end]


class KeyOrders:
    """The first workers in the order of each key that was asked for."""

    def __init__(self):
        """Start with no worker and no key."""
        self._workers: list[Worker] = []
        self._orders: dict[int, KeyOrder] = {}
        # None: to be packed again, as the workers, the keys or their limits have changed.
        self._packed_workers: PackedHashes | None = None
        self._packed_keys: tuple[PackedHashes, int] | None = None

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._orders)

    def update(self, workers: list[Worker]) -> None:
        """Adopt these workers, in the order of the endpoint list; the list must not be changed later."""
        if workers is self._workers:
            return
        before, after = set(self._workers), set(workers)
        removed, added = before - after, after - before
        self._workers = workers
        if not removed and not added:
            return
        self._packed_workers = None
        if len(removed) + len(added) < len(workers):
            self._apply_difference(removed, added)
        else:
            self._orders = {}
            self._packed_keys = None

    def first(self, key: int, wanted: int = LEAST_WANTED) -> list[Worker]:
        """Return the first workers in the order of the key: at least as many as wanted, or all."""
        order = self._orders.get(key)
        if order is None or not wanted <= len(order.workers) <= TRIMMED_ABOVE * wanted:
            order = self._adjusted(key, max(wanted, LEAST_WANTED))
        return order.workers

    def retain(self, keys: Collection[int]) -> None:
        """Drop the orders of all other keys."""
        kept = {key: order for key, order in self._orders.items() if key in keys}
        if len(kept) < len(self._orders):
            self._orders, self._packed_keys = kept, None

    def _adjusted(self, key: int, wanted: int) -> KeyOrder:
        """Return the order of the key, extended or shortened to what is wanted."""
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = KeyOrder(key)
            self._packed_keys = None
        if len(order.workers) < wanted and order.limit < RANKS:
            self._extend(order, wanted)
            self._packed_keys = None
        elif len(order.workers) > TRIMMED_ABOVE * wanted:
            order.shorten(KEPT_PER_WANTED * wanted)
            self._packed_keys = None
        return order

    def _apply_difference(self, removed: Collection[Worker], added: Collection[Worker]) -> None:
        if not self._orders:
            return
        orders = list(self._orders.values())
        if self._packed_keys is None:
            packed = PackedHashes(order.hash for order in orders)
            self._packed_keys = packed, packed.limits(order.limit for order in orders)
        packed, limits = self._packed_keys
        if len(removed) <= FEW_REMOVED:
            for worker in removed:
                for position in packed.positions_below(worker.name_hash, limits):
                    orders[position].workers.remove(worker)
        else:
            for order in orders:
                order.workers = [worker for worker in order.workers if worker not in removed]
        for worker in added:
            for position in packed.positions_below(worker.name_hash, limits):
                orders[position].add(worker)

    def _extend(self, order: KeyOrder, wanted: int) -> None:
        """Raise the limit of the order until it holds as many workers as wanted, or all."""
        workers = self._workers
        if self._packed_workers is None:
            self._packed_workers = PackedHashes(worker.name_hash for worker in workers)
        packed, expected = self._packed_workers, KEPT_PER_WANTED * wanted
        while len(order.workers) < wanted and order.limit < RANKS:
            order.limit = RANKS if expected >= len(workers) else expected * RANKS // len(workers)
            positions = packed.positions_below(order.hash, packed.uniform_limits(order.limit))
            order.workers = sorted((workers[position] for position in positions), key=order.place)
            expected *= 2
