"""A start by stages: what the data directory holds, what others answer, and admission by degrees.

Imported only where the configuration names `recovery`. This composes the parts of a start, each in a module
of its own, and drives the stages; the decisions are those of `recovery/`.
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
"""Between two looks at the stages."""
RESIZE_INTERVAL_US = 100_000
"""Between two looks at what the workers can take."""
DISCOVERY_SPREAD_US, MAX_DISCOVERY_SPREAD_US = 2_000, 250_000
"""By which the first call for the list is spread: for each dispatcher, and at most."""


class StartupRandom:
    """Random numbers from 0 to 1 of one dispatcher's start, the same ones for the same seed."""

    def __init__(self, seed: int, name: str):
        """`name`: of the dispatcher."""
        self._seed, self._name, self._draws = seed, name.encode(), 0

    def draw(self) -> float:
        """The next one."""
        self._draws += 1
        return crc32(b"start %d %s %d" % (self._seed, self._name, self._draws)) / 4294967296.0


class RecoveryService:
    """Composes the parts of a start; what the program, the fleet and the operators' API call."""

    def __init__(self, dispatcher: "Dispatcher", configuration: dict, log: Callable[..., None]):
        """`configuration`: of the program, with `recovery`; `log`: takes an event and its fields."""
        own, settings = configuration["recovery"], configuration["settings"]
        now = dispatcher.loop.now()
        max_retry_after_us = settings["most_hold_off"] if settings["may_hold_off"] else 0
        self.stages = StartupStages(now, bool(configuration["peers"]))
        self.ramp = AdmissionRamp(configuration["seed"], now, own["open"], max_retry_after_us)
        self.gate = AdmissionGate(dispatcher.loop, dispatcher.listener, self.ramp)
        self.restored = RestoredState.rejected("not read yet")
        self.directory = RecoveryDirectory(own["folder"], configuration["name"], log)
        self.exclusion = WorkerExclusion(dispatcher, own["list"], log)
        self._clock = RecoveryClock(dispatcher.loop, read_boot_id())
        builder = RecordBuilder(dispatcher, self.exclusion.newest_list)
        self.persistence = RecoveryPersistence(builder, self._clock, dispatcher.loop, log)
        self._random = StartupRandom(configuration["seed"], configuration["name"])
        self.poll = PeerLoadPoll(dispatcher, configuration["name"], self.ramp, self._random.draw)
        self._dispatcher, self._loop, self._log = dispatcher, dispatcher.loop, log
        self._list_validity_us = own["list"]
        self._started_at = now
        self._logged_stage: StartupStage | None = None
        self._tasks: list = []

    # Start and end

    def begin(self) -> None:
        """Opens the directory and starts the tasks; DataDirectoryError where another dispatcher has it."""
        self.directory.open(other_process_runs=self._dispatcher.has_sibling_process)
        vital, spawn = self._dispatcher.supervised, self._loop.spawn
        store = self.persistence.run(self._take_over_directory)
        self._tasks = [spawn(vital(self._run()), first=True), spawn(vital(store), first=True)]

    def _take_over_directory(self) -> None:
        if not self._dispatcher.listener.succeeded:
            self.directory.take_over()

    def prepare(self) -> Generator:
        """A coroutine that ends once the first call for the list may be made.

        It waits for the directory within the stage's bound and applies the list that it holds; then for a
        time by chance, lest all that start at once ask discovery in step.
        """
        while not self.directory.is_read and self.stages.stage == StartupStage.READING_STATE:
            yield (-1, 0, self._loop.now() + STAGE_INTERVAL_US)
        if self.restored.workers:
            self._dispatcher.discovery.apply(self._restored_list(), "cached")
            # Changes are counted from a list that its registry has given to this process.
            self._dispatcher.discovery.generation = None
        dispatchers = self._dispatcher.configuration["settings"]["dispatchers"]
        spread_us = min(MAX_DISCOVERY_SPREAD_US, DISCOVERY_SPREAD_US * dispatchers)
        yield (-1, 0, self._loop.now() + int(self._random.draw() * spread_us))

    def _restored_list(self) -> dict:
        """The restored endpoint list in the registry's form."""
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
        """Stores what is left and gives the directory free."""
        for task in self._tasks:
            self._loop.cancel(task)
        self._tasks = []
        self.persistence.stop()
        self.directory.close()

    # Stages

    def _run(self) -> Generator:
        """A task that drives the stages until the start is over, and the ramp all the time."""
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
        """Takes what the directory's thread has read, once."""
        record = self.directory.take_result()
        if self.directory.trouble:
            self.restored = RestoredState.rejected(self.directory.trouble)
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
        # Also those that are ejected here: that is this one's own view, and ends by jobs that are admitted.
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
        report(StartupStage.AWAITING_ENDPOINT_LIST, has_list, discovery.trouble or "discovery")
        if self.stages.stage == StartupStage.POLLING_PEERS:
            self.poll.poll(now)
        report(StartupStage.POLLING_PEERS, fleet is None or self.poll.is_complete(), "the others' load")
        report(StartupStage.RAMPING_UP, not self.ramp.limited)

    def may_serve(self) -> bool:
        """Whether jobs may be admitted, if only a few; degraded service counts as well."""
        return self.stages.may_serve()

    def waiting_for(self) -> str:
        """What the start waits for; "" once it is over."""
        return self.stages.waiting_for()

    # What the program and the fleet hand in and take

    def list_changed(self, kind: str, entries: list) -> None:
        """Discovery gave a list of the workers or changes of it, as the decisions take them."""
        self.exclusion.list_changed(kind, entries)

    def receive(self, name: str, content: bytes) -> None:
        """A frame of the dispatcher `name`, without its mark; MessageError where it can't be read."""
        self.poll.receive(name, content)

    def inherited(self) -> dict[str, list]:
        """What the decisions begin with by worker id, as `Scheduler.restore_learned` takes it."""
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
        """The answer to `GET /api/recovery`, whose fields have the operators' names."""
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
            "disk": "failing" if self.persistence.is_failing else self.directory.trouble or "good",
            "longest_write_us": self.persistence.longest_write_us(),
        }
        text = orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode()
        return Answer(200, text, [], "application/json")
