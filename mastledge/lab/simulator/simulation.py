"""The fleet in simulated time: the very decisions of the program (`balance`, `consensus`, `recovery`), and
models of all that is round them.

`Simulation(scenario, seed).play()` gives a record of the same shape as `Rig.run()`, so the judge, reports and
experiments read both. One seed replays all of it. What is a model here: sockets (a link takes 0.1 to 0.6 ms),
workers (as `stands.Worker`), discovery (as `stands.Agent`), disks, the start of a process (`BOOT`), and
clients (as `load.Clients`, drawn from the same seed, so the same jobs come at the same times). Copies of keys
are played by `copies` on the links and disks of `copying`, which also has when each hears who holds them; one
copy alone is refused. CPU costs nothing.
"""

from collections import deque
from copy import deepcopy
from types import SimpleNamespace

from mastledge.lab import copying, faults, outages, policies, schedule
from mastledge.lab.load import Clients
from mastledge.lab.rig import document, limits
from mastledge.lab.scenario import BadScenario
from mastledge.program.settings import flatten_settings, parse_settings
from mastledge.recovery.admission_ramp import AdmissionRamp, AdmittedJobOutcome, PeerLoad
from mastledge.recovery.newest_list import NewestList
from mastledge.recovery.recovery_record import (
    ClockReading,
    LearnedWorker,
    RecoveryRecord,
    StoredWorker,
    UnfinishedLoad,
)
from mastledge.recovery.restored_state import WorkerIdentity, inherited_workers, restore
from mastledge.replication import inputs
from mastledge.replication.inputs import JobOutcome
from mastledge.replication.outputs import Verdict
from mastledge.scheduling.decisions import FollowEndpoints, KillJob, LaunchJob, RejectJob, RevokeLaunch

LINK = 100, 600  # microseconds on the way, least and most
BOOT = 200_000, 320_000  # from the start of a process to its first step
KEPT = 200_000  # what was launched later than this before a kill is not on the disk
FRONT = 100_000  # between two looks of the front at who is ready
KEY_AGAIN = 500_000  # hold off where a key can't be kept
PRINT = b"p" * 16
REST = 60_000_000  # after the last job came
ROOM = 250_000  # hold off of the door where what is in force is not known
PLAYED = {
    "kill", "all", "stop", "outages", "restart", "drain", "ready", "gone", "list_late", "list_silent",
    "list_down",
    "cut", "list_empty", "worker",
}  # fmt: skip
CALLED = {"exclude", "include"}

OUTCOME_BY_STATUS = {200: AdmittedJobOutcome.COMPLETED, 503: AdmittedJobOutcome.REJECTED}


def entries_of(told):
    """(id, state, start) as the decisions take them: one zone, one kind, one size."""
    return [(0, id, state, born, 0, 0, 1.0) for id, state, born in told]


class Job:
    """One try of a client at one dispatcher."""

    __slots__ = ("n", "name", "kind", "attempt", "who", "sent", "open", "launches", "until", "client",
                 "began", "key", "claim", "reply")  # fmt: skip


class Launch:
    __slots__ = ("job", "n", "wkr", "at", "sent", "began", "ended", "life", "dead", "state", "send_by")


class Worker:
    def __init__(self, world, name, told):
        self.world, self.name, self.told, self.state, self.born = world, name, told, "ready", 0
        self.queue, self.running = deque(), {}  # in the order of their start
        self.troubles = faults.Troubles()

    def warmth(self):
        cold = self.told.cold_ms * 1000
        if not self.born or not cold:
            return 1.0
        low = self.told.cold_from
        return min(1.0, low + (1 - low) * (self.world.now - self.born) / cold)

    def arrive(self, launch):
        world, job = self.world, launch.job
        if self.troubles.deaf(world.now):
            return  # nobody reads it, and its walltime ends it
        low, high = self.told.run_ms
        work = int((low + (high - low) * world.random.random()) * 1000)
        world.note("launch", worker=self.name, job=job.name, key=job.key, type=job.kind.name, work=work)
        launch.state = trouble = self.troubles.now(world.now, world.chance)
        if trouble in ("error", "malformed"):
            world.at(world.link(), world.tidings, launch, "error")
            return
        if trouble == "silent":
            return
        self.queue.append((launch, int(work * self.troubles.slow(world.now))))
        self.serve()

    def serve(self):
        world = self.world
        while self.queue and len(self.running) < self.told.slots:
            launch, work = self.queue.popleft()
            given_up = launch.ended or launch.life != world.dispatchers[launch.job.who].life
            if self.told.drops and given_up:
                world.note("dropped", worker=self.name, job=launch.job.name)
                continue
            self.running[launch] = True
            if launch.state != "lost":
                world.at(world.link(), world.tidings, launch, "started")
            world.at(int(work / self.warmth()), self.done, launch, self.born)

    def done(self, launch, born):
        if born != self.born:
            return  # it died in a former life
        world, job = self.world, launch.job
        self.running.pop(launch, None)
        world.note("effect", worker=self.name, job=job.name, key=job.key, type=job.kind.name)
        world.at(world.link(), world.tidings, launch, "lost" if launch.state == "lost" else "completed")
        self.serve()

    def restart(self):
        world = self.world
        for launch in [*self.running, *(launch for launch, _ in self.queue)]:
            world.at(world.link(), world.tidings, launch, "lost")
        self.running, self.queue, self.born = {}, deque(), world.now
        self.troubles = faults.Troubles()


class Dispatcher:
    """The process: the decisions, the door, and what it has heard of the list."""

    def __init__(self, world, name, n):
        self.world, self.name, self.n, self.life = world, name, n, 0
        self.up = self.ready = False
        self.until, self.deferred = 0, []
        self.kept, self.late, self.silent = None, 0, False
        self.jobs, self.scheduler, self.ramp, self.restored = {}, None, None, None
        self.newest_list = NewestList()
        self.claims, self.numbers = {}, 0

    def boot(self):
        """A process is started; it takes its first step a moment later."""
        self.life += 1
        self.up, self.ready = True, False
        self.world.note("started", who=self.name)
        low, high = BOOT
        self.world.at(low + self.world.draw(high - low), self.begin, self.life)

    def begin(self, life):
        if life != self.life or not self.up:
            return
        world = self.world
        now = world.now
        settings = deepcopy(world.settings)
        settings["me"] = self.n
        seed = (world.seed * 64 + self.n) * 1000 + self.life
        self.jobs, self.count, self.wake_at, self.generation, self.listed = {}, 0, None, None, {}
        self.out, self.heard_restricted = frozenset(), {}
        self.scheduler = world.decisions(settings, seed, now)
        recovery = world.scenario.recovery
        self.ramp, self.restored = None, None
        if recovery:
            bound = int(recovery.get("open_ms", 5_000)) * 1000
            self.ramp = AdmissionRamp(seed, now, bound, settings["most_hold_off"])
            kept, self.kept = self.kept, None
            validity_us = int(recovery.get("list_ms", 60_000)) * 1000
            self.restored = restore(kept or RecoveryRecord(), ClockReading(now, now, ""), "lab", validity_us)
            self.newest_list = NewestList()
            self.newest_list.restore(self.restored.generation, self.restored.restricted())
            if self.restored.workers:
                some = [(id, one.state, one.started_at) for id, one in self.restored.workers.items()]
                self.scheduler.update_endpoints(now, "cached", entries_of(some))
        if world.keys is not None:
            world.keys.hosts[self.name].start()
        if world.agreeing:
            world.nodes[self.name].start()
        world.at(world.link(), self.ask_list, self.life)
        self.look(life)

    def crash(self):
        """All that it held is gone; connections break."""
        world = self.world
        if world.scenario.recovery and self.scheduler is not None:
            self.kept = self.keep()
        self.up = self.ready = False
        self.life += 1
        if world.agreeing and world.nodes[self.name].up:
            world.nodes[self.name].crash()
        self.scheduler = self.ramp = self.restored = None
        if world.keys is not None:
            world.keys.hosts[self.name].crash()
        claims, self.claims = self.claims, {}
        for job in claims.values():
            if job.n is None or not job.open:  # the others stand among the jobs
                job.open = False
                world.at(world.link(), world.client_lost, job, "ConnectionError")
        for job in list(self.jobs.values()):
            if job.open:
                job.open = False
                world.at(world.link(), world.client_lost, job, "ConnectionError")
        self.jobs = {}

    def keep(self):
        """What its folder has of it, as `program.recovery` writes it down."""
        now, out, workers = self.world.now, {}, {}
        for wkr in self.scheduler.workers.values():
            workers[wkr.id] = StoredWorker(wkr.state, wkr.born, ["", 0])
            known = [launch for launch in wkr.in_flight.values() if launch.sent_at <= now - KEPT]
            if known:
                last = max(launch.job.deadline for launch in known)
                out[wkr.id] = UnfinishedLoad(wkr.born, ["", 0], sum(launch.load for launch in known), last)
        learned = {id: LearnedWorker(*told[:3], []) for id, told in self.scheduler.learned_state().items()}
        return RecoveryRecord(
            unix_us=now,
            registry="lab",
            generation=self.generation or 0,
            listed_at=now,
            workers=workers,
            loads=out,
            learned_at=now,
            learned=learned,
        )

    # Whether it serves

    def may_act(self):
        if not self.world.agreeing:
            return True
        node = self.world.nodes[self.name]
        return node.up and node.member.may_act(node.clock())

    def look(self, life):
        """Is it ready by now? Asked often until it is, and for the size of its part of the workers."""
        if life != self.life or not self.up:
            return
        world, now = self.world, self.world.now
        if self.ramp is not None:
            slots = self.scheduler.usable_slots(now)
            self.ramp.resize(slots, world.settings["dispatchers"])
            self.ramp.update(now)
        if not self.ready and self.may_act() and self.scheduler.ready:
            self.ready = True
            if self.ramp is not None:
                self.take_over(now)
        if self.restored is not None and self.newest_list.restricted:
            self.exclude_by_newer_list()
        world.at(100_000 if self.ready else 10_000, self.look, life)

    def take_over(self, now):
        workers = {wkr.id: WorkerIdentity(wkr.born, ["", 0]) for wkr in self.scheduler.workers.values()}
        inherited = inherited_workers(self.restored, now, workers)
        self.scheduler.restore_learned(now, {id: one.fields() for id, one in inherited.items()})
        others = [one for one in self.world.dispatchers.values() if one is not self and one.up]
        some = [others[self.world.draw(len(others))] for _ in range(min(5, len(others)))]
        loads = [PeerLoad(one.ramp.in_flight, not one.ramp.limited) for one in some if one.ramp]
        self.ramp.use_peer_loads(loads)
        self.ramp.start(now)

    def exclude_by_newer_list(self):
        known = {wkr.id: wkr.born for wkr in self.scheduler.workers.values()}
        excluded = self.newest_list.excluded(self.generation, known)
        if self.generation is not None and not excluded:
            self.newest_list.restricted = {}
        self.by_hand(excluded)

    def by_hand(self, excluded_by_newer_list=None):
        world, now = self.world, self.world.now
        if excluded_by_newer_list is not None:
            self.excluded_by_newer_list = excluded_by_newer_list
        agreed, back = (), {}
        if (
            world.agreeing
            and world.nodes[self.name].up
            and world.nodes[self.name].member.state_machine is not None
        ):
            state = world.nodes[self.name].member.state_machine.state
            agreed = state["out"]
        out = frozenset({*agreed, *self.excluded_by_newer_list})
        if out != self.out:
            self.out = out
            self.scheduler.set_excluded(now, out, back)
            for job in self.jobs.values():
                for launch in job.launches:
                    if launch.wkr.name in out and not launch.sent and not launch.ended:
                        self.hear(launch, "unsent")

    excluded_by_newer_list = frozenset()

    # The list

    def ask_list(self, life):
        """The whole list, once discovery answers."""
        if life != self.life or not self.up:
            return
        world = self.world
        if self.silent or world.list_down:
            world.at(50_000, self.ask_list, life)
            return
        last = world.visible(self)
        known = world.as_of(last)
        self.listed_as(last, "whole", [(id, *told) for id, told in known.items() if told[0] != "gone"])

    def listed_as(self, generation, kind, entries):
        world = self.world
        self.generation = generation
        world.note("told", who=self.name, generation=generation)
        self.scheduler.update_endpoints(world.now, kind, entries_of(entries))
        self.pull()

    def changed(self, life):
        """All that has become visible since the last time: a watch is in order."""
        if life != self.life or self.scheduler is None or self.generation is None:
            return
        if self.silent or self.world.list_down:
            self.world.at(50_000, self.changed, life)
            return
        last = self.world.visible(self)
        if last > self.generation:
            entries = {}
            for generation, _, some in self.world.changes:
                if self.generation < generation <= last:
                    entries.update(some)
            self.listed_as(last, "changes", [(id, *told) for id, told in entries.items()])

    # Jobs

    def frozen(self, call, *fields):
        """Stopped: it comes once the process goes on."""
        world = self.world
        if self.until > world.now:
            world.at(self.until - world.now + world.draw(2000), call, *fields)
            return True
        return False

    def arrive(self, job, life):
        world = self.world
        if life != self.life or self.scheduler is None:
            world.client_lost(job, "ConnectionError")
            return
        if self.frozen(self.arrive, job, life):
            return
        now = world.now
        job.until = now + int(job.kind.walltime_ms * 1000)
        job.began = now
        if not self.may_act():
            self.answer(job, 503, min(ROOM, world.settings["most_hold_off"]), door=True)
            return
        if self.ramp is not None:
            hold_off = self.ramp.admit(now, bool(job.attempt))
            if hold_off is not None:
                self.answer(job, 503, hold_off, door=True)
                return
        if world.keys is None or not job.key:
            self.take(job)
            return
        self.numbers += 1
        job.claim = self.numbers
        self.claims[job.claim] = job
        self.key_step(inputs.Offer(job.claim, "", job.key.encode(), PRINT, job.until - now))
        world.at(job.until - now, self.key_late, job, self.life)

    def take(self, job):
        """Into the decisions."""
        world, now = self.world, self.world.now
        self.count += 1
        job.n = self.count
        self.jobs[job.n] = job
        types = [one.name for one in world.scenario.clients.queue_types]
        self.scheduler.job_arrived(now, job.n, types.index(job.kind.name), 0, 0, 1.0, 0.0, 0, job.until - now)
        self.pull()

    # Keys

    def key_step(self, input_):
        host = self.world.keys.hosts[self.name]
        host.step(host.node, input_)

    def key_told(self, told):
        """What becomes of a keyed job, as its node says."""
        job, verdict = self.claims.get(told.job_id), told.verdict
        if job is None:
            if verdict is Verdict.GRANTED:
                self.key_step(inputs.JobEnded(told.job_id, JobOutcome.RELEASED))
            return
        if verdict is Verdict.GRANTED:
            self.take(job)
            return
        del self.claims[told.job_id]
        if verdict in (Verdict.REPLICATED, Verdict.NOT_REPLICATED):
            if job.reply is not None:
                kept = verdict is Verdict.REPLICATED or job.reply[0] != 200
                self.say(job, *(job.reply if kept else (500, 0, "")))
        elif verdict is Verdict.ANSWERED:
            self.answer(job, told.status, 0, told.content.decode())
        elif verdict is Verdict.UNSURE:
            self.answer(job, 409)
        elif verdict is Verdict.REFUSED:
            self.answer(job, told.status)
        else:
            self.answer(job, 503, KEY_AGAIN)

    def key_late(self, job, life):
        if life == self.life and self.claims.get(job.claim) is job and job.n is None:
            del self.claims[job.claim]
            self.key_step(inputs.ClientLeft(job.claim))
            self.answer(job, 500)

    def answer(self, job, status, hold_off=0, result="", door=False):
        if not job.open:
            return
        job.open = False
        if job.n is not None and job.claim in self.claims:
            # What it came to has to be kept before it is told.
            how = {200: JobOutcome.ANSWERED, 503: JobOutcome.RELEASED}.get(status, JobOutcome.UNSURE)
            job.reply = status, hold_off, result
            content = result.encode() if how is JobOutcome.ANSWERED else b""
            self.key_step(inputs.JobEnded(job.claim, how, status, content))
            return
        self.say(job, status, hold_off, result, door)

    def say(self, job, status, hold_off=0, result="", door=False):
        world = self.world
        if self.ramp is not None and not door:
            outcome = OUTCOME_BY_STATUS.get(status, AdmittedJobOutcome.FAILED)
            self.ramp.record_outcome(world.now, outcome, world.now - job.began)
        world.at(world.link(), world.replied, job, status, hold_off, result)

    def left(self, job):
        """Its client has gone. A keyed job that the decisions have is seen through."""
        if job.claim and self.claims.get(job.claim) is job:
            if job.n is None:
                del self.claims[job.claim]
                self.key_step(inputs.ClientLeft(job.claim))
                job.open = False
                if self.ramp is not None:
                    self.ramp.record_outcome(
                        self.world.now, AdmittedJobOutcome.FAILED, self.world.now - job.began
                    )
            return
        if job.open and job.n is not None and self.jobs.get(job.n) is job:
            job.open = False
            if self.ramp is not None:
                self.ramp.record_outcome(
                    self.world.now, AdmittedJobOutcome.FAILED, self.world.now - job.began
                )
            self.scheduler.job_abandoned(self.world.now, job.n)
            self.pull()

    def hear(self, launch, what):
        """News of a launch from its worker, or of its connection."""
        world, job = self.world, launch.job
        if launch.life != self.life or launch.ended or self.scheduler is None:
            return
        if self.frozen(self.hear, launch, what):
            return
        now = world.now
        if what == "started":
            launch.began = now
            self.scheduler.launch_started(now, job.n, launch.n)
        else:
            launch.ended = True
            if what == "completed":
                self.answer(job, 200, 0, f"{launch.wkr.name} {job.name}")
            self.scheduler.launch_ended(now, job.n, launch.n, what, now - launch.at, not job.open, ())
            if not job.open and all(one.ended for one in job.launches):
                self.jobs.pop(job.n, None)
        self.pull()

    def pull(self):
        world = self.world
        now = world.now
        while (decision := self.scheduler.decide(now)) is not None:
            self.carry_out(now, decision)
        at = self.scheduler.wake_at()
        if at is not None:
            at = max(at, now + 1)
            if self.wake_at is None or at < self.wake_at or self.wake_at <= now:
                self.wake_at = at
                world.at(at - now, self.wake, self.life, at)

    def carry_out(self, now, decision):
        match decision:
            case LaunchJob(job, worker, within):
                self.do_launch(now, job, worker, within)
            case RejectJob(job, retry_after):
                self.do_reject(now, job, retry_after)
            case KillJob(job):
                self.do_kill(now, job)
            case RevokeLaunch(job, number):
                self.do_revoke(now, job, number)
            case FollowEndpoints():
                pass  # every change of the list reaches the dispatchers of the simulation
            case _:
                raise TypeError(f"no such decision: {decision}")

    def wake(self, life, at):
        if life != self.life or not self.up or self.wake_at != at:
            return
        if self.frozen(self.wake, life, at):
            return
        self.wake_at = None
        self.pull()

    def do_launch(self, now, n, worker, within):
        world, job = self.world, self.jobs[n]
        launch = Launch()
        launch.job, launch.n, launch.wkr = job, len(job.launches), world.workers[worker]
        launch.at, launch.sent, launch.began, launch.ended, launch.life = now, False, 0, False, self.life
        launch.dead, launch.state = launch.wkr.born, ""
        launch.send_by = min(job.until, now + within) if within else job.until
        job.launches.append(launch)
        world.at(world.link(), self.write, launch)
        world.at(max(1, job.until - now), self.hear, launch, "timeout")

    def write(self, launch):
        """Its last byte goes out, where that is still lawful."""
        if launch.life != self.life or not self.up or launch.ended:
            return
        if self.frozen(self.write, launch):
            return
        world = self.world
        if not self.may_act() or launch.wkr.name in self.out or world.now >= launch.send_by:
            self.hear(launch, "unsent")
            return
        if launch.wkr.state == "gone":
            world.at(world.link(), self.hear, launch, "unreachable")
            return
        launch.sent = True
        world.at(world.link(), world.lands, launch)

    def do_reject(self, now, n, hold_off):
        self.ends(self.jobs[n], 503, hold_off)

    def do_kill(self, now, n):
        self.ends(self.jobs[n], 500, 0)

    def ends(self, job, status, hold_off):
        self.answer(job, status, hold_off)
        if all(launch.ended for launch in job.launches):
            self.jobs.pop(job.n, None)

    def do_revoke(self, now, n, which):
        launch = self.jobs[n].launches[which] if n in self.jobs else None
        if launch is not None and not launch.ended:
            self.world.at(0, self.hear, launch, "revoked" if launch.sent else "unsent")


class Keys(copying.Fleet):
    """Copies of keys on the simulation's clock: their links, disks, and when each hears who holds them."""

    def __init__(self, world, names, seed, repeats, walltime):
        self.world = world
        super().__init__(names, seed, repeats["copies"], delay=500, entries=repeats.get("entries", 100_000))
        self.keep = int(repeats.get("keep_ms", 60_000)) * 1000
        self.bytes_ = int(repeats.get("bytes", 64 << 20))
        self.patience = self.keep + 3 * walltime + 2 * schedule.LEASE

    @property
    def now(self):
        return self.world.now

    @now.setter
    def now(self, value):
        pass  # the simulation's own

    def at(self, wait, call, *fields):
        self.world.at(wait, call, *fields)

    def told(self, host, told):
        self.world.dispatchers[host.name].key_told(told)


class Member(schedule.Node):
    """A dispatcher's part in the agreement, on the schedule's simulated links and disks."""

    def step(self, member, input):
        super().step(member, input)
        world = self.fleet
        dispatcher = world.dispatchers.get(self.name)
        if self.up and dispatcher is not None and dispatcher.scheduler is not None:
            dispatcher.by_hand()


class Simulation(schedule.Fleet):
    def __init__(self, scenario, seed, policy="", show=None):
        self.check_played(scenario)
        self.agreeing = scenario.agree
        names = [f"n{n}" for n in range(scenario.dispatchers)]
        super().__init__(names if self.agreeing else [], seed, delay=500, drift=0.0)
        self.nodes = {name: Member(self, name, 1.0) for name in (names if self.agreeing else [])}
        self.scenario, self.seed, self.show = scenario, seed, show
        self.decisions = policies.named(policy)
        self.settings = parse_settings(flatten_settings(document(scenario)))
        self.settings["may_message"] = False
        self.events, self.spells, self.late, self.lag = [], [], 0.0, 0.0
        self.workers = {
            f"w{n}": Worker(self, f"w{n}", scenario.workers) for n in range(scenario.workers.count)
        }
        self.dispatchers = {name: Dispatcher(self, name, n) for n, name in enumerate(names)}
        self.changes, self.list_down, self.list_calls = [(1, 0, {})], False, 0
        self.clients = Clients(self, scenario.clients, seed, scenario.seconds)
        self.front = {name: True for name in names}
        self.began = 0
        self.tries, self.open = {}, len(self.clients.times)
        walltime = int(max(one.walltime_ms for one in scenario.clients.queue_types) * 1000)
        repeats = scenario.repeats
        self.keys = Keys(self, names, seed + 7, repeats, walltime) if repeats else None

    @staticmethod
    def check_played(scenario):
        for n, step in enumerate(scenario.steps):
            what = step.fault or step.call
            if what not in PLAYED | CALLED:
                raise BadScenario(f"steps[{n}]: {what} is not emulated; run it with processes")
            if step.build:
                raise BadScenario(f"steps[{n}].build: not emulated; run it with processes")
        if scenario.repeats and scenario.repeats.get("copies", 1) < 2:
            raise BadScenario("repeats.copies: one copy is not emulated; run it with processes")
        for what in ("builds", "rates", "ahead"):
            if getattr(scenario, what):
                raise BadScenario(f"{what} are not emulated; run it with processes")
        if scenario.agree and scenario.lease_ms * 1000 != schedule.LEASE:
            raise BadScenario(f"lease_ms: only {schedule.LEASE // 1000} is emulated")

    def check(self, node):
        """What the schedules look at with each step is theirs; here the judge reads the record."""

    def note(self, kind, **fields):
        self.events.append({"at": self.now, "kind": kind, **fields})

    def link(self):
        return LINK[0] + self.draw(LINK[1] - LINK[0])

    def chance(self):
        return float(self.random.random())

    def slow_disk(self):
        return 200 + self.draw(1_500)

    # The run

    def play(self):
        """To its end; the record."""
        told = self.scenario
        for dispatcher in self.dispatchers.values():
            dispatcher.boot()
        if not self.run(30_000_000, lambda: all(one.ready for one in self.dispatchers.values())):
            return self.record(False, "not all dispatchers are ready in 30 s")
        self.note("began")
        self.began = self.now + 250_000
        self.look_front()
        for n, at in enumerate(self.clients.times):
            self.at(self.began - self.now + int(at * 1e6), self.come, n)
        for step in told.steps:
            self.at(self.began - self.now + int(step.at * 1e6), self.befall, step)
        end = self.began + int(told.seconds * 1e6)
        for second in range(int(told.seconds)):
            self.run(min(end, self.began + (second + 1) * 1_000_000))
            if self.show is not None:
                self.tell(second)
        if self.open and not self.run(end + REST, lambda: not self.open):
            return self.record(False, f"clients are not at an end {REST // 1_000_000} s after the last came")
        return self.record(True, "")

    def tell(self, second):
        since = self.now - 1_000_000
        recent = [e["status"] for e in self.events if e["kind"] == "answer" and e["at"] > since]
        self.show(
            f"{second + 1:6.2f} s  served {recent.count(200):4d}, rejected {recent.count(503):4d}, "
            f"killed {recent.count(500):3d} (simulated)"
        )

    def record(self, whole, why):
        told = self.scenario
        return {
            "scenario": told.name,
            "seed": self.seed,
            "simulated": True,
            "complete": whole,
            "why": why,
            **limits(told),
            "spells": self.spells,
            "late_ms": 0.0,
            "lag_ms": 0.0,
            "events": self.events,
        }

    # Clients

    def look_front(self):
        for name, dispatcher in self.dispatchers.items():
            ready = dispatcher.up and dispatcher.ready and dispatcher.may_act()
            if self.front[name] != ready:
                self.note("ready", who=name, yes=ready)
            self.front[name] = ready
        self.at(FRONT, self.look_front)

    def pick(self):
        up = [name for name, yes in self.front.items() if yes] or list(self.front)
        return up[int(self.clients.random.integers(len(up)))]

    def come(self, n, attempt=0, again=False):
        kind = self.scenario.clients.queue_types[self.clients.kinds[n]]
        job = Job()
        job.client, job.attempt, job.kind = n, attempt, kind
        job.name, job.key = f"j{n}.{'again' if again else attempt}", f"k{n}" if self.clients.keyed[n] else ""
        job.open, job.launches, job.n, job.who = True, [], None, self.pick()
        job.claim, job.reply = 0, None
        dispatcher = self.dispatchers[job.who]
        if not dispatcher.up or dispatcher.until > self.now and not self.front[job.who]:
            # Nothing was sent, so nobody has taken it.
            self.front[job.who] = False
            self.again(job, 0.02)
            return
        job.sent = self.now
        self.note(
            "sent",
            job=job.name,
            key=job.key,
            type=kind.name,
            who=job.who,
            walltime=int(kind.walltime_ms) * 1000,
            attempt=attempt,
        )
        self.tries[job.name] = job
        self.at(self.link(), dispatcher.arrive, job, dispatcher.life)
        patience = self.clients.told.patience_ms
        wait = int(kind.walltime_ms * 1000 + 1_000_000)
        self.at(min(wait, int(patience * 1000)) if patience else wait, self.tired, job, bool(patience))

    def tired(self, job, left):
        """Its client waits no longer."""
        if self.tries.pop(job.name, None) is None:
            return
        if left:
            self.note("left", job=job.name, who=job.who, ms=(self.now - job.sent) / 1000)
            self.at(self.link(), self.dispatchers[job.who].left, job)
            self.again(job, 0.05)
        else:
            self.client_ends(job, "TimeoutError")

    def client_lost(self, job, why):
        if self.tries.pop(job.name, None) is not None:
            self.client_ends(job, why)

    def client_ends(self, job, why):
        self.note("lost", job=job.name, who=job.who, why=why, ms=(self.now - job.sent) / 1000)
        if self.clients.told.again_when_lost:
            self.again(job, 0.1)
        else:
            self.over_with(job)

    def replied(self, job, status, hold_off, result):
        if self.tries.pop(job.name, None) is None:
            return
        self.note(
            "answer",
            job=job.name,
            status=status,
            ms=(self.now - job.sent) / 1000,
            who=job.who,
            type=job.kind.name,
            result=result,
            retry=f"{hold_off / 1e6:.3f}" if hold_off else "",
        )
        if status in (429, 503):
            self.again(job, hold_off / 1e6 or 0.05)
        else:
            self.over_with(job)

    def again(self, job, wait):
        if job.attempt < self.clients.told.retries and not job.name.endswith("again"):
            self.at(int(wait * 1e6), self.come, job.client, job.attempt + 1)
        else:
            self.over_with(job)

    def over_with(self, job):
        """Its client is done, or comes once more after its answer."""
        once_more = self.clients.again[job.client]
        if once_more and not job.name.endswith("again"):
            self.at(int(once_more * 1e6), self.come, job.client, 1, True)
        else:
            self.open -= 1

    def lands(self, launch):
        """At its worker, unless that has died under the way there."""
        worker = launch.wkr
        if worker.born != launch.dead:
            self.at(self.link(), self.tidings, launch, "lost")
            return
        worker.arrive(launch)

    def tidings(self, launch, what):
        """A worker's news go to the dispatcher that sent the launch, if that life of it is still there."""
        self.dispatchers[launch.job.who].hear(launch, what)

    # Discovery

    def change(self, worker, state):
        self.workers[worker].state = state
        self.tell_change({worker: (state, self.workers[worker].born)})

    def tell_change(self, entries):
        generation = self.changes[-1][0] + 1
        self.changes.append((generation, self.now, entries))
        for worker, (state, _) in entries.items():
            self.note("listed", worker=worker, state=state, generation=generation)
        for dispatcher in self.dispatchers.values():
            wait = self.link() + int(dispatcher.late * 1e6)
            self.at(wait, dispatcher.changed, dispatcher.life)

    def visible(self, dispatcher):
        seen = [g for g, at, _ in self.changes if self.now >= at + dispatcher.late * 1e6]
        return seen[-1] if seen else 1

    def as_of(self, last):
        known = {id: ("ready", 0) for id in self.workers}
        for generation, _, entries in self.changes:
            if generation <= last:
                known.update(entries)
        return known

    # What befalls it

    def befall(self, step):
        if step.call:
            self.ask(step)
            return
        spell = {"who": step.who, "fault": step.fault, "from": self.now, "to": float("inf")}
        self.spells.append(spell)
        if step.fault not in ("kill", "stop", "cut"):
            spell["to"] = self.now + int(step.seconds * 1e6)  # else whatever it is lasts until it is over
        getattr(self, "do_" + step.fault)(step, spell)

    def over(self, spell):
        spell["to"] = self.now

    def ask(self, step):
        id = f"call{len(self.events)}"
        change = (
            {"kind": "out", "worker": step.worker}
            if step.call == "exclude"
            else {"kind": "back", "worker": step.worker, "at": self.now, "cold_for": 1}
        )
        if self.agreeing:
            self.propose(step.who, id, {**change, "by": step.who})

    def whom(self, step):
        return self.dispatchers[step.who]

    def do_kill(self, step, spell):
        one = self.whom(step)
        one.crash()
        if step.seconds:
            self.at(int(step.seconds * 1e6), self.back, one, spell)

    def do_all(self, step, spell):
        spell["to"] = 0
        for name, one in self.dispatchers.items():
            own = {"who": name, "fault": "kill", "from": self.now, "to": float("inf")}
            self.spells.append(own)
            one.crash()
            self.at(int(step.seconds * 1e6), self.back, one, own)

    def back(self, one, spell, then=None):
        one.boot()
        self.until_ready(one, one.life, spell, then)

    def until_ready(self, one, life, spell, then):
        if life != one.life:
            spell["to"] = self.now  # a later fault has come
            return
        if one.ready:
            spell["to"] = self.now
            if then is not None:
                then()
            return
        self.at(20_000, self.until_ready, one, life, spell, then)

    def do_stop(self, step, spell):
        one = self.whom(step)
        one.until = self.now + int(step.seconds * 1e6)
        if self.agreeing:
            self.nodes[step.who].until = one.until
        self.at(int(step.seconds * 1e6), self.over, spell)

    def do_cut(self, step, spell):
        others = [step.to] if step.to else [name for name in self.dispatchers if name != step.who]
        pairs = {(step.who, other) for other in others} | {(other, step.who) for other in others}
        self.cut |= pairs
        self.at(int(step.seconds * 1e6), self.cut.difference_update, pairs)
        self.at(int(step.seconds * 1e6), self.over, spell)

    def do_restart(self, step, spell):
        self.reborn(step.worker)

    def reborn(self, name):
        self.workers[name].restart()
        self.note("reborn", worker=name)
        self.change(name, "ready")

    def do_drain(self, step, spell):
        self.change(step.worker, "draining")

    def do_ready(self, step, spell):
        self.change(step.worker, "ready")

    def do_gone(self, step, spell):
        self.change(step.worker, "gone")

    def do_list_late(self, step, spell):
        self.whom(step).late = step.amount
        self.at(int(step.seconds * 1e6), setattr, self.whom(step), "late", 0)

    def do_list_silent(self, step, spell):
        self.whom(step).silent = True
        self.at(int(step.seconds * 1e6), setattr, self.whom(step), "silent", False)

    def do_list_down(self, step, spell):
        self.list_down = True
        self.at(int(step.seconds * 1e6), setattr, self, "list_down", False)

    def do_list_empty(self, step, spell):
        """It tells that there is nobody, and later of all that there are."""
        self.tell_change({name: ("gone", worker.born) for name, worker in self.workers.items()})
        self.at(int(step.seconds * 1e6), self.all_again)

    def all_again(self):
        self.tell_change({name: (worker.state, worker.born) for name, worker in self.workers.items()})

    def do_worker(self, step, spell):
        self.workers[step.worker].troubles.add(self.now, step)

    def do_outages(self, step, spell):
        self.outage(0, int(step.amount), step)

    def outage(self, n, count, step):
        """As `outages.befall` has it with processes, in simulated time."""
        if n >= count:
            return
        one = outages.drawn(self.random, self.dispatchers, self.workers)
        self.note("outage", n=n, drawn=one)
        left = {"n": len(one["dead"])}
        if one["cold"]:
            self.reborn(one["cold"])
        if one["cut"] and self.agreeing:
            self.do_cut(SimpleNamespace(who=one["cut"], to="", seconds=1.0), {"to": 0})

        def up():
            left["n"] -= 1
            if not left["n"]:
                self.note("all_up", n=n)
                self.at(int((step.seconds + outages.REST) * 1e6), self.outage, n + 1, count, step)

        def die(name):
            spell = {"who": name, "fault": "kill", "from": self.now, "to": float("inf")}
            self.spells.append(spell)
            self.dispatchers[name].crash()
            self.at(int(one["down"] * 1e6), self.back, self.dispatchers[name], spell, up)

        for name, at in zip(one["dead"], one["at"], strict=True):
            self.at(int(at * 1e6), die, name)
