"""Schedules of faults over a fleet with relays: `consensus_schedules` judges, faults of relays are added.

One seed replays all of it. Time is simulated, and what holds at each step is looked at for all members.
"""

import numpy

from mastledge.consensus import inputs
from mastledge.lab.consensus_schedules import LEASE, Broken, back, settled
from mastledge.lab.sized_fleets import Sized, begun

FAULTS = ("crash", "cut", "half", "stop", "slow", "level", "remove", "lead", "off")
LENGTH = 16_000_000
HEALED = 40_000_000  # microseconds in which all has to be in force once nothing befalls it any more
READY = 30_000_000
SLOW = 400_000  # the longest delay of a slow relay's links


class Lists:
    """A list that changes: some members' own watches tell of it, the others hear it from them."""

    def __init__(self, fleet, deaf):
        self.fleet, self.deaf, self.generation, self.drained = fleet, deaf, 0, set()

    def change(self, worker):
        self.generation += 1
        state = "ready" if worker in self.drained else "draining"
        self.drained ^= {worker}
        for name, node in self.fleet.nodes.items():
            if name in self.deaf or not node.up:
                continue
            if node.member.sharing.lists.registries:
                change = [(worker, state)]
                update = inputs.EndpointListUpdate("r", "changes", change, self.generation)
            else:
                drained = [(one, "draining") for one in sorted(self.drained)]
                update = inputs.EndpointListUpdate("r", "whole", drained, self.generation)
            node.step(node.member, update)

    def heard(self):
        """Whether all that were deaf know the list as it is now."""
        return all(
            node.up
            and node.member.sharing.lists.generations().get("r") == self.generation
            and {
                worker
                for worker, (state, _) in node.member.sharing.lists.registries["r"].changes.items()
                if state != "ready"
            }
            == self.drained
            for name, node in self.fleet.nodes.items()
            if name in self.deaf and name in self.fleet.leader().member.state_machine.members
        )


def play(seed, voters=3, followers=10, fan_out=2, make=Sized, faults=FAULTS, changes=10, tight=False):
    """A fleet with relays from its first step, faults and changes; the fleet, its proposals and its lists."""
    dice = numpy.random.Generator(numpy.random.PCG64([seed, 4]))
    if tight:
        make = type(f"Tight{make.__name__}", (make,), {"snapshot_interval": 3})
    fleet = begun(
        voters,
        followers,
        seed,
        fan_out,
        make,
        drift=0.01,
        lost=float(dice.choice([0, 0.02, 0.1])),
        doubled=float(dice.choice([0, 0.05])),
        delay=int(dice.choice([2_000, 20_000, 80_000])),
    )
    names = list(fleet.nodes)
    lists = Lists(fleet, set(dice.choice(names, 3, replace=False).tolist()))
    proposed = []
    for n in range(changes):
        at, name = int(dice.integers(1_500_000, LENGTH)), names[int(dice.integers(len(names)))]
        worker = f"w{int(dice.integers(3))}"
        change = (
            {"kind": "out", "worker": worker}
            if dice.random() < 0.6
            else {"kind": "back", "worker": worker, "at": at, "cold_for": 1_000_000}
        )
        if dice.random() < 0.2:
            expects = int(dice.integers(1, 4))
            change = {"kind": "patch", "changes": [[["a"], n]], "expects": expects}
        proposed.append((f"p{n}", change))
        fleet.at(at, fleet.propose, name, f"p{n}", change)
        fleet.at(int(dice.integers(1_500_000, LENGTH)), lists.change, worker)
    for _ in range(int(dice.integers(1, 7))):
        at, fault = int(dice.integers(1_000_000, LENGTH)), str(dice.choice(faults))
        node = fleet.nodes[names[int(dice.integers(len(names)))]]
        spell = int(dice.integers(200_000, 6_000_000))
        fleet.at(at, strike, fleet, node, fault, spell, dice)
    fleet.run(LENGTH + 6_000_000)
    fleet.cut.clear()
    fleet.lost = fleet.doubled = 0.0
    for node in fleet.nodes.values():
        if not node.up:
            node.start()
    return fleet, proposed, lists


def strike(fleet, node, fault, spell, dice):
    """One fault, and its end after `spell` microseconds."""
    others = [other.name for other in fleet.nodes.values() if other is not node]
    if fault == "crash" and node.up:
        node.crash()
        fleet.at(spell, back, node)
    elif fault in ("cut", "half"):
        out = {(node.name, other) for other in others}
        into = {(other, node.name) for other in others}
        pairs = out | into if fault == "cut" else out if dice.random() < 0.5 else into
        fleet.cut |= pairs
        fleet.at(spell, fleet.cut.difference_update, pairs)
    elif fault == "stop":
        # Often for longer than a lease.
        node.until = fleet.now + max(spell, LEASE * int(dice.integers(1, 3)))
    elif fault == "slow":
        slowly(fleet, node, spell)
    elif fault == "level" and fleet.leader() is not None:
        # All that stand in one level at once, but for a majority of the voters.
        tree = fleet.leader().member.relay_choice.tree()
        for name in tree.levels[1] if len(tree.levels) > 1 else ():
            if fleet.nodes[name].up:
                fleet.nodes[name].crash()
                fleet.at(spell // 4, back, fleet.nodes[name])
    elif fault == "remove":
        name = others[int(dice.integers(len(others)))]
        if name.startswith("x"):
            fleet.propose(node.name, f"remove{fleet.now}", {"kind": "remove", "name": name})
    elif fault == "lead" and (leader := fleet.leader()) is not None:
        leader.step(leader.member, inputs.Leave())
    elif fault == "off" and node.up:
        fleet.propose(node.name, f"off{fleet.now}", {"kind": "relays", "fan_out": 0})
        fleet.at(spell, again, fleet)


def slowly(fleet, node, spell):
    """What this one says and hears takes its time."""
    arrive, until = fleet.arrive, fleet.now + spell

    def late(to, sender, life, raw):
        if node.name in (to, sender) and fleet.now < until:
            fleet.at(fleet.draw(SLOW), arrive, to, sender, life, raw)
        else:
            arrive(to, sender, life, raw)

    fleet.arrive = late


def again(fleet):
    """Relays once more, at whoever leads."""
    leader = fleet.leader()
    if leader is not None:
        fleet.propose(leader.name, f"on{fleet.now}", {"kind": "relays", "fan_out": 2})


def judged(seed, **how):
    """Plays a schedule to its healed end; raises Broken with what was wrong."""
    fleet, proposed, lists = play(seed, tight=bool(seed % 2), **how)
    if not fleet.run(fleet.now + HEALED, lambda: settled(fleet)):
        raise Broken(
            f"not settled after all has healed: {[n.member.no_lease_reason() for n in fleet.nodes.values()]}"
        )
    state = fleet.leader().member.state_machine.state
    known = {id for id, _ in state["names"]}
    for id, (_, _, result) in fleet.answered.items():
        if not result.reason and id not in known:
            raise Broken(f"{id} was agreed as version {result.version} and is lost")
    if fleet.leader().member.fan_out and lists.generation:
        if not fleet.run(fleet.now + HEALED, lists.heard):
            raise Broken("what others know of a list has not reached all")
    return fleet
