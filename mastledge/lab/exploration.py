"""Exhaustive exploration of a small scope: each order in which messages of different links can come.

So many messages are lost, come twice or overtake others of their link, with crashes in between. Time is
abstracted: a member's clock stands still but for a step in which it has waited too long for its leader. Each
reached state is looked at once, told apart by all that its future depends on but times. Leases, which are of
time, are for `consensus_schedules.py`.
"""

import pickle
from collections import deque
from collections.abc import Iterator
from typing import Any

from mastledge.consensus import inputs, outputs
from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.member import Member
from mastledge.consensus.messages import AppendEntries, decode, encode
from mastledge.consensus.persisted_state import PersistedState
from mastledge.consensus.roles import Phase, Role
from mastledge.consensus.state_machine import initial_state
from mastledge.consensus.timing import LOST_AFTER_HEARTBEATS
from mastledge.lab.consensus_schedules import LEASE, InvariantViolatedError

START_US = 1_000_000
NAMES = ("n0", "n1", "n2")
NO_MOVES_LEFT = {"crash": 0, "lose": 0, "double": 0, "overtake": 0, "wait": 0}
MESSAGE_MOVES = ("come", "lose", "double", "overtake")

Move = tuple[str, Any]  # what happens, and to which message (its index) or member (its name)


class World:
    """Three members, what is under way between them, and what may still befall them.

    `left` says how many moves of each kind may still come, `proposals` which changes are yet to be proposed.
    """

    def __init__(self, make: type[Member] = Member) -> None:
        """Start members that have the same first snapshot on their disks."""
        self.make, self.left = make, dict(NO_MOVES_LEFT)
        self.messages: list[tuple[str, str, str, bytes]] = []  # to, sender, its incarnation, content
        self.committed: dict[str, int] = {}  # versions by the proposals' ids
        self.proposals: list[tuple[str, dict]] = []
        self.addresses = {name: f"127.0.0.1:{n + 1}" for n, name in enumerate(NAMES)}
        members = {name: (address, f"{name}.0") for name, address in self.addresses.items()}
        state = initial_state({}, LEASE, members)
        self.disks = {
            name: [("identity", "f", f"{name}.0"), ("hard", 1, ""), ("snapshot", 1, 1, state)]
            for name in NAMES
        }
        self.clocks = dict.fromkeys(NAMES, START_US)
        self.members: dict[str, Member] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a member from its disk, which is the one that it had."""
        persisted = PersistedState()
        for record in self.disks[name]:
            persisted.apply(pickle.loads(pickle.dumps(record)))
        configuration = MemberConfiguration(
            name=name,
            members=self.addresses,
            may_bootstrap=False,
            settings={},
            lease_us=LEASE,
            new_incarnation=f"{name}.x",
            new_fleet="g",
            seed=1,
        )
        self.members[name] = self.make(configuration, persisted.value(), self.clocks[name])
        self.members[name].bootstrap.phase = Phase.PARTICIPATING

    def step(self, name: str, member_input: Any) -> None:
        """Give a member one input; what goes to its disk is there at once, and what waited for it is sent.

        Raises InvariantViolatedError.
        """
        member = self.members[name]
        due = [member_input]
        while due:
            for output in member.step(self.clocks[name], due.pop(0)):
                match output:
                    case outputs.Send(to, message):
                        self.send(name, to, message)
                    case outputs.Persist(token, records):
                        self.disks[name] = [*self.disks[name], *records]
                        due.append(inputs.Persisted(token))
                    case outputs.Rewrite(token, records):
                        self.disks[name] = [*records]
                        due.append(inputs.Persisted(token))
                    case outputs.Committed(id, _, result):
                        self.committed[id] = result.version
        self.check()

    def send(self, name: str, to: str, message: Any) -> None:
        """Put a message under way, unless it leads nowhere new."""
        if isinstance(message, AppendEntries):
            if not message.entries and message.commit_index <= self.known_commit(to):
                return  # a heartbeat that says nothing new
            # Of no use but at a start, and to a caller.
            message.observed, message.in_force_in_us = {}, 0
        item = (to, name, self.members[name].incarnation, encode(message))
        if item not in self.messages:  # what comes twice is a move of its own
            self.messages.append(item)

    def known_commit(self, name: str) -> int:
        """Give up to which entry a member knows all to be committed and in force."""
        member = self.members.get(name)
        return min(member.commit_index, member.lease.in_force_index) if member is not None else 0

    def check(self) -> None:
        """Raise InvariantViolatedError if two members lead or differ, or a confirmed change can be lost."""
        for one in self.members.values():
            for other in self.members.values():
                if one.role == other.role == Role.LEADER and one is not other and one.term == other.term:
                    raise InvariantViolatedError(f"two leaders of term {one.term}")
                for index in range(2, min(one.commit_index, other.commit_index) + 1):
                    if one.log.entry_at(index).id != other.log.entry_at(index).id:
                        raise InvariantViolatedError(
                            f"entry {index} is another at {one.name} and {other.name}"
                        )
        # What was told as agreed is on the disks of a majority.
        for id in self.committed:
            holders = sum(
                any(record[0] == "entry" and record[2].id == id for record in disk)
                for disk in self.disks.values()
            )
            if holders <= len(NAMES) // 2:
                raise InvariantViolatedError(f"{id} is told as agreed and on {holders} disks")

    def moves(self) -> Iterator[Move]:
        """Give all that can happen next."""
        yield from self.message_moves()
        for name in NAMES:
            yield from self.member_moves(name)

    def message_moves(self) -> Iterator[Move]:
        """Give what can happen to the messages: the first of each link comes, unless one overtakes."""
        links = set()
        for n, (to, sender, _, _) in enumerate(self.messages):
            if (to, sender) in links:
                if self.left["overtake"]:
                    yield ("overtake", n)
                continue
            links.add((to, sender))
            yield ("come", n)
            if self.left["lose"]:
                yield ("lose", n)
            if self.left["double"]:
                yield ("double", n)

    def member_moves(self, name: str) -> Iterator[Move]:
        """Give what can happen to a member."""
        if name not in self.members:
            yield ("back", name)
            return
        if self.proposals:
            yield ("propose", name)
        if self.left["crash"]:
            yield ("crash", name)
        if self.left["wait"] and self.members[name].role != Role.LEADER:
            yield ("wait", name)

    def perform(self, move: Move) -> None:
        """Let a move happen; raises InvariantViolatedError."""
        kind, which = move
        if kind in self.left:
            self.left[kind] -= 1
        if kind in MESSAGE_MOVES:
            self.move_message(kind, which)
        elif kind == "propose":
            self.step(which, inputs.Propose(*self.proposals.pop(0)))
        elif kind == "crash":
            del self.members[which]
        elif kind == "back":
            self.start(which)
        else:
            self.clocks[which] += LOST_AFTER_HEARTBEATS * self.members[which].state.heartbeat_us
            self.step(which, inputs.Tick())

    def move_message(self, kind: str, n: int) -> None:
        """Let a message come, be lost or be doubled."""
        if kind == "double":
            self.messages.append(self.messages[n])
            return
        to, sender, incarnation, raw = self.messages.pop(n)
        if kind != "lose" and to in self.members:
            self.step(to, inputs.MessageReceived(sender, incarnation, decode(raw)))

    def state_key(self) -> int:
        """Give a hash of all that its future depends on."""
        parts = [
            tuple(sorted(self.messages, key=lambda item: item[:2])),
            tuple(self.left.items()),
            len(self.proposals),
            tuple(sorted(self.committed)),
        ]
        for name in NAMES:
            member = self.members.get(name)
            parts.append(member and member_key(member))
            parts.append(disk_key(self.disks[name]))
        return hash(tuple(parts))


def disk_key(records: list[tuple]) -> tuple:
    """Give what the future of a member depends on in its records."""
    return tuple(
        (record[0], *(record[1:] if record[0] in ("hard", "cut") else (record[1],)))
        for record in records
        if record[0] != "identity"
    )


def member_key(member: Member) -> tuple:
    """Give what the future of one member depends on, but for times."""
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


def explore(world: World, most: int) -> tuple[int, bool]:
    """Give how many states were reached, at most so many, and whether those are all.

    Raises InvariantViolatedError with the moves that led there.
    """
    known, queue = {world.state_key()}, deque([(pickle.dumps(world, -1), ())])
    while queue:
        raw, path = queue.pop()
        for move in list(pickle.loads(raw).moves()):
            following = pickle.loads(raw)
            try:
                following.perform(move)
            except InvariantViolatedError as error:
                raise InvariantViolatedError(f"{error}, by {[*path, move]}") from None
            key = following.state_key()
            if key not in known:
                known.add(key)
                if len(known) >= most:
                    return len(known), False
                queue.append((pickle.dumps(following, -1), (*path, move)))
    return len(known), True


def world_with_leader(make: type[Member] = Member, **left: int) -> World:
    """Give a world with a leader, from which an exploration begins, and the moves that are left in it.

    Raises InvariantViolatedError where nobody leads.
    """
    world = World(make)
    world.left["wait"] = 1
    world.perform(("wait", "n0"))
    while world.messages:
        world.perform(("come", 0))
    if world.members["n0"].role != Role.LEADER:
        raise InvariantViolatedError("nobody leads")
    world.committed = {}
    world.left = {**NO_MOVES_LEFT, **left}
    return world
