"""Load that is told, keys, messages and settings that change: each test builds a state and makes one call."""

import math

import pytest
from helpers import arrive, entry, pull, queue_type, scheduler

from mastledge.protocol import load_messages
from mastledge.scheduling.decisions import FollowEndpoints, KillJob, SendLoadMessage

FIELDS = ["backlog", "free_slots", "free_memory"]


def told_of_load(**other):
    return scheduler(report_how="piggyback", report_fields=FIELDS, **other)


def job_of(made, job=1, now=0, key=0, **other):
    arrive(made, now, job, **other)
    made.jobs[job].key = key
    return made.jobs[job]


def answered(made, report, now=1_000_000, job=1):
    """One job, sent, started and answered with this report; gives its worker."""
    arrive(made, now - 200_000, job)
    (launch,) = pull(made, now - 200_000)
    worker_id = launch.worker
    made.launch_started(now - 199_000, job, 0)
    made.launch_ended(now, job, 0, "completed", 200_000, True, report)
    return made.workers[worker_id]


@pytest.mark.parametrize(
    ("report", "extra"), [([0.0, 5.0, 5.0], 0.0), ([0.0, 1.0, 3.0], 2.0), ([2.0, 0.0, 0.0], 5.0)]
)
def test_a_report_tells_what_others_have_there(report, extra):
    made = told_of_load(workers=1)
    made.ready[0].slots = 4.0
    # The answered job itself was there when the report was made.
    worker = answered(made, report)
    assert worker.other_load == extra and made.other_load.at(worker, worker.other_load_at) == extra


def test_ones_own_share_of_a_report_is_taken_off():
    made = told_of_load(workers=1)
    arrive(made, 0, 7, hint=9_000_000)
    pull(made, 0)
    made.launch_started(1_000, 7, 0)
    made.ready[0].slots = 4.0
    assert answered(made, [1.0, 0.0, 0.0]).other_load == 3.0


@pytest.mark.parametrize(
    "report",
    [
        [],
        [math.nan, 2.0, 1.0],
        [0.0, -1.0, 0.0],
        [-1.0, 2.0, 0.0],
        [1e9, 0.0, 0.0],
        [0.0, math.inf, 0.0],
        [3.0],
    ],
)
def test_a_report_that_lacks_figures_or_is_absurd_is_no_load(report):
    worker = answered(told_of_load(workers=1), report)
    assert (worker.other_load, worker.usual_other_load, worker.last_report) == (0.0, 0.0, None)


def test_reports_are_passed_over_where_they_do_not_come_with_answers():
    made = scheduler(workers=1, report_how="pull", report_fields=FIELDS)
    assert answered(made, [9.0, 0.0, 0.0]).last_report is None


def test_slots_are_the_most_that_reports_show_free_but_for_noise():
    made = told_of_load(workers=2)
    for n in range(120):
        answered(made, [0.0, 4.0 + n / 1000, 4.0], 1_000_000 + n * 1_000_000, n)
    made.reports.free_slot_counts[0][9] = 1
    made.survey()
    assert [worker.slots for worker in made.ready] == [4.0, 4.0]


def test_of_two_workers_without_contention_the_one_with_more_room_is_picked():
    # By load alone a box of two slots with one job came before one of eight with two.
    made = told_of_load(workers=2)
    made.reports.free_slot_counts[0] = {8: 1}
    for worker, slots, load in zip(made.ready, (2.0, 8.0), (1.0, 2.0), strict=True):
        worker.slots, worker.other_load, worker.usual_other_load, worker.last_report = (
            slots,
            load,
            load,
            [0.0],
        )
    picked = {made.selector.pick(job_of(made, n), 0, None)[0].slots for n in range(20)}
    assert picked == {8.0}


@pytest.mark.parametrize("tells_start", [True, False])
def test_a_worker_that_tells_no_start_is_not_taken_for_a_full_one(tells_start):
    made = scheduler(workers=1, tells_start=tells_start)
    arrive(made)
    pull(made, 0)
    assert (made.other_load.at(made.ready[0], 500_000) > 0) is tells_start


@pytest.mark.parametrize(("now", "ejected"), [(600_000, False), (3_000_000, True)])
def test_without_start_notes_silence_is_told_by_the_jobs_own_end(now, ejected):
    made = scheduler([queue_type(target=4_000_000)], workers=4, tells_start=False)
    made.estimates.running_time.mean = 50_000
    arrive(made, 1_000, hint=700_000)
    pull(made, 1_000)
    launch = made.jobs[1].launches[0]
    launch.curve_entry = (now, *launch.curve_entry[1:])
    made.check_launch(launch, now)
    assert bool(launch.worker.ejections) is ejected


def test_an_answer_taken_up_late_is_no_slow_worker():
    made = scheduler(workers=2)
    arrive(made)
    (launch,) = pull(made, 0)
    worker_id = launch.worker
    made.launch_started(1_000, 1, 0)
    made.launch_ended(700_000, 1, 0, "completed", 101_000, True, [])
    assert made.estimates.running_time.mean == 100_000 and made.workers[worker_id].slow <= 1.0


@pytest.mark.parametrize("hint", [100_000, 0])
def test_a_hint_stands_before_the_key(hint):
    made = scheduler()
    for job, took in enumerate((900_000, 900_000), 1):
        made.job_arrived(0, job, 0, 0, 5, 1.0, 0.0, 0, 5_000_000)
        pull(made, 0)
        made.jobs[job].launches[0].fetch_certain = True
        made.launch_started(1_000, job, 0)
        made.launch_ended(took + 1_000, job, 0, "completed", took, True, [])
    made.job_arrived(2_000_000, 3, 0, hint, 5, 1.0, 0.0, 0, 5_000_000)
    assert made.jobs[3].mean == (hint or 900_000)


def test_dispatchers_agree_on_the_home_of_a_key():
    one, other = scheduler(workers=9, seed=1), scheduler(workers=0, seed=2)
    other.update_endpoints(0, "whole", [entry(i) for i in reversed(range(9))])
    homes = [[made.affinity.homes_of(key)[0].id for key in range(1, 200)] for made in (one, other)]
    assert homes[0] == homes[1] and max(map(homes[0].count, range(9))) < 2 * 199 / 9


def test_a_key_has_as_many_homes_as_its_jobs_fill_and_none_is_crowded():
    made = scheduler(workers=10)
    made.affinity.key_work.update({1: 5e9, **{key: 5e7 for key in range(2, 102)}})
    made.affinity.assign_homes()
    assert len(made.affinity.homes[1]) in (5, 6) and all(
        len(made.affinity.homes[key]) == 1 for key in range(2, 102)
    )
    hot = sum(made.affinity.homes[key][0] in made.affinity.homes[1] for key in range(2, 102))
    assert hot < 40


def test_keys_that_never_come_again_are_bounded():
    # Where each client is a key of its own, they and their orders would have filled the memory.
    made = scheduler(workers=2)
    for key in range(1, 6_000):
        made.job_arrived(0, key, 0, 100_000, key, 1.0, 0.0, 0, 5_000_000)
        made.affinity.homes_of(key)
    made.fade(1_000_000)
    held = (made.affinity.key_work, made.gossip.untold_wants, made.affinity.orders, made.affinity.homes)
    assert [len(kept) for kept in held] == 4 * [4_096] and made.affinity.key_work[1] > 0


@pytest.mark.parametrize(("ahead", "home"), [(0, True), (1, True), (30, False)])
def test_a_key_stays_at_home_until_the_queue_there_costs_more_than_fetching(ahead, home):
    made = scheduler(workers=4)
    job = job_of(made, key=5)
    kept = made.affinity.homes_of(5)[0]
    kept.slots = 1.0
    kept.load_curve, kept.load = [(9_000_000, n, 1.0) for n in range(ahead)], float(ahead)
    kept.running = kept.load
    assert (made.selector.pick(job, 0, None)[0] is kept) is home


@pytest.mark.parametrize(
    ("dispatchers", "price", "may", "sends"),
    [(16, 0.01, True, True), (130, 0.01, True, False), (16, 0.01, False, False), (1, 0.0, True, False)],
)
def test_messages_go_where_their_price_and_number_allow_it(dispatchers, price, may, sends):
    made = scheduler(dispatchers=dispatchers, price_peer=price, may_message=may)
    made.traffic.arrivals, made.traffic.seconds = [40.0], 1.0
    made.survey()
    arrive(made)
    assert any(isinstance(d, SendLoadMessage) for d in pull(made, 2_000_000)) is sends


def message(sent):
    return load_messages.decoded(load_messages.encoded(*sent))


def test_a_message_tells_loads_and_wants():
    one, other = (scheduler(dispatchers=2, me=me, may_message=True) for me in (0, 1))
    one.job_arrived(0, 1, 0, 100_000, 5, 1.0, 0.0, 0, 5_000_000)
    pull(one, 0)
    (sent,) = (d for d in pull(one, one.gossip.interval) if isinstance(d, SendLoadMessage))
    other.load_message_received(0, 0, *message((sent.told_at, sent.loads, sent.wants)))
    worker = one.jobs[1].launches[0].worker
    assert [w.id for w in other.ready if other.other_load.at(w, 0) == 1.0] == [
        worker.id
    ] and other.affinity.key_work[5] == 100_000
    assert sum(other.other_load.at(w, 0) for w in other.ready) == 1.0


@pytest.mark.parametrize(
    ("sender", "told_at", "name", "load"),
    [
        (2, 5, "known", 6.0),
        (2, 4, "known", 3.0),
        (2, 3, "known", 3.0),
        (2, 5, "foreign", 0.0),
        (1, 5, "known", 3.0),
    ],
)
def test_a_later_message_replaces_the_one_before_and_stale_foreign_or_own_ones_add_nothing(
    sender, told_at, name, load
):
    made = scheduler(dispatchers=3, me=1, may_message=True)
    worker = made.ready[0]
    made.load_message_received(0, 2, 4, [(worker.name_hash, 3.0)], [])
    made.load_message_received(
        0, sender, told_at, [(worker.name_hash if name == "known" else 12345, 6.0)], []
    )
    assert worker.gossiped_load == load


def test_who_is_not_heard_any_more_has_nothing_out():
    made = scheduler(dispatchers=3, me=1, may_message=True)
    made.load_message_received(0, 2, 4, [(made.ready[0].name_hash, 3.0)], [])
    made.fade(10_000_000)
    assert made.ready[0].gossiped_load == 0 and not made.gossip.peers


WHOLE = load_messages.encoded(7, [(1, 2.0)], [(9, 5_000)])


@pytest.mark.parametrize(
    "content",
    [
        b"",
        WHOLE[:9],
        WHOLE[:-1],
        b"xxxx" + WHOLE[4:],
        WHOLE + bytes(256),
        WHOLE[:4] + b"\xff\xff" + WHOLE[6:],
    ],
)
def test_what_is_no_message_is_told_as_none(content):
    assert (
        load_messages.decoded(WHOLE) == (7, [(1, 2.0)], [(9, 5_000)])
        and load_messages.decoded(content) is None
    )


def test_a_message_fits_whatever_is_told():
    content = load_messages.encoded(7, [(n, 1e9) for n in range(99)], [(n, 1e18) for n in range(99)])
    assert len(content) <= 256 and load_messages.decoded(content)[1][0] == (0, 255 / 4)


def settings_of(made, types, **other):
    for n, queue in enumerate(types):
        queue.setdefault("name", n)
    return {**made.settings, "queue_types": types, **other}


def test_new_settings_keep_what_was_learned_by_name():
    made = scheduler([queue_type(name="a"), queue_type(name="b")])
    made.queue_types[0].running_time.mean, made.ready[0].slow = 77.0, 1.5
    made.reconfigure(0, settings_of(made, [queue_type(name="c"), queue_type(name="a", target=9)]))
    assert [(queue.name, queue.running_time.mean == 77.0) for queue in made.queue_types] == [
        ("c", False),
        ("a", True),
    ]
    assert made.ready[0].slow == 1.5 and made.queue_types[1].target == 9


@pytest.mark.parametrize(
    "types", [[queue_type("restartable", group="all", name="a")], [queue_type("restartable", name="other")]]
)
def test_an_open_job_keeps_its_terms_though_its_type_changes_or_goes(types):
    made = scheduler([queue_type("run-once", name="a")])
    arrive(made)
    pull(made, 0)
    made.reconfigure(10_000, settings_of(made, types))
    made.launch_ended(50_000, 1, 0, "error", 50_000, False, [])
    assert pull(made, 50_000) == [KillJob(1)]


@pytest.mark.parametrize(
    ("before", "after", "asked"),
    [("pushed", "asked", True), ("asked", "pushed", False), ("pushed", "pushed", False)],
)
def test_the_list_is_asked_for_once_the_settings_say_so(before, after, asked):
    made = scheduler(follow=before)
    made.reconfigure(10_000, settings_of(made, [queue_type()], follow=after))
    assert (FollowEndpoints() in pull(made, 1_000_000)) is asked


def test_a_worker_stays_ejected_for_a_type_that_moved():
    made = scheduler([queue_type(name="a"), queue_type(name="b")])
    arrive(made, 0, 1, 1)
    pull(made, 0)
    made.launch_ended(5_000, 1, 0, "error", 5_000, False, [])
    made.reconfigure(5_000, settings_of(made, [queue_type(name="b"), queue_type(name="a")]))
    bad = next(worker for worker in made.ready if worker.ejections)
    arrive(made, 6_000, 2, 0)
    arrive(made, 6_000, 3, 1)
    assert [made.eligibility.allows(bad, made.jobs[job], 6_000, None) for job in (2, 3)] == [False, True]


def test_tenants_keep_their_traffic_by_name():
    old = [{"name": "x", "portion": 0.5, "quota": 1.0}, {"name": "y", "portion": 0.5, "quota": 1.0}]
    made = scheduler(tenants=old)
    made.traffic.arrivals = [3.0, 8.0]
    made.reconfigure(0, settings_of(made, [queue_type()], tenants=old[1:]))
    assert made.traffic.arrivals == [8.0]
