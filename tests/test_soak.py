"""The soak of endings: ten seeds keep the rules, a wrong build is caught, each rule tells good from bad."""

import asyncio
import socket

import pytest
from helpers import HERE
from test_lab import record

from mastledge.lab.invariant_checker import judged
from mastledge.lab.soak.command import play_seeds
from mastledge.lab.soak.connection_state import EndOfConnection, end_of_connection
from mastledge.lab.soak.left_behind import client_connections, files_left
from mastledge.lab.soak.plan import Ending, draw_plan
from mastledge.lab.tcp_info import TCP_ESTABLISHED, tcp_state

SEEDS = range(1, 11)
RUNS_AT_ONCE = 3
# Answered 85 ms after its walltime, 35 ms more than the protocol allows.
LATE_ANSWER = [
    (0, "sent", {"job": "j0", "walltime": 100_000, "attempt": 0}),
    (185_000, "answer", {"job": "j0", "status": 503, "result": ""}),
]


@pytest.mark.timeout(300)
def test_ten_endings_keep_the_rules(tmp_path):
    results = list(play_seeds(SEEDS, RUNS_AT_ONCE, str(tmp_path)))
    broken = ["\n".join(result.lines()) for result in results if not result.is_good]
    assert not broken, "\n".join(broken)
    assert {result.plan.ending for result in results} == set(Ending)


@pytest.mark.timeout(300)
def test_a_build_that_forgets_a_job_at_shutdown_is_caught_within_ten_seeds(tmp_path):
    build = "tests/wrong_builds.py:forgets_a_job_at_shutdown"
    results = list(play_seeds(SEEDS, RUNS_AT_ONCE, str(tmp_path), build))
    caught = [result for result in results if result.breaches["one_answer_in_time"]]
    assert caught
    assert (tmp_path / f"seed-{caught[0].plan.seed}" / "record.json").exists()


def test_a_seed_draws_the_same_plan_each_time():
    assert [draw_plan(seed) for seed in SEEDS] == [draw_plan(seed) for seed in SEEDS]
    plans = [draw_plan(seed) for seed in range(1, 51)]
    assert {plan.crowd > 0 for plan in plans} == {plan.keeps_keys for plan in plans} == {True, False}
    assert {(plan.agrees, plan.stages_start) for plan in plans} == {
        (agrees, stages) for agrees in (True, False) for stages in (True, False)
    }


@pytest.mark.parametrize(
    ("rule", "good", "bad"),
    [
        ("processes_end_by_themselves", [(1, "shutdown_ended", {})], [(1, "outlived_shutdown", {"pid": 7})]),
        (
            "what_runs_is_answered",
            [(1, "crossed", {"job": "j0"})],
            [(1, "crossed", {"job": "j0"}), (2, "launch", {"job": "j0", "worker": "w0"})],
        ),
        (
            "nothing_for_who_has_left",
            [(1, "left", {"job": "j0"}), (90_000, "launch", {"job": "j0"})],
            [(1, "left", {"job": "j0"}), (110_000, "launch", {"job": "j0"})],
        ),
        (
            "one_answer_in_time",
            [*LATE_ANSWER, (150_000, "run_delay", {"us": 40_000})],
            [*LATE_ANSWER, (150_000, "run_delay", {"us": 30_000})],
        ),
        (
            "one_answer_in_time",
            [*LATE_ANSWER, (150_000, "run_delay", {"us": 40_000})],
            [*LATE_ANSWER, (150_000, "run_delay", {"us": 40_000, "who": "n1"})],
        ),
        ("nothing_is_left_behind", [], [(1, "file_left", {"path": "tmp/x.jobs0"})]),
        ("nothing_is_left_behind", [], [(1, "connections_left", {"count": 1})]),
        (
            "half_requests_end",
            [(1, "half_request_ended", {"number": 0})],
            [(1, "half_request_kept", {"number": 0})],
        ),
    ],
)
def test_each_rule_of_endings_knows_good_from_bad(rule, good, bad):
    def events(some):
        return [
            (at, kind, {"who": "n0", "key": "", "worker": "w0", "type": "read", **told})
            for at, kind, told in some
        ]

    assert judged(record(*events(good)))[rule] == []
    assert judged(record(*events(bad)))[rule]


@pytest.mark.parametrize(
    ("ends", "expected"),
    [
        ("before the request", EndOfConnection.BEFORE_REQUEST),
        ("unread", EndOfConnection.UNREAD),
        ("after reading", EndOfConnection.READ),
    ],
)
def test_the_state_of_a_connection_tells_whether_a_request_was_read(ends, expected):
    async def play():
        with socket.create_server((HERE, 0)) as server:
            reader, writer = await asyncio.open_connection(*server.getsockname())
            theirs, _ = server.accept()
            if ends == "before the request":
                theirs.close()
            writer.write(b"request")
            state_after_write = tcp_state(writer)
            if ends == "after reading":
                assert theirs.recv(100) == b"request"
            theirs.close()
            try:
                was_reset = await reader.read(1) != b""
            except ConnectionResetError:
                was_reset = True
            writer.close()
            return end_of_connection(state_after_write, was_reset)

    assert asyncio.run(play()) is expected


def test_connections_and_files_that_are_left_behind_are_found(tmp_path):
    with socket.create_server((HERE, 0)) as server:
        host, port = server.getsockname()
        assert client_connections(f"{host}:{port}") == 0
        with socket.create_connection((host, port)) as client:
            theirs, _ = server.accept()
            assert client_connections(f"{host}:{port}") == 1
            assert theirs.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_ESTABLISHED
            client.close()
            theirs.close()
    (tmp_path / "tmp").mkdir()
    for name in ("tmp/d.state", "tmp/d.jobs0", "log", "state.new0"):
        (tmp_path / name).write_text("")
    assert files_left(str(tmp_path)) == ["state.new0", "tmp/d.jobs0"]
