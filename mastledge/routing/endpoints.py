"""The workers of the endpoint list, with their addresses and idle connections."""

from collections import deque
from collections.abc import Collection

from mastledge.protocol.events import EndpointsChanged
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.protocol.worker_endpoint import WorkerEndpoint

WHOLE_LISTS = ("whole", "cached")  # kinds of change that name all workers
CHANGES = "changes"  # kind of a change that names only some workers


def with_following_changes(change: EndpointsChanged, queue: deque) -> EndpointsChanged:
    """Return one change for this one and those at the front of the queue, which are removed from it.

    The scheduler recomputes fleet-wide values for each update, so many single ones would delay the jobs
    behind them. Any other event, and a list that is whole, ends the run.
    """
    if change.kind != CHANGES:
        return change
    entries = list(change.entries)
    while queue and queue[0].__class__ is EndpointsChanged and queue[0].kind == CHANGES:
        entries.extend(queue.popleft().entries)
    return EndpointsChanged(CHANGES, entries)


class EndpointTable:
    """Holds all endpoints of the list by worker id, and which of them operators exclude."""

    def __init__(self, connections: WorkerConnections) -> None:
        """Create an empty table; `connections` closes idle connections to workers that take no launches."""
        self.by_id: dict[str, WorkerEndpoint] = {}
        self.excluded: frozenset[str] = frozenset()
        self._connections = connections
        self._gone: set[str] = set()  # ids of workers that are gone and still in the table

    def update(self, change: EndpointsChanged) -> list[tuple]:
        """Apply a change, and return its entries in the form that `Scheduler.update_endpoints` takes.

        Workers that are gone stay in the table until `remove_gone`, as the scheduler is told of them first.
        """
        updated = []
        for worker_id, address, zone, state, started_at, machine_type, cell, weight in change.entries:
            endpoint = self.by_id.get(worker_id)
            if endpoint is None:
                endpoint = WorkerEndpoint(worker_id, worker_id in self.excluded)
                self.by_id[worker_id] = endpoint
            moved = endpoint.address and address != endpoint.address
            if state != "ready" or started_at > endpoint.started_at or moved:
                # The worker takes no new launches, or its connections ended with its previous incarnation.
                self._connections.close_idle(endpoint)
            endpoint.address, endpoint.state = address, state
            endpoint.started_at = max(started_at, endpoint.started_at)
            if state == "gone":
                self._gone.add(worker_id)
            updated.append((zone, endpoint, state, started_at, machine_type, cell, weight))
        if change.kind in WHOLE_LISTS:
            self._mark_gone_except({entry[0] for entry in change.entries})
        return updated

    def remove_gone(self) -> None:
        """Remove workers that are gone; launches in flight keep their own reference to the endpoint."""
        for worker_id in self._gone:
            if self.by_id[worker_id].state == "gone":
                del self.by_id[worker_id]
        self._gone.clear()

    def exclude(self, excluded: frozenset[str]) -> None:
        """Replace the set of excluded workers."""
        self.excluded = excluded
        for endpoint in self.by_id.values():
            was_excluded, endpoint.excluded = endpoint.excluded, endpoint.id in excluded
            if endpoint.excluded and not was_excluded:
                self._connections.close_idle(endpoint)

    def _mark_gone_except(self, listed: Collection[str]) -> None:
        for endpoint in self.by_id.values():
            if endpoint.id not in listed:
                endpoint.state = "gone"
                self._gone.add(endpoint.id)
                self._connections.close_idle(endpoint)
