"""The workers of the endpoint list as this dispatcher's sockets know them."""

from collections.abc import Collection

from mastledge.protocol.events import EndpointsChanged
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.protocol.worker_endpoint import WorkerEndpoint

WHOLE_LISTS = ("whole", "cached")  # kinds that name every worker there is


class EndpointTable:
    """All endpoints of the list by id, and which of them operators exclude."""

    def __init__(self, connections: WorkerConnections) -> None:
        """`connections` closes idle ones to who is to get nothing new."""
        self.by_id: dict[str, WorkerEndpoint] = {}
        self.excluded: frozenset[str] = frozenset()
        self._connections = connections

    def update(self, change: EndpointsChanged) -> list[tuple]:
        """Takes over a change; its entries as `Scheduler.update_endpoints` takes them.

        Who is gone stays in the table until `remove_gone`, as the decisions are told of it first.
        """
        updated = []
        for worker_id, address, zone, state, started_at, machine_type, cell, weight in change.entries:
            endpoint = self.by_id.get(worker_id)
            if endpoint is None:
                endpoint = WorkerEndpoint(worker_id, worker_id in self.excluded)
                self.by_id[worker_id] = endpoint
            moved = endpoint.address and address != endpoint.address
            if state != "ready" or started_at > endpoint.started_at or moved:
                # Nothing new goes there, or its connections died with its former incarnation.
                self._connections.close_idle(endpoint)
            endpoint.address, endpoint.state = address, state
            endpoint.started_at = max(started_at, endpoint.started_at)
            updated.append((zone, endpoint, state, started_at, machine_type, cell, weight))
        if change.kind in WHOLE_LISTS:
            self._mark_gone_except({entry[0] for entry in change.entries})
        return updated

    def remove_gone(self) -> None:
        """Forgets who is gone; launches under way hold what they need of it."""
        self.by_id = {endpoint.id: endpoint for endpoint in self.by_id.values() if endpoint.state != "gone"}

    def exclude(self, excluded: frozenset[str]) -> None:
        """Takes over which workers are excluded from here on."""
        self.excluded = excluded
        for endpoint in self.by_id.values():
            was_excluded, endpoint.excluded = endpoint.excluded, endpoint.id in excluded
            if endpoint.excluded and not was_excluded:
                self._connections.close_idle(endpoint)

    def _mark_gone_except(self, listed: Collection[str]) -> None:
        for endpoint in self.by_id.values():
            if endpoint.id not in listed:
                endpoint.state = "gone"
                self._connections.close_idle(endpoint)
