"""Tests of a start with a data directory (restored, damaged, slow) and an older list, in one process."""

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
    """Return a dispatcher with a recovery folder, not started."""
    recovery = {"folder": str(tmp_path / "starts"), **options}
    path = file(tmp_path, listen=f"{HERE}:7570", discovery=f"{HERE}:7571", recovery=recovery)
    events = logged if logged is not None else []
    return Dispatcher(load_configuration(path, {}), lambda event, **fields: events.append((event, fields)))


def run_loop(dispatcher, until=lambda: False, max_steps=400):
    for _ in range(max_steps):
        if until():
            return
        dispatcher.loop.run_once(10_000)


def close(dispatcher):
    dispatcher.recovery.end()
    dispatcher.listening_socket.close()


def apply_list(dispatcher, generation, *states):
    """Apply a list of workers in these states, as from discovery."""
    dispatcher.discovery.answered = True
    instances = [{**ENTRY, "instanceId": f"w{n}", "lifecycle": state} for n, state in enumerate(states)]
    dispatcher.discovery.apply({"generation": generation, "reset": True, "instances": instances})
    run_loop(dispatcher, max_steps=3)


def started(tmp_path, logged=None, **options):
    """Return a dispatcher that was started and has read its recovery folder."""
    dispatcher = program(tmp_path, logged, **options)
    dispatcher.begin()
    run_loop(dispatcher, lambda: dispatcher.recovery.directory.is_read)
    return dispatcher


def test_next_process_restores_the_state_and_a_second_process_is_refused(tmp_path):
    dispatcher = started(tmp_path)
    assert dispatcher.recovery.restored.rejected_parts == {"all": "nothing is kept"}
    apply_list(dispatcher, 7, "ready", "draining")
    run_loop(dispatcher, lambda: dispatcher.recovery.persistence.stored_list is not None)
    with pytest.raises(DataDirectoryError, match="held by another process"):
        program(tmp_path).recovery.begin()
    close(dispatcher)
    logged = []
    next_dispatcher = started(tmp_path, logged)
    restored, newest = next_dispatcher.recovery.restored, next_dispatcher.recovery.exclusion.newest_list
    assert restored.generation == newest.generation == 7
    assert restored.restricted() == newest.restricted == {"w1": 0}
    assert set(restored.workers) == {"w0", "w1"}
    # The dispatcher serves by the restored list; an older list does not lift the restriction of w1.
    run_loop(next_dispatcher, lambda: next_dispatcher.recovery.stages.stage == StartupStage.RAMPING_UP)
    assert next_dispatcher.recovery.stages.degraded == {
        StartupStage.AWAITING_ENDPOINT_LIST: DEGRADED_SERVICE[StartupStage.AWAITING_ENDPOINT_LIST]
    }
    apply_list(next_dispatcher, 6, "ready", "ready")
    assert next_dispatcher.excluded.by_newer_list == {"w1"}
    assert next_dispatcher.router.excluded == {"w1"}
    figures = orjson.loads(next_dispatcher.recovery.figures(None).text)
    assert figures["kept_off"] == ["w1"]
    assert figures["believed"]["workers"] == 2
    apply_list(next_dispatcher, 8, "ready", "ready")
    assert next_dispatcher.excluded.by_newer_list == frozenset()
    assert next_dispatcher.router.excluded == frozenset()
    close(next_dispatcher)


def test_older_list_is_accepted_after_the_newer_one_expires(tmp_path):
    dispatcher = started(tmp_path, list_ms=100)
    apply_list(dispatcher, 7, "ready", "draining")
    apply_list(dispatcher, 6, "ready", "ready")
    assert dispatcher.excluded.by_newer_list == {"w1"}
    run_loop(dispatcher, lambda: not dispatcher.excluded.by_newer_list)
    assert not dispatcher.excluded.by_newer_list
    assert dispatcher.recovery.exclusion.newest_list.generation == 6
    close(dispatcher)


@pytest.mark.parametrize(
    ("spoil", "says"),
    [(lambda raw: b"x" + raw, "no journal"), (lambda raw: raw[:60] + b"\xff" + raw[61:], "spoilt")],
)
def test_damaged_log_is_replaced_and_nothing_is_restored(tmp_path, spoil, says):
    dispatcher = started(tmp_path)
    apply_list(dispatcher, 7, "ready", "draining")
    run_loop(dispatcher, lambda: dispatcher.recovery.persistence.stored_list is not None)
    run_loop(dispatcher, max_steps=30)
    close(dispatcher)
    path = tmp_path / "starts" / "recovery"
    path.write_bytes(spoil(path.read_bytes()))
    next_dispatcher = started(tmp_path)
    assert says in next_dispatcher.recovery.restored.rejected_parts["all"]
    assert not next_dispatcher.recovery.restored.workers
    assert says in orjson.loads(next_dispatcher.recovery.figures(None).text)["disk"]
    apply_list(next_dispatcher, 9, "ready")
    run_loop(next_dispatcher, lambda: next_dispatcher.recovery.persistence.stored_list is not None)
    close(next_dispatcher)
    third_dispatcher = started(tmp_path)
    assert third_dispatcher.recovery.restored.generation == 9
    close(third_dispatcher)


def test_log_truncated_anywhere_restores_the_state_before_or_after_a_record(tmp_path):
    dispatcher = started(tmp_path)
    apply_list(dispatcher, 7, "ready")
    run_loop(dispatcher, lambda: dispatcher.recovery.persistence.stored_list is not None)
    close(dispatcher)
    path = tmp_path / "starts" / "recovery"
    raw = path.read_bytes()
    for length in range(0, len(raw), 7):
        path.write_bytes(raw[:length])
        next_dispatcher = started(tmp_path)
        assert next_dispatcher.recovery.restored.generation in (0, 7)
        close(next_dispatcher)


def test_slow_directory_leads_to_degraded_service_until_it_answers(tmp_path, monkeypatch):
    dispatcher, directory_answers = program(tmp_path), threading.Event()
    directory = dispatcher.recovery.directory
    read_log = directory.read_log
    monkeypatch.setattr(directory, "read_log", lambda: directory_answers.wait(20) and read_log())
    monkeypatch.setitem(startup_stages.STAGE_TIMEOUT_US, StartupStage.READING_STATE, 100_000)
    dispatcher.begin()
    run_loop(dispatcher, max_steps=2)
    assert dispatcher.recovery.waiting_for() == "reading what lasts: its folder"
    assert not can_serve(dispatcher, True)
    run_loop(dispatcher, lambda: dispatcher.recovery.stages.stage != StartupStage.READING_STATE)
    assert dispatcher.recovery.stages.degraded == {
        StartupStage.READING_STATE: DEGRADED_SERVICE[StartupStage.READING_STATE]
    }
    directory_answers.set()
    run_loop(
        dispatcher,
        lambda: dispatcher.recovery.directory.is_read
        and StartupStage.READING_STATE not in dispatcher.recovery.stages.degraded,
    )
    assert StartupStage.READING_STATE not in dispatcher.recovery.stages.degraded
    assert dispatcher.recovery.persistence.writer is not None
    close(dispatcher)
