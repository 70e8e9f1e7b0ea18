"""Fleets of a given size in simulated time: so many voters and followers, formed and at rest.

All times are microseconds of the simulation, but for the figures of `measure_size`.
"""

from collections import Counter

from mastledge.consensus.direct_members import DirectMembers
from mastledge.consensus.leader import Leadership
from mastledge.consensus.member import Member
from mastledge.consensus.messages import encode
from mastledge.consensus.state_machine import initial_state
from mastledge.lab.consensus_schedules import LEASE, Fleet

FRAME_HEAD_BYTES = 4  # of a frame before its content
FORMATION_US = 60_000_000
RELAY_SETTLING_US = 25_000_000  # from the first rest to the measure, as followers look for their relays
MEASURED_US = 6_000_000
COMMIT_US = 20_000_000
ELECTION_US = 20_000_000
RECOVERY_US = 30_000_000
BETWEEN_CHANGES_US = 777_000
BETWEEN_KILLS_US = 8_000_000
CHANGES, KILLS = 5, 3


class FixedVotersMembers(DirectMembers):
    """Nobody is to become a voter."""

    def learners_to_promote(self) -> list:
        """Give nobody."""
        return []


class FixedVotersLeadership(Leadership):
    """Keeps to the voters that it began with."""

    direct_members_type = FixedVotersMembers

    def promote_learner(self) -> None:
        """Nobody becomes a voter."""


class FixedVotersMember(Member):
    """Keeps to the voters that it began with, however many follow."""

    leadership_type = FixedVotersLeadership


def state_of(addresses: dict[str, str], fan_out: int) -> dict:
    """Give the committed state of a fleet in which those whose names begin with n vote."""
    members = {name: (address, f"{name}.0") for name, address in addresses.items()}
    state = initial_state({"a": 1}, LEASE, members)
    for name, member in state["members"].items():
        member["votes"] = is_voter(name)
    if fan_out:
        state["fan_out"] = fan_out
    return state


def is_voter(name: str) -> bool:
    """Whether the member of this name votes."""
    return name.startswith("n")


def start_fleet(
    voters: int,
    followers: int,
    seed: int,
    fan_out: int = 0,
    member_type: type[Member] = FixedVotersMember,
    **conditions: float,
) -> Fleet:
    """Start a fleet whose members have their first records on disk; `conditions` are those of Fleet."""
    names = [f"n{n}" for n in range(voters)] + [f"x{n:04}" for n in range(followers)]
    fleet = Fleet(names, seed, **{"delay": 500, "drift": 0.005, "make": member_type, **conditions})
    state = state_of(fleet.listed, fan_out)
    fleet.listed = {name: address for name, address in fleet.listed.items() if is_voter(name)}
    for name, node in fleet.nodes.items():
        node.disk = [("identity", "f", f"{name}.0"), ("hard", 1, ""), ("snapshot", 1, 1, state)]
    return fleet.start()


def fleet_at_rest(voters: int, followers: int, seed: int, fan_out: int = 0) -> Fleet:
    """Start a fleet and run it until it rests; its steps aren't checked. Exits where it comes to no rest."""
    fleet = start_fleet(voters, followers, seed, fan_out)
    fleet.check = lambda node: None  # the check of schedules looks at all members at each step
    if not fleet.run(FORMATION_US, lambda: is_at_rest(fleet)):
        raise SystemExit("the fleet does not come to rest")
    return fleet


def is_at_rest(fleet: Fleet) -> bool:
    """Whether all is in force."""
    leader = fleet.leader()
    return leader is not None and leader.member.lease.in_force_index == leader.member.log.last_index > 1


class TrafficMeter:
    """Bytes that each member sends and gets, with the heads of frames, while it is entered."""

    def __init__(self, fleet: Fleet) -> None:
        """Count nothing yet."""
        self.fleet, self.sent, self.received, self.send = fleet, Counter(), Counter(), fleet.send

    def __enter__(self) -> "TrafficMeter":
        """Begin to count."""
        self.fleet.send = self.count_and_send
        return self

    def __exit__(self, *error: object) -> None:
        """End it."""
        self.fleet.send = self.send

    def count_and_send(self, node, to: str, message) -> None:
        """Count a message and send it."""
        size = FRAME_HEAD_BYTES + len(encode(message))
        self.sent[node.name] += size
        self.received[to] += size
        self.send(node, to, message)


def measure_size(voters: int, dispatchers: int, fan_out: int, seed: int) -> dict:
    """Simulated: bytes a second by role, milliseconds to in force, to another leader and to in force then."""
    fleet = fleet_at_rest(voters, dispatchers - voters, seed, fan_out)
    fleet.run(fleet.now + RELAY_SETTLING_US)
    leader, seconds = fleet.leader().name, MEASURED_US / 1e6
    with TrafficMeter(fleet) as traffic:
        fleet.run(fleet.now + MEASURED_US)
    others = [traffic.sent[name] + traffic.received[name] for name in fleet.nodes if name != leader]
    in_force = [measure_change(fleet, n) for n in range(CHANGES)]
    kills = [measure_leader_kill(fleet) for _ in range(KILLS)]
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


def measure_change(fleet: Fleet, n: int) -> int:
    """Give the milliseconds from the n-th change at the leader to in force."""
    leader, began = fleet.leader(), fleet.now
    last = leader.member.log.last_index
    change = {"kind": ("out", "back")[n % 2], "worker": "w", "at": 1, "cold_for": 1}
    fleet.propose(leader.name, f"c{n}", change)
    fleet.run(began + COMMIT_US, lambda: leader.member.lease.in_force_index > last)
    took_ms = (fleet.now - began) // 1000
    fleet.run(fleet.now + BETWEEN_CHANGES_US)
    return took_ms


def measure_leader_kill(fleet: Fleet) -> tuple[int, int]:
    """Give the milliseconds until another one leads, and until all is in force."""
    leader, began = fleet.leader(), fleet.now
    leader.crash()
    fleet.run(began + ELECTION_US, lambda: has_active_leader(fleet))
    elected_ms = (fleet.now - began) // 1000
    fleet.run(began + RECOVERY_US, lambda: is_at_rest(fleet))
    in_force_ms = (fleet.now - began) // 1000
    leader.start()
    fleet.run(fleet.now + BETWEEN_KILLS_US)
    return elected_ms, in_force_ms


def has_active_leader(fleet: Fleet) -> bool:
    """Whether somebody leads and has had an entry of its term committed."""
    leader = fleet.leader()
    return leader is not None and leader.member.commit_index >= leader.member.leadership.term_start_index
