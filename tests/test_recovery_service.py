"""A start with its folder: kept, read again, spoilt, slow; the list that comes back old. One program."""

import threading

import orjson
import pytest
from helpers import HERE
from test_program import file

from mastledge.program.configuration import load_configuration
from mastledge.program.dispatcher import Dispatcher
from mastledge.program.serving import can_serve
from mastledge.recovery import startup_stages as s
from mastledge.storage.errors import DataDirectoryError

ENTRY = {"instanceId": "w0", "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "m", "cell": 0,
         "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0}  # fmt: skip


def program(tmp_path, logged=None, **told):
    recovery = {"folder": str(tmp_path / "starts"), **told}
    path = file(tmp_path, listen=f"{HERE}:7570", discovery=f"{HERE}:7571", recovery=recovery)
    seen = logged if logged is not None else []
    return Dispatcher(load_configuration(path, {}), lambda event, **fields: seen.append((event, fields)))


def turned(made, until=lambda: False, most=400):
    for _ in range(most):
        if until():
            return
        made.loop.once(10_000)


def ended(made):
    made.recovery.end()
    made.listening_socket.close()


def lists(made, generation, *states):
    """Discovery has told this."""
    made.discovery.answered = True
    told = [{**ENTRY, "instanceId": f"w{n}", "lifecycle": state} for n, state in enumerate(states)]
    made.discovery.apply({"generation": generation, "reset": True, "instances": told})
    turned(made, most=3)


def started(tmp_path, logged=None, **told):
    made = program(tmp_path, logged, **told)
    made.begin()
    turned(made, lambda: made.recovery.read)
    return made


def test_what_was_known_is_believed_by_the_next_life_and_a_second_process_is_refused(tmp_path):
    made = started(tmp_path)
    assert made.recovery.belief.unbelieved == {"all": "nothing is kept"}
    lists(made, 7, "ready", "draining")
    turned(made, lambda: "list" in made.recovery.last)
    with pytest.raises(DataDirectoryError, match="held by another process"):
        program(tmp_path).recovery.begin()
    ended(made)
    logged = []
    again = started(tmp_path, logged)
    belief = again.recovery.belief
    assert belief.generation == 7 and belief.restricted == {"w1": 0} and set(belief.workers) == {"w0", "w1"}
    # By that list it serves, and the list of now is older: who was restricted stays off.
    turned(again, lambda: again.recovery.steps.step == s.OPENING)
    assert again.recovery.steps.lesser == {s.LISTING: s.WITHOUT[s.LISTING]}
    lists(again, 6, "ready", "ready")
    assert again.excluded.restricted_by_restored_list == {"w1"} and again.router.out == {"w1"}
    told = orjson.loads(again.recovery.figures(None).text)
    assert told["kept_off"] == ["w1"] and told["believed"]["workers"] == 2
    lists(again, 8, "ready", "ready")
    assert again.excluded.restricted_by_restored_list == frozenset() and again.router.out == frozenset()
    ended(again)


def test_an_older_list_is_believed_once_its_time_is_over(tmp_path):
    made = started(tmp_path, list_ms=100)
    lists(made, 7, "ready", "draining")
    lists(made, 6, "ready", "ready")
    assert made.excluded.restricted_by_restored_list == {"w1"}
    turned(made, lambda: not made.excluded.restricted_by_restored_list)
    assert not made.excluded.restricted_by_restored_list and made.recovery.belief.generation == 6
    ended(made)


@pytest.mark.parametrize(
    ("spoil", "says"),
    [(lambda raw: b"x" + raw, "no journal"), (lambda raw: raw[:60] + b"\xff" + raw[61:], "spoilt")],
)
def test_a_spoilt_folder_is_begun_anew_and_nothing_of_it_believed(tmp_path, spoil, says):
    made = started(tmp_path)
    lists(made, 7, "ready", "draining")
    turned(made, lambda: "list" in made.recovery.last)
    turned(made, most=30)
    ended(made)
    path = tmp_path / "starts" / "recovery"
    path.write_bytes(spoil(path.read_bytes()))
    again = started(tmp_path)
    assert says in again.recovery.belief.unbelieved["all"] and not again.recovery.belief.workers
    assert says in orjson.loads(again.recovery.figures(None).text)["disk"]
    lists(again, 9, "ready")
    turned(again, lambda: "list" in again.recovery.last)
    ended(again)
    third = started(tmp_path)
    assert third.recovery.belief.generation == 9
    ended(third)


def test_each_cut_of_the_file_is_the_state_before_or_after(tmp_path):
    made = started(tmp_path)
    lists(made, 7, "ready")
    turned(made, lambda: "list" in made.recovery.last)
    ended(made)
    path = tmp_path / "starts" / "recovery"
    raw = path.read_bytes()
    for at in range(0, len(raw), 7):
        path.write_bytes(raw[:at])
        again = started(tmp_path)
        assert again.recovery.belief.generation in (0, 7)
        ended(again)


def test_a_folder_that_is_slow_is_done_without_and_said_so(tmp_path, monkeypatch):
    made, answers = program(tmp_path), threading.Event()
    opened = made.recovery.opened
    monkeypatch.setattr(made.recovery, "opened", lambda: answers.wait(20) and opened())
    monkeypatch.setitem(s.BOUND, s.READING, 100_000)
    made.begin()
    turned(made, most=2)
    assert made.recovery.waiting() == "reading what lasts: its folder" and not can_serve(made, True)
    turned(made, lambda: made.recovery.steps.step != s.READING)
    assert made.recovery.steps.lesser == {s.READING: s.WITHOUT[s.READING]}
    answers.set()
    turned(made, lambda: made.recovery.read and s.READING not in made.recovery.steps.lesser)
    assert s.READING not in made.recovery.steps.lesser and made.recovery.writer is not None
    ended(made)
