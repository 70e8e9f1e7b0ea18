"""Tests of fleet snapshots, and of a new fleet that an operator starts after a majority is lost."""

from contextlib import nullcontext, suppress

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastledge.consensus import inputs
from mastledge.consensus.state_machine import initial_state
from mastledge.lab.consensus_schedules import Fleet
from mastledge.recovery.errors import FleetStartRefusedError, SnapshotError
from mastledge.recovery.fleet_snapshot import (
    MAX_SNAPSHOT_BYTES,
    FleetStart,
    FormationEntry,
    check_fleet_start,
    pack_snapshot,
    successor_state,
    unpack_snapshot,
)

NAMES = ["n0", "n1", "n2"]


def state(**changed):
    """Return the committed state of a fleet of three, with some parts changed."""
    return {
        **initial_state(
            {"a": 1}, 2_000_000, {n: (f"127.0.0.1:{i + 1}", f"l{n}") for i, n in enumerate(NAMES)}
        ),
        **changed,
    }


RAW = msgspec.json.encode(pack_snapshot(state(version=5), "f", "n0", 7))


def test_packed_snapshot_unpacks_to_the_same_state():
    snapshot = unpack_snapshot(RAW)
    assert snapshot["state"] == state(version=5)
    assert (snapshot["fleet"], snapshot["version"], snapshot["at"]) == ("f", 5, 7)


@pytest.mark.parametrize(
    ("raw", "says"),
    [
        (RAW[:-3], "cut"),
        (b"", "cut"),
        (b"[]", "no snapshot"),
        (RAW.replace(b'"version":5', b'"version":6'), "spoilt"),
        (RAW.replace(b'"format":1,"fleet"', b'"format":9,"fleet"'), "of format 9"),
        (b"{}", "no snapshot"),
        (msgspec.json.encode(pack_snapshot({"version": 1, "settings": {}}, "f", "", 0)), "lacks documents"),
        (b" " * (MAX_SNAPSHOT_BYTES + 1), "over 4 MiB"),
    ],
)
def test_unusable_snapshot_is_refused_with_a_reason(raw, says):
    with pytest.raises(SnapshotError, match=says) as error:
        unpack_snapshot(raw)
    assert "\n" not in str(error.value)


@given(st.integers(0, len(RAW) - 1), st.integers(1, 255))
def test_snapshot_with_a_changed_byte_never_unpacks_to_another_state(at, by):
    raw = RAW[:at] + bytes([RAW[at] ^ by]) + RAW[at + 1 :]
    with suppress(SnapshotError, UnicodeDecodeError):
        assert unpack_snapshot(raw)["state"] == state(version=5)


@pytest.mark.parametrize(
    ("how", "says"),
    [
        ({"holds_lease": True}, "this fleet runs"),
        ({"state": None}, "nothing is kept"),
        ({"name": "n9"}, "n9 is no member"),
        ({"snapshot": {"fleet": "g"}}, "another fleet: g, not f"),
        ({"reachable": ["n1"]}, "a majority is there: n0, n1"),
        ({"snapshot": {"fleet": "f"}, "known_state": state(version=8)}, "has 8"),
        ({}, ""),
        ({"reachable": ["n9"]}, ""),
        ({"fleet": "", "known_state": None, "reachable": ["n1"]}, ""),
        ({"known_state": None, "reachable": ["n1", "n2"]}, "a majority"),
    ],
)
def test_fleet_start_is_refused_beside_a_running_fleet_or_with_older_state(how, says):
    fields = {
        "name": "n0",
        "state": state(version=5),
        "fleet": "f",
        "known_state": state(version=5),
        "holds_lease": False,
        "reachable": [],
        "snapshot": None,
        **how,
    }
    expected = pytest.raises(FleetStartRefusedError, match=says) if says else nullcontext()
    with expected:
        check_fleet_start(FleetStart(**fields))


def test_successor_state_has_one_voter_and_voids_all_replicas():
    copies = {
        "epoch": 4,
        "count": 3,
        "now": dict.fromkeys(NAMES, "i"),
        "next": None,
        "caught": [],
        "starts": {"n0": ["i", 2]},
    }
    before = state(version=5, copies=copies, gone=[{"name": "n7", "life": "x", "address": "y"}])
    after = successor_state(before, "n1", "new", "j", FormationEntry("formed, loss accepted", "n1", 9))
    assert after["version"] == 6
    assert after["history"][-1]["what"] == "formed, loss accepted"
    assert not after["gone"]
    assert {name: (member["votes"], member["life"]) for name, member in after["members"].items()} == {
        "n0": (False, ""),
        "n1": (True, "new"),
        "n2": (False, ""),
    }
    assert after["copies"]["next"] == {"n1": "j"}
    assert after["copies"]["now"]["n1"] == "lost i"
    assert after["copies"]["epoch"] > 4 + 1000
    assert not after["copies"]["starts"]
    assert before["copies"]["epoch"] == 4
    assert before["version"] == 5


def fleet_after_majority_loss(seed=1):
    """Return a simulated fleet of three of which two are lost with their disks."""
    fleet = Fleet(NAMES, seed).start()
    assert fleet.run(20_000_000, lambda: fleet.leader() and fleet.leader().member.lease.in_force_index >= 2)
    fleet.propose("n0", "c1", {"kind": "out", "worker": "w", "by": "", "at": 1})
    fleet.run(fleet.now + 2_000_000)
    for name in ("n1", "n2"):
        fleet.nodes[name].crash()
        fleet.nodes[name].disk = []
    fleet.run(fleet.now + 5_000_000)
    return fleet


def start_successor_fleet(fleet):
    """Start a new fleet from the state of n0, and return its node."""
    node = fleet.nodes["n0"]
    after = successor_state(
        node.member.state_machine.snapshot(), "n0", "again", "", FormationEntry("formed", "n0", 1)
    )
    # The checks start over with the new fleet.
    fleet.order, fleet.sums, fleet.leaders, fleet.in_force = {}, {}, {}, 0
    node.step(node.member, inputs.Restore("f2", "again", after))
    return node


def test_fleet_start_after_majority_loss_restores_service_and_the_others_join():
    fleet = fleet_after_majority_loss()
    node = fleet.nodes["n0"]
    assert not node.member.may_act(node.clock())
    assert not node.member.discovery.present_members(node.clock())
    start_successor_fleet(fleet)
    assert fleet.run(fleet.now + 5_000_000, lambda: node.member.may_act(node.clock()))
    for name in ("n1", "n2"):
        fleet.nodes[name].start()
    assert fleet.run(
        fleet.now + 20_000_000,
        lambda: all(
            each_node.up and each_node.member.may_act(each_node.clock()) and each_node.member.state.is_voter()
            for each_node in fleet.nodes.values()
        ),
    )
    assert {each_node.member.fleet for each_node in fleet.nodes.values()} == {"f2"}
    assert all(each_node.member.state_machine.state["out"] == ["w"] for each_node in fleet.nodes.values())


def test_member_of_the_lost_fleet_cannot_act_until_it_abandons_that_fleet():
    fleet = fleet_after_majority_loss()
    other = fleet.nodes["n1"]
    # n1 was only unreachable: its disk still holds the lost fleet.
    other.disk = [("identity", fleet.nodes["n0"].member.fleet, "old"), *fleet.nodes["n0"].disk[1:]]
    node = start_successor_fleet(fleet)
    fleet.check = lambda node: None  # the checks know one fleet at a time
    other.start()
    fleet.run(fleet.now + 5_000_000)
    assert not other.member.may_act(other.clock())
    assert node.member.may_act(node.clock())
    other.step(other.member, inputs.Abandon("fresh"))
    assert fleet.run(fleet.now + 10_000_000, lambda: other.member.may_act(other.clock()))
    assert other.member.fleet == "f2"
    assert other.member.incarnation == "fresh"
