"""Tests of the router, the configuration, the log, the lifecycle phases and the command line."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

import helpers
import orjson
import pytest
from helpers import HERE, Rig, known_workers, peer_at, queue_type, scheduler, workers

from mastledge.command_line import main
from mastledge.program import graceful_shutdown, serving
from mastledge.program.configuration import ConfigurationError, load_configuration
from mastledge.program.dispatcher import Dispatcher
from mastledge.program.lifecycle import NEXT_PHASES, Lifecycle, Phase, PhaseOrderError
from mastledge.program.logs import Log
from mastledge.program.serving import can_serve
from mastledge.program.settings import flatten_settings
from mastledge.program.settings_views import settings_for_decisions
from mastledge.program.signals import watch_signals
from mastledge.protocol.events import EndpointsChanged, JobAbandoned, JobArrived, LaunchEnded
from mastledge.protocol.requests import Exchange
from mastledge.routing.events import SettingsChanged, ShutdownDue
from mastledge.routing.router import Router
from mastledge.scheduling.decisions import LaunchJob, RevokeLaunch
from mastledge.transport.listening import listen


def router_with_workers(rig, effect="restartable", listed=1):
    router = Router(
        rig.loop, rig.inbox, scheduler([queue_type(effect)], workers=0), workers(rig), None, rig.log
    )
    router.discovery = type("Told", (), {"generation": 1})
    now, entries, sockets = rig.loop.now(), [], []
    for n in range(listed):
        peer, sock = peer_at(f"s-{n}")
        sockets.append(sock)
        entries.append((peer.id, peer.address, 0, "ready", 0, 0, 0, 1.0))
    router.on_endpoints_changed(now, EndpointsChanged("whole", entries))
    return router, sockets


def arrive_job(rig, router, remaining_us=500_000):
    exchange, answers = Exchange(), []
    exchange.answer, exchange.name, exchange.kind = lambda *answer: answers.append(answer), "9b1f", "render"
    exchange.until = rig.loop.now() + remaining_us
    exchange.method, exchange.target, exchange.headers, exchange.body = b"POST", b"/render", [], b""
    terms = (0, 100_000, 0, 1.0, 0.0, 0, remaining_us)
    router.on_job_arrived(rig.loop.now(), JobArrived(exchange, terms))
    router.call_guarded(router.carry_out_decisions, rig.loop.now())
    return router.jobs[router.job_table.count], answers


@pytest.mark.parametrize(
    ("hows", "answers"),
    [
        (["completed"], [200]),
        (["completed", "completed"], [200]),
        (["error", "completed"], [200]),
        (["full", "unreachable"], []),
    ],
)
def test_client_gets_only_the_first_result(hows, answers):
    rig = Rig()
    router, _ = router_with_workers(rig, listed=3)
    job, given_answers = arrive_job(rig, router)
    for how in hows:
        result = b"r" if how == "completed" else None
        router.on_launch_ended(rig.loop.now(), LaunchEnded(job.launches[-1], how, result, ()))
        router.call_guarded(router.carry_out_decisions, rig.loop.now())
    assert [answer[0] for answer in given_answers] == answers and not router.faults


@pytest.mark.parametrize(("sent", "how"), [(False, "unsent"), (True, "revoked")])
def test_revoked_launch_may_have_run_only_if_sent(sent, how):
    rig = Rig()
    router, _ = router_with_workers(rig)
    job, _ = arrive_job(rig, router)
    job.launches[0].sent = sent
    router.revoke_launch(rig.loop.now(), RevokeLaunch(job.id, 0))
    assert rig.inbox.items[-1].outcome == how and job.launches[0].task.ended


@pytest.mark.parametrize("how", ["completed", "error", "lost", "timeout"])
def test_abandoned_job_is_not_answered_or_relaunched(how):
    rig = Rig()
    router, _ = router_with_workers(rig)
    job, given_answers = arrive_job(rig, router)
    job.exchange.open = False
    router.on_job_abandoned(rig.loop.now(), JobAbandoned(job.exchange))
    router.call_guarded(router.carry_out_decisions, rig.loop.now())
    router.on_launch_ended(rig.loop.now(), LaunchEnded(job.launches[0], how, b"r", ()))
    router.call_guarded(router.carry_out_decisions, rig.loop.now())
    assert not given_answers and not router.jobs and len(job.launches) == 1 and not router.faults


def test_shutdown_kills_open_jobs():
    rig = Rig()
    router, _ = router_with_workers(rig, "run-once")
    job, given_answers = arrive_job(rig, router)
    router.on_shutdown_due(rig.loop.now(), ShutdownDue())
    router.call_guarded(router.carry_out_decisions, rig.loop.now())
    assert [answer[0] for answer in given_answers] == [500] and router.job_table.totals["killed"] == 1
    assert job.launches[0].task.ended


@pytest.mark.parametrize(("state", "born"), [("draining", 0), ("gone", 0), ("ready", 50)])
def test_idle_connections_to_leaving_or_restarted_worker_are_closed(state, born):
    rig = Rig()
    router, _ = router_with_workers(rig)
    (peer,) = router.endpoints.values()
    closed = []
    router.workers.close_idle = closed.append
    changes = [(peer.id, peer.address, 0, state, born, 0, 0, 1.0)]
    router.on_endpoints_changed(rig.loop.now(), EndpointsChanged("changes", changes))
    known = router.scheduler.workers.get(peer)
    assert closed == [peer] and (known.state if known else "gone") == state


def test_worker_missing_from_a_whole_list_is_gone():
    rig = Rig()
    router, _ = router_with_workers(rig, listed=2)
    first, second = router.endpoints.values()
    entries = [(second.id, second.address, 0, "ready", 0, 0, 0, 1.0)]
    router.on_endpoints_changed(rig.loop.now(), EndpointsChanged("whole", entries))
    assert (first.state, second.state) == ("gone", "ready")


@pytest.mark.parametrize("out", [True, False])
def test_gone_worker_is_forgotten_after_its_last_launch(out):
    # Guards against a leak: each release brings new worker ids, and records of former ids were kept for ever.
    rig = Rig()
    router, _ = router_with_workers(rig)
    (peer,) = router.endpoints.values()
    if out:
        job, given_answers = arrive_job(rig, router)
    gone = [(peer.id, peer.address, 0, "gone", 0, 0, 0, 1.0)]
    router.on_endpoints_changed(rig.loop.now(), EndpointsChanged("changes", gone))
    assert not router.endpoints and (peer in router.scheduler.workers) == out
    if out:
        router.on_launch_ended(rig.loop.now(), LaunchEnded(job.launches[0], "completed", b"r", ()))
        router.on_endpoints_changed(rig.loop.now(), EndpointsChanged("changes", []))
        assert given_answers[0][0] == 200 and not router.scheduler.workers and not router.faults


def test_internal_error_in_one_job_is_logged_and_contained():
    rig = Rig()
    router, _ = router_with_workers(rig)
    router.call_guarded(router.launch_job, 0, LaunchJob(99, None, 0))
    assert router.faults == 1 and rig.logged[-1][0] == "internal_error"


GOOD = {
    "listen": "127.0.0.1:7070",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "settings": {
        "balancers": 2,
        "me": 0,
        "stepMs": 4.0,
        "discovery": "pushed",
        "limits": {"maxLaunches": 5, "cancel": True},
        "rules": {
            "coldFrom": 0.3,
            "coldMs": 8700.0,
            "fallMs": 1000.0,
            "fallMultiple": 3.0,
            "stopSendingWithinMs": 1000.0,
        },
        "queueTypes": [
            {"name": "render", "targetTurnaroundMs": 150.0, "walltimeMs": 5000.0, "idempotency": "pure"}
        ],
    },
}


def file(path, **changed):
    config_path = path / "config.json"
    config_path.write_bytes(orjson.dumps({**GOOD, **changed}))
    return str(config_path)


def test_configuration_is_loaded_as_a_plain_dict(tmp_path):
    loaded = load_configuration(file(tmp_path, limits={"sockets": 512}), {})
    settings = loaded["settings"]
    assert (loaded["listen"], loaded["seed"], loaded["sockets"]) == (("127.0.0.1", 7070), 0x8C1F, 512)
    assert settings["queue_types"][0]["effect"] == "restartable" and settings["may_revoke"] is True
    assert settings["cold_for"] == 8_700_000


@pytest.mark.parametrize(
    ("changed", "says"),
    [
        ({"listen": None}, "listen is missing"),
        ({"listen": "7070"}, "ADDRESS:PORT"),
        ({"listen": "here:7070"}, "ADDRESS:PORT"),
        ({"seed": "xyz"}, "seed cannot be read: 'xyz'"),
        ({"settings": {}}, "balancers is missing"),
        ({"settings": {**GOOD["settings"], "stepMs": []}}, "stepMs"),
        ({"settings": {**GOOD["settings"], "queueTypes": []}}, "queueTypes"),
        ({"limits": 4}, "limits"),
    ],
)
def test_invalid_configuration_is_reported_in_one_message(changed, says, tmp_path):
    with pytest.raises(ConfigurationError, match=says):
        load_configuration(file(tmp_path, **changed), {})


@pytest.mark.parametrize(
    ("nested", "pairs"),
    [
        ({"a": {"b": 1}}, {"a.b": 1}),
        ({"a": ["x", "y"]}, {"a": ["x", "y"]}),
        ({"a": [{"b": 1}, {"b": 2}]}, {"a": [], "a.count": 2, "a.0.b": 1, "a.1.b": 2}),
    ],
)
def test_nested_settings_are_flattened_to_paths(nested, pairs):
    assert flatten_settings(nested) == pairs


def test_log_does_not_block_on_a_full_pipe():
    read_end, write_end = os.pipe()
    log = Log(write_end, "n1")
    for n in range(2_000):
        log("event", n=n, text="x" * 100)
    lost = log.lost
    while len(os.read(read_end, 65536)) == 65536:
        pass
    log("after")
    assert lost and orjson.loads(os.read(read_end, 65536).splitlines()[-1])["lost"] == lost


def test_log_line_that_cannot_be_encoded_is_replaced():
    read_end, write_end = os.pipe()
    Log(write_end, "n1")("event", text="\ud800")
    assert orjson.loads(os.read(read_end, 4096))["of"] == "event"


@pytest.mark.parametrize(
    ("phase", "to"),
    [(Phase.STARTING, Phase.SERVING), (Phase.SERVING, Phase.FINISHING), (Phase.LEAVING, Phase.WAITING)],
)
def test_phase_out_of_order_is_refused(phase, to):
    entered = []
    lifecycle = Lifecycle(entered.append)
    lifecycle.phase = phase
    with pytest.raises(PhaseOrderError):
        lifecycle.enter(to)
    assert to not in NEXT_PHASES[phase] and lifecycle.phase == phase and not entered


@pytest.mark.parametrize(
    ("answered", "impatient", "state", "can"),
    [
        (True, False, "ready", True),
        (False, False, "ready", False),
        (False, True, "ready", True),
        (True, True, "draining", False),
    ],
)
def test_can_serve_needs_a_ready_worker_and_a_current_list(answered, impatient, state, can):
    rig = Rig()
    router, _ = router_with_workers(rig)
    next(iter(router.endpoints.values())).state = state
    discovery = SimpleNamespace(task=object(), answered=answered)
    dispatcher = SimpleNamespace(router=router, discovery=discovery, fleet=None, recovery=None)
    assert can_serve(dispatcher, impatient) == can


@pytest.mark.parametrize(
    ("changed", "moves", "event"),
    [
        ({"discovery": "127.0.0.1:8501"}, 1, "configuration_loaded"),
        ({}, 0, "configuration_loaded"),
        ({"listen": "127.0.0.1:7071"}, 0, "configuration_loaded"),
        ({"seed": None}, 0, "configuration_rejected"),
        ({"settings": {}}, 0, "configuration_rejected"),
        ({"limits": {"sockets": "x"}}, 0, "configuration_rejected"),
        (None, 0, "configuration_rejected"),
    ],
)
def test_reload_moves_discovery_and_an_invalid_file_changes_nothing(changed, moves, event, tmp_path):
    # Guards against SIGHUP ending the process with its open jobs.
    rig = Rig()
    path = file(tmp_path, limits={"sockets": 64})
    dispatcher = Dispatcher(load_configuration(path, {}), rig.log, lambda: load_configuration(path, {}))
    dispatcher.discovery.follow()
    task, client_limit = dispatcher.discovery.task, dispatcher.budget.limits["clients"]
    read_end, write_end = os.pipe()
    signals = dispatcher.loop.spawn(watch_signals(read_end, dispatcher.reload_configuration, dispatcher.wake))
    dispatcher.lifecycle_task = dispatcher.loop.spawn(iter(()))
    if changed is None:
        os.remove(path)
    else:
        file(tmp_path, **{"limits": {"sockets": 128}, **changed})
    for _ in range(2):
        os.write(write_end, bytes([signal.SIGHUP]))
        dispatcher.loop.run_once(0)
        dispatcher.loop.run_once(0)
    assert (dispatcher.discovery.task is not task) == bool(moves) and not signals.ended
    assert dispatcher.discovery.address == ("127.0.0.1", 8500 + moves) and task.ended == bool(moves)
    assert [
        logged_event for logged_event, _ in rig.logged if logged_event.startswith("configuration")
    ] == 2 * [event]
    assert (dispatcher.budget.limits["clients"] > client_limit) == (event == "configuration_loaded")
    needs_restart = next(fields for logged_event, fields in rig.logged if logged_event == event).get(
        "needs_restart", []
    )
    assert needs_restart == (["listen"] if changed and "listen" in changed else [])


@pytest.mark.parametrize("sent", [True, False])
def test_launch_that_raises_an_error_still_ends(sent):
    rig = Rig()
    router, _ = router_with_workers(rig)
    job, _ = arrive_job(rig, router)
    launch = job.launches[0]
    launch.sent, launch.endpoint.address = sent, None
    rig.inbox.items.clear()
    assert list(router.run_launch(launch, launch.created_at)) == []
    ended = rig.inbox.items[-1]
    assert type(ended) is LaunchEnded and ended[:2] == (launch, "error" if sent else "unsent")


@pytest.mark.parametrize(
    ("words", "code", "says"),
    [
        (["check", "--config", "nowhere.json"], 2, "nowhere.json: No such file"),
        (["serve", "--config", "nowhere.json"], 2, "nowhere.json: No such file"),
        (["check"], 2, "no configuration"),
        (["version"], 0, "mastledge "),
    ],
)
def test_command_line_reports_errors_in_one_line(words, code, says, monkeypatch, capsys):
    monkeypatch.delenv("GW_CONFIG", raising=False)
    monkeypatch.setattr("sys.argv", ["mastledge", *words])
    assert main() == code
    printed = "".join(capsys.readouterr())
    assert says in printed and printed.count("\n") == 1


@pytest.mark.parametrize(
    ("answered", "longest", "status"), [(True, 900_000, b"200"), (False, 300_000, b"503")]
)
def test_shutdown_finishes_open_jobs_within_its_time_limit(answered, longest, status, tmp_path, monkeypatch):
    times = {"ACCEPT_FOR_US": 20_000, "LONGEST_WAIT_US": longest, "EXIT_MARGIN_US": 50_000}
    for name, duration_us in times.items():
        monkeypatch.setattr(graceful_shutdown, name, duration_us)
    monkeypatch.setattr(serving, "FIRST_LIST_TIMEOUT_US", 0)
    peer, sock = peer_at()
    free_socket = listen((HERE, 0))
    address = f"{HERE}:{free_socket.getsockname()[1]}"
    free_socket.close()
    known = known_workers(peer.address[1])
    rig = Rig()
    # The scheduler gives up two steps before the end: a short pause of the machine must not skip both.
    settings = {**GOOD["settings"], "stepMs": 40.0}
    dispatcher = Dispatcher(
        load_configuration(file(tmp_path, listen=address, known=known, settings=settings), {}), rig.log
    )
    rig.loop = dispatcher.loop
    dispatcher.begin()
    assert rig.turn(lambda: dispatcher.phase == Phase.SERVING)
    busy, idle = (socket.create_connection(dispatcher.configuration["listen"], 2) for _ in range(2))
    busy.sendall(helpers.job(X_Remaining_Ms=4000))
    worker_side, _ = rig.called(sock)
    dispatcher.stop_requested = True
    rig.loop.wake(dispatcher.lifecycle_task)
    assert rig.turn(lambda: dispatcher.phase == Phase.LEAVING)
    # All dispatchers may shut down at once: connected clients are still served while there is time.
    idle.sendall(b"GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"close" not in rig.reply(idle)
    if answered:
        raw = b'{"id":"9b1f","state":"done","result":"r"}\n'
        worker_side.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(raw), raw))
    reply = rig.reply(busy)
    busy.close()
    assert (
        rig.turn(lambda: not dispatcher.loop.running) and dispatcher.phase == Phase.ENDED and not rig.errors
    )
    assert reply.startswith(b"HTTP/1.1 " + status)
    assert (b"connection: close" in reply.lower()) != answered
    assert idle.recv(1) == b"" and not dispatcher.router.faults


OTHER_SETTINGS = {
    **GOOD["settings"],
    "balancers": 16,
    "discovery": "on_request",
    "zones": ["far", "z"],
    "locality": 1,
    "familyInfo": {"tellsStart": False},
    "loadInfo": {"how": "piggyback", "fields": ["backlog", "x0"]},
    "limits": {**GOOD["settings"]["limits"], "peerMessages": True},
    "prices": {"peer": 0.01},
    "scoreParts": {"tailPart": 0.3, "borneMisses": 0.02},
    "queueTypes": [{**GOOD["settings"]["queueTypes"][0], "name": "file-final", "idempotency": "side_effect"}],
}


def answers(sock, job_id):
    raw = b'{"id":"%s","state":"done","result":"r","load":{"queue":0,"x0":2,"x1":"no figure"}}\n' % job_id
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(raw), raw))


def test_reload_changes_settings_and_back_with_open_jobs(tmp_path, monkeypatch):
    # Guards against a reload that only reports changed settings, so that each change needs a restart.
    monkeypatch.setattr(serving, "FIRST_LIST_TIMEOUT_US", 0)
    peer, sock = peer_at()
    free_socket = listen((HERE, 0))
    address = f"{HERE}:{free_socket.getsockname()[1]}"
    free_socket.close()
    known = {
        "generation": 1,
        "reset": True,
        "instances": [
            {
                "instanceId": "s-1",
                "hostPort": f"{HERE}:{peer.address[1]}",
                "zone": "z",
                "machineType": "k",
                "cell": 0,
                "lifecycle": "ready",
                "weight": 1.0,
                "startedAtMs": 0,
            }
        ],
    }
    rig = Rig()
    path = file(tmp_path, listen=address, known=known)
    dispatcher = Dispatcher(load_configuration(path, {}), rig.log, lambda: load_configuration(path, {}))
    rig.loop = dispatcher.loop
    dispatcher.begin()
    assert rig.turn(lambda: dispatcher.phase == Phase.SERVING)
    clients, name = [], GOOD["settings"]["queueTypes"][0]["name"]

    def send_job(path, txn):
        clients.append(socket.create_connection(dispatcher.configuration["listen"], 2))
        clients[-1].sendall(helpers.job(path, X_Txn=txn, X_Remaining_Ms=4000))
        return rig.called(sock)

    open_before, head = send_job(f"/{name}", "aa01")
    assert b"aa01" in head
    file(tmp_path, listen=address, known=known, settings=OTHER_SETTINGS)
    dispatcher.reload_configuration()
    open_between, head = send_job("/file-final", "aa02")
    assert b"aa02" in head and dispatcher.router.scheduler.settings["report_how"] == "piggyback"
    assert dispatcher.router.scheduler.settings["may_message"] is False
    assert dispatcher.router.scheduler.settings["zone"] == dispatcher.router.scheduler.ready[0].zone
    answers(open_before, b"aa01")
    assert rig.reply(clients[0]).startswith(b"HTTP/1.1 200")
    file(tmp_path, listen=address, known=known)
    dispatcher.reload_configuration()
    answers(open_between, b"aa02")
    assert rig.reply(clients[1]).startswith(b"HTTP/1.1 200")
    clients.append(socket.create_connection(dispatcher.configuration["listen"], 2))
    clients[2].sendall(helpers.job("/file-final", X_Txn="aa03"))
    assert rig.reply(clients[2]).startswith(b"HTTP/1.1 404")
    assert [fields["settings"] for event, fields in rig.logged if event == "configuration_loaded"] == [
        True,
        True,
    ]
    assert (
        dispatcher.router.job_table.totals["completed"] == 2
        and not dispatcher.router.jobs
        and not dispatcher.router.faults
    )
    assert (
        dispatcher.router.job_table.count == 2
        and dispatcher.configuration["settings"] == load_configuration(path, {})["settings"]
    )
    for open_socket in (*clients, open_before, open_between, sock, dispatcher.listening_socket):
        open_socket.close()


@pytest.mark.parametrize(
    ("changed", "says"),
    [
        ({"queueTypes": [{**GOOD["settings"]["queueTypes"][0], "idempotency": "perhaps"}]}, "idempotency"),
        ({"queueTypes": 2 * GOOD["settings"]["queueTypes"]}, "stands twice"),
        ({"prices": {"peer": "nan"}}, "prices.peer"),
        ({"scoreParts": {"borneMisses": -1}}, "borneMisses"),
        ({"balancers": 0}, "balancers"),
    ],
)
def test_reload_with_invalid_settings_changes_nothing(changed, says, tmp_path):
    rig = Rig()
    path = file(tmp_path)
    dispatcher = Dispatcher(load_configuration(path, {}), rig.log, lambda: load_configuration(path, {}))
    before = dispatcher.configuration["settings"]
    file(tmp_path, settings={**GOOD["settings"], **changed})
    dispatcher.reload_configuration()
    ((event, fields),) = rig.logged
    assert event == "configuration_rejected" and says in fields["why"] and "\n" not in fields["why"]
    assert dispatcher.configuration["settings"] is before and not any(
        isinstance(item, SettingsChanged) for item in dispatcher.inbox.items
    )


def test_settings_for_decisions_disable_peer_messages():
    assert settings_for_decisions({"may_message": True, "queue_types": []})["may_message"] is False


@pytest.mark.parametrize(
    ("hidden", "words", "says"),
    [
        ("msgspec", ["serve"], "peers needs msgspec: pip install -r requirements-fleet.txt"),
        ("numpy", ["lab", "names"], "the laboratory needs numpy: pip install -r requirements-lab.txt"),
    ],
)
def test_missing_package_is_reported_in_one_line(hidden, words, says, tmp_path):
    (tmp_path / "hidden").mkdir()
    (tmp_path / "hidden" / f"{hidden}.py").write_text(f"raise ModuleNotFoundError(name={hidden!r})\n")
    peers = {"listen": f"{HERE}:1", "members": {"n0": f"{HERE}:1"}, "folder": str(tmp_path / "kept")}
    if words == ["serve"]:
        words = ["serve", "--config", str(file(tmp_path, name="n0", peers=peers))]
    env = {**os.environ, "PYTHONPATH": str(tmp_path / "hidden")}
    completed = subprocess.run(
        [sys.executable, "-B", "-m", "mastledge", *words], capture_output=True, text=True, env=env
    )
    assert completed.returncode == 2 and completed.stderr == f"mastledge: {says}\n"


def listed_entry(number, state="ready", started_at=0):
    address = (f"127.1.{number // 250 % 250}.{number % 250 + 1}", 1)
    return (f"w-{number}", address, 0, state, started_at, 0, 0, 1.0)


def router_with_list(rig, entries):
    router, _ = router_with_workers(rig, listed=0)
    router.on_endpoints_changed(rig.loop.now(), EndpointsChanged("whole", entries))
    return router


def put_job(rig):
    exchange = Exchange()
    exchange.answer, exchange.name, exchange.kind = lambda *answer: None, "9b1f", "render"
    exchange.until = rig.loop.now() + 5_000_000
    exchange.method, exchange.target, exchange.headers, exchange.body = b"POST", b"/render", [], b""
    rig.inbox.put(JobArrived(exchange, (0, 100_000, 0, 1.0, 0.0, 0, 5_000_000)))


def test_job_behind_many_queued_changes_is_launched_without_a_hold_up():
    # Guards against a turn that handles thousands of single changes one by one before any job.
    rig, workers, replaced = Rig(), 3_200, 1_920
    router = router_with_list(rig, [listed_entry(number) for number in range(workers)])
    for number in range(replaced):
        rig.inbox.put(EndpointsChanged("changes", [listed_entry(number, "gone")]))
        rig.inbox.put(EndpointsChanged("changes", [listed_entry(workers + number)]))
    put_job(rig)
    began = time.thread_time()
    next(router.run())
    assert time.thread_time() - began < 0.15  # for which a dispatcher may be held up
    assert not router.faults
    assert len(router.jobs[1].launches) == 1
    assert {endpoint.id for endpoint in router.endpoints.values()} == {
        f"w-{number}" for number in range(replaced, workers + replaced)
    }


@pytest.mark.parametrize("seed", range(5))
def test_queued_changes_lead_to_the_same_list_as_changes_one_by_one(seed):
    # Guards against a lost, doubled or reordered change where several are handled at once.
    source, rig, listed = random.Random(seed), Rig(), [listed_entry(number) for number in range(30)]
    at_once, one_by_one = router_with_list(rig, listed), router_with_list(Rig(), listed)
    run = at_once.run()
    next(run)
    for _ in range(20):
        changes = [EndpointsChanged("changes", [])] * source.randrange(2)
        for _ in range(source.randrange(1, 12)):
            numbers = [source.randrange(40) for _ in range(source.randrange(1, 4))]
            states = [source.choice(["ready", "ready", "draining", "gone"]) for _ in numbers]
            entries = [listed_entry(*pair) for pair in zip(numbers, states, strict=True)]
            kind = "whole" if source.random() < 0.1 else "changes"
            changes.append(EndpointsChanged(kind, entries))
        for change in changes:
            rig.inbox.put(change)
            one_by_one.on_endpoints_changed(rig.loop.now(), change)
        next(run)
        states = [
            {endpoint.id: endpoint.state for endpoint in router.endpoints.values()}
            for router in (at_once, one_by_one)
        ]
        assert not (at_once.faults or one_by_one.faults)
        assert states[0] == states[1]
        ready = [{worker.id.id for worker in router.scheduler.ready} for router in (at_once, one_by_one)]
        assert ready[0] == ready[1] == {id for id, state in states[0].items() if state == "ready"}
        assert at_once.endpoint_table.by_id.keys() == states[0].keys()
