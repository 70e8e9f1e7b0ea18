"""Idempotency keys on one dispatcher: repeats in memory, after a restart and over sockets.

The tests guard against a second launch of a job that may have run, before its retention is over.
"""

import threading

import orjson
import pytest
from helpers import job
from hypothesis import given
from hypothesis import strategies as st
from test_control import Served
from test_program import file

from mastledge.idempotency.errors import PersistedRecordError
from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.keyed_request import KeyedRequest, request_fingerprint
from mastledge.idempotency.persisted_keys import PersistedKeys
from mastledge.idempotency.records import RECORD_OVERHEAD_BYTES, RecordState
from mastledge.idempotency.verdicts import Verdict
from mastledge.program import serving
from mastledge.program.configuration import ConfigurationError, load_configuration

RETENTION_US = 1_000_000
WALLTIME_US = 100
UNIX_OFFSET_US = 5
FINGERPRINT = request_fingerprint(b"/post", b"x")


def table_of(max_records=10, max_bytes=100_000):
    return KeyTable(RETENTION_US, max_records, max_bytes, UNIX_OFFSET_US)


@pytest.fixture
def key_table():
    return table_of()


def claim(key_table, now=0, tenant="t", key=b"k", fingerprint=FINGERPRINT):
    return key_table.claim(now, KeyedRequest(tenant, key, fingerprint, now + WALLTIME_US))


def verdict_of(key_table, *args, **fields):
    return claim(key_table, *args, **fields).verdict


def persisted_keys(now, entries):
    """Return the state after these entries of the log, at the monotonic time `now`."""
    persisted = PersistedKeys(lambda: now + UNIX_OFFSET_US)
    for entry in entries:
        persisted.apply(entry)
    return persisted


def restarted(key_table, now):
    """Return the table after a restart, restored from its changes after a rewrite of the log."""
    written = persisted_keys(now, key_table.take_changes())
    rewritten = persisted_keys(now, written.compacted_records())
    after = table_of()
    after.restore(now, rewritten.entries)
    return after


# The table


def test_repeat_joins_then_gets_the_same_answer_until_retention_ends(key_table):
    verdict, record = claim(key_table)
    assert verdict == Verdict.NEW
    assert claim(key_table, 1) == (Verdict.JOIN, record)
    key_table.complete(10, record, 200, b"done")
    assert claim(key_table, 20) == (Verdict.ANSWER, record)
    assert record.content == b"done"
    assert verdict_of(restarted(key_table, 20), 21) == Verdict.ANSWER
    assert verdict_of(key_table, 10 + RETENTION_US) == Verdict.NEW


def test_unsure_key_may_have_run_and_released_key_is_new(key_table):
    _, unsure = claim(key_table)
    key_table.mark_unsure(10, unsure)
    assert verdict_of(key_table, 20) == Verdict.MAY_HAVE_RUN
    assert verdict_of(restarted(key_table, 20), 21) == Verdict.MAY_HAVE_RUN
    _, released = claim(key_table, key=b"k2")
    key_table.release(released)
    assert verdict_of(key_table, key=b"k2") == Verdict.NEW


def test_claim_before_crash_may_have_run_and_expires_despite_clock_set_back(key_table):
    claim(key_table, 50 * RETENTION_US)
    after = restarted(key_table, 0)
    assert verdict_of(after, 1) == Verdict.MAY_HAVE_RUN
    assert verdict_of(after, RETENTION_US) == Verdict.NEW


def test_key_with_another_body_is_refused_and_key_of_another_tenant_is_new(key_table):
    claim(key_table)
    other_fingerprint = request_fingerprint(b"/post", b"y")
    assert verdict_of(key_table, fingerprint=other_fingerprint) == Verdict.OTHER_REQUEST
    assert verdict_of(key_table, tenant="u") == Verdict.NEW


@pytest.mark.parametrize("key", [b"", b"a b", b"\xff", b"x" * 256])
def test_key_other_than_1_to_255_visible_ascii_characters_is_refused(key, key_table):
    assert verdict_of(key_table, key=key) == Verdict.INVALID_KEY


def test_full_table_refuses_new_keys_and_keeps_claims():
    key_table = table_of(max_records=2)
    _, first = claim(key_table, key=b"a")
    _, second = claim(key_table, key=b"b")
    assert verdict_of(key_table, key=b"c") == Verdict.FULL
    assert claim(key_table, key=b"a") == (Verdict.JOIN, first)
    assert claim(key_table, key=b"b") == (Verdict.JOIN, second)
    key_table.release(first)
    assert verdict_of(key_table, key=b"c") == Verdict.NEW


def test_tenant_cannot_fill_the_table_and_too_large_answer_may_have_run():
    key_table = table_of(1000, 4 * (RECORD_OVERHEAD_BYTES + 1))
    verdicts = [verdict_of(key_table, key=key) for key in (b"A", b"B", b"C", b"D")]
    assert verdicts == [Verdict.NEW] * 3 + [Verdict.FULL]
    assert verdict_of(key_table, tenant="u", key=b"z") == Verdict.NEW
    _, record = claim(key_table, key=b"A")
    key_table.complete(1, record, 200, b"x" * 10_000)
    assert verdict_of(key_table, 2, key=b"A") == Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("entry", "says"),
    [
        (("end", "t", b"k", True, 200, b"", 9), "end entry without a claim for key b'k'"),
        (("lend", "t", b"k"), "unknown kind of entry, perhaps of a later version: lend"),
    ],
)
def test_invalid_entry_is_refused_with_a_message(entry, says):
    with pytest.raises(PersistedRecordError, match=says):
        persisted_keys(0, [entry])


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["claim", "complete", "mark_unsure", "release", "crash"]),
            st.integers(0, 3),
            st.integers(1, RETENTION_US // 3),
        ),
        max_size=60,
    )
)
def test_key_whose_job_may_have_run_is_not_new_during_its_retention(operations):
    """`may_run` is the test's model: the time until which each key must not be launched again."""
    key_table, now, may_run, claims = table_of(), 0, {}, {}
    disk = PersistedKeys(lambda: now + UNIX_OFFSET_US)
    for operation, number, wait_us in operations:
        now, key = now + wait_us, b"k%d" % number
        if operation == "claim":
            verdict, record = claim(key_table, now, key=key)
            if verdict == Verdict.NEW:
                assert may_run.get(key, 0) <= now
                may_run[key], claims[key] = float("inf"), record
        elif operation == "crash":
            for entry in key_table.take_changes():
                disk.apply(entry)
            key_table = table_of()
            key_table.restore(now, disk.entries)
            may_run.update({key: now + RETENTION_US for key in claims})
            claims = {}
        elif key in claims:
            record = claims.pop(key)
            if operation == "complete":
                key_table.complete(now, record, 200, b"r")
            elif operation == "mark_unsure":
                key_table.mark_unsure(now, record)
            else:
                key_table.release(record)
            may_run[key] = 0 if operation == "release" else now + RETENTION_US
        for entry in key_table.take_changes():
            disk.apply(entry)
        assert key_table.room.used_bytes == sum(record.size_bytes for record in key_table.records.values())


# The service, with sockets and a disk


class Keyed(Served):
    """A dispatcher with idempotency keys on this thread, with one stub worker."""

    def __init__(self, path, **changed):
        repeats = {"folder": str(path / "kept"), "entries": 100, "bytes": 100_000, **changed}
        super().__init__(path, repeats=repeats)

    @property
    def service(self):
        return self.made.idempotency

    def verdict_count(self, verdict):
        return self.service.key_table.verdict_counts[verdict]

    def asked(self, txn, key="k1", body=b"x"):
        client = self.connect()
        client.sendall(job(body=body, X_Txn=txn, X_Remaining_Ms=4000, Idempotency_Key=key))
        return client

    def reply(self, txn, **how):
        return self.rig.reply(self.asked(txn, **how))

    def launched(self):
        """Return the stub worker's connection with the next job, and the head of the request."""
        return self.rig.called(self.sock)

    def over(self):
        self.service.end()
        self.close()


@pytest.fixture
def keyed(tmp_path, monkeypatch):
    """Yield a serving dispatcher, and a function that restarts it with the same directory."""
    monkeypatch.setattr(serving, "FIRST_LIST_TIMEOUT_US", 0)
    dispatchers = [Keyed(tmp_path).serving()]

    def restart():
        dispatchers[-1].over()
        dispatchers.append(Keyed(tmp_path).serving())
        return dispatchers[-1]

    yield dispatchers[0], restart
    dispatchers[-1].over()
    assert not dispatchers[-1].rig.errors
    assert not dispatchers[-1].made.router.faults


@pytest.fixture
def stall_disk(monkeypatch):
    """Yield a function that blocks a service's disk writes until the event it returns is set."""
    resumed = threading.Event()

    def stall(service):
        append = service.writer.wal.append

        def blocking_append(records):
            resumed.wait(10)
            append(records)

        monkeypatch.setattr(service.writer.wal, "append", blocking_append)
        return resumed

    yield stall
    resumed.set()


def answers(theirs, txn):
    raw = b'{"id":"%s","state":"done","result":"r"}\n' % txn
    theirs.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(raw), raw))


def is_answer(reply):
    return reply.endswith(b"\r\n\r\nr")


def test_repeat_over_sockets_joins_and_gets_the_first_answer_even_after_restart(keyed):
    dispatcher, restart = keyed
    first = dispatcher.asked("a1")
    worker, _ = dispatcher.launched()
    second = dispatcher.asked("a2")
    assert dispatcher.turn(lambda: dispatcher.verdict_count(Verdict.JOIN) == 1)
    first.close()  # a client that leaves does not cancel the job
    dispatcher.turn(lambda: dispatcher.made.listener.jobs.open_jobs == 1)
    answers(worker, b"a1")
    assert is_answer(dispatcher.rig.reply(second))
    assert is_answer(dispatcher.reply("a3"))
    assert b" 422 " in dispatcher.reply("a4", body=b"y")
    assert b" 400 " in dispatcher.reply("a5", key="")
    restarted_dispatcher = restart()
    assert is_answer(restarted_dispatcher.reply("a6"))
    assert restarted_dispatcher.verdict_count(Verdict.ANSWER) == 1
    status, text = restarted_dispatcher.call("/api/copies")
    assert status == 200
    assert orjson.loads(text)["held"] == 1


def test_repeat_of_job_that_ran_at_restart_may_have_run(keyed):
    dispatcher, restart = keyed
    dispatcher.asked("a1")
    dispatcher.launched()
    reply = restart().reply("a2")
    assert b" 409 " in reply
    assert b"may have run" in reply


def test_failing_disk_refuses_new_keys_until_the_log_is_rewritten(keyed, monkeypatch):
    dispatcher, _ = keyed
    service = dispatcher.service

    def full(records):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(service.writer.wal, "append", full)
    assert b" 503 " in dispatcher.reply("a1")
    assert service.disk_failing
    assert b" 503 " in dispatcher.reply("a2", key="k2")
    monkeypatch.undo()
    assert dispatcher.turn(lambda: not service.disk_failing, 4_000_000)
    dispatcher.asked("a3")
    _, head = dispatcher.launched()
    assert b"a3" in head


def test_key_claimed_again_during_write_of_its_release_is_answered(keyed, stall_disk):
    dispatcher, _ = keyed
    service = dispatcher.service
    dispatcher.asked("a1")
    dispatcher.launched()
    (first_job,) = service.first_jobs.values()
    disk_resumed = stall_disk(service)
    first_job.exchange.rejected(0)
    second = dispatcher.asked("a2")
    assert dispatcher.turn(lambda: dispatcher.verdict_count(Verdict.NEW) == 2)
    disk_resumed.set()
    worker, head = dispatcher.launched()
    assert b"a2" in head
    answers(worker, b"a2")
    assert is_answer(dispatcher.rig.reply(second))
    assert dispatcher.turn(service.idle)
    assert not service.first_jobs


@pytest.mark.parametrize(("disk_fails", "says"), [(False, b" 200 "), (True, b" 500 ")])
def test_repeat_gets_no_answer_before_it_is_on_disk(disk_fails, says, keyed, stall_disk, monkeypatch):
    dispatcher, _ = keyed
    service = dispatcher.service
    first = dispatcher.asked("a1")
    worker, _ = dispatcher.launched()
    if disk_fails:

        def full(records):
            raise OSError(28, "No space left on device")

        monkeypatch.setattr(service.writer.wal, "append", full)
    disk_resumed = stall_disk(service)
    answers(worker, b"a1")
    (record,) = service.key_table.records.values()
    assert dispatcher.turn(lambda: record.state == RecordState.ANSWERED)
    second = dispatcher.asked("a2")
    assert dispatcher.turn(lambda: dispatcher.verdict_count(Verdict.ANSWER) == 1)
    assert not dispatcher.turn(lambda: service.idle(), 50_000)
    second.setblocking(False)
    with pytest.raises(BlockingIOError):
        second.recv(1)
    second.setblocking(True)
    disk_resumed.set()
    assert says in dispatcher.rig.reply(first)
    assert says in dispatcher.rig.reply(second)


@pytest.mark.parametrize(
    ("changed", "says"),
    [
        ({"copies": 3}, "copies is 3, but no peers are configured"),
        ({"copies": 8}, "repeats.copies is above 7"),
        ({"sync": 1}, "sync cannot be read"),
        ({"entries": 0}, "repeats.entries"),
        ({"keep": 1}, "repeats.keep is un"),
        ({"folder": None}, "folder is missing"),
    ],
)
def test_invalid_settings_of_repeats_are_refused_with_a_message(changed, says, tmp_path):
    with pytest.raises(ConfigurationError, match=says):
        load_configuration(file(tmp_path, repeats={"folder": "x", **changed}), {})
