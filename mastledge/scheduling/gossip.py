"""Load messages between dispatchers: the load that each has in flight at each worker, and the work per key.

Each message goes to all dispatchers, so its cost limits how often one is sent. Times are whole
microseconds.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from mastledge.scheduling.estimation import MAX_KEYS
from mastledge.scheduling.fleet_view import FleetView

PRICE_SHARE = 0.005  # share of all utility that messages may cost
SHORTEST_INTERVAL_US = 100_000
LONGEST_INTERVAL_US = 2_000_000  # above it messages would be too old to be useful
EXPIRY_INTERVALS = 2  # longest intervals after which the load of a silent dispatcher is dropped
MAX_LOADS, MAX_KEYS_SENT = 30, 9  # entries in a message


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """The last load message of another dispatcher; `loads`: (worker, its incarnation then, load)."""

    sent_at: int
    received_at: int
    loads: list


class LoadGossip:
    """Schedules, builds and applies load messages.

    `peers`: last message of each dispatcher, by its number. `message_at`: when the next message is due; None:
    none is. `interval`: time between messages; 0: no messages.
    """

    def __init__(self, settings: dict, fleet: FleetView):
        """Start with no message sent or received."""
        self._settings, self._fleet = settings, fleet
        self.peers: dict[int, PeerLoad] = {}
        self.message_at, self.interval = None, 0
        self.unsent_key_work: Counter = Counter()

    def job_arrived(self, key: int, work: float, now: int) -> None:
        """Add the work of a job with this key (0: no key), and schedule a message."""
        if key and len(self.unsent_key_work) < MAX_KEYS:
            self.unsent_key_work[key] += work
        if self.message_at is None and self.interval:
            self.message_at = now + self.interval

    def receive(self, now: int, sender: int, sent_at: int, loads: Iterable[tuple[int, float]]) -> bool:
        """Apply the loads by worker name hash; return False for an old message or this dispatcher's own."""
        previous = self.peers.get(sender)
        if sender == self._settings["me"] or previous and previous.sent_at >= sent_at:
            return False
        if previous:
            self._forget(sender)
        by_name_hash = self._fleet.ready_by_name_hash
        known = [(by_name_hash[name], load) for name, load in loads if name in by_name_hash]
        for worker, load in known:
            worker.gossiped_load += load
        self.peers[sender] = PeerLoad(sent_at, now, [(worker, worker.born, load) for worker, load in known])
        return True

    def expire(self, now: int) -> None:
        """Drop the loads of dispatchers that have been silent for too long."""
        max_age = EXPIRY_INTERVALS * LONGEST_INTERVAL_US
        for sender in [sender for sender, load in self.peers.items() if now - load.received_at > max_age]:
            self._forget(sender)

    def is_due(self, now: int, any_open: bool) -> bool:
        """Return whether to send a message now; `message_at` must not be None.

        The next message is scheduled only while jobs are open.
        """
        if self.message_at > now:
            return False
        self.message_at = now + self.interval if self.interval and any_open else None
        return True

    def message(self) -> tuple[list, list]:
        """Return the loads of the busiest workers, and the keys with the most work since the last message."""
        busiest = sorted(self._fleet.ready, key=lambda worker: -worker.load)[:MAX_LOADS]
        loads = [(worker.name_hash, worker.load) for worker in busiest if worker.load]
        most_work = self.unsent_key_work.most_common(MAX_KEYS_SENT)
        return loads, [(key, self.unsent_key_work.pop(key)) for key, _ in most_work]

    def recompute(self, arrival_rate: float) -> None:
        """Set the interval between messages for this arrival rate (jobs per second), once a second."""
        settings = self._settings
        others = settings["dispatchers"] - 1
        price = max(1.0, settings["price_peer"] / PRICE_SHARE)
        interval = max(SHORTEST_INTERVAL_US, int(price * others / arrival_rate * 1e6))
        sends = settings["may_message"] and others > 0 and interval <= LONGEST_INTERVAL_US
        self.interval = interval if sends else 0

    def _forget(self, sender: int) -> None:
        for worker, born, load in self.peers.pop(sender).loads:
            if worker.born == born:
                worker.gossiped_load -= load
