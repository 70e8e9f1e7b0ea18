"""Jobs that outlast a process, handed on with both of their connections."""

import socket

import helpers
import pytest
from helpers import HERE
from test_upgrade import Pair, folder  # noqa: F401 - a fixture, which pytest finds by its name here

from mastledge.program import lifecycle
from mastledge.program.lifecycle import SERVING
from mastledge.transport import descriptor_passing
from mastledge.transport.listening import listen

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(state, **more):
    fields = "".join(f',"{name}":"{value}"' for name, value in more.items())
    raw = b'{"id":"c1","state":"%s"%s}\n' % (state.encode(), fields.encode())
    return b"%x\r\n%s\r\n" % (len(raw), raw)


class Handing(Pair):
    """A job open in the old process, which is about to end."""

    def __init__(self, path, folder, monkeypatch):  # noqa: F811 - the parameter is that fixture
        monkeypatch.setattr(lifecycle, "LONGEST", 300_000)
        monkeypatch.setattr(lifecycle, "LAST", 700_000)
        monkeypatch.setattr(lifecycle, "HANDS_ON", 500_000)
        super().__init__(path, folder)
        for served in self.both:
            served.rig.turn = self.turn
        # The old process takes the job before the new one listens.
        self.both, both = (self.old,), self.both
        self.client = self.old.connect()
        self.client.sendall(helpers.job(X_Txn="c1", X_Remaining_Ms=4000))
        self.worker, _ = self.old.rig.called(self.old.sock)
        self.both = both
        assert self.turn(lambda: self.new.made.phase == SERVING)

    def ends(self, until):
        self.old.made.stop_requested = True
        self.old.made.loop.wake(self.old.made.lifecycle_task)
        assert self.turn(until, 3_000_000)

    def logged(self, which, event):
        return [fields for what, fields in which.rig.logged if what == event]


@pytest.fixture
def handing(tmp_path, folder, monkeypatch):  # noqa: F811 - the parameter is that fixture
    made = Handing(tmp_path, folder, monkeypatch)
    yield made
    made.close()


@pytest.mark.parametrize(
    ("before", "after", "answer"),
    [
        (b"", CHUNKED + chunk("started") + chunk("done", result="r") + b"0\r\n\r\n", b"HTTP/1.1 200"),
        (CHUNKED + chunk("started"), chunk("done", result="r") + b"0\r\n\r\n", b"HTTP/1.1 200"),
        (CHUNKED + chunk("started") + chunk("running"), chunk("lost") + b"0\r\n\r\n", b"HTTP/1.1 500"),
        (CHUNKED, b"", b"HTTP/1.1 500"),
        (CHUNKED, b"nonsense\r\n", b"HTTP/1.1 500"),
    ],
)
def test_a_job_outlasts_its_process_and_gets_its_one_answer(before, after, answer, handing):
    # It ran for seconds, and was killed with the old process.
    handing.worker.sendall(before)
    handing.ends(lambda: handing.old.made.phase == "ended")
    assert [fields["how"] for fields in handing.logged(handing.old, "job_finished")] == ["handed_on"]
    assert handing.new.figures()["svc.in_progress"] == 1
    handing.old.made.upgrade_state.leave()
    handing.both = (handing.new,)
    handing.client.setblocking(False)
    with pytest.raises(BlockingIOError):
        handing.client.recv(1)
    if after:
        handing.worker.sendall(after)
    else:
        handing.worker.close()
    reply = handing.new.rig.reply(handing.client)
    assert reply.startswith(answer) and b"connection: close" in reply.lower()
    assert reply.endswith(b"\r\n\r\nr") == (answer == b"HTTP/1.1 200")
    figures = handing.new.figures()
    assert (figures["svc.passed.render"] == 1) == (answer == b"HTTP/1.1 200")
    assert figures["svc.in_progress"] == figures["svc.upstream_tries"] == 0
    handing.client.close()
    assert handing.turn(
        lambda: not handing.new.made.handoff.exchanges and not handing.new.made.listener.in_hand
    )


@pytest.mark.parametrize(
    "sent", [CHUNKED + chunk("started")[:-6], CHUNKED[:30], b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"]
)
def test_what_stands_at_no_clear_place_ends_as_before(sent, handing):
    handing.worker.sendall(sent)
    handing.ends(lambda: handing.old.made.phase == "ended")
    assert handing.old.rig.reply(handing.client).startswith(b"HTTP/1.1 503")
    assert not handing.logged(handing.new, "connection_received")


def test_a_client_that_leaves_takes_its_handed_job_with_it(handing):
    handing.ends(lambda: handing.logged(handing.new, "connection_received"))
    handing.client.close()
    assert handing.turn(lambda: not handing.new.made.listener.in_hand)


def test_the_time_of_a_job_goes_on_in_the_other_process(handing, monkeypatch):
    exchange = next(iter(handing.old.made.router.jobs.values())).exchange
    exchange.until = handing.old.made.loop.now() + 1_600_000
    handing.ends(lambda: handing.logged(handing.new, "connection_received"))
    handing.both = (handing.new,)
    assert handing.new.rig.reply(handing.client).startswith(b"HTTP/1.1 500")
    assert handing.new.made.loop.now() <= exchange.until


def test_a_process_that_ends_with_jobs_it_took_up_answers_them(handing):
    handing.ends(
        lambda: handing.old.made.phase == "ended" and handing.logged(handing.new, "connection_received")
    )
    handing.old.made.upgrade_state.leave()
    handing.both = (handing.new,)
    assert handing.turn(lambda: not handing.new.made.has_sibling_process)
    handing.new.made.stop_requested = True
    handing.new.made.loop.wake(handing.new.made.lifecycle_task)
    assert handing.turn(lambda: handing.new.made.phase == "ended", 3_000_000)
    assert handing.new.rig.reply(handing.client).startswith(b"HTTP/1.1 500")


def test_where_nobody_is_the_job_stays(handing, monkeypatch):
    def refused(*told):
        raise ConnectionRefusedError("nobody")

    monkeypatch.setattr(descriptor_passing, "send_sockets", refused)
    handing.ends(lambda: handing.old.made.phase == "ended")
    assert handing.old.rig.reply(handing.client).startswith(b"HTTP/1.1 503")
    assert handing.logged(handing.old, "connection_not_handed_off")


@pytest.mark.parametrize(
    ("raw", "count"),
    [
        (b"nonsense", 2),
        (b"{}", 2),
        (b'{"name":"x","kind":"render","until":"soon","headed":true,"rest":""}', 2),
        (b"{}", 1),
        (b"{}", 0),
    ],
)
def test_what_cannot_be_taken_up_is_closed(raw, count, handing):
    new, door = handing.new.made, listen((HERE, 0))
    door.setblocking(True)
    callers = [socket.create_connection(door.getsockname(), 2) for _ in range(count)]
    ours = [door.accept()[0] for _ in callers]

    def taken():
        return {kind: new.budget.used[kind] for kind in ("clients", "workers")}

    before = taken()  # discovery is tried again and again meanwhile
    descriptor_passing.send_sockets(new.upgrade_state.place("jobs", new.upgrade_state.seat), raw, ours)
    for one in ours:
        one.close()
    assert handing.turn(lambda: handing.logged(handing.new, "connection_not_received"))
    for one in callers:
        one.settimeout(2)
        assert one.recv(1) == b""
        one.close()
    assert taken() == before and not handing.new.rig.errors
    door.close()


def test_a_full_queue_is_an_error_and_loses_no_connection(tmp_path):
    inlet = descriptor_passing.open_receiver(str(tmp_path / "jobs0"))
    pair = socket.socketpair()
    count = 0
    with pytest.raises(OSError):
        while count < 100_000:
            descriptor_passing.send_sockets(str(tmp_path / "jobs0"), b"x" * 1000, pair)
            count += 1
    taken = 0
    while (got := descriptor_passing.receive_sockets(inlet, 2)) is not None:
        taken += 1
        assert got[0] == b"x" * 1000
        for one in got[1]:
            one.close()
    assert 0 < taken == count
    for one in (inlet, *pair):
        one.close()


def test_a_folder_that_cannot_hold_the_inlet_turns_handing_on_off(handing, tmp_path):
    relay = handing.new.made.handoff
    task = handing.new.made.loop.spawn(relay.listen(str(tmp_path / ("x" * 200))))
    assert handing.turn(lambda: task.ended) and handing.logged(handing.new, "handoff_disabled")
    assert not handing.new.rig.errors


def test_connections_that_cannot_be_taken_over_are_closed_and_the_next_are_taken(handing, monkeypatch):
    new, ours = handing.new.made, socket.socketpair()
    monkeypatch.setattr(new.handoff, "attached", lambda *one: (_ for _ in ()).throw(OSError("reset")))
    raw = b'{"name":"x","kind":"render","until":9000000000000,"headed":true,"rest":""}'
    before = dict(new.budget.used)
    descriptor_passing.send_sockets(new.upgrade_state.place("jobs", new.upgrade_state.seat), raw, ours)
    assert handing.turn(lambda: handing.logged(handing.new, "connection_not_received"))
    monkeypatch.undo()
    descriptor_passing.send_sockets(new.upgrade_state.place("jobs", new.upgrade_state.seat), b"{}", ours)
    assert handing.turn(lambda: len(handing.logged(handing.new, "connection_not_received")) == 2)
    assert new.budget.used == before and not handing.new.rig.errors
    for one in ours:
        one.close()
