"""The fleet in simulated time: replayed by its seed, judged like processes, and what it shows of a start."""

import msgspec
import pytest

from mastledge.lab.faults import Troubles
from mastledge.lab.invariant_checker import judged
from mastledge.lab.policies import POLICIES
from mastledge.lab.scenario import Clients, QueueType, Scenario, ScenarioError, Step, Workers, known, read
from mastledge.lab.simulator.simulation import Simulation


def scenario(*steps, dispatchers=3, load=0.8, seconds=8, **told):
    patience = told.pop("patience_ms", 0.0)
    types = [
        QueueType(name="read", share=0.6, target_ms=1000, walltime_ms=3000),
        QueueType(name="post", effect="side_effect", share=0.4, target_ms=1000, walltime_ms=3000),
    ]
    return Scenario(
        name="x",
        seconds=seconds,
        dispatchers=dispatchers,
        steps=[Step(**step) for step in steps],
        workers=Workers(
            count=dispatchers, slots=4, run_ms=(100, 400), drops=True, cold_ms=told.pop("cold_ms", 0)
        ),
        clients=Clients(
            per_second=load * dispatchers * 16,
            retries=10,
            again_when_lost=True,
            patience_ms=patience,
            queue_types=types,
        ),
        **told,
    )


def played(told, seed=1, policy=""):
    record = Simulation(told, seed, policy).play()
    assert record["complete"], record["why"]
    return record


def answers(record, status=200):
    return sum(event["kind"] == "answer" and event["status"] == status for event in record["events"])


def test_one_seed_replays_all_of_it_and_another_one_does_not():
    told = scenario(
        {"at": 2.0, "fault": "kill", "who": "n1", "seconds": 1.0},
        {"at": 3.0, "fault": "outages", "amount": 1, "seconds": 0.5},
        recovery={"open_ms": 3000},
    )
    one, other = (msgspec.json.encode(played(told, seed)) for seed in (1, 2))
    assert one == msgspec.json.encode(played(told, 1)) and one != other


@pytest.mark.parametrize("recovery", [{}, {"open_ms": 5000}])
def test_faults_of_workers_and_dispatchers_break_no_rule(recovery):
    told = scenario(
        {"at": 1.0, "fault": "worker", "worker": "w0", "kind": "error", "seconds": 2, "share": 0.5},
        {"at": 1.5, "fault": "worker", "worker": "w1", "kind": "lost", "count": 5},
        {"at": 2.0, "fault": "worker", "worker": "w2", "kind": "silent", "seconds": 1},
        {"at": 2.5, "fault": "worker", "worker": "w0", "kind": "half_open", "seconds": 1},
        {"at": 3.0, "fault": "worker", "worker": "w1", "kind": "malformed", "seconds": 1},
        {"at": 3.0, "fault": "worker", "worker": "w2", "kind": "slow", "amount": 5, "seconds": 2},
        {"at": 3.5, "fault": "stop", "who": "n0", "seconds": 1.5},
        {"at": 4.0, "fault": "kill", "who": "n1", "seconds": 0.5},
        {"at": 4.0, "fault": "restart", "worker": "w2"},
        {"at": 4.5, "fault": "drain", "worker": "w0"},
        {"at": 5.0, "call": "exclude", "who": "n2", "worker": "w1"},
        {"at": 5.5, "fault": "list_down", "seconds": 0.5},
        {"at": 6.0, "fault": "list_late", "who": "n0", "amount": 0.5, "seconds": 1},
        {"at": 6.0, "fault": "cut", "who": "n2", "seconds": 1},
        load=0.3,
        cold_ms=2000,
        recovery=recovery,
    )
    record = played(told)
    assert not {rule: lines for rule, lines in judged(record).items() if lines}
    assert answers(record) > 60


def test_a_wrong_policy_is_told_from_a_right_one_by_the_judge():
    """The judge reads what the simulation writes down: a run-once job launched again shows."""

    class Twice(Simulation):
        def note(self, kind, **fields):
            super().note(kind, **fields)
            if kind == "effect" and fields["type"] == "post":
                super().note(kind, **{**fields, "worker": "w9"})

    assert judged(Twice(scenario(seconds=2), 1).play())["no_effect_twice"]


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_baselines_keep_the_rules_and_serve(policy):
    record = played(scenario(seconds=4, load=0.5), policy=policy)
    assert not any(judged(record).values()) and answers(record) > 80


def test_lost_answers_under_impatient_clients_end_with_their_cause_and_not_without_the_door():
    """A lasting overload: the trigger is over after 5 s, and further tries keep the fleet down."""
    lost = {"at": 3.0, "fault": "worker", "kind": "lost", "seconds": 5}
    steps = [{**lost, "worker": f"w{n}"} for n in range(24)]
    shares = {}
    for name, recovery in (("off", {}), ("on", {"open_ms": 5000})):
        told = scenario(*steps, dispatchers=24, seconds=18, patience_ms=800, agree=False, recovery=recovery)
        record = played(told)
        began = next(event["at"] for event in record["events"] if event["kind"] == "began")
        first = {
            event["job"].partition(".")[0]: event["at"]
            for event in record["events"]
            if event["kind"] == "sent" and not event["attempt"]
        }
        end = {
            event["job"].partition(".")[0]: event["at"]
            for event in record["events"]
            if event["kind"] == "answer" and event["status"] == 200
        }
        late = [job for job, at in first.items() if at > began + 13_250_000]  # 5 s after its cause is gone
        shares[name] = sum(end.get(job, 1e18) <= first[job] + 2_000_000 for job in late) / len(late)
    assert shares["off"] < 0.5 and shares["on"] > 0.9, shares


def test_what_is_not_emulated_is_said_before_anything_starts():
    with pytest.raises(ScenarioError, match=r"steps\[0\]: wipe is not emulated"):
        Simulation(scenario({"at": 1.0, "fault": "wipe", "who": "n0"}), 1)
    with pytest.raises(ScenarioError, match="lease_ms"):
        Simulation(scenario(lease_ms=5000), 1)


def test_troubles_overlap_and_end_by_time_or_count():
    some = Troubles()
    some.add(0, Step(at=0, kind="error", count=2))
    some.add(0, Step(at=0, kind="slow", amount=3, seconds=1))
    some.add(0, Step(at=0, kind="slow", amount=2, seconds=2))
    assert [some.now(n, lambda: 0.5) for n in range(3)] == ["error", "error", ""]
    assert (some.slow(10), some.slow(1_500_000), some.slow(3_000_000)) == (6, 2, 1)
    some.add(0, Step(at=0, kind="half_open", seconds=1))
    assert some.deaf(999_999) and not some.deaf(1_000_000)


def test_scenarios_of_the_package_that_can_be_emulated_are_without_a_breach():
    seen = 0
    for name in known():
        told = read(name)
        try:
            record = Simulation(told, 1).play()
        except ScenarioError:
            continue
        seen += 1
        assert record["complete"] and not {r: x[:2] for r, x in judged(record).items() if x}, name
    assert seen >= 5


KEYED = {"repeats": {"keep_ms": 30000, "copies": 3, "entries": 20000, "bytes": 20000000},
         "recovery": {"open_ms": 3000}}  # fmt: skip
KILLS = [{"at": 1.5, "fault": "outages", "amount": 2, "seconds": 0.3}]


def keyed(seed):
    told = scenario(*KILLS, dispatchers=5, load=0.4, seconds=12, **KEYED)
    told.clients.again_after = 0.2
    return {rule: lines for rule, lines in judged(played(told, seed)).items() if lines}


def test_keys_keep_their_promises_through_outages_and_a_claim_on_one_copy_alone_does_not(monkeypatch):
    assert not any(keyed(seed) for seed in (1, 2, 3))
    monkeypatch.setattr(
        "mastledge.replication.placement.KeyReplicas.is_quorum",
        lambda replicas, acknowledged: bool(acknowledged),
    )
    found = {rule for seed in (1, 2, 3) for rule in keyed(seed)}
    assert found & {"one_effect_a_key", "no_promise_lost", "one_answer_a_key"}, found
