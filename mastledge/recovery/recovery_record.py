"""The records of a dispatcher's recovery log, and what they amount to.

Each record is all that is known of one thing when it was written, and says when that was by two clocks: Unix
time and the machine's monotonic clock, which cannot be set, with the id of its boot. On disk a record is an
array that begins with its tag (docs/formats.md); the order of the fields below is that of the array. Times
are whole microseconds, Unix time unless said otherwise.
"""

from dataclasses import dataclass

import msgspec

from mastledge.recovery.errors import RecoveryRecordError

FORMAT = 1


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Both clocks at one moment; `boot_id` is "" where it isn't known."""

    unix_us: int
    monotonic_us: int
    boot_id: str


class StoredWorker(msgspec.Struct, array_like=True):
    """A worker as the endpoint list named it; `started_at` is 0 for long ago."""

    state: str
    started_at: int
    address: list
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0


class RestrictedWorker(msgspec.Struct, array_like=True):
    """A worker of which only its restriction is known: written so, and read as a `StoredWorker`."""

    state: str
    started_at: int
    address: list


class UnfinishedLoad(msgspec.Struct, array_like=True):
    """Load in slots that was launched on a worker and had not ended; all of it must have ended at `until`."""

    started_at: int
    address: list
    load: float
    until: int


class LearnedWorker(msgspec.Struct, array_like=True):
    """What the decisions learned of a worker, as `Scheduler.learned_state` gives it.

    `asides`: [reason, fields] of each ejection; `back_at` among the fields is a span from the record's time.
    """

    slots: int | float | None
    peak: int | float | None
    slow: int | float | None
    asides: list


class ListRecord(msgspec.Struct, tag="list", array_like=True, forbid_unknown_fields=True):
    """The endpoint list: its registry, generation and workers by id."""

    unix_us: int
    monotonic_us: int
    boot_id: str
    registry: str
    generation: int
    workers: dict[str, StoredWorker]


class LoadRecord(msgspec.Struct, tag="out", array_like=True):
    """Unfinished load by worker id."""

    unix_us: int
    monotonic_us: int
    boot_id: str
    loads: dict[str, UnfinishedLoad]


class LearnedRecord(msgspec.Struct, tag="learned", array_like=True):
    """What the decisions learned, by worker id."""

    unix_us: int
    monotonic_us: int
    boot_id: str
    workers: dict[str, LearnedWorker]


AnyRecord = ListRecord | LoadRecord | LearnedRecord


def encode_record(record: AnyRecord) -> list:
    """The array that is written for a record."""
    return msgspec.to_builtins(record)


def decode_record(fields: list | tuple) -> AnyRecord:
    """A record from its array; RecoveryRecordError where it makes no sense or is of a later version."""
    if fields[0] not in ("list", "out", "learned"):
        raise RecoveryRecordError(f"a record of a later version: {fields[0]}")
    try:
        return msgspec.convert(fields, AnyRecord)
    except msgspec.ValidationError as error:
        raise RecoveryRecordError(str(error)) from None


class RecoveryRecord(msgspec.Struct, kw_only=True):
    """What all records of a log amount to; the first three times are those of the record written last."""

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
    """The state that the records of a log are replayed into, as `storage.replayed_state` wants it."""

    def __init__(self):
        """Nothing is stored yet."""
        self.record = RecoveryRecord()

    def reset(self) -> None:
        """Forgets all records."""
        self.record = RecoveryRecord()

    def apply(self, fields: list | tuple) -> None:
        """Follows one record, given as its array; RecoveryRecordError where it can't be read."""
        taken, record = decode_record(fields), self.record
        match taken:
            case ListRecord():
                record.registry, record.generation = taken.registry, taken.generation
                record.workers, record.listed_at = taken.workers, taken.unix_us
            case LoadRecord():
                record.loads = taken.loads
            case LearnedRecord():
                record.learned, record.learned_at = taken.workers, taken.unix_us
        record.unix_us = taken.unix_us
        record.monotonic_us, record.boot_id = taken.monotonic_us, taken.boot_id

    def compacted_records(self) -> list[list]:
        """The fewest records, as arrays, that lead to the same."""
        record = self.record
        if not record.unix_us:
            return []
        learned = LearnedRecord(*self._written_at(record.learned_at), record.learned)
        listed = ListRecord(
            *self._written_at(record.listed_at), record.registry, record.generation, record.workers
        )
        loads = LoadRecord(*self._written_at(record.unix_us), record.loads)
        return [encode_record(one) for one in (learned, listed, loads)]

    def _written_at(self, unix_us: int) -> tuple[int, int, str]:
        """Both clocks as they stood at this Unix time, from those of the record written last."""
        record = self.record
        return unix_us, record.monotonic_us - (record.unix_us - unix_us), record.boot_id
