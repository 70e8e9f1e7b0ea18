"""Lists of 1,024 dispatchers and 4,096 workers are parsed, stored, replicated and sent whole."""

import msgspec
import orjson
from helpers import HERE, Rig, arrive, entry, pull, scheduler
from test_program import GOOD, file
from test_restored_state import record, restored
from test_terms import DiscoveryServer

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

DISPATCHERS = 1024
WORKERS = 4096
NAMES = [f"dispatcher-{n}" for n in range(DISPATCHERS)]


def test_long_worker_list_is_read_as_whole_and_as_change(monkeypatch):
    server = DiscoveryServer(Rig())
    server.count = WORKERS
    for indented in (0, orjson.OPT_INDENT_2):
        server.json_options = {"option": indented}
        for state in ("ready", "draining"):
            server.state = state
            server.rig.inbox.items.clear()
            server.change_to("ends")
            server.run_for(500_000)
            server.change_to("up")
            server.run_for(1_000_000)
            lists = [item.entries for item in server.rig.inbox.items if len(item.entries) == WORKERS]
            assert lists and {worker[3] for worker in lists[-1]} == {state}
    server.close_all()


def test_scheduler_handles_many_workers_and_dispatchers():
    sched = scheduler(workers=WORKERS, dispatchers=DISPATCHERS)
    arrive(sched)
    (decision,) = pull(sched, 0)
    assert isinstance(decision, LaunchJob) and len(sched.ready) == WORKERS
    sched.update_endpoints(10, "changes", [entry(i, "draining") for i in range(WORKERS - 1)])
    arrive(sched, 20, 2)
    (decision,) = pull(sched, 20)
    assert decision.worker == WORKERS - 1
    sched.update_endpoints(30, "whole", [entry(i, born=25) for i in range(WORKERS)])
    with_budget = sum(
        sched.slow_start.within_budget(worker, sched.jobs[2], 2_000_000) for worker in sched.ready
    )
    assert 0 < with_budget < WORKERS // 10  # a credit smaller than one job is granted at random
    settings = parse_settings(flatten_settings({**GOOD["settings"], "balancers": DISPATCHERS}))
    assert settings["dispatchers"] == DISPATCHERS


def members():
    return {name: f"{HERE}:{n + 1}" for n, name in enumerate(NAMES)}


def test_configuration_with_many_members_is_loaded(tmp_path):
    peers = {"listen": f"{HERE}:1", "members": members(), "folder": "x"}
    assert (
        len(load_configuration(file(tmp_path, name=NAMES[0], peers=peers), {})["peers"]["members"])
        == DISPATCHERS
    )


def state():
    initial = initial_state(
        GOOD["settings"], 2_000_000, {name: (at, "0" * 16) for name, at in members().items()}
    )
    workers = [f"worker-of-a-long-name-{n}" for n in range(WORKERS)]
    return {**initial, "out": workers, "back": {worker: 1 << 50 for worker in workers}}


def test_state_of_a_large_fleet_fits_a_frame_and_a_snapshot():
    fleet_state = state()
    raw = m.encode(m.BootstrapCluster("f", fleet_state))
    assert len(raw) < MAX_FRAME_BYTES // 4
    unpacked = fleet_snapshot.unpack_snapshot(
        msgspec.json.encode(fleet_snapshot.pack_snapshot(fleet_state, "f", "x", 1))
    )
    assert len(unpacked["state"]["members"]) == DISPATCHERS and len(unpacked["state"]["out"]) == WORKERS


def test_replicas_of_keys_are_spread_over_many_dispatchers():
    ids = {name: f"id of {name}" for name in NAMES}
    placement = Placement({"epoch": 1, "count": 3, "now": ids, "next": None, "caught": []})
    replica_names = [placement.replicas_of("t", b"k%d" % n).names for n in range(300)]
    assert (
        all(len(set(names)) == 3 for names in replica_names)
        and len({n for names in replica_names for n in names}) > 400
    )


def test_recovery_record_of_many_workers_is_restored():
    workers = {f"w{n}": StoredWorker("draining", 5_000, [HERE, 1]) for n in range(WORKERS)}
    stored_record = record(workers=workers)
    assert (
        len(msgspec.json.decode(msgspec.json.encode(stored_record), type=RecoveryRecord).workers) == WORKERS
    )
    assert len(restored(stored_record).restricted()) == WORKERS


def test_restrictions_of_many_workers_are_sent_to_peers():
    workers = [(f"worker-of-a-long-name-{n}", "draining") for n in range(WORKERS)]
    own, ours, theirs = OwnRestrictions(), ListExchange(), ListExchange()
    own.update("whole", workers, 7)
    assert len(own.to_message("r").workers) == WORKERS
    ours.update_own("r", "whole", workers, 7)
    ours.restrictions_for("them")
    (news,) = ours.restrictions_for("them")
    decoded = m.decode(m.encode(m.AppendEntries(1, 1, 1, [], 1, 5, 0, 1, 0, {}, [news])))
    assert len(theirs.receive(decoded.restrictions[0]).workers) == WORKERS
