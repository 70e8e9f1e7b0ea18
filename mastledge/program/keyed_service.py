"""The common base of the idempotency services, for keys on a single dispatcher and for replicated keys.

It holds the data directory, which the previous process may still have locked, and passes jobs to the
scheduler.
"""

import time
from collections.abc import Callable, Generator, Mapping
from typing import TYPE_CHECKING

from mastledge.idempotency.key_table import KeyTable
from mastledge.program.keyed_job import KILLED_REPLY, Reply
from mastledge.protocol import http
from mastledge.protocol.events import JobAbandoned, JobArrived
from mastledge.protocol.requests import Exchange
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import DataDirectoryError
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer
from mastledge.transport.connection import Connection
from mastledge.transport.loop import Coroutine, Task

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

DIRECTORY_POLL_US = 20_000  # between attempts to lock a directory that the previous process still holds
MAX_DIRECTORY_WAIT_US = 1_000_000  # longest wait of a job that arrives meanwhile
ANSWER_MARGIN_US = 50_000  # time that the scheduler gets to answer after a job's deadline
DISK_RETRY_US = 1_000_000  # between attempts to write to a disk that has failed


def unix_now_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


class KeyedService:
    """Holds the data directory, the key table and the writer of its log, and passes jobs to the scheduler.

    A subclass opens the log (`open`) and handles a job (`offer`).
    """

    def __init__(self, program: "Dispatcher", configuration: Mapping, log: Callable[..., None]) -> None:
        """Take the whole configuration; `log(event, **fields)` writes a line of the program's log."""
        self.program, self.loop, self.inbox, self.log = program, program.loop, program.inbox, log
        self.name, self.settings = configuration["name"], configuration["repeats"]
        self.directory = DataDirectory(self.settings["folder"])
        self.key_table: KeyTable | None = None  # None until the log is open, and after the end
        self.writer: Writer | None = None
        self.last_token = 0  # of the last write that was passed to the writer
        self.save_waiters: dict[int, Task] = {}  # by token: the task to wake when that write is on the disk
        self.disk_failing = False
        self.jobs_under_way = 0
        self.tasks: list[Task] = []

    # The data directory

    def begin(self) -> None:
        """Open the directory, or wait until the previous process of this dispatcher releases it.

        Raise DataDirectoryError if another dispatcher holds the directory, or if it cannot be used.
        """
        try:
            self.directory.acquire()
        except DataDirectoryError:
            if not self.program.has_sibling_process:
                raise
            self.log("idempotency_waiting", folder=self.settings["folder"])
            self.tasks = [self.loop.spawn(self.program.supervised(self._wait_for_directory()))]
            return
        self.open()

    def _wait_for_directory(self) -> Coroutine:
        while True:
            yield (-1, 0, self.loop.now() + DIRECTORY_POLL_US)
            try:
                self.directory.acquire()
            except DataDirectoryError:
                continue
            self.open()
            return

    def open(self) -> None:
        """Read the log of the directory, whose lock this process holds, and start serving."""
        raise NotImplementedError

    def open_log(self, log: WriteAheadLog) -> WriteAheadLog:
        """Read a log; release the directory and raise DataDirectoryError if that fails."""
        try:
            return log.open()
        except DataDirectoryError:
            self.directory.release()
            raise

    def end(self) -> None:
        """Write the pending records and release the directory."""
        for task in self.tasks:
            self.loop.cancel(task)
        self.tasks = []
        if self.writer is not None:
            self.loop.forget(self.writer.fd)
            self.writer.close()
            self.writer = self.key_table = None
        self.directory.release()

    def idle(self) -> bool:
        """Return whether no job runs or waits for the disk, so that another process may take over."""
        return not self.jobs_under_way

    # Jobs

    def wait_until_open(self, until: int, conn: Connection) -> Coroutine:
        """Wait until the previous process releases the directory, for a bounded time while the client stays.

        `until`: the end of the job's walltime.
        """
        last = min(until - ANSWER_MARGIN_US, self.loop.now() + MAX_DIRECTORY_WAIT_US)
        while self._may_open() and self.loop.now() < last and not http.has_disconnected(conn):
            yield (-1, 0, self.loop.now() + DIRECTORY_POLL_US)

    def _may_open(self) -> bool:
        # A process that has handed over to its successor does not get the directory back.
        program = self.program
        return program.has_sibling_process and self.key_table is None and not program.listener.has_successor

    def schedule_job(self, task: Task, exchange: Exchange, arrival: tuple) -> Generator[tuple, object, Reply]:
        """Pass a job to the scheduler and return its reply; `task` is the coroutine that runs this.

        `arrival`: the fields of the job that the scheduler takes.
        """
        exchange.answer = lambda *answer: self.loop.wake(task, Reply(*answer))
        self.inbox.put(JobArrived(exchange, arrival))
        reply = yield (-1, 0, exchange.until + ANSWER_MARGIN_US)
        if not isinstance(reply, Reply):
            self.log("answer_late", job=exchange.name)
            exchange.open = False
            self.inbox.put(JobAbandoned(exchange))
            return KILLED_REPLY
        return reply
