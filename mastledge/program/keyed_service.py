"""What services of idempotency keys have in common, whether one dispatcher holds the records or several do.

That is the data directory, which the process before may still hold, and the way to the decisions and back.
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

DIRECTORY_POLL_US = 20_000  # between two tries of a directory that the process before still holds
DIRECTORY_PATIENCE_US = 1_000_000  # of a job that comes meanwhile
ANSWER_MARGIN_US = 50_000  # after the decisions must have ended a job
DISK_RETRY_US = 1_000_000  # between two tries of a disk that has failed


def unix_now_us() -> int:
    """Unix time in microseconds."""
    return time.time_ns() // 1000


class KeyedService:
    """The data directory, the table and the writer of its log, and jobs that are handed to the decisions.

    A subclass opens the log (`open`) and says what becomes of a job (`offer`).
    """

    def __init__(self, program: "Dispatcher", configuration: Mapping, log: Callable[..., None]) -> None:
        """`configuration`: all of it; `log(event, **fields)` writes a line of the program's log."""
        self.program, self.loop, self.inbox, self.log = program, program.loop, program.inbox, log
        self.name, self.settings = configuration["name"], configuration["repeats"]
        self.directory = DataDirectory(self.settings["folder"])
        self.key_table: KeyTable | None = None  # None until the log is open, and after the end
        self.writer: Writer | None = None
        self.last_token = 0  # of what was handed to the writer
        self.save_waiters: dict[int, Task] = {}  # by token: whom to wake once that is on the disk
        self.disk_failing = False
        self.jobs_under_way = 0
        self.tasks: list[Task] = []

    # The data directory

    def begin(self) -> None:
        """Opens the directory, or waits until the process before leaves it.

        DataDirectoryError where it is held by another one, or can't be used.
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
        """Reads the log of the directory, which this process holds now, and starts to serve."""
        raise NotImplementedError

    def open_log(self, log: WriteAheadLog) -> WriteAheadLog:
        """Reads a log; where that fails the directory is free again, and DataDirectoryError is raised."""
        try:
            return log.open()
        except DataDirectoryError:
            self.directory.release()
            raise

    def end(self) -> None:
        """Writes what is left and gives the directory free."""
        for task in self.tasks:
            self.loop.cancel(task)
        self.tasks = []
        if self.writer is not None:
            self.loop.forget(self.writer.fd)
            self.writer.close()
            self.writer = self.key_table = None
        self.directory.release()

    def idle(self) -> bool:
        """Whether another process of this dispatcher may take over: nothing here waits for the disk."""
        return not self.jobs_under_way

    # Jobs

    def wait_until_open(self, until: int, conn: Connection) -> Coroutine:
        """Waits while the process before is about to leave the directory, and as long as the client does.

        `until`: end of the job's walltime.
        """
        last = min(until - ANSWER_MARGIN_US, self.loop.now() + DIRECTORY_PATIENCE_US)
        while self._may_open() and self.loop.now() < last and not http.has_left(conn):
            yield (-1, 0, self.loop.now() + DIRECTORY_POLL_US)

    def _may_open(self) -> bool:
        # A process that hands over itself does not get the directory back.
        program = self.program
        return program.has_sibling_process and self.key_table is None and not program.listener.succeeded

    def decide(self, task: Task, exchange: Exchange, arrival: tuple) -> Generator[tuple, object, Reply]:
        """Hands a job to the decisions and waits for its answer; `task` is the coroutine that runs this.

        `arrival`: fields of the job as the decisions take them.
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
