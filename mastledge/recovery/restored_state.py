"""What a dispatcher may rely on, after a start, of what it stored in its last run.

What can't be placed in time is rejected. Restored state is never looser than the endpoint list: it only
excludes workers and puts load on them. Times are whole microseconds, Unix time unless said otherwise.
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
"""That Unix time may stand behind a stored one: small steps are made as clocks are set."""
LEARNED_VALIDITY_US = 30_000_000


@dataclass(frozen=True, slots=True)
class RestoredState:
    """The parts of the stored state that are still valid, and why the others are rejected.

    `age_us`: since the last record was written; `rejected_parts`: reasons by part, "all" for everything.
    """

    age_us: int = 0
    rejected_parts: dict[str, str] = field(default_factory=dict)
    generation: int = 0
    workers: dict[str, StoredWorker] = field(default_factory=dict)
    loads: dict[str, UnfinishedLoad] = field(default_factory=dict)
    learned: dict[str, LearnedWorker] = field(default_factory=dict)

    @classmethod
    def rejected(cls, reason: str) -> "RestoredState":
        """Nothing is restored."""
        return cls(rejected_parts={"all": reason})

    def restricted(self) -> dict[str, int]:
        """{worker id: start} of the workers that the stored list kept from new jobs."""
        return {id: worker.started_at for id, worker in self.workers.items() if worker.state != "ready"}


@dataclass(frozen=True, slots=True)
class WorkerIdentity:
    """An incarnation of a worker: one that was started anew, or stands elsewhere, has lost its jobs."""

    started_at: int
    address: Sequence

    def same_start(self, started_at: int) -> bool:
        """Whether a worker that started then is the same incarnation."""
        return abs(self.started_at - started_at) <= START_TOLERANCE_US

    def runs(self, load: UnfinishedLoad) -> bool:
        """Whether that load may still be on this worker."""
        return self.same_start(load.started_at) and list(self.address) == list(load.address)


@dataclass(frozen=True, slots=True)
class InheritedWorker:
    """What the decisions begin with for one worker: what was learned, and load of the last run in slots."""

    slots: float | None
    peak: float | None
    slow: float | None
    asides: list
    load: float

    def fields(self) -> list:
        """The form that `Scheduler.restore_learned` takes."""
        return [self.slots, self.peak, self.slow, self.asides, self.load]


def restore(record: RecoveryRecord, now: ClockReading, registry: str, list_validity_us: int) -> RestoredState:
    """What is valid now of a stored record; `registry`: the one that names the workers now."""
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
    """How long ago the record was written; ClockError where that can't be known.

    Within one boot the monotonic clock counts, which nobody sets; else Unix time does.
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
    """Why the stored list is rejected, "" where it is valid."""
    if record.registry != registry:
        return "it is another registry's"
    if age_us + record.unix_us - record.listed_at > list_validity_us:
        return f"it is {age_us // 1000} ms old, over {list_validity_us // 1000} ms"
    return ""


def _valid_loads(record: RecoveryRecord, now: ClockReading, age_us: int) -> dict[str, UnfinishedLoad]:
    """What may still run, with its ends by the clock of now: spans count from when they were written."""
    loads = {}
    for id, load in record.loads.items():
        left_us = load.until - record.unix_us - age_us
        if left_us > 0 and load.load > 0:
            until = now.unix_us + left_us
            loads[id] = UnfinishedLoad(load.started_at, load.address, load.load, until)
    return loads


def surviving_loads(
    restored: RestoredState, now: int, workers: Mapping[str, WorkerIdentity]
) -> dict[str, float]:
    """{worker id: load in slots} of the last run that may still be on the workers of the list of now."""
    return {
        id: load.load
        for id, load in restored.loads.items()
        if id in workers and workers[id].runs(load) and load.until > now
    }


def inherited_workers(
    restored: RestoredState, now: int, workers: Mapping[str, WorkerIdentity]
) -> dict[str, InheritedWorker]:
    """What the decisions begin with, by id of the workers of the list of now of which anything is known.

    Times in `asides` are spans from when they were written, as in the record.
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
