"""Worker selection, ejection, load shedding, and moved or hedged launches."""

import pytest
from helpers import STEP, arrive, entry, pull, queue_type, scheduler

from mastledge.scheduling.decisions import LaunchJob, RejectJob, RevokeLaunch
from mastledge.scheduling.prediction import learn_slowness, slowness


def run_job(dispatcher, job, now, running_time, outcome="completed", start_lag=None):
    """Launch a job, let it start and end; return the worker's record."""
    arrive(dispatcher, now, job)
    (launch,) = (d for d in pull(dispatcher, now) if isinstance(d, LaunchJob))
    if outcome == "completed":
        dispatcher.launch_started(now + (start_lag or 1_000), job, 0)
    dispatcher.launch_ended(
        now + (start_lag or 1_000) + running_time, job, 0, outcome, running_time, outcome == "completed", []
    )
    return dispatcher.workers[launch.worker]


def test_least_contention_then_worst_fit():
    dispatcher = scheduler(workers=3)
    for worker, ends in zip(dispatcher.ready, ([50_000] * 9, [], [900_000]), strict=True):
        worker.load_curve = [(end, n, 1.0) for n, end in enumerate(ends)]
        worker.load = worker.running = float(len(ends))
    arrive(dispatcher, hint=1_000_000)
    assert pull(dispatcher, 0)[0].worker == dispatcher.ready[1].id


@pytest.mark.parametrize(("units", "least", "most"), [(1.0, 0.4, 0.6), (3.0, 0.65, 0.85)])
def test_ties_are_drawn_by_declared_size_in_all_zones(units, least, most):
    dispatcher = scheduler(workers=4)
    for worker in dispatcher.ready[:2]:
        worker.units = units
    drawn = [dispatcher.random.draw_by_size(dispatcher.ready) for _ in range(400)]
    assert (
        least < sum(worker.units == units and worker in dispatcher.ready[:2] for worker in drawn) / 400 < most
    )


@pytest.mark.parametrize("how", ["error", "full"])
def test_errors_and_rejections_eject_worker_for_that_queue_type_only(how):
    # Guards against retrying such a worker as soon as its observed load has decayed.
    dispatcher = scheduler([queue_type(), queue_type()], workers=4)
    failing = run_job(dispatcher, 1, 0, 5_000, how)
    failing.other_load = 0.0
    assert list(failing.ejections) == [0]
    dispatcher.outliers.counts = {0: 1}
    allowed = []
    for job, queue_number in ((2, 0), (3, 1)):
        arrive(dispatcher, 6_000, job, queue_number)
        allowed.append(dispatcher.eligibility.is_eligible(failing, dispatcher.jobs[job], 6_000, None))
    assert allowed == [False, True]


@pytest.mark.parametrize(
    ("effect", "why", "back"),
    [
        ("restartable", 0, 250_000),
        ("run-once", 0, 1_000_000),
        ("restartable", None, 250_000),
        ("run-once", None, 9_000_000),
        ("run-once", 7, 2_000_000),
    ],
)
def test_run_once_job_becomes_trial_only_after_longer_pause(effect, why, back):
    # A failed trial costs a run-once job, so other jobs are tried first. But where only run-once jobs arrive,
    # an ejected worker must not stay out for good.
    dispatcher = scheduler([queue_type(effect)])
    arrive(dispatcher)
    pull(dispatcher, 0)
    launch = dispatcher.jobs[1].launches[0]
    launch.may_have_run = True
    dispatcher.outliers.eject(launch.worker, why, launch, 0)
    removed = dispatcher.jobs[1].launches.pop()
    launch.worker.in_flight.clear()
    assert removed is launch
    assert [
        dispatcher.eligibility.is_eligible(launch.worker, dispatcher.jobs[1], now, None)
        for now in (back - 1, back)
    ] == [
        False,
        True,
    ]


def test_trial_limit_doubles_while_trials_complete():
    dispatcher = scheduler(workers=4)
    failing = run_job(dispatcher, 1, 0, 5_000, "error")
    ejection, trial_limits = failing.ejections[0], []
    dispatcher.jobs.clear()
    for job in range(2, 40):
        arrive(dispatcher, ejection.ends_at + job, job)
        trial_job = dispatcher.jobs[job]
        dispatcher.launch(trial_job, failing, ejection.ends_at + job)
        dispatcher.launch_ended(ejection.ends_at + job, job, 0, "completed", 1, True, [])
        trial_limits.append(failing.ejections[0].trial_limit if 0 in failing.ejections else None)
        if trial_limits[-1] is None:
            break
    assert trial_limits[0] == 2 and trial_limits[1:3] == [2, 4] and trial_limits[-1] is None


def test_first_start_under_overload_counts_as_wait():
    dispatcher = scheduler(workers=1)
    arrive(dispatcher)
    pull(dispatcher, 0)
    dispatcher.launch_started(600_000, 1, 0)
    assert dispatcher.admission.start_waits[-1][0] > 500_000


@pytest.mark.parametrize(("pressure", "turned"), [(0.0, 0), (0.9, 30)])
def test_pressure_rejects_jobs(pressure, turned):
    dispatcher = scheduler(workers=40)
    dispatcher.admission.sustained_pressure, dispatcher.admission.pressure_at = pressure, 0
    decisions = []
    for job in range(40):
        arrive(dispatcher, 0, job)
        decisions += pull(dispatcher, 0)
    assert sum(isinstance(d, RejectJob) for d in decisions) >= turned
    assert pressure or all(isinstance(d, LaunchJob) for d in decisions)


@pytest.mark.parametrize(("parallel", "what"), [(False, RevokeLaunch), (True, LaunchJob)])
def test_launch_that_does_not_start_is_moved_or_hedged(parallel, what):
    dispatcher = scheduler(workers=4, parallel=parallel)
    arrive(dispatcher)
    pull(dispatcher, 0)
    assert [d.__class__ for d in pull(dispatcher, 200_000 + STEP)] == [what]


@pytest.mark.parametrize(
    ("effect", "noted", "again"),
    [
        ("restartable", 1_000_000, True),
        ("restartable", 1_900_000, False),
        ("deduplicated", 0, True),
        ("run-once", 0, False),
    ],
)
def test_running_launch_without_progress_notes_is_moved(effect, noted, again):
    # Its connection may be dead while its worker goes on; it must not be waited for until its walltime.
    dispatcher = scheduler([queue_type(effect)])
    arrive(dispatcher)
    (launch,) = pull(dispatcher, 0)
    first_worker = launch.worker
    dispatcher.launch_started(10_000, 1, 0)
    if noted:
        dispatcher.launch_progressed(noted, 1, 0, 0.5)
    decisions = [d for now in range(100_000, 3_000_000, 100_000) for d in pull(dispatcher, now)]
    assert decisions == ([RevokeLaunch(1, 0)] if again else [])
    if again:
        dispatcher.launch_ended(3_000_000, 1, 0, "revoked", 3_000_000, False, ())
        (launch,) = pull(dispatcher, 3_000_000)
        assert isinstance(launch, LaunchJob) and launch.worker != first_worker


@pytest.mark.parametrize("began", [0, 10_000])
@pytest.mark.parametrize("heard", [True, False])
def test_launch_on_dead_connection_is_no_load_while_worker_is_heard(began, heard):
    # Otherwise such a run-once launch counts as running or queued load until its walltime.
    dispatcher = scheduler([queue_type("run-once")])
    arrive(dispatcher, patience=15_000_000)
    pull(dispatcher, 0)
    worker = dispatcher.jobs[1].launches[0].worker
    if began:
        dispatcher.launch_started(began, 1, 0)
    if heard:
        worker.heard_at = 2_900_000
    if began:
        pull(dispatcher, 3_000_000)
    else:
        dispatcher.launch_unconfirmed(3_000_000, 1, 0)
    assert (worker.load, len(worker.load_curve), dispatcher.other_load.at(worker, 3_000_000)) == (
        0,
        0,
        0.0,
    ) or not heard
    assert len(worker.load_curve) == (not heard) and dispatcher.jobs[1].in_flight == 1
    waits = len(dispatcher.admission.start_waits)
    dispatcher.launch_ended(15_000_000, 1, 0, "revoked", 15_000_000, False, ())
    assert len(dispatcher.admission.start_waits) == waits + (not heard and not began)


@pytest.mark.parametrize(("why", "kept_out"), [(-1, True), (None, False)])
def test_unreachable_workers_stay_ejected_even_if_most_of_the_fleet(why, kept_out):
    dispatcher = scheduler(workers=4)
    arrive(dispatcher)
    pull(dispatcher, 0)
    launch = dispatcher.jobs[1].launches[0]
    for worker in dispatcher.ready[:3]:
        dispatcher.outliers.eject(worker, why, launch, 0)
    arrive(dispatcher, 1_000, 2)
    assert (
        dispatcher.eligibility.is_eligible(dispatcher.ready[0], dispatcher.jobs[2], 1_000, None)
        is not kept_out
    )


@pytest.mark.parametrize(("pressure", "then"), [(0.0, []), (0.8, ["RejectJob", "RevokeLaunch"])])
def test_unstarted_job_past_its_target_is_rejected_under_pressure(pressure, then):
    dispatcher = scheduler(workers=1)
    arrive(dispatcher)
    pull(dispatcher, 0)
    dispatcher.admission.pressure = pressure
    assert sorted(d.__class__.__name__ for d in pull(dispatcher, 800_000)) == then


@pytest.mark.parametrize(("late", "presses"), [(1, False), (6, True)])
def test_very_late_starts_raise_pressure_despite_immediate_ones(late, presses):
    dispatcher = scheduler()
    dispatcher.admission.start_waits.extend([(0, 1_000_000)] * (9 - late) + [(9_000_000, 1_000_000)] * late)
    dispatcher.admission.pressure_at = 0
    dispatcher.admission.update_pressure(1_000_000)
    assert (dispatcher.admission.pressure > 0) is presses


@pytest.mark.parametrize(("workers", "used"), [(4, 4), (60, 6)])
def test_dispatcher_with_little_traffic_uses_a_subset_of_the_fleet(workers, used):
    dispatcher = scheduler(workers=workers)
    used_ids = {run_job(dispatcher, job, job * 1_000_000, 100_000).id for job in range(40)}
    assert len(used_ids) == used


def test_selector_looks_past_subset_while_no_member_is_free():
    dispatcher = scheduler(workers=60)
    for worker in dispatcher.subset.members:
        worker.other_load, worker.other_load_at = 40.0, 0
    members_before = list(dispatcher.subset.members)
    assert run_job(dispatcher, 1, 0, 100_000) not in members_before
    assert dispatcher.subset.members != members_before


@pytest.mark.parametrize(("parallel", "most"), [(True, 1.5), (False, 3.5)])
def test_budget_for_moves_and_hedges_is_saved_for_one_second_only(parallel, most):
    dispatcher = scheduler(parallel=parallel)
    dispatcher.traffic.arrival_rate = 2.0
    for job in range(100):
        arrive(dispatcher, 0, job)
    assert dispatcher.monitor.budget <= most


def test_learned_slowness_decays():
    dispatcher = scheduler(workers=8)
    arrive(dispatcher)
    for _ in range(50):
        learn_slowness(dispatcher.ready[0], 3.0, 0, dispatcher.settings)
    dispatcher.decay(1_000_000)
    slowness_before = dispatcher.ready[0].slow
    for second in range(2, 30):
        dispatcher.decay(second * 1_000_000)
    assert slowness_before > 1.5 > 1.1 > dispatcher.ready[0].slow


def test_slow_start_is_not_learned_as_slowness():
    dispatcher = scheduler(workers=1)
    dispatcher.update_endpoints(0, "changes", [entry(0, born=1)])
    for _ in range(50):
        learn_slowness(dispatcher.ready[0], 5.0, 1, dispatcher.settings)
    assert slowness(dispatcher.ready[0], 1, dispatcher.settings) == pytest.approx(5.0, rel=0.05)


@pytest.mark.parametrize("how", ["full", "revoked", "completed"])
def test_launch_that_never_started_counts_as_wait_unless_completed(how):
    dispatcher = scheduler(workers=1)
    arrive(dispatcher)
    pull(dispatcher, 0)
    dispatcher.launch_ended(900_000, 1, 0, how, 900_000, how == "completed", [])
    assert (dispatcher.admission.start_waits[-1][0] > 0) is (how != "completed")


def test_old_waits_raise_pressure_less():
    dispatcher = scheduler()
    dispatcher.admission.start_waits.extend([(400_000, 0)] * 9)
    dispatcher.admission.mean_slack, dispatcher.admission.pressure_at = 400_000.0, 0
    dispatcher.admission.update_pressure(1)
    initial_pressure = dispatcher.admission.pressure
    dispatcher.admission.sustained_pressure, dispatcher.admission.pressure_at = 0.0, 60_000_000 - 1
    dispatcher.admission.update_pressure(60_000_000)
    assert initial_pressure > 0 == dispatcher.admission.pressure


def test_subset_is_limited_by_cpu_budget():
    dispatcher = scheduler(workers=60, cpu_a_job=10.0)
    for job in range(400):
        arrive(dispatcher, 0, job)
    dispatcher.recompute()
    assert len(dispatcher.subset.members) == dispatcher.subset.max_considered < 60


def test_waiting_launch_is_checked_at_growing_intervals():
    dispatcher = scheduler(workers=1)
    arrive(dispatcher)
    pull(dispatcher, 0)
    dispatcher.timers.clear()
    for now in range(0, 4_000_000, STEP):
        pull(dispatcher, now)
        if now == 0:
            dispatcher.check_launch(dispatcher.jobs[1].launches[0], now)
    assert dispatcher.timers.count < 19


def test_slow_start_budget_is_checked_only_while_warming_up():
    # Checking it for workers that are warm costs much CPU on a large fleet.
    dispatcher, checked_at = scheduler(workers=1), []
    dispatcher.update_endpoints(0, "changes", [entry(0, born=1_000)])
    worker = dispatcher.workers[0]
    dispatcher.slow_start.within_budget = lambda worker, job, now: checked_at.append(now) or True
    for job, now in enumerate((2_000_000, 9_000_000, 12_000_000, 14_000_000), 1):
        arrive(dispatcher, now, job)
        pull(dispatcher, now)
    assert checked_at == [2_000_000, 9_000_000] and not worker.warming_up and len(worker.in_flight) == 4
    dispatcher.update_endpoints(15_000_000, "changes", [entry(0, born=14_500_000)])
    assert worker.warming_up
