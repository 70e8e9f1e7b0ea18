"""Keys that came before, on one dispatcher and its disk: the book, its journal, and who waits for what.

Imported only where the configuration names `repeats`. A claim is on the disk before its job is handed to the
decisions, an outcome before its answer.
"""

import time

import orjson

from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.keyed_request import KeyedRequest, request_fingerprint
from mastledge.idempotency.persisted_keys import PersistedKeys
from mastledge.idempotency.verdicts import EXPLANATION, HTTP_STATUS, Verdict
from mastledge.protocol import http
from mastledge.protocol.control import Answer
from mastledge.protocol.requests import COMPLETED, KILLED, REJECTED
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import DataDirectoryError
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer
from mastledge.transport.loop import READ

LOOK = 20_000  # for a folder that the process before still holds
AGAIN = 500_000
PATIENCE = 1_000_000  # of a job that comes while the process before still holds the folder
MARGIN = 50_000  # after the decisions must have ended a job


def unix():
    return time.time_ns() // 1000


class IdempotencyService:
    MENDS = 1_000_000  # between two tries of a disk that has failed

    def __init__(self, program, told, log):
        self.program, self.told, self.log, self.loop = program, told["repeats"], log, program.loop
        self.name, self.inbox = told["name"], program.inbox
        self.folder = DataDirectory(self.told["folder"])
        self.key_table, self.writer, self.token, self.failing = None, None, 0, False
        self.waiting, self.keeping, self.tasks = {}, 0, []
        self.first = {}  # by place, the exchange of the job that is under way for a key

    def begin(self):
        """Opens the folder, or waits for the process before to leave it; BadFolder where that is another
        one.
        """
        try:
            self.folder.acquire()
        except DataDirectoryError:
            if not self.program.has_sibling_process:
                raise
            self.log("idempotency_waiting", folder=self.told["folder"])
            self.tasks = [self.loop.spawn(self.program.supervised(self.waits()))]
            return
        self.open()

    def open(self):
        kept = PersistedKeys(unix)
        journal = self.opened(WriteAheadLog(self.folder, "repeats", {"name": self.name}, kept, self.log))
        now = self.loop.now()
        key_table = KeyTable(self.told["keep"], self.told["entries"], self.told["bytes"], unix() - now)
        key_table.restore(now, kept.entries)
        self.log("idempotency_keys_loaded", held=len(key_table.records), bytes=journal.size)
        self.writer, self.key_table = Writer(journal), key_table
        self.tasks = [self.loop.spawn(self.program.supervised(self.written()), first=True)]

    def opened(self, journal):
        try:
            return journal.open()
        except DataDirectoryError:
            self.folder.release()
            raise

    def waits(self):
        while True:
            yield (-1, 0, self.loop.now() + LOOK)
            try:
                self.folder.acquire()
            except DataDirectoryError:
                continue
            self.open()
            return

    def end(self):
        for task in self.tasks:
            self.loop.cancel(task)
        self.tasks = []
        if self.writer is not None:
            self.loop.forget(self.writer.fd)
            self.writer.close()
            self.writer = self.key_table = None
        self.folder.release()

    def idle(self):
        """Whether another process of this dispatcher may take over: nothing here waits for the disk."""
        return not self.keeping

    # The disk

    def save(self):
        """Hands over what the book has changed; the token under which it is on the disk."""
        self.token += 1
        self.writer.append(self.token, self.key_table.take_changes())
        return self.token

    def written(self):
        while True:
            yield (self.writer.fd, READ, None)
            for result in self.writer.completed():
                token, error = result.token, result.error
                if error is not None and not self.failing:
                    self.log("idempotency_disk_failed", why=str(error))
                    self.failing = True
                    self.mending = self.loop.spawn(self.program.supervised(self.mended()))
                    self.tasks.append(self.mending)
                task = self.waiting.pop(token, None)
                if task is not None:
                    self.loop.wake(task, error is None)

    def mended(self):
        """Writes all anew, once a second, until that goes well."""
        while True:
            yield (-1, 0, self.loop.now() + self.MENDS)
            self.key_table.take_changes()
            self.token += 1
            self.waiting[self.token] = self.mending
            self.writer.rewrite(self.token, self.key_table.snapshot())
            if (yield (-1, 0, None)) is True:
                self.failing = False
                self.log("idempotency_disk_recovered")
                return

    # Jobs

    def awaited(self, until, conn):
        """Waits for the process before to leave the folder, where it is about to, and while its client
        does.
        """
        last = min(until - MARGIN, self.loop.now() + PATIENCE)
        # One that hands over itself is not coming back to it.
        while (
            self.program.has_sibling_process
            and self.key_table is None
            and not self.program.listener.succeeded
            and self.loop.now() < last
            and not http.left(conn)
        ):
            yield (-1, 0, self.loop.now() + LOOK)

    def offer(self, conn, exchange, told):
        """The answer to a job with a key, or None where its client has gone."""
        yield from self.awaited(exchange.until, conn)
        if http.left(conn):
            return None
        loop, key_table = self.loop, self.key_table
        if key_table is None or self.failing:
            return self.refusal(Verdict.FULL)
        fingerprint = request_fingerprint(exchange.target, exchange.body)
        request = KeyedRequest(exchange.tenant, exchange.key, fingerprint, exchange.until)
        verdict, record = key_table.claim(loop.now(), request)
        if verdict == Verdict.ANSWER:
            return record.status, [(b"content-type", b"application/octet-stream")], record.content
        if verdict not in (Verdict.NEW, Verdict.JOIN):
            return self.refusal(verdict)
        if verdict == Verdict.NEW:
            record.waiters = waiters = set()
            exchange.gone = lambda: all([http.left(conn) for conn in waiters])
            self.first[record.scoped_key] = exchange
            record.task = loop.spawn(self.kept(exchange, told, record))
        record.waiters.add(conn)
        try:
            got = yield from self.program.listener.awaited(conn, exchange.until)
            return got if got != () else (KILLED, [], b"")
        finally:
            record.waiters.discard(conn)
            if not record.waiters and record.scoped_key in self.first:
                self.inbox.put("left", self.first[record.scoped_key])

    def refusal(self, verdict):
        hold_off = [(b"retry-after", b"%.3f" % (AGAIN / 1e6))] if verdict == Verdict.FULL else []
        return HTTP_STATUS[verdict], hold_off, EXPLANATION[verdict].encode()

    def kept(self, exchange, told, record):
        """Sees a first job through, whoever of its clients stays: what it came to is promised to all that
        come.
        """
        self.keeping += 1
        try:
            reply = yield from self.seen_through(exchange, told, record)
            for conn in list(record.waiters):
                self.loop.wake(conn.owner, reply)
        finally:
            del self.first[record.scoped_key]
            record.task = None  # the collector doesn't look at records, so nothing may go round in a ring
            self.keeping -= 1

    def seen_through(self, exchange, told, record):
        loop, key_table = self.loop, self.key_table
        if not (yield from self.lasting(record)) or loop.now() >= exchange.until or exchange.left():
            # Nothing was launched, and what the disk may hold of it is taken back once it holds anything.
            key_table.release(record)
            self.save()
            return REJECTED, [], b""
        reply = yield from self.decided(record.task, exchange, told)
        status, _, content = reply
        if status == COMPLETED:
            key_table.complete(loop.now(), record, status, content)
        elif status == REJECTED:
            key_table.release(record)
        else:
            key_table.mark_unsure(loop.now(), record)
        if not (yield from self.lasting(record)) and status == COMPLETED:
            # It could not be said again after a crash, so it is not said now.
            key_table.mark_unsure(loop.now(), record)
            return KILLED, [], b""
        return reply

    def decided(self, task, exchange, told):
        """What the decisions make of a job that this task sees through."""
        exchange.answer = lambda *answer: self.loop.wake(task, answer)
        self.inbox.put("arrived", exchange, *told)
        reply = yield (-1, 0, exchange.until + MARGIN)
        if not isinstance(reply, tuple):
            self.log("answer_late", job=exchange.name)
            exchange.open = False
            self.inbox.put("abandoned", exchange)
            reply = KILLED, [], b""
        return reply

    def lasting(self, record):
        """Waits until the book as it is now is on the disk; False where the disk fails."""
        token = self.save()
        if self.failing:
            return False
        self.waiting[token] = record.task
        return (yield (-1, 0, None)) is True

    def copies(self, request):
        """What operators see."""
        if self.key_table is None:
            return Answer(503, "the folder is held by the process before this one")
        told = {
            **self.key_table.statistics(),
            "copies": 1,
            "owed": 0,
            "under_copied": 0,
            "disk": "failing" if self.failing else "good",
            "longest_write_us": self.writer.longest_write_us,
        }
        oldest = told.pop("oldest_until")
        told["oldest_left_ms"] = max(0, oldest - self.loop.now()) // 1000 if oldest else 0
        return Answer(200, orjson.dumps(told, option=orjson.OPT_INDENT_2).decode(), [], "application/json")
