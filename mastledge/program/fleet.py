"""One dispatcher among those that agree: its member, folder and links, and what of the program goes by the
rules.

Imported only where the configuration names `peers`.
"""

import uuid
from copy import deepcopy

from mastledge.consensus import inputs, messages, outputs
from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.leases import longest_lease_us
from mastledge.consensus.member import Member
from mastledge.consensus.persisted_state import PersistedState
from mastledge.consensus.roles import Role
from mastledge.consensus.worker_restrictions import OwnRestrictions
from mastledge.peers.link_context import LinkIdentity
from mastledge.peers.links import Links
from mastledge.program.fleet_api import LOOK, FleetApi
from mastledge.program.settings import flatten_settings, parse_settings
from mastledge.program.shared_lease import LeaseNotice, SharedLease
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import DataDirectoryError
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer
from mastledge.transport.connection import address_of
from mastledge.transport.loop import READ

OWN = ("me", "locality")  # settings that are a dispatcher's own, and stand in its file
RETELL = 2_500_000  # between two times that the list's restrictions are told again
CHANGES = 64  # of one process, under way
ASKED = b"\xc1R"  # begins what a dispatcher that starts asks, and the answers to it


class LeaseGuard:
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


class Fleet(FleetApi):
    """`program` is told of new rules by `agreed(rules)` and of workers that others know to be out by
    `news(ids)`.
    """

    def __init__(self, program, told, log):
        self.program, self.told, self.log, self.loop = program, told["peers"], log, program.loop
        self.name, self.document, self.seed = told["name"], told["document"], told["seed"]
        self.folder, self.notes = DataDirectory(self.told["folder"]), SharedLease(self.told["folder"], log)
        self.rule = LeaseGuard(self, self.told["without_lease"] == "serve")
        self.member = self.writer = self.links = self.timer = None
        self.answers, self.count, self.applied = {}, 0, -1
        self.held, self.own_restrictions, self.news = None, OwnRestrictions(), None
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
            self.folder.acquire()
        except DataDirectoryError:
            if not self.program.has_sibling_process:
                raise
            self.log("fleet_standby", folder=self.told["folder"])
            self.tasks = [self.loop.spawn(self.program.supervised(self.listens()), first=True)]
            return
        self.speak()

    def speak(self):
        kept, log = PersistedState(), self.log
        try:
            fleet = {"fleet": self.told["fleet"]} if self.told["fleet"] else {}
            self.journal = WriteAheadLog(
                self.folder, "agreement", {"name": self.name, **fleet}, kept, log
            ).open()
        except DataDirectoryError:
            self.folder.release()
            raise
        self.writer = Writer(self.journal)
        now = self.spoke_at = self.loop.now()
        configuration = MemberConfiguration(
            name=self.name,
            members=self.told["members"],
            may_bootstrap=self.told["form"],
            settings=self.shared(self.document),
            lease_us=self.told["lease"],
            new_incarnation=uuid.uuid4().hex[:16],
            new_fleet=uuid.uuid4().hex[:16],
            seed=self.seed,
        )
        self.member = Member(configuration, deepcopy(kept.value()), now)
        self.links = Links(self.loop, self, len(self.told["members"]), self.seed, log)
        if self.index:
            # The process before goes by its last lease for a while: until then nothing newer is said to hold
            # here.
            self.member.lease.standby_index = self.index
        self.links.start(self.told["listen"])
        vital, spawn = self.program.supervised, self.loop.spawn
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
        self.heard_until = max(self.heard_until, self.member.lease.lease_until if self.held else 0)
        self.index = max(
            self.index, self.member.state_machine.applied_index if self.member.state_machine else 0
        )
        self.log("fleet_handed_over", index=self.index, leads=self.member.role == Role.LEADER)
        self.leave()
        self.end()
        self.member = None

    def leave(self):
        """Another one leads from here on. The word goes out at once, as nothing runs here any more in a
        moment.
        """
        if self.member is not None:
            self.input(inputs.Leave())
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
        return self.member.no_lease_reason()

    # Two processes of one dispatcher

    def listens(self):
        """Goes by what the speaking process tells, until that gives the folder free."""
        taken = -1
        self.notes.report(0)
        while True:
            notice = self.notes.notice()
            if notice is not None and notice.index >= self.index:
                if notice.index > self.index or taken < 0:
                    self.index = notice.index
                    self.take_rules(notice.state)
                self.heard_until = max(self.heard_until, notice.lease_until)
            self.tell_lease(self.loop.now())
            if taken != self.index:
                # The decisions have had a turn since.
                yield (-1, 0, self.loop.now() + LOOK)
                taken = self.index
                self.notes.report(taken)
            yield (-1, 0, self.loop.now() + LOOK)
            try:
                self.folder.acquire()
            except DataDirectoryError:
                continue
            self.log("fleet_active", index=self.index)
            self.loop.spawn(self.program.supervised(self.takes_over()), first=True)
            return

    def takes_over(self):
        self.speak()
        yield (-1, 0, self.loop.now())

    def tells(self):
        """Has the process beside this one know what is agreed, where there is one."""
        to = None
        while True:
            member, now = self.member, self.loop.now()
            if self.program.has_sibling_process and member.state_machine is not None:
                report = self.notes.standby_report()
                pid, index = (report.process, report.index) if report is not None else (None, 0)
                applied = member.state_machine.applied_index
                if pid is not None and self.held and applied >= self.index:
                    if (
                        self.notes.publish(LeaseNotice(pid, applied, member.lease.lease_until, self.brief()))
                        and pid != to
                    ):
                        to, member.lease.standby_index = pid, member.state_machine.applied_index
                    member.lease.standby_index = (
                        max(member.lease.standby_index or 0, index)
                        if pid == to
                        else member.lease.standby_index
                    )
            elif not self.program.has_sibling_process:
                to = None
                self.notes.withdraw()
            # One that has handed over acts by its last lease; a process that has gone acts by none.
            if (
                member.lease.standby_index is not None
                and to is None
                and (
                    not self.program.has_sibling_process
                    or now > self.spoke_at + longest_lease_us(member.lease_us)
                )
            ):
                member.lease.standby_index = None
            yield (
                -1,
                0,
                now
                + (
                    4 * LOOK
                    if self.program.has_sibling_process or member.lease.standby_index is not None
                    else 20 * LOOK
                ),
            )

    def brief(self):
        state = self.member.state_machine.state
        return {
            name: state[name]
            for name in ("version", "settings", "settings_version", "lease", "out", "back", "gone", "members")
        }

    # What the member's decisions need of the program

    def link_identity(self):
        return LinkIdentity(self.member.fleet, self.name, self.member.incarnation)

    def member_address(self, name):
        text = self.member.address_of(name)
        if text is None:
            return None
        return address_of(text)

    def frame_received(self, name, life, content):
        if content[:2] == ASKED:
            if self.program.recovery is not None:
                self.program.recovery.receive(name, content[2:])
            return
        if content[:1] == b"\xc1":
            if self.copies is not None:
                self.copies.on_frame(name, content[1:])
            return
        message = messages.decode(content)
        self.input(inputs.MessageReceived(name, life, message))

    def timed(self):
        self.input(inputs.Tick())
        while True:
            yield (-1, 0, max(self.member.wake_at(), self.loop.now() + 500))
            if self.loop.now() >= self.member.wake_at():
                self.input(inputs.Tick())

    def written(self):
        while True:
            yield (self.writer.fd, READ, None)
            for result in self.writer.completed():
                if result.error is None:
                    self.input(inputs.Persisted(result.token))
                else:
                    self.links.log.write("disk_failed", why=str(result.error))
                    self.input(inputs.DiskFailed())

    def input(self, input):
        if self.member is None:
            return
        now = self.loop.now()
        due = self.member.wake_at()
        for output in self.member.step(now, input):
            self.carry_out(output)
        rules = self.member.state_machine
        if rules is not None and rules.applied_index != self.applied and rules.applied_index >= self.index:
            # Behind what the process before has told it would go back in time.
            self.applied = rules.applied_index
            self.links.resize(len(rules.members))
            self.take_rules(rules.state)
        self.tell_lease(now)
        if self.timer is not None and self.member.wake_at() < due and not isinstance(input, inputs.Tick):
            self.loop.wake(self.timer)
        self.longest = max(self.longest, self.loop.now() - now)

    def carry_out(self, output):
        """Does what a step of the member asks for."""
        match output:
            case outputs.Send():
                self.do_send(output)
            case outputs.Persist(token, records):
                self.writer.append(token, records)
            case outputs.Rewrite(token, records):
                self.writer.rewrite(token, records)
            case outputs.Committed(id, index, result):
                self.do_agreed(id, index, result.to_document())
            case outputs.RestrictionsReceived(restrictions):
                self.do_news(restrictions)
            case outputs.LogEvent(name, fields):
                self.do_event(name, fields)

    def do_send(self, output):
        self.links.send(output.to, messages.encode(output.message))

    def propose(self, id, change, told=None):
        """A change that the program itself wants; `told` gets what became of it, in a turn of its own."""
        self.proposals[id] = told
        self.input(inputs.Propose(id, {**change, "by": self.name, "at": 0}))

    def proposed(self, id, result):
        told = self.proposals.pop(id, None)
        self.input(inputs.ForgetProposal(id))
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
        if name == "entry_committed" and fields["kind"] == "noop":
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
        told = self.program.configuration["discovery"]
        return self.told["registry"] or f"{told[0]}:{told[1]}"

    def listed(self, kind, entries):
        """What this dispatcher's own registry has told: what others of that registry must keep off is passed
        on.
        """
        brief = [(entry[0], entry[3]) for entry in entries]
        generation = self.program.discovery.generation
        self.input(inputs.EndpointListUpdate(self.registry(), kind, brief, generation))
        if self.own_restrictions.update(kind, brief, generation):
            self.pass_on()
        self.take_news()

    def pass_on(self):
        self.input(inputs.ShareRestrictions(self.own_restrictions.to_message(self.registry())))

    def retold(self):
        while True:
            yield (-1, 0, self.loop.now() + RETELL)
            if (
                self.own_restrictions.generation
                and self.own_restrictions.restricted
                and self.program.discovery.answered
            ):
                self.pass_on()

    def take_news(self):
        """Another's newer list keeps off whom it restricts, until one's own is as new."""
        out = self.own_restrictions.kept_off_by(self.news)
        if out != self.program.excluded.restricted_by_fleet:
            generation = self.news and self.news.generation
            self.log(
                "workers_restricted_by_peers",
                out=sorted(out),
                generation=generation,
                own=self.own_restrictions.generation,
            )
            self.program.excluded.restricted_by_fleet = out
            self.program.refresh_excluded_workers()

    # The rules

    def shared(self, document):
        return {name: value for name, value in document.items() if name not in OWN}

    def whole(self, document, state):
        """The agreed settings with what is this dispatcher's own; SettingError names the key."""
        whole = {**document, **{name: self.document[name] for name in OWN if name in self.document}}
        # A member more takes its part before it may act, one less gives it up later: parts never sum to more
        # than all.
        count = len(state["members"]) + len(state["gone"]) if state else 0
        pairs = flatten_settings(whole)
        pairs["balancers"] = max(int(pairs.get("balancers", 1)), count)
        return parse_settings(pairs)

    def take_rules(self, state):
        try:
            settings = self.whole(state["settings"], state)
            self.unreadable = ""
        except ValueError as error:
            # Read well where it was handed in, so this program is of another version: better nothing than
            # half of it.
            self.unreadable = f"cannot read settings of version {state['settings_version']}: {error}"
            self.log("fleet_settings_unreadable", why=self.unreadable)
            self.program.lease_lapsed()
            return
        self.program.apply_committed(settings, state)
        if self.copies is not None and self.member is not None:
            self.copies.on_committed_state(state)

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
                self.program.lease_lapsed()
            self.loop.wake(self.program.lifecycle_task)

    def version(self):
        return (
            self.member.state_machine.version if self.member is not None and self.member.state_machine else 0
        )
