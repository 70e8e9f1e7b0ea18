"""Keys of which several dispatchers hold copies: the folder, links and jobs round `replication.node`.

Imported only where the configuration names `repeats` with more than one copy. A claim is on the disks of a
majority of its key's holders before its job is handed to the decisions, an outcome before its answer.
"""

import uuid
from collections import Counter

import msgspec
import orjson

from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.keyed_request import request_fingerprint
from mastledge.idempotency.verdicts import Verdict
from mastledge.program.configuration import COPIES
from mastledge.program.keyed_job import rejection
from mastledge.program.keyed_service import ANSWER_MARGIN_US, DISK_RETRY_US, KeyedService, unix_now_us
from mastledge.protocol import http
from mastledge.protocol.control import Answer, No
from mastledge.protocol.requests import COMPLETED, KILLED, REJECTED
from mastledge.replication import inputs, outputs
from mastledge.replication.inputs import JobOutcome
from mastledge.replication.messages import AnyMessage
from mastledge.replication.node import Node, NodeOptions
from mastledge.replication.persisted_state import PersistedReplica, head_records
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer
from mastledge.transport.loop import READ

MARK = b"\xc1"  # begins a frame of this kind: MessagePack, in which agreement speaks, never uses it
FRAME = 1 << 20  # bytes of messages that go out as one
COUNTED = tuple(verdict for verdict in outputs.Verdict if verdict is not outputs.Verdict.REPLICATED)
ANSWERS = [(b"content-type", b"application/octet-stream")]


class Frame(msgspec.Struct, array_like=True):
    """All that one dispatcher says to another in one turn; `id` is that of the folder behind it."""

    id: str
    messages: list[AnyMessage]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Frame).decode


class ReplicationService(KeyedService):
    def __init__(self, program, told, log):
        super().__init__(program, told, log)
        self.fleet, self.seed = program.fleet, told["seed"]
        self.fleet.copies = self
        self.node, self.id, self.starts, self.proposed = None, "", 0, ""
        self.jobs, self.numbers, self.outbox, self.counts = {}, 0, {}, Counter()
        self.clients, self.going = {}, set()  # who waits for a job; jobs that the decisions have, or had
        self.longest, self.timer, self.flusher, self.lasts = 0, None, None, False
        self.output_handlers = {
            outputs.Send: self.do_send,
            outputs.Persist: self.do_persist,
            outputs.JobVerdict: self.do_verdict,
            outputs.CaughtUp: self.do_caught_up,
        }

    # The folder

    def open(self):
        kept = PersistedReplica(unix_now_us)
        journal = self.journal(kept)
        now = self.loop.now()
        directory_id = kept.directory_id or uuid.uuid4().hex[:16]
        self.writer = Writer(journal)
        self.begins(now, kept, directory_id, kept.start_count + 1)
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
        fleet = {"fleet": self.fleet.told["fleet"]} if self.fleet.told["fleet"] else {}
        return self.open_log(
            WriteAheadLog(self.directory, "copies", {"name": self.name, **fleet}, kept, self.log)
        )

    def begins(self, now, kept, id_, starts):
        """With what the disk held; it takes part once its start is agreed, as an old folder has no say."""
        self.id, self.starts, self.fence, self.node = id_, starts, kept.fence, None
        self.key_table = KeyTable(
            self.settings["keep"], self.settings["entries"], self.settings["bytes"], unix_now_us() - now
        )
        self.key_table.restore(now, kept.entries, False)
        self.lasts, self.last_token = False, self.last_token + 1
        self.starting = self.last_token
        self.writer.append(self.last_token, head_records(self.id, self.starts, self.fence))

    def join(self):
        """Says that it is there, as soon as there is a fleet that agrees."""
        name = f"holds.{self.name}.{self.id}.{self.starts}"
        if self.lasts and self.node is None and self.proposed != name and self.fleet.member is not None:
            self.proposed = name
            change = {"kind": "holds", "name": self.name, "id": self.id, "starts": self.starts}
            self.fleet.propose(name, {**change, "count": self.settings["copies"]}, self.joined)

    def joined(self, result):
        if self.writer is None or self.node is not None:
            return
        if "why" in result and self.name in self.fleet.member.rules.members:
            # What others count on is not in it, so it comes as an empty one.
            self.log("replica_directory_stale", why=result["why"])
            kept = PersistedReplica(unix_now_us)
            self.begins(self.loop.now(), kept, uuid.uuid4().hex[:16], 1)
            self.last_token += 1
            self.writer.rewrite(self.last_token, head_records(self.id, self.starts, 0))
        elif "why" in result:
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
            patience = self.settings["keep"] + 3 * self.program.walltime + 2 * self.fleet.told["lease"]
            options = NodeOptions(
                name=self.name,
                directory_id=self.id,
                incarnation=uuid.uuid4().hex[:12],
                fence=self.fence,
                seed=self.seed,
                promise_us=patience,
                synced=self.settings["sync"],
                token=self.last_token,
                disk_failed=self.disk_failing,
            )
            self.node = Node(options, self.key_table, self.loop.now())
            if copies["count"] != self.settings["copies"]:
                self.log("replica_count_differs", agreed=copies["count"], here=self.settings["copies"])
        if (copies["epoch"], copies["caught"]) != (
            self.node.placement.epoch,
            sorted(self.node.placement.caught_up),
        ):
            self.log("replica_placement", epoch=copies["epoch"], moving=copies["next"] is not None)
            self.input(inputs.PlacementChanged(copies))

    def written(self):
        while True:
            yield (self.writer.fd, READ, None)
            for result in self.writer.completed():
                token, error = result.token, result.error
                if error is not None:
                    if not self.disk_failing:
                        self.log("replication_disk_failed", why=str(error))
                        self.disk_failing = True
                        self.input(inputs.DiskFailed())
                        self.tasks.append(self.loop.spawn(self.program.vital(self.mended())))
                    continue
                if token == self.starting:
                    self.lasts = True
                    self.join()
                task = self.save_waiters.pop(token, None)
                if task is not None:
                    self.loop.wake(task, True)
                elif not self.disk_failing:
                    self.input(inputs.Persisted(token))

    def everything(self):
        fence = self.node.fence if self.node is not None else self.fence
        return head_records(self.id, self.starts, fence) + self.key_table.snapshot()

    def mended(self):
        """Writes all anew, once a second, until that goes well."""
        task = self.tasks[-1]
        while self.disk_failing:
            yield (-1, 0, self.loop.now() + DISK_RETRY_US)
            self.key_table.take_changes()
            self.last_token = max(self.last_token, self.node.outbox.last_token if self.node else 0) + 1
            if self.node is not None:
                self.node.outbox.skip_to(self.last_token)
            self.save_waiters[self.last_token] = task
            self.writer.rewrite(self.last_token, self.everything())
            if (yield (-1, 0, self.loop.now() + DISK_RETRY_US)) is True:
                self.disk_failing = False
                self.lasts = True
                self.log("replication_disk_recovered")
                self.input(inputs.DiskRecovered())
                self.join()

    def end(self):
        if self.node is not None:
            self.flush()
            if self.fleet.links is not None:
                self.fleet.links.flush()
        self.node = None
        super().end()

    # The node

    def input(self, input_):
        node = self.node
        if node is None:
            return
        now, due = self.loop.now(), node.wake_at()
        for output in node.step(now, input_):
            self.output_handlers[type(output)](output)
        wakes = node.wake_at()
        if not isinstance(input_, inputs.Tick) and wakes is not None and (due is None or wakes < due):
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
                self.input(inputs.Tick())

    def do_send(self, send):
        if not self.outbox:
            self.loop.wake(self.flusher)
        self.outbox.setdefault(send.recipient, []).append(send.message)

    def do_persist(self, persist):
        self.last_token = persist.token
        self.writer.append(persist.token, persist.records)

    def do_verdict(self, told):
        self.counts[told.verdict] += 1
        task = self.jobs.get(told.job_id)
        if task is not None:
            self.loop.wake(task, told)

    def do_caught_up(self, caught_up):
        epoch = caught_up.epoch
        change = {"kind": "caught", "name": self.name, "id": self.id, "epoch": epoch}
        self.fleet.propose(f"caught.{self.name}.{self.id}.{epoch}", change)

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
            self.input(inputs.MessageReceived(name, frame.id, message))

    # Jobs

    def idle(self):
        return not self.jobs_under_way

    def offer(self, conn, exchange, told):
        """The answer to a job with a key, or None where its client has gone."""
        loop = self.loop
        yield from self.wait_until_open(exchange.until, conn)
        if http.left(conn):
            return None
        if self.node is None or self.disk_failing:
            return rejection(Verdict.FULL)
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
            self.input(inputs.ClientLeft(n))
            loop.cancel(task)
        return None if got is None else (KILLED, [], b"")

    def seen_through(self, n, exchange, told):
        """Sees a job through, also where its client has left, and wakes that one with the answer."""
        self.jobs_under_way += 1
        try:
            reply = yield from self.answered(n, exchange, told)
            if n in self.clients:
                self.loop.wake(self.clients[n].owner, reply)
        finally:
            del self.jobs[n]
            self.going.discard(n)
            self.jobs_under_way -= 1

    def answered(self, n, exchange, told):
        loop = self.loop
        left = exchange.until - loop.now()
        print_ = request_fingerprint(exchange.target, exchange.body)
        self.input(inputs.Offer(n, exchange.tenant, exchange.key, print_, left))
        got = yield (-1, 0, exchange.until + ANSWER_MARGIN_US)
        if not isinstance(got, outputs.JobVerdict):
            self.input(inputs.ClientLeft(n))
            return KILLED, [], b""
        if got.verdict is outputs.Verdict.ANSWERED:
            return got.status, ANSWERS, got.content
        if got.verdict is outputs.Verdict.UNSURE:
            return rejection(Verdict.MAY_HAVE_RUN)
        if got.verdict is outputs.Verdict.REFUSED:
            return got.status, [], got.content
        if got.verdict is not outputs.Verdict.GRANTED:
            return rejection(Verdict.FULL)
        if loop.now() >= exchange.until or exchange.left():
            self.input(inputs.JobEnded(n, JobOutcome.RELEASED))
            return REJECTED, [], b""
        self.going.add(n)
        reply = yield from self.decide(self.jobs[n], exchange, told)
        status, _, content = reply
        outcome = {COMPLETED: JobOutcome.ANSWERED, REJECTED: JobOutcome.RELEASED}.get(
            status, JobOutcome.UNSURE
        )
        answered = outcome is JobOutcome.ANSWERED
        self.input(inputs.JobEnded(n, outcome, status, content if answered else b""))
        got = yield (-1, 0, max(exchange.until, loop.now()) + ANSWER_MARGIN_US)
        lasts = isinstance(got, outputs.JobVerdict) and got.verdict is outputs.Verdict.REPLICATED
        if answered and not lasts:
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
        return (yield from self.fleet.changed({"kind": "copies", "count": count}))

    def copies(self, request):
        """What operators see."""
        if self.key_table is None:
            return Answer(503, "the folder is held by the process before this one")
        node, told = self.node, self.key_table.statistics()
        oldest = told.pop("oldest_until")
        placement = node.placement if node is not None else None
        told |= {
            **(
                node.coordinator.statistics()
                if node is not None
                else {"owed": 0, "under_copied": 0, "under_way": 0}
            ),
            **{verdict.value: self.counts[verdict] for verdict in COUNTED},
            "copies": placement.replica_count if placement else self.settings["copies"],
            "copies_after": placement.next_replica_count if placement else self.settings["copies"],
            "takes_part": node is not None,
            "epoch": placement.epoch if placement else 0,
            "holders": sorted(placement.current) if placement else [],
            "moving_to": sorted(placement.next) if placement and placement.next else [],
            "caught_up": sorted(placement.caught_up) if placement else [],
            "taken": node.catch_up.records_taken if node else 0,
            "given": node.scan_server.records_given if node else 0,
            "disk": "failing" if self.disk_failing else "good",
            "longest_write_us": self.writer.longest_write_us,
            "longest_step_us": self.longest,
            "oldest_left_ms": max(0, oldest - self.loop.now()) // 1000 if oldest else 0,
        }
        return Answer(200, orjson.dumps(told, option=orjson.OPT_INDENT_2).decode(), [], "application/json")
