"""The thread that writes a log: who hands records in goes on at once, and hears when they are on the disk."""

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

MIN_COMPACTION_BYTES = 1 << 20  # a log is compacted once it is longer, and has doubled since it last was
MAX_APPENDS_PER_SYNC = 64  # that become one frame
CLOSE_TIMEOUT_S = 5.0  # for the thread to write what is left


class WriteKind(enum.Enum):
    """What the thread is to do with the records of a request."""

    APPEND = enum.auto()
    REWRITE = enum.auto()
    STOP = enum.auto()


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Records that were handed in together, under a token of the caller's."""

    kind: WriteKind
    token: int = 0
    records: Sequence[Any] = ()


@dataclass(frozen=True, slots=True)
class WriteResult:
    """How one request ended: `error` is None once its records are synced."""

    token: int
    error: Exception | None


class Writer:
    """Owns an open log and the thread that writes it. After an error all fails until a rewrite succeeds.

    `append`, `rewrite`, `completed` and `close` belong to the caller's thread.
    """

    def __init__(self, wal: WriteAheadLog) -> None:
        """Starts the thread; from here on the log and its state are the thread's alone."""
        self.wal = wal
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)  # readable when `completed` has something
        self.longest_write_us = 0
        self._requests: SimpleQueue[WriteRequest] = SimpleQueue()
        self._deferred: WriteRequest | None = None  # taken from the queue, and not for the batch before it
        self._results: deque[WriteResult] = deque()
        self._failed = False
        self._compact_above_bytes = self._compaction_limit()
        self.thread = threading.Thread(target=self._run, name="writer", daemon=True)
        self.thread.start()

    def append(self, token: int, records: Sequence[Any]) -> None:
        """Have these records written behind all that was handed in before."""
        self._requests.put(WriteRequest(WriteKind.APPEND, token, records))

    def rewrite(self, token: int, records: Sequence[Any]) -> None:
        """Have the file replaced by one with these records."""
        self._requests.put(WriteRequest(WriteKind.REWRITE, token, records))

    def completed(self) -> list[WriteResult]:
        """Give the results since the last call, in the order of the requests."""
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.fd)
        results = []
        while self._results:
            results.append(self._results.popleft())
        return results

    def close(self) -> None:
        """Write what is left, then end the thread and close the log."""
        self._requests.put(WriteRequest(WriteKind.STOP))
        self.thread.join(CLOSE_TIMEOUT_S)
        self.wal.close()
        os.close(self.fd)

    def _run(self) -> None:
        while batch := self._next_batch():
            self._write(batch)

    def _next_batch(self) -> list[WriteRequest]:
        """Requests for one write: as many appends as have come, or one rewrite; none at the end."""
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
        began = monotonic_ns()
        error = self._try_write(kind, records)
        self.longest_write_us = max(self.longest_write_us, (monotonic_ns() - began) // 1000)
        self._results.extend(WriteResult(request.token, error) for request in batch)
        os.eventfd_write(self.fd, 1)
        if error is None:
            # Nobody waits for this; should it fail, so does what is handed in next.
            try:
                self._follow(kind, records)
            except (OSError, ValueError):
                self._failed = True

    def _try_write(self, kind: WriteKind, records: list[Any]) -> Exception | None:
        try:
            if kind is WriteKind.REWRITE:
                self.wal.rewrite(records)
                self._failed = False
            elif self._failed:
                raise LogNotWritableError(0, "what came before is not on the disk")
            else:
                self.wal.append(records)
        except (OSError, ValueError) as error:
            self._failed = True
            return error
        return None

    def _follow(self, kind: WriteKind, records: list[Any]) -> None:
        """Apply what is now on the disk, and compact a log that has grown long."""
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
