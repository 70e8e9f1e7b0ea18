"""The data directory of a dispatcher's recovery log, which is read in a thread of its own.

A slow disk must not keep the dispatcher from saying what it waits for. No answer to a client depends on this
log, so a damaged one is begun anew.
"""

import threading
from collections.abc import Callable

from mastledge.recovery.recovery_record import PersistedRecovery, RecoveryRecord
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import DataDirectoryError
from mastledge.storage.write_ahead_log import WriteAheadLog

LOG_NAME = "recovery"


class RecoveryDirectory:
    """Holds the directory, and reads its log once."""

    def __init__(self, path: str, dispatcher: str, log: Callable[..., None]):
        """`dispatcher`: its name, to which the log belongs; `log`: takes an event and its fields."""
        self.trouble: str | None = None
        self.is_read = False
        self.write_ahead_log: WriteAheadLog | None = None
        self._dispatcher, self._log = dispatcher, log
        self._directory = DataDirectory(path)
        self._persisted = PersistedRecovery()
        self._reader: threading.Thread | None = None

    def open(self, other_process_runs: bool) -> None:
        """Takes the directory and begins to read it.

        Where the process that this one takes over from still has it, nothing is read: that one goes on
        writing, and what it knows comes by the upgrade. Else DataDirectoryError is raised if it can't be had.
        """
        try:
            self._directory.acquire()
        except DataDirectoryError as error:
            if not other_process_runs:
                raise
            self.is_read, self.trouble = True, str(error)
        else:
            self._start_reading()

    def take_over(self) -> None:
        """Takes the directory if the process before this one has left it meanwhile."""
        if self._reader is not None or self._directory.lock is not None:
            return
        try:
            self._directory.acquire()
        except DataDirectoryError:
            return
        self.trouble = None
        self._start_reading()

    def _start_reading(self) -> None:
        owner = {"name": self._dispatcher}
        self.write_ahead_log = WriteAheadLog(self._directory, LOG_NAME, owner, self._persisted, self._log)
        self._reader = threading.Thread(target=self.read_log, name="reader", daemon=True)
        self._reader.start()

    def read_log(self) -> None:
        """Runs in the thread."""
        try:
            self.write_ahead_log.open()
        except OSError as error:
            self.trouble = str(error)
            self._persisted.reset()
            self._begin_anew()

    def _begin_anew(self) -> None:
        try:
            self.write_ahead_log.rewrite([])
        except OSError as error:
            self.trouble = f"{self.trouble}; {error.strerror}"

    def has_result(self) -> bool:
        """Whether the thread has ended and its result was not taken yet."""
        return self._reader is not None and not self._reader.is_alive()

    def take_result(self) -> RecoveryRecord:
        """What the log amounts to; an empty record where it couldn't be read, and `trouble` says why."""
        self._reader.join()
        self._reader, self.is_read = None, True
        return RecoveryRecord() if self.trouble else self._persisted.record

    def close(self) -> None:
        """Lets other processes have the directory."""
        self._directory.release()
