"""Fleets of a given size in simulated time: so many voters and followers, formed and at rest."""

from collections import Counter

from mastledge.consensus.direct_members import DirectMembers
from mastledge.consensus.leader import Leadership
from mastledge.consensus.member import Member
from mastledge.consensus.messages import encode
from mastledge.consensus.state_machine import initial_state
from mastledge.lab.consensus_schedules import LEASE, Fleet


class VotersOnly(DirectMembers):
    """Nobody is to become a voter."""

    def recruits(self):
        """Give nobody."""
        return []


class SizedLeadership(Leadership):
    """Keeps to the voters that it began with."""

    direct_members_type = VotersOnly

    def promote_learner(self):
        """Nobody becomes a voter."""


class Sized(Member):
    """Keeps to the voters that it began with, however many follow."""

    leadership_type = SizedLeadership


def state_of(listed, fan_out=0, settings=None):
    """The agreed state of a fleet in which those whose names begin with n vote."""
    lives = {name: (address, f"{name}.0") for name, address in listed.items()}
    state = initial_state(settings or {"a": 1}, LEASE, lives)
    for name, one in state["members"].items():
        one["votes"] = name[0] == "n"
    if fan_out:
        state["fan_out"] = fan_out
    return state


def begun(voters, followers, seed, fan_out=0, make=Sized, judge=True, drift=0.005, settings=None, **how):
    """A fleet whose members have their first records on their disks, and start."""
    names = [f"n{n}" for n in range(voters)] + [f"x{n:04}" for n in range(followers)]
    fleet = Fleet(names, seed, **{"delay": 500, "drift": drift, "make": make, **how})
    if not judge:
        fleet.check = lambda node: None  # the judge of schedules looks at all members at each step
    state = state_of(fleet.listed, fan_out, settings)
    fleet.listed = {name: address for name, address in fleet.listed.items() if name[0] == "n"}
    for name, node in fleet.nodes.items():
        node.disk = [("identity", "f", f"{name}.0"), ("hard", 1, ""), ("snapshot", 1, 1, state)]
    return fleet.start()


def grown(voters, followers, seed, fan_out=0):
    """The same, all up and at rest."""
    fleet = begun(voters, followers, seed, fan_out, judge=False)
    if not fleet.run(60_000_000, lambda: rests(fleet)):
        raise SystemExit("the fleet does not come to rest")
    return fleet


def rests(fleet):
    """All is in force."""
    leader = fleet.leader()
    return leader is not None and leader.member.lease.in_force_index == leader.member.log.last_index > 1


FRAME_HEAD = 4  # bytes of a frame before its content
AT_REST = 25_000_000  # microseconds from the first rest to the measure, as followers look for their relays
MEASURED = 6_000_000
CHANGES, KILLS = 5, 3


class Traffic:
    """Bytes that each member sends and gets, with the heads of frames."""

    def __init__(self, fleet):
        self.fleet, self.sent, self.received, self.send = fleet, Counter(), Counter(), fleet.send

    def __enter__(self):
        self.fleet.send = self.counted
        return self

    def __exit__(self, *error):
        self.fleet.send = self.send

    def counted(self, node, to, message):
        size = FRAME_HEAD + len(encode(message))
        self.sent[node.name] += size
        self.received[to] += size
        self.send(node, to, message)


def measured(voters, dispatchers, fan_out, seed):
    """Simulated: bytes a second by role, milliseconds to in force, to another leader and to in force then."""
    fleet = grown(voters, dispatchers - voters, seed, fan_out)
    fleet.run(fleet.now + AT_REST)
    leader, seconds = fleet.leader().name, MEASURED / 1e6
    with Traffic(fleet) as traffic:
        fleet.run(fleet.now + MEASURED)
    others = [traffic.sent[name] + traffic.received[name] for name in fleet.nodes if name != leader]
    in_force = [in_force_after(fleet, n) for n in range(CHANGES)]
    kills = [leader_killed(fleet) for _ in range(KILLS)]
    return {
        "dispatchers": dispatchers,
        "fan_out": fan_out,
        "leader_sent": round(traffic.sent[leader] / seconds),
        "leader_received": round(traffic.received[leader] / seconds),
        "other_most": round(max(others) / seconds),
        "in_force_ms": in_force,
        "new_leader_ms": [elected for elected, _ in kills],
        "in_force_after_kill_ms": [after for _, after in kills],
    }


def in_force_after(fleet, n):
    """Milliseconds from one change at the leader to in force."""
    leader, began = fleet.leader(), fleet.now
    last = leader.member.log.last_index
    change = {"kind": ("out", "back")[n % 2], "worker": "w", "at": 1, "cold_for": 1}
    fleet.propose(leader.name, f"c{n}", change)
    fleet.run(began + 20_000_000, lambda: leader.member.lease.in_force_index > last)
    took = (fleet.now - began) // 1000
    fleet.run(fleet.now + 777_000)
    return took


def leader_killed(fleet):
    """Milliseconds until another one leads, and until all is in force."""
    leader, began = fleet.leader(), fleet.now
    leader.crash()
    fleet.run(began + 20_000_000, lambda: leads(fleet))
    elected = (fleet.now - began) // 1000
    fleet.run(began + 30_000_000, lambda: rests(fleet))
    after = (fleet.now - began) // 1000
    leader.start()
    fleet.run(fleet.now + 8_000_000)
    return elected, after


def leads(fleet):
    """Somebody leads and has had an entry agreed."""
    leader = fleet.leader()
    return leader is not None and leader.member.commit_index >= leader.member.leadership.first_index
