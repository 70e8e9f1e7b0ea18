"""The data directory of a dispatcher's recovery log, which is read in a separate thread.

A slow disk must not block the event loop, which reports what the start waits for. No answer to a client
depends on this log, so a damaged log is replaced by an empty one.
"""

import threading
from collections.abc import Callable

from mastledge.recovery.recovery_record import PersistedRecovery, RecoveryRecord
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import DataDirectoryError
from mastledge.storage.write_ahead_log import WriteAheadLog

LOG_NAME = "recovery"


class RecoveryDirectory:
    """Locks the directory, and reads its log once."""

    def __init__(self, path: str, dispatcher: str, log: Callable[..., None]):
        """Take the name of the dispatcher that owns the log; `log` takes an event and its fields."""
        self.failure_reason: str | None = None  # why the log could not be locked or read; None if it could
        self.is_read = False  # True once the log is read, or cannot be read now
        self.write_ahead_log: WriteAheadLog | None = None
        self._dispatcher, self._log = dispatcher, log
        self._directory = DataDirectory(path)
        self._persisted = PersistedRecovery()
        self._reader: threading.Thread | None = None

    def open(self, other_process_runs: bool) -> None:
        """Lock the directory and start reading its log.

        Nothing is read if the previous process of this dispatcher still holds the directory: it goes on
        writing, and its state comes with the upgrade. Otherwise raise DataDirectoryError if the directory
        cannot be locked.
        """
        try:
            self._directory.acquire()
        except DataDirectoryError as error:
            if not other_process_runs:
                raise
            self.is_read, self.failure_reason = True, str(error)
        else:
            self._start_reading()

    def take_over(self) -> None:
        """Lock the directory and read its log, if the previous process has released it meanwhile."""
        if self._reader is not None or self._directory.lock is not None:
            return
        try:
            self._directory.acquire()
        except DataDirectoryError:
            return
        self.failure_reason = None
        self._start_reading()

    def _start_reading(self) -> None:
        owner = {"name": self._dispatcher}
        self.write_ahead_log = WriteAheadLog(self._directory, LOG_NAME, owner, self._persisted, self._log)
        self._reader = threading.Thread(target=self.read_log, name="reader", daemon=True)
        self._reader.start()

    def read_log(self) -> None:
        """Read the log, in the reader thread; replace a log that cannot be read."""
        try:
            self.write_ahead_log.open()
        except OSError as error:
            self.failure_reason = str(error)
            self._persisted.reset()
            self._replace_log()

    def _replace_log(self) -> None:
        try:
            self.write_ahead_log.rewrite([])
        except OSError as error:
            self.failure_reason = f"{self.failure_reason}; {error.strerror}"

    def has_result(self) -> bool:
        """Return whether the thread has ended and its result was not taken yet."""
        return self._reader is not None and not self._reader.is_alive()

    def take_result(self) -> RecoveryRecord:
        """Return the record from the log, or an empty record if reading failed (see `failure_reason`)."""
        self._reader.join()
        self._reader, self.is_read = None, True
        return RecoveryRecord() if self.failure_reason else self._persisted.record

    def close(self) -> None:
        """Release the directory, so that other processes can lock it."""
        self._directory.release()
