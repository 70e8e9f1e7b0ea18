"""One dispatcher among those that agree: its member, folder and links, and what of the program goes by the
rules.

Imported only where the configuration names `peers`.
"""

import time
import uuid
from copy import deepcopy

import orjson

from mastledge.agreement import messages
from mastledge.agreement.kept import Kept
from mastledge.agreement.leases import longest
from mastledge.agreement.member import Member
from mastledge.agreement.patches import difference
from mastledge.agreement.restrictions import OwnList
from mastledge.agreement.rules import LEAST_FAN_OUT, MOST_FAN_OUT, fan_out_is_good
from mastledge.agreement.timing import LEADER
from mastledge.peers.links import Links
from mastledge.program.beside import Notes
from mastledge.program.settings import flat, plain_map
from mastledge.protocol.control import Answer, No
from mastledge.recovery import snapshots
from mastledge.store.folder import BadFolder, Folder
from mastledge.store.journal import Journal
from mastledge.store.writer import Writer
from mastledge.transport.connection import address_of
from mastledge.transport.loop import READ

PATIENCE = 700_000  # of a caller, who waits for 1 s
LOOK = 5_000
OWN = ("me", "locality")  # settings that are a dispatcher's own, and stand in its file
RETELL = 2_500_000  # between two times that the list's restrictions are told again
CHANGES = 64  # of one process, under way
MOST_NAMED = 5  # names in one message
ASKED = b"\xc1R"  # begins what a dispatcher that starts asks, and the answers to it


class Rule:
    """What is asked before a launch is decided, and again before its last byte."""

    def __init__(self, fleet, serves):
        self.fleet, self.serves = fleet, serves
        self.without = self.since = 0  # microseconds served without a lease, where that is chosen

    def may_act(self, now):
        if self.fleet.holds(now):
            if self.since:
                self.without, self.since = self.without + now - self.since, 0
            return True
        if self.serves:
            self.since = self.since or now
        return self.serves

    def unbound(self, now):
        return self.without + (now - self.since if self.since else 0)


class Fleet:
    """`program` is told of new rules by `agreed(rules)` and of workers that others know to be out by
    `news(ids)`.
    """

    def __init__(self, program, told, log):
        self.program, self.told, self.log, self.loop = program, told["peers"], log, program.loop
        self.name, self.document, self.seed = told["name"], told["document"], told["seed"]
        self.folder, self.notes = Folder(self.told["folder"]), Notes(self.told["folder"], log)
        self.rule = Rule(self, self.told["without_lease"] == "serve")
        self.member = self.writer = self.links = self.timer = None
        self.answers, self.count, self.applied = {}, 0, -1
        self.held, self.own_list, self.news = None, OwnList(), None
        self.longest, self.unreadable = 0, ""
        # What the process beside this one, which speaks, has told: up to which entry, and until when it
        # holds.
        self.index = self.heard_until = self.spoke_at = 0
        self.tasks = []
        self.copies, self.proposals = None, {}  # of keys, where dispatchers hold them for one another

    def begin(self):
        """Takes the folder and speaks, or listens to the process of this dispatcher that does; else
        BadFolder.
        """
        try:
            self.folder.hold()
        except BadFolder:
            if not self.program.beside:
                raise
            self.log("fleet_listens", folder=self.told["folder"])
            self.tasks = [self.loop.spawn(self.program.vital(self.listens()), first=True)]
            return
        self.speak()

    def speak(self):
        kept, log = Kept(), self.log
        try:
            fleet = {"fleet": self.told["fleet"]} if self.told["fleet"] else {}
            self.journal = Journal(self.folder, "agreement", {"name": self.name, **fleet}, kept, log).open()
        except BadFolder:
            self.folder.release()
            raise
        self.writer = Writer(self.journal)
        now = self.spoke_at = self.loop.now()
        self.member = Member(
            self.name,
            self.told["members"],
            self.told["form"],
            self.shared(self.document),
            self.told["lease"],
            deepcopy(kept.value()),
            (uuid.uuid4().hex[:16], uuid.uuid4().hex[:16]),
            self.seed,
            now,
        )
        self.links = Links(
            self.loop, self.who, self.address, self.heard, len(self.told["members"]), self.seed, log
        )
        if self.index:
            # The process before goes by its last lease for a while: until then nothing newer is said to hold
            # here.
            self.member.shown = self.index
        self.links.begin(self.told["listen"])
        vital, spawn = self.program.vital, self.loop.spawn
        self.timer = spawn(vital(self.timed()), first=True)
        self.tasks = [
            spawn(vital(self.written()), first=True),
            self.timer,
            spawn(vital(self.retold())),
            spawn(vital(self.tells()), first=True),
        ]

    def hand_over(self):
        """Another process of this dispatcher speaks from here on; this one goes by the lease that it has."""
        if self.member is None:
            return
        self.heard_until = max(self.heard_until, self.member.lease_until if self.held else 0)
        self.index = max(self.index, self.member.rules.applied if self.member.rules else 0)
        self.log("fleet_hands_over", index=self.index, leads=self.member.role == LEADER)
        self.leave()
        self.end()
        self.member = None

    def leave(self):
        """Another one leads from here on. The word goes out at once, as nothing runs here any more in a
        moment.
        """
        if self.member is not None:
            self.input("leaves")
            self.links.flush()

    def end(self):
        for task in self.tasks:
            self.loop.cancel(task)
        self.tasks = []
        if self.member is not None:
            self.links.close()
            self.loop.forget(self.writer.fd)
            self.writer.close()
            self.folder.release()

    def holds(self, now):
        """Whether what is in force is known here."""
        if self.unreadable:
            return False
        return now < self.heard_until or (self.member is not None and self.member.may_act(now))

    def why(self):
        if self.unreadable or self.member is None:
            return self.unreadable or "the process beside this one has told nothing that holds"
        return self.member.why()

    # Two processes of one dispatcher

    def listens(self):
        """Goes by what the speaking process tells, until that gives the folder free."""
        taken = -1
        self.notes.take(0)
        while True:
            told = self.notes.hear()
            if told is not None and told["index"] >= self.index:
                if told["index"] > self.index or taken < 0:
                    self.index = told["index"]
                    self.take_rules(told["state"])
                self.heard_until = max(self.heard_until, told["lease_until"])
            self.tell_lease(self.loop.now())
            if taken != self.index:
                # The decisions have had a turn since.
                yield (-1, 0, self.loop.now() + LOOK)
                taken = self.index
                self.notes.take(taken)
            yield (-1, 0, self.loop.now() + LOOK)
            try:
                self.folder.hold()
            except BadFolder:
                continue
            self.log("fleet_speaks", index=self.index)
            self.loop.spawn(self.program.vital(self.takes_over()), first=True)
            return

    def takes_over(self):
        self.speak()
        yield (-1, 0, self.loop.now())

    def tells(self):
        """Has the process beside this one know what is agreed, where there is one."""
        to = None
        while True:
            member, now = self.member, self.loop.now()
            if self.program.beside and member.rules is not None:
                pid, index = self.notes.listener()
                if pid is not None and self.held and member.rules.applied >= self.index:
                    if (
                        self.notes.say(pid, member.rules.applied, member.lease_until, self.brief())
                        and pid != to
                    ):
                        to, member.shown = pid, member.rules.applied
                    member.shown = max(member.shown or 0, index) if pid == to else member.shown
            elif not self.program.beside:
                to = None
                self.notes.alone()
            # One that has handed over acts by its last lease; a process that has gone acts by none.
            if (
                member.shown is not None
                and to is None
                and (not self.program.beside or now > self.spoke_at + longest(member.lease))
            ):
                member.shown = None
            yield (-1, 0, now + (4 * LOOK if self.program.beside or member.shown is not None else 20 * LOOK))

    def brief(self):
        state = self.member.rules.state
        return {
            name: state[name]
            for name in ("version", "settings", "settings_version", "lease", "out", "back", "gone", "members")
        }

    # What the member's decisions need of the program

    def who(self):
        return self.member.fleet, self.name, self.member.life

    def address(self, name):
        text = self.member.address(name)
        if text is None:
            return None
        return address_of(text)

    def heard(self, name, life, content):
        if content[:2] == ASKED:
            if self.program.recovering is not None:
                self.program.recovering.heard(name, content[2:])
            return
        if content[:1] == b"\xc1":
            if self.copies is not None:
                self.copies.heard(name, content[1:])
            return
        message = messages.decode(content)
        self.input("heard", name, life, message)

    def timed(self):
        self.input("time")
        while True:
            yield (-1, 0, max(self.member.wake_at(), self.loop.now() + 500))
            if self.loop.now() >= self.member.wake_at():
                self.input("time")

    def written(self):
        while True:
            yield (self.writer.fd, READ, None)
            for token, error in self.writer.done():
                if error is None:
                    self.input("saved", token)
                else:
                    self.links.grumble("disk_failed", why=str(error))
                    self.input("broken")

    def input(self, what, *fields):
        if self.member is None:
            return
        now = self.loop.now()
        due = self.member.wake_at()
        for output, *rest in self.member.step(now, what, *fields):
            getattr(self, "do_" + output)(*rest)
        rules = self.member.rules
        if rules is not None and rules.applied != self.applied and rules.applied >= self.index:
            # Behind what the process before has told it would go back in time.
            self.applied = rules.applied
            self.links.resize(len(rules.members))
            self.take_rules(rules.state)
        self.tell_lease(now)
        if self.timer is not None and self.member.wake_at() < due and what != "time":
            self.loop.wake(self.timer)
        self.longest = max(self.longest, self.loop.now() - now)

    def do_send(self, to, message):
        self.links.send(to, messages.encode(message))

    def do_save(self, token, records):
        self.writer.save(token, records)

    def do_rewrite(self, token, records):
        self.writer.rewrite(token, records)

    def propose(self, id, change, told=None):
        """A change that the program itself wants; `told` gets what became of it, in a turn of its own."""
        self.proposals[id] = told
        self.input("propose", id, {**change, "by": self.name, "at": 0})

    def proposed(self, id, result):
        told = self.proposals.pop(id, None)
        self.input("forget", id)
        if told is not None and self.member is not None:
            told(result)
        return
        yield

    def do_agreed(self, id, index, result):
        if id in self.proposals:
            self.loop.spawn(self.proposed(id, result))
            return
        self.answers[id] = index, result
        while len(self.answers) > CHANGES:
            del self.answers[next(iter(self.answers))]

    def do_event(self, name, fields):
        if name == "agreed" and fields["kind"] == "noop":
            return
        self.log("fleet_" + name, **fields)

    def do_news(self, news):
        if news.registry == self.registry() and (
            self.news is None or news.generation >= self.news.generation
        ):
            self.news = news
            self.take_news()

    # The worker list

    def registry(self):
        told = self.program.told["discovery"]
        return self.told["registry"] or f"{told[0]}:{told[1]}"

    def listed(self, kind, entries):
        """What this dispatcher's own registry has told: what others of that registry must keep off is passed
        on.
        """
        brief = [(entry[0], entry[3]) for entry in entries]
        generation = self.program.discovery.generation
        self.input("listed", self.registry(), kind, brief, generation)
        if self.own_list.listed(kind, brief, generation):
            self.pass_on()
        self.take_news()

    def pass_on(self):
        self.input("passed", self.own_list.news(self.registry()))

    def retold(self):
        while True:
            yield (-1, 0, self.loop.now() + RETELL)
            if self.own_list.generation and self.own_list.restricted and self.program.discovery.answered:
                self.pass_on()

    def take_news(self):
        """Another's newer list keeps off whom it restricts, until one's own is as new."""
        out = self.own_list.out(self.news)
        if out != self.program.heard_out:
            generation = self.news and self.news.generation
            self.log("heard_out", out=sorted(out), generation=generation, own=self.own_list.generation)
            self.program.heard_out = out
            self.program.recompose()

    # The rules

    def shared(self, document):
        return {name: value for name, value in document.items() if name not in OWN}

    def whole(self, document, state):
        """The agreed settings with what is this dispatcher's own; BadSetting names the key."""
        whole = {**document, **{name: self.document[name] for name in OWN if name in self.document}}
        # A member more takes its part before it may act, one less gives it up later: parts never sum to more
        # than all.
        count = len(state["members"]) + len(state["gone"]) if state else 0
        pairs = flat(whole)
        pairs["balancers"] = max(int(pairs.get("balancers", 1)), count)
        return plain_map(pairs)

    def take_rules(self, state):
        try:
            settings = self.whole(state["settings"], state)
            self.unreadable = ""
        except ValueError as error:
            # Read well where it was handed in, so this program is of another version: better nothing than
            # half of it.
            self.unreadable = f"cannot read settings of version {state['settings_version']}: {error}"
            self.log("fleet_unreadable", why=self.unreadable)
            self.program.lapse()
            return
        self.program.agreed(settings, state)
        if self.copies is not None and self.member is not None:
            self.copies.placed(state)

    def tell_lease(self, now):
        held = self.holds(now)
        if held != self.held:
            self.held = held
            self.log(
                "lease",
                held=held,
                why="" if held else self.why(),
                version=self.version(),
            )
            if not held and not self.rule.serves:
                self.program.lapse()
            self.loop.wake(self.program.life)

    def version(self):
        return self.member.rules.version if self.member is not None and self.member.rules else 0

    # What operators ask for

    def calls(self):
        return {
            "/api/agreed": {b"GET": self.agreed},
            "/api/history": {b"GET": self.history},
            "/api/settings": {b"GET": self.settings, b"POST": self.change_settings},
            "/api/settings/": {b"GET": self.settings_of},
            "/api/members": {b"POST": self.change_members},
            "/api/relays": {b"POST": self.change_relays},
            "/api/snapshot": {b"GET": self.snapshot},
            "/api/restore": {b"POST": self.restore},
        }

    def json(self, told, status=200, headers=()):
        return Answer(
            status,
            orjson.dumps(told, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode(),
            [*headers],
            "application/json",
        )

    def speaking(self):
        if self.member is None:
            raise No(503, "here only: the process beside this one speaks for this dispatcher")
        return self.member

    def agreed(self, request):
        member, now = self.speaking(), self.loop.now()
        state = member.rules.state if member.rules else None
        left = max(0, member.lease_until - now) if member.may_act(now) else 0
        return self.json(
            {
                "name": self.name,
                "fleet": member.fleet,
                "life": member.life,
                "version": self.version(),
                "settings_version": state["settings_version"] if state else 0,
                "in_force": bool(state) and member.in_force >= member.commit,
                "term": member.term,
                "leader": member.leader or "",
                "leads": member.role == LEADER,
                "fan_out": member.fan_out,
                "relay": member.parent or "" if member.fan_out and not member.is_voter() else "",
                "heard_by": sorted(member.children),
                "lease_left_ms": left // 1000,
                "lease_ms": member.lease // 1000,
                "members": state["members"] if state else {},
                "out": state["out"] if state else [],
                "out_here": sorted(self.program.handover.told["out"]),
                "heard_out": sorted(self.program.heard_out),
                "why": self.unreadable or ("" if left else member.why()),
                "served_without_lease_ms": self.rule.unbound(now) // 1000,
                "disk": "failing" if member.broken else "good",
                "longest_write_us": self.writer.longest,
                "longest_step_us": self.longest,
                "frames_sent": self.links.sent,
                "frames_got": self.links.got,
                "bytes_sent": self.links.bytes_sent,
                "bytes_got": self.links.bytes_got,
            }
        )

    def state(self):
        if self.speaking().rules is None:
            raise No(503, f"nothing is agreed here yet: {self.member.why()}")
        return self.member.rules.state

    def history(self, request):
        return self.json({"history": self.state()["history"]})

    def settings(self, request):
        state = self.state()
        return self.json(state["settings"], headers=[(b"etag", b'"%d"' % state["settings_version"])])

    def settings_of(self, version, request):
        document = self.state()["documents"].get(version)
        if document is None:
            raise No(404, f"no settings of version {version} are kept")
        return self.json(document, headers=[(b"etag", b'"%s"' % version.encode())])

    def change_settings(self, request):
        expects = request.headers.get(b"if-match", b"").decode("latin-1").strip('W/" ')
        if not expects.isdecimal():
            raise No(428, "If-Match has to name the version that is to be changed")
        state = self.state()
        if int(expects) != state["settings_version"]:
            raise No(412, f"settings are of version {state['settings_version']}, not {expects}")
        try:
            document = orjson.loads(request.body)
            if not isinstance(document, dict):
                raise ValueError("settings are one JSON object")
            document = self.shared(document)
            self.whole(document, state)
        except (ValueError, TypeError, AttributeError) as error:
            raise No(400, str(error)) from None
        result = yield from self.changed(self.settings_change(state, document, int(expects)))
        return result

    def settings_change(self, state, document, expects):
        """The whole document, or only what differs where all members know that form."""
        changes = difference(state["settings"], document) if state.get("fan_out") else None
        if changes:
            return {"kind": "patch", "changes": changes, "expects": expects}
        return {"kind": "settings", "settings": document, "expects": expects}

    def change_relays(self, request):
        """How many dispatchers hear from one; 0: all from the leader."""
        member = self.speaking()
        try:
            fan_out = orjson.loads(request.body)["fan_out"]
            if fan_out != 0 and not fan_out_is_good(fan_out):
                raise ValueError(f"the fan-out is neither 0 nor from {LEAST_FAN_OUT} to {MOST_FAN_OUT}")
        except (ValueError, KeyError, TypeError) as error:
            raise No(400, f"{type(error).__name__}: {error}") from None
        if member.role != LEADER:
            raise No(409, f"ask the leader: {member.leader or 'nobody leads'}")
        if older := member.without_relays():
            raise No(409, f"not heard, or of a version without relays: {', '.join(older[:MOST_NAMED])}")
        return (yield from self.changed({"kind": "relays", "fan_out": fan_out}))

    def change_members(self, request):
        try:
            change = orjson.loads(request.body)
            kind, name = change["kind"], change["name"]
            if kind not in ("add", "remove") or not isinstance(name, str) or not name:
                raise ValueError(f"no change of members: {kind!r}")
            if kind == "add":
                address_of(change["address"])
        except (ValueError, KeyError, TypeError) as error:
            raise No(400, f"{type(error).__name__}: {error}") from None
        # Refused at once where it is plain; what crosses another change is refused when it is agreed.
        members = self.state()["members"]
        if (kind == "add") == (name in members):
            raise No(409, f"{name} is {'a member already' if kind == 'add' else 'no member'}")
        return (
            yield from self.changed(
                {key: change[key] for key in ("kind", "name", "address") if key in change}
            )
        )

    def snapshot(self, request):
        """What is agreed, as it is here; asked of one with a lease it is all that is in force."""
        state = self.state()
        return self.json(snapshots.packed(state, self.member.fleet, self.name, time.time_ns() // 1000))

    def restore(self, request):
        """Begins a fleet with a snapshot, or with what is kept here; or leaves one that is no more."""
        member, now = self.speaking(), self.loop.now()
        known = member.rules.state if member.rules else None
        why = {b"accept-loss": "formed, loss accepted", b"desert": ""}.get(bytes(request.body))
        try:
            told = snapshots.unpacked(request.body) if why is None else None
        except snapshots.BadSnapshot as error:
            raise No(400, str(error)) from None
        state = told["state"] if told else known
        lease, heard = member.may_act(now) and not self.unreadable, member.there(now)
        if why == "":
            if lease:
                raise No(409, "this fleet runs: its majority answers")
            if known is None:
                raise No(409, "nothing is kept here that could be left")
            self.input("desert", uuid.uuid4().hex[:16])
            return f"{self.name} has left its fleet, and comes to the next one as new"
        no = snapshots.refused(self.name, state, member.fleet, known, lease, heard, told)
        if no:
            raise No(409, no)
        try:
            self.whole(state["settings"], state)
        except ValueError as error:
            raise No(400, f"its settings can't be read: {error}") from None
        life, holder = uuid.uuid4().hex[:16], ""
        if self.copies is not None and self.copies.node is not None:
            holder = self.copies.id
        what = why or f"restored from version {state['version']}"
        after = snapshots.succeeding(state, self.name, life, holder, what, self.name, time.time_ns() // 1000)
        self.log("fleet_restored", version=after["version"], before=member.fleet, what=what)
        self.applied = -1
        self.input("restore", uuid.uuid4().hex[:16], life, after)
        return f"version {after['version']}: {what}; the others come with empty folders, or by fleet desert"

    def exclude(self, worker):
        return (yield from self.changed({"kind": "out", "worker": worker}))

    def include(self, worker):
        cold_for = self.program.told["settings"]["cold_for"]
        return (
            yield from self.changed(
                {"kind": "back", "worker": worker, "at": time.time_ns() // 1000, "cold_for": cold_for}
            )
        )

    def changed(self, change):
        """Hands a change in and waits until it is in force, or for as long as a caller does."""
        self.speaking()
        self.count += 1
        id = f"{self.name}.{self.member.life}.{self.seed & 0xffff}.{time.time_ns()}.{self.count}"
        change = {**change, "by": self.name, "at": change.get("at") or time.time_ns() // 1000}
        last = self.loop.now() + PATIENCE
        self.input("propose", id, change)
        try:
            while id not in self.answers:
                self.speaking()
                if self.loop.now() >= last:
                    raise No(503, f"here only: {self.member.why() or 'no leader has answered'}")
                yield (-1, 0, self.loop.now() + LOOK)
            index, result = self.answers[id]
            if result.get("status", 200) != 200:
                raise No(result["status"], result["why"])
            while self.speaking().in_force < index and self.loop.now() < last:
                yield (-1, 0, self.loop.now() + LOOK)
        finally:
            self.answers.pop(id, None)
            if self.member is not None:
                self.input("forget", id)
        text = f"version {result['version']}" + (f": {result['why']}" if "why" in result else "")
        etag = [(b"etag", b'"%d"' % result["version"])]
        if self.member.in_force >= index:
            return Answer(200, text + " is in force", etag)
        left = max(1, (self.member.left_until - self.loop.now()) // 1000)
        return Answer(
            202, f"{text} is in force in {left} ms at the latest", [*etag, (b"in-force-in-ms", b"%d" % left)]
        )
