"""Load reports, key affinity, load messages and changed settings."""

import math

import pytest
from helpers import arrive, entry, pull, queue_type, scheduler

from mastledge.protocol import load_messages
from mastledge.scheduling.decisions import FollowEndpoints, KillJob, SendLoadMessage

FIELDS = ["backlog", "free_slots", "free_memory"]


def scheduler_with_reports(**other):
    return scheduler(report_how="piggyback", report_fields=FIELDS, **other)


def arrived_job(dispatcher, job=1, now=0, key=0, **other):
    arrive(dispatcher, now, job, **other)
    dispatcher.jobs[job].key = key
    return dispatcher.jobs[job]


def run_job_with_report(dispatcher, report, now=1_000_000, job=1):
    """Launch, start and complete a job with this load report; return its worker."""
    arrive(dispatcher, now - 200_000, job)
    (launch,) = pull(dispatcher, now - 200_000)
    worker_id = launch.worker
    dispatcher.launch_started(now - 199_000, job, 0)
    dispatcher.launch_ended(now, job, 0, "completed", 200_000, True, report)
    return dispatcher.workers[worker_id]


@pytest.mark.parametrize(
    ("report", "extra"), [([0.0, 5.0, 5.0], 0.0), ([0.0, 1.0, 3.0], 2.0), ([2.0, 0.0, 0.0], 5.0)]
)
def test_report_gives_load_of_others(report, extra):
    dispatcher = scheduler_with_reports(workers=1)
    dispatcher.ready[0].slots = 4.0
    # The completed job itself was on the worker when the report was made.
    worker = run_job_with_report(dispatcher, report)
    assert worker.other_load == extra and dispatcher.other_load.at(worker, worker.other_load_at) == extra


def test_own_load_is_subtracted_from_report():
    dispatcher = scheduler_with_reports(workers=1)
    arrive(dispatcher, 0, 7, hint=9_000_000)
    pull(dispatcher, 0)
    dispatcher.launch_started(1_000, 7, 0)
    dispatcher.ready[0].slots = 4.0
    assert run_job_with_report(dispatcher, [1.0, 0.0, 0.0]).other_load == 3.0


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
def test_incomplete_or_invalid_report_is_ignored(report):
    worker = run_job_with_report(scheduler_with_reports(workers=1), report)
    assert (worker.other_load, worker.usual_other_load, worker.last_report) == (0.0, 0.0, None)


def test_reports_are_ignored_unless_piggybacked_on_answers():
    dispatcher = scheduler(workers=1, report_how="pull", report_fields=FIELDS)
    assert run_job_with_report(dispatcher, [9.0, 0.0, 0.0]).last_report is None


def test_slots_are_highest_reported_free_slots_without_noise():
    dispatcher = scheduler_with_reports(workers=2)
    for n in range(120):
        run_job_with_report(dispatcher, [0.0, 4.0 + n / 1000, 4.0], 1_000_000 + n * 1_000_000, n)
    dispatcher.reports.free_slot_counts[0][9] = 1
    dispatcher.recompute()
    assert [worker.slots for worker in dispatcher.ready] == [4.0, 4.0]


def test_uncontended_worker_with_more_free_slots_is_selected():
    # By load alone a worker of two slots with one job would be preferred to one of eight slots with two jobs.
    dispatcher = scheduler_with_reports(workers=2)
    dispatcher.reports.free_slot_counts[0] = {8: 1}
    for worker, slots, load in zip(dispatcher.ready, (2.0, 8.0), (1.0, 2.0), strict=True):
        worker.slots, worker.other_load, worker.usual_other_load, worker.last_report = (
            slots,
            load,
            load,
            [0.0],
        )
    selected_slots = {
        dispatcher.selector.pick(arrived_job(dispatcher, n), 0, None)[0].slots for n in range(20)
    }
    assert selected_slots == {8.0}


@pytest.mark.parametrize("tells_start", [True, False])
def test_worker_without_start_notes_is_not_seen_as_full(tells_start):
    dispatcher = scheduler(workers=1, tells_start=tells_start)
    arrive(dispatcher)
    pull(dispatcher, 0)
    assert (dispatcher.other_load.at(dispatcher.ready[0], 500_000) > 0) is tells_start


@pytest.mark.parametrize(("now", "ejected"), [(600_000, False), (3_000_000, True)])
def test_without_start_notes_worker_is_ejected_only_after_estimated_end(now, ejected):
    dispatcher = scheduler([queue_type(target=4_000_000)], workers=4, tells_start=False)
    dispatcher.estimates.running_time.mean = 50_000
    arrive(dispatcher, 1_000, hint=700_000)
    pull(dispatcher, 1_000)
    launch = dispatcher.jobs[1].launches[0]
    launch.curve_entry = (now, *launch.curve_entry[1:])
    dispatcher.check_launch(launch, now)
    assert bool(launch.worker.ejections) is ejected


def test_answer_processed_late_is_not_learned_as_slowness():
    dispatcher = scheduler(workers=2)
    arrive(dispatcher)
    (launch,) = pull(dispatcher, 0)
    worker_id = launch.worker
    dispatcher.launch_started(1_000, 1, 0)
    dispatcher.launch_ended(700_000, 1, 0, "completed", 101_000, True, [])
    assert dispatcher.estimates.running_time.mean == 100_000 and dispatcher.workers[worker_id].slow <= 1.0


@pytest.mark.parametrize("hint", [100_000, 0])
def test_hint_takes_precedence_over_key_estimate(hint):
    dispatcher = scheduler()
    for job, took in enumerate((900_000, 900_000), 1):
        dispatcher.job_arrived(0, job, 0, 0, 5, 1.0, 0.0, 0, 5_000_000)
        pull(dispatcher, 0)
        dispatcher.jobs[job].launches[0].needs_no_fetch = True
        dispatcher.launch_started(1_000, job, 0)
        dispatcher.launch_ended(took + 1_000, job, 0, "completed", took, True, [])
    dispatcher.job_arrived(2_000_000, 3, 0, hint, 5, 1.0, 0.0, 0, 5_000_000)
    assert dispatcher.jobs[3].mean == (hint or 900_000)


def test_dispatchers_agree_on_home_of_key():
    first, second = scheduler(workers=9, seed=1), scheduler(workers=0, seed=2)
    second.update_endpoints(0, "whole", [entry(i) for i in reversed(range(9))])
    homes = [
        [dispatcher.affinity.homes_of(key)[0].id for key in range(1, 200)] for dispatcher in (first, second)
    ]
    assert homes[0] == homes[1] and max(map(homes[0].count, range(9))) < 2 * 199 / 9


def test_key_has_as_many_homes_as_its_jobs_fill_and_none_is_crowded():
    dispatcher = scheduler(workers=10)
    dispatcher.affinity.key_work.update({1: 5e9, **{key: 5e7 for key in range(2, 102)}})
    dispatcher.affinity.assign_homes()
    assert len(dispatcher.affinity.homes[1]) in (5, 6) and all(
        len(dispatcher.affinity.homes[key]) == 1 for key in range(2, 102)
    )
    keys_on_hot_homes = sum(
        dispatcher.affinity.homes[key][0] in dispatcher.affinity.homes[1] for key in range(2, 102)
    )
    assert keys_on_hot_homes < 40


def test_number_of_kept_keys_is_bounded():
    # Guards against filling the memory when each client uses a key of its own.
    dispatcher = scheduler(workers=2)
    for key in range(1, 6_000):
        dispatcher.job_arrived(0, key, 0, 100_000, key, 1.0, 0.0, 0, 5_000_000)
        dispatcher.affinity.homes_of(key)
    dispatcher.decay(1_000_000)
    key_tables = (
        dispatcher.affinity.key_work,
        dispatcher.gossip.unsent_key_work,
        dispatcher.affinity.orders,
        dispatcher.affinity.homes,
    )
    assert [len(table) for table in key_tables] == 4 * [4_096] and dispatcher.affinity.key_work[1] > 0


@pytest.mark.parametrize(("ahead", "home"), [(0, True), (1, True), (30, False)])
def test_key_stays_at_home_until_queue_costs_more_than_fetch(ahead, home):
    dispatcher = scheduler(workers=4)
    job = arrived_job(dispatcher, key=5)
    home_worker = dispatcher.affinity.homes_of(5)[0]
    home_worker.slots = 1.0
    home_worker.load_curve, home_worker.load = [(9_000_000, n, 1.0) for n in range(ahead)], float(ahead)
    home_worker.running = home_worker.load
    assert (dispatcher.selector.pick(job, 0, None)[0] is home_worker) is home


@pytest.mark.parametrize(
    ("dispatchers", "price", "may", "sends"),
    [(16, 0.01, True, True), (130, 0.01, True, False), (16, 0.01, False, False), (1, 0.0, True, False)],
)
def test_load_messages_are_sent_only_if_price_and_number_allow(dispatchers, price, may, sends):
    dispatcher = scheduler(dispatchers=dispatchers, price_peer=price, may_message=may)
    dispatcher.traffic.arrivals, dispatcher.traffic.seconds = [40.0], 1.0
    dispatcher.recompute()
    arrive(dispatcher)
    assert any(isinstance(d, SendLoadMessage) for d in pull(dispatcher, 2_000_000)) is sends


def encoded_and_decoded(fields):
    return load_messages.decoded(load_messages.encoded(*fields))


def test_load_message_carries_loads_and_wanted_keys():
    sender, receiver = (scheduler(dispatchers=2, me=me, may_message=True) for me in (0, 1))
    sender.job_arrived(0, 1, 0, 100_000, 5, 1.0, 0.0, 0, 5_000_000)
    pull(sender, 0)
    (sent,) = (d for d in pull(sender, sender.gossip.interval) if isinstance(d, SendLoadMessage))
    receiver.load_message_received(0, 0, *encoded_and_decoded((sent.sent_at, sent.loads, sent.key_work)))
    worker = sender.jobs[1].launches[0].worker
    assert [w.id for w in receiver.ready if receiver.other_load.at(w, 0) == 1.0] == [
        worker.id
    ] and receiver.affinity.key_work[5] == 100_000
    assert sum(receiver.other_load.at(w, 0) for w in receiver.ready) == 1.0


@pytest.mark.parametrize(
    ("sender", "sent_at", "name", "load"),
    [
        (2, 5, "known", 6.0),
        (2, 4, "known", 3.0),
        (2, 3, "known", 3.0),
        (2, 5, "foreign", 0.0),
        (1, 5, "known", 3.0),
    ],
)
def test_later_message_replaces_earlier_and_stale_foreign_or_own_ones_are_ignored(
    sender, sent_at, name, load
):
    dispatcher = scheduler(dispatchers=3, me=1, may_message=True)
    worker = dispatcher.ready[0]
    dispatcher.load_message_received(0, 2, 4, [(worker.name_hash, 3.0)], [])
    dispatcher.load_message_received(
        0, sender, sent_at, [(worker.name_hash if name == "known" else 12345, 6.0)], []
    )
    assert worker.gossiped_load == load


def test_load_of_silent_dispatcher_expires():
    dispatcher = scheduler(dispatchers=3, me=1, may_message=True)
    dispatcher.load_message_received(0, 2, 4, [(dispatcher.ready[0].name_hash, 3.0)], [])
    dispatcher.decay(10_000_000)
    assert dispatcher.ready[0].gossiped_load == 0 and not dispatcher.gossip.peers


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
def test_invalid_load_message_is_decoded_as_none(content):
    assert (
        load_messages.decoded(WHOLE) == (7, [(1, 2.0)], [(9, 5_000)])
        and load_messages.decoded(content) is None
    )


def test_load_message_size_is_bounded():
    content = load_messages.encoded(7, [(n, 1e9) for n in range(99)], [(n, 1e18) for n in range(99)])
    assert len(content) <= 256 and load_messages.decoded(content)[1][0] == (0, 255 / 4)


def settings_with(dispatcher, types, **other):
    for n, queue in enumerate(types):
        queue.setdefault("name", n)
    return {**dispatcher.settings, "queue_types": types, **other}


def test_new_settings_keep_learned_values_by_name():
    dispatcher = scheduler([queue_type(name="a"), queue_type(name="b")])
    dispatcher.queue_types[0].running_time.mean, dispatcher.ready[0].slow = 77.0, 1.5
    dispatcher.reconfigure(
        0, settings_with(dispatcher, [queue_type(name="c"), queue_type(name="a", target=9)])
    )
    assert [(queue.name, queue.running_time.mean == 77.0) for queue in dispatcher.queue_types] == [
        ("c", False),
        ("a", True),
    ]
    assert dispatcher.ready[0].slow == 1.5 and dispatcher.queue_types[1].target == 9


@pytest.mark.parametrize(
    "types", [[queue_type("restartable", group="all", name="a")], [queue_type("restartable", name="other")]]
)
def test_open_job_keeps_its_terms_when_queue_type_changes(types):
    dispatcher = scheduler([queue_type("run-once", name="a")])
    arrive(dispatcher)
    pull(dispatcher, 0)
    dispatcher.reconfigure(10_000, settings_with(dispatcher, types))
    dispatcher.launch_ended(50_000, 1, 0, "error", 50_000, False, [])
    assert pull(dispatcher, 50_000) == [KillJob(1)]


@pytest.mark.parametrize(
    ("before", "after", "asked"),
    [("pushed", "asked", True), ("asked", "pushed", False), ("pushed", "pushed", False)],
)
def test_endpoint_list_is_polled_once_settings_say_so(before, after, asked):
    dispatcher = scheduler(follow=before)
    dispatcher.reconfigure(10_000, settings_with(dispatcher, [queue_type()], follow=after))
    assert (FollowEndpoints() in pull(dispatcher, 1_000_000)) is asked


def test_worker_stays_ejected_when_queue_type_changes_position():
    dispatcher = scheduler([queue_type(name="a"), queue_type(name="b")])
    arrive(dispatcher, 0, 1, 1)
    pull(dispatcher, 0)
    dispatcher.launch_ended(5_000, 1, 0, "error", 5_000, False, [])
    dispatcher.reconfigure(5_000, settings_with(dispatcher, [queue_type(name="b"), queue_type(name="a")]))
    failing = next(worker for worker in dispatcher.ready if worker.ejections)
    arrive(dispatcher, 6_000, 2, 0)
    arrive(dispatcher, 6_000, 3, 1)
    assert [
        dispatcher.eligibility.is_eligible(failing, dispatcher.jobs[job], 6_000, None) for job in (2, 3)
    ] == [
        False,
        True,
    ]


def test_tenants_keep_their_traffic_by_name():
    old = [{"name": "x", "portion": 0.5, "quota": 1.0}, {"name": "y", "portion": 0.5, "quota": 1.0}]
    dispatcher = scheduler(tenants=old)
    dispatcher.traffic.arrivals = [3.0, 8.0]
    dispatcher.reconfigure(0, settings_with(dispatcher, [queue_type()], tenants=old[1:]))
    assert dispatcher.traffic.arrivals == [8.0]
