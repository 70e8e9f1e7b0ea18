"""Keys of which several dispatchers hold copies: the folder, links and jobs round `copies.node`.

Imported only where the configuration names `repeats` with more than one copy. A claim is on the disks of a
majority of its key's holders before its job is handed to the decisions, an outcome before its answer.
"""

import uuid
from collections import Counter

import msgspec
import orjson

from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.keyed_request import request_fingerprint
from mastledge.idempotency.records import RecordState
from mastledge.idempotency.verdicts import Verdict
from mastledge.program.configuration import COPIES
from mastledge.program.idempotency_service import MARGIN, IdempotencyService, unix
from mastledge.protocol import http
from mastledge.protocol.control import Answer, No
from mastledge.protocol.requests import COMPLETED, KILLED, REJECTED
from mastledge.replication import coordinator as o
from mastledge.replication import messages as m
from mastledge.replication.node import Node
from mastledge.replication.persisted_state import PersistedReplica, head
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer
from mastledge.transport.loop import READ

MARK = b"\xc1"  # begins a frame of this kind: MessagePack, in which agreement speaks, never uses it
FRAME = 1 << 20  # bytes of messages that go out as one
ANSWERS = [(b"content-type", b"application/octet-stream")]


class Frame(msgspec.Struct, array_like=True):
    """All that one dispatcher says to another in one turn; `id` is that of the folder behind it."""

    id: str
    messages: list[m.AnyMessage]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Frame).decode


class ReplicationService(IdempotencyService):
    def __init__(self, program, told, log):
        super().__init__(program, told, log)
        self.fleet, self.seed = program.fleet, told["seed"]
        self.fleet.replication = self
        self.node, self.id, self.starts, self.proposed = None, "", 0, ""
        self.jobs, self.numbers, self.outbox, self.counts = {}, 0, {}, Counter()
        self.clients, self.going = {}, set()  # who waits for a job; jobs that the decisions have, or had
        self.longest, self.timer, self.flusher, self.lasts = 0, None, None, False

    # The folder

    def open(self):
        kept = PersistedReplica(unix)
        journal = self.journal(kept)
        now = self.loop.now()
        if not kept.id:
            kept.id = uuid.uuid4().hex[:16]
        self.writer = Writer(journal)
        self.begins(now, kept, kept.id, kept.starts + 1)
        vital, spawn = self.program.vital, self.loop.spawn
        self.timer = spawn(vital(self.timed()), first=True)
        self.flusher = spawn(vital(self.flushed()))
        self.tasks = [spawn(vital(self.written()), first=True), self.timer, self.flusher]
        self.log(
            "replicas_loaded",
            held=len(self.key_table.records),
            bytes=journal.size,
            id=self.id,
            starts=self.starts,
        )
        self.join()

    def journal(self, kept):
        fleet = {"fleet": self.fleet.configuration.fleet} if self.fleet.configuration.fleet else {}
        return self.opened(WriteAheadLog(self.folder, "copies", {"name": self.name, **fleet}, kept, self.log))

    def begins(self, now, kept, id_, starts):
        """With what the disk held; it takes part once its start is agreed, as an old folder has no say."""
        self.id, self.starts, self.fence, self.node = id_, starts, kept.fence, None
        self.key_table = KeyTable(self.told["keep"], self.told["entries"], self.told["bytes"], unix() - now)
        self.key_table.restore(now, kept.entries, False)
        self.lasts, self.token = False, self.token + 1
        self.starting = self.token
        self.writer.append(self.token, head(self.id, self.starts, self.fence))

    def join(self):
        """Says that it is there, as soon as there is a fleet that agrees."""
        name = f"holds.{self.name}.{self.id}.{self.starts}"
        if self.lasts and self.node is None and self.proposed != name and self.fleet.member is not None:
            self.proposed = name
            change = {"kind": "holds", "name": self.name, "id": self.id, "starts": self.starts}
            self.fleet.changes.propose(name, {**change, "count": self.told["copies"]}, self.joined)

    def joined(self, result):
        if self.writer is None or self.node is not None:
            return
        if result.reason and self.name in self.fleet.member.state_machine.members:
            # What others count on is not in it, so it comes as an empty one.
            self.log("replica_directory_stale", why=result.reason)
            kept = PersistedReplica(unix)
            self.begins(self.loop.now(), kept, uuid.uuid4().hex[:16], 1)
            self.token += 1
            self.writer.rewrite(self.token, head(self.id, self.starts, 0))
        elif result.reason:
            self.proposed = ""

    def placed(self, state):
        """What the fleet has agreed on who holds what, each time that it may have changed."""
        copies = state.get("copies")
        if self.writer is None or copies is None:
            self.join()
            return
        if self.node is None:
            if copies["starts"].get(self.name) != [self.id, self.starts]:
                self.join()
                return
            # All that was promised before is over after that, by whatever clock.
            patience = self.told["keep"] + 3 * self.program.walltime + 2 * self.fleet.configuration.lease_us
            self.node = Node(
                self.name,
                self.id,
                uuid.uuid4().hex[:12],
                self.key_table,
                self.fence,
                self.seed,
                patience,
                self.loop.now(),
                self.told["sync"],
            )
            self.node.token = self.node.safe = self.token
            if self.failing:
                self.node.broken = True
            if copies["count"] != self.told["copies"]:
                self.log("replica_count_differs", agreed=copies["count"], here=self.told["copies"])
        if (copies["epoch"], copies["caught"]) != (
            self.node.placement.epoch,
            sorted(self.node.placement.caught),
        ):
            self.log("replica_placement", epoch=copies["epoch"], moving=copies["next"] is not None)
            self.input("placed", copies)

    def written(self):
        while True:
            yield (self.writer.fd, READ, None)
            for result in self.writer.completed():
                token, error = result.token, result.error
                if error is not None:
                    if not self.failing:
                        self.log("replication_disk_failed", why=str(error))
                        self.failing = True
                        self.input("broken")
                        self.tasks.append(self.loop.spawn(self.program.vital(self.mended())))
                    continue
                if token == self.starting:
                    self.lasts = True
                    self.join()
                task = self.waiting.pop(token, None)
                if task is not None:
                    self.loop.wake(task, True)
                elif not self.failing:
                    self.input("saved", token)

    def everything(self):
        fence = self.node.fence if self.node is not None else self.fence
        return head(self.id, self.starts, fence) + self.key_table.snapshot()

    def mended(self):
        """Writes all anew, once a second, until that goes well."""
        task = self.tasks[-1]
        while self.failing:
            yield (-1, 0, self.loop.now() + self.MENDS)
            self.key_table.take_changes()
            self.token = max(self.token, self.node.token if self.node else 0) + 1
            if self.node is not None:
                self.node.token = self.token
            self.waiting[self.token] = task
            self.writer.rewrite(self.token, self.everything())
            if (yield (-1, 0, self.loop.now() + self.MENDS)) is True:
                self.failing = False
                self.lasts = True
                self.log("replication_disk_recovered")
                self.input("mended")
                self.join()

    def end(self):
        if self.node is not None:
            self.flush()
            if self.fleet.links is not None:
                self.fleet.links.flush()
        self.node = None
        super().end()

    # The node

    def input(self, what, *fields):
        node = self.node
        if node is None:
            return
        now, due = self.loop.now(), node.wake_at()
        for output, *rest in node.step(now, what, *fields):
            getattr(self, "do_" + output)(*rest)
        wakes = node.wake_at()
        if what != "time" and wakes is not None and (due is None or wakes < due):
            self.loop.wake(self.timer)
        self.longest = max(self.longest, self.loop.now() - now)

    def timed(self):
        while True:
            wakes = self.node.wake_at() if self.node is not None else None
            yield (-1, 0, None if wakes is None else max(wakes, self.loop.now() + 500))
            if (
                self.node is not None
                and (wakes := self.node.wake_at()) is not None
                and wakes <= self.loop.now()
            ):
                self.input("time")

    def do_send(self, to, message):
        if not self.outbox:
            self.loop.wake(self.flusher)
        self.outbox.setdefault(to, []).append(message)

    def do_save(self, token, records):
        self.token = token
        self.writer.append(token, records)

    def do_tell(self, n, what, status, content):
        self.counts[what] += 1
        task = self.jobs.get(n)
        if task is not None:
            self.loop.wake(task, (what, status, content))

    def do_caught(self, epoch):
        change = {"kind": "caught", "name": self.name, "id": self.id, "epoch": epoch}
        self.fleet.changes.propose(f"caught.{self.name}.{self.id}.{epoch}", change)

    def flushed(self):
        """What was said in one turn of the loop goes out as one frame to each."""
        while True:
            self.flush()
            yield (-1, 0, None)

    def flush(self):
        outbox, self.outbox = self.outbox, {}
        if self.fleet.links is None:
            return
        for to, messages in outbox.items():
            some, size = [], 0
            for message in messages:
                some.append(message)
                size += 256 + sum(
                    len(one.content)
                    for one in getattr(message, "records", (message,))
                    if hasattr(one, "content")
                )
                if size > FRAME:
                    self.fleet.links.send(to, MARK + encode(Frame(self.id, some)))
                    some, size = [], 0
            if some:
                self.fleet.links.send(to, MARK + encode(Frame(self.id, some)))

    def heard(self, name, content):
        """A frame from another dispatcher; ValueError where it can't be read."""
        frame = decode(content)
        for message in frame.messages:
            self.input("heard", name, frame.id, message)

    # Jobs

    def idle(self):
        return not self.keeping

    def offer(self, conn, exchange, told):
        """The answer to a job with a key, or None where its client has gone."""
        loop = self.loop
        yield from self.awaited(exchange.until, conn)
        if http.left(conn):
            return None
        if self.node is None or self.failing:
            return self.refusal(Verdict.FULL)
        self.numbers += 1
        n = self.numbers
        task = self.jobs[n] = loop.spawn(self.seen_through(n, exchange, told))
        self.clients[n] = conn
        exchange.gone = lambda: n not in self.clients or http.left(conn)
        try:
            got = yield from self.program.listener.awaited(conn, exchange.until)
        finally:
            del self.clients[n]
        if got:
            return got
        if n in self.going:
            # Who has joined it, here or elsewhere, claims the key anew where it comes to nothing.
            self.inbox.put("left", exchange)
        elif n in self.jobs:
            # Nothing of it is under way yet, and nobody waits for it any more.
            self.input("left", n)
            loop.cancel(task)
        return None if got is None else (KILLED, [], b"")

    def seen_through(self, n, exchange, told):
        """Sees a job through, also where its client has left, and wakes that one with the answer."""
        self.keeping += 1
        try:
            reply = yield from self.answered(n, exchange, told)
            if n in self.clients:
                self.loop.wake(self.clients[n].owner, reply)
        finally:
            del self.jobs[n]
            self.going.discard(n)
            self.keeping -= 1

    def answered(self, n, exchange, told):
        loop = self.loop
        left = exchange.until - loop.now()
        print_ = request_fingerprint(exchange.target, exchange.body)
        self.input("offer", n, exchange.tenant, exchange.key, print_, left)
        got = yield (-1, 0, exchange.until + MARGIN)
        if not isinstance(got, tuple):
            self.input("left", n)
            return KILLED, [], b""
        what, status, content = got
        if what == o.ANSWER:
            return status, ANSWERS, content
        if what == o.UNSURE:
            return self.refusal(Verdict.MAY_HAVE_RUN)
        if what == o.REFUSED:
            return status, [], content
        if what != o.GO:
            return self.refusal(Verdict.FULL)
        if loop.now() >= exchange.until or exchange.left():
            self.input("ended", n, m.DROPPED)
            return REJECTED, [], b""
        self.going.add(n)
        reply = yield from self.decided(self.jobs[n], exchange, told)
        status, _, content = reply
        how = {COMPLETED: RecordState.ANSWERED, REJECTED: m.DROPPED}.get(status, RecordState.UNSURE)
        self.input("ended", n, how, status, content if how == RecordState.ANSWERED else b"")
        got = yield (-1, 0, max(exchange.until, loop.now()) + MARGIN)
        if how == RecordState.ANSWERED and not (isinstance(got, tuple) and got[0] == o.LASTING):
            # No majority has it, so another could be told otherwise: it may have run.
            return KILLED, [], b""
        return reply

    def recount(self, request):
        """Another count of copies, for the whole fleet and under load."""
        try:
            count = orjson.loads(request.body)["count"]
            if not isinstance(count, int) or not 1 <= count <= COPIES:
                raise ValueError(f"not from 1 to {COPIES}: {count!r}")
        except (ValueError, KeyError, TypeError) as error:
            raise No(400, f"count: {error}") from None
        return (yield from self.fleet.changes.commit({"kind": "copies", "count": count}))

    def copies(self, request):
        """What operators see."""
        if self.key_table is None:
            return Answer(503, "the folder is held by the process before this one")
        node, told = self.node, self.key_table.statistics()
        oldest = told.pop("oldest_until")
        placement = node.placement if node is not None else None
        told |= {
            **(node.owner.figures() if node is not None else {"owed": 0, "under_copied": 0, "under_way": 0}),
            **{
                what: self.counts[what]
                for what in (o.GO, o.ANSWER, o.UNSURE, o.REFUSED, o.FULL, o.NOBODY, o.SHORT)
            },
            "copies": placement.count if placement else self.told["copies"],
            "copies_after": placement.after if placement else self.told["copies"],
            "takes_part": node is not None,
            "epoch": placement.epoch if placement else 0,
            "holders": sorted(placement.now) if placement else [],
            "moving_to": sorted(placement.next) if placement and placement.next else [],
            "caught_up": sorted(placement.caught) if placement else [],
            "taken": node.restore.taken if node else 0,
            "given": node.restore.given if node else 0,
            "disk": "failing" if self.failing else "good",
            "longest_write_us": self.writer.longest_write_us,
            "longest_step_us": self.longest,
            "oldest_left_ms": max(0, oldest - self.loop.now()) // 1000 if oldest else 0,
        }
        return Answer(200, orjson.dumps(told, option=orjson.OPT_INDENT_2).decode(), [], "application/json")
