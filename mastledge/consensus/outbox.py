"""The outputs of the running step, and what waits until records are on disk."""

from mastledge.consensus import outputs
from mastledge.consensus.messages import AnyMessage, WorkerRestrictions
from mastledge.consensus.records import Record, encode_record
from mastledge.consensus.state_machine import ChangeResult

DISK_RETRY_US = 1_000_000  # between two tries to write all anew after a failure


class Outbox:
    """Outputs in the order in which they arise."""

    def __init__(self):
        """Begin without outputs."""
        self.outputs: list[outputs.Output] = []

    def send(self, to: str, message: AnyMessage) -> None:
        """Send a message that depends on no record which is not on disk yet."""
        self.outputs.append(outputs.Send(to, message))

    def log_event(self, event: str, **fields) -> None:
        """Log an event."""
        self.outputs.append(outputs.LogEvent(event, fields))

    def report_committed(self, id: str, index: int, result: ChangeResult) -> None:
        """Tell the host what became of its proposal."""
        self.outputs.append(outputs.Committed(id, index, result))

    def deliver_restrictions(self, restrictions: WorkerRestrictions) -> None:
        """Tell the host whom another member's registry restricts."""
        self.outputs.append(outputs.RestrictionsReceived(restrictions))

    def take(self) -> list[outputs.Output]:
        """Return the outputs of the step that ends."""
        taken, self.outputs = self.outputs, []
        return taken


class Persistence:
    """Records on their way to the disk, what the disk has, and whether it works.

    Tokens number the writes. What is written at once is on disk as a whole, and writes are so in their order.
    """

    def __init__(self, outbox: Outbox):
        """Begin with a disk that works and a log that is persisted up to nowhere."""
        self.outbox = outbox
        self.records: list[Record] = []  # of the running step
        self.unsent: list[tuple[str, AnyMessage]] = []  # messages of the step that need them on disk
        self.waiting: list[tuple[int, str, AnyMessage]] = []  # messages by the token that they wait for
        self.token = self.persisted_token = 0
        self.last_indexes: dict[int, int] = {}  # of the log, by the token of a write that is under way
        self.persisted_index = 0  # up to which entry the disk has the log
        self.failed = False
        self.is_behind = False  # a failed disk lacks records that came while it was written anew
        self.retry_at: int | None = None

    def load(self, last_index: int) -> None:
        """The disk holds the log up to this entry at the start."""
        self.persisted_index = last_index

    def is_waiting(self) -> bool:
        """Return whether what is said in this step has to wait for records of it."""
        return bool(self.records) and not self.failed

    def record(self, record: Record) -> None:
        """Have a record written at the end of this step."""
        self.records.append(record)

    def send_when_persisted(self, to: str, message: AnyMessage) -> None:
        """Send a message once the records of this step, and all before, are on disk."""
        self.unsent.append((to, message))

    def limit_persisted(self, last_index: int) -> None:
        """The log has lost its entries after this index."""
        self.persisted_index = min(self.persisted_index, last_index)
        self.last_indexes = {token: min(last, last_index) for token, last in self.last_indexes.items()}

    def finish_step(self, last_index: int) -> None:
        """Write the records of the step, and send what has waited for former ones."""
        if self.records and not self.failed:
            self._write(last_index)
        self.is_behind = self.failed and (self.is_behind or bool(self.records))
        self.records = []
        if not self.failed:
            self.waiting += [(self.token, to, message) for to, message in self.unsent]
        self.unsent = []
        while self.waiting and self.waiting[0][0] <= self.persisted_token:
            _, to, message = self.waiting.pop(0)
            self.outbox.send(to, message)

    def _write(self, last_index: int) -> None:
        self.token += 1
        self.last_indexes[self.token] = last_index
        encoded = [encode_record(record) for record in self.records]
        self.outbox.outputs.append(outputs.Persist(self.token, encoded))

    def on_persisted(self, token: int, now: int) -> None:
        """A write is on disk, and all before it."""
        if token > self.persisted_token:
            self.persisted_token = token
            written = [last for write, last in self.last_indexes.items() if write <= token]
            self.last_indexes = {write: last for write, last in self.last_indexes.items() if write > token}
            if written:
                self.persisted_index = max(self.persisted_index, written[-1])
        if self.failed and token >= self.token:
            if self.is_behind:
                self.retry_at = now
            else:
                self.failed, self.retry_at = False, None
                self.outbox.log_event("disk_recovered")

    def on_failed(self, now: int) -> None:
        """Send nothing more that depends on the disk, until all is written anew."""
        if not self.failed:
            self.outbox.log_event("disk_failed")
        self.failed, self.is_behind, self.waiting, self.last_indexes = True, True, [], {}
        self.retry_at = now + DISK_RETRY_US

    def is_retry_due(self, now: int) -> bool:
        """Return whether all is to be written anew, and count that as done."""
        if self.retry_at is None or now < self.retry_at:
            return False
        self.retry_at = now + DISK_RETRY_US
        return True

    def rewrite(self, encoded: list[tuple], last_index: int) -> None:
        """Write all anew; what this step has recorded is part of it."""
        self.token += 1
        self.last_indexes = {self.token: last_index}
        self.outbox.outputs.append(outputs.Rewrite(self.token, encoded))
        self.records, self.is_behind = [], False

    def erase(self) -> None:
        """Leave nothing on disk."""
        self.records, self.last_indexes = [], {}
        self.token += 1
        self.outbox.outputs.append(outputs.Rewrite(self.token, []))

    def forget_log(self) -> None:
        """Another log begins: nothing of it is on disk, and nothing of the former one is sent any more."""
        self.waiting, self.persisted_index = [], 0
