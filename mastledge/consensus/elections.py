"""Terms, votes, and the vote before the vote: Ongaro (2014), 3.4 and 9.6."""

from mastledge.consensus import messages as m
from mastledge.consensus.leases import Leases
from mastledge.consensus.relays import ADOPTED_LEASES
from mastledge.consensus.timing import CANDIDATE, FEW, FOLLOWER, LEADER, MANY


class ElectionRole:
    """The part of `Member` that elects a leader."""

    def on_leave(self, now, leave):
        """This process ends: the voter that has most of the log leads next, and nobody waits for a word in
        vain.
        """
        ready = (
            [name for name in self.voters() if name != self.name and self.match.get(name, 0) == self.log.last]
            if self.role == LEADER
            else []
        )
        if ready:
            self.send(max(ready, key=lambda name: (self.echo.get(name, 0), name)), m.TimeoutNow(self.term))

    def on_timeout_now(self, now, sender, life, lead):
        if lead.term == self.term and sender == self.leader and self.is_voter() and not self.broken:
            self.campaign(now, False)

    def raise_term(self, term):
        if term > self.term:
            self.follow(term, None)

    def follow(self, term, leader):
        if term > self.term:
            self.term, self.vote = term, ""
            self.records.append(("hard", term, ""))
        if self.role == LEADER:
            self.event("lost_leadership", term=self.term)
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

    def on_vote_request(self, now, sender, life, poll):
        heard = self.leader is not None and now < self.heard_at + (FEW - 1) * self.beat
        if poll.pre:
            yes = poll.term > self.term and self.up_to_date(poll) and not heard and self.role != LEADER
            self.send(sender, m.VoteResponse(poll.term if yes else self.term, yes, True))
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
        self.send(sender, m.VoteResponse(self.term, yes, False), safe=yes)

    def on_vote_response(self, now, sender, life, ballot):
        if not ballot.yes:
            self.raise_term(ballot.term)
            return
        if not ballot.pre:
            self.remember(sender, life, ballot.term)
        # A life that forgot what it had voted must not be counted as the one that remembers.
        if self.role == CANDIDATE and self.knows(sender, life):
            if ballot.pre == self.pre and ballot.term == self.term + self.pre:
                self.ballots[sender] = 1

    def draw_election(self, now):
        wait = FEW + (MANY - FEW) * self.chance()
        self.elect_at = now + int(wait * self.beat)

    def campaign(self, now, pre):
        self.role, self.leader, self.pre, self.ballots = CANDIDATE, None, pre, {}
        if not pre:
            self.term, self.vote = self.term + 1, self.name
            self.records.append(("hard", self.term, self.name))
            self.vote_token = self.token + 1
        poll = m.VoteRequest(self.term + pre, self.log.last_term, self.log.last, pre)
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
        self.won_at, self.processes, self.led_fan_out = now, {}, self.fan_out
        # Who heard from here as a follower goes on doing so until it has found another relay.
        self.adopted = {name: now + ADOPTED_LEASES * self.lease for name in self.children}
        self.children, self.parent = {}, None
        self.event("became_leader", term=self.term, last=self.log.last)
        self.extend(m.Entry(self.term, "", {"kind": "noop"}))
        self.began = self.log.last
        for id, change in self.mine.items():
            self.take(id, change)
