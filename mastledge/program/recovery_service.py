"""A staged start: restore the data directory, poll other dispatchers for their load, ramp up admission.

Imported only if the configuration has `recovery`. This module composes the parts of a start and drives the
stages; the logic of each stage is in `recovery/`.
"""

from collections.abc import Callable, Generator
from typing import TYPE_CHECKING
from zlib import crc32

import orjson

from mastledge.program.recovery_admission import AdmissionGate
from mastledge.program.recovery_clock import RecoveryClock, read_boot_id
from mastledge.program.recovery_directory import RecoveryDirectory
from mastledge.program.recovery_exclusion import WorkerExclusion
from mastledge.program.recovery_peer_poll import PeerLoadPoll
from mastledge.program.recovery_persistence import RecoveryPersistence
from mastledge.program.recovery_records import (
    RecordBuilder,
    asides_from_stored,
    registry_name,
    worker_starts,
)
from mastledge.protocol.control import Answer, Request
from mastledge.recovery.admission_ramp import AdmissionRamp
from mastledge.recovery.restored_state import RestoredState, WorkerIdentity, inherited_workers, restore
from mastledge.recovery.startup_stages import StartupStage, StartupStages

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

STAGE_INTERVAL_US = 10_000
"""Interval between two checks of the stages."""
RESIZE_INTERVAL_US = 100_000
"""Interval between two adjustments of the ramp to the number of usable slots."""
DISCOVERY_SPREAD_US, MAX_DISCOVERY_SPREAD_US = 2_000, 250_000
"""Random delay of the first call for the endpoint list: per dispatcher, and the maximum."""


class StartupRandom:
    """Random numbers from 0 to 1 for the start of a dispatcher, reproducible from the seed."""

    def __init__(self, seed: int, name: str):
        """Take the seed and the name of the dispatcher."""
        self._seed, self._name, self._draws = seed, name.encode(), 0

    def draw(self) -> float:
        """Return the next number."""
        self._draws += 1
        return crc32(b"start %d %s %d" % (self._seed, self._name, self._draws)) / 4294967296.0


class RecoveryService:
    """Composes the parts of a start; the program, the fleet and the operators' API call it."""

    def __init__(self, dispatcher: "Dispatcher", configuration: dict, log: Callable[..., None]):
        """Take the whole configuration, with `recovery`; `log` takes an event and its fields."""
        recovery, settings = configuration["recovery"], configuration["settings"]
        now = dispatcher.loop.now()
        max_retry_after_us = settings["most_hold_off"] if settings["may_hold_off"] else 0
        self.stages = StartupStages(now, bool(configuration["peers"]))
        self.ramp = AdmissionRamp(configuration["seed"], now, recovery["open"], max_retry_after_us)
        self.gate = AdmissionGate(dispatcher.loop, dispatcher.listener, self.ramp)
        self.restored = RestoredState.rejected("not read yet")
        self.directory = RecoveryDirectory(recovery["folder"], configuration["name"], log)
        self.exclusion = WorkerExclusion(dispatcher, recovery["list"], log)
        self._clock = RecoveryClock(dispatcher.loop, read_boot_id())
        builder = RecordBuilder(dispatcher, self.exclusion.newest_list)
        self.persistence = RecoveryPersistence(builder, self._clock, dispatcher.loop, log)
        self._random = StartupRandom(configuration["seed"], configuration["name"])
        self.poll = PeerLoadPoll(dispatcher, configuration["name"], self.ramp, self._random.draw)
        self._dispatcher, self._loop, self._log = dispatcher, dispatcher.loop, log
        self._list_validity_us = recovery["list"]
        self._started_at = now
        self._logged_stage: StartupStage | None = None
        self._tasks: list = []

    # Start and end

    def begin(self) -> None:
        """Open the directory and start the tasks.

        Raise DataDirectoryError if the directory cannot be locked, unless a sibling process holds it.
        """
        self.directory.open(other_process_runs=self._dispatcher.has_sibling_process)
        supervised, spawn = self._dispatcher.supervised, self._loop.spawn
        store = self.persistence.run(self._take_over_directory)
        self._tasks = [spawn(supervised(self._run()), first=True), spawn(supervised(store), first=True)]

    def _take_over_directory(self) -> None:
        if not self._dispatcher.listener.has_successor:
            self.directory.take_over()

    def prepare(self) -> Generator:
        """Wait until discovery may be called for the first time or shutdown is requested, as a coroutine.

        Wait for the directory within the time limit of its stage and apply the stored list. Then wait for a
        random time, so that dispatchers that start together do not all call discovery at once.
        """
        dispatcher = self._dispatcher
        while not self.directory.is_read and self.stages.stage == StartupStage.READING_STATE:
            if dispatcher.stop_requested:
                return
            yield (-1, 0, self._loop.now() + STAGE_INTERVAL_US)
        if self.restored.workers:
            dispatcher.discovery.apply(self._restored_list(), "cached")
            # Changes apply only to a list that the registry gave to this process, so ask for a whole list.
            dispatcher.discovery.generation = None
        dispatchers = dispatcher.configuration["settings"]["dispatchers"]
        spread_us = min(MAX_DISCOVERY_SPREAD_US, DISCOVERY_SPREAD_US * dispatchers)
        yield (-1, 0, self._loop.now() + int(self._random.draw() * spread_us))

    def _restored_list(self) -> dict:
        """Return the restored endpoint list in the format of the registry."""
        instances = [
            {
                "instanceId": id,
                "hostPort": "{}:{}".format(*worker.address),
                "zone": worker.zone,
                "machineType": worker.machine_type,
                "cell": worker.cell,
                "weight": worker.weight,
                "lifecycle": worker.state,
                "startedAtMs": worker.started_at / 1000,
            }
            for id, worker in self.restored.workers.items()
            if worker.state != "gone"
        ]
        return {"generation": self.restored.generation, "reset": True, "instances": instances}

    def end(self) -> None:
        """Store the pending records and release the directory."""
        for task in self._tasks:
            self._loop.cancel(task)
        self._tasks = []
        self.persistence.stop()
        self.directory.close()

    # Stages

    def _run(self) -> Generator:
        """Drive the stages until the start is over, and the ramp for ever, as a task."""
        resize_at = 0
        while True:
            now = self._loop.now()
            if self.directory.has_result():
                self._restore()
            if now >= resize_at:
                resize_at = now + RESIZE_INTERVAL_US
                self._resize_ramp(now)
            if self.stages.stage != StartupStage.OPEN:
                self._advance_stages(now)
            self.ramp.update(now)
            if self.exclusion.newest_list.restricted:
                self.exclusion.update()
            starting = self.stages.stage != StartupStage.OPEN
            yield (-1, 0, now + STAGE_INTERVAL_US if starting else resize_at)

    def _restore(self) -> None:
        """Restore the state that the reader thread has read; called once."""
        record = self.directory.take_result()
        if self.directory.failure_reason:
            self.restored = RestoredState.rejected(self.directory.failure_reason)
        else:
            registry = registry_name(self._dispatcher.configuration)
            self.restored = restore(record, self._clock.now(), registry, self._list_validity_us)
        self.exclusion.newest_list.restore(self.restored.generation, self.restored.restricted())
        self.persistence.start(self.directory.write_ahead_log)
        self._log(
            "state_restored",
            age_ms=self.restored.age_us // 1000,
            workers=len(self.restored.workers),
            out=len(self.restored.loads),
            learned=len(self.restored.learned),
            unbelieved=self.restored.rejected_parts,
        )

    def _resize_ramp(self, now: int) -> None:
        scheduler = self._dispatcher.router.scheduler
        # Includes workers that are ejected here: an ejection is local, and only admitted jobs can end it.
        slots = scheduler.usable_slots(now)
        self.ramp.resize(slots, self._dispatcher.configuration["settings"]["dispatchers"])

    def _advance_stages(self, now: int) -> None:
        self._report_stages(now)
        stage = self.stages.advance(now)
        if stage == self._logged_stage:
            return
        self._logged_stage = stage
        self._log(
            "startup_stage",
            step=stage.value,
            lesser=list(self.stages.degraded.values()),
            ms=(now - self._started_at) // 1000,
            share=round(self.ramp.open_fraction(), 2),
        )
        if stage == StartupStage.RAMPING_UP:
            self.ramp.start(now)
        self._loop.wake(self._dispatcher.lifecycle_task)

    def _report_stages(self, now: int) -> None:
        discovery, fleet = self._dispatcher.discovery, self._dispatcher.fleet
        report = self.stages.report
        report(StartupStage.READING_STATE, self.directory.is_read, "its folder")
        if fleet is not None:
            report(StartupStage.AWAITING_LEASE, fleet.lease_guard.may_act(now), fleet.no_lease_reason())
        has_list = discovery.answered or discovery.task is None and discovery.generation is not None
        report(StartupStage.AWAITING_ENDPOINT_LIST, has_list, discovery.failure_reason or "discovery")
        if self.stages.stage == StartupStage.POLLING_PEERS:
            self.poll.poll(now)
        report(StartupStage.POLLING_PEERS, fleet is None or self.poll.is_complete(), "the others' load")
        report(StartupStage.RAMPING_UP, not self.ramp.limited)

    def may_serve(self) -> bool:
        """Return whether any jobs may be admitted, also in degraded service."""
        return self.stages.may_serve()

    def waiting_for(self) -> str:
        """Return what the start waits for; "" once the start is over."""
        return self.stages.waiting_for()

    # Calls of the program and the fleet

    def list_changed(self, kind: str, entries: list) -> None:
        """Take an endpoint list or its changes from discovery; `entries` are as the scheduler takes them."""
        self.exclusion.list_changed(kind, entries)

    def receive(self, name: str, content: bytes) -> None:
        """Handle a frame of the dispatcher `name`, without its prefix; raise MessageError if malformed."""
        self.poll.receive(name, content)

    def inherited(self) -> dict[str, list]:
        """Return the restored state of each worker by id, as `Scheduler.restore_learned` takes it."""
        unix_now, starts = self._clock.unix_now(), worker_starts(self._dispatcher)
        workers = {
            id: WorkerIdentity(starts[id], endpoint.address)
            for id, endpoint in self._dispatcher.router.endpoints.items()
        }
        inherited = inherited_workers(self.restored, unix_now, workers)
        now = self._loop.now()
        load = sum(worker.load for worker in inherited.values())
        self._log("load_restored", workers=len(inherited), load=round(load, 1))
        return {
            id: [worker.slots, worker.peak, worker.slow, asides_from_stored(worker.asides, now), worker.load]
            for id, worker in inherited.items()
        }

    # Operators

    def figures(self, request: Request) -> Answer:
        """Answer `GET /api/recovery`; its fields have the names that operators use."""
        figures = {
            **self.stages.figures(self._loop.now()),
            "door": self.ramp.figures(),
            "believed": {
                "age_ms": self.restored.age_us // 1000,
                "workers": len(self.restored.workers),
                "out": len(self.restored.loads),
                "learned": len(self.restored.learned),
                "not": self.restored.rejected_parts,
            },
            "kept_off": sorted(self._dispatcher.excluded.by_newer_list),
            "asked": self.poll.polled(),
            "answered": self.poll.answered(),
            "disk": "failing" if self.persistence.is_failing else self.directory.failure_reason or "good",
            "longest_write_us": self.persistence.longest_write_us(),
        }
        text = orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode()
        return Answer(200, text, [], "application/json")
