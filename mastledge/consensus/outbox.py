"""The outputs of the current step, and messages that wait until records are on disk."""

from typing import NamedTuple

from mastledge.consensus import outputs
from mastledge.consensus.messages import AnyMessage, WorkerRestrictions
from mastledge.consensus.records import Record, encode_record
from mastledge.consensus.state_machine import ChangeResult

DISK_RETRY_US = 1_000_000  # between two attempts to rewrite all records after a disk failure


class Outbox:
    """Collects the outputs of a step in order."""

    def __init__(self):
        """Initialize without outputs."""
        self.outputs: list[outputs.Output] = []

    def send(self, to: str, message: AnyMessage) -> None:
        """Send a message that does not depend on unwritten records."""
        self.outputs.append(outputs.Send(to, message))

    def log_event(self, event: str, **fields) -> None:
        """Log an event."""
        self.outputs.append(outputs.LogEvent(event, fields))

    def report_committed(self, id: str, index: int, result: ChangeResult) -> None:
        """Report the result of a committed proposal to the host."""
        self.outputs.append(outputs.Committed(id, index, result))

    def deliver_restrictions(self, restrictions: WorkerRestrictions) -> None:
        """Pass another member's worker restrictions to the host."""
        self.outputs.append(outputs.RestrictionsReceived(restrictions))

    def take(self) -> list[outputs.Output]:
        """Return and clear the outputs of the step."""
        step_outputs, self.outputs = self.outputs, []
        return step_outputs


class WaitingMessage(NamedTuple):
    """A message to send once the write with this token is on disk."""

    token: int
    message: outputs.Send


class Persistence:
    """Tracks records being written, what is on disk, and disk failures.

    Tokens number the writes. Each write is atomic, and writes complete in order.
    """

    def __init__(self, outbox: Outbox):
        """Initialize with a working disk and no persisted log."""
        self.outbox = outbox
        self.records: list[Record] = []  # of the current step
        self.unsent: list[outputs.Send] = []  # messages of the step that wait for these records
        self.waiting: list[WaitingMessage] = []  # in token order
        self.token = self.persisted_token = 0
        self.last_indexes: dict[int, int] = {}  # last log index by token of each pending write
        self.persisted_index = 0  # index up to which the log is on disk
        self.failed = False
        self.has_unwritten_records = False  # records arrived during a rewrite, which the failed disk lacks
        self.retry_at: int | None = None

    def load(self, last_index: int) -> None:
        """Set the last log index that the disk holds at startup."""
        self.persisted_index = last_index

    def is_waiting(self) -> bool:
        """Return whether this step's messages have to wait for its records."""
        return bool(self.records) and not self.failed

    def record(self, record: Record) -> None:
        """Add a record to write at the end of this step."""
        self.records.append(record)

    def send_when_persisted(self, to: str, message: AnyMessage) -> None:
        """Send a message once the records of this step and all earlier ones are on disk."""
        self.unsent.append(outputs.Send(to, message))

    def limit_persisted(self, last_index: int) -> None:
        """Lower the persisted indexes after the log was truncated to `last_index`."""
        self.persisted_index = min(self.persisted_index, last_index)
        self.last_indexes = {token: min(index, last_index) for token, index in self.last_indexes.items()}

    def finish_step(self, last_index: int) -> None:
        """Write the records of the step, and send messages whose records are now on disk."""
        if self.records and not self.failed:
            self._write(last_index)
        self.has_unwritten_records = self.failed and (self.has_unwritten_records or bool(self.records))
        self.records = []
        if not self.failed:
            self.waiting += [WaitingMessage(self.token, message) for message in self.unsent]
        self.unsent = []
        while self.waiting and self.waiting[0].token <= self.persisted_token:
            self.outbox.outputs.append(self.waiting.pop(0).message)

    def _write(self, last_index: int) -> None:
        self.token += 1
        self.last_indexes[self.token] = last_index
        encoded = [encode_record(record) for record in self.records]
        self.outbox.outputs.append(outputs.Persist(self.token, encoded))

    def on_persisted(self, token: int, now: int) -> None:
        """Record that write `token` and all earlier ones are on disk, which may end a disk failure."""
        if token > self.persisted_token:
            self.persisted_token = token
            written_indexes = [index for pending, index in self.last_indexes.items() if pending <= token]
            self.last_indexes = {
                pending: index for pending, index in self.last_indexes.items() if pending > token
            }
            if written_indexes:
                self.persisted_index = max(self.persisted_index, written_indexes[-1])
        if self.failed and token >= self.token:
            if self.has_unwritten_records:
                self.retry_at = now
            else:
                self.failed, self.retry_at = False, None
                self.outbox.log_event("disk_recovered")

    def on_failed(self, now: int) -> None:
        """Drop messages that depend on the disk until all records are rewritten."""
        if not self.failed:
            self.outbox.log_event("disk_failed")
        self.failed, self.has_unwritten_records, self.waiting, self.last_indexes = True, True, [], {}
        self.retry_at = now + DISK_RETRY_US

    def is_retry_due(self, now: int) -> bool:
        """Return whether a rewrite is due, and schedule the next attempt if so."""
        if self.retry_at is None or now < self.retry_at:
            return False
        self.retry_at = now + DISK_RETRY_US
        return True

    def rewrite(self, encoded: list[tuple], last_index: int) -> None:
        """Replace the contents of the disk by `encoded`, which includes the records of this step."""
        self.token += 1
        self.last_indexes = {self.token: last_index}
        self.outbox.outputs.append(outputs.Rewrite(self.token, encoded))
        self.records, self.has_unwritten_records = [], False

    def erase(self) -> None:
        """Remove all records from the disk."""
        self.records, self.last_indexes = [], {}
        self.token += 1
        self.outbox.outputs.append(outputs.Rewrite(self.token, []))

    def forget_log(self) -> None:
        """Start a new log with nothing persisted; drop messages that waited for the former log."""
        self.waiting, self.persisted_index = [], 0
