"""Tests of the state restored after a start and the scheduler's initial state, without processes."""

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
    """Return a stored record of two workers, with some fields changed."""
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
    """Return the state that is restored from a record at these clocks, with a list validity of 10 s."""
    return restore(stored, ClockReading(now, monotonic, boot_id), "r", 10_000_000)


def test_stored_state_is_restored_until_it_is_too_old():
    state = restored(record())
    assert state.age_us == 1_000_000
    assert state.generation == 7
    assert not state.rejected_parts
    assert state.restricted() == {"w1": 5_000}
    assert set(state.loads) == {"w0"}
    assert restored(record(), monotonic=53_000_000).loads == {}
    expired = restored(record(), monotonic=61_000_000)
    assert not expired.workers
    assert "10000 ms" in expired.rejected_parts["list"]
    assert expired.generation == 0


def test_unix_time_decides_the_age_only_after_a_reboot():
    # Unix time is set back by 30 s within one boot: monotonic time counts.
    clock_set_back = restored(record(), now=70_000_000)
    assert clock_set_back.age_us == 1_000_000
    assert clock_set_back.workers
    assert set(clock_set_back.loads) == {"w0"}
    assert clock_set_back.loads["w0"].until == 71_000_000  # in the current Unix time
    assert "30 s ahead" in restored(record(), now=70_000_000, boot_id="y").rejected_parts["all"]
    # Unix time is 30 s ahead: the state counts as too old.
    clock_ahead = restored(record(), now=130_000_000, boot_id="y")
    assert not clock_ahead.workers
    assert not clock_ahead.loads
    assert restored(record(), now=99_000_000, boot_id="y").age_us == 0  # a small step of the clock
    assert "backwards" in restored(record(), monotonic=1).rejected_parts["all"]


@pytest.mark.parametrize(
    ("stored", "reason"),
    [
        (RecoveryRecord(), "nothing"),
        (PersistedRecovery().record, "nothing"),
        (record(format=9), "format 9"),
        (record(registry="q"), "another"),
    ],
)
def test_state_of_another_registry_or_format_is_rejected_with_a_reason(stored, reason):
    state = restored(stored)
    assert reason in "".join(state.rejected_parts.values())
    assert not state.workers
    assert not state.restricted()


def newest_list():
    """Return the newest list as restored from the record."""
    newest = NewestList()
    state = restored(record())
    newest.restore(state.generation, state.restricted())
    return newest


def test_older_list_lifts_no_restriction_of_a_newer_list():
    newest = newest_list()
    assert newest.excluded(6, {"w0": 0, "w1": 5_000}) == {"w1"}
    assert newest.excluded(6, {"w0": 0}) == {"w1"}
    assert newest.excluded(7, {"w0": 0, "w1": 5_000}) == frozenset()
    assert newest.excluded(6, {"w1": 99_000}) == frozenset()  # restarted since
    assert newest.excluded(None, {"w1": 5_000}) == frozenset()


def test_only_the_newest_list_changes_the_restricted_workers():
    newest = newest_list()
    newest.observe(6, [("w1", "ready")], {}, True)
    assert newest.restricted == {"w1": 5_000}
    newest.observe(8, [("w1", "ready"), ("w2", "draining")], {"w2": 9_000}, False)
    assert newest.restricted == {"w2": 9_000}
    # A worker that a whole list omits is gone.
    newest.observe(9, [("w1", "ready")], {"w1": 0, "w2": 9_000}, True)
    assert newest.restricted == {"w2": 9_000}
    newest.restore(7, {"w9": 1})  # restored late, from a slow disk
    assert newest.restricted == {"w2": 9_000}
    assert newest.generation == 9


def test_previous_load_counts_on_the_same_incarnation_until_it_must_have_ended():
    state = restored(record())
    unchanged = {"w0": WorkerIdentity(0, HERE), "w1": WorkerIdentity(5_000, HERE)}
    restarted = {"w0": WorkerIdentity(77_000_000, HERE)}
    assert surviving_loads(state, 101_000_000, unchanged) == {"w0": 3.0}
    assert surviving_loads(state, 102_000_001, unchanged) == {}
    assert surviving_loads(state, 101_000_000, restarted) == {}
    moved = {"w0": WorkerIdentity(0, ["127.0.0.1", 1])}
    assert surviving_loads(state, 101_000_000, moved) == {}
    inherited = inherited_workers(state, 101_000_000, unchanged)
    assert inherited == {"w0": InheritedWorker(4.0, 4.0, 1.5, [], 3.0)}
    assert inherited["w0"].fields() == [4.0, 4.0, 1.5, [], 3.0]
    assert inherited_workers(state, 101_000_000, restarted) == {}


def test_previous_load_keeps_new_launches_away_and_decays():
    tested_scheduler = scheduler(workers=2)
    tested_scheduler.restore_learned(0, {"0": [4.0, 4.0, 1.0, [], 4.0], "1": [4.0, 4.0, 1.0, []]})
    arrive(tested_scheduler)
    assert [(d.__class__, d.job, d.worker) for d in pull(tested_scheduler, 0)] == [(LaunchJob, 1, 1)]
    initial_load = tested_scheduler.other_load.at(tested_scheduler.workers[0], 0)
    assert initial_load == 4.0
    assert tested_scheduler.other_load.at(tested_scheduler.workers[0], 10_000_000) < 0.2
    assert tested_scheduler.workers[1].other_load == 0.0


def test_scheduler_launches_with_all_workers_of_its_subset_ejected():
    """An empty subset, with more ready workers than it holds, must not raise IndexError."""
    tested_scheduler = scheduler(workers=40, dispatchers=40)
    pull(tested_scheduler, 0)
    assert tested_scheduler.subset.has_non_members
    tested_scheduler.subset.members = []
    arrive(tested_scheduler)
    assert isinstance(pull(tested_scheduler, 0)[0], LaunchJob)
    assert len(tested_scheduler.subset.members) == 1


def apply_encoded(persisted, fields):
    """Apply a record after encoding and decoding it, as when read from disk."""
    persisted.apply(msgspec.msgpack.decode(msgspec.msgpack.encode(fields)))


@given(st.integers(0, 3), st.booleans())
@settings(max_examples=20)
def test_compacted_records_replay_to_the_same_state(cut, again):
    persisted, written_at = PersistedRecovery(), (9, 8, "x")
    workers = {"w0": ["ready", 0, HERE, "a", "m", 0, 1.0]}
    records = [
        ["list", *written_at, "r", 7, workers],
        ["out", 10, 9, "x", {"w0": [0, HERE, 2.0, 30]}],
        ["learned", 11, 10, "x", {"w0": [1.0, 1.0, 1.0, []]}],
    ]
    for fields in records[:cut]:
        apply_encoded(persisted, fields)
    replayed = PersistedRecovery()
    for fields in persisted.compacted_records():
        apply_encoded(replayed, fields)
    assert replayed.record.workers == persisted.record.workers
    assert replayed.record.loads == persisted.record.loads
    assert replayed.record.learned == persisted.record.learned
    assert replayed.record.unix_us == persisted.record.unix_us
    with pytest.raises(RecoveryRecordError, match="later version"):
        persisted.apply(["what", *written_at])


@pytest.mark.parametrize(
    "fields",
    [
        ["list", 9, 8, "x", "r", 7],
        ["list", 9, 8, "x", "r", 7, {}, "more"],
        ["out", 9, 8, "x", {"w0": [0]}],
        ["out", 9, 8],
    ],
)
def test_malformed_record_is_refused(fields):
    with pytest.raises(RecoveryRecordError):
        apply_encoded(PersistedRecovery(), fields)
