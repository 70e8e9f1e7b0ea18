"""What a simulated dispatcher stores for its next incarnation, and what that one makes of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastledge.lab.simulator.discovery import Listed
from mastledge.lab.simulator.endpoint_watch import scheduler_entries
from mastledge.recovery.admission_ramp import AdmissionRamp, PeerLoad
from mastledge.recovery.newest_list import NewestList
from mastledge.recovery.recovery_record import (
    ClockReading,
    LearnedWorker,
    RecoveryRecord,
    StoredWorker,
    UnfinishedLoad,
)
from mastledge.recovery.restored_state import RestoredState, WorkerIdentity, inherited_workers, restore
from mastledge.scheduling.fleet_view import ListKind

if TYPE_CHECKING:
    from mastledge.lab.simulator.dispatcher import Dispatcher

REGISTRY = "lab"
NO_START = ["", 0]  # the simulator knows no boot identities of workers
UNSTORED_US = 200_000  # what was launched later than this before a crash is not on the disk
MAX_PEER_LOADS = 5  # peers that are asked for their load at a start


class DispatcherRecovery:
    """The stored record of one dispatcher and, while its process runs, ramp and restored state."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Nothing is stored."""
        self.dispatcher = dispatcher
        self.stored: RecoveryRecord | None = None
        self.ramp: AdmissionRamp | None = None
        self.restored: RestoredState | None = None
        self.newest_list = NewestList()
        self.excluded: frozenset[str] = frozenset()  # workers that a newer list restricted

    def start(self, settings: dict, seed: int) -> None:
        """A new process reads what its predecessor stored, if the scenario has recovery at all."""
        self.ramp, self.restored = None, None
        dispatcher = self.dispatcher
        options = dispatcher.simulation.scenario.recovery
        if not options:
            return
        now = dispatcher.simulation.now
        ramp_us = int(options.get("open_ms", 5_000)) * 1000
        self.ramp = AdmissionRamp(seed, now, ramp_us, settings["most_hold_off"])
        stored, self.stored = self.stored, None
        validity_us = int(options.get("list_ms", 60_000)) * 1000
        self.restored = restore(stored or RecoveryRecord(), ClockReading(now, now, ""), REGISTRY, validity_us)
        self.newest_list = NewestList()
        self.newest_list.restore(self.restored.generation, self.restored.restricted())
        if self.restored.workers:
            workers = self.restored.workers.items()
            cached = {name: Listed(worker.state, worker.started_at) for name, worker in workers}
            dispatcher.scheduler.update_endpoints(now, ListKind.CACHED, scheduler_entries(cached))

    def store(self) -> None:
        """The process dies: what its folder has of it is what the program's recovery would have written."""
        dispatcher = self.dispatcher
        if dispatcher.simulation.scenario.recovery and dispatcher.scheduler is not None:
            self.stored = self._record()

    def stop(self) -> None:
        """What was in memory is gone."""
        self.ramp = self.restored = None

    def _record(self) -> RecoveryRecord:
        dispatcher = self.dispatcher
        now = dispatcher.simulation.now
        loads, workers = {}, {}
        for worker in dispatcher.scheduler.workers.values():
            workers[worker.id] = StoredWorker(worker.state, worker.born, NO_START.copy())
            stored = [launch for launch in worker.in_flight.values() if launch.sent_at <= now - UNSTORED_US]
            if stored:
                last = max(launch.job.deadline for launch in stored)
                load = sum(launch.load for launch in stored)
                loads[worker.id] = UnfinishedLoad(worker.born, NO_START.copy(), load, last)
        learned_state = dispatcher.scheduler.learned_state()
        return RecoveryRecord(
            unix_us=now,
            registry=REGISTRY,
            generation=dispatcher.watch.generation or 0,
            listed_at=now,
            workers=workers,
            loads=loads,
            learned_at=now,
            learned={name: LearnedWorker(*fields[:3], []) for name, fields in learned_state.items()},
        )

    def update_ramp(self) -> None:
        """Tells the ramp the time, and how many slots the dispatcher may use."""
        if self.ramp is None:
            return
        simulation = self.dispatcher.simulation
        slots = self.dispatcher.scheduler.usable_slots(simulation.now)
        self.ramp.resize(slots, simulation.settings["dispatchers"])
        self.ramp.update(simulation.now)

    def take_over(self) -> None:
        """The dispatcher begins to serve: what was learned goes to the scheduler, and the ramp starts."""
        if self.ramp is None:
            return
        simulation, scheduler = self.dispatcher.simulation, self.dispatcher.scheduler
        now = simulation.now
        identities = {
            worker.id: WorkerIdentity(worker.born, NO_START.copy()) for worker in scheduler.workers.values()
        }
        inherited = inherited_workers(self.restored, now, identities)
        scheduler.restore_learned(now, {name: worker.fields() for name, worker in inherited.items()})
        self.ramp.use_peer_loads(self._peer_loads())
        self.ramp.start(now)

    def _peer_loads(self) -> list[PeerLoad]:
        """Of a few peers, drawn with repeats."""
        simulation = self.dispatcher.simulation
        peers = [
            peer for peer in simulation.dispatchers.values() if peer is not self.dispatcher and peer.is_up
        ]
        drawn = [peers[simulation.draw(len(peers))] for _ in range(min(MAX_PEER_LOADS, len(peers)))]
        ramps = [peer.recovery.ramp for peer in drawn if peer.recovery.ramp]
        return [PeerLoad(ramp.in_flight, not ramp.limited) for ramp in ramps]

    def exclude_by_newer_list(self) -> None:
        """Excludes what a newer list than that of discovery had restricted."""
        if self.restored is None or not self.newest_list.restricted:
            return
        dispatcher = self.dispatcher
        starts = {worker.id: worker.born for worker in dispatcher.scheduler.workers.values()}
        excluded = self.newest_list.excluded(dispatcher.watch.generation, starts)
        if dispatcher.watch.generation is not None and not excluded:
            self.newest_list.restricted = {}
        self.excluded = excluded
        dispatcher.refresh_exclusions()
