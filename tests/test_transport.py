"""Loop, buffer, budget, connection."""

import pytest
from helpers import HERE, Rig

from mastledge.transport.buffer import INITIAL_BYTES, Buffer
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.listening import accept, listen
from mastledge.transport.loop import READ


@pytest.mark.parametrize(
    "parts", [[b"one\ntwo\nthr", b"ee\n"], [b"o", b"ne\n", b"two\nthree\n"], [b"one\ntwo\nthree\n"]]
)
def test_lines_come_whole_however_their_bytes_came(parts):
    buffer, lines = Buffer(), []
    for part in parts:
        buffer.append(part)
        while (line := buffer.next_line()) is not None:
            lines.append(line)
    assert lines == [b"one", b"two", b"three"] and len(buffer) == 0


def test_what_was_read_makes_room_in_place():
    buffer = Buffer()
    for n in range(4 * INITIAL_BYTES // 100):
        buffer.append(b"%099d\n" % n)
        assert buffer.next_line() == b"%099d" % n
    assert len(buffer.data) == INITIAL_BYTES


@pytest.mark.parametrize("size", [INITIAL_BYTES - 1, INITIAL_BYTES + 1, 20 * INITIAL_BYTES])
def test_room_grows_as_needed_and_is_given_back(size):
    buffer = Buffer()
    buffer.append(b"a" * size)
    buffer.append(b"b")
    assert buffer.take() == b"a" * size + b"b" and len(buffer.data) <= 4 * INITIAL_BYTES


def test_one_coroutine_s_error_is_its_own():
    rig, seen = Rig(), []

    def bad():
        yield (-1, 0, rig.loop.now())
        raise ValueError("one")

    def good():
        yield (-1, 0, rig.loop.now() + 1000)
        seen.append("good")

    rig.loop.spawn(bad())
    rig.loop.spawn(good())
    assert rig.turn(lambda: seen) and [str(error) for error in rig.errors] == ["one"]


def test_a_wait_ends_with_events_or_time_or_what_it_was_handed():
    rig, got = Rig(), []
    conn, theirs = rig.pair()

    def waits():
        got.append((yield (conn.fd, READ, rig.loop.now() + 1000)))
        theirs.send(b"x")
        got.append((yield (conn.fd, READ, None)))
        rig.loop.wake(task, "news")
        rig.loop.wake(task, "more")
        got.append((yield (-1, 0, None)))
        got.append((yield (-1, 0, None)))

    task = rig.loop.spawn(waits())
    rig.turn(lambda: task.ended)
    assert got == [0, READ, "news", "more"]


def test_a_cancelled_coroutine_gives_back_what_it_held():
    rig = Rig()
    conn, _ = rig.pair()

    def holds():
        try:
            yield (conn.fd, READ, None)
        finally:
            conn.close()

    task = rig.loop.spawn(holds())
    rig.loop.run_once(0)
    rig.loop.cancel(task)
    assert rig.budget.used["clients"] == 0 and conn.fd == -1


@pytest.mark.parametrize(
    ("closes", "taken"), [([True, True], ["first"]), ([False, True], ["first", "second"])]
)
def test_the_longest_idle_goes_first_and_one_that_may_not_is_passed_over(closes, taken):
    rig, asked = Rig(), []
    for name, does in zip(("first", "second"), closes, strict=True):
        rig.budget.add_idle("workers", name, lambda name=name, does=does: asked.append(name) or does)
    rig.budget.evict("workers")
    assert asked == taken


def test_nothing_is_opened_beyond_the_budget_while_all_is_busy():
    budget = Rig(sockets=0).budget
    assert [budget.acquire("clients") for _ in range(5)] == [True] * 3 + [False] * 2


def test_a_sender_knows_what_was_not_written():
    rig, ends = Rig(), []
    conn, _ = rig.pair()

    def sends():
        try:
            yield from conn.send(bytes(8_000_000), rig.loop.now() + 1000)
        except WaitTimeoutError:
            ends.append(conn.unsent_bytes)

    rig.loop.spawn(sends())
    assert rig.turn(lambda: ends) and 0 < ends[0] < 8_000_000


def test_running_out_of_descriptors_at_the_door_asks_for_a_pause():
    class Full:
        def accept(self):
            raise OSError(24, "too many open files")

    assert accept(Full(), Rig().budget) == (None, True)


def test_waits_that_ended_early_do_not_pile_up():
    rig = Rig()

    def waits():
        while True:
            yield (-1, 0, rig.loop.now() + 60_000_000)

    tasks = [rig.loop.spawn(waits()) for _ in range(3)]
    for _ in range(2_000):
        for task in tasks:
            rig.loop.wake(task)
        rig.loop.run_once(0)
    assert len(rig.loop.timers) < 1_000
    assert sum(wait_number == task.wait_number for _, _, task, wait_number in rig.loop.timers) == len(tasks)


def test_a_wait_that_cannot_be_had_ends_its_coroutine_only():
    rig, seen = Rig(), []

    def bad():
        try:
            yield (10_000, READ, None)
        finally:
            seen.append("ended")

    rig.loop.spawn(bad())
    rig.loop.run_once(0)
    assert seen == ["ended"] and len(rig.errors) == 1 and not rig.loop.waiters


def test_a_sender_at_full_speed_is_read_once_a_turn():
    # Read until nothing was left, a body of 60 MB or of countless chunks held up all other connections.
    rig = Rig()
    conn, theirs = rig.pair()
    theirs.sendall(bytes(40_000))
    rig.turn(lambda: not conn.is_quiet())
    with pytest.raises(StopIteration) as first:
        next(conn.receive(None))
    assert first.value.value and next(conn.receive(7)) == (conn.fd, READ, 7)
    rig.loop.run_once(0)
    with pytest.raises(StopIteration):
        next(conn.receive(None))


def test_nobody_at_the_door_is_no_reason_to_pause():
    sock = listen((HERE, 0))
    assert accept(sock, Rig().budget) == (None, False)
