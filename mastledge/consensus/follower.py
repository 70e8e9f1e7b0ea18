"""What a member takes from the leader: entries, snapshots, what is agreed, and its lease."""

from mastledge.consensus import messages as m
from mastledge.consensus import outputs
from mastledge.consensus.leases import shortest
from mastledge.consensus.log import Log
from mastledge.consensus.state_machine import MEMBERSHIP, StateMachine
from mastledge.consensus.timing import FOLLOWER, PART


class FollowerRole:
    """The part of `Member` that follows a leader."""

    def on_append_entries(self, now, sender, life, append):
        if append.term < self.term:
            self.ack(sender, False, 0)
            return
        leader = append.leader or sender
        if append.leader and (self.is_voter() or leader == self.name):
            return  # voters hear the leader itself
        if self.leader != leader or append.term > self.term or self.role != FOLLOWER:
            self.follow(append.term, leader)
        self.hear_of_leader(now, sender, append)
        for name, known in append.heard.items():
            self.remember(name, *known)
        for news in append.news:
            self.hear_news(news)
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
            self.granted = max(self.granted, grant)
        if self.answers(sender, append) and (not self.records or self.broken):
            self.ack(sender, True, append.stamp)
        self.hurry_children()

    def hear_of_leader(self, now, sender, message):
        """Somebody has told of it: the leader itself, or a relay."""
        self.heard_at, self.last_stamp, self.told_by = now, message.stamp, sender
        self.draw_election(now)
        if message.leader:
            self.hear_relay(now, sender, (message.term, message.stamp))
        if self.fan_out and isinstance(message, m.AppendEntries):
            # What was to be heard there the last time, and was not, is told from here.
            self.lists.reported(sender, message.lists)
            for news in self.lists.news_for(sender):
                self.send(sender, news)

    def hear_news(self, news):
        """Another's news of workers, for the host of this member."""
        if self.fan_out:
            news = self.lists.told(news)
        if news is not None:
            self.out.append(outputs.RestrictionsReceived(news))

    def listens(self):
        """Whether this is a member in the life that the fleet knows."""
        me = self.rules.members.get(self.name)
        return me is not None and me["life"] == self.life

    def ack(self, to, yes, stamp):
        self.acked = self.safe
        applied = self.cover()
        # Up to what is agreed it is the leader's log; behind that it may not be.
        hint = self.commit if self.rules else 0
        self.send(
            to,
            m.AppendResponse(
                self.term,
                yes,
                self.safe,
                self.log.term(self.safe) or 0,
                applied,
                stamp,
                self.now + self.offset,
                hint,
                self.process,
                self.lists.generations() if self.fan_out else {},
            ),
        )

    def on_install_snapshot(self, now, sender, life, install):
        if install.term < self.term:
            self.ack(sender, False, 0)
            return
        leader = install.leader or sender
        if install.leader and (self.is_voter() or leader == self.name):
            return
        if self.leader != leader or install.term > self.term or self.role != FOLLOWER:
            self.follow(install.term, leader)
        self.hear_of_leader(now, sender, install)
        if install.last > self.commit:
            if not self.fleet:
                self.fleet = self.told_fleet(sender)
                if not self.fleet:
                    return
                self.records.append(("identity", self.fleet, self.life))
                self.records.append(("hard", self.term, self.vote))
                self.phase = PART
                self.event("admitted", fleet=self.fleet, life=self.life)
            if self.log.term(install.last) == install.last_term:
                # What stands behind it may have been said to be safe here, and counts.
                self.log.compact(install.last)
            else:
                self.log = Log(install.last, install.last_term)
                self.safe = min(self.safe, install.last)
                self.pending = {token: min(last, install.last) for token, last in self.pending.items()}
            self.rules, self.ends = StateMachine(install.state, install.last), None
            self.base_state, self.commit = self.rules.snapshot(), install.last
            self.records.append(("snapshot", install.last, install.last_term, self.base_state))
            self.event("snapshot_installed", last=install.last)
            for id in [id for id in self.mine if id in self.rules.results]:
                del self.mine[id]
                self.out.append(outputs.Committed(id, self.commit, self.rules.results[id]))
        if not self.records or self.broken:
            self.ack(sender, True, install.stamp)

    def agree(self, commit):
        """Applies what is agreed up to `commit`, in its order."""
        while self.commit < commit and not self.stopped:
            entry = self.log.entry(self.commit + 1)
            try:
                result = self.rules.apply(self.commit + 1, entry)
            except (ValueError, KeyError, TypeError) as error:
                # To go on without it would be to act on other rules than the rest.
                self.stopped = f"cannot follow what is agreed: {error}"
                self.event("halted", why=self.stopped)
                return
            self.commit += 1
            self.event(
                "entry_committed",
                index=self.commit,
                version=result["version"],
                kind=entry.change["kind"],
                why=result.get("why", ""),
            )
            if entry.id in self.mine:
                del self.mine[entry.id]
                self.out.append(outputs.Committed(entry.id, self.commit, result))
        if self.commit - self.log.base >= self.compact:
            self.log.compact(self.commit)
            self.base_state, self.ends = self.rules.snapshot(), None
            self.records.append(("snapshot", self.log.base, self.log.base_term, self.base_state))
        self.ends = None
