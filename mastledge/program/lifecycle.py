"""The dispatcher from start to exit: one object, and the phases it goes through."""

import errno
import os
import resource
import signal
import time
from copy import deepcopy

from mastledge.balance import Balancer
from mastledge.program.connection_handoff import ConnectionHandoff
from mastledge.program.operator_api import OperatorApi
from mastledge.program.upgrade_state import UpgradeState
from mastledge.protocol.client_listener import ClientListener
from mastledge.protocol.control import Control
from mastledge.protocol.discovery import BadList, Discovery
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.routing.router import Router
from mastledge.transport.budget import Budget
from mastledge.transport.connection import BACKLOG, bound, steer
from mastledge.transport.loop import READ, Loop, Queue

STARTING, WAITING, SERVING, DRAINING, LEAVING, FINISHING, ENDED = (
    "starting",
    "waiting for workers",
    "serving",
    "draining",
    "leaving",
    "finishing",
    "ended",
)
NEXT = {
    STARTING: (WAITING,),
    WAITING: (SERVING, DRAINING, LEAVING),
    SERVING: (DRAINING, LEAVING),
    DRAINING: (WAITING, LEAVING),
    LEAVING: (FINISHING,),
    FINISHING: (ENDED,),
    ENDED: (),
}
ACCEPTING = 500_000  # after the signal: new connections go on coming for 0.4 s
LONGEST = 3_000_000  # of the walltime that the end waits for
LAST = 500_000  # and this much more, inside the 0.7 s after which the program is ended from outside
LOOK = 20_000
TRIES = 100
HANDED_OVER, LET_GO = 200_000, 1_000_000  # with a successor: no new connections, then no idle ones
HANDS_ON = 500_000  # before its end a process hands on what still runs
HANDING = 1 / 8  # of the cold budget, for what is launched again by the process that hands over
TEACH = 1_000_000  # between two times that what was learned is left for a process that takes over
WATCH, BESIDE = 100_000, 20_000  # between two looks at what another process may have changed
FILES = 24  # descriptors beside the links, where dispatchers agree: strangers, folder, journal, its thread
SNAPSHOT = 4 << 20  # bytes of what operators may hand in where dispatchers agree
FIRST_NEWS = 250_000  # what discovery is waited for where workers are known already


def descriptors(wanted):
    """As many as the program is told, as far as the system lets it have them."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, soft)


def words_of(settings):
    """What the edges need of the settings."""
    return {
        "queue_types": [dict(qt) for qt in settings["queue_types"]],
        "tenants": [tenant["name"] for tenant in settings["tenants"]],
        "zones": settings["zones"],
        "kinds": settings["kinds"],
        "most_held": settings["most_held"],
        "dispatchers": settings["dispatchers"],
        "asked": settings["follow"] == "asked",
        "hold_off": settings["most_hold_off"] if settings["may_hold_off"] else 0,
        "unix_now": time.time_ns() // 1000,
    }


def handed(settings):
    """As the decisions get them: they write what they learn beside them. No message is carried here."""
    return {**deepcopy(settings), "may_message": False}


class Program:
    def __init__(self, told, log, read_again=None, folder=None):
        self.told, self.log, self.phase, self.read_again = told, log, STARTING, read_again
        self.loop = loop = Loop(self.fault)
        settings = told["settings"]
        self.budget = Budget(descriptors(told["sockets"]), told["memory"], told["control"] is not None)
        self.inbox = inbox = Queue(loop)
        words = words_of(settings)
        self.walltime = max(qt["walltime"] for qt in settings["queue_types"])
        self.discovery = Discovery(loop, self.budget, inbox, told["discovery"], words, log)
        self.workers = WorkerConnections(loop, self.budget, inbox, settings, log)
        self.listener = ClientListener(loop, self.budget, inbox, words, log)
        balancer = Balancer(handed(settings), told["seed"], loop.now())
        self.router = Router(loop, inbox, balancer, self.workers, self.discovery, log)
        self.handoff = ConnectionHandoff(loop, self.budget, self.listener, settings, log)
        self.following = settings["follow"] == "pushed"
        self.signalled, self.controlling, self.accepting, self.beside = False, None, None, False
        self.taken, self.holds, self.part = None, None, 1.0
        # Without a second address nobody starts another process beside this one, or leaves workers out.
        self.upgrade_state = UpgradeState(
            folder if told["control"] is not None else None, told["listen"], log
        )
        if told["peers"]:
            self.join()
        if told["repeats"]:
            self.idempotency = self.listener.idempotency = self.keeping()(self, told, log)
            self.reserved += FILES
            self.share()
        if told["recovery"]:
            from mastledge.program.recovery_service import RecoveryService

            self.recovery = self.listener.gate = RecoveryService(self, told, log)
            self.router.listed = self.listed
            self.reserved += FILES
            self.share()
        self.control = Control(loop, self.budget, OperatorApi(self).calls(), log)
        if self.fleet is not None:
            self.control.most = SNAPSHOT

    def join(self):
        """Takes its place among the dispatchers that agree."""
        from mastledge.program.fleet import Fleet  # what it needs is no need of a dispatcher alone

        self.fleet = fleet = Fleet(self, self.told, self.log)
        self.router.rule = self.workers.rule = self.listener.rule = fleet.lease_guard
        self.router.listed = fleet.listed
        self.reserved = 2 * len(self.told["peers"]["members"]) + FILES
        self.share()

    def listed(self, kind, entries):
        """Who goes by what the list has told, beside the decisions."""
        self.recovery.listed(kind, entries)
        if self.fleet is not None:
            self.fleet.listed(kind, entries)

    def keeping(self):
        """Who keeps keys that come again, on one disk or on several dispatchers'."""
        if self.told["repeats"]["copies"] > 1:
            from mastledge.program.replication_service import ReplicationService

            return ReplicationService
        from mastledge.program.idempotency_service import IdempotencyService

        return IdempotencyService

    # As it is where no others are named.
    idempotency, fleet, agreed_out, agreed_back, heard_out, reserved = None, None, (), {}, frozenset(), 0
    recovery, kept_off = None, frozenset()  # who is off by a list that was newer than the one of now

    def agreed(self, settings, state):
        """Rules in force from here on: settings, and who is out by hand at all dispatchers."""
        if settings != self.told["settings"]:
            self.log("settings_committed", version=state["settings_version"])
            self.switch(settings)
        self.agreed_out, self.agreed_back = tuple(state["out"]), dict(state["back"])
        self.recompose()

    def recompose(self):
        """Who is out, by all that say so."""
        if self.taken is None:
            self.upgrade_state.look()
        self.take_up()

    def all_out(self):
        return {*self.upgrade_state.told["out"], *self.agreed_out, *self.heard_out, *self.kept_off}

    def lapse(self):
        self.inbox.put("lapsed")

    def fault(self, error):
        self.log("internal_error", why=f"{type(error).__name__}: {error}")

    def go(self, phase):
        if phase not in NEXT[self.phase]:
            raise RuntimeError(f"no way from {self.phase} to {phase}")
        self.phase = phase
        self.log("phase", phase=phase, jobs=len(self.router.jobs), clients=len(self.listener.clients))

    def run(self):
        pipe = os.pipe()
        for fd in pipe:
            os.set_blocking(fd, False)
        signal.set_wakeup_fd(pipe[1], warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.signal)
        # Left to the system it would end the program; what it asks for is done outside of the handler.
        signal.signal(signal.SIGHUP, lambda number, frame: None)
        self.loop.spawn(self.signals(pipe[0]))
        self.begin()
        self.loop.run()
        return 0 if self.phase == ENDED else 1

    def begin(self):
        self.upgrade_state.sit()
        self.beside = not self.upgrade_state.alone()
        self.sock = self.held(self.told["listen"], self.upgrade_state.base is not None)
        if not self.beside:
            self.sock.listen(BACKLOG)
        if self.told["control"] is not None:
            self.controlling = self.held(self.told["control"])
            self.controlling.listen(64)
            self.loop.spawn(self.control.listen(self.controlling), first=True)
            self.loop.spawn(self.vital(self.watch()), first=True)
        if self.upgrade_state.base is not None:
            self.loop.spawn(self.handoff.listen(self.upgrade_state.place("jobs", self.upgrade_state.seat)))
        if self.fleet is not None:
            self.fleet.begin()
        if self.idempotency is not None:
            self.idempotency.begin()
        if self.recovery is not None:
            self.recovery.begin()
        self.inbox.reader = self.loop.spawn(self.vital(self.router.run()))
        self.life = self.loop.spawn(self.vital(self.phases()))

    def vital(self, steps):
        """Without these the program only seems to serve; it is better started anew."""
        try:
            yield from steps
        except Exception as error:
            self.fault(error)
            self.loop.running = False

    def held(self, address, together=False):
        """The address may still be held by the process before, which is ending."""
        for left in reversed(range(TRIES)):
            try:
                return bound(address, together)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or not left:
                    raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
                self.log("address_in_use", address=address)
                time.sleep(LOOK / 1e6)

    def signal(self, number, frame):
        self.signalled = True

    def signals(self, fd):
        while True:
            yield (fd, READ, None)
            numbers = os.read(fd, 64)
            if signal.SIGHUP in numbers:
                self.reconfigure()
            self.loop.wake(self.life)

    def reconfigure(self):
        """Takes over from the file what can change under load; workers, jobs and what was learned stay."""
        try:
            told = self.read_again()
            descriptors(told["sockets"])
            self.told["sockets"], self.told["memory"] = told["sockets"], told["memory"]
            self.share()
        except Exception as error:
            # Whoever replaces a file under load must not end the service with a slip in it.
            self.log("configuration_rejected", why=str(error) or type(error).__name__)
            return
        self.discovery.move(told["discovery"])
        switched = told["settings"] != self.told["settings"] and self.fleet is None
        if switched:
            self.switch(told["settings"])
        if self.fleet is not None and told["document"] != self.told["document"]:
            # All dispatchers go by what they agree on; a file that differs is for the operators to know.
            differs = sorted(
                key
                for key in {*told["document"], *self.told["document"]}
                if told["document"].get(key) != self.told["document"].get(key)
            )
            self.log("settings_ignored", differs=differs, why="settings are agreed on: fleet settings FILE")
        restart = [part for part in ("name", "listen", "control") if told[part] != self.told[part]]
        self.log(
            "configuration_loaded",
            discovery=told["discovery"],
            sockets=told["sockets"],
            settings=switched,
            needs_restart=restart,
        )

    def switch(self, settings):
        """Other settings in the running program, and the same step back.

        Jobs name their queue type by its place. The door and the queue change in one turn, so each reaches
        the decisions under the settings by which it was read.
        """
        self.told["settings"], words = settings, words_of(settings)
        zones, kinds = self.discovery.configure(words)
        settings = handed(settings)
        settings["zone"] = zones[settings["zone"]] if settings["zone"] < len(zones) else settings["zone"]
        for qt in settings["queue_types"]:
            qt["kind"] = kinds[int(qt["kind"])] if 0 <= qt["kind"] < len(kinds) else qt["kind"]
        # Jobs of before may be open for as long as they were promised.
        self.walltime = max(self.walltime, *(qt["walltime"] for qt in settings["queue_types"]))
        self.listener.configure(words)
        self.workers.configure(settings)
        self.handoff.workers.configure(settings)
        self.inbox.put("configured", settings)
        if settings["follow"] == "pushed":
            self.discovery.follow()

    def can_serve(self, impatient):
        """A worker is known, and the list is no older than it has to be: the one kept may be of long ago."""
        if self.fleet is not None and not self.fleet.lease_guard.may_act(self.loop.now()):
            return False
        if self.recovery is not None and not self.recovery.may_serve():
            return False
        heard = impatient or self.discovery.task is None or self.discovery.answered
        return heard and any(peer.state == "ready" for peer in self.router.peers.values())

    # Two processes that are one dispatcher

    def share(self):
        """While another process is beside, each has half of what the dispatcher may use."""
        parts = 1 + self.beside
        self.budget.resize(
            descriptors(self.told["sockets"]) // parts - self.reserved, self.told["memory"] // parts
        )
        self.budget.shrink()

    def watch(self):
        handover, shared, teach_at = self.upgrade_state, False, 0
        handover.look()
        if not self.beside:
            # What is out by hand stays so; a drain and who was ready ended with those processes.
            handover.change(lambda told: told.update(draining=False, ready=[], leaving=[], seen={}))
        else:
            # Who had this seat before may have died in it.
            handover.change(handover.says(handover.seat, ready=False, leaving=False))
        while True:
            self.beside = not handover.alone()
            if self.beside != shared:
                shared = self.beside
                self.log("other_process", other=shared)
                self.share()
                if not shared:
                    handover.change(handover.says(1 - handover.seat, ready=False, leaving=False))
            handover.look()
            if handover.told["serial"] != self.taken:
                self.take_up()
            self.divide()
            if self.phase in (SERVING, DRAINING) and self.loop.now() >= teach_at:
                teach_at = self.loop.now() + TEACH
                handover.teach(self.router.balancer.learned())
            yield (-1, 0, self.loop.now() + (BESIDE if shared else WATCH))

    def divide(self):
        """Which part of the cold budget is this process's; one that hands over needs little more of it."""
        there = 1 - self.upgrade_state.seat
        part = (
            1.0
            if not self.beside
            else HANDING
            if self.listener.succeeded
            else (1 - HANDING if there in self.upgrade_state.told["leaving"] else 0.5)
        )
        if part != self.part:
            self.part = part
            self.inbox.put("sharing", part)

    def take_up(self):
        """What is shared, into this process."""
        told, now = self.upgrade_state.told, self.loop.now()
        self.drain(told["draining"])
        self.taken = serial = told["serial"]
        back = {**told["back"], **self.agreed_back} if self.agreed_back else told["back"]
        fresh = {worker: min(at - self.discovery.since, now) for worker, at in back.items()}
        out = frozenset(self.all_out())
        self.inbox.put("by_hand", out, fresh, lambda: self.saw(serial))

    def saw(self, serial):
        """The decisions hold all up to this number."""
        self.holds = serial
        if self.beside:
            seat = str(self.upgrade_state.seat)
            self.upgrade_state.change(lambda told: told["seen"].update({seat: serial}), news=False)

    def tell(self, edit):
        """Changes what is shared and takes it up here; its number, or None: the other cannot learn of it."""
        if not self.upgrade_state.change(edit):
            return None
        self.take_up()
        return self.taken

    def drain(self, wanted):
        """Ready says no from this very call on, or yes again; the phase follows."""
        if bool(wanted) != bool(self.listener.draining):
            self.listener.draining = wanted and self.loop.now()
            self.loop.wake(self.life)

    def opened(self):
        """Takes in clients from now on; all new ones where the process before is still there."""
        self.sock.listen(BACKLOG)
        if self.beside:
            self.log("connections_steered", done=steer(self.sock, 1))
        self.accepting = self.loop.spawn(self.listener.listen(self.sock))

    def hand_over(self):
        """Gives its folders free, once nothing here needs them any more."""
        if self.idempotency is not None:
            if not self.idempotency.idle():
                return
            self.idempotency.end()
        if self.recovery is not None:
            self.recovery.end()
        if self.fleet is not None:
            self.fleet.hand_over()

    def says(self, **places):
        self.tell(self.upgrade_state.says(self.upgrade_state.seat, **places))

    def phases(self):
        loop, door, router = self.loop, self.listener, self.router
        if self.recovery is not None:
            yield from self.recovery.prepared()
        try:
            self.discovery.apply(self.told["known"], "cached")
        except BadList as error:
            # Discovery has the list as well.
            self.log("cached_list_invalid", why=str(error))
        if self.following or self.discovery.generation is None:
            self.discovery.follow()
        self.go(WAITING)
        patient = loop.now() + FIRST_NEWS
        while not self.signalled:
            if not door.ready and self.can_serve(loop.now() >= patient):
                door.ready = True
                if self.beside:
                    self.inbox.put("inherited", self.upgrade_state.taught())
                elif self.recovery is not None:
                    self.inbox.put("inherited", self.recovery.taught())
            if self.accepting is None and (door.ready or not self.beside):
                self.opened()
            if door.draining:
                if self.phase != DRAINING:
                    self.go(DRAINING)
                door.let_go()
                yield (-1, 0, loop.now() + LOOK)
                continue
            if self.phase == DRAINING:
                self.go(WAITING)
            if self.phase == WAITING:
                if not door.ready:
                    yield (-1, 0, loop.now() + LOOK // 10)
                    continue
                self.says(ready=True)
                self.go(SERVING)
            yield (-1, 0, None)
        told_at = loop.now()
        last = told_at + min(self.walltime, LONGEST) + LAST
        # The others may be ending too, so who is connected is served as long as what comes can still be done.
        closing = max(told_at + ACCEPTING, (told_at + last) // 2)
        door.leaving, idle_from = told_at, 0
        self.says(ready=False)
        self.inbox.put("leaving", last)
        self.go(LEAVING)
        if self.fleet is not None:
            self.fleet.leave()
        while loop.now() < closing:
            if not door.succeeded and self.upgrade_state.other_ready():
                # All new connections go there: who is connected here comes there with its next job.
                door.succeeded = door.closing = True
                closing, idle_from = loop.now() + HANDED_OVER, loop.now() + LET_GO
                # First it takes less itself, then the other hears that it may take more.
                self.divide()
                self.says(leaving=True)
                self.log("successor_ready")
            if door.succeeded:
                self.hand_over()
            yield (-1, 0, min(closing, loop.now() + BESIDE))
        if self.accepting is not None:
            loop.cancel(self.accepting)
        door.closing = True
        door.last_call(self.sock)
        loop.forget(self.sock.fileno())
        self.sock.close()
        self.go(FINISHING)
        while door.clients and loop.now() < last:
            if door.succeeded:
                self.hand_over()
            if loop.now() >= idle_from:
                door.close_all_idle()
            if door.succeeded and loop.now() >= last - HANDS_ON and self.upgrade_state.other_ready():
                self.handoff.hand_on(router, self.upgrade_state.place("jobs", 1 - self.upgrade_state.seat))
            yield (-1, 0, loop.now() + LOOK)
        self.inbox.put("over")
        self.handoff.over()
        while door.clients and loop.now() < last + LAST // 5:
            door.close_all_idle()
            yield (-1, 0, loop.now() + LOOK // 4)
        self.go(ENDED)
        self.log("totals", faults=router.faults, **router.totals)
        if self.idempotency is not None:
            self.idempotency.end()
        if self.fleet is not None:
            self.fleet.end()
        loop.running = False
