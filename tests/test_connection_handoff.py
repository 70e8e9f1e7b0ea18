"""Tests of the hand-off of running jobs, with both of their connections, to a sibling process."""

import os
import socket

import helpers
import pytest
from helpers import HERE
from test_upgrade import Pair, folder  # noqa: F401 - a fixture, which pytest finds by its name here

from mastledge.program import graceful_shutdown, handed_off_job
from mastledge.program.lifecycle import Phase
from mastledge.transport import descriptor_channel, descriptor_passing
from mastledge.transport.listening import listen

ENDED_WITH_THE_PROCESS = (b"HTTP/1.1 500", b"HTTP/1.1 503")  # killed, or rejected by the scheduler
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(state, **more):
    fields = "".join(f',"{name}":"{value}"' for name, value in more.items())
    raw = b'{"id":"c1","state":"%s"%s}\n' % (state.encode(), fields.encode())
    return b"%x\r\n%s\r\n" % (len(raw), raw)


def tcp_pair(listener):
    """Return both ends of a new connection to a listening socket, the caller's end first."""
    caller = socket.create_connection(listener.getsockname(), 2)
    return caller, listener.accept()[0]


def used_by_jobs(dispatcher):
    """Return the connections in use by kind, without those to discovery, which keep reconnecting."""
    return {kind: used for kind, used in dispatcher.budget.used.items() if kind != "discovery"}


def has_ended(connection):
    """Return whether the other side has closed a connection on which it sent nothing."""
    connection.setblocking(False)
    try:
        return connection.recv(1) == b""
    except BlockingIOError:
        return False


class OpenJobPair(Pair):
    """A pair of processes with a job open in the old one, which is about to exit."""

    def __init__(self, path, folder, monkeypatch):  # noqa: F811 - the parameter is that fixture
        # The hand-off begins 0.5 s after the signal and has 1.5 s: a busy machine may stall for 0.5 s.
        monkeypatch.setattr(graceful_shutdown, "LONGEST_WAIT_US", 300_000)
        monkeypatch.setattr(graceful_shutdown, "EXIT_MARGIN_US", 1_700_000)
        monkeypatch.setattr(graceful_shutdown, "HAND_OFF_BEFORE_END_US", 1_500_000)
        super().__init__(path, folder)
        for served in self.both:
            served.rig.turn = self.turn
        # The old process takes the job before the new one listens.
        self.both, both = (self.old,), self.both
        self.client = self.old.connect()
        self.client.sendall(helpers.job(X_Txn="c1", X_Remaining_Ms=4000))
        self.worker, _ = self.old.rig.called(self.old.sock)
        self.both = both
        assert self.turn(lambda: self.new.made.phase == Phase.SERVING)

    def stop_old(self, until):
        self.old.made.stop_requested = True
        self.old.made.loop.wake(self.old.made.lifecycle_task)
        assert self.turn(until, 3_000_000)

    def logged(self, process, event):
        return [fields for logged_event, fields in process.rig.logged if logged_event == event]


@pytest.fixture
def open_job_pair(tmp_path, folder, monkeypatch):  # noqa: F811 - the parameter is that fixture
    processes = OpenJobPair(tmp_path, folder, monkeypatch)
    yield processes
    processes.close()


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
def test_handed_off_job_gets_exactly_one_answer(before, after, answer, open_job_pair):
    # Guards against killing a long job together with the old process.
    open_job_pair.worker.sendall(before)
    open_job_pair.stop_old(lambda: open_job_pair.old.made.phase == "ended")
    assert [fields["how"] for fields in open_job_pair.logged(open_job_pair.old, "job_finished")] == [
        "handed_on"
    ]
    assert open_job_pair.new.figures()["svc.in_progress"] == 1
    open_job_pair.old.made.upgrade_state.leave()
    open_job_pair.both = (open_job_pair.new,)
    open_job_pair.client.setblocking(False)
    with pytest.raises(BlockingIOError):
        open_job_pair.client.recv(1)
    if after:
        open_job_pair.worker.sendall(after)
    else:
        open_job_pair.worker.close()
    reply = open_job_pair.new.rig.reply(open_job_pair.client)
    assert reply.startswith(answer) and b"connection: close" in reply.lower()
    assert reply.endswith(b"\r\n\r\nr") == (answer == b"HTTP/1.1 200")
    figures = open_job_pair.new.figures()
    assert (figures["svc.passed.render"] == 1) == (answer == b"HTTP/1.1 200")
    assert figures["svc.in_progress"] == figures["svc.upstream_tries"] == 0
    open_job_pair.client.close()
    assert open_job_pair.turn(
        lambda: not open_job_pair.new.made.takeover.exchanges
        and not open_job_pair.new.made.listener.jobs.open_jobs
    )


@pytest.mark.parametrize(
    "sent", [CHUNKED + chunk("started")[:-6], CHUNKED[:30], b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"]
)
def test_job_with_partly_read_answer_is_not_handed_off(sent, open_job_pair):
    open_job_pair.worker.sendall(sent)
    open_job_pair.stop_old(lambda: open_job_pair.old.made.phase == "ended")
    assert open_job_pair.old.rig.reply(open_job_pair.client).startswith(b"HTTP/1.1 503")
    assert not open_job_pair.logged(open_job_pair.new, "connection_received")


def test_handed_off_job_ends_when_its_client_leaves(open_job_pair):
    open_job_pair.stop_old(lambda: open_job_pair.logged(open_job_pair.new, "connection_received"))
    open_job_pair.client.close()
    assert open_job_pair.turn(lambda: not open_job_pair.new.made.listener.jobs.open_jobs)


def test_handed_off_job_keeps_its_deadline(open_job_pair, monkeypatch):
    exchange = next(iter(open_job_pair.old.made.router.jobs.values())).exchange
    exchange.until = open_job_pair.old.made.loop.now() + 1_600_000
    open_job_pair.stop_old(lambda: open_job_pair.logged(open_job_pair.new, "connection_received"))
    open_job_pair.both = (open_job_pair.new,)
    assert open_job_pair.new.rig.reply(open_job_pair.client).startswith(b"HTTP/1.1 500")
    assert open_job_pair.new.made.loop.now() <= exchange.until


def test_shutdown_answers_handed_off_jobs(open_job_pair):
    open_job_pair.stop_old(
        lambda: open_job_pair.old.made.phase == "ended"
        and open_job_pair.logged(open_job_pair.new, "connection_received")
    )
    open_job_pair.old.made.upgrade_state.leave()
    open_job_pair.both = (open_job_pair.new,)
    assert open_job_pair.turn(lambda: not open_job_pair.new.made.has_sibling_process)
    open_job_pair.new.made.stop_requested = True
    open_job_pair.new.made.loop.wake(open_job_pair.new.made.lifecycle_task)
    assert open_job_pair.turn(lambda: open_job_pair.new.made.phase == "ended", 3_000_000)
    assert open_job_pair.new.rig.reply(open_job_pair.client).startswith(b"HTTP/1.1 500")


@pytest.mark.parametrize("error", [ConnectionRefusedError("nobody"), OSError("no descriptor")])
def test_job_stays_if_no_process_receives_it(error, open_job_pair, monkeypatch):
    def fail(*arguments):
        raise error

    monkeypatch.setattr(descriptor_channel, "open_channel", fail)
    monkeypatch.setattr(descriptor_passing, "send_sockets", fail)
    open_job_pair.stop_old(lambda: open_job_pair.old.made.phase == "ended")
    assert open_job_pair.old.rig.reply(open_job_pair.client).startswith(b"HTTP/1.1 503")
    assert open_job_pair.logged(open_job_pair.old, "connection_not_handed_off")


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
def test_invalid_handoff_datagram_closes_its_sockets(raw, count, open_job_pair):
    new, listener = open_job_pair.new.made, listen((HERE, 0))
    listener.setblocking(True)
    callers = [socket.create_connection(listener.getsockname(), 2) for _ in range(count)]
    accepted = [listener.accept()[0] for _ in callers]

    before = used_by_jobs(new)
    descriptor_passing.send_sockets(new.upgrade_state.path_of("jobs", new.upgrade_state.seat), raw, accepted)
    for connection in accepted:
        connection.close()
    assert open_job_pair.turn(lambda: open_job_pair.logged(open_job_pair.new, "connection_not_received"))
    for connection in callers:
        connection.settimeout(2)
        assert connection.recv(1) == b""
        connection.close()
    assert used_by_jobs(new) == before and not open_job_pair.new.rig.errors
    listener.close()


class ScriptedSibling:
    """Stands in the place of the process that accepts offers."""

    def __init__(self, pair):
        state = pair.new.made.upgrade_state
        self.pair, self.loop = pair, pair.new.made.loop
        pair.new.made.takeover.stop_listening()
        self.listener = descriptor_channel.listen_for_channels(state.path_of("offers", state.seat))
        self.channels, self.descriptors = [], []

    def has_offer(self):
        """Return whether an offer has been received; its message is dropped."""
        if self.channels:
            return True
        try:
            self.channels.append(descriptor_channel.DescriptorChannel(self.loop, self.listener.accept()[0]))
            self.descriptors += self.channels[-1].receive(handed_off_job.DESCRIPTORS_PER_OFFER)[1]
        except BlockingIOError:
            return False
        return True

    def close(self):
        """Close all sockets and files."""
        for descriptor in self.descriptors:
            os.close(descriptor)
        for channel in self.channels:
            channel.close()
        self.listener.close()


@pytest.mark.parametrize(
    ("reply", "closes"),
    [(None, False), (None, True), (b"nonsense", False), (b"nonsense", True), (b"accepted", True)],
)
def test_job_is_answered_here_if_the_sibling_fails_after_the_offer(reply, closes, open_job_pair):
    # Guards against a client without an answer, or with two, when the hand-off breaks off.
    sibling = ScriptedSibling(open_job_pair)
    open_job_pair.stop_old(sibling.has_offer)
    if reply is not None:
        sibling.channels[0].send(reply)
    if closes:
        sibling.channels[0].close()
    assert open_job_pair.turn(lambda: open_job_pair.old.made.phase == "ended", 3_000_000)
    sibling.close()
    assert open_job_pair.old.rig.reply(open_job_pair.client).startswith(ENDED_WITH_THE_PROCESS)
    assert open_job_pair.logged(open_job_pair.old, "connection_not_handed_off")
    assert not open_job_pair.old.rig.errors


@pytest.mark.parametrize("done", [True, False])
def test_job_is_taken_back_if_the_sibling_dies_before_it_reads_the_release(done, open_job_pair):
    # Guards against a client without an answer: a new process that is killed closes what it has not read.
    old, sibling = open_job_pair.old, ScriptedSibling(open_job_pair)
    open_job_pair.worker.sendall(CHUNKED + chunk("started") + b'15\r\n{"id":"c1","state":"d\r\n')
    open_job_pair.stop_old(sibling.has_offer)
    sibling.channels[0].send(handed_off_job.ACCEPTED)
    assert open_job_pair.turn(lambda: open_job_pair.logged(old, "job_finished"))
    assert not open_job_pair.turn(lambda: open_job_pair.logged(old, "connection_received"), 50_000)
    sibling.close()
    assert open_job_pair.turn(lambda: open_job_pair.logged(old, "connection_received"))
    if done:
        open_job_pair.worker.sendall(b'13\r\none","result":"r"}\n\r\n0\r\n\r\n')
    reply = old.rig.reply(open_job_pair.client)
    assert reply.startswith(b"HTTP/1.1 200" if done else b"HTTP/1.1 500")
    assert reply.endswith(b"\r\n\r\nr") == done
    assert open_job_pair.turn(lambda: old.made.phase == "ended")
    assert not old.rig.errors


def test_released_job_is_left_to_a_sibling_that_has_not_read_the_release(open_job_pair):
    # Guards against two answers: a new process that is stopped reads the release when it is continued.
    old, sibling = open_job_pair.old, ScriptedSibling(open_job_pair)
    open_job_pair.stop_old(sibling.has_offer)
    sibling.channels[0].send(handed_off_job.ACCEPTED)
    assert open_job_pair.turn(lambda: old.made.phase == "ended", 3_000_000)
    release, _ = sibling.channels[0].receive(0)
    assert handed_off_job.JobRelease.decode(release) == handed_off_job.JobRelease(False)
    assert not has_ended(open_job_pair.client)
    sibling.close()
    assert open_job_pair.turn(lambda: has_ended(open_job_pair.client))
    assert not old.rig.errors


def test_job_that_ends_while_it_is_offered_is_answered_once(open_job_pair):
    # Guards against a second answer: a slow sibling reads the offer of a job that has ended meanwhile.
    old, new, before = open_job_pair.old, open_job_pair.new, used_by_jobs(open_job_pair.new.made)
    open_job_pair.both = (old,)
    open_job_pair.stop_old(lambda: old.made.handoff.has_open_offers())
    open_job_pair.worker.sendall(CHUNKED + chunk("done", result="r") + b"0\r\n\r\n")
    assert old.rig.reply(open_job_pair.client).endswith(b"\r\n\r\nr")
    assert open_job_pair.turn(lambda: old.made.phase == "ended")
    open_job_pair.both = (new,)
    assert not open_job_pair.turn(lambda: open_job_pair.logged(new, "connection_received"), 200_000)
    open_job_pair.client.settimeout(2)
    assert open_job_pair.client.recv(1) == b""
    assert used_by_jobs(new.made) == before
    assert not new.rig.errors


def test_job_whose_chunk_is_partly_read_is_released_after_the_chunk(open_job_pair):
    # Guards against lost bytes: the old process reads on until the offer is accepted.
    old, new = open_job_pair.old, open_job_pair.new
    launch = next(iter(old.made.router.jobs.values())).launches[0]
    started = chunk("started")
    open_job_pair.both = (old,)
    open_job_pair.stop_old(old.made.handoff.has_open_offers)
    open_job_pair.worker.sendall(CHUNKED + started[:-6])
    assert open_job_pair.turn(lambda: launch.headed and not launch.conn.at_chunk_end)
    open_job_pair.both = (old, new)
    assert not open_job_pair.turn(lambda: open_job_pair.logged(new, "connection_received"), 100_000)
    open_job_pair.worker.sendall(started[-6:])
    assert open_job_pair.turn(lambda: open_job_pair.logged(new, "connection_received"))
    open_job_pair.worker.sendall(chunk("done", result="r") + b"0\r\n\r\n")
    assert new.rig.reply(open_job_pair.client).endswith(b"\r\n\r\nr")


OFFER = handed_off_job.JobOffer("x", "render", 9_000_000_000_000).encode()


@pytest.mark.parametrize(
    ("offer", "sockets", "files", "release"),
    [
        (None, 0, 0, None),
        (b"nonsense", 2, 1, None),
        (OFFER, 0, 0, None),
        (OFFER, 2, 0, None),
        (OFFER, 1, 1, None),
        (OFFER, 2, 1, None),
        (OFFER, 2, 1, b"nonsense"),
    ],
)
def test_invalid_or_withdrawn_offer_closes_its_sockets(offer, sockets, files, release, open_job_pair):
    new, listener = open_job_pair.new.made, listen((HERE, 0))
    listener.setblocking(True)
    pairs = [tcp_pair(listener) for _ in range(sockets)]
    callers = [caller for caller, _ in pairs]
    descriptors = [accepted.detach() for _, accepted in pairs]
    descriptors += [descriptor_channel.create_memory_file() for _ in range(files)]
    before = used_by_jobs(new)
    path = new.upgrade_state.path_of("offers", new.upgrade_state.seat)
    channel = descriptor_channel.open_channel(open_job_pair.old.made.loop, path)
    if offer is not None:
        channel.send(offer, descriptors)
    if release is not None:
        replies = []

        def has_reply():
            if not replies and (received := channel.receive(0)) is not None:
                replies.append(received)
            return bool(replies)

        assert open_job_pair.turn(has_reply) and replies[0][0] == handed_off_job.ACCEPTED
        channel.send(release)
        assert open_job_pair.turn(lambda: open_job_pair.logged(open_job_pair.new, "connection_not_received"))
    for descriptor in descriptors:
        os.close(descriptor)
    channel.close()
    assert open_job_pair.turn(lambda: all(has_ended(connection) for connection in callers))
    for connection in callers:
        connection.close()
    assert used_by_jobs(new) == before
    assert not open_job_pair.new.rig.errors
    assert not open_job_pair.logged(open_job_pair.new, "connection_received")
    listener.close()


def test_long_datagram_of_an_older_version_is_taken_over(open_job_pair):
    # Guards against a message that is cut at a fixed size, with both connections closed.
    new, listener = open_job_pair.new.made, listen((HERE, 0))
    listener.setblocking(True)
    (client, here), (worker, there) = (tcp_pair(listener) for _ in range(2))
    rest = b'{"id":"x","state":"done","result":"' + b"r" * 100_000
    raw = handed_off_job.HandedOffJob("x", "render", 9_000_000_000_000, True, rest).encode()
    path = new.upgrade_state.path_of("jobs", new.upgrade_state.seat)
    descriptor_passing.send_sockets(path, raw, (here, there))
    assert open_job_pair.turn(lambda: open_job_pair.logged(open_job_pair.new, "connection_received"))
    worker.sendall(b'3\r\n"}\n\r\n0\r\n\r\n')
    assert open_job_pair.new.rig.reply(client).endswith(b"\r\n\r\n" + b"r" * 100_000)
    for open_socket in (client, here, worker, there, listener):
        open_socket.close()


def test_full_socket_queue_raises_and_loses_no_connection(tmp_path):
    receiver = descriptor_passing.open_receiver(str(tmp_path / "jobs0"))
    pair = socket.socketpair()
    sent = []

    def fill():
        while len(sent) < 100_000:
            descriptor_passing.send_sockets(str(tmp_path / "jobs0"), b"x" * 1000, pair)
            sent.append(1)

    with pytest.raises(BlockingIOError):
        fill()
    received_count = 0
    while (received := descriptor_passing.receive_sockets(receiver, 2)) is not None:
        received_count += 1
        assert received[0] == b"x" * 1000
        for open_socket in received[1]:
            open_socket.close()
    assert 0 < received_count == len(sent)
    for open_socket in (receiver, *pair):
        open_socket.close()


def test_too_long_socket_path_disables_the_handoff(open_job_pair, tmp_path):
    takeover = open_job_pair.new.made.takeover
    task = open_job_pair.new.made.loop.spawn(takeover.listen(str(tmp_path / ("x" * 200))))
    assert open_job_pair.turn(lambda: task.ended) and open_job_pair.logged(
        open_job_pair.new, "handoff_disabled"
    )
    assert not open_job_pair.new.rig.errors


def test_failed_takeover_closes_sockets_and_next_datagram_is_received(open_job_pair, monkeypatch):
    new, sockets = open_job_pair.new.made, socket.socketpair()
    monkeypatch.setattr(new.takeover, "attached", lambda *arguments: (_ for _ in ()).throw(OSError("reset")))
    raw = b'{"name":"x","kind":"render","until":9000000000000,"headed":true,"rest":""}'
    before = used_by_jobs(new)
    descriptor_passing.send_sockets(new.upgrade_state.path_of("jobs", new.upgrade_state.seat), raw, sockets)
    assert open_job_pair.turn(lambda: open_job_pair.logged(open_job_pair.new, "connection_not_received"))
    monkeypatch.undo()
    descriptor_passing.send_sockets(new.upgrade_state.path_of("jobs", new.upgrade_state.seat), b"{}", sockets)
    assert open_job_pair.turn(
        lambda: len(open_job_pair.logged(open_job_pair.new, "connection_not_received")) == 2
    )
    assert used_by_jobs(new) == before and not open_job_pair.new.rig.errors
    for open_socket in sockets:
        open_socket.close()
