"""Schedules of faults over the agreement's decisions alone: simulated time, one seed replays all of it.

Each member has a clock of its own rate, a disk that takes its time, and a place in a network that loses,
doubles, delays and reorders. `Fleet.check` is the judge: it looks at every step at what no member may ever
do.
"""

from copy import deepcopy

import numpy

from mastledge.consensus import inputs, outputs
from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.member import Member
from mastledge.consensus.membership import target_voter_count
from mastledge.consensus.messages import decode, encode
from mastledge.consensus.persisted_state import PersistedState
from mastledge.consensus.roles import Phase, Role
from mastledge.lab.simulated import Simulated

LEASE = 2_000_000


class InvariantViolatedError(AssertionError):
    """A rule that has to hold at every step does not."""


class Node:
    def __init__(self, fleet, name, rate):
        self.fleet, self.name, self.rate = fleet, name, rate
        self.disk, self.backups, self.up, self.until, self.lives = [], [], False, 0, 0
        self.member = None
        self.offset = fleet.draw(10_000_000)
        self.full, self.idle_at, self.sent = False, 0, 0

    def clock(self):
        """Its own time: as far from the truth as its rate lets it drift, from some start of its own."""
        return self.offset + int(self.fleet.now * self.rate)

    def start(self):
        kept = PersistedState()
        for record in self.disk:
            kept.apply(deepcopy(record))
        self.lives += 1
        self.failed, self.up = False, True
        configuration = MemberConfiguration(
            name=self.name,
            members=self.fleet.listed,
            may_bootstrap=self.fleet.form,
            settings={"a": 1},
            lease_us=LEASE,
            new_incarnation=f"{self.name}.{self.lives}.{self.fleet.draw(1 << 30)}",
            new_fleet=f"f{self.fleet.draw(1 << 30)}",
            seed=self.fleet.draw(1 << 30),
        )
        self.member = self.fleet.make(configuration, kept.value(), self.clock())
        self.fleet.at(0, self.step, self.member, inputs.Tick())

    def crash(self):
        self.up, self.member = False, None

    def step(self, member, input):
        """One input, unless the process it was meant for has died, or is stopped: then it comes when it goes
        on.
        """
        if member is not self.member or not self.up:
            return
        if self.until > self.fleet.now:
            self.fleet.at(self.until - self.fleet.now + self.fleet.draw(2000), self.step, member, input)
            return
        for output in member.step(self.clock(), input):
            self.carry_out(output)
        self.fleet.check(self)
        wait = int(max(0, member.wake_at() - self.clock()) / self.rate) + 1
        at = self.fleet.now + wait
        if self.fleet.wakes.get(self.name, (0, None)) != (at, member):
            self.fleet.wakes[self.name] = (at, member)
            self.fleet.at(wait, self.wake, at, member)

    def wake(self, at, member):
        if self.fleet.wakes.get(self.name) == (at, member):
            self.fleet.wakes.pop(self.name)
            self.step(member, inputs.Tick())

    def carry_out(self, output):
        """Does what a step of the member asks for."""
        match output:
            case outputs.Send(to, message):
                self.fleet.send(self, to, message)
            case outputs.Persist(token, records):
                self.save(token, records)
            case outputs.Rewrite(token, records):
                self.save(token, records, whole=True)
            case outputs.Committed(id, index, result):
                self.fleet.answered[id] = (self.fleet.now, index, result)
            case outputs.RestrictionsReceived(restrictions):
                self.fleet.news.append((self.fleet.now, self.name, restrictions))
            case outputs.LogEvent(name, fields):
                if self.fleet.log is not None:
                    self.fleet.log.append((self.fleet.now, self.name, name, fields))

    def save(self, token, records, whole=False):
        records = deepcopy(records)
        # One after the other, as they were given.
        self.idle_at = max(self.idle_at, self.fleet.now) + self.fleet.slow_disk()
        self.fleet.at(self.idle_at - self.fleet.now, self.saved, token, records, whole, self.member)

    def saved(self, token, records, whole, member):
        if member is not self.member or not self.up:
            return
        # After one record that is missing none can follow until all is written anew.
        self.failed = self.full or self.failed and not whole
        if self.failed:
            self.step(member, inputs.DiskFailed())
            return
        self.disk = records if whole else [*self.disk, *records]
        if any(record[0] == "snapshot" for record in records):
            kept = PersistedState()
            for record in self.disk:
                kept.apply(deepcopy(record))
            self.disk = kept.compacted_records()
        self.step(member, inputs.Persisted(token))


class Fleet(Simulated):
    """`faults`: shares of messages lost and doubled, the longest delay, all in the truth's microseconds."""

    def __init__(
        self, names, seed, lost=0.0, doubled=0.0, delay=5_000, form=True, make=Member, log=False, drift=0.01
    ):
        super().__init__(seed)
        self.form, self.make = form, make
        self.lost, self.doubled, self.delay = lost, doubled, delay
        self.cut, self.wakes, self.answered, self.news, self.disk_slow = set(), {}, {}, [], 0
        self.log = [] if log else None
        self.listed = {name: f"127.0.0.1:{9000 + n}" for n, name in enumerate(names)}
        self.order, self.leaders, self.in_force, self.sent, self.bytes, self.sums = {}, {}, 0, 0, 0, {}
        self.nodes = {name: Node(self, name, 1 + drift * (2 * self.random.random() - 1)) for name in names}
        self.forced = {}

    def slow_disk(self):
        return 200 + self.draw(4_000) + self.disk_slow

    def send(self, node, to, message):
        raw = encode(message)
        self.sent, self.bytes, node.sent = self.sent + 1, self.bytes + len(raw), node.sent + 1
        life = node.member.incarnation
        for _ in range(1 + (self.random.random() < self.doubled)):
            if (node.name, to) in self.cut or to not in self.nodes or self.random.random() < self.lost:
                continue
            self.at(100 + self.draw(self.delay), self.arrive, to, node.name, life, raw)

    def arrive(self, to, sender, life, raw):
        node = self.nodes[to]
        if node.up and (sender, to) not in self.cut:
            node.step(node.member, inputs.MessageReceived(sender, life, decode(raw)))

    def start(self):
        for node in self.nodes.values():
            self.at(self.draw(50_000), node.start)
        return self

    def propose(self, name, id, change):
        node = self.nodes[name]
        if node.up:
            node.step(node.member, inputs.Propose(id, change))

    def leader(self):
        leads = [node for node in self.nodes.values() if node.up and node.member.role == Role.LEADER]
        return max(leads, key=lambda node: node.member.term, default=None)

    # The judge

    def check(self, node):
        """What may never be, at whatever step: each failure names the rule."""
        member = node.member
        if member.state_machine is None:
            return
        if member.role == Role.LEADER and self.leaders.setdefault(
            member.term, (node.name, member.incarnation)
        ) != (
            node.name,
            member.incarnation,
        ):
            raise InvariantViolatedError(
                f"two leaders of term {member.term}: {self.leaders[member.term]} and {node.name}"
            )
        # One order of versions: what one has applied at an index all have.
        last = member.state_machine.applied_index
        if last > member.log.base_index:
            entry = member.log.entry_at(last)
            told = (entry.term, entry.id, repr(entry.change))
            if self.order.setdefault(last, told) != told:
                raise InvariantViolatedError(
                    f"entry {last} is {told} at {node.name}, and was {self.order[last]}"
                )
        # What is agreed is not lost, and nothing is half applied.
        sum_ = (
            member.state_machine.version,
            repr(member.state_machine.state["out"]),
            member.state_machine.state["settings_version"],
            repr(sorted(member.state_machine.members)),
        )
        if self.sums.setdefault(last, sum_) != sum_:
            raise InvariantViolatedError(
                f"the rules of entry {last} differ at {node.name}: {sum_} and {self.sums[last]}"
            )
        if member.lease.in_force_index > self.in_force:
            self.in_force = member.lease.in_force_index
            for other in self.nodes.values():
                self.acts(other)
        self.acts(node)

    def acts(self, node):
        """Nobody acts on rules older than those that some leader has called in force."""
        if not node.up or node.member.state_machine is None:
            return
        member = node.member
        if member.may_act(node.clock()) and member.state_machine.applied_index < self.in_force:
            applied = member.state_machine.applied_index
            raise InvariantViolatedError(
                f"{node.name} acts on entry {applied}, and {self.in_force} is in force"
            )

    def act_all(self):
        for node in self.nodes.values():
            self.acts(node)


FAULTS = ("crash", "cut", "half", "stop", "wipe", "old", "full", "slow", "add", "remove")


def play(seed, members=3, length=20_000_000, changes=8, make=Member, faults=FAULTS, log=False):
    """One schedule from its seed: a fleet forms, faults and changes come, all heals; the fleet afterwards."""
    names = [f"n{n}" for n in range(members)]
    dice = numpy.random.Generator(numpy.random.PCG64([seed, 1]))
    fleet = Fleet(
        names,
        seed,
        lost=dice.choice([0, 0.02, 0.1]),
        doubled=dice.choice([0, 0.05]),
        delay=int(dice.choice([2_000, 20_000, 80_000])),
        make=make,
        log=log,
    ).start()
    proposed = []
    for n in range(changes):
        at, name = int(dice.integers(1_500_000, length)), names[int(dice.integers(members))]
        worker = f"w{int(dice.integers(3))}"
        change = (
            {"kind": "out", "worker": worker}
            if dice.random() < 0.6
            else {"kind": "back", "worker": worker, "at": at, "cold_for": 1_000_000}
        )
        if dice.random() < 0.2:
            change = {"kind": "settings", "settings": {"a": n}, "expects": int(dice.integers(1, 4))}
        proposed.append((f"p{n}", change))
        fleet.at(at, fleet.propose, name, f"p{n}", change)
    for _ in range(int(dice.integers(1, 6))):
        at, fault = int(dice.integers(1_000_000, length)), str(dice.choice(faults))
        node = fleet.nodes[names[int(dice.integers(members))]]
        spell = int(dice.integers(200_000, 6_000_000))
        fleet.at(at, strike, fleet, node, fault, spell, dice)
    fleet.run(length + 6_000_000)
    fleet.cut.clear()
    fleet.lost = fleet.doubled = 0.0
    for node in fleet.nodes.values():
        node.full = False
        if not node.up:
            node.start()
    return fleet, proposed


def strike(fleet, node, fault, spell, dice):
    """One fault, and its end after `spell`. No more of them at once than a minority may bear, where a disk
    is lost.
    """
    others = [other.name for other in fleet.nodes.values() if other is not node]
    if fault == "crash" and node.up:
        node.crash()
        fleet.at(spell, back, node)
    elif fault == "cut":
        pairs = {(node.name, other) for other in others} | {(other, node.name) for other in others}
        fleet.cut |= pairs
        fleet.at(spell, fleet.cut.difference_update, pairs)
    elif fault == "half":
        pairs = (
            {(node.name, other) for other in others}
            if dice.random() < 0.5
            else {(other, node.name) for other in others}
        )
        fleet.cut |= pairs
        fleet.at(spell, fleet.cut.difference_update, pairs)
    elif fault == "stop":
        node.until = fleet.now + spell
    elif (
        fault in ("wipe", "old")
        and node.up
        and node.member.phase == Phase.PARTICIPATING
        and whole(fleet, node)
    ):
        node.crash()
        node.disk = deepcopy(node.backups) if fault == "old" else []
        fleet.at(spell // 4, back, node)
    elif fault == "full":
        node.full = True
        fleet.at(spell, setattr, node, "full", False)
    elif fault == "slow":
        fleet.disk_slow = 60_000
        fleet.at(spell, setattr, fleet, "disk_slow", 0)
    elif fault == "add":
        fleet.propose(node.name, f"add{fleet.now}", {"kind": "add", "name": "x", "address": "127.0.0.1:1"})
    elif fault == "remove" and len(fleet.nodes) > 3:
        fleet.propose(node.name, f"remove{fleet.now}", {"kind": "remove", "name": others[0]})
    if not node.backups and node.up:
        node.backups = deepcopy(node.disk)


def whole(fleet, node):
    """A lost disk is one fault and the only one for now: a majority of lost disks is another matter."""
    return (
        is_settled(fleet)
        and not fleet.cut
        and all(other.until <= fleet.now and not other.full for other in fleet.nodes.values())
        and len(fleet.leader().member.state.voters())
        == target_voter_count(len(fleet.leader().member.state.members()))
    )


def back(node):
    if not node.up:
        node.start()


def is_settled(fleet):
    """All is agreed and in force everywhere."""
    leader = fleet.leader()
    if leader is None:
        return False
    last = leader.member.log.last_index
    return all(
        node.up
        and node.member.state_machine is not None
        and node.member.phase == Phase.PARTICIPATING
        and node.member.lease.in_force_index == last
        and node.member.state_machine.applied_index == last
        for name, node in fleet.nodes.items()
        if name in leader.member.state_machine.members
    )


def tight(make):
    """The same member with a snapshot after every third entry, so that many come by one."""
    return type(f"Tight{make.__name__}", (make,), {"snapshot_interval": 3})


def check_schedule(seed, **how):
    """Plays a schedule to its healed end; raises InvariantViolatedError with what was wrong."""
    if seed % 2:
        how = {**how, "make": tight(how.get("make", Member))}
    fleet, proposed = play(seed, **how)
    if not fleet.run(fleet.now + 30_000_000, lambda: is_settled(fleet)):
        reasons = [node.member.no_lease_reason() for node in fleet.nodes.values()]
        raise InvariantViolatedError(f"not settled 30 s after all has healed: {reasons}")
    state = fleet.leader().member.state_machine.state
    known = {id for id, _ in state["names"]}
    for id, (_, _, result) in fleet.answered.items():
        if not result.reason and id not in known:
            raise InvariantViolatedError(f"{id} was agreed as version {result.version} and is lost")
    return fleet
