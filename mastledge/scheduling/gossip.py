"""Load messages between dispatchers: what each has in flight at each worker, and the keys that were wanted.

Messages go to all, so they are as rare as their price asks for. Times are whole microseconds.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from mastledge.scheduling.estimation import MOST_KEYS
from mastledge.scheduling.fleet_view import FleetView

PRICE_SHARE = 0.005  # of all utility, what messages may cost
SHORTEST_INTERVAL_US = 100_000
LONGEST_INTERVAL_US = 2_000_000  # above it what messages tell is too old to be worth them
EXPIRY_INTERVALS = 2  # longest intervals after which a silent dispatcher has nothing in flight
MOST_LOADS, MOST_WANTS = 30, 9  # in a message


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What another dispatcher told last: (worker, its incarnation then, load)."""

    told_at: int
    received_at: int
    loads: list


class LoadGossip:
    """Sends and takes load messages. `peers`: what each other dispatcher told last, by its number.

    `message_at`: when the next message is due; None: none is. `interval`: 0: no messages.
    """

    def __init__(self, settings: dict, fleet: FleetView):
        """Nothing was told."""
        self._settings, self._fleet = settings, fleet
        self.peers: dict[int, PeerLoad] = {}
        self.message_at, self.interval = None, 0
        self.untold_wants: Counter = Counter()

    def job_arrived(self, key: int, work: float, now: int) -> None:
        """A job wants the data of this key; 0: of none."""
        if key and len(self.untold_wants) < MOST_KEYS:
            self.untold_wants[key] += work
        if self.message_at is None and self.interval:
            self.message_at = now + self.interval

    def receive(self, now: int, sender: int, told_at: int, loads: Iterable[tuple[int, float]]) -> bool:
        """Takes over loads by name hash; False for one's own message, and for an older one."""
        before = self.peers.get(sender)
        if sender == self._settings["me"] or before and before.told_at >= told_at:
            return False
        if before:
            self._forget(sender)
        by_name_hash = self._fleet.ready_by_name_hash
        known = [(by_name_hash[name], load) for name, load in loads if name in by_name_hash]
        for worker, load in known:
            worker.gossiped_load += load
        self.peers[sender] = PeerLoad(told_at, now, [(worker, worker.born, load) for worker, load in known])
        return True

    def expire(self, now: int) -> None:
        """Dispatchers that are not heard any more have nothing in flight."""
        most = EXPIRY_INTERVALS * LONGEST_INTERVAL_US
        for sender in [sender for sender, told in self.peers.items() if now - told.received_at > most]:
            self._forget(sender)

    def is_due(self, now: int, any_open: bool) -> bool:
        """Whether to send a message now, where `message_at` is set.

        The next one is due only while jobs are open.
        """
        if self.message_at > now:
            return False
        self.message_at = now + self.interval if self.interval and any_open else None
        return True

    def message(self) -> tuple[list, list]:
        """Loads of the workers with the most in flight, and the keys wanted most since the last message."""
        busiest = sorted(self._fleet.ready, key=lambda worker: -worker.load)[:MOST_LOADS]
        loads = [(worker.name_hash, worker.load) for worker in busiest if worker.load]
        most_wanted = self.untold_wants.most_common(MOST_WANTS)
        return loads, [(key, self.untold_wants.pop(key)) for key, _ in most_wanted]

    def survey(self, arrival_rate: float) -> None:
        """Once a second: how often messages go at this many jobs a second."""
        settings = self._settings
        others = settings["dispatchers"] - 1
        price = max(1.0, settings["price_peer"] / PRICE_SHARE)
        wait = max(SHORTEST_INTERVAL_US, int(price * others / arrival_rate * 1e6))
        sends = settings["may_message"] and others > 0 and wait <= LONGEST_INTERVAL_US
        self.interval = wait if sends else 0

    def _forget(self, sender: int) -> None:
        for worker, born, load in self.peers.pop(sender).loads:
            if worker.born == born:
                worker.gossiped_load -= load
