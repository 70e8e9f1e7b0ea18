"""Replicated idempotency keys: the data directory, its log, and this dispatcher's replica in the fleet.

Imported only if the configuration has `repeats` with more than one copy. The replica takes part once the
fleet has committed this start of its data directory: a restored old copy of the directory must not count as
a replica.
"""

import uuid
from collections.abc import Callable, Generator, Mapping

from mastledge.consensus.state_machine import ChangeResult
from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.verdicts import Verdict
from mastledge.program.keyed_job import Reply, rejection
from mastledge.program.keyed_service import DISK_RETRY_US, KeyedService, unix_now_us
from mastledge.program.replica_node import ReplicaNode
from mastledge.program.replicated_jobs import ReplicatedJobs
from mastledge.program.replication_api import json_answer, node_figures, requested_count
from mastledge.program.replication_frames import FrameSender, decode
from mastledge.protocol import http
from mastledge.protocol.control import Answer, Request
from mastledge.protocol.requests import Exchange
from mastledge.replication.inputs import (
    DiskFailed,
    DiskRecovered,
    MessageReceived,
    Persisted,
    PlacementChanged,
)
from mastledge.replication.node import Node, NodeOptions
from mastledge.replication.outputs import CaughtUp, JobVerdict, Persist, Send
from mastledge.replication.persisted_state import PersistedReplica, head_records
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer
from mastledge.transport.connection import Connection
from mastledge.transport.loop import READ, Coroutine, Task


class ReplicationService(KeyedService):
    """Serves keyed jobs whose records several dispatchers hold, among them this dispatcher."""

    def __init__(self, program, configuration: Mapping, log: Callable[..., None]):
        """Create the service, see `KeyedService`; the fleet of the program must exist already."""
        super().__init__(program, configuration, log)
        self._fleet, self._seed = program.fleet, configuration["seed"]
        self._fleet.replication = self
        self.directory_id, self._start_count, self._fence = "", 0, 0
        self._proposed_start = ""
        self._first_token = 0  # of the write that records this start of the data directory
        self._is_start_persisted = False
        self._rewrite_task: Task | None = None
        self._frames = FrameSender(self._fleet, self.loop.wake)
        self._replica = ReplicaNode(
            self.loop,
            {
                Send: self._send,
                Persist: self._persist,
                JobVerdict: self._deliver_verdict,
                CaughtUp: self._propose_caught_up,
            },
        )
        self._jobs = ReplicatedJobs(self, self._replica.handle, self._count_under_way)

    @property
    def node(self) -> Node | None:
        """The replication node; None until this start is committed."""
        return self._replica.node

    # The data directory

    def open(self) -> None:
        """Read the log and start; raise DataDirectoryError if the log cannot be read."""
        persisted = PersistedReplica(unix_now_us)
        log = self._open_log(persisted)
        now = self.loop.now()
        directory_id = persisted.directory_id or _new_directory_id()
        self.writer = Writer(log)
        self._load(now, persisted, directory_id, persisted.start_count + 1)
        self._spawn_tasks()
        self.log(
            "replicas_loaded",
            held=len(self.key_table.records),
            bytes=log.size,
            id=self.directory_id,
            starts=self._start_count,
        )
        self._propose_start()

    def _open_log(self, persisted: PersistedReplica) -> WriteAheadLog:
        owner = {"name": self.name}
        if self._fleet.configuration.fleet:
            owner["fleet"] = self._fleet.configuration.fleet
        return self.open_log(WriteAheadLog(self.directory, "copies", owner, persisted, self.log))

    def _load(self, now: int, persisted: PersistedReplica, directory_id: str, start_count: int) -> None:
        """Restore the key table from the persisted state, and write a record of this start."""
        self.directory_id, self._start_count = directory_id, start_count
        self._fence = persisted.fence
        self._replica.stop()
        settings = self.settings
        self.key_table = KeyTable(
            settings["keep"], settings["entries"], settings["bytes"], unix_now_us() - now
        )
        self.key_table.restore(now, persisted.entries, False)
        self._is_start_persisted = False
        self.last_token += 1
        self._first_token = self.last_token
        self.writer.append(self.last_token, self._head_records())

    def _head_records(self) -> list[tuple]:
        fence = self._fence if self.node is None else self.node.fence
        return head_records(self.directory_id, self._start_count, fence)

    def _spawn_tasks(self) -> None:
        supervised, spawn = self.program.supervised, self.loop.spawn
        timer = spawn(supervised(self._replica.tick()), first=True)
        self._replica.wake_on(timer)
        flush = spawn(supervised(self._flush_frames()))
        self._frames.flush_on(flush)
        self.tasks = [spawn(supervised(self._take_writer_results()), first=True), timer, flush]

    def end(self) -> None:
        """Send and write what is pending, and release the directory."""
        if self.node is not None:
            self._frames.flush(self.directory_id)
            if self._fleet.links is not None:
                self._fleet.links.flush()
        self._replica.stop()
        super().end()

    # The log

    def _take_writer_results(self) -> Coroutine:
        while True:
            yield (self.writer.fd, READ, None)
            for result in self.writer.completed():
                if result.error is None:
                    self._on_persisted(result.token)
                elif not self.disk_failing:
                    self._begin_rewriting(result.error)

    def _on_persisted(self, token: int) -> None:
        if token == self._first_token:
            self._is_start_persisted = True
            self._propose_start()
        task = self.save_waiters.pop(token, None)
        if task is not None:
            self.loop.wake(task, True)
        elif not self.disk_failing:
            self._replica.handle(Persisted(token))

    def _begin_rewriting(self, error: Exception) -> None:
        self.log("replication_disk_failed", why=str(error))
        self.disk_failing = True
        self._replica.handle(DiskFailed())
        self._rewrite_task = self.loop.spawn(self.program.supervised(self._rewrite()))
        self.tasks.append(self._rewrite_task)

    def _rewrite(self) -> Coroutine:
        """Rewrite all records, and retry until that succeeds."""
        while self.disk_failing:
            yield (-1, 0, self.loop.now() + DISK_RETRY_US)
            self.key_table.take_changes()  # the snapshot below contains them
            self._reserve_token()
            self.save_waiters[self.last_token] = self._rewrite_task
            self.writer.rewrite(self.last_token, self._head_records() + self.key_table.snapshot())
            if (yield (-1, 0, self.loop.now() + DISK_RETRY_US)) is True:
                self._end_rewriting()

    def _reserve_token(self) -> None:
        """Reserve a token for a write of the service itself, so that the node does not use it."""
        if self.node is None:
            self.last_token += 1
            return
        self.last_token = max(self.last_token, self.node.outbox.last_token) + 1
        self.node.outbox.skip_to(self.last_token)

    def _end_rewriting(self) -> None:
        self.disk_failing = False
        self._is_start_persisted = True
        self.log("replication_disk_recovered")
        self._replica.handle(DiskRecovered())
        self._propose_start()

    # The fleet

    def _propose_start(self) -> None:
        """Propose this start of the data directory to the fleet, once, as soon as there is a member."""
        name = f"holds.{self.name}.{self.directory_id}.{self._start_count}"
        is_due = self._is_start_persisted and self.node is None and self._proposed_start != name
        if not is_due or self._fleet.member is None:
            return
        self._proposed_start = name
        change = {
            "kind": "holds",
            "name": self.name,
            "id": self.directory_id,
            "starts": self._start_count,
            "count": self.settings["copies"],
        }
        self._fleet.changes.propose(name, change, self._on_start_proposed)

    def _on_start_proposed(self, result: ChangeResult) -> None:
        if self.writer is None or self.node is not None or not result.reason:
            return
        if self.name not in self._fleet.member.state_machine.members:
            self._proposed_start = ""
            return
        # The fleet has committed this start or a later one before, so this directory is an old copy and
        # lacks acknowledged records.
        self.log("replica_directory_stale", why=result.reason)
        self._load(self.loop.now(), PersistedReplica(unix_now_us), _new_directory_id(), 1)
        self.last_token += 1
        self.writer.rewrite(self.last_token, self._head_records())

    def on_committed_state(self, state: Mapping) -> None:
        """Apply the committed state of the fleet, which may have changed."""
        copies = state.get("copies")
        if self.writer is None or copies is None:
            self._propose_start()
            return
        if self.node is None:
            if copies["starts"].get(self.name) != [self.directory_id, self._start_count]:
                self._propose_start()
                return
            self._start_node(copies["count"])
        placement = self.node.placement
        if (copies["epoch"], copies["caught"]) != (placement.epoch, sorted(placement.caught_up)):
            self.log("replica_placement", epoch=copies["epoch"], moving=copies["next"] is not None)
            self._replica.handle(PlacementChanged(copies))

    def _start_node(self, committed_count: int) -> None:
        # After this time every promise made before this start has expired, whichever clock measures it.
        promise_us = (
            self.settings["keep"] + 3 * self.program.longest_walltime + 2 * self._fleet.configuration.lease_us
        )
        options = NodeOptions(
            name=self.name,
            directory_id=self.directory_id,
            incarnation=uuid.uuid4().hex[:12],
            fence=self._fence,
            seed=self._seed,
            promise_us=promise_us,
            synced=self.settings["sync"],
            token=self.last_token,
            disk_failed=self.disk_failing,
        )
        self._replica.start(Node(options, self.key_table, self.loop.now()))
        if committed_count != self.settings["copies"]:
            self.log("replica_count_differs", agreed=committed_count, here=self.settings["copies"])

    def on_frame(self, sender: str, content: bytes) -> None:
        """Handle a frame of another dispatcher, without its prefix.

        Raise msgspec.DecodeError or ClaimNameError, both subclasses of ValueError, if it is malformed.
        """
        frame = decode(content)
        for message in frame.messages:
            self._replica.handle(MessageReceived(sender, frame.id, message))

    def _flush_frames(self) -> Coroutine:
        while True:
            self._frames.flush(self.directory_id)
            yield (-1, 0, None)

    # Outputs of the node

    def _send(self, send: Send) -> None:
        self._frames.add(send.recipient, send.message)

    def _persist(self, persist: Persist) -> None:
        self.last_token = persist.token
        self.writer.append(persist.token, persist.records)

    def _deliver_verdict(self, job_verdict: JobVerdict) -> None:
        self._jobs.on_verdict(job_verdict)

    def _propose_caught_up(self, caught_up: CaughtUp) -> None:
        epoch = caught_up.epoch
        change = {"kind": "caught", "name": self.name, "id": self.directory_id, "epoch": epoch}
        self._fleet.changes.propose(f"caught.{self.name}.{self.directory_id}.{epoch}", change)

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
        if self.node is None or self.disk_failing:
            return rejection(Verdict.FULL)
        return (yield from self._jobs.run(conn, exchange, arrival))

    def _count_under_way(self, change: int) -> None:
        self.jobs_under_way += change

    # Operators

    def recount(self, request: Request) -> Generator[tuple, object, object]:
        """Handle `POST /api/copies`: change the replica count of the whole fleet while it serves jobs."""
        count = requested_count(request)
        return (yield from self._fleet.changes.commit({"kind": "copies", "count": count}))

    def copies(self, request: Request) -> Answer:
        """Answer `GET /api/copies` with figures of the keys and of the replica."""
        if self.key_table is None:
            return Answer(503, "the folder is held by the process before this one")
        figures = self.key_table.statistics()
        oldest_until = figures.pop("oldest_until")
        left_us = max(0, oldest_until - self.loop.now()) if oldest_until else 0
        figures |= node_figures(self.node, self._jobs.verdict_counts, self.settings["copies"])
        figures |= {
            "disk": "failing" if self.disk_failing else "good",
            "longest_write_us": self.writer.longest_write_us,
            "longest_step_us": self._replica.longest_step_us,
            "oldest_left_ms": left_us // 1000,
        }
        return json_answer(figures)


def _new_directory_id() -> str:
    return uuid.uuid4().hex[:16]
