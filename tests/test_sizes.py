"""Lists of 1,024 processes and of 4,096 workers, wherever one is read, kept or told."""

import msgspec
import orjson
from helpers import HERE, Rig, arrive, entry, pull, scheduler
from test_program import GOOD, file
from test_restored_state import record, restored
from test_terms import Agent

from mastledge.consensus import messages as m
from mastledge.consensus.state_machine import initial_state
from mastledge.consensus.worker_restrictions import ListExchange, OwnRestrictions
from mastledge.peers.frames import MAX_FRAME_BYTES
from mastledge.program.configuration import load_configuration
from mastledge.program.settings import flatten_settings, parse_settings
from mastledge.recovery import fleet_snapshot
from mastledge.recovery.recovery_record import RecoveryRecord, StoredWorker
from mastledge.replication.placement import Placement
from mastledge.scheduling.decisions import LaunchJob

MANY = 1024  # processes
WORKERS = 4096
NAMES = [f"dispatcher-{n}" for n in range(MANY)]


def test_a_list_of_many_workers_is_read_whole_and_as_a_change(monkeypatch):
    agent = Agent(Rig())
    agent.count = WORKERS
    for indented in (0, orjson.OPT_INDENT_2):
        agent.how = {"option": indented}
        for state in ("ready", "draining"):
            agent.state = state
            agent.rig.inbox.items.clear()
            agent.becomes("ends")
            agent.goes_on(500_000)
            agent.becomes("up")
            agent.goes_on(1_000_000)
            lists = [item.entries for item in agent.rig.inbox.items if len(item.entries) == WORKERS]
            assert lists and {one[3] for one in lists[-1]} == {state}
    agent.over()


def test_the_decisions_know_many_workers_and_many_dispatchers():
    made = scheduler(workers=WORKERS, dispatchers=MANY)
    arrive(made)
    (decision,) = pull(made, 0)
    assert isinstance(decision, LaunchJob) and len(made.ready) == WORKERS
    made.update_endpoints(10, "changes", [entry(i, "draining") for i in range(WORKERS - 1)])
    arrive(made, 20, 2)
    (decision,) = pull(made, 20)
    assert decision.worker == WORKERS - 1
    made.update_endpoints(30, "whole", [entry(i, born=25) for i in range(WORKERS)])
    room = sum(made.slow_start.within_budget(one, made.jobs[2], 2_000_000) for one in made.ready)
    assert 0 < room < WORKERS // 10  # credit for less than a job is a matter of chance
    settings = parse_settings(flatten_settings({**GOOD["settings"], "balancers": MANY}))
    assert settings["dispatchers"] == MANY


def members():
    return {name: f"{HERE}:{n + 1}" for n, name in enumerate(NAMES)}


def test_a_configuration_names_many_members(tmp_path):
    peers = {"listen": f"{HERE}:1", "members": members(), "folder": "x"}
    assert len(load_configuration(file(tmp_path, name=NAMES[0], peers=peers), {})["peers"]["members"]) == MANY


def state():
    made = initial_state(
        GOOD["settings"], 2_000_000, {name: (at, "0" * 16) for name, at in members().items()}
    )
    workers = [f"worker-of-a-long-name-{n}" for n in range(WORKERS)]
    return {**made, "out": workers, "back": {one: 1 << 50 for one in workers}}


def test_what_a_large_fleet_agrees_on_fits_a_frame_and_a_snapshot():
    made = state()
    raw = m.encode(m.BootstrapCluster("f", made))
    assert len(raw) < MAX_FRAME_BYTES // 4
    told = fleet_snapshot.unpack_snapshot(
        msgspec.json.encode(fleet_snapshot.pack_snapshot(made, "f", "x", 1))
    )
    assert len(told["state"]["members"]) == MANY and len(told["state"]["out"]) == WORKERS


def test_keys_are_held_among_many_dispatchers():
    ids = {name: f"id of {name}" for name in NAMES}
    placement = Placement({"epoch": 1, "count": 3, "now": ids, "next": None, "caught": []})
    held = [placement.replicas_of("t", b"k%d" % n).names for n in range(300)]
    assert all(len(set(names)) == 3 for names in held) and len({n for names in held for n in names}) > 400


def test_what_is_stored_of_many_workers_is_restored():
    workers = {f"w{n}": StoredWorker("draining", 5_000, [HERE, 1]) for n in range(WORKERS)}
    told = record(workers=workers)
    assert len(msgspec.json.decode(msgspec.json.encode(told), type=RecoveryRecord).workers) == WORKERS
    assert len(restored(told).restricted()) == WORKERS


def test_restrictions_of_many_workers_are_passed_on():
    workers = [(f"worker-of-a-long-name-{n}", "draining") for n in range(WORKERS)]
    own, ours, theirs = OwnRestrictions(), ListExchange(), ListExchange()
    own.update("whole", workers, 7)
    assert len(own.to_message("r").workers) == WORKERS
    ours.update_own("r", "whole", workers, 7)
    ours.restrictions_for("them")
    (news,) = ours.restrictions_for("them")
    told = m.decode(m.encode(m.AppendEntries(1, 1, 1, [], 1, 5, 0, 1, 0, {}, [news])))
    assert len(theirs.receive(told.restrictions[0]).workers) == WORKERS
