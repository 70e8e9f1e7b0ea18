"""The four rules: each test builds a state and makes one call."""

import pytest
from helpers import STEP, arrive, entry, pull, queue_type, scheduler

from mastledge.scheduling.decisions import KillJob, LaunchJob, RejectJob, RevokeLaunch

MAY_HAVE_RUN = ["error", "timeout", "lost", "dropped", "doubted", "revoked"]
NEVER_RAN = ["full", "unreachable", "unsent"]


@pytest.mark.parametrize("workers", [0, 4])
@pytest.mark.parametrize("effect", ["restartable", "deduplicated", "run-once"])
@pytest.mark.parametrize("patience", [40_000, 5_000_000])
def test_final_answer_comes_before_the_try_ends(workers, effect, patience):
    made = scheduler([queue_type(effect)], workers)
    arrive(made, patience=patience)
    pull(made, 0)
    answers = [d.__class__ for d in pull(made, patience - 4_000) if isinstance(d, RejectJob | KillJob)]
    assert answers == ([KillJob] if workers and effect != "restartable" else [RejectJob])


@pytest.mark.parametrize("how", MAY_HAVE_RUN + NEVER_RAN)
def test_run_once_goes_again_only_when_it_never_ran(how):
    made = scheduler([queue_type("run-once")])
    arrive(made)
    pull(made, 0)
    made.launch_ended(50_000, 1, 0, how, 50_000, False, [])
    decisions = [d.__class__ for d in pull(made, 50_000)]
    assert decisions == ([KillJob] if how in MAY_HAVE_RUN else [LaunchJob])


@pytest.mark.parametrize("how", MAY_HAVE_RUN)
@pytest.mark.parametrize("now", [100_000, 7_600_000])
def test_deduplicated_repeat_stays_in_its_group_and_window(how, now):
    made = scheduler([queue_type("deduplicated", walltime=20_000_000)])
    arrive(made, patience=20_000_000)
    (first,) = pull(made, 0)
    made.launch_ended(now, 1, 0, how, now, False, [])
    (again,) = (d for d in pull(made, now) if isinstance(d, LaunchJob | KillJob | RejectJob))
    assert isinstance(again, LaunchJob if now < 7_500_000 else KillJob)
    if isinstance(again, LaunchJob):
        assert made.workers[again.worker].zone == made.workers[first.worker].zone


def test_a_deduplicated_job_that_may_have_run_waits_for_its_group():
    # Killed at its target because all its group was set aside for a moment, it left its client in doubt.
    made = scheduler([queue_type("deduplicated")])
    arrive(made)
    (first,) = pull(made, 0)
    launch = made.jobs[1].launches[0]
    made.launch_ended(500_000, 1, 0, "lost", 500_000, False, ())
    for worker in made.ready:
        if worker.zone == launch.worker.zone:
            made.outliers.eject(worker, None, launch, 500_000)
    assert pull(made, 500_000) == []
    (again,) = [d for now in range(520_000, 900_000, 20_000) for d in pull(made, now)]
    assert isinstance(again, LaunchJob)
    assert again.worker != first.worker and again.worker % 2 == first.worker % 2


@pytest.mark.parametrize(("effect", "answer"), [("restartable", RejectJob), ("run-once", KillJob)])
def test_a_host_that_ends_gets_its_answers_in_time(effect, answer):
    # Killed at the end, jobs that could be sent again safely were lost to their clients.
    made = scheduler([queue_type(effect)])
    arrive(made)
    pull(made, 0)
    made.shut_down_at(10_000, 500_000)
    arrive(made, 20_000, job=2)
    pull(made, 20_000)
    answers = [d for d in pull(made, 500_000 - 2 * STEP) if not isinstance(d, RevokeLaunch)]
    assert [(d.__class__, d.job) for d in answers] == [(answer, 1), (answer, 2)]


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_nothing_new_goes_to_a_leaving_worker(state):
    made = scheduler(workers=1)
    made.update_endpoints(0, "changes", [entry(0, state)])
    arrive(made)
    assert pull(made, 0) == []


@pytest.mark.parametrize("dispatchers", [1, 8, 60])
def test_a_warming_worker_stays_under_its_budget_whatever_the_number_of_dispatchers(dispatchers):
    cold, sent = entry(0, born=1), []
    for me in range(dispatchers):
        made = scheduler(workers=0, dispatchers=dispatchers, seed=me)
        made.update_endpoints(0, "whole", [cold])
        for now in range(100_000, 4_000_000, 100_000):
            arrive(made, now, now, hint=40_000)
            sent += [now for d in pull(made, now) if isinstance(d, LaunchJob)]
    worst = max(sum(40_000 for at in sent if now <= at < now + 2_000_000) for now in sent)
    assert 0 < worst <= 2.5 * (0.2 + 0.8 * 0.4) * 2_000_000


@pytest.mark.parametrize(("hint", "counts"), [(10_000, 255_000), (500_000, 500_000), (900_000, 900_000)])
def test_small_hints_count_halfway_to_a_mean_job_against_a_slow_start_budget(hint, counts):
    # Jobs of small hints alone fitted the budget, and hints that small were too low by far.
    made = scheduler(workers=1)
    made.estimates.mean_work = 500_000
    arrive(made, hint=hint)
    assert made.jobs[1].work == counts
    made.update_endpoints(0, "changes", [entry(0, born=1)])
    worker = made.ready[0]
    worker.credit = 0.0
    made.launch(made.jobs[1], worker, 1_000)
    assert worker.credit == -counts


def test_late_news_is_passed_over():
    made = scheduler()
    made.launch_ended(0, 9, 0, "completed", 0, True, [])
    made.launch_started(0, 9, 0)
    made.launch_progressed(0, 9, 0, 0.5)
    made.job_abandoned(0, 9)
    assert pull(made, 0) == []


def test_what_was_out_on_a_former_life_ends_quietly():
    made = scheduler(workers=1)
    arrive(made)
    pull(made, 0)
    made.update_endpoints(1_000, "changes", [entry(0, born=900)])
    made.launch_started(2_000, 1, 0)
    made.launch_ended(3_000, 1, 0, "lost", 3_000, False, [])
    assert made.workers[0].load_curve == [] and made.workers[0].load == 0
