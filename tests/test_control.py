"""Tests of the operators' API: calls, telemetry, reserved descriptors and drains."""

import errno
import pathlib
import socket
from types import SimpleNamespace

import helpers
import pytest
from helpers import HERE, Rig, entry, known_workers, peer_at, scheduler
from test_program import file

from mastledge.program import dispatcher, serving
from mastledge.program.configuration import ConfigurationError, load_configuration
from mastledge.program.dispatcher import Dispatcher
from mastledge.program.lifecycle import Phase
from mastledge.protocol import client_listener, control
from mastledge.transport.listening import listen

USED_PORTS = set()


def free():
    """Return an unused address, a different one each time: the system may reuse a port at once."""
    while True:
        sock = listen((HERE, 0))
        port = sock.getsockname()[1]
        sock.close()
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return f"{HERE}:{port}"


class Served:
    """A complete dispatcher with one fake worker, run in the event loop of the test's thread."""

    def __init__(self, path, ready=True, folder=None, **changed):
        peer, self.sock = peer_at()
        known = known_workers(peer.address[1]) if ready else {}
        document = {
            "listen": free(),
            "control": free(),
            "known": known,
            "limits": {"sockets": 128},
            **changed,
        }
        self.path = file(path, **document)
        self.rig = rig = Rig()
        configuration = load_configuration(self.path, {})
        self.made = made = Dispatcher(
            configuration, rig.log, lambda: load_configuration(self.path, {}), folder
        )
        rig.loop = made.loop
        made.loop.on_error = rig.errors.append
        made.begin()
        self.theirs = []

    def turn(self, until, longest=2_000_000):
        return self.rig.turn(until, longest)

    def serving(self):
        assert self.turn(lambda: self.made.phase == Phase.SERVING)
        return self

    def connect(self, address_key="listen"):
        self.theirs.append(socket.create_connection(self.made.configuration[address_key], 2))
        return self.theirs[-1]

    def call(self, path, method="GET"):
        """Return the status and the text of one call at the operators' address."""
        caller = self.connect("control")
        caller.sendall(f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        head, _, text = self.rig.reply(caller).decode().partition("\r\n\r\n")
        assert "connection: close" in head.lower()
        return int(head.split()[1]), text

    def figures(self):
        status, text = self.call("/api/telemetry")
        assert status == 200
        return {name: int(value) for name, value in (line.split("=") for line in text.splitlines())}

    def health(self):
        client = self.connect()
        client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        return int(self.rig.reply(client).split()[1])

    def close(self):
        for open_socket in (*self.theirs, self.sock, self.made.listening_socket, self.made.control_socket):
            open_socket.close()


@pytest.fixture
def served(tmp_path, monkeypatch):
    monkeypatch.setattr(serving, "FIRST_LIST_TIMEOUT_US", 0)
    served_dispatcher = Served(tmp_path).serving()
    yield served_dispatcher
    served_dispatcher.close()
    assert not served_dispatcher.rig.errors and not served_dispatcher.made.router.faults


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/api/ready", 200),
        ("POST", "/api/ready", 405),
        ("GET", "/api/evacuate", 405),
        ("GET", "/api/nothing", 404),
        ("GET", "/render", 404),
        ("POST", "/api/rejoin", 200),
        ("GET", "/api/telemetry?x=1", 200),
        ("HEAD", "/api/ready", 405),
    ],
)
def test_operator_call_returns_its_status(method, path, status, served):
    assert served.call(path, method)[0] == status


def test_both_addresses_are_not_ready_without_a_worker(tmp_path, monkeypatch):
    monkeypatch.setattr(serving, "FIRST_LIST_TIMEOUT_US", 0)
    served = Served(tmp_path, ready=False)
    assert served.turn(lambda: served.made.phase == Phase.WAITING)
    assert (served.call("/api/ready")[0], served.health()) == (503, 503)
    served.close()


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /api/ready HTTP/1.1\r\n\r\n", b"400"),
        (b"GET /api/ready HT", b"408"),
        (b"POST /api/rejoin HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", b"413"),
        (b"GET /" + b"x" * 40_000, b"414"),
    ],
)
def test_invalid_call_is_refused_and_does_not_delay_others(sent, status, served, monkeypatch):
    monkeypatch.setattr(control, "CALL_TIMEOUT_US", 300_000)
    bad = served.connect("control")
    bad.sendall(sent)
    assert served.call("/api/ready")[0] == 200
    reply = served.rig.reply(bad)
    assert status in reply.split(b"\r\n")[0] or status == b"414" and reply.split()[1] in (b"400", b"431")


def test_unfinished_calls_are_displaced_by_new_callers(served):
    silent = [served.connect("control") for _ in range(40)]
    for connection in silent[::2]:
        connection.sendall(b"GET /api/re")
    for _ in range(5):
        assert served.call("/api/ready")[0] == 200
    budget = served.made.budget
    assert budget.used["operators"] <= budget.limits["operators"]


def test_clients_cannot_use_up_operators_descriptors(served):
    clients = [served.connect() for _ in range(150)]
    assert served.turn(lambda: served.made.budget.used["clients"] >= served.made.budget.limits["clients"])
    assert served.call("/api/ready")[0] == 200 and len(clients) == 150


def test_operators_are_served_before_clients_in_each_turn(served):
    loop, order = served.made.loop, []
    step = loop.step
    clients = [served.connect() for _ in range(30)]
    served.turn(lambda: len(served.made.listener.clients) == 30)
    caller = served.connect("control")
    served.turn(lambda: served.made.control.callers)
    for client in clients:
        client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    caller.sendall(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    loop.step = lambda task, value: (order.append(task.epoll is loop.priority_epoll), step(task, value))
    loop.run_once(0)
    assert order.index(True) == 0 and False in order


def test_each_job_outcome_is_counted_once(served):
    before = served.figures()
    assert before == {
        "svc.passed.render": 0,
        "svc.dropped.render": 0,
        "svc.bad_gateway.render": 0,
        "svc.upstream_tries": 0,
        "svc.in_progress": 0,
        "svc.known_workers": 1,
        "svc.skipped_workers": 0,
    }
    client = served.connect()
    client.sendall(helpers.job(X_Txn="a1", X_Remaining_Ms=4000))
    worker_side, _ = served.rig.called(served.sock)
    assert served.figures()["svc.in_progress"] == 1
    raw = b'{"id":"a1","state":"done","result":"r"}\n'
    worker_side.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(raw), raw))
    assert served.rig.reply(client).startswith(b"HTTP/1.1 200")
    # Answered by the listener alone: no room for jobs, an invalid job, and a job that gets no decision.
    served.made.listener.max_open_jobs = 0
    client.sendall(helpers.job(X_Txn="a2"))
    assert served.rig.reply(client).startswith(b"HTTP/1.1 503")
    client.sendall(helpers.job(X_Txn="a3", X_Remaining_Ms="x"))
    assert served.rig.reply(client).startswith(b"HTTP/1.1 400")
    served.made.listener.max_open_jobs = 100
    late = served.connect()
    served.made.router.scheduler.job_arrived = lambda *fields: None
    late.sendall(helpers.job(X_Txn="a4", X_Remaining_Ms=100))
    assert served.rig.reply(late).startswith(b"HTTP/1.1 500")
    figures = served.figures()
    assert [figures[f"svc.{outcome}.render"] for outcome in ("passed", "dropped", "bad_gateway")] == [1, 1, 1]
    assert figures["svc.upstream_tries"] == 1 and figures["svc.in_progress"] == 0


@pytest.mark.parametrize(
    ("state", "back_at", "skipped"),
    [("ready", None, 0), ("ready", 99, 1), ("ready", -1, 0), ("draining", None, 1), ("gone", None, 0)],
)
def test_skipped_workers_are_draining_or_ejected(state, back_at, skipped):
    tested_scheduler = scheduler(workers=3)
    tested_scheduler.update_endpoints(0, "changes", [entry(0, state)])
    if back_at is not None:
        tested_scheduler.workers[0].ejections["render"] = SimpleNamespace(ends_at=back_at)
    assert tested_scheduler.count_skipped_workers(0) == skipped


@pytest.mark.parametrize("how", ["call", "twice"])
def test_drain_is_not_ready_at_once_and_can_be_ended(how, served):
    for _ in range(1 + (how == "twice")):
        assert served.call("/api/evacuate", "POST")[0] == 200
    assert (served.call("/api/ready")[0], served.health()) == (503, 503)
    assert served.turn(lambda: served.made.phase == Phase.DRAINING)
    assert served.call("/api/rejoin", "POST")[0] == 200
    assert (served.call("/api/ready")[0], served.health()) == (200, 200)
    assert served.turn(lambda: served.made.phase == Phase.SERVING)


def test_drain_closes_clients_between_jobs_and_loses_no_job(served, monkeypatch):
    for name, delay in (
        ("CLOSES_AFTER_US", 100_000),
        ("REJECTS_AFTER_US", 400_000),
        ("HANGS_UP_AFTER_US", 1_500_000),
    ):
        monkeypatch.setattr(client_listener, name, delay)
    idle, busy, half = (served.connect() for _ in range(3))
    for client in (idle, half):
        client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"200" in served.rig.reply(client)
    busy.sendall(helpers.job(X_Txn="b1", X_Remaining_Ms=4000))
    worker_side, _ = served.rig.called(served.sock)
    half.sendall(helpers.job(X_Txn="b2")[:-1])
    served.call("/api/evacuate", "POST")
    assert served.turn(lambda: len(served.made.listener.clients) == 2)
    assert idle.recv(1) == b""
    # The last byte of this job arrives too late in the drain: rejected, so that a retry elsewhere is safe.
    assert served.turn(
        lambda: served.made.loop.now()
        > served.made.listener.drain_started_at + client_listener.REJECTS_AFTER_US
    )
    half.sendall(b"x")
    reply = served.rig.reply(half)
    assert reply.startswith(b"HTTP/1.1 503") and b"connection: close" in reply.lower()
    raw = b'{"id":"b1","state":"done","result":"r"}\n'
    worker_side.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(raw), raw))
    reply = served.rig.reply(busy)
    assert reply.startswith(b"HTTP/1.1 200") and b"connection: close" in reply.lower()
    silent = served.connect()
    silent.sendall(helpers.job(X_Txn="b3")[:-1])
    for client in (busy, half):
        client.close()
    served.turn(lambda: False, 100_000)
    assert served.turn(lambda: not served.made.listener.clients) and silent.recv(1) == b""


def test_shutdown_during_a_drain_ends_as_usual(served):
    served.call("/api/evacuate", "POST")
    served.made.stop_requested = True
    served.made.loop.wake(served.made.lifecycle_task)
    assert served.call("/api/rejoin", "POST")[0] == 409
    assert served.turn(lambda: served.made.phase == "ended", 5_000_000)


@pytest.mark.parametrize(
    ("where", "env", "says"),
    [
        ("here", {}, "ADDRESS:PORT"),
        (GOOD_LISTEN := "127.0.0.1:7070", {}, "same address as listen"),
        (None, {"GW_CONTROL": GOOD_LISTEN}, "same address as listen"),
        (7, {}, "control cannot be read"),
    ],
)
def test_invalid_control_address_is_rejected(where, env, says, tmp_path):
    with pytest.raises(ConfigurationError, match=says):
        load_configuration(file(tmp_path, control=where), env)


@pytest.mark.parametrize(
    ("where", "env", "control_"),
    [
        (None, {}, None),
        (None, {"GW_CONTROL": ""}, None),
        (None, {"GW_CONTROL": "127.0.0.1:9"}, ("127.0.0.1", 9)),
        ("127.0.0.1:8", {"GW_CONTROL": "127.0.0.1:9"}, ("127.0.0.1", 8)),
    ],
)
def test_control_address_is_optional(where, env, control_, tmp_path):
    assert load_configuration(file(tmp_path, control=where), env)["control"] == control_


def test_no_operator_listener_without_control_address(tmp_path, monkeypatch):
    monkeypatch.setattr(serving, "FIRST_LIST_TIMEOUT_US", 0)
    dispatcher_ = Served(tmp_path, control=None).serving().made
    assert (
        dispatcher_.control_socket is None
        and dispatcher_.loop.priority_epoll is None
        and dispatcher_.budget.limits["operators"] == 0
    )
    dispatcher_.listening_socket.close()


def test_control_address_in_use_is_named_in_the_error(tmp_path, monkeypatch):
    monkeypatch.setattr(dispatcher, "BIND_ATTEMPTS", 2)
    holder = listen((HERE, 0))
    address = "{}:{}".format(*holder.getsockname())
    with pytest.raises(OSError, match=address) as raised:
        Served(tmp_path, control=address)
    assert raised.value.errno == errno.EADDRINUSE
    holder.close()


def test_reload_with_invalid_control_address_changes_nothing(served):
    path, (host, port) = pathlib.Path(served.path), served.made.configuration["control"]
    path.write_text(path.read_text().replace(f"{host}:{port}", "nowhere"))
    served.made.reload_configuration()
    assert [event for event, _ in served.rig.logged if event.startswith("config")] == [
        "configuration_rejected"
    ]
    assert served.call("/api/ready")[0] == 200


def test_accepted_clients_are_limited_in_each_turn(served):
    clients = [served.connect() for _ in range(3 * client_listener.MAX_ACCEPTS)]
    most_accepted, listener = 0, served.made.listener
    while len(listener.clients) < min(len(clients), served.made.budget.limits["clients"]):
        before = len(listener.clients)
        served.made.loop.run_once(10_000)
        most_accepted = max(most_accepted, len(listener.clients) - before)
    assert 0 < most_accepted <= client_listener.MAX_ACCEPTS


def test_reload_during_a_drain_keeps_the_drain(served):
    served.call("/api/evacuate", "POST")
    served.made.reload_configuration()
    assert served.turn(lambda: served.made.phase == Phase.DRAINING)
    assert [event for event, _ in served.rig.logged if event.startswith("config")] == ["configuration_loaded"]
    assert served.call("/api/ready")[0] == 503 and served.call("/api/rejoin", "POST")[0] == 200
    assert served.health() == 200
