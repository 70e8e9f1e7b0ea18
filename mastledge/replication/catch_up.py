"""Catch-up: a new replica reads the records it has to hold from the current replicas.

Before a current replica sends its records it raises its fence, and from then on refuses requests of earlier
epochs. So the new replica reads all that a majority of the current replicas has stored by then, and later
requests need a majority of the next replicas too. If too many current replicas are lost, records may be
unread; the new replica then waits until every claim and retention of that time has expired.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from mastledge.idempotency.errors import KeyTableFullError
from mastledge.replication.messages import Record, ScanRequest, ScanResponse
from mastledge.replication.outbox import Outbox
from mastledge.replication.placement import Placement
from mastledge.replication.replica import Replica

if TYPE_CHECKING:
    from mastledge.replication.node import NodeOptions

BATCH_RECORDS, BATCH_BYTES = 128, 1 << 18  # limits of one response; bytes count the answers in it
# Keys examined for one response: each is ranked twice, which must not hold up the event loop.
BATCH_KEYS = 128
RETRY_US = 200_000
NO_EPOCH = -1


class CatchUp:
    """Reads the records that a new replica has to hold. Times are microseconds."""

    def __init__(self, options: NodeOptions, replica: Replica, outbox: Outbox):
        """Merge what is read into `replica`; `options` has its name, directory id and `promise_us`."""
        self._name, self._directory_id = options.name, options.directory_id
        self._promise_us, self._replica, self._outbox = options.promise_us, replica, outbox
        self._placement = Placement()
        self._epoch = NO_EPOCH  # of the placement for which records are read
        self._positions: dict[str, int] = {}  # next position to read, by current replica
        self._fully_read: set[str] = set()
        self._is_done = False
        self._retry_at = self._records_expired_at = 0
        self.records_taken = 0

    def on_placement(self, now: int, placement: Placement) -> None:
        """Start the catch-up if the placement makes this dispatcher a new replica, else stop it."""
        self._placement = placement
        is_target = placement.next is not None and placement.next.get(self._name) == self._directory_id
        if not is_target or self._name in placement.caught_up:
            self._epoch = NO_EPOCH
        elif self._epoch != placement.epoch:
            self._start(now)
        self.run(now)

    def _start(self, now: int) -> None:
        placement = self._placement
        self._epoch, self._positions, self._fully_read = placement.epoch, {}, set()
        self._is_done = False
        self._records_expired_at, self._retry_at = now + self._promise_us, now
        if (
            placement.keeps_records(self._name, self._directory_id)
            and placement.current.keys() == placement.next.keys()
        ):
            # Only other dispatchers have new data directories; this one still has all its records.
            self._fully_read.update(placement.current)

    def on_disk_recovered(self) -> None:
        """Repeat the end of the catch-up, which was waiting for the disk, unless it is already committed."""
        self._is_done = self._is_done and self._name in self._placement.caught_up

    def wake_at(self) -> int | None:
        """Return when `run` is due next, in microseconds, or None if it is not."""
        if self._epoch == NO_EPOCH or self._is_done:
            return None
        return min(self._retry_at, self._records_expired_at)

    def run(self, now: int) -> None:
        """End the catch-up once enough replicas are read, or repeat the requests without a response."""
        if self._epoch == NO_EPOCH or self._is_done:
            return
        unread = self._unread()
        if len(unread) <= self._placement.max_unread_replicas() or now >= self._records_expired_at:
            self._is_done = True
            self._outbox.report_caught_up(self._epoch)
        elif now >= self._retry_at:
            self._retry_at = now + RETRY_US
            for name in sorted(unread):
                self._ask(name)

    def _unread(self) -> set[str]:
        this_dispatcher = self._name, self._directory_id
        current = {name for name, id_ in self._placement.current.items() if (name, id_) != this_dispatcher}
        return current - self._fully_read

    def _ask(self, name: str) -> None:
        self._outbox.send(name, ScanRequest(self._epoch, self._positions.get(name, 0)))

    def on_response(self, now: int, sender: str, directory_id: str, response: ScanResponse) -> None:
        """Merge the records of a response; ignore a response that was not requested."""
        if not self._is_expected(sender, directory_id, response):
            return
        try:
            for record in response.records:
                self._replica.merge(now, record)
        except KeyTableFullError:
            return  # the catch-up goes on once the table has room
        self.records_taken += len(response.records)
        self._positions[sender] = response.next_position
        if response.last:
            self._fully_read.add(sender)
            self.run(now)
        else:
            self._ask(sender)

    def _is_expected(self, sender: str, directory_id: str, response: ScanResponse) -> bool:
        return (
            response.epoch == self._epoch
            and self._placement.current.get(sender) == directory_id
            and sender not in self._fully_read
            and response.position == self._positions.get(sender, 0)
        )


class _Scan:
    """How far one new replica has read. Keys that are claimed after the start reach the replica as claims.

    With `skips_kept` the replica keeps its records, so keys that it already holds are left out.
    """

    __slots__ = ("epoch", "scoped_keys", "skips_kept", "position", "next_index", "response")

    def __init__(self, epoch: int, scoped_keys: list[tuple[str, bytes]], skips_kept: bool):
        self.epoch, self.scoped_keys, self.skips_kept = epoch, scoped_keys, skips_kept
        self.position, self.next_index = 0, 0
        self.response: ScanResponse | None = None  # the last response, sent again if the request is repeated


class ScanServer:
    """Serves records to new replicas."""

    def __init__(self, replica: Replica, outbox: Outbox, raise_fence: Callable[[int], None]):
        """Set `raise_fence(epoch)`, which makes this node refuse requests of earlier epochs."""
        self._replica, self._outbox, self._raise_fence = replica, outbox, raise_fence
        self._placement = Placement()
        self._scans: dict[str, _Scan] = {}
        self.records_given = 0

    def on_placement(self, placement: Placement) -> None:
        """Drop the scans of earlier epochs."""
        self._placement = placement
        self._scans = {name: scan for name, scan in self._scans.items() if scan.epoch == placement.epoch}

    def on_request(self, now: int, sender: str, directory_id: str, request: ScanRequest) -> None:
        """Send the next records, or the last ones again; ignore a request of another epoch."""
        placement = self._placement
        if request.epoch != placement.epoch or placement.next is None:
            return
        if placement.next.get(sender) != directory_id:
            return
        scan = self._scans.get(sender)
        if scan is None or request.position < scan.position:
            self._raise_fence(request.epoch)
            skips_kept = placement.keeps_records(sender, directory_id)
            scan = _Scan(request.epoch, list(self._replica.table.records), skips_kept)
            self._scans[sender] = scan
        if scan.response is None or request.position > scan.position:
            scan.position = request.position
            scan.response = self._next_response(now, sender, scan)
        if scan.response.position == request.position:
            self._outbox.send_once_persisted(sender, scan.response)

    def _next_response(self, now: int, sender: str, scan: _Scan) -> ScanResponse:
        records: list[Record] = []
        size_bytes = 0
        end = min(scan.next_index + BATCH_KEYS, len(scan.scoped_keys))
        while scan.next_index < end and len(records) < BATCH_RECORDS and size_bytes < BATCH_BYTES:
            scoped_key = scan.scoped_keys[scan.next_index]
            scan.next_index += 1
            record = self._replica.table.records.get(scoped_key)
            if record is not None and self._has_to_hold(sender, scan, scoped_key):
                records.append(self._replica.copy_of(now, record))
                size_bytes += len(record.content)
        self.records_given += len(records)
        is_last = scan.next_index >= len(scan.scoped_keys)
        return ScanResponse(scan.epoch, scan.position, scan.next_index, records, is_last)

    def _has_to_hold(self, sender: str, scan: _Scan, scoped_key: tuple[str, bytes]) -> bool:
        if scan.skips_kept and self._placement.is_current_replica(sender, *scoped_key):
            return False
        return self._placement.is_next_replica(sender, *scoped_key)
