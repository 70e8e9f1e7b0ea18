"""Tests of upgrades: two processes of one dispatcher, and excluded workers, which both must apply."""

import errno
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import orjson
import pytest
from helpers import HERE, Rig, arrive, entry, known_workers, pull, scheduler
from test_control import Served, free
from test_program import arrive_job, file, router_with_workers

from mastledge.program import operator_api, process_seats, serving, sibling_watch
from mastledge.program.lifecycle import Phase
from mastledge.program.upgrade_state import UpgradeState, empty_shared_state
from mastledge.protocol.client_connection import ClientConnection
from mastledge.protocol.events import LaunchEnded
from mastledge.routing.events import WorkersExcluded
from mastledge.scheduling.decisions import LaunchJob
from mastledge.scheduling.slow_start import min_warmth
from mastledge.transport.listening import bind_socket, select_listener

LISTEN = ("127.0.0.1", 7070)


def state_with_seat(folder, log=lambda event, **fields: None):
    state = UpgradeState(str(folder), LISTEN, log)
    state.take_seat()
    return state


def test_two_seats_are_available_and_freed_on_exit(tmp_path, monkeypatch):
    monkeypatch.setattr(process_seats, "ATTEMPTS", 2)
    first = state_with_seat(tmp_path)
    assert first.alone()
    second = state_with_seat(tmp_path)
    assert not first.alone() and not second.alone() and {first.seat, second.seat} == {0, 1}
    with pytest.raises(OSError, match="two processes") as raised:
        state_with_seat(tmp_path)
    assert raised.value.errno == errno.EADDRINUSE
    first.leave()
    assert second.alone()
    assert state_with_seat(tmp_path).seat == first.seat


def test_shared_change_is_read_and_acknowledged_by_the_sibling(tmp_path):
    first, second = state_with_seat(tmp_path), state_with_seat(tmp_path)
    assert first.change(lambda shared: shared.update(out=["s-1"]))
    assert not first.sibling_has_applied(first.shared["serial"])
    assert second.refresh() and second.shared["out"] == ["s-1"] and not second.refresh()
    second.change(lambda shared: shared["seen"].update({str(second.seat): shared["serial"]}), news=False)
    assert first.refresh() and first.sibling_has_applied(1) and first.shared["serial"] == 1
    second.leave()
    assert first.sibling_has_applied(99)


@pytest.mark.parametrize(
    "left",
    [
        b"",
        b"{",
        b"\xff\xfe",
        orjson.dumps(empty_shared_state())[:-9],
        orjson.dumps({**empty_shared_state(), "version": 2}),
        b"[]",
        orjson.dumps({**empty_shared_state(), "out": [1]}),
        orjson.dumps({**empty_shared_state(), "back": {"s": "soon"}}),
    ],
)
def test_unusable_state_file_is_logged_and_replaced(left, tmp_path):
    logged = []
    first = state_with_seat(tmp_path, lambda event, **fields: logged.append(event))
    with open(first.state_path, "wb") as state_file:
        state_file.write(left)
    assert (
        not first.refresh()
        and first.shared == empty_shared_state()
        and logged == ["upgrade_state_unreadable"]
    )
    assert not first.refresh() and len(logged) == 1
    assert first.change(lambda shared: shared.update(out=["s-1"]))
    second = state_with_seat(tmp_path)
    assert second.refresh() and second.shared["out"] == ["s-1"]


def test_process_runs_alone_without_a_usable_folder(tmp_path):
    for folder in (None, str(tmp_path / "nowhere")):
        state = UpgradeState(folder, LISTEN, lambda event, **fields: None)
        state.take_seat()
        assert state.alone() and state.change(lambda shared: shared.update(out=["s-1"]))
        assert state.shared["out"] == ["s-1"] and not state.refresh()


def test_write_error_fails_a_change_only_beside_a_sibling(tmp_path, monkeypatch):
    first = state_with_seat(tmp_path)

    def fail_replace(*paths):
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(os, "replace", fail_replace)
    assert first.change(lambda shared: shared.update(out=["s-1"])) and first.shared["out"] == ["s-1"]
    assert first.shared["serial"] == 1
    second = state_with_seat(tmp_path)
    assert not first.change(lambda shared: shared.update(out=[])) and first.shared["out"] == ["s-1"]
    second.leave()


def test_new_connections_go_to_the_newest_listener_until_it_closes():
    older = bind_socket((HERE, 0), True)
    newer = bind_socket(older.getsockname(), True)
    for sock in (older, newer):
        sock.listen(64)
    assert select_listener(newer, 1)
    callers = [socket.create_connection(older.getsockname(), 2) for _ in range(40)]
    for _ in callers:
        newer.accept()
    with pytest.raises(BlockingIOError):
        older.accept()
    newer.close()
    callers.append(socket.create_connection(older.getsockname(), 2))
    assert older.accept()
    older.close()


# Scheduler


@pytest.mark.parametrize(
    "news",
    [
        None,
        ("changes", [entry(0, "gone")]),
        ("changes", [entry(0, born=50)]),
        ("whole", [entry(0), entry(1)]),
        ("whole", [entry(1)]),
        ("changes", [entry(0, "draining")]),
    ],
)
def test_excluded_worker_gets_no_jobs_whatever_the_list_says(news):
    tested_scheduler = scheduler(workers=2)
    tested_scheduler.set_excluded(0, {"0"}, {})
    if news:
        tested_scheduler.update_endpoints(1, *news)
        tested_scheduler.update_endpoints(2, "changes", [entry(0)])
    for n in range(5):
        arrive(tested_scheduler, 10, job=n)
    assert {(decision.__class__, decision.worker) for decision in pull(tested_scheduler, 10)} == {
        (LaunchJob, 1)
    }
    assert tested_scheduler.count_skipped_workers(10) == 1


@pytest.mark.parametrize("aside", [False, True])
def test_included_worker_warms_up(aside):
    tested_scheduler = scheduler(workers=2)
    if aside:
        arrive(tested_scheduler, 0)
        (sent,) = pull(tested_scheduler, 0)
        tested_scheduler.launch_ended(1_000, sent.job, 0, "error", 1_000, False, ())
    tested_scheduler.set_excluded(2_000, {"0", "1"}, {})
    assert tested_scheduler.ready == []
    tested_scheduler.set_excluded(9_000_000, set(), {"0": 8_900_000, "1": 8_900_000})
    worker = tested_scheduler.workers[0]
    assert (worker.born, worker.credit, worker.ejections) == (8_900_000, 0.0, {}) and len(
        tested_scheduler.ready
    ) == 2
    assert min_warmth(worker, 9_000_000, tested_scheduler.settings) < 0.3
    # An outdated list still has the former start time; a current list has a later one.
    tested_scheduler.update_endpoints(9_100_000, "whole", [entry(0), entry(1, born=9_050_000)])
    assert (tested_scheduler.workers[0].born, tested_scheduler.workers[1].born) == (8_900_000, 9_050_000)


def test_included_worker_that_is_listed_later_warms_up():
    tested_scheduler = scheduler(workers=2)
    tested_scheduler.set_excluded(0, {"0"}, {})
    tested_scheduler.update_endpoints(1, "whole", [entry(1)])
    tested_scheduler.set_excluded(5_000_000, set(), {"0": 5_000_000})
    tested_scheduler.update_endpoints(6_000_000, "changes", [entry(0)])
    assert tested_scheduler.workers[0].born == 5_000_000


@pytest.mark.parametrize("share", [1.0, 0.5, 0.125])
def test_slow_start_budget_of_a_worker_follows_the_traffic_share(share):
    sharing = scheduler(workers=2)
    sharing.set_excluded(0, (), {"0": 1})
    sharing.set_traffic_share(0, share)
    arrive(sharing, 0, hint=1_000)
    sharing.slow_start.within_budget(sharing.workers[0], sharing.jobs[1], 100_000)
    whole = scheduler(workers=2)
    whole.set_excluded(0, (), {"0": 1})
    arrive(whole, 0, hint=1_000)
    whole.slow_start.within_budget(whole.workers[0], whole.jobs[1], 100_000)
    assert sharing.workers[0].credit / share == pytest.approx(whole.workers[0].credit)


@pytest.mark.parametrize(("sent", "revoked"), [(False, True), (True, False)])
def test_unsent_launch_to_an_excluded_worker_is_revoked(sent, revoked):
    rig = Rig()
    tested_router, _ = router_with_workers(rig)
    (peer,) = tested_router.endpoints.values()
    job, _ = arrive_job(rig, tested_router)
    job.launches[0].sent = sent
    applied = []
    event = WorkersExcluded(frozenset({peer.id}), {}, lambda: applied.append(True))
    tested_router.on_workers_excluded(rig.loop.now(), event)
    assert applied and peer.excluded and job.launches[0].task.ended == revoked
    assert [item.outcome for item in rig.inbox.items if isinstance(item, LaunchEnded)] == (
        ["unsent"] if revoked else []
    )


# Operators' calls


def post_all(served, *steps):
    return [served.call(path, "POST")[0] for path in steps]


@pytest.fixture
def folder(monkeypatch):
    monkeypatch.setattr(serving, "FIRST_LIST_TIMEOUT_US", 0)
    with tempfile.TemporaryDirectory(prefix="shared-") as path:
        yield pathlib.Path(path)


def start_dispatcher(path, folder, **changed):
    return Served(path, folder=str(folder), **changed)


@pytest.mark.parametrize(
    ("steps", "answers", "out"),
    [
        (["/api/exclude/s-1"], [200], ["s-1"]),
        (["/api/exclude/s-1", "/api/exclude/s-1"], [200, 200], ["s-1"]),
        (["/api/exclude/s-1", "/api/exclude/s-1", "/api/include/s-1"], [200, 200, 200], []),
        (["/api/exclude/nobody", "/api/include/nobody", "/api/exclude/"], [404, 404, 404], []),
        (["/api/include/s-1"], [200], []),
        (["/api/exclude/s%2D1"], [200], ["s-1"]),
    ],
)
def test_calls_exclude_and_include_workers(steps, answers, out, tmp_path, folder):
    served = start_dispatcher(tmp_path, folder).serving()
    assert post_all(served, *steps) == answers and served.made.upgrade_state.shared["out"] == out
    assert served.made.router.excluded == frozenset(out)
    assert [ready_worker.id.id for ready_worker in served.made.router.scheduler.ready] == (
        [] if out else ["s-1"]
    )
    figures = served.figures()
    assert (figures["svc.known_workers"], figures["svc.skipped_workers"]) == (1, len(out))
    # Including a worker that was not excluded is no restart; after an exclusion the worker counts as cold.
    (worker,) = served.made.router.scheduler.workers.values()
    assert (worker.born > 0) == (steps[-1] == "/api/include/s-1" and len(steps) > 1)
    served.close()


class Pair:
    """Two processes of one dispatcher, simulated in one thread with an event loop each."""

    def __init__(self, path, folder):
        self.old = start_dispatcher(path, folder).serving()
        listen = "{}:{}".format(*self.old.made.configuration["listen"])
        self.new = start_dispatcher(path, folder, listen=listen)
        self.both = (self.old, self.new)
        for served in self.both:
            served.turn = self.turn
            served.rig.turn = self.turn

    def turn(self, until, longest=2_000_000):
        deadline = time.monotonic() + longest / 1e6
        while not until() and time.monotonic() < deadline:
            for served in self.both:
                served.made.loop.run_once(2_000)
        return until()

    def close(self):
        for served in self.both:
            served.close()


@pytest.fixture
def pair(tmp_path, folder):
    processes = Pair(tmp_path, folder)
    assert processes.turn(
        lambda: processes.new.made.phase == Phase.SERVING and processes.old.made.has_sibling_process
    )
    yield processes
    processes.close()


def test_processes_share_descriptors_memory_and_slow_start_budget(pair):
    whole = 128 - 32
    assert pair.turn(lambda: all(served.made.router.scheduler.traffic.share == 0.5 for served in pair.both))
    for served in pair.both:
        assert served.made.budget.limits["clients"] < whole * 12 // 25 // 2
        assert served.made.budget.max_request_bytes == (256 << 20) // 16
    pair.old.made.upgrade_state.leave()
    assert pair.turn(lambda: pair.new.made.router.scheduler.traffic.share == 1)
    assert pair.new.made.budget.limits["clients"] == whole * 12 // 25


@pytest.mark.parametrize("at", [0, 1])
def test_exclusion_applies_to_both_processes_before_the_answer(pair, at):
    assert pair.both[at].call("/api/exclude/s-1", "POST")[0] == 200
    assert [served.made.router.scheduler.ready for served in pair.both] == [[], []]
    assert pair.both[1 - at].call("/api/include/s-1", "POST")[0] == 200
    assert [len(served.made.router.scheduler.ready) for served in pair.both] == [1, 1]


@pytest.mark.parametrize("at", [0, 1])
def test_drain_during_an_upgrade_drains_both_processes(pair, at):
    assert pair.both[at].call("/api/evacuate", "POST")[0] == 200
    assert [served.call("/api/ready")[0] for served in pair.both] == [503, 503]
    assert pair.both[1 - at].call("/api/rejoin", "POST")[0] == 200
    assert [served.call("/api/ready")[0] for served in pair.both] == [200, 200]


def test_old_process_hands_over_without_refusing_clients(pair):
    kept = pair.old.connect()
    # An established connection stays with its process; every new one is steered to the other process.
    assert pair.turn(lambda: pair.new.made.listener.clients) and not pair.old.made.listener.clients
    pair.old.made.stop_requested = True
    pair.old.made.loop.wake(pair.old.made.lifecycle_task)
    assert pair.turn(lambda: pair.old.made.phase == "ended", 3_000_000)
    pair.both = (pair.new,)
    kept.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    assert pair.new.rig.reply(kept).startswith(b"HTTP/1.1 200")
    pair.both = (pair.old, pair.new)
    pair.old.made.upgrade_state.leave()


def test_health_stays_ready_after_a_successor_has_taken_over(pair):
    pair.old.made.listener.has_successor, pair.old.made.listener.shutdown_started_at = True, 1
    conn, client = pair.old.rig.pair()
    conn.loop = pair.old.made.loop
    conn.owner = pair.old.made.loop.spawn(ClientConnection(pair.old.made.listener, conn, False).serve())
    client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    assert pair.old.rig.reply(client).startswith(b"HTTP/1.1 200")
    assert pair.old.call("/api/ready")[0] == 503
    client.close()


@pytest.mark.parametrize("drained", [False, True])
def test_only_excluded_workers_survive_a_restart(drained, tmp_path, folder):
    old = start_dispatcher(tmp_path, folder).serving()
    assert post_all(old, "/api/exclude/s-1", *["/api/evacuate"] * drained) == [200] * (1 + drained)
    old.made.upgrade_state.leave()
    old.close()
    new = start_dispatcher(tmp_path, folder, listen="{}:{}".format(*old.made.configuration["listen"]))
    assert new.turn(lambda: new.made.phase == Phase.SERVING)
    assert new.made.router.excluded == {"s-1"} and not new.made.listener.drain_started_at
    new.close()


def test_new_process_that_is_not_ready_accepts_no_clients(tmp_path, folder):
    old = start_dispatcher(tmp_path, folder).serving()
    new = start_dispatcher(
        tmp_path, folder, listen="{}:{}".format(*old.made.configuration["listen"]), known={}
    )
    for _ in range(20):
        new.made.loop.run_once(2_000)
    assert new.made.accept_task is None
    assert all(old.health() == 200 for _ in range(10))
    new.made.upgrade_state.leave()
    assert old.turn(lambda: not old.made.has_sibling_process)
    for served in (old, new):
        served.close()


def test_call_is_answered_while_the_sibling_hangs(pair, monkeypatch):
    monkeypatch.setattr(operator_api, "SIBLING_TIMEOUT_US", 100_000)
    pair.both = (pair.old,)
    assert pair.old.call("/api/exclude/s-1", "POST")[0] == 200
    assert "change_not_seen" in [event for event, _ in pair.old.rig.logged]
    pair.both = (pair.old, pair.new)


# Whole processes


def start_process(tmp_path, folder, listen, peer_port, control, **changed):
    document = {"listen": listen, "discovery": free(), "known": known_workers(peer_port), **changed}
    path = file(tmp_path, **document)
    env = {**os.environ, "TMPDIR": str(folder), "GW_CONTROL": control}
    return subprocess.Popen(
        [sys.executable, "-m", "mastledge", "serve", "--config", path], env=env, stderr=subprocess.DEVNULL
    )


def http_status(address, path):
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 2) as sock:
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode())
            return int(sock.makefile("rb").readline().split()[1])
    except (OSError, IndexError):
        return 0


def wait_until(check, longest=8):
    deadline = time.monotonic() + longest
    while not check() and time.monotonic() < deadline:
        time.sleep(0.02)
    return check()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_takeover_between_processes_answers_every_connection(number, tmp_path, folder):
    listen, first, second = free(), free(), free()
    worker = bind_socket((HERE, 0))
    worker.listen(8)
    old = start_process(tmp_path, folder, listen, worker.getsockname()[1], first)
    new = None
    try:
        assert wait_until(lambda: http_status(first, "/api/ready") == 200)
        new = start_process(tmp_path, folder, listen, worker.getsockname()[1], second)
        assert wait_until(lambda: http_status(second, "/api/ready") == 200)
        assert all(http_status(listen, "/health/ready") == 200 for _ in range(50))
        old.send_signal(number)
        assert all(http_status(listen, "/health/ready") == 200 for _ in range(50))
        assert old.wait(6) == (0 if number == signal.SIGTERM else -signal.SIGKILL)
        assert (
            http_status(listen, "/health/ready") == http_status(second, "/api/ready") == 200
            and new.poll() is None
        )
    finally:
        for process in (old, new):
            if process is not None:
                process.kill()
                process.wait()
        worker.close()


@pytest.mark.parametrize("late", [0, 300_000])
def test_signal_right_after_ready_finds_the_successor(late, pair, monkeypatch):
    # Guards against an old process that polls too rarely (every 0.1 s) and shuts down as if there were no
    # successor.
    old, new = pair.old.made, pair.new.made
    new.sibling.announce(ready=False)
    assert pair.turn(lambda: old.upgrade_state.shared["ready"] == [old.upgrade_state.seat])
    monkeypatch.setattr(sibling_watch, "POLL_WITH_SIBLING_US", 600_000)
    old.stop_requested = True
    if not late:
        new.sibling.announce(ready=True)
    old.loop.wake(old.lifecycle_task)
    monkeypatch.setattr(sibling_watch, "POLL_WITH_SIBLING_US", 20_000)
    # The check is not for "leaving": a machine that pauses for 0.2 s passes that phase in one turn.
    assert pair.turn(lambda: old.phase != Phase.SERVING)
    pair.turn(lambda: False, late)
    if late:
        assert not old.listener.has_successor
        new.sibling.announce(ready=True)
    assert pair.turn(lambda: old.phase == "ended", 1_500_000) and old.listener.has_successor


def test_process_handing_over_leaves_most_slow_start_budget_to_successor(pair):
    # Guards against equal shares until the old process exits, which starve the new process of cold workers:
    # it ran 16 jobs a second, then 34 alone.
    old, new = pair.old.made, pair.new.made
    client = pair.new.connect()
    pair.turn(lambda: new.listener.clients)
    client.close()
    old.listener.shutdown_started_at, sums = 1, []
    old.stop_requested = True
    open_client = old.loop.spawn(iter(()))
    old.listener.clients.add(open_client)
    old.loop.wake(old.lifecycle_task)

    def new_process_has_more():
        sums.append(old.router.scheduler.traffic.share + new.router.scheduler.traffic.share)
        return new.router.scheduler.traffic.share > 0.5

    assert pair.turn(new_process_has_more) and max(sums) <= 1
    assert (old.router.scheduler.traffic.share, new.router.scheduler.traffic.share) == (0.125, 0.875)
    old.upgrade_state.leave()
    assert (
        pair.turn(lambda: new.router.scheduler.traffic.share == 1)
        and new.upgrade_state.shared["leaving"] == []
    )


def test_seat_flags_of_a_dead_process_are_cleared(tmp_path, folder):
    old = start_dispatcher(tmp_path, folder).serving()
    listen = "{}:{}".format(*old.made.configuration["listen"])
    dead = start_dispatcher(tmp_path, folder, listen=listen).serving()
    dead.made.sibling.announce(leaving=True)
    assert dead.made.upgrade_state.shared["ready"] == [0, 1]
    dead.made.upgrade_state.leave()
    new = start_dispatcher(tmp_path, folder, listen=listen, known={})
    for _ in range(3):
        new.made.loop.run_once(2_000)
    state = new.made.upgrade_state
    assert state.seat == 1 and state.shared["ready"] == [0] and state.shared["leaving"] == []
    for served in (old, dead, new):
        served.close()


# Learned state that a new process starts from


def test_new_process_starts_from_learned_state():
    old, new = scheduler(workers=3), scheduler(workers=3)
    arrive(old, 0)
    (sent,) = pull(old, 0)
    worker_id = sent.worker
    old.launch_ended(1_000, sent.job, 0, "error", 1_000, False, ())
    old.workers[worker_id].slots, old.workers[worker_id].peak, old.workers[worker_id].slow = 3.5, 3.0, 2.0
    new.restore_learned(
        2_000, {**orjson.loads(orjson.dumps(old.learned_state())), "nobody": [1.0, 1.0, 1.0, []]}
    )
    worker = new.workers[worker_id]
    assert (worker.slots, worker.peak, worker.slow, list(worker.ejections)) == (3.5, 3.0, 2.0, [0])
    # Guards against losing the observed slots: each worker then counts as single-slot, cold ones get little.
    old.recompute()
    assert new.slow_start.capacity == old.slow_start.capacity > scheduler(workers=3).slow_start.capacity
    assert (
        worker.ejections[0] == old.workers[worker_id].ejections[0]
        and new.outliers.counts == old.outliers.counts
    )
    assert new.count_skipped_workers(2_000) == 1


@pytest.mark.parametrize(
    ("left", "logged"),
    [
        (None, False),
        (b"", True),
        (b"{", True),
        (b"[]", True),
        (b'{"version":1}', True),
        (b'{"version":2,"at":%d,"workers":{"s":[]}}', False),
        (b'{"version":1,"at":5,"workers":{"s":[]}}', False),
    ],
)
def test_old_or_invalid_learned_state_is_ignored(left, logged, tmp_path):
    events = []
    state = state_with_seat(tmp_path, lambda event, **fields: events.append(event))
    if left is not None:
        with open(state.learned_path, "wb") as file_:
            file_.write(left % time.monotonic_ns() if b"%d" in left else left)
    assert state.read_learned() == {} and bool(events) == logged
    state.write_learned({"s-1": [8.0, 1.0, []]})
    assert state.read_learned() == {"s-1": [8.0, 1.0, []]}


def test_serving_starts_no_process_or_thread(tmp_path, folder):
    # The dispatcher must also serve where it may not start or fork processes.
    listen, control = free(), free()
    process = start_process(tmp_path, folder, listen, 1, control)
    try:
        assert wait_until(lambda: http_status(control, "/api/ready") == 200)
        assert all(http_status(listen, "/health/ready") == 200 for _ in range(5))
        with open(f"/proc/{process.pid}/task/{process.pid}/children", encoding="ascii") as children:
            assert children.read() == ""
        assert os.listdir(f"/proc/{process.pid}/task") == [str(process.pid)]
    finally:
        process.kill()
        process.wait()


def test_the_deploy_file_runs_one_process():
    with open(os.path.join(os.path.dirname(__file__), "..", "deploy", "balancer.toml"), "rb") as deploy:
        deployment = tomllib.load(deploy)
    assert deployment["run"].startswith("exec ") and deployment["sim"].startswith("exec ")
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    assert all(
        os.path.exists(os.path.join(root, path)) for path in (*deployment["policy"], *deployment["node"])
    )
