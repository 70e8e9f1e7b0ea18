"""The parts of the state stored by the previous run that are still valid after a start.

State of unknown age is rejected. Restored state never permits more than the endpoint list: it only excludes
workers and adds load to them. Times are whole microseconds, Unix time unless said otherwise.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from mastledge.recovery.errors import ClockError
from mastledge.recovery.newest_list import START_TOLERANCE_US
from mastledge.recovery.recovery_record import (
    FORMAT,
    ClockReading,
    LearnedWorker,
    RecoveryRecord,
    StoredWorker,
    UnfinishedLoad,
)

CLOCK_STEP_US = 5_000_000
"""How far Unix time may be behind a stored time: clock synchronization makes small steps."""
LEARNED_VALIDITY_US = 30_000_000


@dataclass(frozen=True, slots=True)
class RestoredState:
    """The parts of the stored state that are still valid, and why the others are rejected.

    `age_us`: time since the last record was written; `rejected_parts`: reasons by part, "all" for everything.
    """

    age_us: int = 0
    rejected_parts: dict[str, str] = field(default_factory=dict)
    generation: int = 0
    workers: dict[str, StoredWorker] = field(default_factory=dict)
    loads: dict[str, UnfinishedLoad] = field(default_factory=dict)
    learned: dict[str, LearnedWorker] = field(default_factory=dict)

    @classmethod
    def rejected(cls, reason: str) -> "RestoredState":
        """Return a state in which nothing is restored."""
        return cls(rejected_parts={"all": reason})

    def restricted(self) -> dict[str, int]:
        """Return {worker id: start} of the workers that the stored list restricted."""
        return {id: worker.started_at for id, worker in self.workers.items() if worker.state != "ready"}


@dataclass(frozen=True, slots=True)
class WorkerIdentity:
    """An incarnation of a worker: a worker that restarted or moved to another address has lost its jobs."""

    started_at: int
    address: Sequence

    def same_start(self, started_at: int) -> bool:
        """Return whether a worker that started at that time is the same incarnation."""
        return abs(self.started_at - started_at) <= START_TOLERANCE_US

    def runs(self, load: UnfinishedLoad) -> bool:
        """Return whether that load may still run on this worker."""
        return self.same_start(load.started_at) and list(self.address) == list(load.address)


@dataclass(frozen=True, slots=True)
class InheritedWorker:
    """The scheduler's initial state of one worker: learned values, and the previous run's load in slots."""

    slots: float | None
    peak: float | None
    slow: float | None
    asides: list
    load: float

    def fields(self) -> list:
        """Return the values in the form that `Scheduler.restore_learned` takes."""
        return [self.slots, self.peak, self.slow, self.asides, self.load]


def restore(record: RecoveryRecord, now: ClockReading, registry: str, list_validity_us: int) -> RestoredState:
    """Return the parts of a stored record that are valid now; `registry`: the current source of the list."""
    if not record.unix_us:
        return RestoredState.rejected("nothing is kept")
    if record.format != FORMAT:
        return RestoredState.rejected(f"of format {record.format}, this version reads {FORMAT}")
    try:
        age_us = record_age_us(record, now)
    except ClockError as error:
        return RestoredState.rejected(str(error))
    rejected_parts: dict[str, str] = {}
    list_reason = _list_rejection(record, age_us, registry, list_validity_us)
    if list_reason:
        rejected_parts["list"] = list_reason
    learned = {id: worker for id, worker in record.learned.items() if id in record.workers}
    if age_us + record.unix_us - record.learned_at > LEARNED_VALIDITY_US:
        rejected_parts["learned"] = "too old"
        learned = {}
    return RestoredState(
        age_us=age_us,
        rejected_parts=rejected_parts,
        generation=0 if list_reason else record.generation,
        workers={} if list_reason else dict(record.workers),
        loads=_valid_loads(record, now, age_us),
        learned=learned,
    )


def record_age_us(record: RecoveryRecord, now: ClockReading) -> int:
    """Return the time since the record was written; raise ClockError if it cannot be determined.

    Within one boot the monotonic clock is used, which cannot be set; otherwise Unix time.
    """
    if record.boot_id and record.boot_id == now.boot_id:
        if now.monotonic_us < record.monotonic_us:
            raise ClockError("its clock ran backwards within one boot")
        return now.monotonic_us - record.monotonic_us
    if now.unix_us < record.unix_us - CLOCK_STEP_US:
        ahead_s = (record.unix_us - now.unix_us) // 1_000_000
        raise ClockError(f"it was written {ahead_s} s ahead of this clock")
    return max(0, now.unix_us - record.unix_us)


def _list_rejection(record: RecoveryRecord, age_us: int, registry: str, list_validity_us: int) -> str:
    """Return why the stored list is rejected, or "" if it is valid."""
    if record.registry != registry:
        return "it is another registry's"
    if age_us + record.unix_us - record.listed_at > list_validity_us:
        return f"it is {age_us // 1000} ms old, over {list_validity_us // 1000} ms"
    return ""


def _valid_loads(record: RecoveryRecord, now: ClockReading, age_us: int) -> dict[str, UnfinishedLoad]:
    """Return the loads that may still run, with `until` converted to the current Unix clock."""
    loads = {}
    for id, load in record.loads.items():
        remaining_us = load.until - record.unix_us - age_us
        if remaining_us > 0 and load.load > 0:
            until = now.unix_us + remaining_us
            loads[id] = UnfinishedLoad(load.started_at, load.address, load.load, until)
    return loads


def surviving_loads(
    restored: RestoredState, now: int, workers: Mapping[str, WorkerIdentity]
) -> dict[str, float]:
    """Return {worker id: load in slots} of the previous run that may still run on the current workers."""
    return {
        id: load.load
        for id, load in restored.loads.items()
        if id in workers and workers[id].runs(load) and load.until > now
    }


def inherited_workers(
    restored: RestoredState, now: int, workers: Mapping[str, WorkerIdentity]
) -> dict[str, InheritedWorker]:
    """Return the scheduler's initial state by worker id, for the current workers with restored state.

    Times in `asides` are durations from the time of the record, as in the record.
    """
    loads = surviving_loads(restored, now, workers)
    inherited = {}
    for id, identity in workers.items():
        learned, stored = restored.learned.get(id), restored.workers.get(id)
        if learned is not None and stored is not None and identity.same_start(stored.started_at):
            inherited[id] = InheritedWorker(
                learned.slots, learned.peak, learned.slow, learned.asides, loads.get(id, 0.0)
            )
        elif id in loads:
            inherited[id] = InheritedWorker(None, None, None, [], loads[id])
    return inherited
