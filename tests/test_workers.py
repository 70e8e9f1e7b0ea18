"""Tests of launches on workers and of the endpoint list from discovery."""

import socket
import struct

import orjson
import pytest
from helpers import Rig, peer_at, workers

from mastledge.protocol import worker_connections as protocol_workers
from mastledge.protocol.discovery import Discovery
from mastledge.protocol.errors import EndpointListError, LaunchWithheldError
from mastledge.protocol.events import LaunchEnded, LaunchUnconfirmed
from mastledge.protocol.idle_connections import MAX_BREAK_RATE
from mastledge.protocol.requests import Exchange
from mastledge.protocol.worker_endpoint import WorkerEndpoint
from mastledge.transport.errors import WaitTimeoutError

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STATS = b"HTTP/1.1 200 OK\r\nContent-Length: "
OPEN = object()


class Launch:
    name, sent, conn, headed = "9b1f", False, None, False

    def __init__(self, send_by):
        self.send_by = send_by


def chunked_line(state, job_id="9b1f", **more):
    raw = orjson.dumps({"id": job_id, "from": "s-1", "state": state, **more}) + b"\n"
    return b"%x\r\n%s\r\n" % (len(raw), raw)


def empty_response(status, extra=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n" % (status, extra)


def exchange(body=b"x", once=False):
    job = Exchange()
    job.run_once = once
    job.method, job.target, job.headers, job.body = b"POST", b"/render?a=1", [(b"x-txn", b"9b1f")], body
    return job


def start_launch(rig, connections, endpoint, patience=5_000_000, body=b"x", once=False):
    until = rig.loop.now() + patience
    launch = Launch(until)
    rig.loop.spawn(connections.launch(endpoint, launch, exchange(body, once), until))
    return launch


def ended_launch(rig):
    assert rig.turn(lambda: any(isinstance(item, LaunchEnded) for item in rig.inbox.items))
    return [item[1:] for item in rig.inbox.items if isinstance(item, LaunchEnded)][0]


@pytest.mark.parametrize(
    ("answer", "how", "kept"),
    [
        (
            CHUNKED
            + chunked_line("started")
            + chunked_line("running", share=0.5)
            + chunked_line("done", result="r")
            + b"0\r\n\r\n",
            "completed",
            True,
        ),
        (CHUNKED + chunked_line("failed") + b"0\r\n\r\n", "error", True),
        (CHUNKED + chunked_line("returned") + b"0\r\n\r\n", "full", True),
        (CHUNKED + chunked_line("lost") + b"0\r\n\r\n", "lost", False),
        (CHUNKED + chunked_line("started") + b"0\r\n\r\n", "lost", False),
        (CHUNKED + chunked_line("started"), "lost", False),
        (CHUNKED + chunked_line("started").replace(b"\n\r\n", b" \r\n") + b"0\r\n\r\n", "lost", None),
        (b"HTTP/1.1 102 Processing\r\n\r\n" + empty_response(500), "error", True),
        (b"", "lost", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Enc", "lost", False),
        (b"no HTTP at all\r\n\r\n", "lost", False),
        (empty_response(500), "error", True),
        (empty_response(503, b"X-Turned-Away: 1\r\n"), "full", True),
        (empty_response(504, b"X-Turned-Away: 1\r\n"), "full", True),
        (empty_response(503), "error", True),
        (empty_response(400), "error", True),
        (CHUNKED + b"3\r\n{]\n\r\n", "error", None),
        (CHUNKED + b"4\r\n[1]\n\r\n", "error", None),
        (CHUNKED + chunked_line("done", "other", result="r"), "error", None),
        (CHUNKED + chunked_line("done"), "error", None),
        (CHUNKED + chunked_line("dreaming"), "error", None),
        (CHUNKED + chunked_line("started") + b"zz\r\n", "lost", False),
        (OPEN, "timeout", False),
    ],
    ids=range(23),
)
def test_each_launch_ends_with_one_event(answer, how, kept):
    rig = Rig()
    endpoint, sock = peer_at()
    start_launch(rig, workers(rig), endpoint, 100_000 if answer is OPEN else 5_000_000)
    worker_sock, request = rig.called(sock)
    assert request.startswith(b"POST /render?a=1 HTTP/1.1\r\n")
    if answer is not OPEN:
        worker_sock.sendall(answer)
        if kept is False:
            worker_sock.close()
    assert ended_launch(rig)[0] == how
    rig.turn(lambda: bool(endpoint.idle) == bool(kept) == bool(rig.budget.used["workers"]))
    assert [type(item) for item in rig.inbox.items].count(LaunchEnded) == 1
    assert len(endpoint.idle) == bool(kept) == rig.budget.used["workers"] and not rig.errors


def test_launch_without_confirmation_is_reported_silent():
    # The connection may be dead; such a launch counted as queued at the worker until its walltime ended.
    rig = Rig()
    endpoint, sock = peer_at()
    connections = workers(rig)
    connections.answers.confirmation_timeout_us = 20_000
    launch = start_launch(rig, connections, endpoint)
    worker_sock, _ = rig.called(sock)
    assert rig.turn(lambda: len(rig.inbox.items) > 1)
    assert {(type(item), *item) for item in rig.inbox.items} == {(LaunchUnconfirmed, launch)}
    worker_sock.sendall(CHUNKED + chunked_line("done", result="r") + b"0\r\n\r\n")
    assert ended_launch(rig)[0] == "completed"


def test_refused_connection_is_unreachable():
    rig = Rig()
    endpoint, sock = peer_at()
    sock.close()
    launch = start_launch(rig, workers(rig), endpoint)
    assert ended_launch(rig)[0] == "unreachable" and not launch.sent and rig.budget.used["workers"] == 0


def test_partly_written_request_counts_as_unsent():
    rig = Rig()
    endpoint, sock = peer_at()
    launch = start_launch(rig, workers(rig), endpoint, body=bytes(8_000_000))
    rig.called(sock)[0].close()
    assert ended_launch(rig)[0] == "unreachable" and not launch.sent


@pytest.mark.parametrize("how", ["no socket", "no time"])
def test_launch_without_descriptor_or_time_is_unsent(how):
    # A shortage of descriptors or time must not count against the worker.
    rig = Rig(sockets=0)
    endpoint, _ = peer_at()
    while how == "no socket" and rig.budget.acquire("workers"):
        pass
    start_launch(rig, workers(rig), endpoint, 500_000 if how == "no socket" else 1_000, bytes(8_000_000))
    assert ended_launch(rig)[0] == "unsent"


def open_idle_connection(rig, connections, endpoint, sock):
    start_launch(rig, connections, endpoint)
    worker_sock, _ = rig.called(sock)
    worker_sock.sendall(empty_response(500))
    assert rig.turn(lambda: endpoint.idle)
    rig.inbox.items.clear()
    return worker_sock


def test_idle_connection_is_reused_by_next_launch():
    rig = Rig()
    endpoint, sock = peer_at()
    connections = workers(rig)
    worker_sock = open_idle_connection(rig, connections, endpoint, sock)
    start_launch(rig, connections, endpoint)
    assert rig.reply(worker_sock).startswith(b"POST")
    worker_sock.sendall(empty_response(500))
    assert ended_launch(rig)[0] == "error" and rig.budget.used["workers"] == 1


@pytest.mark.parametrize(
    ("once", "answer", "how", "sent"),
    [
        (True, None, "unsent", False),
        (False, None, "dropped", True),
        (False, CHUNKED + chunked_line("started"), "lost", True),
    ],
)
def test_outcome_when_reused_connection_breaks(once, answer, how, sent, monkeypatch):
    # Workers may close idle connections at any time: a run-once job must not count as run for that, and it
    # must not count against the worker. After the start of an answer the launch is lost.
    rig = Rig()
    endpoint, sock = peer_at()
    connections = workers(rig)
    worker_sock = open_idle_connection(rig, connections, endpoint, sock)
    monkeypatch.setattr(protocol_workers, "RESET_MARGIN_US", 1_000_000)
    launch = start_launch(rig, connections, endpoint, once=once)
    request = rig.reply(worker_sock)
    if answer:
        worker_sock.sendall(answer)
        assert rig.turn(lambda: rig.inbox.items)
        rig.inbox.items.clear()
    worker_sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    worker_sock.close()
    assert ended_launch(rig)[0] == how and launch.sent == sent
    assert request.endswith(b"\r\n\r\n" + (b"" if once else b"x"))


@pytest.mark.parametrize(
    ("once", "breaks", "fresh"), [(True, 0.0, False), (True, 0.1, True), (False, 0.1, False)]
)
def test_run_once_jobs_get_new_connections_while_reused_ones_break(once, breaks, fresh):
    # If a reused connection breaks at the last byte, a run-once job may have run and is killed.
    rig = Rig()
    endpoint, sock = peer_at()
    connections = workers(rig)
    worker_sock = open_idle_connection(rig, connections, endpoint, sock)
    connections.idle.reuse.break_rate = breaks
    start_launch(rig, connections, endpoint, once=once)
    if fresh:
        assert rig.called(sock)[1].startswith(b"POST") and 0 < connections.idle.reuse.break_rate < breaks
    else:
        assert rig.reply(worker_sock).startswith(b"POST")


def test_break_rate_rises_with_breaks_and_falls_with_successes():
    rig = Rig()
    endpoint, sock = peer_at()
    connections = workers(rig)
    open_idle_connection(rig, connections, endpoint, sock).close()
    rig.turn(lambda: not endpoint.idle)
    worker_sock = open_idle_connection(rig, connections, endpoint, sock)
    assert connections.idle.reuse.break_rate == 0
    start_launch(rig, connections, endpoint)
    rig.reply(worker_sock)
    worker_sock.close()
    assert ended_launch(rig)[0] == "dropped" and connections.idle.reuse.break_rate > MAX_BREAK_RATE
    previous_rate = connections.idle.reuse.break_rate
    worker_sock = open_idle_connection(rig, connections, endpoint, sock)
    start_launch(rig, connections, endpoint)
    rig.reply(worker_sock)
    worker_sock.sendall(empty_response(500))
    assert ended_launch(rig)[0] == "error" and connections.idle.reuse.break_rate < previous_rate


def test_last_byte_of_run_once_job_is_sent_when_connection_stays_open():
    rig = Rig()
    endpoint, sock = peer_at()
    launch = start_launch(rig, workers(rig), endpoint, once=True)
    worker_sock, request = rig.called(sock)
    assert not launch.sent and (request + rig.reply(worker_sock)).endswith(b"\r\n\r\nx") and launch.sent


@pytest.mark.parametrize("why", ["closed by the worker", "said something", "old", "hung up", "evicted"])
def test_unusable_idle_connection_is_closed(why):
    rig = Rig()
    endpoint, sock = peer_at()
    connections = workers(rig)
    connections.idle.max_idle_us = 20_000 if why == "old" else connections.idle.max_idle_us
    worker_sock = open_idle_connection(rig, connections, endpoint, sock)
    if why == "closed by the worker":
        worker_sock.close()
    elif why == "said something":
        worker_sock.sendall(b"x")
    elif why == "hung up":
        connections.close_idle(endpoint)
    elif why == "evicted":
        rig.budget.evict("workers")
    assert rig.turn(lambda: not endpoint.idle) and rig.budget.used["workers"] == 0
    assert not rig.budget.idle["workers"] and not rig.errors


def discovery(rig, address=("127.0.0.1", 1), asked=False):
    settings = {"zones": ["z"], "kinds": ["k"], "unix_now": rig.loop.now() + 5_000_000_000, "asked": asked}
    return Discovery(rig.loop, rig.budget, rig.inbox, address, settings, rig.log)


def endpoint_message(generation=3, reset=False, **changed):
    instance = {
        "instanceId": "s-1",
        "hostPort": "10.1.0.18:7070",
        "zone": "z",
        "machineType": "k",
        "cell": 2,
        "lifecycle": "ready",
        "weight": 1.5,
        "startedAtMs": 0,
        **changed,
    }
    return {"generation": generation, "reset": reset, "instances": [instance]}


@pytest.mark.parametrize(
    ("zone", "kind", "started", "says"),
    [("z", "k", 0, (0, 0, 0)), ("new", "k", 0, (1, 0, 0)), ("z", "new", 5_001_000, (0, 1, 1_000_000))],
)
def test_entry_is_parsed_to_values(zone, kind, started, says):
    rig = Rig()
    client = discovery(rig)
    client.unix_offset_us = 5_000_000_000
    entry = client.parse_entry(
        endpoint_message(zone=zone, machineType=kind, startedAtMs=started)["instances"][0]
    )
    assert entry == ("s-1", ("10.1.0.18", 7070), says[0], "ready", says[2], says[1], 2, 1.5)


@pytest.mark.parametrize(
    "changed",
    [
        {"hostPort": "nowhere"},
        {"hostPort": "a.name:7070"},
        {"lifecycle": "odd"},
        {"cell": None},
        {"instanceId": 4},
        {"startedAtMs": "x"},
        {"zone": []},
    ],
)
@pytest.mark.parametrize("whole", [None, "whole"])
def test_invalid_entry_fails_a_change_but_is_skipped_in_a_whole_list(changed, whole):
    rig = Rig()
    client, message = discovery(rig), endpoint_message(**changed)
    message["instances"].append(endpoint_message(instanceId="s-2")["instances"][0])
    if whole is None:
        with pytest.raises(EndpointListError):
            client.apply(message)
        assert not rig.inbox.items and client.generation is None
    else:
        client.apply(message, whole)
        assert [entry[0] for entry in rig.inbox.items[0].entries] == ["s-2"]


@pytest.mark.parametrize(
    "list_",
    [
        {},
        {"generation": "1", "reset": False, "instances": []},
        {"generation": 1, "reset": False, "instances": None},
        {"generation": 1, "instances": []},
        {"generation": 1, "reset": False, "instances": [[]]},
    ],
)
def test_malformed_list_raises_endpoint_list_error(list_):
    rig = Rig()
    with pytest.raises(EndpointListError):
        discovery(rig).apply(list_)
    assert not rig.inbox.items


@pytest.mark.parametrize(
    ("answers", "kinds", "asks"),
    [
        ([CHUNKED + b"1\r\n\n\r\n"], ["changes"], [b"follow=1&since=7"]),
        (
            [CHUNKED + b"5\r\n{bad\n\r\n", empty_response(200)],
            ["changes", "failed"],
            [b"since=7", b"instances HTTP"],
        ),
        ([empty_response(500), CHUNKED], ["failed", "changes"], [b"follow=1&since=7", b"follow=1&since=7"]),
        ([b"", CHUNKED], ["failed", "changes"], [b"follow=1&since=7", b"follow=1&since=7"]),
    ],
    ids=["empty line", "bad line", "refused", "broken"],
)
def test_watch_resumes_after_failure(answers, kinds, asks):
    rig = Rig()
    endpoint, sock = peer_at()
    client = discovery(rig, endpoint.address)
    client.generation = 7
    client.follow()
    for answer, expected_request in zip(answers, asks, strict=True):
        worker_sock, request = rig.called(sock)
        assert expected_request in request
        worker_sock.sendall(answer)
        if answer != CHUNKED:
            worker_sock.close()
    rig.turn(lambda: len([item for item in rig.inbox.items if item.kind in kinds]) >= len(kinds), 500_000)
    assert [item.kind for item in rig.inbox.items][: len(kinds)] == kinds


def test_idle_connections_to_unreachable_worker_are_closed():
    rig = Rig()
    endpoint, sock = peer_at()
    connections = workers(rig)
    worker_sock = open_idle_connection(rig, connections, endpoint, sock)
    sock.close()
    connections.idle.take = lambda endpoint, run_once: None
    start_launch(rig, connections, endpoint)
    assert ended_launch(rig)[0] == "unreachable" and not endpoint.idle and worker_sock.recv(1) == b""


@pytest.mark.parametrize(
    ("lawful", "out", "left", "how"),
    [
        (False, False, 1_000, LaunchWithheldError),
        (True, True, 1_000, LaunchWithheldError),
        (True, False, 0, WaitTimeoutError),
    ],
)
def test_write_is_withheld_without_lease_to_excluded_worker_and_after_deadline(lawful, out, left, how):
    # A suspended process may resume after the end of the walltime while its lease is still valid.
    rig, endpoint = Rig(), WorkerEndpoint("s-1", out)
    connections = workers(rig)
    connections.lease_guard = type("Rule", (), {"may_act": lambda self, now: lawful})()
    local_sock, remote_sock = socket.socketpair()
    with local_sock, remote_sock, pytest.raises(how):
        conn = type("Conn", (), {"sock": local_sock, "fd": local_sock.fileno()})()
        next(connections.write_while_lawful(conn, endpoint, b"x", rig.loop.now() + left))
