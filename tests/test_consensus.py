"""Consensus: seeded schedules of faults, mutants, and the state machine."""

from collections import Counter
from copy import deepcopy

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mastledge.consensus import inputs, outputs, records
from mastledge.consensus import messages as m
from mastledge.consensus.errors import RecordError
from mastledge.consensus.leader import Leadership
from mastledge.consensus.leases import GrantedLeases
from mastledge.consensus.member import Member
from mastledge.consensus.membership import wanted_voters
from mastledge.consensus.persisted_state import PersistedState
from mastledge.consensus.raft_state import RaftState
from mastledge.consensus.state_machine import StateMachine, initial_state
from mastledge.lab.consensus_schedules import Broken, Fleet, judged, settled

# Seeds that found something once: saves out of order, a new leader's lease before it knew what was agreed, a
# log
# that was never stepped back past a conflict, a snapshot without its state, a busy wait without a leader.
FOUND = (36, 85, 40013, 40105, 40153, 110, 123, 130, 170, 177, 211, 264, 331, 338, 392, 2072, 8801)


def formed(names=3, seed=1, **how):
    fleet = Fleet([f"n{n}" for n in range(names)], seed, log=True, **how).start()
    assert fleet.run(5_000_000, lambda: settled(fleet))
    return fleet


@pytest.mark.parametrize("seed", FOUND)
def test_schedules_that_once_failed(seed):
    judged(seed, members=3 if seed % 3 else 5)


@pytest.mark.parametrize("block", range(10))
def test_no_schedule_of_faults_breaks_a_rule(block):
    for seed in range(20_000 + 40 * block, 20_040 + 40 * block):
        judged(seed, members=3 if seed % 3 else 5)


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    members=st.sampled_from([1, 2, 3, 4, 7]),
    faults=st.lists(st.sampled_from(["crash", "cut", "half", "stop", "full", "slow"]), min_size=1),
)
def test_schedules_as_hypothesis_draws_them(seed, members, faults):
    judged(seed, members=members, faults=tuple(faults), length=8_000_000)


class Leaseless(Member):
    def may_act(self, now):
        return self.state_machine is not None


class HastyLeadership(Leadership):
    def update_in_force(self):
        self.parts.lease.record_in_force(self.core.state.commit_index, self.core.clock.now)


class Hasty(Member):
    """Takes what is committed for in force."""

    leadership_type = HastyLeadership


class Forgetful(Member):
    """Says that it is saved before it is."""

    def step(self, now, input):
        out = super().step(now, input)
        if any(isinstance(one, outputs.Persist) for one in out):
            out = [one for one in out if not isinstance(one, outputs.Persist)]
            out += super().step(now, inputs.Persisted(self.persistence.token))
        return out


class LoneState(RaftState):
    def majority_of(self, figures):
        return max(figures.values(), default=-1)


class Lone(Member):
    """Commits without a majority."""

    state_type = LoneState


class EarlyLeadership(Leadership):
    def begin(self, proposals):
        super().begin(proposals)
        self.first_index = 0


class Early(Member):
    """Grants leases before it knows all that was committed."""

    leadership_type = EarlyLeadership


def play_schedules(build):
    for seed in range(400):
        judged(seed, members=3, make=build)


@pytest.mark.parametrize("build", [Leaseless, Hasty, Forgetful, Lone, Early])
def test_the_judge_of_schedules_catches_a_wrong_build(build):
    with pytest.raises((Broken, ValueError)):
        play_schedules(build)


def test_a_change_is_in_force_at_once_where_all_hear_and_after_the_lease_where_one_does_not():
    fleet = formed()
    leader = fleet.leader()
    fleet.propose(leader.name, "a", {"kind": "out", "worker": "w"})
    began = fleet.now
    assert fleet.run(
        began + 500_000, lambda: leader.member.lease.in_force_index == leader.member.log.last_index == 3
    )
    other = next(node for node in fleet.nodes.values() if node is not leader)
    other.until = fleet.now + 10_000_000
    began = fleet.now
    fleet.propose(leader.name, "b", {"kind": "back", "worker": "w", "at": 1, "cold_for": 1})
    assert fleet.run(began + 3_000_000, lambda: leader.member.lease.in_force_index == 4)
    assert 1_000_000 < fleet.now - began < 2_200_000
    assert not other.member.may_act(other.clock())


def test_however_many_leave_at_once_none_is_forgotten_while_it_may_act():
    # Of those that left eight are kept; the ninth put the first one out, whose lease nobody waited for then.
    fleet = Fleet([f"n{n}" for n in range(14)], 5).start()
    assert fleet.run(5_000_000, lambda: fleet.leader() is not None and settled(fleet))
    fleet.run(fleet.now + 1_000_000)
    leader = fleet.leader()
    first, *others = [node for node in fleet.nodes.values() if not node.member.state.is_voter()]
    others += [node for node in fleet.nodes.values() if node.member.state.is_voter() and node is not leader][
        :4
    ]
    assert len(others) >= 9 and first.member.may_act(first.clock())
    first.until = fleet.now + 10_000_000
    for n, node in enumerate([first, *others[:9]]):
        fleet.propose(leader.name, f"r{n}", {"kind": "remove", "name": node.name})
        assert fleet.run(fleet.now + 4_000_000, lambda n=n: f"r{n}" in fleet.answered)
    assert fleet.run(
        fleet.now + 4_000_000, lambda: leader.member.lease.in_force_index >= leader.member.log.last_index
    )
    assert not first.member.may_act(first.clock())


def test_five_changes_at_once_from_three_callers_come_in_one_order():
    fleet = formed()
    for n in range(5):
        fleet.propose(f"n{n % 3}", f"c{n}", {"kind": "out", "worker": f"w{n}"})
    assert fleet.run(fleet.now + 2_000_000, lambda: settled(fleet) and len(fleet.answered) == 5)
    assert sorted(result.version for _, _, result in fleet.answered.values()) == [2, 3, 4, 5, 6]


def test_a_leader_killed_between_its_disk_and_its_answer_loses_no_change():
    fleet = formed()
    leader = fleet.leader()
    other = next(name for name in fleet.nodes if name != leader.name)
    fleet.propose(other, "a", {"kind": "out", "worker": "w"})
    assert fleet.run(
        fleet.now + 100_000, lambda: any(record[0] == "entry" and record[1] == 3 for record in leader.disk)
    )
    leader.crash()
    assert fleet.run(fleet.now + 3_000_000, lambda: "a" in fleet.answered)
    assert fleet.leader().member.state_machine.state["out"] == ["w"] and fleet.leader() is not leader


def test_a_leader_that_ends_transfers_its_leadership():
    fleet = formed()
    leader = fleet.leader()
    fleet.run(fleet.now + 500_000)
    began = fleet.now
    leader.step(leader.member, inputs.Leave())
    assert fleet.run(
        began + 100_000,
        lambda: fleet.leader() is not None
        and fleet.leader() is not leader
        and fleet.leader().member.commit_index >= fleet.leader().member.leadership.first_index,
    )


def test_a_wiped_member_comes_as_a_new_incarnation_and_does_not_vote_until_it_has_caught_up():
    fleet = formed()
    node = next(node for node in fleet.nodes.values() if node is not fleet.leader())
    incarnation = node.member.incarnation
    node.crash()
    node.disk = []
    node.start()
    assert node.member.incarnation != incarnation and not node.member.state.is_voter()
    assert fleet.run(fleet.now + 3_000_000, lambda: settled(fleet) and node.member.state.is_voter())
    told = [name for _, who, name, _ in fleet.log if who == node.name]
    assert (
        "admitted" in told
        and node.member.incarnation == fleet.leader().member.state.members()[node.name]["life"]
    )


def test_an_old_data_directory_is_noticed_by_what_the_others_have_observed():
    fleet = formed()
    node = next(node for node in fleet.nodes.values() if node is not fleet.leader())
    old, incarnation = deepcopy(node.disk), node.member.incarnation
    fleet.propose("n0", "a", {"kind": "out", "worker": "w"})
    assert fleet.run(fleet.now + 1_000_000, lambda: settled(fleet) and "a" in fleet.answered)
    fleet.run(fleet.now + 500_000)
    node.crash()
    node.disk = old
    node.start()
    assert fleet.run(fleet.now + 3_000_000, lambda: settled(fleet) and node.member.state.is_voter())
    assert node.member.incarnation != incarnation and "data_directory_stale" in [
        name for _, _, name, _ in fleet.log
    ]


@pytest.mark.parametrize(("form", "formed_"), [(True, True), (False, False)])
def test_a_fleet_forms_once_and_only_where_it_is_told_to(form, formed_):
    fleet = Fleet(["n0", "n1", "n2"], 5, form=form).start()
    fleet.run(3_000_000)
    assert (fleet.leader() is not None) == formed_
    if not formed_:
        assert "form is not set" in fleet.nodes["n0"].member.no_lease_reason()


def test_a_majority_of_lost_folders_forms_nothing_anew():
    fleet = formed()
    names = sorted(fleet.nodes)
    for name in names[:2]:
        fleet.nodes[name].crash()
        fleet.nodes[name].disk = []
        fleet.nodes[name].start()
    fleet.run(fleet.now + 6_000_000)
    assert fleet.leader() is None and all(
        not node.member.may_act(node.clock()) for node in fleet.nodes.values()
    )


def test_members_join_and_leave_one_at_a_time_and_vote_in_odd_numbers():
    fleet = formed(3)
    from mastledge.lab.consensus_schedules import Node

    fleet.nodes["n3"], fleet.nodes["n4"] = Node(fleet, "n3", 1.0), Node(fleet, "n4", 1.0)
    for name in ("n3", "n4"):
        fleet.propose("n1", f"add {name}", {"kind": "add", "name": name, "address": f"127.0.0.1:{name[1]}"})
        fleet.nodes[name].start()
    assert fleet.run(
        fleet.now + 8_000_000, lambda: settled(fleet) and len(fleet.leader().member.state.voters()) == 5
    )
    fleet.propose("n1", "remove", {"kind": "remove", "name": "n0"})
    assert fleet.run(
        fleet.now + 8_000_000,
        lambda: settled(fleet) and "n0" not in fleet.leader().member.state_machine.members,
    )
    assert [wanted_voters(n) for n in (1, 2, 3, 4, 5, 6, 7, 8, 200)] == [1, 2, 3, 3, 5, 5, 7, 7, 7]


def test_restrictions_of_workers_reach_all_members():
    fleet = formed()
    restrictions = m.WorkerRestrictions("r", 7, [("w0", "draining")])
    fleet.nodes["n2"].step(fleet.nodes["n2"].member, inputs.ShareRestrictions(restrictions))
    assert fleet.run(fleet.now + 1_000_000, lambda: {who for _, who, _ in fleet.news} == {"n0", "n1", "n2"})
    # As they were said: a plain list in their place ended the step that heard it.
    assert all(received == restrictions for _, _, received in fleet.news)


def new_state_machine():
    return StateMachine(initial_state({"a": 1}, 2_000_000, {"n0": ("x:1", "l0"), "n1": ("x:2", "l1")}), 1)


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"kind": "settings", "settings": {"a": 2}, "expects": 2}, 412),
        ({"kind": "back", "worker": "w", "at": 1, "cold_for": 1}, 200),
        ({"kind": "add", "name": "n1", "address": "x:9"}, 409),
        ({"kind": "add", "name": "n9", "address": "x:2"}, 409),
        ({"kind": "remove", "name": "n7"}, 409),
        ({"kind": "vote", "name": "n0", "life": "other"}, 409),
    ],
)
def test_a_change_that_does_not_follow_changes_nothing(change, status):
    state_machine = new_state_machine()
    before = state_machine.snapshot()
    result = state_machine.apply(2, m.Entry(1, "i", change))
    assert result.status == status and state_machine.version == 1
    assert before == {**state_machine.snapshot(), "names": []}


def test_a_change_that_comes_twice_counts_once_and_a_later_kind_is_not_left_out():
    state_machine = new_state_machine()
    first = state_machine.apply(2, m.Entry(1, "i", {"kind": "out", "worker": "w"}))
    assert (
        state_machine.apply(3, m.Entry(2, "i", {"kind": "out", "worker": "w"})) == first
        and state_machine.version == 2
    )
    with pytest.raises(ValueError, match="later version"):
        state_machine.apply(4, m.Entry(2, "j", {"kind": "quota"}))
    assert state_machine.applied_index == 3


def test_a_lease_runs_from_what_a_majority_had_heard_and_is_waited_out_with_drift():
    leases = GrantedLeases(1_000_000, 0)
    leases.record_report("n1", 5_000_000, 77, 3)
    assert leases.grant("n1", 4_999_999, 3) == 0 and leases.grant("n1", 5_000_000, 3) == 77
    assert leases.covered_index("n1", 6_009_999) == 3 and leases.expires_at("n1", 4) == 6_010_000
    assert leases.covered_index("n1", 6_010_000) is None
    # Another process on a clock that starts anew gets nothing by what the one before had told.
    leases.record_report("n1", 7_000_000, 5, 4)
    assert leases.grant("n1", 6_999_999, 4) == 0


def test_a_grant_for_another_process_of_this_name_is_no_lease():
    fleet = formed()
    node = next(node for node in fleet.nodes.values() if node is not fleet.leader())
    member = node.member
    member.lease.lease_until = 0
    append = m.AppendEntries(
        member.term,
        member.log.last_index,
        member.log.last_term,
        [],
        member.commit_index,
        1,
        member.clock.offset_us + member.clock.started_at - 1,
        0,
        0,
    )
    member.step(node.clock(), inputs.MessageReceived(member.leader, "l", append))
    assert member.lease.lease_until == 0


@given(st.lists(st.sampled_from(["hard", "entry", "cut", "snapshot"]), max_size=30), st.integers(0, 99))
def test_fewest_records_lead_to_the_same(kinds, seed):
    state, replayed = PersistedState(), PersistedState()
    state.apply(("identity", "f", "l"))
    state.apply(("snapshot", 1, 1, {"v": 1}))
    for n, kind in enumerate(kinds):
        last = state.last_index
        if kind == "hard":
            state.apply(("hard", n, "x"))
        elif kind == "entry":
            state.apply(("entry", last + 1, m.Entry(n, f"{n}", {"kind": "noop"})))
        elif kind == "cut" and state.entries:
            state.apply(("cut", state.snapshot_index + 1 + seed % len(state.entries)))
        elif kind == "snapshot" and state.entries:
            at = 1 + seed % len(state.entries)
            state.apply(("snapshot", state.snapshot_index + at, state.entries[at - 1].term, {"v": n}))
    for record in state.compacted_records():
        replayed.apply(record)
    assert replayed.value() == state.value()


@pytest.mark.parametrize(
    "record",
    [
        records.Identity("f", "l"),
        records.HardState(3, "n1"),
        records.Snapshot(7, 2, {"version": 1}),
        records.LogEntry(8, m.Entry(3, "i", {"kind": "noop"})),
        records.Truncation(8),
    ],
)
def test_a_record_is_read_from_its_form_on_disk(record):
    on_disk = msgspec.msgpack.decode(msgspec.msgpack.encode(records.encode_record(record)))
    assert records.decode_record(on_disk) == record


@pytest.mark.parametrize(
    ("raw", "says"), [(["vote", 3, "n1"], "a later version: vote"), (["hard", 3], "hard of 1 fields")]
)
def test_a_record_that_cannot_be_read_names_its_kind(raw, says):
    with pytest.raises(RecordError, match=says):
        records.decode_record(raw)


def test_an_entry_that_does_not_follow_is_refused():
    state = PersistedState()
    state.apply(("snapshot", 1, 1, {}))
    with pytest.raises(RecordError, match="entry 3 follows 1"):
        state.apply(("entry", 3, m.Entry(1, "i", {"kind": "noop"})))


def test_a_large_fleet_forms_without_a_message_for_each_pair_of_members_at_each_time():
    fleet = Fleet([f"n{n:02}" for n in range(60)], 5).start()
    asked, send = Counter(), fleet.send

    def counted(node, to, message):
        asked[node.name, fleet.now] += isinstance(message, m.DiscoverRequest)
        send(node, to, message)

    fleet.send = counted
    assert fleet.run(10_000_000, lambda: fleet.leader() is not None)
    assert all(node.member.fleet for node in fleet.nodes.values())
    # The first name, at most seven voters, and sixteen of the others in turn.
    assert max(asked.values()) <= 1 + 7 + 16
