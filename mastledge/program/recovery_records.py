"""Conversion of the state of a running dispatcher to the stored records, and back for the scheduler."""

from dataclasses import astuple
from typing import TYPE_CHECKING

from mastledge.protocol.discovery import Discovery
from mastledge.protocol.worker_endpoint import WorkerEndpoint
from mastledge.recovery.newest_list import MAX_WORKERS, NewestList
from mastledge.recovery.recovery_record import (
    ClockReading,
    LearnedRecord,
    LearnedWorker,
    ListRecord,
    LoadRecord,
    RestrictedWorker,
    StoredWorker,
    UnfinishedLoad,
)
from mastledge.scheduling.outliers import CONNECTION_REFUSED

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

STORED_CONNECTION_REFUSED = "cut_off"
"""Stored form of the scheduler's reason `CONNECTION_REFUSED`, which is not a string."""
LOAD_END_STEP_US = 100_000
"""End times of loads are rounded up to this step, so that an unchanged load is not written repeatedly."""


def registry_name(configuration: dict) -> str:
    """Return the registry's name in the fleet's configuration, or else the address of discovery."""
    peers = configuration["peers"]
    if peers and peers["registry"]:
        return peers["registry"]
    host, port = configuration["discovery"]
    return f"{host}:{port}"


def start_of(endpoint: WorkerEndpoint, discovery: Discovery) -> int:
    """Return the start time of a worker in Unix microseconds; 0 if it started long ago."""
    return endpoint.started_at + discovery.since if endpoint.started_at else 0


def worker_starts(dispatcher: "Dispatcher") -> dict[str, int]:
    """Return {worker id: start in Unix microseconds} for the current endpoint list."""
    endpoints = dispatcher.router.endpoints
    return {id: start_of(endpoint, dispatcher.discovery) for id, endpoint in endpoints.items()}


def stored_asides(asides: list, now: int) -> list:
    """Return the [reason, fields] pairs of an ejected worker, with its next trial relative to `now`.

    A monotonic time has no meaning after a reboot, so none is stored.
    """
    return [
        [
            STORED_CONNECTION_REFUSED if reason == CONNECTION_REFUSED else reason,
            {**fields, "back_at": fields["back_at"] - now},
        ]
        for reason, fields in asides
    ]


def asides_from_stored(asides: list, now: int) -> list:
    """Return the [reason, fields] pairs of `stored_asides` with the next trial counted from `now`."""
    return [
        [
            CONNECTION_REFUSED if reason == STORED_CONNECTION_REFUSED else reason,
            {**fields, "back_at": now + fields["back_at"]},
        ]
        for reason, fields in asides
    ]


class RecordBuilder:
    """Builds records of the current state of the program."""

    def __init__(self, dispatcher: "Dispatcher", newest_list: NewestList):
        """Take the dispatcher and its newest list, which are only read."""
        self._dispatcher, self._newest_list = dispatcher, newest_list

    def endpoint_list(self, written_at: ClockReading) -> ListRecord | None:
        """Return the endpoint list that this process received; None if the stored one is newer."""
        discovery = self._dispatcher.discovery
        generation = discovery.generation
        if not discovery.answered or generation is None or generation < self._newest_list.generation:
            return None
        workers = {
            id: RestrictedWorker("gone", start, ["", 0]) for id, start in self._newest_list.restricted.items()
        }
        workers.update(self._listed_workers())
        registry = registry_name(self._dispatcher.configuration)
        return ListRecord(*astuple(written_at), registry, generation, workers)

    def _listed_workers(self) -> dict[str, StoredWorker]:
        discovery = self._dispatcher.discovery
        zones = {number: name for name, number in discovery.zones.items()}
        machine_types = {number: name for name, number in discovery.kinds.items()}
        workers = {}
        for worker in list(self._dispatcher.router.scheduler.workers.values())[:MAX_WORKERS]:
            endpoint = worker.id
            if endpoint.address is not None:
                workers[endpoint.id] = StoredWorker(
                    worker.state,
                    start_of(endpoint, discovery),
                    [*endpoint.address],
                    zones.get(worker.zone, ""),
                    machine_types.get(worker.kind, ""),
                    int(worker.cell),
                    float(worker.units),
                )
        return workers

    def unfinished_loads(self, written_at: ClockReading) -> LoadRecord:
        """Return the load in flight at each worker, and until when it may last."""
        discovery = self._dispatcher.discovery
        unix_us, now = written_at.unix_us, written_at.monotonic_us
        loads = {}
        for worker in self._dispatcher.router.scheduler.workers.values():
            endpoint = worker.id
            if worker.load > 0 and endpoint.address is not None:
                last_deadline = max(
                    (launch.job.deadline for launch in worker.in_flight.values()), default=now
                )
                until = (unix_us + max(0, last_deadline - now)) // LOAD_END_STEP_US * LOAD_END_STEP_US
                loads[endpoint.id] = UnfinishedLoad(
                    start_of(endpoint, discovery),
                    [*endpoint.address],
                    float(worker.load),
                    until + LOAD_END_STEP_US,
                )
        return LoadRecord(*astuple(written_at), loads)

    def learned(self, written_at: ClockReading) -> LearnedRecord:
        """Return what the scheduler has learned about each worker."""
        workers = {
            id: LearnedWorker(slots, peak, slow, stored_asides(asides, written_at.monotonic_us))
            for id, (slots, peak, slow, asides) in self._dispatcher.router.scheduler.learned_state().items()
        }
        return LearnedRecord(*astuple(written_at), workers)
