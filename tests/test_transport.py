"""Tests of the event loop, buffers, the budget, connections and listening sockets."""

import pytest
from helpers import HERE, Rig

from mastledge.transport.buffer import INITIAL_BYTES, Buffer
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.listening import accept, listen
from mastledge.transport.loop import READ


@pytest.mark.parametrize(
    "parts", [[b"one\ntwo\nthr", b"ee\n"], [b"o", b"ne\n", b"two\nthree\n"], [b"one\ntwo\nthree\n"]]
)
def test_lines_are_complete_however_the_bytes_are_split(parts):
    buffer, lines = Buffer(), []
    for part in parts:
        buffer.append(part)
        while (line := buffer.next_line()) is not None:
            lines.append(line)
    assert lines == [b"one", b"two", b"three"] and len(buffer) == 0


def test_consumed_bytes_are_reused_without_growing_the_buffer():
    buffer = Buffer()
    for n in range(4 * INITIAL_BYTES // 100):
        buffer.append(b"%099d\n" % n)
        assert buffer.next_line() == b"%099d" % n
    assert len(buffer.data) == INITIAL_BYTES


@pytest.mark.parametrize("size", [INITIAL_BYTES - 1, INITIAL_BYTES + 1, 20 * INITIAL_BYTES])
def test_buffer_grows_as_needed_and_shrinks_when_emptied(size):
    buffer = Buffer()
    buffer.append(b"a" * size)
    buffer.append(b"b")
    assert buffer.take() == b"a" * size + b"b" and len(buffer.data) <= 4 * INITIAL_BYTES


def test_error_in_one_coroutine_does_not_affect_others():
    rig, finished = Rig(), []

    def failing():
        yield (-1, 0, rig.loop.now())
        raise ValueError("one")

    def succeeding():
        yield (-1, 0, rig.loop.now() + 1000)
        finished.append("good")

    rig.loop.spawn(failing())
    rig.loop.spawn(succeeding())
    assert rig.turn(lambda: finished) and [str(error) for error in rig.errors] == ["one"]


def test_wait_ends_with_events_deadline_or_wake_value():
    rig, results = Rig(), []
    conn, peer_sock = rig.pair()

    def waiting():
        results.append((yield (conn.fd, READ, rig.loop.now() + 1000)))
        peer_sock.send(b"x")
        results.append((yield (conn.fd, READ, None)))
        rig.loop.wake(task, "news")
        rig.loop.wake(task, "more")
        results.append((yield (-1, 0, None)))
        results.append((yield (-1, 0, None)))

    task = rig.loop.spawn(waiting())
    rig.turn(lambda: task.ended)
    assert results == [0, READ, "news", "more"]


def test_cancelled_coroutine_releases_its_connection():
    rig = Rig()
    conn, _ = rig.pair()

    def holding():
        try:
            yield (conn.fd, READ, None)
        finally:
            conn.close()

    task = rig.loop.spawn(holding())
    rig.loop.run_once(0)
    rig.loop.cancel(task)
    assert rig.budget.used["clients"] == 0 and conn.fd == -1


@pytest.mark.parametrize(
    ("closes", "taken"), [([True, True], ["first"]), ([False, True], ["first", "second"])]
)
def test_longest_idle_is_evicted_first_and_unclosable_is_skipped(closes, taken):
    rig, close_calls = Rig(), []
    for name, closed in zip(("first", "second"), closes, strict=True):
        rig.budget.add_idle(
            "workers", name, lambda name=name, closed=closed: close_calls.append(name) or closed
        )
    rig.budget.evict("workers")
    assert close_calls == taken


def test_acquire_fails_beyond_limit_without_idle_connections():
    budget = Rig(sockets=0).budget
    assert [budget.acquire("clients") for _ in range(5)] == [True] * 3 + [False] * 2


def test_send_timeout_leaves_number_of_unsent_bytes():
    rig, unsent = Rig(), []
    conn, _ = rig.pair()

    def sending():
        try:
            yield from conn.send(bytes(8_000_000), rig.loop.now() + 1000)
        except WaitTimeoutError:
            unsent.append(conn.unsent_bytes)

    rig.loop.spawn(sending())
    assert rig.turn(lambda: unsent) and 0 < unsent[0] < 8_000_000


def test_accept_without_descriptors_requests_a_pause():
    class ExhaustedSocket:
        def accept(self):
            raise OSError(24, "too many open files")

    assert accept(ExhaustedSocket(), Rig().budget) == (None, True)


def test_timers_of_waits_ended_early_do_not_accumulate():
    rig = Rig()

    def waiting():
        while True:
            yield (-1, 0, rig.loop.now() + 60_000_000)

    tasks = [rig.loop.spawn(waiting()) for _ in range(3)]
    for _ in range(2_000):
        for task in tasks:
            rig.loop.wake(task)
        rig.loop.run_once(0)
    assert len(rig.loop.timers) < 1_000
    assert sum(wait_number == task.wait_number for _, _, task, wait_number in rig.loop.timers) == len(tasks)


def test_wait_on_invalid_descriptor_ends_only_its_coroutine():
    rig, ended = Rig(), []

    def failing():
        try:
            yield (10_000, READ, None)
        finally:
            ended.append("ended")

    rig.loop.spawn(failing())
    rig.loop.run_once(0)
    assert ended == ["ended"] and len(rig.errors) == 1 and not rig.loop.waiters


def test_fast_sender_is_read_once_per_iteration():
    # Reading until the socket was empty, a body of 60 MB or of many chunks blocked all other connections.
    rig = Rig()
    conn, peer_sock = rig.pair()
    peer_sock.sendall(bytes(40_000))
    rig.turn(lambda: not conn.is_quiet())
    with pytest.raises(StopIteration) as first_read:
        next(conn.receive(None))
    assert first_read.value.value and next(conn.receive(7)) == (conn.fd, READ, 7)
    rig.loop.run_once(0)
    with pytest.raises(StopIteration):
        next(conn.receive(None))


def test_accept_without_waiting_connection_requests_no_pause():
    sock = listen((HERE, 0))
    assert accept(sock, Rig().budget) == (None, False)
