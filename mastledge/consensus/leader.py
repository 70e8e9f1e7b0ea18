"""What a leader does: it takes changes, tells the others of them, and knows what is in force."""

from mastledge.consensus import messages as m
from mastledge.consensus import outputs
from mastledge.consensus.leases import shortest
from mastledge.consensus.state_machine import GONE, MEMBERSHIP, sound, wanted_voters
from mastledge.consensus.timing import BEATS, LEADER, MANY, NEWS, SLOW_BEATS, WAITING


class LeaderRole:
    """The part of `Member` that leads."""

    def news_of(self, now, name):
        """The news of workers that go with the next word to a member."""
        if self.fan_out:
            return self.lists.news_for(name)
        return list(self.newest.values()) if now < self.news_until else []

    def take(self, id, change):
        """A leader takes a change, once. Changes of the members wait for the one before."""
        if not sound(change):
            self.event("invalid_change", id=id, kind=str(change.get("kind"))[:40])
            return
        if any(entry.id == id for entry in self.log.behind(self.rules.applied, len(self.log.entries))):
            return
        if id in self.rules.results:
            return
        if change["kind"] == "relays" and (older := self.without_relays()):
            self.event("relays_refused", members=older)
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

    def without_relays(self):
        """Members of a version that knows no relays, or that have said nothing to this leader yet."""
        return sorted(name for name in self.members() if name != self.name and not self.processes.get(name))

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

    def on_append_response(self, now, sender, life, ack):
        if ack.term > self.term:
            self.raise_term(ack.term)
            return
        if self.role != LEADER:
            self.child_acked(now, sender, life, ack)
            return
        if ack.term < self.term and not self.fan_out:
            return
        if not self.knows(sender, life):
            if sender in self.members():
                # Its name is known in another life; what this one says counts for nothing until it is taken
                # in.
                self.admit(sender, life)
                return
            if not any(one["name"] == sender for one in self.gone()):
                return
        if not ack.process:
            self.adopt(now, sender)  # an older version hears from nobody else
        elif sender not in self.leases.holders and self.is_below(sender):
            self.adopt(now, sender)
        if ack.term < self.term:
            return
        self.lists.reported(sender, ack.lists)
        self.processes[sender] = ack.process
        self.echo[sender] = max(self.echo.get(sender, 0), ack.stamp)
        if not ack.yes:
            self.next[sender] = min(ack.hint, self.next.get(sender, 1) - 1, self.log.last) + 1
            self.next[sender] = max(1, self.next[sender])
            self.leases.heard(sender, now, ack.clock, ack.applied, ack.process)
            if ack.stamp and self.resent.get(sender) != ack.stamp:
                self.resent[sender] = ack.stamp
                self.beat_at[sender] = 0
            return
        self.remember(sender, life, 0, ack.safe_term, ack.safe)
        if ack.safe > self.match.get(sender, 0) and self.log.term(ack.safe) == ack.safe_term:
            self.match[sender] = ack.safe
        self.next[sender] = max(self.next.get(sender, 1), self.match.get(sender, 0) + 1)
        self.leases.heard(sender, now, ack.clock, ack.applied, ack.process)

    def on_propose(self, now, sender, life, propose):
        if self.role == LEADER:
            self.take(propose.id, propose.change)

    def on_worker_restrictions(self, now, sender, life, news):
        if self.fan_out:
            self.hear_news(news)
            return
        if self.role == LEADER:
            last = self.newest.get(news.registry)
            if last is None or news.generation >= last.generation:
                # What an older list kept out is told again by the newer one, as far as it still holds.
                self.newest[news.registry], self.news_until = news, now + NEWS
                self.out.append(outputs.RestrictionsReceived(news))
                self.hurry()
        elif self.leader is not None:
            self.send(self.leader, news)

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
        if self.fan_out != self.led_fan_out:
            # Relays begin, and until they do their part the leader goes on speaking to each.
            self.led_fan_out = self.fan_out
            for name in self.members():
                self.adopt(now, name)
        # Until an entry of its own term is agreed it does not know all that was agreed before.
        if majority > 0 and self.listens() and self.commit >= self.began:
            self.lease_until = max(self.lease_until, majority + shortest(self.lease))
        self.enforce(now)
        if self.waiting and self.settled():
            self.take(*self.waiting.pop(0))
        self.promote(now)
        self.beats(now, majority, now)

    def enforce(self, now):
        if self.fan_out:
            reached, over = self.enforce_tree(now)
        else:
            reached, over = self.enforce_each(now)
        self.left_until = over
        if reached > self.in_force:
            self.in_force = reached
            if not self.fan_out:
                self.hurry()  # relays hear it with the next beat: nobody acts on it

    def enforce_each(self, now):
        """(up to which entry all is in force, when the rest is at the latest)"""
        reached, over = min(self.commit, self.cover()), now
        for name in {*self.rules.members, *self.members(), *(one["name"] for one in self.gone())}:
            if name != self.name:
                at = self.leases.reached(name, now)
                reached = reached if at is None else min(reached, at)
                if at is not None and at < self.commit:
                    over = max(over, self.leases.over(name, self.commit))
        return reached, over

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
        names = self.direct(now) if self.fan_out else {*members, *(one["name"] for one in self.gone())}
        for name in self.beat_at.keys() - names:
            del self.beat_at[name]  # nobody wakes for it
        for name in sorted(names - {self.name}):
            if self.beat_at.get(name, 0) > at:
                continue
            voter = name in members and members[name]["votes"]
            self.beat_at[name] = now + self.beat * (1 if voter else BEATS // SLOW_BEATS)
            if name not in members and self.leases.left(name, now):
                continue
            following = self.next.get(name, self.log.last + 1 if voter else self.commit + 1)
            if following <= self.log.base:
                self.send(
                    name,
                    m.InstallSnapshot(self.term, self.log.base, self.log.base_term, self.base_state, now),
                )
                self.next[name] = self.log.base + 1
                continue
            entries = self.log.behind(following - 1)
            grant = 0
            if name in self.rules.members and self.commit >= self.began:
                # Only what the receiver has, or gets with this, may make its lease good.
                grant = self.leases.grant(name, majority, self.commit)
            self.send(
                name,
                m.AppendEntries(
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
                    self.news_of(now, name),
                    "",
                    self.lists.generations() if self.fan_out else {},
                ),
            )
            self.next[name] = following + len(entries)
            if self.next[name] <= self.log.last:
                self.beat_at[name] = now + 1_000
