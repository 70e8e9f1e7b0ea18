"""Races of two events: each test forces the unfavourable order on real connections (docs/crossings.md)."""

import select
import socket
import struct
import threading

import helpers
import orjson
import pytest
from helpers import HERE, Rig, peer_at
from test_control import Served, free
from test_idempotency import answers
from test_program import GOOD

from mastledge.program import graceful_shutdown
from mastledge.program import serving as serving_phases
from mastledge.program.upgrade_state import UpgradeState
from mastledge.protocol import client_connection, client_listener, worker_answers
from mastledge.protocol import worker_connections as protocol_workers
from mastledge.protocol.events import LaunchEnded
from mastledge.replication import claims
from mastledge.routing.events import ShutdownDue, TrafficShareChanged
from mastledge.storage.data_directory import DataDirectory
from mastledge.transport.connection import Connection
from mastledge.transport.loop import READ

EFFECTS = {"restartable": "pure", "run-once": "side_effect", "deduplicated": "token"}


def settings(effect="restartable", window=4000.0, **limits):
    queue_type = {
        **GOOD["settings"]["queueTypes"][0],
        "idempotency": EFFECTS[effect],
        "windowMs": window,
        "dedupScope": "zone",
        # How long a job waits for a worker.
        "targetTurnaroundMs": 3000.0,
    }
    limits = {**GOOD["settings"]["limits"], **limits}
    return {**GOOD["settings"], "balancers": 4, "limits": limits, "queueTypes": [queue_type]}


class Serving(Served):
    """A dispatcher in this thread's loop; the test controls its clients, workers and discovery."""

    def __init__(self, path, effect="restartable", limits=None, window=4000.0, **changed):
        super().__init__(path, settings=settings(effect, window, **limits or {}), **changed)
        self.generation = 1

    def send_job(self, txn="a1", **headers):
        client = self.connect()
        client.sendall(helpers.job(X_Txn=txn, X_Remaining_Ms=4000, **headers))
        return client

    def send_accepted_job(self, txn="a1", **headers):
        client = self.send_job(txn, **headers)
        assert self.turn(lambda: self.job(txn))
        return client

    def job(self, txn):
        return next((job for job in self.made.router.jobs.values() if job.exchange.name == txn), None)

    def update_list(self, state="ready", started=0, sock=None, name="s-1", reset=True, zone="z"):
        """Apply an endpoint list with one worker."""
        self.generation += 1
        at = f"{HERE}:{(sock or self.sock).getsockname()[1]}"
        self.made.discovery.apply(
            {
                "generation": self.generation,
                "reset": reset,
                "instances": [
                    {
                        "instanceId": name,
                        "hostPort": at,
                        "zone": zone,
                        "machineType": "k",
                        "cell": 0,
                        "lifecycle": state,
                        "weight": 1.0,
                        "startedAtMs": started,
                    }
                ],
            }
        )

    def answer_only_launch(self, txn):
        """Answer the launch of this job, which has to be the first that the worker gets."""
        remote, request = self.rig.called(self.sock)
        assert b"X-Txn: %s\r\n" % txn.encode() in request.replace(b"x-txn", b"X-Txn"), request
        assert self.turn(lambda: self.job(txn).launches[-1].sent)
        answers(remote, txn.encode())
        return remote

    def request_shutdown(self):
        self.made.stop_requested = True
        self.made.loop.wake(self.made.lifecycle_task)

    def advance_clock(self, seconds):
        """Move the clock of the loop forward by `seconds`."""
        now = self.made.loop.now
        self.made.loop.now = lambda: now() + int(seconds * 1e6)

    def close_all(self):
        if self.made.idempotency is not None:
            self.made.idempotency.end()
        self.close()
        assert not self.rig.errors and not self.made.router.faults


@pytest.fixture
def serving(tmp_path, monkeypatch):
    monkeypatch.setattr(serving_phases, "FIRST_LIST_TIMEOUT_US", 0)
    started = []

    def start(*arguments, **options):
        started.append(Serving(tmp_path, *arguments, **options))
        return started[-1]

    yield start
    started[-1].close_all()


def wait_for_end(conn):
    """Wait until the kernel has the end of this connection, without running the loop."""
    poll = select.poll()
    poll.register(conn.sock, select.POLLRDHUP)
    assert poll.poll(2000)


def close_connection(dispatcher, client):
    client.close()


def close_write_side(dispatcher, client):
    client.shutdown(socket.SHUT_WR)


def reset_connection(dispatcher, client):
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def send_and_close(dispatcher, client):
    client.sendall(helpers.job(X_Txn="behind")[:40])
    client.close()


def flood_and_close(dispatcher, client):
    """Send more than the socket buffers hold, so that the end is behind unread input, and close."""
    left = 8 << 20
    client.setblocking(False)
    while left > 0:
        try:
            left -= client.send(bytes(min(left, 1 << 16)))
        except BlockingIOError:
            dispatcher.rig.loop.run_once(0)
    client.close()


DISCONNECTS = [close_connection, close_write_side, reset_connection, send_and_close]
for_each_disconnect = pytest.mark.parametrize("disconnect", DISCONNECTS)


# A client that disconnects while its job waits


@pytest.mark.parametrize("disconnect", [*DISCONNECTS, flood_and_close])
@pytest.mark.parametrize("waits_for", ["worker", "cold"])
def test_waiting_job_of_a_disconnected_client_is_not_launched(disconnect, waits_for, serving):
    dispatcher = serving(ready=False)
    if waits_for == "cold":
        dispatcher.update_list(
            started=dispatcher.made.discovery.unix_offset_us // 1000 + dispatcher.rig.loop.now() // 1000
        )
    client = dispatcher.send_accepted_job()
    assert not dispatcher.job("a1").launches
    disconnect(dispatcher, client)
    assert dispatcher.turn(lambda: not dispatcher.made.router.jobs)
    dispatcher.update_list(name="s-2")
    dispatcher.send_accepted_job("a2")
    dispatcher.answer_only_launch("a2")


@pytest.mark.parametrize("effect", ["restartable", "run-once"])
@for_each_disconnect
def test_busy_loop_launches_nothing_for_a_disconnected_client(disconnect, effect, serving):
    # Guards against a launch when the request and the end of its connection are found in the same turn.
    dispatcher = serving(effect).serving()
    client = dispatcher.connect()
    assert dispatcher.turn(lambda: dispatcher.made.listener.clients)
    conn = next(iter(dispatcher.made.listener.clients))
    client.sendall(helpers.job(X_Txn="a1"))
    disconnect(dispatcher, client)
    wait_for_end(conn)
    dispatcher.turn(lambda: not dispatcher.made.listener.clients)
    assert not dispatcher.made.router.job_table.totals["completed"] and not dispatcher.made.router.jobs
    dispatcher.send_accepted_job("a2")
    dispatcher.answer_only_launch("a2")


class DelayedConnects:
    """Connections to workers that are established when the test allows it."""

    def __init__(self, monkeypatch):
        self.held, self.connections, real = True, [], protocol_workers.connect

        def connect(loop, *arguments):
            conn = yield from real(loop, *arguments)
            self.connections.append(conn)
            try:
                while self.held:
                    yield (-1, 0, loop.now() + 1_000)
            except BaseException:
                conn.close()
                raise
            return conn

        monkeypatch.setattr(protocol_workers, "connect", connect)


@pytest.fixture
def delayed_connects(monkeypatch):
    return DelayedConnects(monkeypatch)


@pytest.mark.parametrize("can_revoke", [True, False])
@pytest.mark.parametrize("effect", ["restartable", "run-once"])
@for_each_disconnect
def test_connection_established_as_the_client_disconnects_carries_nothing(
    disconnect, effect, can_revoke, delayed_connects, serving
):
    dispatcher = serving(effect, {"cancel": can_revoke}).serving()
    client = dispatcher.send_accepted_job()
    assert dispatcher.turn(lambda: delayed_connects.connections)
    conn = dispatcher.job("a1").exchange.conn
    disconnect(dispatcher, client)
    wait_for_end(conn)
    delayed_connects.held = False
    dispatcher.advance_clock(0.01)  # the disconnect and the connect are seen in the same turn
    remote, _ = dispatcher.sock.accept()
    assert dispatcher.turn(lambda: not dispatcher.made.router.jobs)
    assert dispatcher.turn(lambda: delayed_connects.connections[0].fd < 0) and remote.recv(1) == b""


@pytest.mark.parametrize("job_end", ["left", "answered"])
def test_hanging_connect_is_cancelled_with_its_job(job_end, delayed_connects, serving):
    # Guards against a launch that is still sent once its connection is established.
    dispatcher = serving("restartable", {"cancel": False}).serving()
    client = dispatcher.send_accepted_job()
    assert dispatcher.turn(lambda: delayed_connects.connections)
    if job_end == "left":
        client.close()
    else:
        dispatcher.made.inbox.put(ShutdownDue())
        assert b" 500 " in dispatcher.rig.reply(client)
    assert dispatcher.turn(lambda: delayed_connects.connections[0].fd < 0) and not dispatcher.made.router.jobs


@for_each_disconnect
def test_last_byte_of_a_run_once_job_is_not_sent_after_a_disconnect(disconnect, serving, monkeypatch):
    waiting = [True]

    def stays_quiet(self, margin_us):
        while waiting:
            yield (-1, 0, self.loop.now() + 1_000)
        return True

    monkeypatch.setattr(Connection, "stays_quiet", stays_quiet)
    dispatcher = serving("run-once").serving()
    client = dispatcher.send_accepted_job()
    remote, request = dispatcher.rig.called(dispatcher.sock)
    assert not request.endswith(b"x") and not dispatcher.job("a1").launches[0].sent
    disconnect(dispatcher, client)
    wait_for_end(dispatcher.job("a1").exchange.conn)
    waiting.clear()
    dispatcher.advance_clock(0.01)  # the last byte is due in the turn in which the disconnect is seen
    assert dispatcher.turn(lambda: not dispatcher.made.router.jobs) and remote.recv(1) == b""


@pytest.mark.parametrize("effect", ["restartable", "run-once", "deduplicated"])
@for_each_disconnect
def test_job_returned_unstarted_is_not_launched_again_after_a_disconnect(disconnect, effect, serving):
    dispatcher = serving(effect).serving()
    client = dispatcher.send_accepted_job(Idempotency_Key="k")
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    assert dispatcher.turn(lambda: dispatcher.job("a1").launches[0].sent)
    assert effect != "run-once" or remote.recv(1) == b"x"  # the last byte is sent separately
    router, conn = dispatcher.made.router, dispatcher.job("a1").exchange.conn
    ended, router_ended = router.on_launch_ended, []

    def on_ended(*arguments):
        # The client disconnects between the worker's answer and the decision on the answer; the loop has not
        # seen the disconnect yet.
        if not router_ended:
            router_ended.append(arguments)
            disconnect(dispatcher, client)
            wait_for_end(conn)
        ended(*arguments)

    router.on_launch_ended = router.handlers[LaunchEnded] = on_ended
    remote.sendall(b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
    assert dispatcher.turn(lambda: not router.jobs) and len(router_ended) == 1
    dispatcher.update_list(name="s-2")  # closes the idle connection to s-1, which has got nothing more
    assert dispatcher.turn(lambda: "s-1" not in dispatcher.made.router.endpoints) and remote.recv(4096) == b""


# The same with stored idempotency keys


def key_settings(tmp_path):
    return {"folder": str(tmp_path / "kept"), "entries": 100, "bytes": 100_000}


class StalledDisk:
    """A write-ahead log whose writes wait until the test lets them go on."""

    def __init__(self, idempotency, monkeypatch):
        self.resumed, append = threading.Event(), idempotency.writer.wal.append

        def append_when_resumed(records):
            self.resumed.wait(10)
            append(records)

        monkeypatch.setattr(idempotency.writer.wal, "append", append_when_resumed)


@for_each_disconnect
def test_disconnect_before_the_claim_of_the_key_prevents_the_launch(
    disconnect, serving, tmp_path, monkeypatch
):
    dispatcher = serving(repeats=key_settings(tmp_path)).serving()
    disk = StalledDisk(dispatcher.made.idempotency, monkeypatch)
    client = dispatcher.send_job(Idempotency_Key="k1")
    assert dispatcher.turn(lambda: dispatcher.made.idempotency.first_jobs)
    disconnect(dispatcher, client)
    assert dispatcher.turn(lambda: not dispatcher.made.listener.clients)
    disk.resumed.set()
    assert dispatcher.turn(lambda: not dispatcher.made.idempotency.jobs_under_way)
    assert not dispatcher.made.idempotency.key_table.records and not dispatcher.made.router.job_table.count
    dispatcher.send_job("a2", Idempotency_Key="k1")
    dispatcher.answer_only_launch("a2")


@for_each_disconnect
@pytest.mark.parametrize("joined", [False, True])
def test_keyed_job_waits_only_while_a_client_waits_for_it(disconnect, joined, serving, tmp_path):
    dispatcher = serving(ready=False, repeats=key_settings(tmp_path))
    first = dispatcher.send_accepted_job("a1", Idempotency_Key="k1")
    if joined:
        second = dispatcher.send_job("a2", Idempotency_Key="k1")
        assert dispatcher.turn(lambda: dispatcher.made.idempotency.key_table.verdict_counts["join"] == 1)
    disconnect(dispatcher, first)
    assert dispatcher.turn(lambda: len(dispatcher.made.listener.clients) == joined)
    if joined:
        dispatcher.update_list()
        dispatcher.answer_only_launch("a1")
        assert dispatcher.rig.reply(second).endswith(b"\r\n\r\nr")
        return
    assert (
        dispatcher.turn(lambda: not dispatcher.made.idempotency.jobs_under_way)
        and not dispatcher.made.idempotency.key_table.records
    )
    dispatcher.update_list()
    dispatcher.send_job("a3", Idempotency_Key="k1")
    dispatcher.answer_only_launch("a3")


@pytest.mark.parametrize(
    ("effect", "outcome", "expected_status"),
    [
        ("restartable", "full", b" 200 "),
        ("run-once", "full", b" 200 "),
        ("run-once", "lost", b" 409 "),
        ("deduplicated", "lost", b" 409 "),
    ],
)
def test_keyed_job_that_fails_without_a_waiting_client_is_not_retried(
    effect, outcome, expected_status, serving, tmp_path
):
    dispatcher = serving(effect, repeats=key_settings(tmp_path)).serving()
    client = dispatcher.send_accepted_job("a1", Idempotency_Key="k1")
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    assert dispatcher.turn(lambda: dispatcher.job("a1").launches[0].sent)
    assert effect != "run-once" or remote.recv(1) == b"x"  # the last byte is sent separately
    client.close()
    assert dispatcher.turn(lambda: not dispatcher.made.listener.clients) and dispatcher.job("a1")
    if outcome == "full":
        remote.sendall(b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
    else:
        remote.close()
    assert (
        dispatcher.turn(lambda: not dispatcher.made.idempotency.jobs_under_way)
        and not dispatcher.made.router.jobs
    )
    dispatcher.update_list(name="s-2")
    assert dispatcher.turn(lambda: "s-1" not in dispatcher.made.router.endpoints)
    second = dispatcher.send_job("a2", Idempotency_Key="k1")
    if expected_status == b" 200 ":
        assert remote.recv(4096) == b""
        dispatcher.answer_only_launch("a2")
    assert expected_status in dispatcher.rig.reply(second)


@for_each_disconnect
def test_disconnect_during_a_hand_off_of_the_keys_prevents_the_launch(disconnect, serving, tmp_path):
    # A job with a key waits while the former process holds the data directory.
    (tmp_path / "beside").mkdir()
    listen = free()
    former_process = UpgradeState(str(tmp_path / "beside"), (HERE, int(listen.rpartition(":")[2])), print)
    former_process.take_seat()
    data_directory = DataDirectory(str(tmp_path / "kept"))
    data_directory.acquire()
    dispatcher = serving(
        listen=listen, folder=str(tmp_path / "beside"), repeats=key_settings(tmp_path)
    ).serving()
    assert dispatcher.made.idempotency.key_table is None
    client = dispatcher.send_job(Idempotency_Key="k1")
    assert dispatcher.turn(lambda: dispatcher.made.listener.jobs.open_jobs)
    disconnect(dispatcher, client)
    assert dispatcher.turn(lambda: not dispatcher.made.listener.jobs.open_jobs)
    data_directory.release()
    former_process.leave()
    assert dispatcher.turn(lambda: dispatcher.made.idempotency.key_table is not None)
    dispatcher.send_job("a2", Idempotency_Key="k1")
    dispatcher.answer_only_launch("a2")


# Input that follows a request


def test_pipelined_requests_are_served_up_to_the_input_limit(serving):
    dispatcher = serving().serving()
    client = dispatcher.send_accepted_job()
    client.sendall(helpers.job(X_Txn="a2", X_Remaining_Ms=4000))
    remote = dispatcher.answer_only_launch("a1")
    assert dispatcher.turn(lambda: dispatcher.job("a2") and dispatcher.job("a2").launches[0].sent)
    answers(remote, b"a2")
    assert dispatcher.rig.reply(client).count(b"200") == 2
    other = dispatcher.send_accepted_job("b1")
    conn = dispatcher.job("b1").exchange.conn
    other.setblocking(False)
    while not conn.discards_input:
        try:
            other.send(bytes(1 << 14))
        except BlockingIOError:
            pass
        dispatcher.rig.loop.run_once(0)
    assert dispatcher.turn(lambda: dispatcher.job("b1").launches[0].sent)
    answers(remote, b"b1")
    reply = dispatcher.rig.reply(other)
    assert b" 200 " in reply and b"connection: close" in reply.lower()


# A worker that changes while a connection to it is being established


@pytest.mark.parametrize("effect", ["restartable", "run-once"])
@pytest.mark.parametrize("change", ["draining", "gone", "born", "moved"])
def test_change_of_a_worker_applies_to_a_connect_in_progress(change, effect, delayed_connects, serving):
    # Guards against a launch on a connection that is established after its worker began to drain.
    dispatcher = serving(effect).serving()
    client = dispatcher.send_accepted_job()
    assert dispatcher.turn(lambda: delayed_connects.connections)
    other, sock = peer_at("s-2")
    if change == "moved":
        dispatcher.update_list(sock=sock)
    else:
        state = {"draining": "draining", "gone": "gone"}.get(change, "ready")
        at = dispatcher.made.discovery.unix_offset_us // 1000 + dispatcher.rig.loop.now() // 1000
        dispatcher.update_list(state, started=at if change == "born" else 0, reset=False)
        dispatcher.update_list(sock=sock, name="s-2", reset=False)
    assert dispatcher.turn(lambda: dispatcher.made.router.endpoints and not dispatcher.made.inbox.items)
    delayed_connects.held = False
    old, _ = dispatcher.sock.accept()
    remote, request = dispatcher.rig.called(sock)
    assert b"a1" in request and old.recv(1) == b""
    assert dispatcher.turn(lambda: dispatcher.job("a1").launches[-1].sent)
    answers(remote, b"a1")
    assert b" 200 " in dispatcher.rig.reply(client)
    sock.close()


@pytest.mark.parametrize("change", ["born", "moved"])
def test_connection_to_a_former_incarnation_is_not_reused(change, serving):
    dispatcher = serving().serving()
    client = dispatcher.send_accepted_job()
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    other, sock = peer_at("s-2")
    at = dispatcher.made.discovery.unix_offset_us // 1000 + dispatcher.rig.loop.now() // 1000
    dispatcher.update_list(started=at if change == "born" else 0, sock=sock if change == "moved" else None)
    peers = dispatcher.made.router.endpoints
    assert dispatcher.turn(lambda: peers["s-1"].started_at or peers["s-1"].address == sock.getsockname())
    answers(remote, b"a1")
    assert b" 200 " in dispatcher.rig.reply(client) and remote.recv(1) == b"" and not peers["s-1"].idle
    sock.close()


# Timeouts while input still arrives


def stream_until(dispatcher, remote, part, until):
    """Send `part` again and again, faster than the program reads, until `until()` holds."""
    remote.setblocking(False)

    def send_part():
        try:
            remote.send(part)
        except OSError:
            pass
        return until()

    return dispatcher.turn(send_part, 6_000_000)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(raw):
    return b"%x\r\n%s\r\n" % (len(raw), raw)


@pytest.mark.parametrize("part", [b"\n", b'{"id":"a1","from":"s-1","state":"running","share":0.1}\n', b"x"])
@pytest.mark.parametrize("answered", [False, True])
def test_endless_answer_is_ended_by_its_timeout(part, answered, serving, monkeypatch):
    monkeypatch.setattr(worker_answers, "ANSWER_TAIL_US", 50_000)
    dispatcher = serving("restartable", {"cancel": False}).serving()
    launches, run_launch = [], dispatcher.made.router.run_launch
    dispatcher.made.router.run_launch = lambda launch, until: launches.append(launch) or run_launch(
        launch, until
    )
    client = dispatcher.connect()
    client.sendall(helpers.job(X_Txn="a1", X_Remaining_Ms=4000 if answered else 300))
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    (launch,) = launches
    remote.sendall(CHUNKED)
    if answered:
        remote.sendall(chunk(b'{"id":"a1","from":"s-1","state":"done","result":"r"}\n'))
    assert stream_until(dispatcher, remote, chunk(part), lambda: launch.task.ended)
    assert dispatcher.rig.reply(client).startswith(b"HTTP/1.1 200" if answered else b"HTTP/1.1 503")


@pytest.mark.parametrize("part", [b"\n", b" ", b'{"generation":3,"reset":true,"instances":[]}\n'])
def test_endless_list_is_ended_by_its_timeout_or_size_limit(part, monkeypatch):
    from test_workers import discovery

    from mastledge.protocol import discovery as protocol_discovery

    monkeypatch.setattr(protocol_discovery, "MAX_SILENCE_US", 50_000)
    monkeypatch.setattr(protocol_discovery, "MAX_LIST_BYTES", 1 << 16)
    rig = Rig()
    sock = socket.create_server((HERE, 0))
    discovery_client = discovery(rig, sock.getsockname())
    discovery_client.follow()
    remote, _ = rig.called(sock)
    remote.sendall(CHUNKED)
    assert stream_until(rig, remote, chunk(part * 100), lambda: rig.inbox.items)
    assert rig.inbox.items[0].kind == "failed" and discovery_client.generation is None
    rig.loop.cancel(discovery_client.task)
    sock.close()


# Lists


def test_change_older_than_the_known_list_is_not_applied():
    """A watch that resumes at an older generation is replaced by a request for the whole list."""
    from test_workers import discovery

    rig = Rig()
    sock = socket.create_server((HERE, 0))
    discovery_client = discovery(rig, sock.getsockname())
    discovery_client.generation = 43
    discovery_client.follow()
    remote, asked = rig.called(sock)
    assert b"since=43" in asked
    entry = {
        "instanceId": "s-1",
        "hostPort": "127.0.0.1:1",
        "zone": "z",
        "machineType": "k",
        "cell": 0,
        "lifecycle": "ready",
        "weight": 1.0,
        "startedAtMs": 0,
    }
    lines = [orjson.dumps({"generation": n, "reset": False, "instances": [entry]}) + b"\n" for n in (43, 42)]
    remote.sendall(CHUNKED + b"".join(chunk(raw) for raw in lines))
    remote, asked = rig.called(sock)
    assert b"follow" not in asked and b"GET /registry/instances " in asked
    assert [item.kind for item in rig.inbox.items] == ["changes", "changes", "failed"]
    rig.loop.cancel(discovery_client.task)
    sock.close()


def test_unread_line_of_a_watch_is_dropped_once_discovery_has_moved():
    """A line that is unread at SIGHUP is dropped: its generation counts for the former registry only."""
    from test_workers import discovery

    rig = Rig()
    old, new = socket.create_server((HERE, 0)), socket.create_server((HERE, 0))
    discovery_client = discovery(rig, old.getsockname())
    discovery_client.generation = 7
    discovery_client.follow()
    remote, _ = rig.called(old)
    remote.sendall(CHUNKED)
    assert rig.turn(lambda: discovery_client.answered)
    rig.inbox.items.clear()
    remote.sendall(chunk(b'{"generation":8,"reset":true,"instances":[]}\n'))
    discovery_client.move(new.getsockname())
    remote, asked = rig.called(new)
    assert (
        b"GET /registry/instances " in asked and not rig.inbox.items and discovery_client.generation is None
    )
    rig.loop.cancel(discovery_client.task)
    old.close()
    new.close()


# Reused descriptors


def test_event_of_a_closed_descriptor_does_not_reach_its_next_owner():
    rig = Rig()
    pairs = [rig.pair() for _ in range(2)]
    (first, first_peer), (second, second_peer) = pairs
    got = []

    def free_descriptor():
        yield (first.fd, READ, None)
        descriptor = second.fd
        rig.loop.cancel(other)
        second.close()
        second_peer.close()
        reused, _ = rig.pair()
        assert reused.fd == descriptor  # the kernel assigns the lowest free descriptor
        got.append((yield (reused.fd, READ, rig.loop.now() + 1_000)))

    def wait_readable():
        yield (second.fd, READ, None)

    task, other = rig.loop.spawn(free_descriptor()), rig.loop.spawn(wait_readable())
    rig.loop.run_once(0)
    first_peer.send(b"x")
    second_peer.send(b"x")
    assert rig.turn(lambda: task.ended) and got == [0]


def test_unregistered_socket_shared_with_another_process_causes_no_events():
    rig = Rig()
    conn, remote = rig.pair()
    copy = conn.sock.dup()  # stands for the copy that another process received

    def wait_readable():
        yield (conn.fd, READ, None)

    task = rig.loop.spawn(wait_readable())
    rig.loop.run_once(0)
    rig.loop.unregister(conn.fd)
    rig.loop.cancel(task)
    conn.close()
    remote.send(b"x")
    assert rig.loop.epoll.poll(0.05) == []
    copy.close()


# Replicated idempotency keys


@pytest.fixture
def replicated(serving, tmp_path, monkeypatch):
    """Start a fleet of one dispatcher, which handles keys as a larger one does.

    The quorum timeout is raised, as a disk sync may take longer on a busy machine.
    """
    monkeypatch.setattr(claims, "QUORUM_TIMEOUT_US", 10_000_000)
    at = free()
    peers = {"listen": at, "members": {"dispatcher": at}, "form": True, "folder": str(tmp_path / "fleet")}

    def start(effect="restartable", **options):
        dispatcher = serving(effect, peers=peers, repeats={**key_settings(tmp_path), "copies": 3}, **options)
        assert dispatcher.turn(lambda: dispatcher.made.idempotency.node is not None, 10_000_000)
        return dispatcher

    yield start


@for_each_disconnect
def test_job_with_a_replicated_key_waits_only_for_its_client(disconnect, replicated):
    dispatcher = replicated(ready=False)
    client = dispatcher.send_accepted_job("a1", Idempotency_Key="k1")
    disconnect(dispatcher, client)
    assert (
        dispatcher.turn(lambda: not dispatcher.made.idempotency.jobs_under_way)
        and not dispatcher.made.router.jobs
    )
    dispatcher.update_list()
    dispatcher.send_job("a2", Idempotency_Key="k1")
    dispatcher.answer_only_launch("a2")


@for_each_disconnect
def test_joined_client_takes_over_the_job_of_a_replicated_key(disconnect, replicated):
    dispatcher = replicated(ready=False)
    client = dispatcher.send_accepted_job("a1", Idempotency_Key="k1")
    second = dispatcher.send_job("a2", Idempotency_Key="k1")
    assert dispatcher.turn(lambda: dispatcher.made.idempotency.jobs_under_way == 2)
    disconnect(dispatcher, client)
    assert dispatcher.turn(lambda: dispatcher.job("a2"))
    dispatcher.update_list()
    dispatcher.answer_only_launch("a2")
    assert dispatcher.rig.reply(second).endswith(b"\r\n\r\nr")


# The data directory of the keys at an upgrade


def release_directories_after_each_offer(dispatcher, monkeypatch):
    """Release the directories, as for a successor, right after a request has been read."""
    idempotency = dispatcher.made.idempotency
    offer = idempotency.offer

    def offer_then_release(*arguments):
        coroutine = offer(*arguments)
        wait = next(coroutine)
        dispatcher.made.release_data_directories()
        while True:
            received = yield wait
            try:
                wait = coroutine.send(received)
            except StopIteration as ended:
                return ended.value

    monkeypatch.setattr(idempotency, "offer", offer_then_release)


@pytest.mark.parametrize("copies", [1, 3])
def test_directory_of_keys_is_kept_for_a_job_that_was_just_read(
    copies, serving, replicated, tmp_path, monkeypatch
):
    """A job that was read but not started yet did not count, so its key could no longer be claimed."""
    dispatcher = replicated() if copies > 1 else serving(repeats=key_settings(tmp_path))
    dispatcher.serving()
    release_directories_after_each_offer(dispatcher, monkeypatch)
    client = dispatcher.send_job(Idempotency_Key="k1")
    dispatcher.answer_only_launch("a1")
    assert dispatcher.rig.reply(client).endswith(b"\r\n\r\nr")
    assert dispatcher.turn(dispatcher.made.idempotency.idle)


# Shutdown


@pytest.mark.parametrize("phase", ["leaving", "finishing"])
@pytest.mark.parametrize("cut", [1, 60, -1])
def test_request_half_read_at_the_signal_is_served_when_complete(cut, phase, serving, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "EXIT_MARGIN_US", 60_000_000)
    for name in ("MIN_UNFINISHED_US", "MAX_SILENCE_US", "REQUEST_TIMEOUT_US"):
        monkeypatch.setattr(client_connection, name, 100_000_000)
    dispatcher = serving().serving()
    raw = helpers.job(X_Txn="a1", X_Remaining_Ms=4000)
    client = dispatcher.connect()
    client.sendall(raw[:cut])
    assert dispatcher.turn(
        lambda: any(conn.read_iteration >= 0 and conn.is_quiet() for conn in dispatcher.made.listener.clients)
    )
    dispatcher.request_shutdown()
    assert dispatcher.turn(lambda: dispatcher.made.phase == "leaving")
    if phase == "finishing":
        dispatcher.advance_clock(40)
        assert dispatcher.turn(lambda: dispatcher.made.phase == phase)
    client.sendall(raw[cut:])
    dispatcher.answer_only_launch("a1")
    reply = dispatcher.rig.reply(client)
    assert b" 200 " in reply and (b"connection: close" in reply.lower()) == (phase == "finishing")


@pytest.mark.parametrize("when", ["drained", "finishing"])
def test_new_connection_is_not_closed_before_its_request(when, serving, monkeypatch):
    # Guards against closing a new connection as idle at the next check, up to 20 ms after its start, just
    # before its first request arrives.
    monkeypatch.setattr(graceful_shutdown, "EXIT_MARGIN_US", 60_000_000)
    monkeypatch.setattr(client_listener, "MIN_AGE_US", 10_000_000)
    dispatcher = serving(control=free()).serving()
    listener, checks = dispatcher.made.listener, []
    if when == "drained":
        monkeypatch.setattr(client_listener, "CLOSES_AFTER_US", 0)
        assert dispatcher.call("/api/evacuate", "POST")[0] == 200
        assert dispatcher.turn(lambda: dispatcher.made.phase == "draining")
        client = dispatcher.connect()
        close_idle, method_name = listener.close_while_draining, "close_while_draining"
    else:
        accept, close_idle, method_name = listener.accept_waiting, listener.close_all_idle, "close_all_idle"
        clients = []

        def connect_and_accept(*arguments):
            clients.append(dispatcher.connect())  # the last connection that the kernel accepts
            accept(*arguments)

        listener.accept_waiting = connect_and_accept
        dispatcher.request_shutdown()
        assert dispatcher.turn(lambda: dispatcher.made.phase == "leaving")
        dispatcher.advance_clock(40)
        assert dispatcher.turn(lambda: dispatcher.made.phase == "finishing")
        (client,) = clients

    def check_idle():
        if dispatcher.made.budget.idle["unused"]:
            checks.append(True)
        close_idle()

    setattr(listener, method_name, check_idle)
    assert dispatcher.turn(lambda: len(checks) > 2)  # three checks have found the connection idle
    client.sendall(helpers.job(X_Txn="a1", X_Remaining_Ms=4000))
    dispatcher.answer_only_launch("a1")
    assert b" 200 " in dispatcher.rig.reply(client)
    if when == "drained":
        client.close()
        assert dispatcher.turn(lambda: not listener.clients)
        idle = dispatcher.connect()
        assert dispatcher.turn(lambda: len(dispatcher.made.budget.idle["unused"]) == 1)
        dispatcher.advance_clock(11)
        assert dispatcher.turn(lambda: not listener.clients) and idle.recv(1) == b""


def test_request_that_races_with_the_close_of_its_idle_connection_is_served(serving, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "EXIT_MARGIN_US", 60_000_000)
    dispatcher = serving().serving()
    client = dispatcher.connect()
    client.sendall(b"GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"200" in dispatcher.rig.reply(client)
    conn, close = next(iter(dispatcher.made.listener.clients)), dispatcher.made.listener.close_all_idle

    def close_all_idle():
        # The request has arrived, unread, when the idle connections are closed.
        if dispatcher.made.listener.close_all_idle is close_all_idle:
            dispatcher.made.listener.close_all_idle = close
            client.sendall(helpers.job(X_Txn="a1", X_Remaining_Ms=4000))
            poll = select.poll()
            poll.register(conn.sock, select.POLLIN)
            assert poll.poll(2000)
        close()

    dispatcher.made.listener.close_all_idle = close_all_idle
    dispatcher.request_shutdown()
    assert dispatcher.turn(lambda: dispatcher.made.phase == "leaving")
    dispatcher.advance_clock(40)
    dispatcher.answer_only_launch("a1")
    assert b" 200 " in dispatcher.rig.reply(client)
    assert dispatcher.turn(lambda: not dispatcher.made.loop.running) and dispatcher.made.phase == "ended"


@pytest.mark.parametrize("waits_for", ["connect", "worker", "answer"])
@pytest.mark.parametrize("signals", [1, 2])
def test_waiting_job_is_served_after_one_or_two_shutdown_signals(
    waits_for, signals, serving, delayed_connects
):
    dispatcher = serving(ready=waits_for != "worker")
    delayed_connects.held = waits_for == "connect"
    client = dispatcher.send_accepted_job()
    if waits_for == "connect":
        assert dispatcher.turn(lambda: delayed_connects.connections)
    elif waits_for == "answer":
        remote, _ = dispatcher.rig.called(dispatcher.sock)
    dispatcher.request_shutdown()
    assert dispatcher.turn(lambda: dispatcher.made.phase == "leaving")
    last = dispatcher.job("a1").exchange.until
    for _ in range(signals - 1):
        dispatcher.request_shutdown()
        dispatcher.rig.loop.run_once(0)
    assert dispatcher.made.phase == "leaving" and dispatcher.job("a1").exchange.until == last
    delayed_connects.held = False
    if waits_for == "worker":
        dispatcher.update_list()
    if waits_for == "answer":
        assert dispatcher.turn(lambda: dispatcher.job("a1").launches[-1].sent)
        answers(remote, b"a1")
    else:
        dispatcher.answer_only_launch("a1")
    assert b" 200 " in dispatcher.rig.reply(client)


def test_answer_half_written_at_the_signal_is_completed(serving, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "EXIT_MARGIN_US", 60_000_000)
    monkeypatch.setattr(client_connection, "SEND_TIMEOUT_US", 100_000_000)
    dispatcher = serving().serving()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(dispatcher.made.configuration["listen"])
    dispatcher.theirs.append(client)
    client.sendall(helpers.job(X_Txn="a1", X_Remaining_Ms=4000))
    assert dispatcher.turn(lambda: dispatcher.job("a1"))
    dispatcher.job("a1").exchange.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    raw = b'{"id":"a1","state":"done","result":"%s"}\n' % (b"r" * 300_000)
    remote.settimeout(None)
    sender = threading.Thread(
        target=remote.sendall, args=(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(raw), raw),)
    )
    sender.start()
    conn = next(iter(dispatcher.made.listener.clients))
    assert dispatcher.turn(lambda: conn.unsent_bytes > 0)
    sender.join()
    dispatcher.request_shutdown()
    assert dispatcher.turn(lambda: dispatcher.made.phase == "leaving")
    dispatcher.advance_clock(40)
    assert dispatcher.turn(lambda: dispatcher.made.phase == "finishing") and conn.unsent_bytes > 0
    got = []
    client.setblocking(False)

    def read_reply():
        try:
            got.append(client.recv(1 << 16))
        except BlockingIOError:
            pass
        return got and got[-1] == b""

    assert dispatcher.turn(read_reply) and b"".join(got).endswith(b"r" * 300_000)


# End of the walltime, end of the answer


@pytest.mark.parametrize("effect", ["restartable", "run-once"])
def test_answer_after_the_walltime_is_not_used_for_any_job(effect, serving):
    dispatcher = serving(effect).serving()
    client = dispatcher.send_accepted_job()
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    assert dispatcher.turn(lambda: dispatcher.job("a1").launches[0].sent)
    scheduler, now = dispatcher.made.router.scheduler, dispatcher.rig.loop.now()
    job = scheduler.jobs[dispatcher.job("a1").id]
    job.deadline = now  # the job is overdue from now on
    scheduler.timers.set(now, job)
    dispatcher.made.inbox.put(TrafficShareChanged(1.0))
    reply = dispatcher.rig.reply(client)
    assert reply.startswith(b"HTTP/1.1 503" if effect == "restartable" else b"HTTP/1.1 500")
    try:
        answers(remote, b"a1")
    except OSError:
        pass  # the dispatcher has closed the connection
    client.sendall(helpers.job(X_Txn="a2", X_Remaining_Ms=4000))
    dispatcher.answer_only_launch("a2")
    reply = dispatcher.rig.reply(client)
    assert reply.count(b"HTTP/1.1") == 1 and b" 200 " in reply


def test_answer_that_arrived_before_the_end_of_the_walltime_is_used(serving):
    # The loop is late: the answer arrived in time and takes precedence over the timer.
    dispatcher = serving().serving()
    client = dispatcher.connect()
    client.sendall(helpers.job(X_Txn="a1", X_Remaining_Ms=4000))
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    answers(remote, b"a1")
    conn = dispatcher.job("a1").launches[0].conn
    poll = select.poll()
    poll.register(conn.sock, select.POLLIN)
    assert poll.poll(2000)
    dispatcher.advance_clock(4)
    reply = dispatcher.rig.reply(client)
    assert reply.count(b"HTTP/1.1") == 1 and b" 200 " in reply


@pytest.mark.parametrize("when", ["with the last chunk", "later", "behind the quiet look"])
def test_second_answer_is_not_used_for_the_next_job(when, serving):
    dispatcher = serving().serving()
    client = dispatcher.send_accepted_job()
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    answer_line = b'{"id":"a1","from":"s-1","state":"done","result":"again"}\n'
    first = CHUNKED + chunk(answer_line.replace(b"again", b"r")) + b"0\r\n\r\n"
    second = CHUNKED + chunk(answer_line) + b"0\r\n\r\n"
    remote.sendall(first + (second if when == "with the last chunk" else b""))
    assert dispatcher.rig.reply(client).endswith(b"\r\n\r\nr")
    peer = dispatcher.made.router.endpoints["s-1"]
    if when == "later":
        assert peer.idle
        remote.sendall(second)
    if when == "behind the quiet look":
        other = dispatcher.send_accepted_job("a2")
        assert dispatcher.turn(
            lambda: dispatcher.job("a2").launches and dispatcher.job("a2").launches[0].sent
        )
        remote.sendall(second)
        # The job is launched again: its answer on this connection could be mixed up with the second one.
    else:
        assert dispatcher.turn(lambda: not peer.idle)
        other = dispatcher.send_accepted_job("a2")
    dispatcher.answer_only_launch("a2")
    assert dispatcher.rig.reply(other).endswith(b"\r\n\r\nr")


@pytest.mark.parametrize("effect", ["restartable", "run-once"])
@pytest.mark.parametrize("with_reset", [False, True])
def test_close_of_an_idle_connection_before_the_first_byte_loses_no_job(with_reset, effect, serving):
    dispatcher = serving(effect).serving()
    client = dispatcher.send_accepted_job()
    remote = dispatcher.answer_only_launch("a1")
    assert b" 200 " in dispatcher.rig.reply(client)
    peer = dispatcher.made.router.endpoints["s-1"]
    assert dispatcher.turn(lambda: peer.idle)
    conn = peer.idle[0][0]
    (reset_connection if with_reset else close_connection)(dispatcher, remote)
    wait_for_end(conn)
    dispatcher.send_accepted_job("a2")  # the loop has not seen the end yet
    dispatcher.answer_only_launch("a2")
    assert dispatcher.made.router.job_table.totals["killed"] == 0


# Answers that prove that a launch never ran

TURNED_AWAY = b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


def serve_first_job(dispatcher):
    """Serve a job, and return the worker's connection, which is idle from then on."""
    client = dispatcher.send_accepted_job("a0", Idempotency_Key="k0")
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    assert dispatcher.turn(lambda: dispatcher.job("a0").launches[-1].sent)
    answers(remote, b"a0")
    assert dispatcher.rig.reply(client).endswith(b"r")
    assert dispatcher.turn(lambda: dispatcher.made.router.endpoints["s-1"].idle)
    return remote


def add_worker(dispatcher, zone="z"):
    """Add a worker to the list, wait until the router knows it, and return its socket."""
    other = peer_at("s-2")[1]
    dispatcher.update_list(name="s-2", sock=other, reset=False, zone=zone)
    assert dispatcher.turn(lambda: "s-2" in dispatcher.made.router.endpoints)
    dispatcher.theirs.append(other)
    return other


def expect_launch_on(dispatcher, other, client):
    remote, request = dispatcher.rig.called(other)
    assert b"a1" in request and dispatcher.turn(lambda: dispatcher.job("a1").launches[-1].sent)
    answers(remote, b"a1")
    assert dispatcher.rig.reply(client).endswith(b"r")


def expect_no_launch_on(dispatcher, other, client):
    """Check that the job, which may have run, fails and is not launched on the other worker."""
    assert dispatcher.turn(lambda: dispatcher.job("a1") is None or dispatcher.job("a1").in_flight == 0)
    dispatcher.advance_clock(4)
    assert b" 500 " in dispatcher.rig.reply(client)
    assert not select.select([other], [], [], 0)[0]


@pytest.mark.parametrize(
    ("effect", "is_idle_connection", "check"),
    [
        ("run-once", True, expect_no_launch_on),
        ("run-once", False, expect_launch_on),
        ("deduplicated", True, expect_no_launch_on),
        ("deduplicated", False, expect_launch_on),
        ("restartable", True, expect_launch_on),
    ],
)
def test_second_refusal_does_not_prove_that_the_next_launch_never_ran(
    effect, is_idle_connection, check, serving
):
    # Guards against taking the second refusal for the answer to the next launch on that connection: that
    # launch ran.
    dispatcher = serving(effect).serving()
    remote = serve_first_job(dispatcher) if is_idle_connection else None
    client = dispatcher.send_accepted_job("a1", Idempotency_Key="k1")
    if not is_idle_connection:
        remote, _ = dispatcher.rig.called(dispatcher.sock)
    assert dispatcher.turn(lambda: dispatcher.job("a1").launches[0].sent)
    other = add_worker(dispatcher, "elsewhere")
    remote.sendall(TURNED_AWAY)
    check(dispatcher, other, client)


def state_lines(*states):
    return b"".join(b'{"id":"a1","state":"%s"}\n' % state for state in states)


LAST_CHUNK = b"0\r\n\r\n"
MALFORMED_ANSWERS = {
    "cut off": TURNED_AWAY.replace(b": 0", b": 9") + b"busy",
    "endless": CHUNKED.replace(b"200 OK", b"503 X\r\nX-Turned-Away: 1") + chunk(b"busy"),
    "no chunk": CHUNKED.replace(b"200 OK", b"503 X\r\nX-Turned-Away: 1") + b"zz\r\n",
    "said twice": TURNED_AWAY.replace(b"X-Turned", b"X-Turned-Away: 0\r\nX-Turned"),
    "two answers": 2 * TURNED_AWAY,
    "behind its start": CHUNKED
    + chunk(state_lines(b"started"))
    + chunk(state_lines(b"returned"))
    + LAST_CHUNK,
    "taken back": CHUNKED + chunk(state_lines(b"returned", b"started")) + LAST_CHUNK,
    "taken back later": CHUNKED
    + chunk(state_lines(b"returned"))
    + chunk(state_lines(b"started"))
    + LAST_CHUNK,
    "never ended": CHUNKED + chunk(state_lines(b"returned")),
}


@pytest.mark.parametrize("effect", ["run-once", "deduplicated"])
@pytest.mark.parametrize("answer", MALFORMED_ANSWERS)
def test_malformed_answer_does_not_prove_that_its_job_never_ran(answer, effect, serving):
    dispatcher = serving(effect).serving()
    client = dispatcher.send_accepted_job("a1", Idempotency_Key="k1")
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    assert dispatcher.turn(lambda: dispatcher.job("a1").launches[0].sent)
    other = add_worker(dispatcher, "elsewhere")
    remote.sendall(MALFORMED_ANSWERS[answer])
    expect_no_launch_on(dispatcher, other, client)
    assert dispatcher.turn(lambda: not dispatcher.rig.budget.used["workers"])


@pytest.mark.parametrize("window_is_over", [False, True])
def test_relaunch_is_not_sent_after_the_deduplication_window(window_is_over, serving, delayed_connects):
    # Guards against a launch that is decided inside the deduplication window and sent after its end.
    delayed_connects.held = False
    dispatcher = serving("deduplicated", window=600.0).serving()
    client = dispatcher.send_accepted_job("a1", Idempotency_Key="k1")
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    assert dispatcher.turn(lambda: dispatcher.job("a1").launches[0].sent)
    other = add_worker(dispatcher)
    delayed_connects.held = True
    remote.close()
    assert dispatcher.turn(lambda: len(delayed_connects.connections) == 2)
    delayed_connects.held = False
    if not window_is_over:
        expect_launch_on(dispatcher, other, client)
        return
    dispatcher.advance_clock(0.7)
    second_remote, _ = other.accept()
    assert b" 500 " in dispatcher.rig.reply(client) and second_remote.recv(1) == b""


@pytest.mark.parametrize("place", ["read", "in hand"])
def test_internal_error_on_a_request_is_answered_with_500(place, serving, monkeypatch):
    # Guards against a close without an answer, after which the client would send the job again.
    def fail(*_):
        raise KeyError("x")

    dispatcher = serving("run-once").serving()
    if place == "read":
        monkeypatch.setattr(dispatcher.made.listener.requests, "job", fail)
        client = dispatcher.send_job()
    else:
        client = dispatcher.send_accepted_job()
        remote, _ = dispatcher.rig.called(dispatcher.sock)
        assert dispatcher.turn(lambda: dispatcher.job("a1").launches[0].sent)
        monkeypatch.setattr(client_connection.http, "has_disconnected", fail)
        client.sendall(b"x")
    assert b" 500 " in dispatcher.rig.reply(client)
    assert dispatcher.turn(lambda: not dispatcher.made.router.jobs)
    assert [event for event, _ in dispatcher.rig.logged].count("internal_error") == 1


@pytest.mark.parametrize("cause", ["descriptors", "memory", "idle", "the end"])
def test_connection_of_a_client_with_a_job_in_flight_is_not_closed(cause, serving):
    # Otherwise the client would send the job again while its launch may run.
    dispatcher = serving("run-once").serving()
    client = dispatcher.send_accepted_job("a1")
    remote, _ = dispatcher.rig.called(dispatcher.sock)
    assert dispatcher.turn(lambda: dispatcher.job("a1").launches[0].sent)
    budget = dispatcher.made.budget
    if cause == "descriptors":
        while budget.evict(*budget.idle):
            pass
    elif cause == "memory":
        assert not budget.reserve_memory(budget.max_request_bytes + 1)
    elif cause == "idle":
        dispatcher.made.listener.close_all_idle()
    else:
        dispatcher.request_shutdown()
        dispatcher.made.inbox.put(ShutdownDue())
        assert b" 500 " in dispatcher.rig.reply(client)
        return
    answers(remote, b"a1")
    assert dispatcher.rig.reply(client).endswith(b"r")
