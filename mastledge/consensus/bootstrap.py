"""What a member does until it takes part: it asks the others, is taken in, or begins a fleet.

Lives and the word at the start are this project's; docs/consensus.md.
"""

from mastledge.consensus import messages as m
from mastledge.consensus import outputs
from mastledge.consensus.log import Log
from mastledge.consensus.state_machine import StateMachine, genesis
from mastledge.consensus.timing import ASKED_AT_ONCE, ASKING, ASKS, EMPTY, FOLLOWER, FRESH, LEADER, PART


class Startup:
    """The part of `Member` that begins, and begins anew."""

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

    def on_discover_request(self, now, sender, life, ask):
        if ask.fleet and self.fleet and ask.fleet != self.fleet:
            return
        self.seen[sender], self.lives[sender] = (now, ask), life
        known = self.heard.get(sender)
        heard = known[1:] if known and known[0] == life else (0, 0, 0)
        # Who is empty here as well knows nothing of members but what its file says.
        there = sender in (self.members() if self.rules else self.listed)
        self.send(
            sender, m.DiscoverResponse(self.fleet, not self.fleet, self.form, self.digest, there, *heard)
        )
        if self.role == LEADER and there and not self.knows(sender, life):
            self.admit(sender, life)
        elif self.role == LEADER and there:
            self.adopt(now, sender)
        elif (
            self.fleet
            and self.rules
            and self.rules.applied <= 1
            and ask.empty
            and self.knows(sender, life)
            and not self.leader
        ):
            # It was there when the fleet began and has not been told.
            self.send(sender, m.BootstrapCluster(self.fleet, self.rules.snapshot()), safe=True)

    def admit(self, name, life):
        """A member comes as a new life; what the former one has promised is not expected of it."""
        if self.settled():
            self.take(f"life {name} {life} {self.log.last}", {"kind": "life", "name": name, "life": life})

    def on_discover_response(self, now, sender, life, told):
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
                "data_directory_stale",
                heard_term=told.heard_term,
                heard_last=told.heard_last,
                term=self.term,
                last=self.log.last,
                heard_by=sender,
            )
            fleet = self.fleet
            self.forget_all(self.fresh[0])
            self.held, self.told, self.seen, self.phase = [], {}, {}, EMPTY
            self.event("new_incarnation", life=self.life, fleet=fleet)
            return
        others = [name for name, one in self.told.items() if name in self.voters() and not one.empty]
        count = len(set(others) | ({self.name} if self.is_voter() else set()))
        if count > len(self.voters()) // 2:
            self.phase = PART
            self.event("joined", life=self.life, term=self.term, last=self.log.last)

    def on_bootstrap_cluster(self, now, sender, life, form):
        one = form.state["members"].get(self.name)
        if not self.fleet and one and one["life"] == self.life:
            self.begin(form.fleet, form.state)

    def begin(self, fleet, state):
        self.fleet, self.rules, self.log = fleet, StateMachine(state, 1), Log(1, 1)
        self.base_state, self.ends = self.rules.snapshot(), None
        self.term, self.commit, self.phase = 1, 1, PART
        self.records += [("identity", fleet, self.life), ("hard", 1, ""), ("snapshot", 1, 1, self.base_state)]
        self.event("formed", fleet=fleet, members=len(state["members"]))
        self.draw_election(self.now)

    def on_restore(self, now, restore):
        """An operator's word that a majority is lost: this one alone begins another fleet, with this state.

        Those of before are of another fleet from here on, and none of their words counts.
        """
        if self.role != FOLLOWER:
            self.follow(self.term, None)
        self.forget_all(restore.incarnation)
        self.held, self.told, self.seen, self.lives, self.heard, self.waiting = [], {}, {}, {}, {}, []
        self.leader, self.votes, self.ballots, self.stopped = None, None, {}, ""
        self.lease_until = self.in_force = self.left_until = self.given = 0
        self.forget_relays()
        self.begin(restore.fleet, restore.state)
        self.elect_at = now + self.beat

    def on_abandon(self, now, abandon):
        """An operator's word that its fleet is no more: it comes to the next one as an empty folder does."""
        if self.role != FOLLOWER:
            self.follow(self.term, None)
        self.event("abandoned", fleet=self.fleet, life=self.life)
        self.forget_all(abandon.incarnation)
        self.held, self.told, self.seen, self.lives, self.heard, self.waiting = [], {}, {}, {}, {}, []
        self.leader, self.votes, self.ballots, self.stopped = None, None, {}, ""
        self.lease_until = self.in_force = self.left_until = 0
        self.forget_relays()
        self.records, self.pending, self.phase, self.form = [], {}, EMPTY, False
        self.token += 1
        self.out.append(outputs.Rewrite(self.token, []))

    def there(self, now):
        """Members that have said something within a second and have not lost their folders."""
        return {name for name, (at, empty) in self.words.items() if now - at < FRESH and not empty}

    def ask(self, now):
        ask = m.DiscoverRequest(
            self.fleet, not self.fleet, self.form, self.digest, self.term, self.log.last_term, self.log.last
        )
        for name in self.to_be_asked():
            self.send(name, ask)

    def to_be_asked(self):
        """The voters, the first name, which forms a fleet, and some of the others in turn.

        All of them at each time would be as many messages as the square of the members.
        """
        first = {*self.voters(), *([min(self.listed)] if self.listed else [])} - {self.name}
        others = sorted({*self.listed} - first - {self.name})
        if len(others) > ASKED_AT_ONCE:
            self.asked = (self.asked + ASKED_AT_ONCE) % len(others)
            others = [*others[self.asked :], *others[: self.asked]][:ASKED_AT_ONCE]
        return sorted({*first, *others})

    asked = 0

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
                        self.send(name, m.BootstrapCluster(self.fleet, self.rules.snapshot()), safe=True)

    def told_fleet(self, sender):
        told = self.told.get(sender)
        return (
            told.fleet
            if told and told.fleet
            else next((one.fleet for one in self.told.values() if one.fleet), "")
        )
