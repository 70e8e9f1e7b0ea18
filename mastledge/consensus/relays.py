"""Relays: followers hear what is agreed, and get their leases, from one another instead of from the leader.

The leader speaks to the voters. Below them the followers form levels, each `fan_out` times as wide as the
one above; who stands in one level hears from one member of the level above, its relay, which passes on what
it has applied itself. docs/consensus.md has the design and the proof; in short:

- A grant is a time of the receiver's own clock after which, in truth, a majority has heard the leader. A
  relay that holds such a time may grant to a child the latest time that the child told it before that. So
  each lease is as good as one of the leader's own, however many relays stand between.
- A relay reports as applied the least of what it has applied and of what those have that may hold a
  lease of it (`cover`). So a change is in force for the leader once all that it granted to, directly or not,
  have it or hold no lease granted before it.
- A new process of a relay does not know whom the one before granted to, and reports nothing for a lease's
  time.
"""

from dataclasses import dataclass, field
from zlib import crc32

from mastledge.consensus import messages as m
from mastledge.consensus.leases import Leases, longest
from mastledge.consensus.state_machine import wanted_voters
from mastledge.consensus.timing import FOLLOWER, LEADER, MANY, PART

CHILDREN = 4  # times the fan-out that one relay takes at the most, while others are away
PACE = 3, 4  # part of a beat that lies between two words to the same child at the least
SILENT_BEATS = 2 * MANY  # after which a child that says nothing is dropped
PATIENCE = 5, 2  # beats without news of the leader after which a first-level follower looks for another relay
PATIENCE_A_LEVEL = 1  # beats more for each level further down, as what is above may find another one first
RETURN = 20_000_000  # half of it after a move, or a little later, one's first relay is tried again
ADOPTED_LEASES = 2  # leases for which a leader speaks directly to a follower that has asked


class Tree:
    """Who may hear from whom, by the members as agreed: the same at each member."""

    def __init__(self, members, fan_out):
        self.fan_out, self.known = fan_out, {}
        voters = sorted(name for name, one in members.items() if one["votes"])
        followers = sorted(set(members) - set(voters), key=lambda name: (crc32(name.encode()), name))
        self.levels = [voters]
        while followers:
            width = max(1, len(self.levels[-1])) * fan_out
            self.levels.append(followers[:width])
            followers = followers[width:]
        self.places = {
            name: (level, place)
            for level, names in enumerate(self.levels)
            for place, name in enumerate(names)
        }

    def level(self, name):
        """0 for voters, 1 for those who hear from them, and so on; 0 as well for who is no member."""
        return self.places.get(name, (0, 0))[0]

    def relays(self, name, leader):
        """Those from whom a follower may hear, the first to be tried first."""
        if (name, leader) not in self.known:
            self.known = {(name, leader): self.relays_of(name, leader)}
        return self.known[name, leader]

    def relays_of(self, name, leader):
        level, place = self.places.get(name, (0, 0))
        if not level:
            return []
        above = self.levels[level - 1]
        if not above:
            return []
        first = above[place % len(above)]
        others = sorted(
            (other for other in above if other != first),
            key=lambda other: (crc32(f"{other} {name}".encode()), other),
        )
        # The leader has the voters to speak to: another one takes its place.
        return [other for other in (first, *others) if other != leader] or [first]


@dataclass
class Child:
    """One that hears from here: the next entry for it, and when it was last spoken to and heard."""

    next: int
    heard_at: int
    due: int = 0
    sent_at: int = 0
    resent: int = field(default=0)


class Relaying:
    """The part of `Member` that relays, and hears from relays. Off where no fan-out is agreed on."""

    @property
    def fan_out(self):
        """0: the leader speaks to each."""
        return self.rules.state.get("fan_out", 0) if self.rules else 0

    def tree(self):
        """As the last entry here has the members; made anew when they change."""
        members, fan_out = self.members(), self.fan_out
        if self.tree_of is not members or self.tree_made.fan_out != fan_out:
            self.tree_of, self.tree_made = members, Tree(members, fan_out)
        return self.tree_made

    tree_made = tree_of = None

    def forget_relays(self):
        """Another fleet begins: whom this one heard from and spoke to is over. What it has granted is not."""
        self.children, self.adopted, self.parent, self.told_by = {}, {}, None, None
        self.parent_mark, self.parent_heard = (0, 0), False

    # What one's own children have

    def cover(self):
        """Up to which entry nobody can contradict what is agreed by a lease that came through here."""
        applied = self.rules.applied if self.rules else 0
        if self.shown is not None:
            applied = min(applied, self.shown)
        if self.rules is None or "fan_out" not in self.rules.state:
            return applied
        if self.now < self.started + longest(self.lease):
            # Whom the process before has granted to is not known here.
            return 0
        if self.passed is None:
            return applied
        for name in list(self.passed.holders):
            reached = self.passed.reached(name, self.now)
            if reached is None and name not in self.children:
                del self.passed.holders[name]
            elif reached is not None:
                applied = min(applied, reached)
        return applied

    def child_acked(self, now, sender, life, ack):
        """A follower has chosen this one as its relay, or answers it."""
        if not self.fan_out or not self.knows(sender, life) or self.members()[sender]["votes"]:
            return
        child = self.children.get(sender)
        if child is None:
            if len(self.children) >= CHILDREN * self.fan_out:
                return
            child = self.children[sender] = Child(ack.hint + 1, now)
        child.heard_at = now
        if self.passed is None:
            self.passed = Leases(self.lease, self.started)
        self.passed.heard(sender, now, ack.clock, ack.applied, ack.process)
        self.lists.reported(sender, ack.lists)
        if ack.yes:
            child.next = max(child.next, min(ack.safe, self.commit) + 1)
        else:
            child.next = max(1, min(ack.hint, self.commit) + 1)
            if not ack.stamp or child.resent != ack.stamp:
                child.resent, child.due = ack.stamp, 0

    def hurry_children(self):
        """There is news for them."""
        for child in self.children.values():
            child.due = min(child.due, child.sent_at + self.beat * PACE[0] // PACE[1])

    def relay(self, now):
        """Tells the children what has been heard here."""
        if not self.fan_out and (self.children or self.parent):
            self.forget_relays()  # they are turned off
        if not self.fan_out or self.role != FOLLOWER or not self.leader:
            return
        silent = [
            name
            for name, child in self.children.items()
            if now > child.heard_at + SILENT_BEATS * self.beat or not self.is_below(name)
        ]
        for name in silent:
            del self.children[name]
            self.lists.forget(name)
        for name, child in self.children.items():
            if child.due <= now:
                child.sent_at, child.due = now, now + 2 * self.beat
                self.tell_child(now, name, child)

    def is_below(self, name):
        one = self.members().get(name)
        return one is not None and not one["votes"]

    def tell_child(self, now, name, child):
        """What this one has applied, and a lease as far as its own grant goes. Nothing that is not agreed."""
        if child.next <= self.log.base:
            base = self.log.base, self.log.base_term, self.base_state
            self.send(name, m.InstallSnapshot(self.term, *base, self.last_stamp, self.leader))
            child.next = self.log.base + 1
            return
        child.next = min(child.next, self.commit + 1)
        before = child.next - 1
        entries = self.log.behind(before)[: self.commit - before]
        grant = 0
        if name in self.rules.members and self.listens():
            grant = self.passed.grant(name, self.granted, self.rules.applied)
        self.send(
            name,
            m.AppendEntries(
                term=self.term,
                prev=before,
                prev_term=self.log.term(before) or 0,
                entries=entries,
                commit=self.commit,
                stamp=self.last_stamp,
                grant=grant,
                in_force=self.in_force,
                left=max(0, self.left_until - now),
                news=self.lists.news_for(name),
                leader=self.leader,
                lists=self.lists.generations(),
            ),
        )
        child.next += len(entries)
        if child.next <= self.commit:
            child.due = now + 1_000

    # One's own relay

    def patience(self):
        """How long this follower waits for news of the leader before it looks for another relay."""
        level = max(1, self.tree().level(self.name))
        return self.beat * PATIENCE[0] // PATIENCE[1] + (level - 1) * PATIENCE_A_LEVEL * self.beat

    def hears_relays(self):
        """Whether this one is a follower that is to hear from a relay."""
        return bool(self.fan_out) and self.role == FOLLOWER and not self.is_voter() and self.listens()

    def look_for_relay(self, now):
        """Chooses a relay, and another one when nothing new comes of it."""
        if not self.hears_relays():
            return
        relays = self.tree().relays(self.name, self.leader)
        if not relays:
            return
        if self.parent not in relays:
            self.join(now, relays[0])
        elif now > max(self.parent_at, self.joined_at) + self.patience():
            self.tried += 1
            if self.tried >= len(relays):
                self.tried = 0
                self.ask(now)  # the leader speaks to who asks, for a while
            self.join(now, relays[(relays.index(self.parent) + 1) % len(relays)])
        elif self.parent != relays[0] and now > self.joined_at + int(RETURN * (0.5 + self.chance())):
            # The first one may be back by now, and each has its part of the followers.
            self.join(now, relays[0])

    def join(self, now, relay):
        """Says to a relay that this one wants to hear from it."""
        if self.parent is not None and self.parent != relay:
            self.lists.forget(self.parent)
        self.parent, self.joined_at, self.parent_heard = relay, now, False
        self.ack(relay, False, 0)

    def hear_relay(self, now, sender, mark):
        """A relay has told of the leader; what it says again and again is no news."""
        if sender == self.parent:
            self.parent_heard = True
            if mark > self.parent_mark:
                self.parent_mark, self.parent_at, self.tried = mark, now, 0

    def answers(self, sender, message):
        """Whether a word is to be answered: one's former relay stops speaking once it hears nothing more."""
        return not message.leader or sender == self.parent or not self.parent_heard

    def relay_wakes_at(self):
        """When the part here has to be looked at, times as in `Member.wake_at`."""
        if not self.fan_out or self.role != FOLLOWER or self.phase != PART:
            return []
        times = [max(self.now + 1_000, child.due) for child in self.children.values()]
        if self.parent is not None and self.hears_relays():
            times.append(max(self.parent_at, self.joined_at) + self.patience() + 1)
        return times

    # The leader

    def direct(self, now):
        """To whom a leader speaks itself: the voters, who has asked lately, and who is to become a voter."""
        members = self.members()
        direct = {name for name, one in members.items() if one["votes"]}
        for name, until in list(self.adopted.items()):
            if now >= until or name not in members:
                del self.adopted[name]
        direct.update(self.adopted)
        direct.update(self.recruits())
        gone = {one["name"] for one in self.gone()}
        return direct | {name for name in gone if name in self.leases.holders}

    def recruits(self):
        """Followers that may be made voters: a leader has to know what their disks hold."""
        missing = wanted_voters(len(self.members())) - len(self.voters())
        if missing <= 0:
            return []
        first = [name for level in self.tree().levels[1:] for name in level]
        return [name for name in first if name not in self.adopted][: 2 * missing]

    def adopt(self, now, name):
        """A follower that has no relay, or none that this version could be, hears from the leader."""
        if self.fan_out and self.role == LEADER:
            self.adopted[name] = now + ADOPTED_LEASES * self.lease
            self.beat_at[name] = 0

    def enforce_tree(self, now):
        """(up to which entry all is in force, when the rest is at the latest)"""
        reached, over = min(self.commit, self.cover()), now
        begun = self.won_at + longest(self.lease)
        if now < begun:
            # Whoever led before has granted, directly or by relays, to whom is not known here.
            return self.in_force, begun
        for name in list(self.leases.holders):
            at = self.leases.reached(name, now)
            if at is None:
                if name not in self.members():
                    del self.leases.holders[name]
                continue
            reached = min(reached, at)
            if at < self.commit:
                over = max(over, self.leases.over(name, self.commit))
        return reached, over
