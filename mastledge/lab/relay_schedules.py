"""Schedules of faults over a fleet with relays: `consensus_schedules` judges, faults of relays are added.

One seed replays all of it. Time is simulated, in microseconds, and what holds at each step is looked at for
all members.
"""

from dataclasses import dataclass

import numpy

from mastledge.consensus import inputs
from mastledge.consensus.member import Member
from mastledge.lab.consensus_schedules import LEASE, Fleet, InvariantViolatedError, Node, back, is_settled
from mastledge.lab.sized_fleets import FixedVotersMember, start_fleet

VOTERS, FOLLOWERS, FAN_OUT = 3, 10, 2
CHANGES = 10
LENGTH_US = 16_000_000
LAST_FAULTS_US = 6_000_000
HEALING_US = 40_000_000  # in which all has to be in force once all faults are over
SLOW_RELAY_US = 400_000  # the longest delay of a slow relay's links
FIRST_CHANGE_US, FIRST_FAULT_US = 1_500_000, 1_000_000
REGISTRY = "r"


class EndpointLists:
    """An endpoint list that changes: some members' own watches tell of it, the others hear it from them."""

    def __init__(self, fleet: Fleet, without_watch: set[str]) -> None:
        """Begin with an empty list."""
        self.fleet, self.without_watch = fleet, without_watch
        self.generation, self.drained = 0, set()

    def change(self, worker: str) -> None:
        """Drain a worker, or make a drained one ready again; members with a watch hear it."""
        self.generation += 1
        state = "ready" if worker in self.drained else "draining"
        self.drained ^= {worker}
        for name, node in self.fleet.nodes.items():
            if name not in self.without_watch and node.up:
                node.step(node.member, self.update_for(node, worker, state))

    def update_for(self, node: Node, worker: str, state: str) -> inputs.EndpointListUpdate:
        """Give the change, or the whole list to a member that has none."""
        if node.member.restriction_sharing.lists.registries:
            return inputs.EndpointListUpdate(REGISTRY, "changes", [(worker, state)], self.generation)
        drained = [(name, "draining") for name in sorted(self.drained)]
        return inputs.EndpointListUpdate(REGISTRY, "whole", drained, self.generation)

    def are_known(self) -> bool:
        """Whether all members without a watch know the list as it is now."""
        members = self.fleet.leader().member.state_machine.members
        return all(
            node.up and self.is_known_to(node)
            for name, node in self.fleet.nodes.items()
            if name in self.without_watch and name in members
        )

    def is_known_to(self, node: Node) -> bool:
        """Whether a member has the generation of now, and the same workers as drained."""
        lists = node.member.restriction_sharing.lists
        if lists.generations().get(REGISTRY) != self.generation:
            return False
        changes = lists.registries[REGISTRY].changes
        return {worker for worker, (state, _) in changes.items() if state != "ready"} == self.drained


@dataclass(slots=True)
class Fault:
    """A fault that strikes a node, for so many microseconds."""

    fleet: Fleet
    node: Node
    span_us: int
    dice: numpy.random.Generator

    def others(self) -> list[str]:
        """Give the names of all other nodes."""
        return [other.name for other in self.fleet.nodes.values() if other is not self.node]

    def cut_links(self, links: set[tuple[str, str]]) -> None:
        """Cut links for the time of the fault."""
        self.fleet.cut |= links
        self.fleet.at(self.span_us, self.fleet.cut.difference_update, links)

    def outgoing(self) -> set[tuple[str, str]]:
        """Give the links from the node."""
        return {(self.node.name, other) for other in self.others()}

    def incoming(self) -> set[tuple[str, str]]:
        """Give the links to the node."""
        return {(other, self.node.name) for other in self.others()}


def crash(fault: Fault) -> None:
    """End the process, and start it again."""
    if fault.node.up:
        fault.node.crash()
        fault.fleet.at(fault.span_us, back, fault.node)


def cut(fault: Fault) -> None:
    """Cut all links of the node."""
    fault.cut_links(fault.outgoing() | fault.incoming())


def cut_one_way(fault: Fault) -> None:
    """Cut the links from the node, or those to it."""
    fault.cut_links(fault.outgoing() if fault.dice.random() < 0.5 else fault.incoming())


def stop(fault: Fault) -> None:
    """Stop the process, often for longer than a lease."""
    span_us = max(fault.span_us, LEASE * int(fault.dice.integers(1, 3)))
    fault.node.until = fault.fleet.now + span_us


def slow_links(fault: Fault) -> None:
    """Delay what the node says and hears."""
    fleet, name = fault.fleet, fault.node.name
    arrive, until = fleet.arrive, fleet.now + fault.span_us

    def arrive_late(to: str, sender: str, incarnation: str, raw: bytes) -> None:
        if name in (to, sender) and fleet.now < until:
            fleet.at(fleet.draw(SLOW_RELAY_US), arrive, to, sender, incarnation, raw)
        else:
            arrive(to, sender, incarnation, raw)

    fleet.arrive = arrive_late


def crash_level(fault: Fault) -> None:
    """End all that stand in the first level of the relay tree at once."""
    leader = fault.fleet.leader()
    if leader is None:
        return
    levels = leader.member.relay_choice.tree().levels
    for name in levels[1] if len(levels) > 1 else ():
        node = fault.fleet.nodes[name]
        if node.up:
            node.crash()
            fault.fleet.at(fault.span_us // 4, back, node)


def remove_follower(fault: Fault) -> None:
    """Propose to remove another member, where the drawn one is a follower."""
    others = fault.others()
    name = others[int(fault.dice.integers(len(others)))]
    if name.startswith("x"):
        change = {"kind": "remove", "name": name}
        fault.fleet.propose(fault.node.name, f"remove{fault.fleet.now}", change)


def hand_leadership_on(fault: Fault) -> None:
    """Let the leader leave its leadership to another one."""
    leader = fault.fleet.leader()
    if leader is not None:
        leader.step(leader.member, inputs.Leave())


def turn_relays_off(fault: Fault) -> None:
    """Turn relays off, and on again."""
    fleet = fault.fleet
    if fault.node.up:
        fleet.propose(fault.node.name, f"off{fleet.now}", {"kind": "relays", "fan_out": 0})
        fleet.at(fault.span_us, turn_relays_on, fleet)


def turn_relays_on(fleet: Fleet) -> None:
    """Turn relays on, at whoever leads."""
    leader = fleet.leader()
    if leader is not None:
        fleet.propose(leader.name, f"on{fleet.now}", {"kind": "relays", "fan_out": FAN_OUT})


# In the order in which they are drawn from.
FAULTS = {
    "crash": crash,
    "cut": cut,
    "half": cut_one_way,
    "stop": stop,
    "slow": slow_links,
    "level": crash_level,
    "remove": remove_follower,
    "lead": hand_leadership_on,
    "off": turn_relays_off,
}


def play(seed: int, member_type: type[Member]) -> tuple[Fleet, EndpointLists]:
    """Play changes and faults over a fleet with relays; gives it healed, and its lists."""
    dice = numpy.random.Generator(numpy.random.PCG64([seed, 4]))
    fleet = start_fleet(
        VOTERS,
        FOLLOWERS,
        seed,
        FAN_OUT,
        member_type,
        drift=0.01,
        lost=float(dice.choice([0, 0.02, 0.1])),
        doubled=float(dice.choice([0, 0.05])),
        delay=int(dice.choice([2_000, 20_000, 80_000])),
    )
    lists = EndpointLists(fleet, set(dice.choice(list(fleet.nodes), 3, replace=False).tolist()))
    for n in range(CHANGES):
        schedule_change(fleet, lists, n, dice)
    for _ in range(int(dice.integers(1, 7))):
        schedule_fault(fleet, dice)
    fleet.run(LENGTH_US + LAST_FAULTS_US)
    heal(fleet)
    return fleet, lists


def draw_node(fleet: Fleet, dice: numpy.random.Generator) -> Node:
    """Draw one of the nodes."""
    names = list(fleet.nodes)
    return fleet.nodes[names[int(dice.integers(len(names)))]]


def schedule_change(fleet: Fleet, lists: EndpointLists, n: int, dice: numpy.random.Generator) -> None:
    """Draw the n-th change, when and where it is proposed, and when the list changes."""
    at, node = int(dice.integers(FIRST_CHANGE_US, LENGTH_US)), draw_node(fleet, dice)
    worker = f"w{int(dice.integers(3))}"
    if dice.random() < 0.6:
        change = {"kind": "out", "worker": worker}
    else:
        change = {"kind": "back", "worker": worker, "at": at, "cold_for": 1_000_000}
    if dice.random() < 0.2:
        change = {"kind": "patch", "changes": [[["a"], n]], "expects": int(dice.integers(1, 4))}
    fleet.at(at, fleet.propose, node.name, f"p{n}", change)
    fleet.at(int(dice.integers(FIRST_CHANGE_US, LENGTH_US)), lists.change, worker)


def schedule_fault(fleet: Fleet, dice: numpy.random.Generator) -> None:
    """Draw a fault, its time and span, and the node that it strikes."""
    at, name = int(dice.integers(FIRST_FAULT_US, LENGTH_US)), str(dice.choice(list(FAULTS)))
    node = draw_node(fleet, dice)
    span_us = int(dice.integers(200_000, 6_000_000))
    fleet.at(at, FAULTS[name], Fault(fleet, node, span_us, dice))


def heal(fleet: Fleet) -> None:
    """End all faults."""
    fleet.cut.clear()
    fleet.lost = fleet.doubled = 0.0
    for node in fleet.nodes.values():
        if not node.up:
            node.start()


def check_schedule(seed: int, make: type[Member] = FixedVotersMember) -> Fleet:
    """Play a schedule to its healed end; raises InvariantViolatedError with what was wrong.

    Members of odd seeds take a snapshot after every third entry, so that many come by one.
    """
    if seed % 2:
        make = type(f"Tight{make.__name__}", (make,), {"snapshot_interval": 3})
    fleet, lists = play(seed, make)
    if not fleet.run(fleet.now + HEALING_US, lambda: is_settled(fleet)):
        raise InvariantViolatedError(
            f"not settled after all has healed: {[n.member.no_lease_reason() for n in fleet.nodes.values()]}"
        )
    state = fleet.leader().member.state_machine.state
    known = {id for id, _ in state["names"]}
    for id, (_, _, result) in fleet.answered.items():
        if not result.reason and id not in known:
            raise InvariantViolatedError(f"{id} was agreed as version {result.version} and is lost")
    if (
        fleet.leader().member.fan_out
        and lists.generation
        and not fleet.run(fleet.now + HEALING_US, lists.are_known)
    ):
        raise InvariantViolatedError("what others know of a list has not reached all")
    return fleet
