"""The search for orders that break a rule: all pairs, what it catches, and scripts that broke one once."""

import os
from dataclasses import replace

import pytest

from mastledge.lab.commands.interleavings import cross
from mastledge.lab.interleaving.scripts import Script, parse_groups, parse_script
from mastledge.lab.interleaving.search import pairs, play, shrink
from mastledge.protocol import client_listener, http
from mastledge.protocol.client_jobs import ClientJobs
from mastledge.protocol.discovery import Discovery
from mastledge.protocol.idle_connections import IdleConnections
from mastledge.protocol.requests import Exchange
from mastledge.protocol.worker_answers import HEAD_SAYS_REJECTED, LINE_SAYS_REJECTED, WorkerAnswers
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.protocol.worker_endpoint import WorkerEndpoint
from mastledge.routing.router import Router
from mastledge.scheduling.decisions import LaunchJob, RejectJob
from mastledge.scheduling.scheduler import Scheduler
from mastledge.transport.budget import Budget


class Asked:
    """What the command line hands over."""

    places, depth, count, seed = (), 2, 100, 1
    jobs = max(1, len(os.sched_getaffinity(0)) // 2)

    def __init__(self, **other):
        vars(self).update(other)


@pytest.mark.timeout(300)
def test_all_pairs_keep_the_rules(capsys):
    assert cross(Asked()) == 0, capsys.readouterr().out


# What it catches: mends taken out, and builds that are wrong on purpose


def left_is_not_looked_at(patch):
    patch(Exchange, "client_has_disconnected", lambda self: False)


def a_request_is_not_looked_behind(patch):
    patch(client_listener.http, "has_disconnected", lambda conn: False)


def a_job_is_launched_behind_its_answer(patch):
    on_launch_ended = Router.on_launch_ended

    def again(self, now, event):
        on_launch_ended(self, now, event)
        if event.outcome == "completed" and event.launch.number == 0:
            self.loop.spawn(later(self, event.launch))

    patch(Router, "on_launch_ended", again)


def later(router, launch):
    yield (-1, 0, router.loop.now() + 100_000)
    router.jobs[launch.job.id] = launch.job
    router.launch_job(router.loop.now(), LaunchJob(launch.job.id, launch.endpoint, 0))


def launches_hold_to_what_they_were_decided_for(patch):
    patch(WorkerEndpoint, "incarnation", lambda self: 0)


def connections_to_a_former_life_are_kept(patch):
    keep, close_idle = IdleConnections.keep, WorkerConnections.close_idle
    patch(IdleConnections, "keep", lambda self, peer, conn, life: keep(self, peer, conn, peer.incarnation()))
    patch(
        WorkerConnections,
        "close_idle",
        lambda self, peer: None if peer.state == "ready" else close_idle(self, peer),
    )


def an_older_change_is_believed(patch):
    apply = Discovery.apply

    def believes(self, told, whole=None):
        apply(self, {**told, "generation": max(told["generation"], self.generation or 0)}, whole)

    patch(Discovery, "apply", believes)


def any_head_is_proof(patch):
    def alone(self, conn, named, until):
        return True
        yield

    read = WorkerAnswers.read

    def proves(self, conn, launch, until):
        answer = yield from read(self, conn, launch, until)
        by_head = answer.outcome == HEAD_SAYS_REJECTED
        return answer._replace(outcome=LINE_SAYS_REJECTED) if by_head else answer

    patch(WorkerAnswers, "is_sole_complete_answer", alone)
    patch(WorkerAnswers, "read", proves)


def the_window_is_looked_at_where_it_is_decided_only(patch):
    launch_job = Router.launch_job
    patch(
        Router, "launch_job", lambda self, now, decision: launch_job(self, now, replace(decision, within=0))
    )


def what_may_have_run_is_rejected(patch):
    def give_up(self, job, hold_off):
        self.close_job(job)
        return RejectJob(job.id, 0)

    patch(Scheduler, "reject_or_kill", give_up)


def what_may_have_run_goes_again(patch):
    ended = Scheduler.launch_ended
    patch(
        Scheduler,
        "launch_ended",
        lambda self, now, job, n, how, *more: ended(
            self, now, job, n, "unsent" if how in ("lost", "dropped", "error") else how, *more
        ),
    )


def nobody_is_told_that_its_time_is_over(patch):
    patch(Scheduler, "reject_or_kill", lambda self, job, hold_off: None)
    patch(ClientJobs, "wait_for_answer", lambda self, conn, until: awaits_for_ever(conn))


def awaits_for_ever(conn):
    while True:
        got = yield (conn.fd, 1, None)
        if isinstance(got, tuple) or got and http.has_disconnected(conn):
            return got if isinstance(got, tuple) else None


def descriptors_of_clients_are_not_given_back(patch):
    release = Budget.release
    patch(Budget, "release", lambda self, kind: None if kind == "clients" else release(self, kind))


CAUGHT = [
    (left_is_not_looked_at, "connect", "restartable", "nothing_for_the_gone"),
    (a_request_is_not_looked_behind, "request", "restartable", "nothing_for_the_gone"),
    (a_job_is_launched_behind_its_answer, "last-line", "restartable", "nothing_after_the_answer"),
    (launches_hold_to_what_they_were_decided_for, "connect", "restartable", "nothing_to_the_drained"),
    (connections_to_a_former_life_are_kept, "kept", "restartable", "the_worker_of_now"),
    (an_older_change_is_believed, "after-drain", "restartable", "nothing_to_the_drained"),
    (any_head_is_proof, "kept-request", "run-once", "no_effect_twice"),
    (the_window_is_looked_at_where_it_is_decided_only, "window", "deduplicated", "inside_the_window"),
    (what_may_have_run_is_rejected, "asked", "run-once", "harmless_rejections"),
    (what_may_have_run_goes_again, "asked", "run-once", "no_effect_twice"),
    (nobody_is_told_that_its_time_is_over, "no-worker", "restartable", "one_answer_in_time"),
    (descriptors_of_clients_are_not_given_back, "request", "restartable", "nothing_left"),
]


@pytest.mark.parametrize(("build", "place", "effect", "rule"), CAUGHT)
def test_a_build_that_is_wrong_is_caught_and_the_order_shrunk(build, place, effect, rule, monkeypatch):
    build(lambda where, name, what: monkeypatch.setattr(where, name, what))
    script = next(
        script
        for script in (Script(place, effect, groups) for groups in pairs(place))
        if any(line.startswith(rule + ":") for line in play(script))
    )
    smaller = shrink(script)
    assert sum(map(len, smaller.groups)) <= 2 and play(smaller)


def test_an_order_is_shrunk_to_the_steps_that_matter(monkeypatch):
    left_is_not_looked_at(lambda where, name, what: monkeypatch.setattr(where, name, what))
    groups = parse_groups("watch-resets,joins,connects-up+client-closes,drains")
    assert str(shrink(Script("connect", "restartable", groups))) == SCRIPTS[0]


# Each broke a rule before it was mended, or does with the mend taken out.
SCRIPTS = [
    "connect/restartable/connects-up+client-closes",
    "request/restartable/request-ends+client-resets",
    "connect/restartable/drains,grace",
    "kept/restartable/moves,request",
    "after-drain/restartable/older,request",
    "kept-request/run-once/second-answer,worker-takes",
    "window/deduplicated/window,connects-up",
    "asked/run-once/worker-takes,worker-fails",
    "asked/deduplicated/worker-resets,joins-elsewhere",
    "connect/unrevoked/older+drains,timer",
    "connect/restartable/older+gone,watch-silent+term",
]


@pytest.mark.parametrize("script", SCRIPTS)
def test_an_order_that_broke_a_rule_once_keeps_it(script):
    assert play(parse_script(script)) == []


@pytest.mark.parametrize(
    ("words", "says"),
    [
        ({"places": ["nowhere"]}, "unknown place: nowhere"),
        ({"depth": 1}, "--depth is too small: 1"),
        ({"places": ["kept/run-once/walks"]}, "unknown step: walks"),
        ({"places": ["kept/often/request"]}, "unknown effect: often"),
    ],
)
def test_a_bad_call_is_one_line_before_anything_starts(words, says, capsys):
    assert cross(Asked(**words)) == 2
    assert capsys.readouterr().err == f"mastledge: {says}\n"


def test_longer_orders_are_drawn_by_the_seed_and_a_script_is_replayed(capsys):
    assert cross(Asked(places=["kept", "asked"], depth=4, count=15)) == 0
    first = capsys.readouterr().out
    assert "kept, run-once: 15 orders, 0 rules broken" in first
    assert cross(Asked(places=SCRIPTS[:1])) == 0
    assert capsys.readouterr().out == f"{SCRIPTS[0]}: no rule broken\n"
