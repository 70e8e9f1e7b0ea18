"""Relays: fault schedules, faulty builds that the checks catch, and unit tests of relay decisions."""

from types import SimpleNamespace

import pytest

from mastledge.command_line import main
from mastledge.consensus import inputs, outputs
from mastledge.consensus import messages as m
from mastledge.consensus.follower import Follower
from mastledge.consensus.in_force import InForceTracker
from mastledge.consensus.relay_children import RelayChildren
from mastledge.consensus.relay_tree import RelayTree
from mastledge.consensus.restriction_sharing import RestrictionSharing
from mastledge.consensus.settings_patch import apply_patch, difference
from mastledge.consensus.state_machine import ChangeResult, StateMachine, initial_state
from mastledge.consensus.worker_restrictions import KnownList, ListExchange
from mastledge.lab import relay_schedules
from mastledge.lab.consensus_schedules import LEASE, Fleet, InvariantViolatedError
from mastledge.lab.sized_fleets import (
    FixedVotersLeadership,
    FixedVotersMember,
    is_at_rest,
    measure_size,
    start_fleet,
)
from mastledge.program.fleet_api import FleetApi
from mastledge.protocol.errors import CallRefusedError

SEEDS = 30
MAX_SCHEDULES = 100  # in which a faulty build has to be caught


def members(voters, followers):
    names = [f"n{n}" for n in range(voters)] + [f"x{n:04}" for n in range(followers)]
    return {name: {"votes": name[0] == "n", "life": "l", "address": name} for name in names}


@pytest.mark.parametrize(
    ("count", "fan_out", "widths"),
    [(0, 6, [7]), (42, 6, [7, 42]), (223, 6, [7, 42, 181]), (993, 12, [7, 84, 909])],
)
def test_followers_use_relays_of_the_level_above_with_bounded_children(count, fan_out, widths):
    tree = RelayTree(members(7, count), fan_out)
    assert [len(names) for names in tree.levels] == widths
    followers_by_relay = {}
    for name, (level, _) in tree.places.items():
        relays = tree.relays(name, "n0")
        assert set(relays) <= set(tree.levels[level - 1]) - {"n0"} and bool(relays) == bool(level)
        if relays:
            followers_by_relay.setdefault(relays[0], []).append(name)
    assert max(map(len, followers_by_relay.values()), default=0) <= 2 * fan_out


def test_departure_of_one_member_keeps_most_relays():
    before, remaining = RelayTree(members(7, 223), 6), members(7, 223)
    del remaining["x0100"]
    after = RelayTree(remaining, 6)
    moved = sum(
        before.relays(name, "n0")[0] != after.relays(name, "n0")[0]
        for name in after.places
        if after.level(name) and before.level(name)
    )
    assert before.levels[0] == after.levels[0] and len(set(before.levels[1]) ^ set(after.levels[1])) <= 2
    assert moved <= len(after.places)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_invariants_hold_with_relays_under_faults(seed):
    relay_schedules.check_schedule(seed)


# Faulty builds: one for each rule that relays depend on


def member_type(name, **types):
    """Return a member class with these types of components."""
    return type(name, (FixedVotersMember,), types)


class UnlimitedGrantChildren(RelayChildren):
    """A relay grants leases that are not limited by the lease granted to the relay."""

    def send_to(self, name, child):
        granted, self.lease.latest_grant = self.lease.latest_grant, self.core.clock.now
        super().send_to(name, child)
        self.lease.latest_grant = granted


class OwnIndexChildren(RelayChildren):
    """A relay reports the index that it has applied, without regard to its children."""

    def covered_index(self):
        state_machine = self.core.state.state_machine
        return state_machine.applied_index if state_machine else 0


class NoWaitTracker(InForceTracker):
    """A new leader does not wait until the leases granted under the former leader have expired."""

    def compute_with_relays(self, in_force_index):
        lease = self.core.state.lease_us
        self.elected_at -= 10 * lease
        try:
            return super().compute_with_relays(in_force_index)
        finally:
            self.elected_at += 10 * lease


class NoWaitLeadership(FixedVotersLeadership):
    in_force_type = NoWaitTracker


class NoRestartWaitChildren(RelayChildren):
    """A new process of a relay assumes that the previous process granted no leases."""

    def covered_index(self):
        clock, started = self.core.clock, self.core.clock.started_at
        clock.started_at = started - 10 * self.core.state.lease_us
        try:
            return super().covered_index()
        finally:
            clock.started_at = started


class UncheckedLeaseFollower(Follower):
    """A follower accepts a lease before it has applied what was committed at the grant."""

    def on_append_entries(self, sender, incarnation, append):
        super().on_append_entries(sender, incarnation, append)
        clock, state = self.core.clock, self.core.state
        granted_from = clock.from_reading(append.lease_grant)
        if append.leader and clock.started_at <= granted_from <= clock.now and state.is_admitted():
            self.parts.lease.extend(granted_from, state.lease_us)


class UncommittedChildren(RelayChildren):
    """A relay forwards uncommitted entries as committed."""

    def send_to(self, name, child):
        state = self.core.state
        commit_index, state.commit_index = state.commit_index, state.log.last_index
        try:
            super().send_to(name, child)
        finally:
            state.commit_index = commit_index


class WithheldSharing(RestrictionSharing):
    """A relay does not share the worker restrictions that it receives."""

    children = None

    def deliver(self, restrictions):
        if not self.children.children:
            super().deliver(restrictions)


class WithheldChildren(RelayChildren):
    def __init__(self, core, lease, restriction_sharing):
        super().__init__(core, lease, restriction_sharing)
        restriction_sharing.children = self


# The first argument is the class name shown in test ids.
UnlimitedGrant = member_type("Generous", children_type=UnlimitedGrantChildren)
OwnIndex = member_type("Boastful", children_type=OwnIndexChildren)
NoWait = member_type("Hasty", leadership_type=NoWaitLeadership)
NoRestartWait = member_type("Forgetful", children_type=NoRestartWaitChildren)
UncheckedLease = member_type("Credulous", follower_type=UncheckedLeaseFollower)
Uncommitted = member_type("Early", children_type=UncommittedChildren)
Withheld = member_type("Mute", children_type=WithheldChildren, sharing_type=WithheldSharing)


@pytest.mark.parametrize(
    ("build", "first_seed"),
    [  # the search starts shortly before the schedule that exposes the fault
        (UnlimitedGrant, 17),
        (OwnIndex, 0),
        (UncheckedLease, 25),
        (Uncommitted, 58),
        (Withheld, 1),
    ],
)
def test_faulty_build_is_caught(build, first_seed):
    for seed in range(first_seed, first_seed + MAX_SCHEDULES):
        try:
            relay_schedules.check_schedule(seed, make=build)
        except InvariantViolatedError:
            return
    pytest.fail("not caught")


def isolate(fleet, name):
    """Drop all messages from and to this member."""
    for other in fleet.nodes:
        fleet.cut |= {(name, other), (other, name)}


def commit_change(fleet):
    """Propose a change at the leader and run until it is in force and all earlier leases have expired."""
    leader = fleet.leader()
    fleet.propose(leader.name, "change", {"kind": "out", "worker": "w"})
    fleet.run(fleet.now + 3 * LEASE)
    assert fleet.leader().member.lease.in_force_index >= fleet.answered["change"][1]


def relay_restarts(make):
    """Isolate the child of a relay while the child holds a lease, and restart the relay at once."""
    fleet = start_fleet(3, 9, 7, 2, make, drift=0.0)
    fleet.run(40_000_000)
    child = fleet.leader().member.relay_choice.tree().levels[2][0]
    relay = fleet.nodes[fleet.nodes[child].member.relay_choice.relay]
    isolate(fleet, child)
    relay.crash()
    relay.start()
    fleet.run(fleet.now + LEASE // 4)
    commit_change(fleet)


def leader_transfers(make):
    """Isolate a directly contacted follower that holds a lease, and transfer leadership at once."""
    fleet = start_fleet(3, 9, 7, 2, make, drift=0.0)
    fleet.run(40_000_000)
    leader = fleet.leader()
    child = leader.member.relay_choice.tree().levels[2][0]
    for other in fleet.nodes:
        if other != leader.name:
            fleet.cut |= {(child, other), (other, child)}
    fleet.run(fleet.now + LEASE)  # the follower asks the leader, which sends to it directly
    assert child in leader.member.leadership.direct_members.direct_until and fleet.nodes[
        child
    ].member.may_act(fleet.nodes[child].clock())
    isolate(fleet, child)
    leader.step(leader.member, inputs.Leave())
    assert fleet.run(fleet.now + LEASE, lambda: fleet.leader() not in (None, leader))
    commit_change(fleet)


@pytest.mark.parametrize("scenario", [relay_restarts, leader_transfers])
def test_leases_granted_by_former_relay_or_leader_are_waited_for(scenario):
    scenario(FixedVotersMember)


@pytest.mark.parametrize(("build", "scenario"), [(NoRestartWait, relay_restarts), (NoWait, leader_transfers)])
def test_faulty_build_is_caught_in_its_scenario(build, scenario):
    with pytest.raises(InvariantViolatedError, match="acts on entry"):
        scenario(build)


# Decisions of leaders, relays and followers


def test_leader_sends_to_voters_only_and_all_members_hold_leases():
    fleet = start_fleet(5, 60, 3, 4)
    assert fleet.run(
        60_000_000,
        lambda: is_at_rest(fleet) and all(node.member.may_act(node.clock()) for node in fleet.nodes.values()),
    )
    fleet.run(fleet.now + 2 * LEASE)
    leader, receivers, send = fleet.leader(), set(), Fleet.send

    def record_and_send(node, to, message):
        if node is leader:
            receivers.add(to)
        send(fleet, node, to, message)

    fleet.send = record_and_send
    fleet.run(fleet.now + 2 * LEASE)
    assert receivers == {name for name in fleet.nodes if name[0] == "n"} - {leader.name}
    assert max(len(node.member.relay_children.children) for node in fleet.nodes.values()) <= 4 * 4


@pytest.mark.parametrize("level", [0, 1])
def test_members_miss_a_lease_only_briefly_when_a_relay_is_killed(level):
    fleet = start_fleet(3, 24, 5, 3)
    assert fleet.run(60_000_000, lambda: is_at_rest(fleet))
    fleet.run(fleet.now + 30_000_000)
    leader = fleet.leader()
    relay = next(
        name
        for name in leader.member.relay_choice.tree().levels[level]
        if fleet.nodes[name].member.relay_children.children and name != leader.name
    )
    fleet.nodes[relay].crash()
    us_without_lease = dict.fromkeys(fleet.nodes, 0)
    for _ in range(300):
        fleet.run(fleet.now + 20_000)
        for name, node in fleet.nodes.items():
            if name != relay and not node.member.may_act(node.clock()):
                us_without_lease[name] += 20_000
    assert max(us_without_lease.values()) <= LEASE // 2, us_without_lease


def test_change_turns_relays_on_and_off():
    fleet = start_fleet(3, 9, 7)
    assert fleet.run(60_000_000, lambda: is_at_rest(fleet))
    for fan_out in (2, 0):
        fleet.run(fleet.now + 3_000_000)
        leader = fleet.leader()
        fleet.propose(leader.name, f"relays{fan_out}", {"kind": "relays", "fan_out": fan_out})
        assert fleet.run(
            fleet.now + 20_000_000,
            lambda expected=fan_out: all(
                node.member.fan_out == expected and node.member.may_act(node.clock())
                for node in fleet.nodes.values()
            )
            and is_at_rest(fleet),
        )
        assert fleet.run(
            fleet.now + 20_000_000,
            lambda expected=fan_out: bool(expected)
            == any(node.member.relay_children.children for node in fleet.nodes.values()),
        )


FIELDS_WITHOUT_RELAYS = m.AppendResponse.__struct_fields__[:8]  # of a version without relays


class MemberWithoutRelays(FixedVotersMember):
    """A member of a version without relays, whose messages lack the fields added later."""

    def step(self, now, input):
        step_outputs = super().step(now, input)
        for position, output in enumerate(step_outputs):
            if isinstance(output, outputs.Send) and isinstance(output.message, m.AppendResponse):
                response = output.message
                older_response = m.AppendResponse(
                    *(getattr(response, field) for field in FIELDS_WITHOUT_RELAYS)
                )
                step_outputs[position] = outputs.Send(output.to, older_response)
        return step_outputs


def test_relays_are_refused_while_a_member_has_an_older_version():
    fleet = start_fleet(3, 4, 9)
    assert fleet.run(60_000_000, lambda: is_at_rest(fleet))
    fleet.make = MemberWithoutRelays
    node = fleet.nodes["x0001"]
    node.crash()
    node.start()
    assert fleet.run(fleet.now + 20_000_000, lambda: node.up and node.member.may_act(node.clock()))
    fleet.run(fleet.now + 1_000_000)
    leader = fleet.leader()
    assert leader.member.leadership.members_without_relays() == ["x0001"]
    fleet.propose(leader.name, "on", {"kind": "relays", "fan_out": 2})
    fleet.run(fleet.now + 3_000_000)
    assert leader.member.fan_out == 0 and all(
        other.member.may_act(other.clock()) for other in fleet.nodes.values()
    )


def test_restarted_member_of_older_version_gets_a_lease():
    fleet = start_fleet(3, 6, 11, 2)
    assert fleet.run(60_000_000, lambda: is_at_rest(fleet))
    fleet.make = MemberWithoutRelays
    node = fleet.nodes["x0001"]
    node.crash()
    node.start()
    assert fleet.run(fleet.now + 20_000_000, lambda: node.up and node.member.may_act(node.clock()))


def test_messages_of_version_without_relays_are_decoded():
    raw = m.encode(["Ack", 1, True, 2, 1, 2, 3, 4, 0])
    assert m.decode(raw) == m.AppendResponse(1, True, 2, 1, 2, 3, 4, 0)
    raw = m.encode(["Append", 1, 2, 1, [], 2, 5, 0, 2, 0, {}, []])
    assert m.decode(raw).leader == "" and m.decode(raw).list_generations == {}


@pytest.mark.parametrize(
    ("before", "after", "changes"),
    [
        ({"a": 1, "b": [1, {"c": 2}]}, {"a": 1, "b": [1, {"c": 3}]}, [[["b", 1, "c"], 3]]),
        ({"a": 1}, {"a": 1}, []),
        ({"a": {"b": 1}}, {"a": {"c": 1}}, [[["a"], {"c": 1}]]),
        ({"a": [1]}, {"a": [1, 2]}, [[["a"], [1, 2]]]),
        ({"a": 1}, {"a": True}, [[["a"], True]]),
        ({"a": 1}, {"b": 1}, None),
    ],
)
def test_difference_of_settings_is_a_patch(before, after, changes):
    assert difference(before, after) == changes
    if changes is not None:
        assert apply_patch(before, changes) == after


def test_patch_replaces_settings_and_invalid_patch_changes_nothing():
    state_machine = StateMachine(initial_state({"a": {"b": 1}}, LEASE, {"n0": ("x:1", "l")}), 1)

    def change(index, changes, expects):
        entry = m.Entry(1, f"c{index}", {"kind": "patch", "changes": changes, "expects": expects})
        return state_machine.apply(index, entry)

    assert change(2, [[["a", "b"], 2]], 1) == ChangeResult(2)
    assert state_machine.state["settings"] == {"a": {"b": 2}} and state_machine.state["documents"]["2"] == {
        "a": {"b": 2}
    }
    assert change(3, [[["a", "x"], 2]], 2).status == 400
    assert change(4, [[["a", "b"], 3]], 1).status == 412
    assert state_machine.state["settings"] == {"a": {"b": 2}} and state_machine.state["documents"]["1"] == {
        "a": {"b": 1}
    }


def test_peer_behind_gets_changes_and_current_peer_gets_nothing():
    local, peer = ListExchange(), ListExchange()
    local.update_own("r", "whole", [("w0", "ready"), ("w1", "draining")], 5)
    local.record_report("them", peer.generations())
    assert local.restrictions_for("them") == []  # the peer's own watch may be faster
    (update,) = local.restrictions_for("them")
    assert peer.receive(update) == m.WorkerRestrictions("r", 5, [("w1", "draining")])
    local.update_own("r", "changes", [("w1", "ready"), ("w2", "gone")], 6)
    local.record_report("them", peer.generations())
    local.restrictions_for("them")
    (update,) = local.restrictions_for("them")
    assert update == m.WorkerRestrictions("r", 6, [("w1", "ready"), ("w2", "gone")], 5)
    assert peer.receive(update) == m.WorkerRestrictions("r", 6, [("w2", "gone")])
    assert peer.receive(update) is None
    local.record_report("them", peer.generations())
    assert local.restrictions_for("them") == []


def test_restrictions_after_a_gap_are_not_applied():
    known = KnownList()
    known.update_own("whole", [("w0", "draining")], 3)
    assert not known.receive(m.WorkerRestrictions("r", 9, [("w1", "gone")], 5)) and known.generation == 3
    assert known.receive(m.WorkerRestrictions("r", 9, [("w1", "gone")]))
    assert known.since(2, "r") == m.WorkerRestrictions("r", 9, [("w1", "gone")])


def fleet_api(role, older=()):
    """Return the fleet API of a dispatcher with a stub member; a committed change is returned unchanged."""
    leadership = SimpleNamespace(members_without_relays=lambda: list(older))
    member = SimpleNamespace(role=role, leader="n1", leadership=leadership)
    changes = SimpleNamespace(driver_member=lambda: member, commit=commit_unchanged)
    return FleetApi(SimpleNamespace(changes=changes))


def commit_unchanged(change):
    yield from ()
    return change


def change_relays(api, body):
    try:
        next(api.change_relays(SimpleNamespace(body=body)))
    except StopIteration as done:
        return done.value


def test_operator_changes_fan_out():
    assert change_relays(fleet_api("leader"), b'{"fan_out":4}') == {"kind": "relays", "fan_out": 4}
    assert change_relays(fleet_api("leader"), b'{"fan_out":0}') == {"kind": "relays", "fan_out": 0}


@pytest.mark.parametrize(
    ("api", "body", "status", "message"),
    [
        (fleet_api("leader"), b'{"fan_out":1}', 400, "neither 0 nor from 2 to 64"),
        (fleet_api("leader"), b'{"fan_out":true}', 400, "neither 0 nor from 2 to 64"),
        (fleet_api("leader"), b'{"fan_out":65}', 400, "neither 0 nor from 2 to 64"),
        (fleet_api("leader"), b"{}", 400, "fan_out"),
        (fleet_api("leader"), b"[", 400, "JSON"),
        (fleet_api("follower"), b'{"fan_out":4}', 409, "ask the leader: n1"),
        (fleet_api("leader", ["n3"]), b'{"fan_out":4}', 409, "of a version without relays: n3"),
    ],
)
def test_invalid_relay_change_is_refused_in_one_line(api, body, status, message):
    with pytest.raises(CallRefusedError) as refused:
        change_relays(api, body)
    assert refused.value.status == status and message in refused.value.why and "\n" not in refused.value.why


def test_command_names_an_invalid_fan_out(monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["mastledge", "fleet", "relays", "many", "--control", "127.0.0.1:1"])
    assert main() == 2 and capsys.readouterr().err == "mastledge: the fan-out is not a whole number: many\n"


def test_fleet_size_with_relays_is_measured_in_simulated_time():
    figures = measure_size(3, 20, 3, 1)
    assert 0 < figures["leader_sent"] < 5000 and figures["other_most"] < 5000
    assert max(figures["in_force_ms"]) < 3000 and max(figures["new_leader_ms"]) < 3000
