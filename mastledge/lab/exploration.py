"""Small scope to its end: each order in which messages of different links can come, with so many that are
lost, come twice or overtake others of their link, and crashes in between.

Time is abstracted: a member's clock stands still but for a step in which it has waited too long for its
leader. Each reached state is looked at once, told apart by all that its future depends on but times. Leases,
which are of time, are for `consensus_schedules.py`.
"""

import pickle
from collections import deque

from mastledge.consensus import inputs, outputs
from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.member import Member
from mastledge.consensus.messages import AppendEntries, decode, encode
from mastledge.consensus.persisted_state import PersistedState
from mastledge.consensus.roles import Phase, Role
from mastledge.consensus.state_machine import initial_state
from mastledge.consensus.timing import LOST_AFTER_HEARTBEATS
from mastledge.lab.consensus_schedules import LEASE, Broken

BEGAN = 1_000_000


class World:
    """Three members, what is under way between them, and what may still befall them."""

    def __init__(self, names, changes, crashes, losses, doubles, waits, make=Member):
        self.left = {"crash": crashes, "lose": losses, "double": doubles, "overtake": 0, "wait": waits}
        self.make, self.names, self.wire, self.agreed, self.back = make, names, [], {}, {}
        listed = {name: f"127.0.0.1:{n + 1}" for n, name in enumerate(names)}
        state = initial_state({}, LEASE, {name: (address, f"{name}.0") for name, address in listed.items()})
        self.listed = listed
        self.disks = {
            name: [("identity", "f", f"{name}.0"), ("hard", 1, ""), ("snapshot", 1, 1, state)]
            for name in names
        }
        self.clocks = dict.fromkeys(names, BEGAN)
        self.members = {}
        for name in names:
            self.start(name)
            self.members[name].bootstrap.phase = Phase.PARTICIPATING
        self.todo = list(changes)

    def start(self, name):
        kept = PersistedState()
        for record in self.disks[name]:
            kept.apply(pickle.loads(pickle.dumps(record)))
        configuration = MemberConfiguration(
            name=name,
            members=self.listed,
            may_bootstrap=False,
            settings={},
            lease_us=LEASE,
            new_incarnation=f"{name}.x",
            new_fleet="g",
            seed=1,
        )
        self.members[name] = self.make(configuration, kept.value(), self.clocks[name])

    def input(self, name, input):
        """One step; what goes to the disk is there at once, and what waited for it is sent."""
        member = self.members[name]
        due = [input]
        while due:
            for output in member.step(self.clocks[name], due.pop(0)):
                if isinstance(output, outputs.Send):
                    message = output.message
                    if (
                        isinstance(message, AppendEntries)
                        and not message.entries
                        and message.commit_index <= self.known(output.to)
                    ):
                        continue  # a beat that says nothing new leads nowhere new
                    if isinstance(message, AppendEntries):
                        message.observed, message.in_force_in_us = (
                            {},
                            0,
                        )  # of no use but at a start, and to a caller
                    item = (output.to, name, member.incarnation, encode(message))
                    if item not in self.wire:  # what comes twice is a move of its own
                        self.wire.append(item)
                elif isinstance(output, outputs.Persist | outputs.Rewrite):
                    before = self.disks[name] if isinstance(output, outputs.Persist) else ()
                    self.disks[name] = [*before, *output.records]
                    due.append(inputs.Persisted(output.token))
                elif isinstance(output, outputs.Committed):
                    self.agreed[output.id] = output.result.version
        self.check(name)

    def known(self, name):
        member = self.members.get(name)
        return min(member.commit_index, member.lease.in_force_index) if member is not None else 0

    def check(self, name):
        for one in self.members.values():
            for other in self.members.values():
                if one.role == other.role == Role.LEADER and one is not other and one.term == other.term:
                    raise Broken(f"two leaders of term {one.term}")
                for index in range(2, min(one.commit_index, other.commit_index) + 1):
                    if one.log.entry_at(index).id != other.log.entry_at(index).id:
                        raise Broken(f"entry {index} is another at {one.name} and {other.name}")
        # What was told as agreed is on the disks of a majority.
        for id in self.agreed:
            holders = sum(
                any(record[0] == "entry" and record[2].id == id for record in disk)
                for disk in self.disks.values()
            )
            if holders <= len(self.names) // 2:
                raise Broken(f"{id} is told as agreed and on {holders} disks")

    def moves(self):
        """All that can happen next."""
        links = set()
        for n, item in enumerate(self.wire):
            first = item[:2] not in links
            links.add(item[:2])
            if first:
                yield ("come", n)
            elif self.left["overtake"]:
                yield ("overtake", n)
            if first and self.left["lose"]:
                yield ("lose", n)
            if first and self.left["double"]:
                yield ("double", n)
        for name in self.names:
            if name not in self.members:
                yield ("back", name)
                continue
            if self.todo:
                yield ("propose", name)
            if self.left["crash"]:
                yield ("crash", name)
            if self.left["wait"] and self.members[name].role != Role.LEADER:
                yield ("wait", name)

    def after(self, move):
        what, which = move
        if what in ("come", "lose", "double", "overtake"):
            self.left["overtake"] -= what == "overtake"
            to, sender, life, raw = self.wire[which]
            if what == "double":
                self.left["double"] -= 1
                self.wire.append(self.wire[which])
                return
            del self.wire[which]
            if what == "lose":
                self.left["lose"] -= 1
            elif to in self.members:
                self.input(to, inputs.MessageReceived(sender, life, decode(raw)))
        elif what == "propose":
            id, change = self.todo.pop(0)
            self.input(which, inputs.Propose(id, change))
        elif what == "crash":
            self.left["crash"] -= 1
            del self.members[which]
        elif what == "back":
            self.start(which)
            self.members[which].bootstrap.phase = Phase.PARTICIPATING  # its disk is the one that it had
        else:
            self.left["wait"] -= 1
            self.clocks[which] += LOST_AFTER_HEARTBEATS * self.members[which].state.heartbeat_us
            self.input(which, inputs.Tick())

    def mark(self):
        """What its future depends on."""
        out = [
            tuple(sorted(self.wire, key=lambda item: item[:2])),
            tuple(self.left.items()),
            len(self.todo),
            tuple(sorted(self.agreed)),
        ]
        for name in self.names:
            member = self.members.get(name)
            out.append(member and member_mark(member))
            out.append(
                tuple(
                    (r[0], *(r[1:] if r[0] in ("hard", "cut") else (r[1],)))
                    for r in self.disks[name]
                    if r[0] != "identity"
                )
            )
        return hash(tuple(out))


def member_mark(member):
    """What the future of one member depends on, but for times."""
    candidacy, leadership = member.roles.candidacy, member.leadership
    progress = leadership.progress if leadership else None
    return (
        member.role,
        member.term,
        member.state.voted_for,
        member.leader,
        member.commit_index,
        member.persistence.persisted_index,
        member.lease.in_force_index,
        member.state_machine.version,
        tuple((entry.term, entry.id) for entry in member.log.entries),
        tuple(sorted(candidacy.votes)) if candidacy else (),
        candidacy is not None and candidacy.pre_vote,
        tuple(sorted(progress.match_index.items())) if progress else (),
        tuple(sorted(progress.next_index.items())) if progress else (),
        tuple(sorted(member.proposals.pending)),
    )


def explore(world, most):
    """(states, whether all were reached); raises Broken with the moves that led there."""
    seen, queue = {world.mark()}, deque([(pickle.dumps(world, -1), ())])
    while queue:
        raw, way = queue.pop()
        for move in list(pickle.loads(raw).moves()):
            one = pickle.loads(raw)
            try:
                one.after(move)
            except Broken as error:
                raise Broken(f"{error}, by {[*way, move]}") from None
            mark = one.mark()
            if mark not in seen:
                seen.add(mark)
                if len(seen) >= most:
                    return len(seen), False
                queue.append((pickle.dumps(one, -1), (*way, move)))
    return len(seen), True


def led(make=Member, **left):
    """A world with a leader, from which the exploration begins."""
    world = World(["n0", "n1", "n2"], [], 0, 0, 0, 0, make)
    world.left["wait"] = 1
    world.after(("wait", "n0"))
    while world.wire:
        world.after(("come", 0))
    if world.members["n0"].role != Role.LEADER:
        raise Broken("nobody leads")
    world.agreed = {}
    world.left = {"crash": 0, "lose": 0, "double": 0, "overtake": 0, "wait": 0, **left}
    return world
