"""Repeats: the same key again, in memory and after a restart; nothing that may have run is a first one
again.
"""

import orjson
import pytest
from helpers import job
from hypothesis import given
from hypothesis import strategies as st
from test_control import Served
from test_program import file

from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.keyed_request import KeyedRequest, request_fingerprint
from mastledge.idempotency.persisted_keys import PersistedKeys
from mastledge.idempotency.records import RECORD_OVERHEAD_BYTES
from mastledge.idempotency.verdicts import Verdict
from mastledge.program import lifecycle
from mastledge.program.configuration import ConfigurationError, load_configuration

KEEP = 1_000_000
FINGERPRINT = request_fingerprint(b"/post", b"x")


def made(max_records=10, max_bytes=100_000):
    return KeyTable(KEEP, max_records, max_bytes, 5)


def claim(key_table, now=0, tenant="t", key=b"k", fingerprint=FINGERPRINT):
    return key_table.claim(now, KeyedRequest(tenant, key, fingerprint, now + 100))


def again(key_table, now):
    """As after a restart: by what was handed out for the disk alone."""
    kept = PersistedKeys(lambda: now + 5)
    for record in key_table.take_changes():
        kept.apply(record)
    other = PersistedKeys(lambda: now + 5)
    for record in kept.compacted_records():
        other.apply(record)
    after = made()
    after.restore(now, other.entries)
    return after


def test_a_repeat_joins_then_gets_the_same_answer_until_its_time_is_over():
    key_table = made()
    what, record = claim(key_table)
    assert what == Verdict.NEW and claim(key_table, 1) == (Verdict.JOIN, record)
    key_table.complete(10, record, 200, b"done")
    assert claim(key_table, 20) == (Verdict.ANSWER, record) and record.content == b"done"
    assert claim(again(key_table, 20), 21)[0] == Verdict.ANSWER
    assert claim(key_table, 10 + KEEP)[0] == Verdict.NEW


def test_what_may_have_run_is_told_as_such_and_what_never_ran_is_a_first_one_again():
    key_table = made()
    _, record = claim(key_table)
    key_table.mark_unsure(10, record)
    assert (
        claim(key_table, 20)[0] == Verdict.MAY_HAVE_RUN
        and claim(again(key_table, 20), 21)[0] == Verdict.MAY_HAVE_RUN
    )
    _, other = claim(key_table, key=b"k2")
    key_table.release(other)
    assert claim(key_table, key=b"k2")[0] == Verdict.NEW


def test_a_claim_that_a_crash_left_may_have_run_and_a_clock_set_back_keeps_it_no_longer():
    key_table = made()
    claim(key_table, 50 * KEEP)
    after = again(key_table, 0)
    assert claim(after, 1)[0] == Verdict.MAY_HAVE_RUN
    assert claim(after, KEEP)[0] == Verdict.NEW


def test_another_body_another_tenant_and_keys_that_are_none():
    key_table = made()
    claim(key_table)
    assert claim(key_table, fingerprint=request_fingerprint(b"/post", b"y"))[0] == Verdict.OTHER_REQUEST
    assert claim(key_table, tenant="u")[0] == Verdict.NEW
    for key in (b"", b"a b", b"\xff", b"x" * 256):
        assert claim(key_table, key=key)[0] == Verdict.INVALID_KEY


def test_a_full_book_refuses_new_keys_and_forgets_no_claim():
    key_table = made(max_records=2)
    first, second = claim(key_table, key=b"a")[1], claim(key_table, key=b"b")[1]
    assert claim(key_table, key=b"c")[0] == Verdict.FULL
    assert claim(key_table, key=b"a") == (Verdict.JOIN, first) and claim(key_table, key=b"b") == (
        Verdict.JOIN,
        second,
    )
    key_table.release(first)
    assert claim(key_table, key=b"c")[0] == Verdict.NEW


def test_one_tenant_does_not_take_all_the_room_and_an_answer_too_large_still_says_that_it_ran():
    key_table = made(1000, 4 * (RECORD_OVERHEAD_BYTES + 1))
    assert [claim(key_table, key=bytes([65 + n]))[0] for n in range(4)] == [Verdict.NEW] * 3 + [Verdict.FULL]
    assert claim(key_table, tenant="u", key=b"z")[0] == Verdict.NEW
    record = claim(key_table, key=b"A")[1]
    key_table.complete(1, record, 200, b"x" * 10_000)
    assert claim(key_table, 2, key=b"A")[0] == Verdict.MAY_HAVE_RUN


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "end", "unsure", "drop", "crash"]),
            st.integers(0, 3),
            st.integers(1, KEEP // 3),
        ),
        max_size=60,
    )
)
def test_no_key_that_may_have_run_is_new_again_in_its_time(moves):
    """`may_run`: until when each key must not be launched again, kept beside the key_table by the test."""
    key_table, now, may_run, claims = made(), 0, {}, {}
    disk = PersistedKeys(lambda: now + 5)
    for what, n, wait in moves:
        now, key = now + wait, b"k%d" % n
        if what == "offer":
            got, record = claim(key_table, now, key=key)
            if got == Verdict.NEW:
                assert may_run.get(key, 0) <= now
                may_run[key], claims[key] = float("inf"), record
        elif what == "crash":
            for record in key_table.take_changes():
                disk.apply(record)
            key_table = made()
            key_table.restore(now, disk.entries)
            may_run.update({key: now + KEEP for key in claims})
            claims = {}
        elif key in claims:
            record = claims.pop(key)
            if what == "end":
                key_table.complete(now, record, 200, b"r")
            elif what == "unsure":
                key_table.mark_unsure(now, record)
            else:
                key_table.release(record)
            may_run[key] = 0 if what == "drop" else now + KEEP
        for record in key_table.take_changes():
            disk.apply(record)
        assert key_table.room.used_bytes == sum(one.size_bytes for one in key_table.records.values())


class Keyed(Served):
    """A program of this thread that keeps keys, with one stand-in worker."""

    def __init__(self, path, **changed):
        repeats = {"folder": str(path / "kept"), "entries": 100, "bytes": 100_000, **changed}
        super().__init__(path, repeats=repeats)

    def asked(self, txn, key="k1", body=b"x"):
        client = self.connect()
        client.sendall(job(body=body, X_Txn=txn, X_Remaining_Ms=4000, Idempotency_Key=key))
        return client

    def reply(self, txn, **how):
        return self.rig.reply(self.asked(txn, **how))

    def over(self):
        self.made.idempotency.end()
        self.close()


@pytest.fixture
def keyed(tmp_path, monkeypatch):
    monkeypatch.setattr(lifecycle, "FIRST_NEWS", 0)
    made = [Keyed(tmp_path).serving()]

    def again():
        made[-1].over()
        made.append(Keyed(tmp_path).serving())
        return made[-1]

    yield made[0], again
    made[-1].over()
    assert not made[-1].rig.errors and not made[-1].made.router.faults


def answers(theirs, txn):
    raw = b'{"id":"%s","state":"done","result":"r"}\n' % txn
    theirs.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(raw), raw))


def test_a_repeat_on_sockets_joins_and_gets_the_first_answer_also_after_a_restart(keyed):
    made, again = keyed
    first = made.asked("a1")
    theirs, _ = made.rig.called(made.sock)
    second = made.asked("a2")
    assert made.turn(lambda: made.made.idempotency.key_table.verdict_counts["join"] == 1)
    first.close()  # who leaves doesn't take the job along
    made.turn(lambda: made.made.listener.in_hand == 1)
    answers(theirs, b"a1")
    assert made.rig.reply(second).endswith(b"\r\n\r\nr")
    assert made.reply("a3").endswith(b"\r\n\r\nr")
    assert b" 422 " in made.reply("a4", body=b"y") and b" 400 " in made.reply("a5", key="")
    after = again()
    assert (
        after.reply("a6").endswith(b"\r\n\r\nr")
        and after.made.idempotency.key_table.verdict_counts["answer"] == 1
    )
    status, text = after.call("/api/copies")
    assert status == 200 and orjson.loads(text)["held"] == 1


def test_a_repeat_of_what_was_running_at_the_end_is_told_that_it_may_have_run(keyed):
    made, again = keyed
    made.asked("a1")
    made.rig.called(made.sock)
    after = again()
    reply = after.reply("a2")
    assert b" 409 " in reply and b"may have run" in reply


def test_a_disk_that_fails_takes_no_new_key_and_is_written_anew(keyed, monkeypatch):
    made, _ = keyed
    repeats = made.made.idempotency

    def full(records):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(repeats.writer.wal, "append", full)
    assert b" 503 " in made.reply("a1") and repeats.failing
    assert b" 503 " in made.reply("a2", key="k2")
    monkeypatch.undo()
    assert made.turn(lambda: not repeats.failing, 4_000_000)
    made.asked("a3")
    theirs, head = made.rig.called(made.sock)
    assert b"a3" in head


@pytest.mark.parametrize(
    ("changed", "says"),
    [
        ({"copies": 3}, "copies is 3, and there are no peers"),
        ({"copies": 8}, "repeats.copies is above 7"),
        ({"sync": 1}, "sync cannot be read"),
        ({"entries": 0}, "repeats.entries"),
        ({"keep": 1}, "repeats.keep is un"),
        ({"folder": None}, "folder is missing"),
    ],
)
def test_a_bad_configuration_of_repeats_is_one_plain_message(changed, says, tmp_path):
    with pytest.raises(ConfigurationError, match=says):
        load_configuration(file(tmp_path, repeats={"folder": "x", **changed}), {})
