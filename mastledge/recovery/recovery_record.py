"""The records of a dispatcher's recovery log, and the state that they add up to.

Each record replaces all earlier ones of its kind. Its time is given by two clocks: Unix time, and the
machine's monotonic clock, which cannot be set, with the id of its boot. On disk a record is an array that
starts with its tag (docs/formats.md); the order of the fields below is that of the array. Times are whole
microseconds, Unix time unless said otherwise.
"""

from dataclasses import dataclass

import msgspec

from mastledge.recovery.errors import RecoveryRecordError

FORMAT = 1


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Both clocks at one moment; `boot_id` is "" if unknown."""

    unix_us: int
    monotonic_us: int
    boot_id: str


class StoredWorker(msgspec.Struct, array_like=True):
    """A worker as the endpoint list gave it; `started_at` is 0 for long ago."""

    state: str
    started_at: int
    address: list
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0


class RestrictedWorker(msgspec.Struct, array_like=True):
    """A worker of which only the restriction is known; it is read back as a `StoredWorker`."""

    state: str
    started_at: int
    address: list


class UnfinishedLoad(msgspec.Struct, array_like=True):
    """Load in slots of launches in flight on a worker; all of them must have ended at `until`."""

    started_at: int
    address: list
    load: float
    until: int


class LearnedWorker(msgspec.Struct, array_like=True):
    """State that the scheduler learned of a worker, as `Scheduler.learned_state` returns it.

    `peak`: the highest load seen running, in slots; `slow`: how many times as long a job takes as on the mean
    worker; `asides`: [reason, fields] of each ejection; its field `back_at` is a duration from the
    record's time.
    """

    slots: int | float | None
    peak: int | float | None
    slow: int | float | None
    asides: list


class ListRecord(msgspec.Struct, tag="list", array_like=True, forbid_unknown_fields=True):
    """The endpoint list: the registry that it is from, its generation, and its workers by id."""

    unix_us: int
    monotonic_us: int
    boot_id: str
    registry: str
    generation: int
    workers: dict[str, StoredWorker]


class LoadRecord(msgspec.Struct, tag="out", array_like=True):
    """The unfinished load, by worker id."""

    unix_us: int
    monotonic_us: int
    boot_id: str
    loads: dict[str, UnfinishedLoad]


class LearnedRecord(msgspec.Struct, tag="learned", array_like=True):
    """The state that the scheduler learned, by worker id."""

    unix_us: int
    monotonic_us: int
    boot_id: str
    workers: dict[str, LearnedWorker]


AnyRecord = ListRecord | LoadRecord | LearnedRecord


def encode_record(record: AnyRecord) -> list:
    """Return the array that is written for a record."""
    return msgspec.to_builtins(record)


def decode_record(fields: list | tuple) -> AnyRecord:
    """Return the record of an array; raise RecoveryRecordError if malformed or of a later version."""
    if fields[0] not in ("list", "out", "learned"):
        raise RecoveryRecordError(f"a record of a later version: {fields[0]}")
    try:
        return msgspec.convert(fields, AnyRecord)
    except msgspec.ValidationError as error:
        raise RecoveryRecordError(str(error)) from None


class RecoveryRecord(msgspec.Struct, kw_only=True):
    """The state that the records of a log add up to; both clocks are those of the last record written."""

    format: int = FORMAT
    unix_us: int = 0
    monotonic_us: int = 0
    boot_id: str = ""
    registry: str = ""
    generation: int = 0
    listed_at: int = 0
    workers: dict[str, StoredWorker] = {}
    loads: dict[str, UnfinishedLoad] = {}
    learned_at: int = 0
    learned: dict[str, LearnedWorker] = {}


class PersistedRecovery:
    """Holds the state into which a log is replayed; implements `storage.replayed_state`."""

    def __init__(self):
        """Create an empty state."""
        self.record = RecoveryRecord()

    def reset(self) -> None:
        """Discard all records."""
        self.record = RecoveryRecord()

    def apply(self, fields: list | tuple) -> None:
        """Apply one record, given as its array; raise RecoveryRecordError if it cannot be decoded."""
        update, record = decode_record(fields), self.record
        match update:
            case ListRecord():
                record.registry, record.generation = update.registry, update.generation
                record.workers, record.listed_at = update.workers, update.unix_us
            case LoadRecord():
                record.loads = update.loads
            case LearnedRecord():
                record.learned, record.learned_at = update.workers, update.unix_us
        record.unix_us = update.unix_us
        record.monotonic_us, record.boot_id = update.monotonic_us, update.boot_id

    def compacted_records(self) -> list[list]:
        """Return the fewest records, as arrays, that replay to the same state."""
        record = self.record
        if not record.unix_us:
            return []
        learned = LearnedRecord(*self._written_at(record.learned_at), record.learned)
        listed = ListRecord(
            *self._written_at(record.listed_at), record.registry, record.generation, record.workers
        )
        loads = LoadRecord(*self._written_at(record.unix_us), record.loads)
        return [encode_record(compacted) for compacted in (learned, listed, loads)]

    def _written_at(self, unix_us: int) -> tuple[int, int, str]:
        """Return both clocks at this Unix time, derived from those of the last record written."""
        record = self.record
        return unix_us, record.monotonic_us - (record.unix_us - unix_us), record.boot_id
