"""The workers that this dispatcher knows: the endpoint list, who is excluded, when to ask for the list."""

from collections.abc import Collection, Iterable
from enum import StrEnum

from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.state import Worker

FIRST_SLOTS = 8.0  # the paper's start where no worker has shown its slots
FIRST_POLL_STEPS = 100  # steps of the clock over which first polls are spread
RETRY_US, MOST_DOUBLINGS = 250_000, 6
RETRY_WITHOUT_LIMIT_US, POLL_WITHOUT_LIMIT_US = 1_000_000, 5_000_000


class ListKind(StrEnum):
    """What a host has heard of the endpoint list; members equal the plain strings."""

    CACHED = "cached"  # from a former incarnation of the dispatcher
    WHOLE = "whole"
    CHANGES = "changes"
    FAILED = "failed"


class FleetView:
    """Workers by id, and those of them that may get jobs, in the list's order."""

    def __init__(self):
        """No worker is known."""
        self.workers: dict = {}
        self.ready: list[Worker] = []
        self.ready_by_name_hash: dict[int, Worker] = {}
        # By the text of ids: excluded by an operator, and when exclusion was last taken back.
        self.excluded, self.called_back = (), {}

    def update(self, now: int, whole: bool, entries: Iterable[tuple]) -> None:
        """Takes over entries of the endpoint list; of a whole one, who is not named is gone."""
        named = {entry[1] for entry in entries}
        for entry in entries:
            self._take(now, *entry)
        for worker in self.workers.values() if whole else ():
            worker.state = worker.state if worker.id in named else "gone"
        # Each release brings new ids: who has gone is forgotten, once nothing is in flight there.
        self.workers = {
            worker.id: worker
            for worker in self.workers.values()
            if worker.state != "gone" or worker.in_flight
        }
        self._refresh_ready()

    def set_excluded(self, now: int, excluded: Collection[str], called_back: dict[str, int]) -> None:
        """Excluded workers get nothing whatever the list says; who is called back begins an incarnation.

        It may have been restarted unseen.
        """
        self.excluded, self.called_back = excluded, called_back
        for worker in self.workers.values():
            if called_back.get(str(worker.id), 0) > worker.born:
                worker.begin_incarnation(called_back[str(worker.id)], now)
        self._refresh_ready()

    def count_skipped(self, now: int) -> int:
        """How many workers of the list get nothing now: draining, excluded, or ejected."""
        return sum(
            worker not in self.ready or any(now < ejection.ends_at for ejection in worker.ejections.values())
            for worker in self.workers.values()
            if worker.state != "gone"
        )

    def _take(self, now, zone, worker_id, state, born, kind, cell, units):  # noqa: PLR0913 - one entry of the list
        worker, born = self.workers.get(worker_id), max(born, self.called_back.get(str(worker_id), 0))
        if worker is None:
            others = [other.slots for other in self.ready] or [FIRST_SLOTS]
            worker = self.workers[worker_id] = Worker(worker_id, sum(others) / len(others), born, now)
        elif born > worker.born:
            worker.begin_incarnation(born, now)
        worker.zone, worker.kind, worker.cell = zone, kind, cell
        worker.units, worker.state = units, state

    def _refresh_ready(self):
        listed = (worker for worker in self.workers.values() if worker.state == "ready")
        self.ready = [worker for worker in listed if str(worker.id) not in self.excluded]
        self.ready_by_name_hash = {worker.name_hash: worker for worker in self.ready}


class EndpointPoll:
    """When the endpoint list has to be asked for. `ask_at`: the next time; None: news come by themselves."""

    def __init__(self, settings: dict, random: RandomSource):
        """`begin` says when the first time is."""
        self._settings, self._random = settings, random
        self.ask_at, self._failures = None, 0

    def begin(self, now: int) -> None:
        """Starts as the settings say: at once pushed, or to be asked for."""
        self.ask_at, self._failures = None, 0
        if self._settings["follow"] != "pushed":
            # Dispatchers restarted together must not ask in step.
            self.ask_at = now + int(self._random.chance() * FIRST_POLL_STEPS * self._settings["step"])

    def failed(self, now: int) -> None:
        """Asks again after a backoff with jitter, well inside the time in which the list has to be had."""
        self._failures += 1
        most = self._settings["ask_within"] // 4 or RETRY_WITHOUT_LIMIT_US
        wait = min((1 << min(self._failures, MOST_DOUBLINGS)) * RETRY_US, most)
        self.ask_at = now + int(wait * (0.5 + self._random.chance() / 2))

    def answered(self) -> None:
        """The list has come, and news of it will."""
        self.ask_at, self._failures = None, 0

    def is_due(self, now: int) -> bool:
        """Whether to ask now, where `ask_at` is set.

        Asking counts even when the answer is lost, so the next time is set.
        """
        if self.ask_at > now:
            return False
        self.ask_at = now + (self._settings["ask_within"] // 2 or POLL_WITHOUT_LIMIT_US)
        return True
