"""What the design and its departures pick."""

import pytest
from helpers import STEP, arrive, entry, pull, queue_type, scheduler

from mastledge.scheduling.decisions import LaunchJob, RejectJob, RevokeLaunch
from mastledge.scheduling.prediction import learn_slowness, slowness


def run(made, job, now, took, how="completed", start=None):
    """Sends one job, lets it start and end; gives the worker's record."""
    arrive(made, now, job)
    (sent,) = (d for d in pull(made, now) if isinstance(d, LaunchJob))
    if how == "completed":
        made.launch_started(now + (start or 1_000), job, 0)
    made.launch_ended(now + (start or 1_000) + took, job, 0, how, took, how == "completed", [])
    return made.workers[sent.worker]


def test_least_contention_then_worst_fit():
    made = scheduler(workers=3)
    for worker, ends in zip(made.ready, ([50_000] * 9, [], [900_000]), strict=True):
        worker.load_curve = [(end, n, 1.0) for n, end in enumerate(ends)]
        worker.load = worker.running = float(len(ends))
    arrive(made, hint=1_000_000)
    assert pull(made, 0)[0].worker == made.ready[1].id


@pytest.mark.parametrize(("units", "least", "most"), [(1.0, 0.4, 0.6), (3.0, 0.65, 0.85)])
def test_ties_fall_by_declared_size_in_all_zones(units, least, most):
    made = scheduler(workers=4)
    for worker in made.ready[:2]:
        worker.units = units
    picked = [made.random.draw_by_size(made.ready) for _ in range(400)]
    assert least < sum(worker.units == units and worker in made.ready[:2] for worker in picked) / 400 < most


@pytest.mark.parametrize("how", ["error", "full"])
def test_errors_eject_a_worker_for_that_queue_type_only(how):
    # One that turned away a single queue type, and late, was tried again as soon as its seen load had faded.
    made = scheduler([queue_type(), queue_type()], workers=4)
    bad = run(made, 1, 0, 5_000, how)
    bad.other_load = 0.0
    assert list(bad.ejections) == [0]
    made.outliers.counts = {0: 1}
    kinds = []
    for job, queue_number in ((2, 0), (3, 1)):
        arrive(made, 6_000, job, queue_number)
        kinds.append(made.eligibility.allows(bad, made.jobs[job], 6_000, None))
    assert kinds == [False, True]


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
def test_a_run_once_job_is_the_trial_late_but_not_never(effect, why, back):
    # Each trial of a worker that fails a queue type cost such a job; and where only such jobs come, a
    # worker that was silent once would have stayed out for good. Of another type somebody else is the trial.
    made = scheduler([queue_type(effect)])
    arrive(made)
    pull(made, 0)
    launch = made.jobs[1].launches[0]
    launch.may_have_run = True
    made.outliers.eject(launch.worker, why, launch, 0)
    other = made.jobs[1].launches.pop()
    launch.worker.in_flight.clear()
    assert other is launch
    assert [made.eligibility.allows(launch.worker, made.jobs[1], now, None) for now in (back - 1, back)] == [
        False,
        True,
    ]


def test_trickle_doubles_while_it_goes_well():
    made = scheduler(workers=4)
    bad = run(made, 1, 0, 5_000, "error")
    ejection, seen = bad.ejections[0], []
    made.jobs.clear()
    for job in range(2, 40):
        arrive(made, ejection.ends_at + job, job)
        launch_at = made.jobs[job]
        made.launch(launch_at, bad, ejection.ends_at + job)
        made.launch_ended(ejection.ends_at + job, job, 0, "completed", 1, True, [])
        seen.append(bad.ejections[0].trial_limit if 0 in bad.ejections else None)
        if seen[-1] is None:
            break
    assert seen[0] == 2 and seen[1:3] == [2, 4] and seen[-1] is None


def test_start_under_full_queues_is_not_taken_for_the_usual():
    made = scheduler(workers=1)
    arrive(made)
    pull(made, 0)
    made.launch_started(600_000, 1, 0)
    assert made.admission.start_waits[-1][0] > 500_000


@pytest.mark.parametrize(("pressure", "turned"), [(0.0, 0), (0.9, 30)])
def test_pressure_rejects_jobs(pressure, turned):
    made = scheduler(workers=40)
    made.admission.sustained_pressure, made.admission.pressure_at = pressure, 0
    sent = []
    for job in range(40):
        arrive(made, 0, job)
        sent += pull(made, 0)
    assert sum(isinstance(d, RejectJob) for d in sent) >= turned
    assert pressure or all(isinstance(d, LaunchJob) for d in sent)


@pytest.mark.parametrize(("parallel", "what"), [(False, RevokeLaunch), (True, LaunchJob)])
def test_launch_that_does_not_start_goes_elsewhere(parallel, what):
    made = scheduler(workers=4, parallel=parallel)
    arrive(made)
    pull(made, 0)
    assert [d.__class__ for d in pull(made, 200_000 + STEP)] == [what]


@pytest.mark.parametrize(
    ("effect", "noted", "again"),
    [
        ("restartable", 1_000_000, True),
        ("restartable", 1_900_000, False),
        ("deduplicated", 0, True),
        ("run-once", 0, False),
    ],
)
def test_a_running_launch_whose_notes_stop_is_moved(effect, noted, again):
    # Its connection may be dead while its worker goes on: it was waited for until the walltime was over.
    made = scheduler([queue_type(effect)])
    arrive(made)
    (launch,) = pull(made, 0)
    first = launch.worker
    made.launch_started(10_000, 1, 0)
    if noted:
        made.launch_progressed(noted, 1, 0, 0.5)
    seen = [d for now in range(100_000, 3_000_000, 100_000) for d in pull(made, now)]
    assert seen == ([RevokeLaunch(1, 0)] if again else [])
    if again:
        made.launch_ended(3_000_000, 1, 0, "revoked", 3_000_000, False, ())
        (launch,) = pull(made, 3_000_000)
        assert isinstance(launch, LaunchJob) and launch.worker != first


@pytest.mark.parametrize("began", [0, 10_000])
@pytest.mark.parametrize("heard", [True, False])
def test_a_dead_connection_is_no_load_while_its_worker_is_heard(began, heard):
    # A run-once job on one weighed on its worker until its walltime, as one that runs or as a queue.
    made = scheduler([queue_type("run-once")])
    arrive(made, patience=15_000_000)
    pull(made, 0)
    worker = made.jobs[1].launches[0].worker
    if began:
        made.launch_started(began, 1, 0)
    if heard:
        worker.heard_at = 2_900_000
    if began:
        pull(made, 3_000_000)
    else:
        made.launch_silent(3_000_000, 1, 0)
    assert (worker.load, len(worker.load_curve), made.other_load.at(worker, 3_000_000)) == (
        0,
        0,
        0.0,
    ) or not heard
    assert len(worker.load_curve) == (not heard) and made.jobs[1].in_flight == 1
    waits = len(made.admission.start_waits)
    made.launch_ended(15_000_000, 1, 0, "revoked", 15_000_000, False, ())
    assert len(made.admission.start_waits) == waits + (not heard and not began)


@pytest.mark.parametrize(("why", "kept_out"), [(-1, True), (None, False)])
def test_a_cut_off_zone_stays_ejected_though_it_is_most_of_the_fleet(why, kept_out):
    made = scheduler(workers=4)
    arrive(made)
    pull(made, 0)
    launch = made.jobs[1].launches[0]
    for worker in made.ready[:3]:
        made.outliers.eject(worker, why, launch, 0)
    arrive(made, 1_000, 2)
    assert made.eligibility.allows(made.ready[0], made.jobs[2], 1_000, None) is not kept_out


@pytest.mark.parametrize(("pressure", "then"), [(0.0, []), (0.8, ["RejectJob", "RevokeLaunch"])])
def test_under_pressure_what_can_no_longer_start_in_time_is_rejected(pressure, then):
    made = scheduler(workers=1)
    arrive(made)
    pull(made, 0)
    made.admission.pressure = pressure
    assert sorted(d.__class__.__name__ for d in pull(made, 800_000)) == then


@pytest.mark.parametrize(("late", "presses"), [(1, False), (6, True)])
def test_starts_that_are_far_too_late_press_though_others_start_at_once(late, presses):
    made = scheduler()
    made.admission.start_waits.extend([(0, 1_000_000)] * (9 - late) + [(9_000_000, 1_000_000)] * late)
    made.admission.pressure_at = 0
    made.admission.update_pressure(1_000_000)
    assert (made.admission.pressure > 0) is presses


@pytest.mark.parametrize(("workers", "used"), [(4, 4), (60, 6)])
def test_a_dispatcher_of_little_traffic_keeps_to_a_subset_of_the_fleet(workers, used):
    made = scheduler(workers=workers)
    seen = {run(made, job, job * 1_000_000, 100_000).id for job in range(40)}
    assert len(seen) == used


def test_past_its_subset_it_looks_while_no_worker_there_is_free():
    made = scheduler(workers=60)
    for worker in made.subset.members:
        worker.other_load, worker.other_load_at = 40.0, 0
    before = list(made.subset.members)
    assert run(made, 1, 0, 100_000) not in before
    assert made.subset.members != before


@pytest.mark.parametrize(("parallel", "most"), [(True, 1.5), (False, 3.5)])
def test_moves_and_hedges_are_saved_for_a_second_only(parallel, most):
    made = scheduler(parallel=parallel)
    made.traffic.arrival_rate = 2.0
    for job in range(100):
        arrive(made, 0, job)
    assert made.monitor.budget <= most


def test_a_worker_avoided_for_its_slowness_comes_back():
    made = scheduler(workers=8)
    arrive(made)
    for _ in range(50):
        learn_slowness(made.ready[0], 3.0, 0, made.settings)
    made.fade(1_000_000)
    was = made.ready[0].slow
    for second in range(2, 30):
        made.fade(second * 1_000_000)
    assert was > 1.5 > 1.1 > made.ready[0].slow


def test_what_a_warming_worker_lacks_is_not_learned_as_slowness_as_well():
    made = scheduler(workers=1)
    made.update_endpoints(0, "changes", [entry(0, born=1)])
    for _ in range(50):
        learn_slowness(made.ready[0], 5.0, 1, made.settings)
    assert slowness(made.ready[0], 1, made.settings) == pytest.approx(5.0, rel=0.05)


@pytest.mark.parametrize("how", ["full", "revoked", "completed"])
def test_what_never_started_counts_as_a_wait(how):
    made = scheduler(workers=1)
    arrive(made)
    pull(made, 0)
    made.launch_ended(900_000, 1, 0, how, 900_000, how == "completed", [])
    assert (made.admission.start_waits[-1][0] > 0) is (how != "completed")


def test_old_waits_press_less():
    made = scheduler()
    made.admission.start_waits.extend([(400_000, 0)] * 9)
    made.admission.mean_slack, made.admission.pressure_at = 400_000.0, 0
    made.admission.update_pressure(1)
    now = made.admission.pressure
    made.admission.sustained_pressure, made.admission.pressure_at = 0.0, 60_000_000 - 1
    made.admission.update_pressure(60_000_000)
    assert now > 0 == made.admission.pressure


def test_a_subset_is_no_larger_than_the_cpu_allows():
    made = scheduler(workers=60, cpu_a_job=10.0)
    for job in range(400):
        arrive(made, 0, job)
    made.survey()
    assert len(made.subset.members) == made.subset.most_looked_at < 60


def test_what_waits_is_looked_at_ever_more_rarely():
    made = scheduler(workers=1)
    arrive(made)
    pull(made, 0)
    made.timers.clear()
    for now in range(0, 4_000_000, STEP):
        pull(made, now)
        if now == 0:
            made.check_launch(made.jobs[1].launches[0], now)
    assert made.timers.count < 19


def test_a_worker_is_asked_for_its_budget_until_it_is_warm():
    # Asked for each job of all that ever started, it took a tenth of the CPU of a job on a large fleet.
    made, asked = scheduler(workers=1), []
    made.update_endpoints(0, "changes", [entry(0, born=1_000)])
    worker = made.workers[0]
    made.slow_start.within_budget = lambda worker, job, now: asked.append(now) or True
    for job, now in enumerate((2_000_000, 9_000_000, 12_000_000, 14_000_000), 1):
        arrive(made, now, job)
        pull(made, now)
    assert asked == [2_000_000, 9_000_000] and not worker.warming_up and len(worker.in_flight) == 4
    made.update_endpoints(15_000_000, "changes", [entry(0, born=14_500_000)])
    assert worker.warming_up
