"""A start with its folder: kept, read again, spoilt, slow; the list that comes back old. One program."""

import threading

import orjson
import pytest
from helpers import HERE
from test_program import file

from mastledge.program.configuration import load_configuration
from mastledge.program.dispatcher import Dispatcher
from mastledge.program.serving import can_serve
from mastledge.recovery import startup_stages
from mastledge.recovery.startup_stages import DEGRADED_SERVICE, StartupStage
from mastledge.storage.errors import DataDirectoryError

ENTRY = {"instanceId": "w0", "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "m", "cell": 0,
         "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0}  # fmt: skip


def program(tmp_path, logged=None, **options):
    recovery = {"folder": str(tmp_path / "starts"), **options}
    path = file(tmp_path, listen=f"{HERE}:7570", discovery=f"{HERE}:7571", recovery=recovery)
    events = logged if logged is not None else []
    return Dispatcher(load_configuration(path, {}), lambda event, **fields: events.append((event, fields)))


def run_loop(made, until=lambda: False, most=400):
    for _ in range(most):
        if until():
            return
        made.loop.run_once(10_000)


def close(made):
    made.recovery.end()
    made.listening_socket.close()


def apply_list(made, generation, *states):
    """Discovery gives a list of workers in these states."""
    made.discovery.answered = True
    instances = [{**ENTRY, "instanceId": f"w{n}", "lifecycle": state} for n, state in enumerate(states)]
    made.discovery.apply({"generation": generation, "reset": True, "instances": instances})
    run_loop(made, most=3)


def started(tmp_path, logged=None, **options):
    made = program(tmp_path, logged, **options)
    made.begin()
    run_loop(made, lambda: made.recovery.directory.is_read)
    return made


def test_what_was_known_is_restored_by_the_next_process_and_a_second_process_is_refused(tmp_path):
    made = started(tmp_path)
    assert made.recovery.restored.rejected_parts == {"all": "nothing is kept"}
    apply_list(made, 7, "ready", "draining")
    run_loop(made, lambda: made.recovery.persistence.stored_list is not None)
    with pytest.raises(DataDirectoryError, match="held by another process"):
        program(tmp_path).recovery.begin()
    close(made)
    logged = []
    again = started(tmp_path, logged)
    restored, newest = again.recovery.restored, again.recovery.exclusion.newest_list
    assert restored.generation == newest.generation == 7
    assert restored.restricted() == newest.restricted == {"w1": 0}
    assert set(restored.workers) == {"w0", "w1"}
    # By that list it serves, and the list of now is older: who was restricted stays off.
    run_loop(again, lambda: again.recovery.stages.stage == StartupStage.RAMPING_UP)
    assert again.recovery.stages.degraded == {
        StartupStage.AWAITING_ENDPOINT_LIST: DEGRADED_SERVICE[StartupStage.AWAITING_ENDPOINT_LIST]
    }
    apply_list(again, 6, "ready", "ready")
    assert again.excluded.by_newer_list == {"w1"}
    assert again.router.excluded == {"w1"}
    figures = orjson.loads(again.recovery.figures(None).text)
    assert figures["kept_off"] == ["w1"]
    assert figures["believed"]["workers"] == 2
    apply_list(again, 8, "ready", "ready")
    assert again.excluded.by_newer_list == frozenset()
    assert again.router.excluded == frozenset()
    close(again)


def test_an_older_list_counts_once_its_time_is_over(tmp_path):
    made = started(tmp_path, list_ms=100)
    apply_list(made, 7, "ready", "draining")
    apply_list(made, 6, "ready", "ready")
    assert made.excluded.by_newer_list == {"w1"}
    run_loop(made, lambda: not made.excluded.by_newer_list)
    assert not made.excluded.by_newer_list
    assert made.recovery.exclusion.newest_list.generation == 6
    close(made)


@pytest.mark.parametrize(
    ("spoil", "says"),
    [(lambda raw: b"x" + raw, "no journal"), (lambda raw: raw[:60] + b"\xff" + raw[61:], "spoilt")],
)
def test_a_spoilt_folder_is_begun_anew_and_nothing_of_it_restored(tmp_path, spoil, says):
    made = started(tmp_path)
    apply_list(made, 7, "ready", "draining")
    run_loop(made, lambda: made.recovery.persistence.stored_list is not None)
    run_loop(made, most=30)
    close(made)
    path = tmp_path / "starts" / "recovery"
    path.write_bytes(spoil(path.read_bytes()))
    again = started(tmp_path)
    assert says in again.recovery.restored.rejected_parts["all"]
    assert not again.recovery.restored.workers
    assert says in orjson.loads(again.recovery.figures(None).text)["disk"]
    apply_list(again, 9, "ready")
    run_loop(again, lambda: again.recovery.persistence.stored_list is not None)
    close(again)
    third = started(tmp_path)
    assert third.recovery.restored.generation == 9
    close(third)


def test_each_cut_of_the_file_is_the_state_before_or_after(tmp_path):
    made = started(tmp_path)
    apply_list(made, 7, "ready")
    run_loop(made, lambda: made.recovery.persistence.stored_list is not None)
    close(made)
    path = tmp_path / "starts" / "recovery"
    raw = path.read_bytes()
    for at in range(0, len(raw), 7):
        path.write_bytes(raw[:at])
        again = started(tmp_path)
        assert again.recovery.restored.generation in (0, 7)
        close(again)


def test_a_folder_that_is_slow_is_done_without_and_said_so(tmp_path, monkeypatch):
    made, answers = program(tmp_path), threading.Event()
    directory = made.recovery.directory
    read_log = directory.read_log
    monkeypatch.setattr(directory, "read_log", lambda: answers.wait(20) and read_log())
    monkeypatch.setitem(startup_stages.STAGE_TIMEOUT_US, StartupStage.READING_STATE, 100_000)
    made.begin()
    run_loop(made, most=2)
    assert made.recovery.waiting_for() == "reading what lasts: its folder"
    assert not can_serve(made, True)
    run_loop(made, lambda: made.recovery.stages.stage != StartupStage.READING_STATE)
    assert made.recovery.stages.degraded == {
        StartupStage.READING_STATE: DEGRADED_SERVICE[StartupStage.READING_STATE]
    }
    answers.set()
    run_loop(
        made,
        lambda: made.recovery.directory.is_read
        and StartupStage.READING_STATE not in made.recovery.stages.degraded,
    )
    assert StartupStage.READING_STATE not in made.recovery.stages.degraded
    assert made.recovery.persistence.writer is not None
    close(made)
