"""Idempotency keys that a single dispatcher stores: the log of the key table, and the clients of each job.

Imported only if the configuration has `repeats`. A claim is on the disk before its job is passed to the
scheduler, and an outcome is on the disk before the client gets its answer.
"""

from collections.abc import Callable, Generator, Mapping
from typing import TYPE_CHECKING

import orjson

from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.keyed_request import KeyedRequest, ScopedKey, request_fingerprint
from mastledge.idempotency.persisted_keys import PersistedKeys
from mastledge.idempotency.records import Record
from mastledge.idempotency.verdicts import Verdict
from mastledge.program.keyed_job import KILLED_REPLY, REJECTED_REPLY, KeyedJob, Reply, rejection, replay
from mastledge.program.keyed_service import DISK_RETRY_US, KeyedService, unix_now_us
from mastledge.protocol import http
from mastledge.protocol.control import Answer, Request
from mastledge.protocol.events import ClientLeft
from mastledge.protocol.requests import COMPLETED, REJECTED, Exchange
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer
from mastledge.transport.connection import Connection
from mastledge.transport.loop import READ, Coroutine, Task

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher


class IdempotencyService(KeyedService):
    """Serves keyed jobs whose records this dispatcher alone holds."""

    def __init__(self, program: "Dispatcher", configuration: Mapping, log: Callable[..., None]) -> None:
        """Create the service; see `KeyedService`."""
        super().__init__(program, configuration, log)
        self.first_jobs: dict[ScopedKey, KeyedJob] = {}  # the running job of each key
        self.rewriting: Task | None = None

    # The log

    def open(self) -> None:
        """Read the log and start serving; raise DataDirectoryError if the log cannot be read."""
        persisted = PersistedKeys(unix_now_us)
        log = self.open_log(
            WriteAheadLog(self.directory, "repeats", {"name": self.name}, persisted, self.log)
        )
        now, settings = self.loop.now(), self.settings
        key_table = KeyTable(settings["keep"], settings["entries"], settings["bytes"], unix_now_us() - now)
        key_table.restore(now, persisted.entries)
        self.log("idempotency_keys_loaded", held=len(key_table.records), bytes=log.size)
        self.writer, self.key_table = Writer(log), key_table
        self.tasks = [self.loop.spawn(self.program.supervised(self._take_writer_results()), first=True)]

    def save(self) -> int:
        """Pass the changes of the table to the writer and return the token of this write."""
        self.last_token += 1
        self.writer.append(self.last_token, self.key_table.take_changes())
        return self.last_token

    def persist(self, job: KeyedJob) -> Generator[tuple, object, bool]:
        """Wait until the current table is on the disk; return False if the disk fails."""
        token = self.save()
        if self.disk_failing:
            return False
        self.save_waiters[token] = job.task
        return (yield (-1, 0, None)) is True

    def _take_writer_results(self) -> Coroutine:
        while True:
            yield (self.writer.fd, READ, None)
            for result in self.writer.completed():
                if result.error is not None and not self.disk_failing:
                    self._begin_rewriting(result.error)
                task = self.save_waiters.pop(result.token, None)
                if task is not None:
                    self.loop.wake(task, result.error is None)

    def _begin_rewriting(self, error: Exception) -> None:
        self.log("idempotency_disk_failed", why=str(error))
        self.disk_failing = True
        self.rewriting = self.loop.spawn(self.program.supervised(self._rewrite()))
        self.tasks.append(self.rewriting)

    def _rewrite(self) -> Coroutine:
        """Rewrite the whole table, and retry until that succeeds."""
        while True:
            yield (-1, 0, self.loop.now() + DISK_RETRY_US)
            self.key_table.take_changes()  # the snapshot below contains them
            self.last_token += 1
            self.save_waiters[self.last_token] = self.rewriting
            self.writer.rewrite(self.last_token, self.key_table.snapshot())
            if (yield (-1, 0, None)) is True:
                self.disk_failing = False
                self.log("idempotency_disk_recovered")
                return

    # Jobs

    def offer(
        self, conn: Connection, exchange: Exchange, arrival: tuple
    ) -> Generator[tuple, object, Reply | None]:
        """Return the reply to a job with a key, or None if its client has left.

        `arrival`: the fields of the job that the scheduler takes.
        """
        yield from self.wait_until_open(exchange.until, conn)
        if http.has_disconnected(conn):
            return None
        if self.key_table is None or self.disk_failing:
            return rejection(Verdict.FULL)
        fingerprint = request_fingerprint(exchange.target, exchange.body)
        request = KeyedRequest(exchange.tenant, exchange.key, fingerprint, exchange.until)
        verdict, record = self.key_table.claim(self.loop.now(), request)
        if verdict == Verdict.NEW:
            self._start_job(record, exchange, arrival)
        elif verdict == Verdict.ANSWER and record.scoped_key not in self.first_jobs:
            return replay(record.status, record.content)
        elif verdict not in (Verdict.JOIN, Verdict.ANSWER):
            return rejection(verdict)
        # An outcome that is not on the disk yet must not be replayed, so the client waits for that job.
        return (yield from self._wait_for_job(self.first_jobs[record.scoped_key], conn, exchange.until))

    def _start_job(self, record: Record, exchange: Exchange, arrival: tuple) -> None:
        job = self.first_jobs[record.scoped_key] = KeyedJob(record, exchange)
        # Counted before the task starts, so that the directory is not released in between.
        self.jobs_under_way += 1
        job.task = self.loop.spawn(self._run_job(job, arrival))

    def _wait_for_job(
        self, job: KeyedJob, conn: Connection, until: int
    ) -> Generator[tuple, object, Reply | None]:
        job.waiters.add(conn)
        try:
            reply = yield from self.program.listener.jobs.wait_for_answer(conn, until)
            return KILLED_REPLY if reply == () else reply
        finally:
            job.waiters.discard(conn)
            if not job.waiters and self.first_jobs.get(job.record.scoped_key) is job:
                self.inbox.put(ClientLeft(job.exchange))

    def _run_job(self, job: KeyedJob, arrival: tuple) -> Coroutine:
        """Run the first job of a key to its end, even if clients leave, and wake those that still wait."""
        try:
            reply = yield from self._execute(job, arrival)
        finally:
            self.jobs_under_way -= 1
        for conn in list(job.waiters):
            self.loop.wake(conn.owner, reply)
        # After a released claim another job of this key may have started meanwhile.
        if self.first_jobs.get(job.record.scoped_key) is job:
            del self.first_jobs[job.record.scoped_key]

    def _execute(self, job: KeyedJob, arrival: tuple) -> Generator[tuple, object, Reply]:
        key_table, record, exchange = self.key_table, job.record, job.exchange
        claimed = yield from self.persist(job)
        if not claimed or self.loop.now() >= exchange.until or exchange.client_has_disconnected():
            # Nothing was launched. The claim may be on the disk: the next successful write removes it.
            key_table.release(record)
            self.save()
            return REJECTED_REPLY
        reply = yield from self.schedule_job(job.task, exchange, arrival)
        self._record_outcome(key_table, record, reply)
        persisted = yield from self.persist(job)
        if not persisted and reply.status == COMPLETED:
            # The answer could not be replayed after a crash, so it is not sent now.
            key_table.mark_unsure(self.loop.now(), record)
            return KILLED_REPLY
        return reply

    def _record_outcome(self, key_table: KeyTable, record: Record, reply: Reply) -> None:
        now = self.loop.now()
        if reply.status == COMPLETED:
            key_table.complete(now, record, reply.status, reply.content)
        elif reply.status == REJECTED:
            key_table.release(record)
        else:
            key_table.mark_unsure(now, record)

    # Operators

    def copies(self, request: Request) -> Answer:
        """Answer `GET /api/copies` with figures of the key table and of the disk."""
        if self.key_table is None:
            return Answer(503, "the folder is held by the process before this one")
        figures = {
            **self.key_table.statistics(),
            "copies": 1,
            "owed": 0,
            "under_copied": 0,
            "disk": "failing" if self.disk_failing else "good",
            "longest_write_us": self.writer.longest_write_us,
        }
        oldest_until = figures.pop("oldest_until")
        left_us = max(0, oldest_until - self.loop.now()) if oldest_until else 0
        figures["oldest_left_ms"] = left_us // 1000
        text = orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode()
        return Answer(200, text, [], "application/json")
