"""What is valid after a start of what was stored before, and what the decisions begin with; no process."""

import msgspec
import pytest
from helpers import arrive, pull, scheduler
from hypothesis import given, settings
from hypothesis import strategies as st

from mastledge.recovery.errors import RecoveryRecordError
from mastledge.recovery.newest_list import NewestList
from mastledge.recovery.recovery_record import (
    ClockReading,
    LearnedWorker,
    PersistedRecovery,
    RecoveryRecord,
    StoredWorker,
    UnfinishedLoad,
)
from mastledge.recovery.restored_state import (
    InheritedWorker,
    WorkerIdentity,
    inherited_workers,
    restore,
    surviving_loads,
)
from mastledge.scheduling.decisions import LaunchJob

HERE = ["127.0.0.1", 7070]


def record(**changed):
    fields = {
        "unix_us": 100_000_000,
        "monotonic_us": 50_000_000,
        "boot_id": "x",
        "registry": "r",
        "generation": 7,
        "listed_at": 100_000_000,
        "workers": {"w0": StoredWorker("ready", 0, HERE), "w1": StoredWorker("draining", 5_000, HERE)},
        "learned_at": 100_000_000,
        "learned": {"w0": LearnedWorker(4.0, 4.0, 1.5, [])},
        "loads": {
            "w0": UnfinishedLoad(0, HERE, 3.0, 102_000_000),
            "w1": UnfinishedLoad(5_000, HERE, 2.0, 100_500_000),
        },
    }
    return RecoveryRecord(**{**fields, **changed})


def restored(stored, now=101_000_000, monotonic=51_000_000, boot_id="x"):
    return restore(stored, ClockReading(now, monotonic, boot_id), "r", 10_000_000)


def test_what_is_stored_is_restored_for_as_long_as_it_may_hold():
    state = restored(record())
    assert state.age_us == 1_000_000
    assert state.generation == 7
    assert not state.rejected_parts
    assert state.restricted() == {"w1": 5_000}
    assert set(state.loads) == {"w0"}
    assert restored(record(), monotonic=53_000_000).loads == {}
    old = restored(record(), monotonic=61_000_000)
    assert not old.workers
    assert "10000 ms" in old.rejected_parts["list"]
    assert old.generation == 0


def test_a_clock_that_was_set_counts_only_where_the_machine_was_started_anew():
    ahead = restored(record(), now=70_000_000)  # set back by 30 s within one boot: the other clock tells
    assert ahead.age_us == 1_000_000
    assert ahead.workers
    assert set(ahead.loads) == {"w0"}
    assert ahead.loads["w0"].until == 71_000_000  # by the clock of now
    assert "30 s ahead" in restored(record(), now=70_000_000, boot_id="y").rejected_parts["all"]
    far = restored(record(), now=130_000_000, boot_id="y")  # thirty seconds ahead: older, nothing looser
    assert not far.workers
    assert not far.loads
    assert restored(record(), now=99_000_000, boot_id="y").age_us == 0  # a small step of the clock
    assert "backwards" in restored(record(), monotonic=1).rejected_parts["all"]


@pytest.mark.parametrize(
    ("stored", "reason"),
    [
        (RecoveryRecord(), "no recovery record is stored"),
        (PersistedRecovery().record, "no recovery record is stored"),
        (record(format=9), "the record has format 9"),
        (record(registry="q"), "another"),
    ],
)
def test_what_is_not_of_this_place_or_version_is_rejected_with_its_reason(stored, reason):
    state = restored(stored)
    assert reason in "".join(state.rejected_parts.values())
    assert not state.workers
    assert not state.restricted()


def newest_list():
    newest = NewestList()
    state = restored(record())
    newest.restore(state.generation, state.restricted())
    return newest


def test_an_older_list_frees_nobody_whom_a_newer_one_restricted():
    newest = newest_list()
    assert newest.excluded(6, {"w0": 0, "w1": 5_000}) == {"w1"}
    assert newest.excluded(6, {"w0": 0}) == {"w1"}
    assert newest.excluded(7, {"w0": 0, "w1": 5_000}) == frozenset()
    assert newest.excluded(6, {"w1": 99_000}) == frozenset()  # started anew since
    assert newest.excluded(None, {"w1": 5_000}) == frozenset()


def test_the_newest_list_says_who_is_restricted_and_an_older_one_changes_nothing():
    newest = newest_list()
    newest.observe(6, [("w1", "ready")], {}, True)
    assert newest.restricted == {"w1": 5_000}
    newest.observe(8, [("w1", "ready"), ("w2", "draining")], {"w2": 9_000}, False)
    assert newest.restricted == {"w2": 9_000}
    newest.observe(9, [("w1", "ready")], {"w1": 0, "w2": 9_000}, True)  # who is not named is gone
    assert newest.restricted == {"w2": 9_000}
    newest.restore(7, {"w9": 1})  # a slow disk
    assert newest.restricted == {"w2": 9_000}
    assert newest.generation == 9


def test_former_launches_weigh_on_the_same_worker_until_they_must_have_ended():
    state = restored(record())
    there = {"w0": WorkerIdentity(0, HERE), "w1": WorkerIdentity(5_000, HERE)}
    restarted = {"w0": WorkerIdentity(77_000_000, HERE)}
    assert surviving_loads(state, 101_000_000, there) == {"w0": 3.0}
    assert surviving_loads(state, 102_000_001, there) == {}
    assert surviving_loads(state, 101_000_000, restarted) == {}
    moved = {"w0": WorkerIdentity(0, ["127.0.0.1", 1])}
    assert surviving_loads(state, 101_000_000, moved) == {}
    inherited = inherited_workers(state, 101_000_000, there)
    assert inherited == {"w0": InheritedWorker(4.0, 4.0, 1.5, [], 3.0)}
    assert inherited["w0"].fields() == [4.0, 4.0, 1.5, [], 3.0]
    assert inherited_workers(state, 101_000_000, restarted) == {}


def test_a_former_load_is_in_the_way_of_what_comes_and_fades():
    made = scheduler(workers=2)
    made.restore_learned(0, {"0": [4.0, 4.0, 1.0, [], 4.0], "1": [4.0, 4.0, 1.0, []]})
    arrive(made)
    assert [(d.__class__, d.job, d.worker) for d in pull(made, 0)] == [(LaunchJob, 1, 1)]
    before = made.other_load.at(made.workers[0], 0)
    assert before == 4.0
    assert made.other_load.at(made.workers[0], 10_000_000) < 0.2
    assert made.workers[1].other_load == 0.0


def test_a_part_of_which_all_are_set_aside_does_not_stop_the_decisions():
    """More ready workers than the part holds, all set aside when it was filled: before, IndexError."""
    made = scheduler(workers=40, dispatchers=40)
    pull(made, 0)
    assert made.subset.looks_past
    made.subset.members = []
    arrive(made)
    assert isinstance(pull(made, 0)[0], LaunchJob)
    assert len(made.subset.members) == 1


def take_as_read(keeper, fields):
    """A record as it comes from the disk."""
    keeper.apply(msgspec.msgpack.decode(msgspec.msgpack.encode(fields)))


@given(st.integers(0, 3), st.booleans())
@settings(max_examples=20)
def test_records_amount_to_what_was_stored(cut, again):
    keeper, when = PersistedRecovery(), (9, 8, "x")
    workers = {"w0": ["ready", 0, HERE, "a", "m", 0, 1.0]}
    records = [
        ["list", *when, "r", 7, workers],
        ["out", 10, 9, "x", {"w0": [0, HERE, 2.0, 30]}],
        ["learned", 11, 10, "x", {"w0": [1.0, 1.0, 1.0, []]}],
    ]
    for fields in records[:cut]:
        take_as_read(keeper, fields)
    other = PersistedRecovery()
    for fields in keeper.compacted_records():
        take_as_read(other, fields)
    assert other.record.workers == keeper.record.workers
    assert other.record.loads == keeper.record.loads
    assert other.record.learned == keeper.record.learned
    assert other.record.unix_us == keeper.record.unix_us
    with pytest.raises(RecoveryRecordError, match="later version"):
        keeper.apply(["what", *when])


@pytest.mark.parametrize(
    "fields",
    [
        ["list", 9, 8, "x", "r", 7],
        ["list", 9, 8, "x", "r", 7, {}, "more"],
        ["out", 9, 8, "x", {"w0": [0]}],
        ["out", 9, 8],
    ],
)
def test_a_record_that_makes_no_sense_is_refused(fields):
    with pytest.raises(RecoveryRecordError):
        take_as_read(PersistedRecovery(), fields)
