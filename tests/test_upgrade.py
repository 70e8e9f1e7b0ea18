"""Two processes of one dispatcher, and workers out by hand, which both must hold."""

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
from helpers import HERE, Rig, arrive, entry, pull, scheduler
from test_control import Served, free
from test_program import arrived, file, router

from mastledge.program import operator_api, process_seats, serving, sibling_watch
from mastledge.program.lifecycle import Phase
from mastledge.program.upgrade_state import UpgradeState, empty_shared
from mastledge.protocol.client_connection import ClientConnection
from mastledge.protocol.events import LaunchEnded
from mastledge.routing.events import WorkersExcluded
from mastledge.scheduling.decisions import LaunchJob
from mastledge.scheduling.slow_start import least_warmth
from mastledge.transport.listening import bind_socket, select_listener

LISTEN = ("127.0.0.1", 7070)


def with_seat(folder, log=lambda event, **fields: None):
    made = UpgradeState(str(folder), LISTEN, log)
    made.take_seat()
    return made


def test_two_have_a_seat_and_a_death_frees_it(tmp_path, monkeypatch):
    monkeypatch.setattr(process_seats, "ATTEMPTS", 2)
    first = with_seat(tmp_path)
    assert first.alone()
    second = with_seat(tmp_path)
    assert not first.alone() and not second.alone() and {first.seat, second.seat} == {0, 1}
    with pytest.raises(OSError, match="two processes") as raised:
        with_seat(tmp_path)
    assert raised.value.errno == errno.EADDRINUSE
    first.leave()
    assert second.alone()
    assert with_seat(tmp_path).seat == first.seat


def test_what_one_changes_the_other_reads_and_says_so(tmp_path):
    one, other = with_seat(tmp_path), with_seat(tmp_path)
    assert one.change(lambda shared: shared.update(out=["s-1"]))
    assert not one.sibling_took_up(one.shared["serial"])
    assert other.refresh() and other.shared["out"] == ["s-1"] and not other.refresh()
    other.change(lambda shared: shared["seen"].update({str(other.seat): shared["serial"]}), news=False)
    assert one.refresh() and one.sibling_took_up(1) and one.shared["serial"] == 1
    other.leave()
    assert one.sibling_took_up(99)


@pytest.mark.parametrize(
    "left",
    [
        b"",
        b"{",
        b"\xff\xfe",
        orjson.dumps(empty_shared())[:-9],
        orjson.dumps({**empty_shared(), "version": 2}),
        b"[]",
        orjson.dumps({**empty_shared(), "out": [1]}),
        orjson.dumps({**empty_shared(), "back": {"s": "soon"}}),
    ],
)
def test_a_state_that_cannot_be_used_is_logged_and_costs_nothing(left, tmp_path):
    logged = []
    one = with_seat(tmp_path, lambda event, **fields: logged.append(event))
    with open(one.state_path, "wb") as state:
        state.write(left)
    assert not one.refresh() and one.shared == empty_shared() and logged == ["upgrade_state_unreadable"]
    assert not one.refresh() and len(logged) == 1
    assert one.change(lambda shared: shared.update(out=["s-1"]))
    other = with_seat(tmp_path)
    assert other.refresh() and other.shared["out"] == ["s-1"]


def test_without_a_folder_or_room_in_it_the_process_goes_on_alone(tmp_path):
    for folder in (None, str(tmp_path / "nowhere")):
        made = UpgradeState(folder, LISTEN, lambda event, **fields: None)
        made.take_seat()
        assert made.alone() and made.change(lambda shared: shared.update(out=["s-1"]))
        assert made.shared["out"] == ["s-1"] and not made.refresh()


def test_a_state_that_cannot_be_written_is_held_alone_but_not_beside_another(tmp_path, monkeypatch):
    one = with_seat(tmp_path)

    def full(*paths):
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(os, "replace", full)
    assert one.change(lambda shared: shared.update(out=["s-1"])) and one.shared["out"] == ["s-1"]
    assert one.shared["serial"] == 1
    other = with_seat(tmp_path)
    assert not one.change(lambda shared: shared.update(out=[])) and one.shared["out"] == ["s-1"]
    other.leave()


def test_new_connections_go_to_the_newest_listener_and_back_when_it_ends():
    one = bind_socket((HERE, 0), True)
    other = bind_socket(one.getsockname(), True)
    for sock in (one, other):
        sock.listen(64)
    assert select_listener(other, 1)
    callers = [socket.create_connection(one.getsockname(), 2) for _ in range(40)]
    for _ in callers:
        other.accept()
    with pytest.raises(BlockingIOError):
        one.accept()
    other.close()
    callers.append(socket.create_connection(one.getsockname(), 2))
    assert one.accept()
    one.close()


# The decisions


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
def test_an_excluded_worker_gets_nothing_new_whatever_the_list_says(news):
    made = scheduler(workers=2)
    made.set_excluded(0, {"0"}, {})
    if news:
        made.update_endpoints(1, *news)
        made.update_endpoints(2, "changes", [entry(0)])
    for n in range(5):
        arrive(made, 10, job=n)
    assert {(d.__class__, d.worker) for d in pull(made, 10)} == {(LaunchJob, 1)}
    assert made.count_skipped_workers(10) == 1


@pytest.mark.parametrize("aside", [False, True])
def test_an_included_worker_warms_up(aside):
    made = scheduler(workers=2)
    if aside:
        arrive(made, 0)
        (sent,) = pull(made, 0)
        made.launch_ended(1_000, sent.job, 0, "error", 1_000, False, ())
    made.set_excluded(2_000, {"0", "1"}, {})
    assert made.ready == []
    made.set_excluded(9_000_000, set(), {"0": 8_900_000, "1": 8_900_000})
    worker = made.workers[0]
    assert (worker.born, worker.credit, worker.ejections) == (8_900_000, 0.0, {}) and len(made.ready) == 2
    assert least_warmth(worker, 9_000_000, made.settings) < 0.3
    # A list that is behind still names its former start; one that is not, a later one.
    made.update_endpoints(9_100_000, "whole", [entry(0), entry(1, born=9_050_000)])
    assert (made.workers[0].born, made.workers[1].born) == (8_900_000, 9_050_000)


def test_an_included_worker_that_is_listed_later_warms_up_as_well():
    made = scheduler(workers=2)
    made.set_excluded(0, {"0"}, {})
    made.update_endpoints(1, "whole", [entry(1)])
    made.set_excluded(5_000_000, set(), {"0": 5_000_000})
    made.update_endpoints(6_000_000, "changes", [entry(0)])
    assert made.workers[0].born == 5_000_000


@pytest.mark.parametrize("share", [1.0, 0.5, 0.125])
def test_two_processes_share_the_slow_start_budget_of_a_worker(share):
    made = scheduler(workers=2)
    made.set_excluded(0, (), {"0": 1})
    made.set_traffic_share(0, share)
    arrive(made, 0, hint=1_000)
    made.slow_start.within_budget(made.workers[0], made.jobs[1], 100_000)
    alone = scheduler(workers=2)
    alone.set_excluded(0, (), {"0": 1})
    arrive(alone, 0, hint=1_000)
    alone.slow_start.within_budget(alone.workers[0], alone.jobs[1], 100_000)
    assert made.workers[0].credit / share == pytest.approx(alone.workers[0].credit)


@pytest.mark.parametrize(("sent", "revoked"), [(False, True), (True, False)])
def test_what_was_decided_and_not_written_when_the_call_came_is_called_off(sent, revoked):
    rig = Rig()
    made, _ = router(rig)
    (peer,) = made.endpoints.values()
    task, _ = arrived(rig, made)
    task.launches[0].sent = sent
    held = []
    event = WorkersExcluded(frozenset({peer.id}), {}, lambda: held.append(True))
    made.on_workers_excluded(rig.loop.now(), event)
    assert held and peer.excluded and task.launches[0].task.ended == revoked
    assert [item.outcome for item in rig.inbox.items if isinstance(item, LaunchEnded)] == (
        ["unsent"] if revoked else []
    )


# Calls


def calls(served, *steps):
    return [served.call(path, "POST")[0] for path in steps]


@pytest.fixture
def folder(monkeypatch):
    monkeypatch.setattr(serving, "FIRST_LIST_TIMEOUT_US", 0)
    # Sockets stand in it, whose paths have 107 bytes at most: below the folder of a test they may be longer.
    with tempfile.TemporaryDirectory(prefix="shared-") as path:
        yield pathlib.Path(path)


def begun(path, folder, **changed):
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
def test_workers_are_excluded_and_included_by_calls(steps, answers, out, tmp_path, folder):
    served = begun(tmp_path, folder).serving()
    assert calls(served, *steps) == answers and served.made.upgrade_state.shared["out"] == out
    assert served.made.router.excluded == frozenset(out)
    assert [wkr.id.id for wkr in served.made.router.scheduler.ready] == ([] if out else ["s-1"])
    figures = served.figures()
    assert (figures["svc.known_workers"], figures["svc.skipped_workers"]) == (1, len(out))
    # Back without having been out is no restart; after it the worker is cold, also with the list behind.
    (worker,) = served.made.router.scheduler.workers.values()
    assert (worker.born > 0) == (steps[-1] == "/api/include/s-1" and len(steps) > 1)
    served.close()


class Pair:
    """Two programs of one dispatcher in one thread, each with its own loop."""

    def __init__(self, path, folder):
        self.old = begun(path, folder).serving()
        listen = "{}:{}".format(*self.old.made.configuration["listen"])
        self.new = begun(path, folder, listen=listen)
        self.both = (self.old, self.new)
        for served in self.both:
            served.turn = self.turn
            served.rig.turn = self.turn

    def turn(self, until, longest=2_000_000):
        last = time.monotonic() + longest / 1e6
        while not until() and time.monotonic() < last:
            for served in self.both:
                served.made.loop.run_once(2_000)
        return until()

    def close(self):
        for served in self.both:
            served.close()


@pytest.fixture
def pair(tmp_path, folder):
    made = Pair(tmp_path, folder)
    assert made.turn(lambda: made.new.made.phase == Phase.SERVING and made.old.made.has_sibling_process)
    yield made
    made.close()


def test_two_share_descriptors_bodies_and_slow_start_budget_until_one_is_gone(pair):
    whole = 128 - 32
    assert pair.turn(lambda: all(served.made.router.scheduler.traffic.share == 0.5 for served in pair.both))
    for served in pair.both:
        assert served.made.budget.limits["clients"] < whole * 12 // 25 // 2
        assert served.made.budget.max_request_bytes == (256 << 20) // 16
    pair.old.made.upgrade_state.leave()
    assert pair.turn(lambda: pair.new.made.router.scheduler.traffic.share == 1)
    assert pair.new.made.budget.limits["clients"] == whole * 12 // 25


@pytest.mark.parametrize("at", [0, 1])
def test_an_excluded_worker_is_excluded_in_both_before_the_answer(pair, at):
    assert pair.both[at].call("/api/exclude/s-1", "POST")[0] == 200
    assert [served.made.router.scheduler.ready for served in pair.both] == [[], []]
    assert pair.both[1 - at].call("/api/include/s-1", "POST")[0] == 200
    assert [len(served.made.router.scheduler.ready) for served in pair.both] == [1, 1]


@pytest.mark.parametrize("at", [0, 1])
def test_a_drain_during_an_upgrade_is_a_drain_of_both(pair, at):
    assert pair.both[at].call("/api/evacuate", "POST")[0] == 200
    assert [served.call("/api/ready")[0] for served in pair.both] == [503, 503]
    assert pair.both[1 - at].call("/api/rejoin", "POST")[0] == 200
    assert [served.call("/api/ready")[0] for served in pair.both] == [200, 200]


def test_after_the_signal_the_old_one_hands_over_and_turns_nobody_back(pair):
    kept = pair.old.connect()
    # What is connected stays with its process; the steering sends every new one to the other.
    assert pair.turn(lambda: pair.new.made.listener.clients) and not pair.old.made.listener.clients
    pair.old.made.stop_requested = True
    pair.old.made.loop.wake(pair.old.made.lifecycle_task)
    assert pair.turn(lambda: pair.old.made.phase == "ended", 3_000_000)
    pair.both = (pair.new,)
    kept.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    assert pair.new.rig.reply(kept).startswith(b"HTTP/1.1 200")
    pair.both = (pair.old, pair.new)
    pair.old.made.upgrade_state.leave()


def test_health_speaks_for_the_dispatcher_once_another_process_has_taken_over(pair):
    pair.old.made.listener.succeeded, pair.old.made.listener.leaving = True, 1
    conn, theirs = pair.old.rig.pair()
    conn.loop = pair.old.made.loop
    conn.owner = pair.old.made.loop.spawn(ClientConnection(pair.old.made.listener, conn, False).serve())
    theirs.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    assert pair.old.rig.reply(theirs).startswith(b"HTTP/1.1 200")
    assert pair.old.call("/api/ready")[0] == 503
    theirs.close()


@pytest.mark.parametrize("drained", [False, True])
def test_only_excluded_workers_outlast_a_death_of_all_processes(drained, tmp_path, folder):
    old = begun(tmp_path, folder).serving()
    assert calls(old, "/api/exclude/s-1", *["/api/evacuate"] * drained) == [200] * (1 + drained)
    old.made.upgrade_state.leave()
    old.close()
    new = begun(tmp_path, folder, listen="{}:{}".format(*old.made.configuration["listen"]))
    assert new.turn(lambda: new.made.phase == Phase.SERVING)
    assert new.made.router.excluded == {"s-1"} and not new.made.listener.draining
    new.close()


def test_a_new_process_that_never_gets_ready_takes_no_clients(tmp_path, folder):
    old = begun(tmp_path, folder).serving()
    new = begun(tmp_path, folder, listen="{}:{}".format(*old.made.configuration["listen"]), known={})
    for _ in range(20):
        new.made.loop.run_once(2_000)
    assert new.made.accept_task is None
    assert all(old.health() == 200 for _ in range(10))
    new.made.upgrade_state.leave()
    assert old.turn(lambda: not old.made.has_sibling_process)
    for served in (old, new):
        served.close()


def test_a_call_is_answered_though_the_sibling_process_stands_still(pair, monkeypatch):
    monkeypatch.setattr(operator_api, "SIBLING_TIMEOUT_US", 100_000)
    pair.both = (pair.old,)
    assert pair.old.call("/api/exclude/s-1", "POST")[0] == 200
    assert "change_not_seen" in [what for what, _ in pair.old.rig.logged]
    pair.both = (pair.old, pair.new)


# Whole processes


def started(tmp_path, folder, listen, peer_port, control):
    known = {
        "generation": 1,
        "reset": True,
        "instances": [
            {
                "instanceId": "s-1",
                "hostPort": f"{HERE}:{peer_port}",
                "zone": "z",
                "machineType": "k",
                "cell": 0,
                "lifecycle": "ready",
                "weight": 1.0,
                "startedAtMs": 0,
            }
        ],
    }
    path = file(tmp_path, listen=listen, discovery=free(), known=known)
    env = {**os.environ, "TMPDIR": str(folder), "GW_CONTROL": control}
    return subprocess.Popen(
        [sys.executable, "-m", "mastledge", "serve", "--config", path], env=env, stderr=subprocess.DEVNULL
    )


def asked(at, path):
    host, _, port = at.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 2) as sock:
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode())
            return int(sock.makefile("rb").readline().split()[1])
    except (OSError, IndexError):
        return 0


def soon(check, longest=8):
    last = time.monotonic() + longest
    while not check() and time.monotonic() < last:
        time.sleep(0.02)
    return check()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_whole_processes_take_over_and_every_connection_is_answered(number, tmp_path, folder):
    listen, first, second = free(), free(), free()
    worker = bind_socket((HERE, 0))
    worker.listen(8)
    old = started(tmp_path, folder, listen, worker.getsockname()[1], first)
    new = None
    try:
        assert soon(lambda: asked(first, "/api/ready") == 200)
        new = started(tmp_path, folder, listen, worker.getsockname()[1], second)
        assert soon(lambda: asked(second, "/api/ready") == 200)
        assert all(asked(listen, "/health/ready") == 200 for _ in range(50))
        old.send_signal(number)
        assert all(asked(listen, "/health/ready") == 200 for _ in range(50))
        assert old.wait(6) == (0 if number == signal.SIGTERM else -signal.SIGKILL)
        assert asked(listen, "/health/ready") == asked(second, "/api/ready") == 200 and new.poll() is None
    finally:
        for process in (old, new):
            if process is not None:
                process.kill()
                process.wait()
        worker.close()


@pytest.mark.parametrize("late", [0, 300_000])
def test_a_signal_right_after_the_answer_finds_the_successor(late, pair, monkeypatch):
    # It was looked for every 0.1 s only, and the old process served on as if none had come.
    old, new = pair.old.made, pair.new.made
    new.sibling.announce(ready=False)
    assert pair.turn(lambda: old.upgrade_state.shared["ready"] == [old.upgrade_state.seat])
    monkeypatch.setattr(sibling_watch, "POLL_WITH_SIBLING_US", 600_000)
    old.stop_requested = True
    if not late:
        new.sibling.announce(ready=True)
    old.loop.wake(old.lifecycle_task)
    monkeypatch.setattr(sibling_watch, "POLL_WITH_SIBLING_US", 20_000)
    # A machine that stands still for 0.2 s goes past "leaving" in one turn.
    assert pair.turn(lambda: old.phase != Phase.SERVING)
    pair.turn(lambda: False, late)
    if late:
        assert not old.listener.succeeded
        new.sibling.announce(ready=True)
    assert pair.turn(lambda: old.phase == "ended", 1_500_000) and old.listener.succeeded


def test_who_hands_over_leaves_most_of_the_slow_start_budget_to_the_other(pair):
    # Halves until the old one was gone starved the new one of cold workers: 16 jobs a second, then 34 alone.
    old, new = pair.old.made, pair.new.made
    client = pair.new.connect()
    pair.turn(lambda: new.listener.clients)
    client.close()
    old.listener.leaving, most = 1, []
    old.stop_requested = True
    held = old.loop.spawn(iter(()))
    old.listener.clients.add(held)
    old.loop.wake(old.lifecycle_task)

    def divided():
        most.append(old.router.scheduler.traffic.share + new.router.scheduler.traffic.share)
        return new.router.scheduler.traffic.share > 0.5

    assert pair.turn(divided) and max(most) <= 1
    assert (old.router.scheduler.traffic.share, new.router.scheduler.traffic.share) == (0.125, 0.875)
    old.upgrade_state.leave()
    assert (
        pair.turn(lambda: new.router.scheduler.traffic.share == 1)
        and new.upgrade_state.shared["leaving"] == []
    )


def test_flags_of_who_died_in_a_seat_are_not_those_of_the_next(tmp_path, folder):
    old = begun(tmp_path, folder).serving()
    listen = "{}:{}".format(*old.made.configuration["listen"])
    dead = begun(tmp_path, folder, listen=listen).serving()
    dead.made.sibling.announce(leaving=True)
    assert dead.made.upgrade_state.shared["ready"] == [0, 1]
    dead.made.upgrade_state.leave()
    new = begun(tmp_path, folder, listen=listen, known={})
    for _ in range(3):
        new.made.loop.run_once(2_000)
    state = new.made.upgrade_state
    assert state.seat == 1 and state.shared["ready"] == [0] and state.shared["leaving"] == []
    for served in (old, dead, new):
        served.close()


# What a new version starts from


def test_a_new_process_starts_from_what_the_old_one_learned():
    old, new = scheduler(workers=3), scheduler(workers=3)
    arrive(old, 0)
    (sent,) = pull(old, 0)
    wkr_id = sent.worker
    old.launch_ended(1_000, sent.job, 0, "error", 1_000, False, ())
    old.workers[wkr_id].slots, old.workers[wkr_id].peak, old.workers[wkr_id].slow = 3.5, 3.0, 2.0
    new.restore_learned(
        2_000, {**orjson.loads(orjson.dumps(old.learned_state())), "nobody": [1.0, 1.0, 1.0, []]}
    )
    worker = new.workers[wkr_id]
    assert (worker.slots, worker.peak, worker.slow, list(worker.ejections)) == (3.5, 3.0, 2.0, [0])
    # Without the room that was seen each worker counted as one of a single slot, and cold ones got little.
    old.survey()
    assert new.slow_start.capacity == old.slow_start.capacity > scheduler(workers=3).slow_start.capacity
    assert (
        worker.ejections[0] == old.workers[wkr_id].ejections[0] and new.outliers.counts == old.outliers.counts
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
def test_what_was_learned_long_ago_or_cannot_be_used_is_left(left, logged, tmp_path):
    events = []
    one = with_seat(tmp_path, lambda event, **fields: events.append(event))
    if left is not None:
        with open(one.learned_path, "wb") as file_:
            file_.write(left % time.monotonic_ns() if b"%d" in left else left)
    assert one.read_learned() == {} and bool(events) == logged
    one.write_learned({"s-1": [8.0, 1.0, []]})
    assert one.read_learned() == {"s-1": [8.0, 1.0, []]}


def test_serving_starts_no_other_process(tmp_path, folder):
    # Where no process may be started or forked, the dispatcher has to serve all the same.
    listen, control = free(), free()
    made = started(tmp_path, folder, listen, 1, control)
    try:
        assert soon(lambda: asked(control, "/api/ready") == 200)
        assert all(asked(listen, "/health/ready") == 200 for _ in range(5))
        with open(f"/proc/{made.pid}/task/{made.pid}/children", encoding="ascii") as children:
            assert children.read() == ""
        assert os.listdir(f"/proc/{made.pid}/task") == [str(made.pid)]
    finally:
        made.kill()
        made.wait()


def test_the_deploy_file_runs_one_process():
    with open(os.path.join(os.path.dirname(__file__), "..", "deploy", "balancer.toml"), "rb") as deploy:
        site = tomllib.load(deploy)
    assert site["run"].startswith("exec ") and site["sim"].startswith("exec ")
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    assert all(os.path.exists(os.path.join(root, path)) for path in (*site["policy"], *site["node"]))
