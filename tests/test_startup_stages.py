"""A start: its steps, what is believed of a folder, how far the door is open; no process."""

import msgspec
import pytest
from helpers import arrive, pull, scheduler
from hypothesis import given, settings
from hypothesis import strategies as st

from mastledge.recovery import restored_state as b
from mastledge.recovery import startup_stages as s
from mastledge.recovery.admission_ramp import DONE, ELSE, TURNED, AdmissionRamp
from mastledge.scheduling.decisions import LaunchJob

HERE = ["127.0.0.1", 7070]


# Steps


def test_steps_go_on_one_by_one_and_say_what_they_wait_for():
    steps = s.StartupStages(0, True)
    steps.told(s.READING, False, "its folder")
    assert steps.look(1000) == s.READING and steps.waiting() == "reading what lasts: its folder"
    for step, after in zip(s.ORDER, s.ORDER[1:], strict=False):
        assert not steps.may_serve() or step == s.OPENING
        steps.told(step, True)
        assert steps.look(2000) == after
    assert steps.look(3000) == s.OPEN and steps.waiting() == "" and not steps.lesser
    assert steps.figures(3000)["took_ms"][s.READING] == 2


def test_a_step_in_vain_leads_to_a_stated_lesser_service_but_no_lease_is_no_service():
    steps = s.StartupStages(0, True)
    assert steps.look(s.BOUND[s.READING]) == s.AGREEING
    assert steps.lesser == {s.READING: s.WITHOUT[s.READING]}
    late = s.BOUND[s.READING] + s.BOUND[s.AGREEING]
    assert steps.look(late + 60_000_000) == s.AGREEING and not steps.may_serve()
    assert s.WITHOUT[s.AGREEING] in steps.figures(late)["lesser_service"]
    steps.told(s.AGREEING, True)
    steps.told(s.READING, True)  # the disk has answered after all
    now = late + 60_000_000
    assert steps.look(now) == s.LISTING and not steps.lesser
    assert steps.look(now + s.BOUND[s.LISTING]) == s.TAKING
    assert steps.look(now + s.BOUND[s.LISTING] + s.BOUND[s.TAKING]) == s.OPENING and steps.may_serve()
    assert (
        s.StartupStages(0, False).look(s.BOUND[s.READING]) == s.LISTING
    )  # one alone has nobody to agree with


# Belief


def kept(**changed):
    workers = {"w0": b.Worker("ready", 0, HERE), "w1": b.Worker("draining", 5_000, HERE)}
    told = {
        "at": 100_000_000,
        "mono": 50_000_000,
        "boot": "x",
        "registry": "r",
        "generation": 7,
        "listed_at": 100_000_000,
        "workers": workers,
        "learned_at": 100_000_000,
        "learned": {"w0": [4.0, 4.0, 1.5, []]},
        "out": {"w0": b.Out(0, HERE, 3.0, 102_000_000), "w1": b.Out(5_000, HERE, 2.0, 100_500_000)},
    }
    return b.RecoveryRecord(**{**told, **changed})


def believed(told, now=101_000_000, mono=51_000_000, boot="x", registry="r", valid=10_000_000):
    return b.believed(told, now, mono, boot, registry, valid)


def test_what_is_kept_is_believed_for_as_long_as_it_may_hold():
    belief = believed(kept())
    assert belief.age == 1_000_000 and belief.generation == 7 and not belief.unbelieved
    assert belief.restricted == {"w1": 5_000} and set(belief.out) == {"w0"}
    assert believed(kept(), mono=53_000_000).out == {}
    old = believed(kept(), mono=61_000_000)
    assert not old.workers and "10000 ms" in old.unbelieved["list"] and old.generation == 0


def test_a_clock_that_was_set_counts_only_where_the_machine_was_started_anew():
    ahead = believed(kept(), now=70_000_000)  # set back by 30 s within one boot: the other clock tells
    assert ahead.age == 1_000_000 and ahead.workers and set(ahead.out) == {"w0"}
    assert ahead.out["w0"].until == 71_000_000  # by the clock of now
    assert "30 s ahead" in believed(kept(), now=70_000_000, boot="y").unbelieved["all"]
    far = believed(kept(), now=130_000_000, boot="y")  # thirty seconds ahead: older, nothing looser
    assert not far.workers and not far.out
    assert believed(kept(), now=99_000_000, boot="y").age == 0  # a small step of the clock
    assert "backwards" in believed(kept(), mono=1).unbelieved["all"]


@pytest.mark.parametrize(
    ("told", "says"),
    [
        (None, "nothing"),
        (b.RecoveryRecord(), "nothing"),
        (kept(format=9), "format 9"),
        (kept(registry="q"), "another"),
    ],
)
def test_what_is_not_of_this_place_or_version_is_not_believed_and_says_why(told, says):
    belief = believed(told)
    assert says in "".join(belief.unbelieved.values()) and not belief.workers and not belief.restricted


def test_an_older_list_frees_nobody_whom_a_newer_one_restricted():
    belief = believed(kept())
    assert b.kept_off(belief, 6, {"w0": 0, "w1": 5_000}) == {"w1"}
    assert b.kept_off(belief, 6, {"w0": 0}) == {"w1"}
    assert b.kept_off(belief, 7, {"w0": 0, "w1": 5_000}) == frozenset()
    assert b.kept_off(belief, 6, {"w1": 99_000}) == frozenset()  # started anew since
    assert b.kept_off(belief, None, {"w1": 5_000}) == frozenset()


def test_former_launches_weigh_on_the_same_worker_until_they_must_have_ended():
    belief = believed(kept())
    there = {"w0": (0, HERE), "w1": (5_000, HERE)}
    assert b.weighing(belief, 101_000_000, there) == {"w0": 3.0}
    assert b.weighing(belief, 102_000_001, there) == {}
    assert b.weighing(belief, 101_000_000, {"w0": (77_000_000, HERE)}) == {}  # restarted: dead with it
    assert b.weighing(belief, 101_000_000, {"w0": (0, ["127.0.0.1", 1])}) == {}  # stands elsewhere
    told = b.taught(belief, 101_000_000, there)
    assert told == {"w0": [4.0, 4.0, 1.5, [], 3.0]}
    assert b.taught(belief, 101_000_000, {"w0": (77_000_000, HERE)}) == {}


def test_a_former_load_is_in_the_way_of_what_comes_and_fades():
    made = scheduler(workers=2)
    made.restore_learned(0, {"0": [4.0, 4.0, 1.0, [], 4.0], "1": [4.0, 4.0, 1.0, []]})
    arrive(made)
    assert [(d.__class__, d.job, d.worker) for d in pull(made, 0)] == [(LaunchJob, 1, 1)]
    before = made.other_load.at(made.workers[0], 0)
    assert before == 4.0 and made.other_load.at(made.workers[0], 10_000_000) < 0.2
    assert made.workers[1].other_load == 0.0


def test_a_part_of_which_all_are_set_aside_does_not_stop_the_decisions():
    """More ready workers than the part holds, all set aside when it was filled: before, IndexError."""
    made = scheduler(workers=40, dispatchers=40)
    pull(made, 0)
    assert made.subset.looks_past
    made.subset.members = []
    arrive(made)
    assert isinstance(pull(made, 0)[0], LaunchJob) and len(made.subset.members) == 1


@given(st.integers(0, 3), st.booleans())
@settings(max_examples=20)
def test_records_amount_to_what_was_kept(cut, again):
    keeper, when = b.PersistedRecovery(), (9, 8, "x")
    workers = {"w0": ["ready", 0, HERE, "a", "m", 0, 1.0]}
    records = [
        ["list", *when, "r", 7, workers],
        ["out", 10, 9, "x", {"w0": [0, HERE, 2.0, 30]}],
        ["learned", 11, 10, "x", {"w0": [1.0, 1.0, 1.0, []]}],
    ]
    for record in records[:cut]:
        keeper.apply(msgspec.msgpack.decode(msgspec.msgpack.encode(record)))
    other = b.PersistedRecovery()
    for record in keeper.compacted_records():
        other.apply(msgspec.msgpack.decode(msgspec.msgpack.encode(record)))
    assert other.kept.workers == keeper.kept.workers and other.kept.out == keeper.kept.out
    assert other.kept.learned == keeper.kept.learned and other.kept.at == keeper.kept.at
    with pytest.raises(ValueError, match="later version"):
        keeper.apply(["what", *when])


# The door


def door(slots=16.0, dispatchers=2, bound=5_000_000):
    made = AdmissionRamp(7, 0, bound, 1_000_000)
    made.sized(0, slots, dispatchers)
    made.begins(0)
    return made


def test_a_door_begins_at_half_its_part_and_opens_by_what_ends_well():
    made = door()
    let = [made.admit(0, False) for _ in range(6)]
    assert let[:4] == [None] * 4 and all(0 < wait <= 1_000_000 for wait in let[4:])
    held, now = 4, 0
    while made.closed:
        now += 100_000
        assert held <= made.wide() + 1
        for _ in range(held):
            made.ended(now, DONE, 100_000)
        held = 0
        while held < 100 and made.admit(now, False) is None:
            held += 1
    assert now <= 500_000 and made.admit(now, False) is None and made.share() == 1.0


def test_a_start_is_over_after_its_bound_or_when_nothing_was_short_for_a_second():
    made = door()
    made.look(999_999)
    assert made.closed
    made.look(1_000_000)
    assert not made.closed
    made = door()
    for now in range(0, 5_000_000, 100_000):
        made.admit(now, False)
    assert made.closed
    made.look(5_000_000)
    assert not made.closed


def test_what_goes_before_a_start_may_serve_opens_nothing():
    made = AdmissionRamp(7, 0, 5_000_000, 1_000_000)
    made.sized(0, 16, 2)
    made.look(60_000_000)  # a minute without a majority
    assert made.closed
    made.begins(60_000_000)
    made.look(60_500_000)
    assert made.closed and made.admit(60_500_000, True) is None
    made.look(61_000_000)
    assert not made.closed


def test_a_fleet_that_serves_lets_one_more_take_as_much_as_the_others():
    made = door(slots=160, dispatchers=20)
    assert made.room == 4
    made.heard(0, [(9, True), (11, True), (0, False)])
    assert made.room > 8
    alone = door(slots=160, dispatchers=20)
    alone.heard(0, [(9, True), (0, False), (0, False)])
    assert alone.room == 4  # most have just started as well: nobody knows


def overloaded():
    made = door()
    made.look(2_000_000)
    for _ in range(30):
        assert made.admit(2_000_000, False) is None
    for _ in range(30):
        made.ended(2_100_000, ELSE, 100_000)
    return made


def test_work_that_comes_to_nothing_closes_the_door_and_first_tries_go_first():
    made = overloaded()
    assert made.closed and made.why == "overload" and made.room == made.part == 8
    further = sum(made.admit(2_100_000, True) is None for _ in range(20))
    assert further == 7  # less than four fifths of its part in hand
    assert made.admit(2_100_000, False) is None and made.admit(2_100_000, False) is not None
    assert made.figures()["refused_further"] == 13 and made.figures()["refused_first"] == 1


def test_what_the_decisions_turn_away_closes_nothing():
    made = door()
    made.look(2_000_000)
    for _ in range(60):
        made.admit(2_000_000, False)
        made.ended(2_000_000, TURNED, 0)
    assert not made.closed


def test_it_opens_again_once_nobody_was_refused_for_a_second_and_not_before():
    made = overloaded()
    now = 2_100_000
    for n in range(40):
        now += 100_000
        while made.admit(now, True) is None:
            pass
        for _ in range(made.held):
            made.ended(now, DONE, 100_000)
        assert made.closed, n
    now += 1_000_001
    assert made.admit(now, False) is None and not made.closed


@given(
    st.lists(
        st.tuples(st.sampled_from(["first", "further", DONE, TURNED, ELSE]), st.integers(0, 200_000)),
        max_size=300,
    ),
    st.integers(1, 64),
    st.integers(1, 8),
)
@settings(max_examples=200, deadline=None)
def test_no_order_of_events_lets_in_more_than_there_is_room_for(events, slots, dispatchers):
    made, now, held = AdmissionRamp(3, 0, 10**12, 500_000), 0, 0
    made.sized(0, slots, dispatchers)
    made.begins(0)
    for what, wait in events:
        now += wait
        if what in ("first", "further"):
            was, room = made.closed, made.room
            told = made.admit(now, what == "further")
            if told is None:
                held += 1
                assert not made.closed or held <= room + 1
            else:
                assert was and 0 < told <= 500_000
        elif held:
            held -= 1
            made.ended(now, what, wait)
        assert made.held == held and made.room <= 2 * made.wide() and 0 < made.share() <= 1
