"""State lost: snapshots, and the fleet that begins again by an operator's word."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastledge.consensus import inputs
from mastledge.consensus.state_machine import genesis
from mastledge.lab.schedule import Fleet
from mastledge.recovery import fleet_snapshot as s

NAMES = ["n0", "n1", "n2"]


def state(**changed):
    return {
        **genesis({"a": 1}, 2_000_000, {n: (f"127.0.0.1:{i + 1}", f"l{n}") for i, n in enumerate(NAMES)}),
        **changed,
    }


RAW = msgspec.json.encode(s.packed(state(version=5), "f", "n0", 7))


def test_a_snapshot_comes_back_as_it_was():
    told = s.unpacked(RAW)
    assert told["state"] == state(version=5) and (told["fleet"], told["version"], told["at"]) == ("f", 5, 7)


@pytest.mark.parametrize(
    ("raw", "says"),
    [
        (RAW[:-3], "cut"),
        (b"", "cut"),
        (b"[]", "no snapshot"),
        (RAW.replace(b'"version":5', b'"version":6'), "spoilt"),
        (RAW.replace(b'"format":1,"fleet"', b'"format":9,"fleet"'), "of format 9"),
        (b"{}", "no snapshot"),
        (msgspec.json.encode(s.packed({"version": 1, "settings": {}}, "f", "", 0)), "lacks documents"),
        (b" " * (s.MOST + 1), "over 4 MiB"),
    ],
)
def test_a_snapshot_that_cannot_be_used_is_refused_by_its_reason(raw, says):
    with pytest.raises(s.SnapshotError, match=says) as error:
        s.unpacked(raw)
    assert "\n" not in str(error.value)


@given(st.integers(0, len(RAW) - 1), st.integers(1, 255))
def test_no_snapshot_with_one_byte_changed_is_taken_for_another(at, by):
    raw = RAW[:at] + bytes([RAW[at] ^ by]) + RAW[at + 1 :]
    try:
        assert s.unpacked(raw)["state"] == state(version=5)
    except (s.SnapshotError, UnicodeDecodeError):
        pass


@pytest.mark.parametrize(
    ("how", "says"),
    [
        ({"lease": True}, "this fleet runs"),
        ({"state": None}, "nothing is kept"),
        ({"name": "n9"}, "n9 is no member"),
        ({"told": {"fleet": "g"}}, "another fleet: g, not f"),
        ({"heard": ["n1"]}, "a majority is there: n0, n1"),
        ({"told": {"fleet": "f"}, "known": state(version=8)}, "has 8"),
        ({}, ""),
        ({"heard": ["n9"]}, ""),
        ({"fleet": "", "known": None, "heard": ["n1"]}, ""),
        ({"known": None, "heard": ["n1", "n2"]}, "a majority"),
    ],
)
def test_no_fleet_begins_beside_one_that_runs_or_with_less_than_is_here(how, says):
    told = {
        "name": "n0",
        "state": state(version=5),
        "fleet": "f",
        "known": state(version=5),
        "lease": False,
        "heard": [],
        "told": None,
        **how,
    }
    assert says in s.refused(**told) and bool(says) == bool(s.refused(**told))


def test_after_a_loss_one_votes_the_others_come_anew_and_no_promise_of_keys_is_believed():
    copies = {
        "epoch": 4,
        "count": 3,
        "now": dict.fromkeys(NAMES, "i"),
        "next": None,
        "caught": [],
        "starts": {"n0": ["i", 2]},
    }
    before = state(version=5, copies=copies, gone=[{"name": "n7", "life": "x", "address": "y"}])
    after = s.succeeding(before, "n1", "new", "j", "formed, loss accepted", "n1", 9)
    assert (
        after["version"] == 6
        and after["history"][-1]["what"] == "formed, loss accepted"
        and not after["gone"]
    )
    assert {n: (one["votes"], one["life"]) for n, one in after["members"].items()} == {
        "n0": (False, ""),
        "n1": (True, "new"),
        "n2": (False, ""),
    }
    assert after["copies"]["next"] == {"n1": "j"} and after["copies"]["now"]["n1"] == "lost i"
    assert after["copies"]["epoch"] > 4 + 1000 and not after["copies"]["starts"]
    assert before["copies"]["epoch"] == 4 and before["version"] == 5


def played(seed=1):
    """Three in simulated time, of which two are lost with their disks."""
    fleet = Fleet(NAMES, seed).start()
    assert fleet.run(20_000_000, lambda: fleet.leader() and fleet.leader().member.in_force >= 2)
    fleet.propose("n0", "c1", {"kind": "out", "worker": "w", "by": "", "at": 1})
    fleet.run(fleet.now + 2_000_000)
    for name in ("n1", "n2"):
        fleet.nodes[name].crash()
        fleet.nodes[name].disk = []
    fleet.run(fleet.now + 5_000_000)
    return fleet


def begun(fleet):
    node = fleet.nodes["n0"]
    after = s.succeeding(node.member.rules.snapshot(), "n0", "again", "", "formed", "n0", 1)
    fleet.order, fleet.sums, fleet.leaders, fleet.in_force = {}, {}, {}, 0  # another fleet, judged anew
    node.step(node.member, inputs.Restore("f2", "again", after))
    return node


def test_a_majority_lost_serves_again_by_an_operators_word_and_the_others_come_to_it():
    fleet = played()
    node = fleet.nodes["n0"]
    assert not node.member.may_act(node.clock()) and not node.member.there(node.clock())
    begun(fleet)
    assert fleet.run(fleet.now + 5_000_000, lambda: node.member.may_act(node.clock()))
    for name in ("n1", "n2"):
        fleet.nodes[name].start()
    assert fleet.run(
        fleet.now + 20_000_000,
        lambda: all(
            one.up and one.member.may_act(one.clock()) and one.member.is_voter()
            for one in fleet.nodes.values()
        ),
    )
    assert {one.member.fleet for one in fleet.nodes.values()} == {"f2"}
    assert all(one.member.rules.state["out"] == ["w"] for one in fleet.nodes.values())


def test_one_of_the_fleet_before_has_no_word_until_it_deserts():
    fleet = played()
    other = fleet.nodes["n1"]
    # It was only away: its disk holds the fleet that is no more.
    other.disk = [("identity", fleet.nodes["n0"].member.fleet, "old"), *fleet.nodes["n0"].disk[1:]]
    node = begun(fleet)
    fleet.check = lambda node: None  # the judge knows one fleet at a time
    other.start()
    fleet.run(fleet.now + 5_000_000)
    assert not other.member.may_act(other.clock()) and node.member.may_act(node.clock())
    other.step(other.member, inputs.Abandon("fresh"))
    assert fleet.run(fleet.now + 10_000_000, lambda: other.member.may_act(other.clock()))
    assert other.member.fleet == "f2" and other.member.life == "fresh"
