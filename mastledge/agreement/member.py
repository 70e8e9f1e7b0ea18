"""One member's part in the agreement: a pure step from state and input to what is to be sent, saved and told.

Ongaro, "Consensus: Bridging Theory and Practice" (2014): terms, votes and a log (3.4 to 3.6), the vote
before the vote (9.6), members one at a time (4.1), snapshots (5.1). Leases, lives and the word at the start
are this project's;
docs/agreement.md.
"""

from bisect import insort
from copy import deepcopy
from zlib import crc32

from mastledge.agreement import messages as m
from mastledge.agreement.leases import Leases, shortest
from mastledge.agreement.log import Log
from mastledge.agreement.rules import GONE, MEMBERSHIP, Rules, genesis, membership, sound, wanted_voters

BEATS = 10  # of the leader to voters in the time of a lease
SLOW_BEATS = 4  # to those that do not vote
NEWS = 3_000_000  # for which news of workers are passed on, after which who told them says them again
FEW, MANY = 2, 4  # beats without a word of the leader after which a voter would have another one
ASKS = 100_000  # between two times that a member asks the others at its start
FRESH = 10 * ASKS  # a word of another member about itself, from which a fleet may be formed
AGAIN = 200_000  # a change whose fate is not known is handed in once more
MENDS = 1_000_000  # between two tries of a disk that has failed
WAITING = 64  # changes of the members that wait for the one before
COMPACT = 512  # entries behind a snapshot, after which there is another
FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"
ASKING, EMPTY, PART = "asking", "empty", "part"  # of a fleet, once what the others know of this one is known


class Member:
    """`step(now, what, ...)` takes one input and gives a list of what follows from it; `wake_at()` when it
    must be called again with "time" at the latest.

    Inputs: ("time",); ("heard", sender, life, message); ("saved", token) and ("broken",) from the disk,
    tokens in their order; ("propose", id, change); ("forget", id); ("restore", fleet, life,
    state) and ("desert", life) by an operator.
    Outputs: ("send", to, message); ("save", token, records); ("rewrite", token, records): all that is on the
    disk is replaced by these; ("agreed", id, index, result); ("news", message); ("event", name, fields) for
    the log.

    `kept`: what the disk held as {"fleet", "life", "term", "vote", "last", "last_term", "state", "entries"},
    None for an empty folder. `fresh`: a name for a life and one for a fleet, both of chance, to be taken
    where a new one
    begins.
    """

    def __init__(self, name, listed, form, settings, lease, kept, fresh, seed, now):
        self.name, self.listed, self.form, self.settings, self.seed = name, listed, form, settings, seed
        self.first_lease, self.fresh, self.draws, self.out = lease, fresh, 0, []
        self.digest = crc32(repr(sorted(listed)).encode())
        self.role, self.leader, self.votes, self.ballots, self.heard = FOLLOWER, None, None, {}, {}
        self.told, self.seen, self.lives, self.mine, self.waiting, self.broken = {}, {}, {}, {}, [], False
        self.records, self.held, self.token, self.synced, self.pending = [], [], 0, 0, {}
        self.lease_until = self.in_force = self.left_until = self.given = 0
        self.shown = None  # where another process acts on these rules as well: the entry that it has
        self.stopped = ""  # why this member can't go on by what is agreed
        self.leases = self.next = self.match = self.echo = self.beat_at = None
        self.mend_at = self.again_at = None
        self.ask_at, self.now, self.started, self.news_until = now, now, now, 0
        # Times of another process of this name, which may run on the clock of before a restart, are none of
        # its.
        self.offset = crc32(fresh[0].encode()) << 16
        self.words = {}  # when each other one has said anything last, and whether that its folder is empty
        self.forget_all(None)
        if kept:
            self.load(kept)
        self.phase = ASKING
        self.draw_election(now)

    def forget_all(self, life):
        self.fleet, self.life, self.term, self.vote = "", life or self.fresh[0], 0, ""
        self.log, self.commit, self.safe, self.rules, self.ends = Log(), 0, 0, None, None

    def load(self, kept):
        self.fleet, self.life, self.term, self.vote = (kept[x] for x in ("fleet", "life", "term", "vote"))
        self.log = Log(kept["last"], kept["last_term"], kept["entries"])
        self.rules, self.base_state = Rules(kept["state"], kept["last"]), deepcopy(kept["state"])
        self.commit, self.safe, self.ends = kept["last"], self.log.last, None

    # What is known

    def chance(self):
        self.draws += 1
        return crc32(b"%d %s %d" % (self.seed, self.name.encode(), self.draws)) / 4294967296.0

    @property
    def lease(self):
        return self.rules.state["lease"] if self.rules else self.first_lease

    @property
    def beat(self):
        return self.lease // BEATS

    def members(self):
        """As the last entry here has them, agreed or not: from there on they count (4.1)."""
        if self.ends is None:
            self.ends = self.rules.members if self.rules else {}
            if self.rules:
                for entry in self.log.behind(self.rules.applied, len(self.log.entries)):
                    if entry.change["kind"] in MEMBERSHIP and entry.id not in self.rules.results:
                        after, _ = membership(self.ends, entry.change)
                        self.ends = self.ends if after is None else after
        return self.ends

    def voters(self):
        return [name for name, one in self.members().items() if one["votes"]]

    def is_voter(self):
        me = self.members().get(self.name)
        return me is not None and me["votes"] and me["life"] == self.life

    def majority_of(self, figures):
        """The highest figure that a majority of the voters has reached; what is missing counts as -1."""
        reached = []
        for name in self.voters():
            insort(reached, figures.get(name, -1))
        return reached[(len(reached) - 1) // 2] if reached else -1

    def settled(self):
        """No change of the members is under way, and this leader has had an entry agreed (4.1, and its
        erratum).
        """
        entries = self.log.behind(self.commit, len(self.log.entries))
        return self.commit >= self.began and not any(entry.change["kind"] in MEMBERSHIP for entry in entries)

    def remembers(self, change):
        """Whether one more may leave: so many are kept, and the first may act until its lease is over."""
        gone = self.gone()
        return change["kind"] != "remove" or len(gone) < GONE or self.leases.left(gone[0]["name"], self.now)

    def knows(self, sender, life):
        one = self.members().get(sender)
        return one is not None and one["life"] == life

    def may_act(self, now):
        """Whether what this member has applied may be acted on."""
        return now < self.lease_until and not self.stopped

    def address(self, name):
        one = self.members().get(name) or next((o for o in self.gone() if o["name"] == name), None)
        # One that was there from the start stands in each file, maybe under other addresses: who was added
        # does not.
        if name in self.listed and (one is None or one.get("listed")):
            return self.listed[name]
        return one["address"] if one else None

    def gone(self):
        return self.rules.state["gone"] if self.rules else []

    def why(self):
        """Why there is no lease, in a few words; "" where one is held."""
        if self.stopped:
            return self.stopped
        if self.phase == EMPTY or not self.fleet:
            empty = [name for name, (_, seen) in self.seen.items() if seen.empty]
            missing = sorted(set(self.listed) - set(self.seen) - {self.name})
            if any(not told.empty for told in self.told.values()):
                known = any(told.member for told in self.told.values() if not told.empty)
                return "asks to be taken in again" if known else f"{self.name} is no member of the fleet"
            if not self.form:
                return (
                    f"no fleet: {len(empty) + 1} of {len(self.listed)} folders are empty, and form is not set"
                )
            return (
                "a fleet is to be formed: nothing is heard of " + ", ".join(missing) if missing else "forming"
            )
        if self.phase == ASKING:
            return "asks the others what they know of this one"
        if self.rules and self.name not in self.members():
            return f"{self.name} is no member of the fleet"
        return "" if self.now < self.lease_until else "no lease: no majority is heard"

    # One step

    def step(self, now, what, *fields):
        self.now = now
        getattr(self, "on_" + what)(now, *fields)
        self.run(now)
        if self.records and not self.broken:
            self.token += 1
            self.pending[self.token] = self.log.last
            self.out.append(("save", self.token, self.records))
        self.dirty = self.broken and (self.dirty or bool(self.records))
        self.records = []
        for to, message in self.held_now:
            if not self.broken:
                self.held.append((self.token, to, message))
        self.held_now = []
        self.release()
        out, self.out = self.out, []
        return out

    held_now = ()

    def send(self, to, message, safe=False):
        """`safe`: it depends on what is not on the disk yet, and is sent once it is."""
        if safe:
            self.held_now = [*self.held_now, (to, message)]
        else:
            self.out.append(("send", to, message))

    def release(self):
        while self.held and self.held[0][0] <= self.synced:
            _, to, message = self.held.pop(0)
            self.out.append(("send", to, message))

    def event(self, name, **fields):
        self.out.append(("event", name, fields))

    def on_time(self, now):
        pass

    def on_saved(self, now, token):
        if token > self.synced:
            self.synced = token
            last = [index for t, index in self.pending.items() if t <= token]
            self.pending = {t: index for t, index in self.pending.items() if t > token}
            if last:
                self.safe = max(self.safe, last[-1])
        if self.broken and token >= self.token:
            if self.dirty:
                # What came while all was written anew is not on the disk yet.
                self.mend_at = now
            else:
                self.broken, self.mend_at = False, None
                self.event("disk_mended")
        if self.phase == PART and self.role == FOLLOWER and self.leader and self.acked < self.safe:
            self.ack(self.leader, True, self.last_stamp)

    def on_broken(self, now):
        """Nothing that depends on the disk is said from now on; what is heard is still acted on."""
        if not self.broken:
            self.event("disk_failed")
        self.broken, self.dirty, self.held, self.pending = True, True, [], {}
        self.mend_at = now + MENDS
        if self.role != FOLLOWER:
            self.follow(self.term, None)

    def all_records(self):
        return [
            ("identity", self.fleet, self.life),
            ("hard", self.term, self.vote),
            ("snapshot", self.log.base, self.log.base_term, self.base_state),
            *(("entry", self.log.base + n, entry) for n, entry in enumerate(self.log.entries, 1)),
        ]

    def on_propose(self, now, id, change):
        self.mine[id] = change
        self.hand_in(id, change)
        self.again_at = self.again_at or now + AGAIN

    def on_leaves(self, now):
        """This process ends: the voter that has most of the log leads next, and nobody waits for a word in
        vain.
        """
        ready = (
            [name for name in self.voters() if name != self.name and self.match.get(name, 0) == self.log.last]
            if self.role == LEADER
            else []
        )
        if ready:
            self.send(max(ready, key=lambda name: (self.echo.get(name, 0), name)), m.Lead(self.term))

    def on_Lead(self, now, sender, life, lead):
        if lead.term == self.term and sender == self.leader and self.is_voter() and not self.broken:
            self.campaign(now, False)

    def on_forget(self, now, id):
        self.mine.pop(id, None)

    def on_passed(self, now, message):
        """News of workers that this one's own registry has told."""
        self.on_News(now, self.name, self.life, message)

    def hand_in(self, id, change):
        if self.role == LEADER:
            self.take(id, change)
        elif self.leader is not None:
            self.send(self.leader, m.Propose(id, change))

    def take(self, id, change):
        """A leader takes a change, once. Changes of the members wait for the one before."""
        if not sound(change):
            self.event("unsound", id=id, kind=str(change.get("kind"))[:40])
            return
        if any(entry.id == id for entry in self.log.behind(self.rules.applied, len(self.log.entries))):
            return
        if id in self.rules.results:
            return
        if change["kind"] in MEMBERSHIP and not (self.settled() and self.remembers(change)):
            if len(self.waiting) < WAITING and all(waits != id for waits, _ in self.waiting):
                self.waiting.append((id, change))
            return
        self.extend(m.Entry(self.term, id, change))

    def extend(self, entry):
        index = self.log.append(entry)
        self.records.append(("entry", index, entry))
        if entry.change["kind"] in MEMBERSHIP:
            self.ends = None
        self.hurry()

    def hurry(self):
        """Nobody waits for the next beat."""
        if self.beat_at is not None:
            self.beat_at = dict.fromkeys(self.beat_at, 0)

    # Messages

    def on_heard(self, now, sender, life, message):
        if sender == self.name:
            return
        call = getattr(self, "on_" + type(message).__name__)
        self.words[sender] = now, isinstance(message, m.Ask | m.Told) and message.empty
        if isinstance(message, m.Ask | m.Told | m.Form):
            call(now, sender, life, message)
        elif self.phase == PART or isinstance(message, m.Append | m.Install) and self.phase == EMPTY:
            call(now, sender, life, message)

    def on_Ask(self, now, sender, life, ask):
        if ask.fleet and self.fleet and ask.fleet != self.fleet:
            return
        self.seen[sender], self.lives[sender] = (now, ask), life
        known = self.heard.get(sender)
        heard = known[1:] if known and known[0] == life else (0, 0, 0)
        # Who is empty here as well knows nothing of members but what its file says.
        there = sender in (self.members() if self.rules else self.listed)
        self.send(sender, m.Told(self.fleet, not self.fleet, self.form, self.digest, there, *heard))
        if self.role == LEADER and there and not self.knows(sender, life):
            self.admit(sender, life)
        elif (
            self.fleet
            and self.rules
            and self.rules.applied <= 1
            and ask.empty
            and self.knows(sender, life)
            and not self.leader
        ):
            # It was there when the fleet began and has not been told.
            self.send(sender, m.Form(self.fleet, self.rules.snapshot()), safe=True)

    def admit(self, name, life):
        """A member comes as a new life; what the former one has promised is not expected of it."""
        if self.settled():
            self.take(f"life {name} {life} {self.log.last}", {"kind": "life", "name": name, "life": life})

    def on_Told(self, now, sender, life, told):
        if self.fleet and told.fleet and told.fleet != self.fleet:
            return
        self.told[sender], self.lives[sender], self.seen[sender] = told, life, (now, told)
        if self.phase != ASKING or not self.fleet or told.empty:
            return
        if (told.heard_term, 0, 0) > (self.term, 0, 0) or (
            (told.heard_last_term, told.heard_last) > (self.log.last_term, self.log.last)
        ):
            # It has said what its folder does not know of, so the folder is an old one; another life
            # remembers nothing.
            self.event(
                "folder_is_old",
                heard_term=told.heard_term,
                heard_last=told.heard_last,
                term=self.term,
                last=self.log.last,
                heard_by=sender,
            )
            fleet = self.fleet
            self.forget_all(self.fresh[0])
            self.held, self.told, self.seen, self.phase = [], {}, {}, EMPTY
            self.event("new_life", life=self.life, fleet=fleet)
            return
        others = [name for name, one in self.told.items() if name in self.voters() and not one.empty]
        count = len(set(others) | ({self.name} if self.is_voter() else set()))
        if count > len(self.voters()) // 2:
            self.phase = PART
            self.event("takes_part", life=self.life, term=self.term, last=self.log.last)

    def on_Form(self, now, sender, life, form):
        one = form.state["members"].get(self.name)
        if not self.fleet and one and one["life"] == self.life:
            self.begin(form.fleet, form.state)

    def begin(self, fleet, state):
        self.fleet, self.rules, self.log = fleet, Rules(state, 1), Log(1, 1)
        self.base_state, self.ends = self.rules.snapshot(), None
        self.term, self.commit, self.phase = 1, 1, PART
        self.records += [("identity", fleet, self.life), ("hard", 1, ""), ("snapshot", 1, 1, self.base_state)]
        self.event("formed", fleet=fleet, members=len(state["members"]))
        self.draw_election(self.now)

    def on_restore(self, now, fleet, life, state):
        """An operator's word that a majority is lost: this one alone begins another fleet, with this state.

        Those of before are of another fleet from here on, and none of their words counts.
        """
        if self.role != FOLLOWER:
            self.follow(self.term, None)
        self.forget_all(life)
        self.held, self.told, self.seen, self.lives, self.heard, self.waiting = [], {}, {}, {}, {}, []
        self.leader, self.votes, self.ballots, self.stopped = None, None, {}, ""
        self.lease_until = self.in_force = self.left_until = self.given = 0
        self.begin(fleet, state)
        self.elect_at = now + self.beat

    def on_desert(self, now, life):
        """An operator's word that its fleet is no more: it comes to the next one as an empty folder does."""
        if self.role != FOLLOWER:
            self.follow(self.term, None)
        self.event("deserts", fleet=self.fleet, life=self.life)
        self.forget_all(life)
        self.held, self.told, self.seen, self.lives, self.heard, self.waiting = [], {}, {}, {}, {}, []
        self.leader, self.votes, self.ballots, self.stopped = None, None, {}, ""
        self.lease_until = self.in_force = self.left_until = 0
        self.records, self.pending, self.phase, self.form = [], {}, EMPTY, False
        self.token += 1
        self.out.append(("rewrite", self.token, []))

    def there(self, now):
        """Members that have said something within a second and have not lost their folders."""
        return {name for name, (at, empty) in self.words.items() if now - at < FRESH and not empty}

    base_state, compact = None, COMPACT

    def raise_term(self, term):
        if term > self.term:
            self.follow(term, None)

    def follow(self, term, leader):
        if term > self.term:
            self.term, self.vote = term, ""
            self.records.append(("hard", term, ""))
        if self.role == LEADER:
            self.event("leads_no_more", term=self.term)
            self.leases = self.next = self.match = self.echo = self.beat_at = None
            self.waiting = []
        if leader is not None and leader != self.leader:
            self.again_at = self.now if self.mine else None
        self.role, self.leader, self.ballots = FOLLOWER, leader, {}

    def up_to_date(self, message):
        return (message.last_term, message.last) >= (self.log.last_term, self.log.last)

    def remember(self, sender, life, term, last_term=0, last=0):
        """What it has said and its disk must know; the highest of each."""
        known = self.heard.get(sender)
        _, t, lt, li = known if known and known[0] == life else (life, 0, 0, 0)
        lt, li = max((lt, li), (last_term, last))
        self.heard[sender] = (life, max(t, term), lt, li)

    def on_Poll(self, now, sender, life, poll):
        heard = self.leader is not None and now < self.heard_at + (FEW - 1) * self.beat
        if poll.pre:
            yes = poll.term > self.term and self.up_to_date(poll) and not heard and self.role != LEADER
            self.send(sender, m.Ballot(poll.term if yes else self.term, yes, True))
            return
        self.raise_term(poll.term)
        self.remember(sender, life, poll.term)
        yes = (
            poll.term == self.term and self.vote in ("", sender) and self.up_to_date(poll) and not self.broken
        )
        if yes and not self.vote:
            self.vote = sender
            self.records.append(("hard", self.term, sender))
            self.draw_election(now)
        self.send(sender, m.Ballot(self.term, yes, False), safe=yes)

    def on_Ballot(self, now, sender, life, ballot):
        if not ballot.yes:
            self.raise_term(ballot.term)
            return
        if not ballot.pre:
            self.remember(sender, life, ballot.term)
        # A life that forgot what it had voted must not be counted as the one that remembers.
        if self.role == CANDIDATE and self.knows(sender, life):
            if ballot.pre == self.pre and ballot.term == self.term + self.pre:
                self.ballots[sender] = 1

    def on_Append(self, now, sender, life, append):
        if append.term < self.term:
            self.ack(sender, False, 0)
            return
        if self.leader != sender or append.term > self.term or self.role != FOLLOWER:
            self.follow(append.term, sender)
        self.heard_at, self.last_stamp = now, append.stamp
        self.draw_election(now)
        for name, known in append.heard.items():
            self.remember(name, *known)
        for news in append.news:
            self.out.append(("news", news))
        if (
            not self.rules
            or append.prev > self.log.last
            or (append.prev >= self.log.base and self.log.term(append.prev) != append.prev_term)
        ):
            self.ack(sender, False, append.stamp)
            return
        index = append.prev
        for entry in append.entries:
            index += 1
            if index <= self.log.base or self.log.term(index) == entry.term:
                continue
            if index <= self.log.last:
                self.log.cut(index)
                self.safe = min(self.safe, index - 1)
                self.pending = {token: min(last, index - 1) for token, last in self.pending.items()}
                self.records.append(("cut", index))
                self.ends = None
            self.log.append(entry)
            if entry.change["kind"] in MEMBERSHIP:
                self.ends = None
            self.records.append(("entry", index, entry))
        self.agree(min(append.commit, index))
        self.in_force = max(self.in_force, min(append.in_force, self.commit))
        self.left_until = now + append.left
        grant = append.grant - self.offset
        if self.started <= grant <= now and append.commit <= self.rules.applied and self.listens():
            self.lease_until = max(self.lease_until, grant + shortest(self.lease))
        if not self.records or self.broken:
            self.ack(sender, True, append.stamp)

    def listens(self):
        """Whether this is a member in the life that the fleet knows."""
        me = self.rules.members.get(self.name)
        return me is not None and me["life"] == self.life

    def ack(self, to, yes, stamp):
        self.acked = self.safe
        applied = self.rules.applied if self.rules else 0
        if self.shown is not None:
            applied = min(applied, self.shown)
        # Up to what is agreed it is the leader's log; behind that it may not be.
        hint = self.commit if self.rules else 0
        self.send(
            to,
            m.Ack(
                self.term,
                yes,
                self.safe,
                self.log.term(self.safe) or 0,
                applied,
                stamp,
                self.now + self.offset,
                hint,
            ),
        )

    def on_Ack(self, now, sender, life, ack):
        if ack.term > self.term:
            self.raise_term(ack.term)
            return
        if self.role != LEADER or ack.term < self.term:
            return
        if not self.knows(sender, life):
            if sender in self.members():
                # Its name is known in another life; what this one says counts for nothing until it is taken
                # in.
                self.admit(sender, life)
                return
            if not any(one["name"] == sender for one in self.gone()):
                return
        self.echo[sender] = max(self.echo.get(sender, 0), ack.stamp)
        if not ack.yes:
            self.next[sender] = min(ack.hint, self.next.get(sender, 1) - 1, self.log.last) + 1
            self.next[sender] = max(1, self.next[sender])
            self.leases.heard(sender, now, ack.clock, ack.applied)
            if ack.stamp and self.resent.get(sender) != ack.stamp:
                self.resent[sender] = ack.stamp
                self.beat_at[sender] = 0
            return
        self.remember(sender, life, 0, ack.safe_term, ack.safe)
        if ack.safe > self.match.get(sender, 0) and self.log.term(ack.safe) == ack.safe_term:
            self.match[sender] = ack.safe
        self.next[sender] = max(self.next.get(sender, 1), self.match.get(sender, 0) + 1)
        self.leases.heard(sender, now, ack.clock, ack.applied)

    def on_Install(self, now, sender, life, install):
        if install.term < self.term:
            self.ack(sender, False, 0)
            return
        if self.leader != sender or install.term > self.term or self.role != FOLLOWER:
            self.follow(install.term, sender)
        self.heard_at, self.last_stamp = now, install.stamp
        self.draw_election(now)
        if install.last > self.commit:
            if not self.fleet:
                self.fleet = self.told_fleet(sender)
                if not self.fleet:
                    return
                self.records.append(("identity", self.fleet, self.life))
                self.records.append(("hard", self.term, self.vote))
                self.phase = PART
                self.event("taken_in", fleet=self.fleet, life=self.life)
            if self.log.term(install.last) == install.last_term:
                # What stands behind it may have been said to be safe here, and counts.
                self.log.compact(install.last)
            else:
                self.log = Log(install.last, install.last_term)
                self.safe = min(self.safe, install.last)
                self.pending = {token: min(last, install.last) for token, last in self.pending.items()}
            self.rules, self.ends = Rules(install.state, install.last), None
            self.base_state, self.commit = self.rules.snapshot(), install.last
            self.records.append(("snapshot", install.last, install.last_term, self.base_state))
            self.event("installed", last=install.last)
            for id in [id for id in self.mine if id in self.rules.results]:
                del self.mine[id]
                self.out.append(("agreed", id, self.commit, self.rules.results[id]))
        if not self.records or self.broken:
            self.ack(sender, True, install.stamp)

    def told_fleet(self, sender):
        told = self.told.get(sender)
        return (
            told.fleet
            if told and told.fleet
            else next((one.fleet for one in self.told.values() if one.fleet), "")
        )

    def on_Propose(self, now, sender, life, propose):
        if self.role == LEADER:
            self.take(propose.id, propose.change)

    def on_News(self, now, sender, life, news):
        if self.role == LEADER:
            last = self.newest.get(news.registry)
            if last is None or news.generation >= last.generation:
                # What an older list kept out is told again by the newer one, as far as it still holds.
                self.newest[news.registry], self.news_until = news, now + NEWS
                self.out.append(("news", news))
                self.hurry()
        elif self.leader is not None:
            self.send(self.leader, news)

    # What follows from it

    def draw_election(self, now):
        wait = FEW + (MANY - FEW) * self.chance()
        self.elect_at = now + int(wait * self.beat)

    heard_at = last_stamp = acked = began = 0
    pre, vote_token, dirty = False, 0, False

    def run(self, now):
        if self.mend_at is not None and now >= self.mend_at:
            self.mend_at = now + MENDS
            if self.rules:
                self.token += 1
                self.pending = {self.token: self.log.last}
                self.out.append(("rewrite", self.token, self.all_records()))
                self.records, self.dirty = [], False
        if self.again_at is not None and now >= self.again_at:
            self.again_at = now + AGAIN if self.mine else None
            for id, change in list(self.mine.items()):
                self.hand_in(id, change)
        if self.phase != PART:
            self.begin_anew(now)
            return
        if self.role == CANDIDATE:
            self.count(now)
        if self.role == LEADER:
            self.lead(now)
        elif now >= self.elect_at:
            self.draw_election(now)
            if self.is_voter() and not self.broken and not self.stopped:
                self.campaign(now, True)
            elif not self.listens() or not self.leader or now > self.heard_at + 2 * MANY * self.beat:
                # Taken out while it was away, or known by another life: who leads has to be found.
                self.ask(now)

    def ask(self, now):
        ask = m.Ask(
            self.fleet, not self.fleet, self.form, self.digest, self.term, self.log.last_term, self.log.last
        )
        for name in sorted({*self.listed, *self.voters()} - {self.name}):
            self.send(name, ask)

    def begin_anew(self, now):
        if self.fleet and self.phase == ASKING and self.voters() == [self.name] and self.is_voter():
            self.phase = PART  # nobody else can know better
            self.draw_election(now)
            return
        if not self.fleet and self.phase == ASKING:
            self.phase = EMPTY
        if now >= self.ask_at:
            self.ask_at = now + ASKS
            self.ask(now)
        if self.phase != EMPTY or self.fleet or not self.form or self.name not in self.listed:
            return
        others = [self.seen.get(name) for name in self.listed if name != self.name]
        if all(
            one and now - one[0] < FRESH and one[1].empty and one[1].form and one[1].digest == self.digest
            for one in others
        ):
            if self.name == min(self.listed):
                lives = {
                    name: (address, self.life if name == self.name else self.lives[name])
                    for name, address in self.listed.items()
                }
                state = genesis(self.settings, self.first_lease, lives)
                self.begin(self.fresh[1], state)
                self.elect_at = now + self.beat
                for name in self.listed:
                    if name != self.name:
                        self.send(name, m.Form(self.fleet, self.rules.snapshot()), safe=True)

    def campaign(self, now, pre):
        self.role, self.leader, self.pre, self.ballots = CANDIDATE, None, pre, {}
        if not pre:
            self.term, self.vote = self.term + 1, self.name
            self.records.append(("hard", self.term, self.name))
            self.vote_token = self.token + 1
        poll = m.Poll(self.term + pre, self.log.last_term, self.log.last, pre)
        for name in self.voters():
            if name != self.name:
                self.send(name, poll, safe=not pre)
        self.count(now)

    def count(self, now):
        if self.pre or self.synced >= self.vote_token:
            self.ballots[self.name] = 1
        if self.majority_of(self.ballots) == 1:
            if self.pre:
                self.campaign(now, False)
            else:
                self.win(now)

    def win(self, now):
        self.role, self.leader = LEADER, self.name
        self.leases = Leases(self.lease, now)
        self.next, self.match, self.echo, self.beat_at, self.newest, self.resent = {}, {}, {}, {}, {}, {}
        self.won_at = now
        self.event("leads", term=self.term, last=self.log.last)
        self.extend(m.Entry(self.term, "", {"kind": "noop"}))
        self.began = self.log.last
        for id, change in self.mine.items():
            self.take(id, change)

    newest = resent = won_at = None

    def lead(self, now):
        self.match[self.name], self.echo[self.name] = self.safe, now
        majority = self.majority_of(self.echo)
        if majority < now - 2 * MANY * self.beat and now > self.won_at + 2 * MANY * self.beat:
            # A majority may have another leader by now, and whoever calls here had better know.
            self.follow(self.term, None)
            self.draw_election(now)
            return
        commit = self.majority_of(self.match)
        if commit > self.commit and self.log.term(commit) == self.term:
            self.agree(commit)
            self.hurry()
        if self.stopped:
            self.follow(self.term, None)
            return
        if self.name not in self.members() and self.commit >= self.log.last:
            self.event("left", term=self.term)
            self.hurry()
            self.beats(now, majority, now)
            self.follow(self.term, None)
            return
        # Until an entry of its own term is agreed it does not know all that was agreed before.
        if majority > 0 and self.listens() and self.commit >= self.began:
            self.lease_until = max(self.lease_until, majority + shortest(self.lease))
        self.enforce(now)
        if self.waiting and self.settled():
            self.take(*self.waiting.pop(0))
        self.promote(now)
        self.beats(now, majority, now)

    def enforce(self, now):
        reached, over = self.commit, now
        mine = self.rules.applied if self.shown is None else min(self.rules.applied, self.shown)
        reached = min(reached, mine)
        for name in {*self.rules.members, *self.members(), *(one["name"] for one in self.gone())}:
            if name != self.name:
                at = self.leases.reached(name, now)
                reached = reached if at is None else min(reached, at)
                if at is not None and at < self.commit:
                    over = max(over, self.leases.over(name, self.commit))
        self.left_until = over
        if reached > self.in_force:
            self.in_force = reached
            self.hurry()

    def promote(self, now):
        members, voters = self.members(), self.voters()
        if len(voters) >= wanted_voters(len(members)) or not self.settled():
            return
        for name, one in sorted(members.items()):
            # It has caught up, and its disk holds what it says.
            if (
                not one["votes"]
                and one["life"]
                and self.match.get(name, 0) >= self.began
                and name != self.name
            ):
                if now - self.echo.get(name, 0) < 2 * SLOW_BEATS * self.beat:
                    change = {"kind": "vote", "name": name, "life": one["life"]}
                    self.take(f"vote {name} {one['life']} {self.term}.{self.log.last}", change)
                    return

    def beats(self, now, majority, at):
        members = self.members()
        heard = {
            name: known for name, known in self.heard.items() if name in members and members[name]["votes"]
        }
        for name in sorted({*members, *(one["name"] for one in self.gone())} - {self.name}):
            if self.beat_at.get(name, 0) > at:
                continue
            voter = name in members and members[name]["votes"]
            self.beat_at[name] = now + self.beat * (1 if voter else BEATS // SLOW_BEATS)
            if name not in members and self.leases.left(name, now):
                continue
            following = self.next.get(name, self.log.last + 1 if voter else self.commit + 1)
            if following <= self.log.base:
                self.send(name, m.Install(self.term, self.log.base, self.log.base_term, self.base_state, now))
                self.next[name] = self.log.base + 1
                continue
            entries = self.log.behind(following - 1)
            grant = 0
            if name in self.rules.members and self.commit >= self.began:
                # Only what the receiver has, or gets with this, may make its lease good.
                grant = self.leases.grant(name, majority, self.commit)
            self.send(
                name,
                m.Append(
                    self.term,
                    following - 1,
                    self.log.term(following - 1) or 0,
                    entries,
                    self.commit,
                    now,
                    grant,
                    self.in_force,
                    max(0, self.left_until - now),
                    heard if voter else {},
                    list(self.newest.values()) if now < self.news_until else [],
                ),
            )
            self.next[name] = following + len(entries)
            if self.next[name] <= self.log.last:
                self.beat_at[name] = now + 1_000

    def agree(self, commit):
        """Applies what is agreed up to `commit`, in its order."""
        while self.commit < commit and not self.stopped:
            entry = self.log.entry(self.commit + 1)
            try:
                result = self.rules.apply(self.commit + 1, entry)
            except (ValueError, KeyError, TypeError) as error:
                # To go on without it would be to act on other rules than the rest.
                self.stopped = f"cannot follow what is agreed: {error}"
                self.event("stopped", why=self.stopped)
                return
            self.commit += 1
            self.event(
                "agreed",
                index=self.commit,
                version=result["version"],
                kind=entry.change["kind"],
                why=result.get("why", ""),
            )
            if entry.id in self.mine:
                del self.mine[entry.id]
                self.out.append(("agreed", entry.id, self.commit, result))
        if self.commit - self.log.base >= self.compact:
            self.log.compact(self.commit)
            self.base_state, self.ends = self.rules.snapshot(), None
            self.records.append(("snapshot", self.log.base, self.log.base_term, self.base_state))
        self.ends = None

    def wake_at(self):
        """When "time" has to be the input at the latest."""
        times = [self.ask_at if self.phase != PART else self.elect_at]
        if self.role == LEADER:
            times = [*self.beat_at.values(), self.now + self.beat]
            if self.in_force < self.commit:
                times.append(self.left_until)
            # What is due already has been looked at in this very step.
            times = [max(self.now + 1_000, min(times))]
        times += [at for at in (self.mend_at, self.again_at) if at is not None]
        return min(times)
