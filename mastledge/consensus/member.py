"""One member's part in the agreement: a pure step from state and input to what is to be sent, saved and told.

Ongaro, "Consensus: Bridging Theory and Practice" (2014): terms, votes and a log (3.4 to 3.6), the vote
before the vote (9.6), members one at a time (4.1), snapshots (5.1). Leases, lives and the word at the start
are this project's;
docs/consensus.md.
"""

from bisect import insort
from copy import deepcopy
from typing import ClassVar
from zlib import crc32

from mastledge.consensus import inputs, outputs
from mastledge.consensus import messages as m
from mastledge.consensus.bootstrap import Startup
from mastledge.consensus.elections import ElectionRole
from mastledge.consensus.follower import FollowerRole
from mastledge.consensus.leader import LeaderRole
from mastledge.consensus.log import Log
from mastledge.consensus.relays import Relaying
from mastledge.consensus.state_machine import MEMBERSHIP, StateMachine, membership
from mastledge.consensus.timing import (
    AGAIN,
    ASKING,
    BEATS,
    CANDIDATE,
    COMPACT,
    EMPTY,
    FOLLOWER,
    LEADER,
    MANY,
    MENDS,
    PART,
)
from mastledge.consensus.worker_restrictions import ListExchange


class Member(Startup, ElectionRole, FollowerRole, LeaderRole, Relaying):
    """`step(now, input)` takes one of `inputs` and gives the `outputs` that follow from it, in their order;
    `wake_at()` is when it must be called with `Tick` at the latest.

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
        self.process = crc32(fresh[0].encode()) or 1
        self.lists = ListExchange()
        self.children, self.passed = {}, None  # who hears from here, and the leases that came through here
        self.granted = 0  # the latest time of one's own from which a lease was granted here
        self.parent, self.told_by, self.joined_at, self.tried = None, None, now, 0
        self.adopted, self.parent_mark, self.parent_at, self.parent_heard = {}, (0, 0), now, False
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
        self.rules, self.base_state = StateMachine(kept["state"], kept["last"]), deepcopy(kept["state"])
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

    # One step

    def step(self, now, input: inputs.Input) -> list[outputs.Output]:
        self.now = now
        self.input_handlers[type(input)](self, now, input)
        self.run(now)
        if self.records and not self.broken:
            self.token += 1
            self.pending[self.token] = self.log.last
            self.out.append(outputs.Persist(self.token, self.records))
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
            self.out.append(outputs.Send(to, message))

    def release(self):
        while self.held and self.held[0][0] <= self.synced:
            _, to, message = self.held.pop(0)
            self.out.append(outputs.Send(to, message))

    def event(self, name, **fields):
        self.out.append(outputs.LogEvent(name, fields))

    def on_tick(self, now, tick):
        pass

    def on_persisted(self, now, persisted):
        token = persisted.token
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
                self.event("disk_recovered")
        if self.phase == PART and self.role == FOLLOWER and self.leader and self.acked < self.safe:
            self.ack(self.told_by or self.leader, True, self.last_stamp)

    def on_disk_failed(self, now, failed):
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

    def on_proposal(self, now, proposal):
        self.mine[proposal.id] = proposal.change
        self.hand_in(proposal.id, proposal.change)
        self.again_at = self.again_at or now + AGAIN

    def on_forget_proposal(self, now, forget):
        self.mine.pop(forget.id, None)

    def on_share_restrictions(self, now, share):
        """News of workers that this one's own registry has told."""
        if not self.fan_out:
            self.on_worker_restrictions(now, self.name, self.life, share.restrictions)

    def on_endpoint_list_update(self, now, update):
        """This one's own registry has told a list or a change: entries as (worker, state)."""
        self.lists.own(update.registry, update.kind, update.entries, update.generation)

    def hand_in(self, id, change):
        if self.role == LEADER:
            self.take(id, change)
        elif self.leader is not None:
            self.send(self.leader, m.Propose(id, change))

    # Messages

    def on_message_received(self, now, received):
        sender, life, message = received.sender, received.incarnation, received.message
        if sender == self.name:
            return
        call = self.message_handlers[type(message)]
        self.words[sender] = (
            now,
            isinstance(message, m.DiscoverRequest | m.DiscoverResponse) and message.empty,
        )
        if isinstance(message, m.DiscoverRequest | m.DiscoverResponse | m.BootstrapCluster):
            call(self, now, sender, life, message)
        elif (
            self.phase == PART
            or isinstance(message, m.AppendEntries | m.InstallSnapshot)
            and self.phase == EMPTY
        ):
            call(self, now, sender, life, message)

    base_state, compact = None, COMPACT

    # What follows from it

    heard_at = last_stamp = acked = began = 0
    pre, vote_token, dirty = False, 0, False

    def run(self, now):
        if self.mend_at is not None and now >= self.mend_at:
            self.mend_at = now + MENDS
            if self.rules:
                self.token += 1
                self.pending = {self.token: self.log.last}
                self.out.append(outputs.Rewrite(self.token, self.all_records()))
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
        self.look_for_relay(now)
        self.relay(now)

    newest = resent = won_at = None

    input_handlers: ClassVar = {
        inputs.Tick: on_tick,
        inputs.MessageReceived: on_message_received,
        inputs.Persisted: on_persisted,
        inputs.DiskFailed: on_disk_failed,
        inputs.EndpointListUpdate: on_endpoint_list_update,
        inputs.ShareRestrictions: on_share_restrictions,
        inputs.Propose: on_proposal,
        inputs.ForgetProposal: on_forget_proposal,
        inputs.Restore: Startup.on_restore,
        inputs.Abandon: Startup.on_abandon,
        inputs.Leave: ElectionRole.on_leave,
    }
    message_handlers: ClassVar = {
        m.DiscoverRequest: Startup.on_discover_request,
        m.DiscoverResponse: Startup.on_discover_response,
        m.BootstrapCluster: Startup.on_bootstrap_cluster,
        m.VoteRequest: ElectionRole.on_vote_request,
        m.VoteResponse: ElectionRole.on_vote_response,
        m.TimeoutNow: ElectionRole.on_timeout_now,
        m.AppendEntries: lambda member, *fields: member.on_append_entries(*fields),
        m.InstallSnapshot: FollowerRole.on_install_snapshot,
        m.AppendResponse: LeaderRole.on_append_response,
        m.Propose: LeaderRole.on_propose,
        m.WorkerRestrictions: LeaderRole.on_worker_restrictions,
    }

    def wake_at(self):
        """When `Tick` has to be the input at the latest."""
        times = [self.ask_at if self.phase != PART else self.elect_at]
        if self.role == LEADER:
            times = [*self.beat_at.values(), self.now + self.beat]
            if self.in_force < self.commit:
                times.append(self.left_until)
            # What is due already has been looked at in this very step.
            times = [max(self.now + 1_000, min(times))]
        times += [at for at in (self.mend_at, self.again_at) if at is not None]
        times += self.relay_wakes_at()
        return min(times)
