"""The thread that writes a log; callers do not wait, and get a result once their records are on the disk."""

import contextlib
import enum
import os
import threading
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from time import monotonic_ns
from typing import Any

from mastledge.storage.errors import LogNotWritableError
from mastledge.storage.write_ahead_log import WriteAheadLog

MIN_COMPACTION_BYTES = 1 << 20  # a log is compacted above this size, once it has doubled since the last time
MAX_APPENDS_PER_SYNC = 64  # appends that are written as one frame
CLOSE_TIMEOUT_S = 5.0  # for the thread to write the remaining requests


class WriteKind(enum.Enum):
    """Kind of a request to the thread."""

    APPEND = enum.auto()
    REWRITE = enum.auto()
    STOP = enum.auto()


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Records that are written together, with a token chosen by the caller."""

    kind: WriteKind
    token: int = 0
    records: Sequence[Any] = ()


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Result of one request: `error` is None if its records are synced."""

    token: int
    error: Exception | None


class Writer:
    """Owns an open log and the thread that writes it. After an error appends fail until a rewrite succeeds.

    `append`, `rewrite`, `completed` and `close` are called on the caller's thread.
    """

    def __init__(self, wal: WriteAheadLog) -> None:
        """Start the thread; from now on only the thread uses the log and its state."""
        self.wal = wal
        # Readable when there are results for `completed`.
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.longest_write_us = 0
        self._requests: SimpleQueue[WriteRequest] = SimpleQueue()
        self._deferred: WriteRequest | None = None  # taken from the queue, but not part of the previous batch
        self._results: deque[WriteResult] = deque()
        self._failed = False
        self._compact_above_bytes = self._compaction_limit()
        self.thread = threading.Thread(target=self._run, name="writer", daemon=True)
        self.thread.start()

    def append(self, token: int, records: Sequence[Any]) -> None:
        """Request that these records are written after all earlier requests."""
        self._requests.put(WriteRequest(WriteKind.APPEND, token, records))

    def rewrite(self, token: int, records: Sequence[Any]) -> None:
        """Request that the file is replaced by one with these records."""
        self._requests.put(WriteRequest(WriteKind.REWRITE, token, records))

    def completed(self) -> list[WriteResult]:
        """Return the results since the last call, in the order of the requests."""
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.fd)
        results = []
        while self._results:
            results.append(self._results.popleft())
        return results

    def close(self) -> None:
        """Write the remaining requests, then end the thread and close the log."""
        self._requests.put(WriteRequest(WriteKind.STOP))
        self.thread.join(CLOSE_TIMEOUT_S)
        self.wal.close()
        os.close(self.fd)

    def _run(self) -> None:
        while batch := self._next_batch():
            self._write(batch)

    def _next_batch(self) -> list[WriteRequest]:
        """Return the requests for one write: all queued appends or one rewrite; an empty list to stop."""
        first = self._deferred or self._requests.get()
        self._deferred = None
        if first.kind is WriteKind.STOP:
            return []
        batch = [first]
        while first.kind is WriteKind.APPEND and len(batch) < MAX_APPENDS_PER_SYNC:
            try:
                request = self._requests.get_nowait()
            except Empty:
                break
            if request.kind is not WriteKind.APPEND:
                self._deferred = request
                break
            batch.append(request)
        return batch

    def _write(self, batch: list[WriteRequest]) -> None:
        kind = batch[0].kind
        records = [record for request in batch for record in request.records]
        started_ns = monotonic_ns()
        error = self._try_write(kind, records)
        self.longest_write_us = max(self.longest_write_us, (monotonic_ns() - started_ns) // 1000)
        self._results.extend(WriteResult(request.token, error) for request in batch)
        os.eventfd_write(self.fd, 1)
        if error is None:
            # The results are already reported, so a failure here makes the next append fail.
            try:
                self._apply_and_compact(kind, records)
            except (OSError, ValueError):
                self._failed = True

    def _try_write(self, kind: WriteKind, records: list[Any]) -> Exception | None:
        try:
            if kind is WriteKind.REWRITE:
                self.wal.rewrite(records)
                self._failed = False
            elif self._failed:
                raise LogNotWritableError(
                    0, "an earlier write has failed and the log has not been rewritten since"
                )
            else:
                self.wal.append(records)
        except (OSError, ValueError) as error:
            self._failed = True
            return error
        return None

    def _apply_and_compact(self, kind: WriteKind, records: list[Any]) -> None:
        """Apply the synced records to the state, and compact a log that has grown long."""
        state = self.wal.state
        if kind is WriteKind.REWRITE:
            state.reset()
        for record in records:
            state.apply(record)
        if self.wal.size > self._compact_above_bytes:
            self.wal.rewrite(state.compacted_records())
            self._compact_above_bytes = self._compaction_limit()

    def _compaction_limit(self) -> int:
        return max(MIN_COMPACTION_BYTES, 2 * self.wal.size)
