"""The rules on rejecting, killing and launching jobs again, checked on single calls of the scheduler."""

import pytest
from helpers import STEP, arrive, entry, pull, queue_type, scheduler

from mastledge.scheduling.decisions import KillJob, LaunchJob, RejectJob, RevokeLaunch

MAY_HAVE_RUN = ["error", "timeout", "lost", "dropped", "doubted", "revoked"]
NEVER_RAN = ["full", "unreachable", "unsent"]


@pytest.mark.parametrize("workers", [0, 4])
@pytest.mark.parametrize("effect", ["restartable", "deduplicated", "run-once"])
@pytest.mark.parametrize("patience_us", [40_000, 5_000_000])
def test_final_answer_comes_before_the_attempt_ends(workers, effect, patience_us):
    sched = scheduler([queue_type(effect)], workers)
    arrive(sched, patience=patience_us)
    pull(sched, 0)
    answers = [d.__class__ for d in pull(sched, patience_us - 4_000) if isinstance(d, RejectJob | KillJob)]
    assert answers == ([KillJob] if workers and effect != "restartable" else [RejectJob])


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN + NEVER_RAN)
def test_run_once_job_is_launched_again_only_if_it_never_ran(outcome):
    sched = scheduler([queue_type("run-once")])
    arrive(sched)
    pull(sched, 0)
    sched.launch_ended(50_000, 1, 0, outcome, 50_000, False, [])
    decisions = [d.__class__ for d in pull(sched, 50_000)]
    assert decisions == ([KillJob] if outcome in MAY_HAVE_RUN else [LaunchJob])


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
@pytest.mark.parametrize("now", [100_000, 7_600_000])
def test_deduplicated_job_is_launched_again_in_its_group_and_window(outcome, now):
    sched = scheduler([queue_type("deduplicated", walltime=20_000_000)])
    arrive(sched, patience=20_000_000)
    (first,) = pull(sched, 0)
    sched.launch_ended(now, 1, 0, outcome, now, False, [])
    (second,) = (d for d in pull(sched, now) if isinstance(d, LaunchJob | KillJob | RejectJob))
    assert isinstance(second, LaunchJob if now < 7_500_000 else KillJob)
    if isinstance(second, LaunchJob):
        assert sched.workers[second.worker].zone == sched.workers[first.worker].zone


def test_deduplicated_job_that_may_have_run_waits_for_its_group():
    # Guards against a kill at the target turnaround while its whole group is ejected for a short time.
    sched = scheduler([queue_type("deduplicated")])
    arrive(sched)
    (first,) = pull(sched, 0)
    launch = sched.jobs[1].launches[0]
    sched.launch_ended(500_000, 1, 0, "lost", 500_000, False, ())
    for worker in sched.ready:
        if worker.zone == launch.worker.zone:
            sched.outliers.eject(worker, None, launch, 500_000)
    assert pull(sched, 500_000) == []
    (second,) = [d for now in range(520_000, 900_000, 20_000) for d in pull(sched, now)]
    assert isinstance(second, LaunchJob)
    assert second.worker != first.worker and second.worker % 2 == first.worker % 2


@pytest.mark.parametrize(("effect", "expected_class"), [("restartable", RejectJob), ("run-once", KillJob)])
def test_shutdown_answers_all_jobs_before_its_deadline(effect, expected_class):
    # Guards against kills at shutdown of jobs that their clients could safely send again.
    sched = scheduler([queue_type(effect)])
    arrive(sched)
    pull(sched, 0)
    sched.set_shutdown_time(10_000, 500_000)
    arrive(sched, 20_000, job=2)
    pull(sched, 20_000)
    answers = [d for d in pull(sched, 500_000 - 2 * STEP) if not isinstance(d, RevokeLaunch)]
    assert [(d.__class__, d.job) for d in answers] == [(expected_class, 1), (expected_class, 2)]


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_no_job_is_launched_on_a_leaving_worker(state):
    sched = scheduler(workers=1)
    sched.update_endpoints(0, "changes", [entry(0, state)])
    arrive(sched)
    assert pull(sched, 0) == []


@pytest.mark.parametrize("dispatchers", [1, 8, 60])
def test_warming_worker_stays_within_its_budget_for_any_number_of_dispatchers(dispatchers):
    cold, sent = entry(0, born=1), []
    for dispatcher in range(dispatchers):
        sched = scheduler(workers=0, dispatchers=dispatchers, seed=dispatcher)
        sched.update_endpoints(0, "whole", [cold])
        for now in range(100_000, 4_000_000, 100_000):
            arrive(sched, now, now, hint=40_000)
            sent += [now for d in pull(sched, now) if isinstance(d, LaunchJob)]
    worst = max(sum(40_000 for sent_at in sent if now <= sent_at < now + 2_000_000) for now in sent)
    assert 0 < worst <= 2.5 * (0.2 + 0.8 * 0.4) * 2_000_000


@pytest.mark.parametrize(
    ("hint", "expected_work"), [(10_000, 255_000), (500_000, 500_000), (900_000, 900_000)]
)
def test_small_hints_count_as_half_a_mean_job_or_more_in_slow_start(hint, expected_work):
    # Guards against small hints, which are often too low, as the only jobs that fit the budget.
    sched = scheduler(workers=1)
    sched.estimates.mean_work = 500_000
    arrive(sched, hint=hint)
    assert sched.jobs[1].work == expected_work
    sched.update_endpoints(0, "changes", [entry(0, born=1)])
    worker = sched.ready[0]
    worker.credit = 0.0
    sched.launch(sched.jobs[1], worker, 1_000)
    assert worker.credit == -expected_work


def test_events_of_unknown_jobs_are_ignored():
    sched = scheduler()
    sched.launch_ended(0, 9, 0, "completed", 0, True, [])
    sched.launch_started(0, 9, 0)
    sched.launch_progressed(0, 9, 0, 0.5)
    sched.job_abandoned(0, 9)
    assert pull(sched, 0) == []


def test_launch_on_a_restarted_worker_ends_without_effect():
    sched = scheduler(workers=1)
    arrive(sched)
    pull(sched, 0)
    sched.update_endpoints(1_000, "changes", [entry(0, born=900)])
    sched.launch_started(2_000, 1, 0)
    sched.launch_ended(3_000, 1, 0, "lost", 3_000, False, [])
    assert sched.workers[0].load_curve == [] and sched.workers[0].load == 0
