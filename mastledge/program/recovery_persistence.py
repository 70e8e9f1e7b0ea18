"""Periodic storage of the changed state that the next start restores."""

from collections.abc import Callable, Generator

from mastledge.program.recovery_clock import RecoveryClock
from mastledge.program.recovery_records import RecordBuilder
from mastledge.recovery.recovery_record import AnyRecord, ClockReading, LoadRecord, encode_record
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer
from mastledge.transport.loop import Loop

STORE_INTERVAL_US = 200_000
LEARNED_ROUNDS = 10
"""The learned state is stored once in this many rounds."""


class RecoveryPersistence:
    """Passes records to the writer thread, once there is a log."""

    def __init__(self, builder: RecordBuilder, clock: RecoveryClock, loop: Loop, log: Callable[..., None]):
        """Create the service without a writer; `log` takes an event and its fields."""
        self.writer: Writer | None = None
        self.is_failing = False
        self.stored_list: tuple | None = None
        self._builder, self._clock, self._loop, self._log = builder, clock, loop, log
        self._stored_loads: dict | None = None
        self._token = 0

    def start(self, write_ahead_log: WriteAheadLog) -> None:
        """Start writing records to this log."""
        self.writer = Writer(write_ahead_log)

    def run(self, before_start: Callable[[], None]) -> Generator:
        """Store periodically, as an endless task; call `before_start` instead while there is no log."""
        rounds = 0
        while True:
            yield (-1, 0, self._loop.now() + STORE_INTERVAL_US)
            if self.writer is None:
                before_start()
                continue
            self._check_writes()
            rounds += 1
            self.store(rounds % LEARNED_ROUNDS == 0)

    def _check_writes(self) -> None:
        for result in self.writer.completed():
            error = result.error
            if (error is not None) != self.is_failing:
                self.is_failing = error is not None
                self._log(
                    "recovery_disk_failed" if error else "recovery_disk_recovered", why=str(error or "")
                )

    def store(self, with_learned: bool) -> None:
        """Write the records that changed since the last call, and the learned state if `with_learned`."""
        written_at = self._clock.now()
        records = [*self._changed_list(written_at), *self._changed_loads(written_at)]
        if with_learned:
            records.append(self._builder.learned(written_at))
        if not records:
            return
        self._token += 1
        fields = [encode_record(record) for record in records]
        if self.is_failing:
            # Earlier records may be missing on the disk, so write all records again.
            self.stored_list = self._stored_loads = None
            self.writer.rewrite(self._token, fields)
        else:
            self.writer.append(self._token, fields)

    def _changed_list(self, written_at: ClockReading) -> list[AnyRecord]:
        record = self._builder.endpoint_list(written_at)
        if record is None:
            return []
        content = (record.registry, record.generation, record.workers)
        if content == self.stored_list:
            return []
        self.stored_list = content
        return [record]

    def _changed_loads(self, written_at: ClockReading) -> list[LoadRecord]:
        record = self._builder.unfinished_loads(written_at)
        if record.loads == self._stored_loads:
            return []
        self._stored_loads = record.loads
        return [record]

    def longest_write_us(self) -> int:
        """Return the duration of the longest write so far, in microseconds."""
        return self.writer.longest_write_us if self.writer else 0

    def stop(self) -> None:
        """Write the pending records and wait until they are written."""
        if self.writer is not None:
            self.store(True)
            self.writer.close()
            self.writer = None
