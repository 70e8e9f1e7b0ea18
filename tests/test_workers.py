"""Launches on workers, and the list of them."""

import socket
import struct

import orjson
import pytest
from helpers import Rig, peer_at, workers

from mastledge.protocol import worker_connections as protocol_workers
from mastledge.protocol.discovery import Discovery
from mastledge.protocol.errors import EndpointListError, LaunchWithheldError
from mastledge.protocol.events import LaunchEnded, LaunchSilent
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


def line(state, job_id="9b1f", **more):
    raw = orjson.dumps({"id": job_id, "from": "s-1", "state": state, **more}) + b"\n"
    return b"%x\r\n%s\r\n" % (len(raw), raw)


def plain(status, extra=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n" % (status, extra)


def exchange(body=b"x", once=False):
    made = Exchange()
    made.run_once = once
    made.method, made.target, made.headers, made.body = b"POST", b"/render?a=1", [(b"x-txn", b"9b1f")], body
    return made


def launched(rig, made, peer, patience=5_000_000, body=b"x", once=False):
    until = rig.loop.now() + patience
    launch = Launch(until)
    rig.loop.spawn(made.launch(peer, launch, exchange(body, once), until))
    return launch


def outcome(rig):
    assert rig.turn(lambda: any(isinstance(item, LaunchEnded) for item in rig.inbox.items))
    return [item[1:] for item in rig.inbox.items if isinstance(item, LaunchEnded)][0]


@pytest.mark.parametrize(
    ("answer", "how", "kept"),
    [
        (
            CHUNKED + line("started") + line("running", share=0.5) + line("done", result="r") + b"0\r\n\r\n",
            "completed",
            True,
        ),
        (CHUNKED + line("failed") + b"0\r\n\r\n", "error", True),
        (CHUNKED + line("returned") + b"0\r\n\r\n", "full", True),
        (CHUNKED + line("lost") + b"0\r\n\r\n", "lost", False),
        (CHUNKED + line("started") + b"0\r\n\r\n", "lost", False),
        (CHUNKED + line("started"), "lost", False),
        (CHUNKED + line("started").replace(b"\n\r\n", b" \r\n") + b"0\r\n\r\n", "lost", None),
        (b"HTTP/1.1 102 Processing\r\n\r\n" + plain(500), "error", True),
        (b"", "lost", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Enc", "lost", False),
        (b"no HTTP at all\r\n\r\n", "lost", False),
        (plain(500), "error", True),
        (plain(503, b"X-Turned-Away: 1\r\n"), "full", True),
        (plain(504, b"X-Turned-Away: 1\r\n"), "full", True),
        (plain(503), "error", True),
        (plain(400), "error", True),
        (CHUNKED + b"3\r\n{]\n\r\n", "error", None),
        (CHUNKED + b"4\r\n[1]\n\r\n", "error", None),
        (CHUNKED + line("done", "other", result="r"), "error", None),
        (CHUNKED + line("done"), "error", None),
        (CHUNKED + line("dreaming"), "error", None),
        (CHUNKED + line("started") + b"zz\r\n", "lost", False),
        (OPEN, "timeout", False),
    ],
    ids=range(23),
)
def test_each_end_of_a_launch_is_told_once(answer, how, kept):
    rig = Rig()
    peer, sock = peer_at()
    launched(rig, workers(rig), peer, 100_000 if answer is OPEN else 5_000_000)
    theirs, request = rig.called(sock)
    assert request.startswith(b"POST /render?a=1 HTTP/1.1\r\n")
    if answer is not OPEN:
        theirs.sendall(answer)
        if kept is False:
            theirs.close()
    assert outcome(rig)[0] == how
    rig.turn(lambda: bool(peer.idle) == bool(kept) == bool(rig.budget.used["workers"]))
    assert [type(item) for item in rig.inbox.items].count(LaunchEnded) == 1
    assert len(peer.idle) == bool(kept) == rig.budget.used["workers"] and not rig.errors


def test_a_launch_that_a_worker_does_not_even_take_is_told_as_silent():
    # Its connection may be dead: until its walltime it was taken for a job in a long queue.
    rig = Rig()
    peer, sock = peer_at()
    made = workers(rig)
    made.answers.patience_us = 20_000
    launch = launched(rig, made, peer)
    theirs, _ = rig.called(sock)
    assert rig.turn(lambda: len(rig.inbox.items) > 1)
    assert {(type(item), *item) for item in rig.inbox.items} == {(LaunchSilent, launch)}
    theirs.sendall(CHUNKED + line("done", result="r") + b"0\r\n\r\n")
    assert outcome(rig)[0] == "completed"


def test_a_refused_connection_is_unreachable():
    rig = Rig()
    peer, sock = peer_at()
    sock.close()
    launch = launched(rig, workers(rig), peer)
    assert outcome(rig)[0] == "unreachable" and not launch.sent and rig.budget.used["workers"] == 0


def test_a_request_not_wholly_written_never_ran():
    rig = Rig()
    peer, sock = peer_at()
    launch = launched(rig, workers(rig), peer, body=bytes(8_000_000))
    rig.called(sock)[0].close()
    assert outcome(rig)[0] == "unreachable" and not launch.sent


@pytest.mark.parametrize("how", ["no socket", "no time"])
def test_what_says_nothing_of_the_worker_is_unsent(how):
    # Without descriptors or time left no worker must be taken for dead.
    rig = Rig(sockets=0)
    peer, _ = peer_at()
    while how == "no socket" and rig.budget.acquire("workers"):
        pass
    launched(rig, workers(rig), peer, 500_000 if how == "no socket" else 1_000, bytes(8_000_000))
    assert outcome(rig)[0] == "unsent"


def idle(rig, made, peer, sock):
    launched(rig, made, peer)
    theirs, _ = rig.called(sock)
    theirs.sendall(plain(500))
    assert rig.turn(lambda: peer.idle)
    rig.inbox.items.clear()
    return theirs


def test_an_idle_connection_carries_the_next_launch():
    rig = Rig()
    peer, sock = peer_at()
    made = workers(rig)
    theirs = idle(rig, made, peer, sock)
    launched(rig, made, peer)
    assert rig.reply(theirs).startswith(b"POST")
    theirs.sendall(plain(500))
    assert outcome(rig)[0] == "error" and rig.budget.used["workers"] == 1


@pytest.mark.parametrize(
    ("once", "answer", "how", "sent"),
    [
        (True, None, "unsent", False),
        (False, None, "dropped", True),
        (False, CHUNKED + line("started"), "lost", True),
    ],
)
def test_a_kept_connection_that_breaks_at_the_next_launch(once, answer, how, sent, monkeypatch):
    # Workers end idle connections at will: what may run once only must not count as run for that, and no
    # worker is to be set aside for it. One that has begun to answer is another matter.
    rig = Rig()
    peer, sock = peer_at()
    made = workers(rig)
    theirs = idle(rig, made, peer, sock)
    monkeypatch.setattr(protocol_workers, "REFUSAL_US", 1_000_000)
    launch = launched(rig, made, peer, once=once)
    request = rig.reply(theirs)
    if answer:
        theirs.sendall(answer)
        assert rig.turn(lambda: rig.inbox.items)
        rig.inbox.items.clear()
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    theirs.close()
    assert outcome(rig)[0] == how and launch.sent == sent
    assert request.endswith(b"\r\n\r\n" + (b"" if once else b"x"))


@pytest.mark.parametrize(
    ("once", "breaks", "fresh"), [(True, 0.0, False), (True, 0.1, True), (False, 0.1, False)]
)
def test_run_once_jobs_get_new_connections_while_kept_ones_break(once, breaks, fresh):
    # A kept one that breaks at the last byte leaves a run-once job that may have run, and it is killed.
    rig = Rig()
    peer, sock = peer_at()
    made = workers(rig)
    theirs = idle(rig, made, peer, sock)
    made.idle.reuse.break_rate = breaks
    launched(rig, made, peer, once=once)
    if fresh:
        assert rig.called(sock)[1].startswith(b"POST") and 0 < made.idle.reuse.break_rate < breaks
    else:
        assert rig.reply(theirs).startswith(b"POST")


def test_breaks_of_kept_connections_are_counted_and_fade():
    rig = Rig()
    peer, sock = peer_at()
    made = workers(rig)
    idle(rig, made, peer, sock).close()
    rig.turn(lambda: not peer.idle)
    theirs = idle(rig, made, peer, sock)
    assert made.idle.reuse.break_rate == 0
    launched(rig, made, peer)
    rig.reply(theirs)
    theirs.close()
    assert outcome(rig)[0] == "dropped" and made.idle.reuse.break_rate > MAX_BREAK_RATE
    before = made.idle.reuse.break_rate
    theirs = idle(rig, made, peer, sock)
    launched(rig, made, peer)
    rig.reply(theirs)
    theirs.sendall(plain(500))
    assert outcome(rig)[0] == "error" and made.idle.reuse.break_rate < before


def test_the_last_byte_of_a_run_once_job_follows_when_the_connection_holds():
    rig = Rig()
    peer, sock = peer_at()
    launch = launched(rig, workers(rig), peer, once=True)
    theirs, request = rig.called(sock)
    assert not launch.sent and (request + rig.reply(theirs)).endswith(b"\r\n\r\nx") and launch.sent


@pytest.mark.parametrize("why", ["closed by the worker", "said something", "old", "hung up", "evicted"])
def test_an_idle_connection_that_may_not_last_is_given_up(why):
    rig = Rig()
    peer, sock = peer_at()
    made = workers(rig)
    made.idle.max_idle_us = 20_000 if why == "old" else made.idle.max_idle_us
    theirs = idle(rig, made, peer, sock)
    if why == "closed by the worker":
        theirs.close()
    elif why == "said something":
        theirs.sendall(b"x")
    elif why == "hung up":
        made.close_idle(peer)
    elif why == "evicted":
        rig.budget.evict("workers")
    assert rig.turn(lambda: not peer.idle) and rig.budget.used["workers"] == 0
    assert not rig.budget.idle["workers"] and not rig.errors


def discovery(rig, address=("127.0.0.1", 1), asked=False):
    words = {"zones": ["z"], "kinds": ["k"], "unix_now": rig.loop.now() + 5_000_000_000, "asked": asked}
    return Discovery(rig.loop, rig.budget, rig.inbox, address, words, rig.log)


def told(generation=3, reset=False, **changed):
    one = {
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
    return {"generation": generation, "reset": reset, "instances": [one]}


@pytest.mark.parametrize(
    ("zone", "kind", "started", "says"),
    [("z", "k", 0, (0, 0, 0)), ("new", "k", 0, (1, 0, 0)), ("z", "new", 5_001_000, (0, 1, 1_000_000))],
)
def test_an_entry_becomes_plain_values(zone, kind, started, says):
    rig = Rig()
    made = discovery(rig)
    made.since = 5_000_000_000
    entry = made.parse_entry(told(zone=zone, machineType=kind, startedAtMs=started)["instances"][0])
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
def test_a_bad_entry_spoils_a_change_but_not_a_whole_list(changed, whole):
    rig = Rig()
    made, list_ = discovery(rig), told(**changed)
    list_["instances"].append(told(instanceId="s-2")["instances"][0])
    if whole is None:
        with pytest.raises(EndpointListError):
            made.apply(list_)
        assert not rig.inbox.items and made.generation is None
    else:
        made.apply(list_, whole)
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
def test_a_list_of_another_shape_is_bad(list_):
    rig = Rig()
    with pytest.raises(EndpointListError):
        discovery(rig).apply(list_)
    assert not rig.inbox.items


@pytest.mark.parametrize(
    ("answers", "kinds", "asks"),
    [
        ([CHUNKED + b"1\r\n\n\r\n"], ["changes"], [b"follow=1&since=7"]),
        ([CHUNKED + b"5\r\n{bad\n\r\n", plain(200)], ["changes", "failed"], [b"since=7", b"instances HTTP"]),
        ([plain(500), CHUNKED], ["failed", "changes"], [b"follow=1&since=7", b"follow=1&since=7"]),
        ([b"", CHUNKED], ["failed", "changes"], [b"follow=1&since=7", b"follow=1&since=7"]),
    ],
    ids=["empty line", "bad line", "refused", "broken"],
)
def test_the_watch_is_taken_up_again_where_it_broke(answers, kinds, asks):
    rig = Rig()
    peer, sock = peer_at()
    made = discovery(rig, peer.address)
    made.generation = 7
    made.follow()
    for answer, ask in zip(answers, asks, strict=True):
        theirs, request = rig.called(sock)
        assert ask in request
        theirs.sendall(answer)
        if answer != CHUNKED:
            theirs.close()
    rig.turn(lambda: len([item for item in rig.inbox.items if item.kind in kinds]) >= len(kinds), 500_000)
    assert [item.kind for item in rig.inbox.items][: len(kinds)] == kinds


def test_idle_connections_to_an_unreachable_worker_are_not_kept():
    rig = Rig()
    peer, sock = peer_at()
    made = workers(rig)
    theirs = idle(rig, made, peer, sock)
    sock.close()
    made.idle.take = lambda peer, run_once: None
    launched(rig, made, peer)
    assert outcome(rig)[0] == "unreachable" and not peer.idle and theirs.recv(1) == b""


@pytest.mark.parametrize(
    ("lawful", "out", "left", "how"),
    [
        (False, False, 1_000, LaunchWithheldError),
        (True, True, 1_000, LaunchWithheldError),
        (True, False, 0, WaitTimeoutError),
    ],
)
def test_the_last_byte_is_withheld_without_lease_from_who_is_out_and_after_its_time(lawful, out, left, how):
    # A process that was stopped may wake with the walltime over, and its lease not.
    rig, peer = Rig(), WorkerEndpoint("s-1", out)
    made = workers(rig)
    made.rule = type("Rule", (), {"may_act": lambda self, now: lawful})()
    near, far = socket.socketpair()
    with near, far, pytest.raises(how):
        conn = type("Conn", (), {"sock": near, "fd": near.fileno()})()
        next(made.write_while_lawful(conn, peer, b"x", rig.loop.now() + left))
