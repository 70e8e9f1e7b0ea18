"""Relays: schedules of faults, wrong builds that the judge catches, and what is decided where."""

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
from mastledge.consensus.settings_patch import difference, patched
from mastledge.consensus.state_machine import ChangeResult, StateMachine, initial_state
from mastledge.consensus.worker_restrictions import ListExchange, ListKnowledge
from mastledge.lab import relay_schedules
from mastledge.lab.consensus_schedules import LEASE, Broken, Fleet
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
TRIED = 100  # schedules in which a wrong build has to be caught


def members(voters, followers):
    names = [f"n{n}" for n in range(voters)] + [f"x{n:04}" for n in range(followers)]
    return {name: {"votes": name[0] == "n", "life": "l", "address": name} for name in names}


@pytest.mark.parametrize(
    ("count", "fan_out", "widths"),
    [(0, 6, [7]), (42, 6, [7, 42]), (223, 6, [7, 42, 181]), (993, 12, [7, 84, 909])],
)
def test_each_follower_has_relays_of_the_level_above_and_no_more_than_its_part_hear_from_one(
    count, fan_out, widths
):
    tree = RelayTree(members(7, count), fan_out)
    assert [len(names) for names in tree.levels] == widths
    heard_by = {}
    for name, (level, _) in tree.places.items():
        relays = tree.relays(name, "n0")
        assert set(relays) <= set(tree.levels[level - 1]) - {"n0"} and bool(relays) == bool(level)
        if relays:
            heard_by.setdefault(relays[0], []).append(name)
    assert max(map(len, heard_by.values()), default=0) <= 2 * fan_out


def test_relays_stay_who_they_are_for_most_when_one_member_leaves():
    before, some = RelayTree(members(7, 223), 6), members(7, 223)
    del some["x0100"]
    after = RelayTree(some, 6)
    moved = sum(
        before.relays(name, "n0")[0] != after.relays(name, "n0")[0]
        for name in after.places
        if after.level(name) and before.level(name)
    )
    assert before.levels[0] == after.levels[0] and len(set(before.levels[1]) ^ set(after.levels[1])) <= 2
    assert moved <= len(after.places)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_rule_is_broken_by_a_fleet_with_relays_under_faults(seed):
    relay_schedules.judged(seed)


# Builds that are wrong on purpose: one for each rule that relays stand on


def with_part(name, **types):
    """A member that has these types of parts."""
    return type(name, (FixedVotersMember,), types)


class GenerousChildren(RelayChildren):
    """A relay grants from the moment that a child has told its time, whatever it was granted itself."""

    def send_to(self, name, child):
        granted, self.lease.latest_grant = self.lease.latest_grant, self.core.clock.now
        super().send_to(name, child)
        self.lease.latest_grant = granted


class BoastfulChildren(RelayChildren):
    """A relay reports what it has applied itself, whatever its children have."""

    def covered_index(self):
        state_machine = self.core.state.state_machine
        return state_machine.applied_index if state_machine else 0


class HastyTracker(InForceTracker):
    """A leader does not wait out what was granted under the one before."""

    def of_holders(self, in_force_index):
        lease = self.core.state.lease_us
        self.won_at -= 10 * lease
        try:
            return super().of_holders(in_force_index)
        finally:
            self.won_at += 10 * lease


class HastyLeadership(FixedVotersLeadership):
    in_force_type = HastyTracker


class ForgetfulChildren(RelayChildren):
    """A new process of a relay takes it that the one before had granted to nobody."""

    def covered_index(self):
        clock, started = self.core.clock, self.core.clock.started_at
        clock.started_at = started - 10 * self.core.state.lease_us
        try:
            return super().covered_index()
        finally:
            clock.started_at = started


class CredulousFollower(Follower):
    """A follower takes a lease without what was committed when it was granted."""

    def on_append_entries(self, sender, incarnation, append):
        super().on_append_entries(sender, incarnation, append)
        clock, state = self.core.clock, self.core.state
        granted_from = clock.from_reading(append.lease_grant)
        if append.leader and clock.started_at <= granted_from <= clock.now and state.is_admitted():
            self.parts.lease.extend(granted_from, state.lease_us)


class EarlyChildren(RelayChildren):
    """A relay passes on what is not committed yet as if it were."""

    def send_to(self, name, child):
        state = self.core.state
        commit_index, state.commit_index = state.commit_index, state.log.last_index
        try:
            super().send_to(name, child)
        finally:
            state.commit_index = commit_index


class MuteSharing(RestrictionSharing):
    """A relay keeps to itself what it hears of lists."""

    children = None

    def deliver(self, restrictions):
        if not self.children.children:
            super().deliver(restrictions)


class MuteChildren(RelayChildren):
    def __init__(self, core, lease, sharing):
        super().__init__(core, lease, sharing)
        sharing.children = self


Generous = with_part("Generous", children_type=GenerousChildren)
Boastful = with_part("Boastful", children_type=BoastfulChildren)
Hasty = with_part("Hasty", leadership_type=HastyLeadership)
Forgetful = with_part("Forgetful", children_type=ForgetfulChildren)
Credulous = with_part("Credulous", follower_type=CredulousFollower)
Early = with_part("Early", children_type=EarlyChildren)
Mute = with_part("Mute", children_type=MuteChildren, sharing_type=MuteSharing)


@pytest.mark.parametrize(
    ("build", "first"),
    [  # the search begins just before the schedule that shows it
        (Generous, 17),
        (Boastful, 0),
        (Credulous, 25),
        (Early, 58),
        (Mute, 1),
    ],
)
def test_a_wrong_build_is_caught(build, first):
    for seed in range(first, first + TRIED):
        try:
            relay_schedules.judged(seed, make=build)
        except Broken:
            return
    pytest.fail("not caught")


def cut_off(fleet, name):
    """Nothing reaches it any more, and nothing that it says reaches anybody."""
    for other in fleet.nodes:
        fleet.cut |= {(name, other), (other, name)}


def changed(fleet):
    """A change at the leader; runs until it is in force and all leases of before are over."""
    leader = fleet.leader()
    fleet.propose(leader.name, "change", {"kind": "out", "worker": "w"})
    fleet.run(fleet.now + 3 * LEASE)
    assert fleet.leader().member.lease.in_force_index >= fleet.answered["change"][1]


def relay_starts_anew(make):
    """The child of a relay is cut off with its lease, and a new process of the relay comes at once."""
    fleet = start_fleet(3, 9, 7, 2, make, drift=0.0)
    fleet.run(40_000_000)
    child = fleet.leader().member.relay_choice.tree().levels[2][0]
    relay = fleet.nodes[fleet.nodes[child].member.relay_choice.relay]
    cut_off(fleet, child)
    relay.crash()
    relay.start()
    fleet.run(fleet.now + LEASE // 4)
    changed(fleet)


def leader_hands_over(make):
    """A follower that the leader has adopted is cut off with its lease, and another one leads at once."""
    fleet = start_fleet(3, 9, 7, 2, make, drift=0.0)
    fleet.run(40_000_000)
    leader = fleet.leader()
    child = leader.member.relay_choice.tree().levels[2][0]
    for other in fleet.nodes:
        if other != leader.name:
            fleet.cut |= {(child, other), (other, child)}
    fleet.run(fleet.now + LEASE)  # it asks the leader, which speaks to it
    assert child in leader.member.leadership.direct_members.adopted and fleet.nodes[child].member.may_act(
        fleet.nodes[child].clock()
    )
    cut_off(fleet, child)
    leader.step(leader.member, inputs.Leave())
    assert fleet.run(fleet.now + LEASE, lambda: fleet.leader() not in (None, leader))
    changed(fleet)


@pytest.mark.parametrize("scene", [relay_starts_anew, leader_hands_over])
def test_a_lease_that_came_through_a_former_relay_or_leader_is_waited_for(scene):
    scene(FixedVotersMember)


@pytest.mark.parametrize(("build", "scene"), [(Forgetful, relay_starts_anew), (Hasty, leader_hands_over)])
def test_a_wrong_build_is_caught_in_the_scene_that_shows_it(build, scene):
    with pytest.raises(Broken, match="acts on entry"):
        scene(build)


# What is decided where


def test_the_leader_speaks_to_the_voters_alone_and_all_hold_leases():
    fleet = start_fleet(5, 60, 3, 4)
    assert fleet.run(
        60_000_000,
        lambda: is_at_rest(fleet) and all(node.member.may_act(node.clock()) for node in fleet.nodes.values()),
    )
    fleet.run(fleet.now + 2 * LEASE)
    leader, told, send = fleet.leader(), set(), Fleet.send

    def noted(node, to, message):
        if node is leader:
            told.add(to)
        send(fleet, node, to, message)

    fleet.send = noted
    fleet.run(fleet.now + 2 * LEASE)
    assert told == {name for name in fleet.nodes if name[0] == "n"} - {leader.name}
    assert max(len(node.member.relay_children.children) for node in fleet.nodes.values()) <= 4 * 4


@pytest.mark.parametrize("victim", [0, 1])
def test_nobody_is_without_a_lease_for_long_when_a_relay_is_killed(victim):
    fleet = start_fleet(3, 24, 5, 3)
    assert fleet.run(60_000_000, lambda: is_at_rest(fleet))
    fleet.run(fleet.now + 30_000_000)
    leader = fleet.leader()
    relay = next(
        name
        for name in leader.member.relay_choice.tree().levels[victim]
        if fleet.nodes[name].member.relay_children.children and name != leader.name
    )
    fleet.nodes[relay].crash()
    without = dict.fromkeys(fleet.nodes, 0)
    for _ in range(300):
        fleet.run(fleet.now + 20_000)
        for name, node in fleet.nodes.items():
            if name != relay and not node.member.may_act(node.clock()):
                without[name] += 20_000
    assert max(without.values()) <= LEASE // 2, without


def test_relays_are_turned_on_and_off_by_a_change():
    fleet = start_fleet(3, 9, 7)
    assert fleet.run(60_000_000, lambda: is_at_rest(fleet))
    for fan_out in (2, 0):
        fleet.run(fleet.now + 3_000_000)
        leader = fleet.leader()
        fleet.propose(leader.name, f"relays{fan_out}", {"kind": "relays", "fan_out": fan_out})
        assert fleet.run(
            fleet.now + 20_000_000,
            lambda n=fan_out: all(
                node.member.fan_out == n and node.member.may_act(node.clock())
                for node in fleet.nodes.values()
            )
            and is_at_rest(fleet),
        )
        assert fleet.run(
            fleet.now + 20_000_000,
            lambda n=fan_out: bool(n)
            == any(node.member.relay_children.children for node in fleet.nodes.values()),
        )


OLDER_FIELDS = m.AppendResponse.__struct_fields__[:8]  # of a version that knows no relays


class Older(FixedVotersMember):
    """A version that knows no relays: its words have none of the fields that were added."""

    def step(self, now, input):
        out = super().step(now, input)
        for n, output in enumerate(out):
            if isinstance(output, outputs.Send) and isinstance(output.message, m.AppendResponse):
                ack = output.message
                older = m.AppendResponse(*(getattr(ack, field) for field in OLDER_FIELDS))
                out[n] = outputs.Send(output.to, older)
        return out


def test_relays_are_refused_while_a_member_of_an_older_version_is_there():
    fleet = start_fleet(3, 4, 9)
    assert fleet.run(60_000_000, lambda: is_at_rest(fleet))
    fleet.make = Older
    node = fleet.nodes["x0001"]
    node.crash()
    node.start()
    assert fleet.run(fleet.now + 20_000_000, lambda: node.up and node.member.may_act(node.clock()))
    fleet.run(fleet.now + 1_000_000)
    leader = fleet.leader()
    assert leader.member.leadership.members_without_relays() == ["x0001"]
    fleet.propose(leader.name, "on", {"kind": "relays", "fan_out": 2})
    fleet.run(fleet.now + 3_000_000)
    assert leader.member.fan_out == 0 and all(one.member.may_act(one.clock()) for one in fleet.nodes.values())


def test_a_member_of_an_older_version_that_comes_back_hears_from_the_leader():
    fleet = start_fleet(3, 6, 11, 2)
    assert fleet.run(60_000_000, lambda: is_at_rest(fleet))
    fleet.make = Older
    node = fleet.nodes["x0001"]
    node.crash()
    node.start()
    assert fleet.run(fleet.now + 20_000_000, lambda: node.up and node.member.may_act(node.clock()))


def test_messages_of_a_version_without_relays_are_read():
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
def test_settings_differ_in_places(before, after, changes):
    assert difference(before, after) == changes
    if changes is not None:
        assert patched(before, changes) == after


def test_a_patch_counts_as_the_whole_document_does_and_one_that_does_not_fit_changes_nothing():
    rules = StateMachine(initial_state({"a": {"b": 1}}, LEASE, {"n0": ("x:1", "l")}), 1)

    def change(index, changes, expects):
        entry = m.Entry(1, f"c{index}", {"kind": "patch", "changes": changes, "expects": expects})
        return rules.apply(index, entry)

    assert change(2, [[["a", "b"], 2]], 1) == ChangeResult(2)
    assert rules.state["settings"] == {"a": {"b": 2}} and rules.state["documents"]["2"] == {"a": {"b": 2}}
    assert change(3, [[["a", "x"], 2]], 2).status == 400
    assert change(4, [[["a", "b"], 3]], 1).status == 412
    assert rules.state["settings"] == {"a": {"b": 2}} and rules.state["documents"]["1"] == {"a": {"b": 1}}


def test_who_is_behind_gets_what_has_changed_since_and_who_is_not_gets_nothing():
    ours, theirs = ListExchange(), ListExchange()
    ours.update_own("r", "whole", [("w0", "ready"), ("w1", "draining")], 5)
    ours.record_report("them", theirs.generations())
    assert ours.restrictions_for("them") == []  # its own watch may tell it meanwhile
    (news,) = ours.restrictions_for("them")
    assert theirs.receive(news) == m.WorkerRestrictions("r", 5, [("w1", "draining")])
    ours.update_own("r", "changes", [("w1", "ready"), ("w2", "gone")], 6)
    ours.record_report("them", theirs.generations())
    ours.restrictions_for("them")
    (news,) = ours.restrictions_for("them")
    assert news == m.WorkerRestrictions("r", 6, [("w1", "ready"), ("w2", "gone")], 5)
    assert theirs.receive(news) == m.WorkerRestrictions("r", 6, [("w2", "gone")])
    assert theirs.receive(news) is None
    ours.record_report("them", theirs.generations())
    assert ours.restrictions_for("them") == []


def test_news_that_do_not_join_on_are_not_taken():
    known = ListKnowledge()
    known.update_own("whole", [("w0", "draining")], 3)
    assert not known.receive(m.WorkerRestrictions("r", 9, [("w1", "gone")], 5)) and known.generation == 3
    assert known.receive(m.WorkerRestrictions("r", 9, [("w1", "gone")]))
    assert known.since(2, "r") == m.WorkerRestrictions("r", 9, [("w1", "gone")])


def asked(role, older=()):
    """The calls of a dispatcher whose member says what the test wants; a change is given back as it is."""
    leadership = SimpleNamespace(members_without_relays=lambda: list(older))
    member = SimpleNamespace(role=role, leader="n1", leadership=leadership)
    changes = SimpleNamespace(driver_member=lambda: member, commit=committed)
    return FleetApi(SimpleNamespace(changes=changes))


def committed(change):
    yield from ()
    return change


def answer(made, body):
    try:
        next(made.change_relays(SimpleNamespace(body=body)))
    except StopIteration as done:
        return done.value


def test_an_operator_has_the_fleet_agree_on_relays():
    assert answer(asked("leader"), b'{"fan_out":4}') == {"kind": "relays", "fan_out": 4}
    assert answer(asked("leader"), b'{"fan_out":0}') == {"kind": "relays", "fan_out": 0}


@pytest.mark.parametrize(
    ("made", "body", "status", "says"),
    [
        (asked("leader"), b'{"fan_out":1}', 400, "neither 0 nor from 2 to 64"),
        (asked("leader"), b'{"fan_out":true}', 400, "neither 0 nor from 2 to 64"),
        (asked("leader"), b'{"fan_out":65}', 400, "neither 0 nor from 2 to 64"),
        (asked("leader"), b"{}", 400, "fan_out"),
        (asked("leader"), b"[", 400, "JSON"),
        (asked("follower"), b'{"fan_out":4}', 409, "ask the leader: n1"),
        (asked("leader", ["n3"]), b'{"fan_out":4}', 409, "of a version without relays: n3"),
    ],
)
def test_relays_that_cannot_be_are_refused_in_one_line(made, body, status, says):
    with pytest.raises(CallRefusedError) as refused:
        answer(made, body)
    assert refused.value.status == status and says in refused.value.why and "\n" not in refused.value.why


def test_the_command_names_a_fan_out_that_is_none(monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["mastledge", "fleet", "relays", "many", "--control", "127.0.0.1:1"])
    assert main() == 2 and capsys.readouterr().err == "mastledge: the fan-out is not a whole number: many\n"


def test_a_size_with_relays_is_measured_in_simulated_time():
    told = measure_size(3, 20, 3, 1)
    assert 0 < told["leader_sent"] < 5000 and told["other_most"] < 5000
    assert max(told["in_force_ms"]) < 3000 and max(told["new_leader_ms"]) < 3000
