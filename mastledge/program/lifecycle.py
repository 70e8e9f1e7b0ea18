"""The dispatcher from start to exit: one object, and the phases it goes through."""

import errno
import os
import resource
import signal
import time
from copy import deepcopy

from mastledge.program.connection_handoff import ConnectionHandoff
from mastledge.program.excluded_workers import ExcludedWorkers
from mastledge.program.operator_api import OperatorApi
from mastledge.program.upgrade_state import UpgradeState
from mastledge.protocol.client_listener import ClientListener
from mastledge.protocol.control import Control
from mastledge.protocol.discovery import BadList, Discovery
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.routing.router import Router
from mastledge.scheduling.scheduler import Scheduler
from mastledge.transport.budget import Budget
from mastledge.transport.listening import BACKLOG, bind_socket, select_listener
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
    def __init__(self, configuration, log, reload=None, folder=None):
        self.configuration, self.log, self.phase, self.reload = configuration, log, STARTING, reload
        self.loop = loop = Loop(self.report_fault)
        settings = configuration["settings"]
        self.budget = Budget(
            descriptors(configuration["sockets"]),
            configuration["memory"],
            configuration["control"] is not None,
        )
        self.inbox = inbox = Queue(loop)
        words = words_of(settings)
        self.longest_walltime = max(qt["walltime"] for qt in settings["queue_types"])
        self.discovery = Discovery(loop, self.budget, inbox, configuration["discovery"], words, log)
        self.workers = WorkerConnections(loop, self.budget, inbox, settings, log)
        self.listener = ClientListener(loop, self.budget, inbox, words, log)
        scheduler = Scheduler(handed(settings), configuration["seed"], loop.now())
        self.router = Router(loop, inbox, scheduler, self.workers, self.discovery, log)
        self.handoff = ConnectionHandoff(loop, self.budget, self.listener, settings, log)
        self.follows_discovery = settings["follow"] == "pushed"
        self.stop_requested, self.control_socket, self.accept_task, self.has_sibling_process = (
            False,
            None,
            None,
            False,
        )
        self.excluded = ExcludedWorkers()
        self.taken_up_serial, self.decided_serial, self.slow_start_share = None, None, 1.0
        # Without a second address nobody starts another process beside this one, or leaves workers out.
        self.upgrade_state = UpgradeState(
            folder if configuration["control"] is not None else None, configuration["listen"], log
        )
        if configuration["peers"]:
            self.join_fleet()
        if configuration["repeats"]:
            self.idempotency = self.listener.idempotency = self.new_idempotency_service()(
                self, configuration, log
            )
            self.reserved_descriptors += FILES
            self.divide_resources()
        if configuration["recovery"]:
            from mastledge.program.recovery_service import RecoveryService

            self.recovery = RecoveryService(self, configuration, log)
            self.listener.gate = self.recovery.gate
            self.router.listed = self.on_endpoint_list
            self.reserved_descriptors += FILES
            self.divide_resources()
        self.control = Control(loop, self.budget, OperatorApi(self).calls(), log)
        if self.fleet is not None:
            self.control.most = SNAPSHOT

    def join_fleet(self):
        """Takes its place among the dispatchers that agree."""
        from mastledge.program.fleet import Fleet  # what it needs is no need of a dispatcher alone

        self.fleet = fleet = Fleet(self, self.configuration, self.log)
        self.router.rule = self.workers.rule = self.listener.rule = fleet.rule
        self.router.listed = fleet.listed
        self.reserved_descriptors = 2 * len(self.configuration["peers"]["members"]) + FILES
        self.divide_resources()

    def on_endpoint_list(self, kind, entries):
        """Who goes by what the list has told, beside the decisions."""
        self.recovery.list_changed(kind, entries)
        if self.fleet is not None:
            self.fleet.listed(kind, entries)

    def new_idempotency_service(self):
        """Who keeps keys that come again, on one disk or on several dispatchers'."""
        if self.configuration["repeats"]["copies"] > 1:
            from mastledge.program.replication_service import ReplicationService

            return ReplicationService
        from mastledge.program.idempotency_service import IdempotencyService

        return IdempotencyService

    # As it is where no others are named.
    idempotency, fleet, recovery, reserved_descriptors = None, None, None, 0

    def apply_committed(self, settings, state):
        """Rules in force from here on: settings, and who is out by hand at all dispatchers."""
        if settings != self.configuration["settings"]:
            self.log("settings_committed", version=state["settings_version"])
            self.apply_settings(settings)
        self.excluded.committed = frozenset(state["out"])
        self.excluded.committed_included_at = dict(state["back"])
        self.refresh_excluded_workers()

    def refresh_excluded_workers(self):
        """Who is out, by all that say so."""
        if self.taken_up_serial is None:
            self.upgrade_state.look()
        self.take_up_shared()

    def excluded_workers(self):
        """Workers that get no new jobs, for whichever reason."""
        return self.excluded.with_shared(self.upgrade_state.shared["out"])

    def lease_lapsed(self):
        self.inbox.put("lapsed")

    def report_fault(self, error):
        self.log("internal_error", why=f"{type(error).__name__}: {error}")

    def enter(self, phase):
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
            signal.signal(number, self.on_signal)
        # Left to the system it would end the program; what it asks for is done outside of the handler.
        signal.signal(signal.SIGHUP, lambda number, frame: None)
        self.loop.spawn(self.watch_signals(pipe[0]))
        self.begin()
        self.loop.run()
        return 0 if self.phase == ENDED else 1

    def begin(self):
        self.upgrade_state.sit()
        self.has_sibling_process = not self.upgrade_state.alone()
        self.listening_socket = self.bind_listener(
            self.configuration["listen"], self.upgrade_state.base is not None
        )
        if not self.has_sibling_process:
            self.listening_socket.listen(BACKLOG)
        if self.configuration["control"] is not None:
            self.control_socket = self.bind_listener(self.configuration["control"])
            self.control_socket.listen(64)
            self.loop.spawn(self.control.listen(self.control_socket), first=True)
            self.loop.spawn(self.supervised(self.watch_shared_state()), first=True)
        if self.upgrade_state.base is not None:
            self.loop.spawn(self.handoff.listen(self.upgrade_state.place("jobs", self.upgrade_state.seat)))
        if self.fleet is not None:
            self.fleet.begin()
        if self.idempotency is not None:
            self.idempotency.begin()
        if self.recovery is not None:
            self.recovery.begin()
        self.inbox.reader = self.loop.spawn(self.supervised(self.router.run()))
        self.lifecycle_task = self.loop.spawn(self.supervised(self.run_phases()))

    def supervised(self, steps):
        """Without these the program only seems to serve; it is better started anew."""
        try:
            yield from steps
        except Exception as error:
            self.report_fault(error)
            self.loop.running = False

    def bind_listener(self, address, together=False):
        """The address may still be held by the process before, which is ending."""
        for left in reversed(range(TRIES)):
            try:
                return bind_socket(address, together)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or not left:
                    raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
                self.log("address_in_use", address=address)
                time.sleep(LOOK / 1e6)

    def on_signal(self, number, frame):
        self.stop_requested = True

    def watch_signals(self, fd):
        while True:
            yield (fd, READ, None)
            numbers = os.read(fd, 64)
            if signal.SIGHUP in numbers:
                self.reload_configuration()
            self.loop.wake(self.lifecycle_task)

    def reload_configuration(self):
        """Takes over from the file what can change under load; workers, jobs and what was learned stay."""
        try:
            told = self.reload()
            descriptors(told["sockets"])
            self.configuration["sockets"], self.configuration["memory"] = told["sockets"], told["memory"]
            self.divide_resources()
        except Exception as error:
            # Whoever replaces a file under load must not end the service with a slip in it.
            self.log("configuration_rejected", why=str(error) or type(error).__name__)
            return
        self.discovery.move(told["discovery"])
        switched = told["settings"] != self.configuration["settings"] and self.fleet is None
        if switched:
            self.apply_settings(told["settings"])
        if self.fleet is not None and told["document"] != self.configuration["document"]:
            # All dispatchers go by what they agree on; a file that differs is for the operators to know.
            differs = sorted(
                key
                for key in {*told["document"], *self.configuration["document"]}
                if told["document"].get(key) != self.configuration["document"].get(key)
            )
            self.log("settings_ignored", differs=differs, why="settings are agreed on: fleet settings FILE")
        restart = [part for part in ("name", "listen", "control") if told[part] != self.configuration[part]]
        self.log(
            "configuration_loaded",
            discovery=told["discovery"],
            sockets=told["sockets"],
            settings=switched,
            needs_restart=restart,
        )

    def apply_settings(self, settings):
        """Other settings in the running program, and the same step back.

        Jobs name their queue type by its place. The door and the queue change in one turn, so each reaches
        the decisions under the settings by which it was read.
        """
        self.configuration["settings"], words = settings, words_of(settings)
        zones, kinds = self.discovery.configure(words)
        settings = handed(settings)
        settings["zone"] = zones[settings["zone"]] if settings["zone"] < len(zones) else settings["zone"]
        for qt in settings["queue_types"]:
            qt["kind"] = kinds[int(qt["kind"])] if 0 <= qt["kind"] < len(kinds) else qt["kind"]
        # Jobs of before may be open for as long as they were promised.
        self.longest_walltime = max(
            self.longest_walltime, *(qt["walltime"] for qt in settings["queue_types"])
        )
        self.listener.configure(words)
        self.workers.configure(settings)
        self.handoff.workers.configure(settings)
        self.inbox.put("configured", settings)
        if settings["follow"] == "pushed":
            self.discovery.follow()

    def can_serve(self, impatient):
        """A worker is known, and the list is no older than it has to be: the one kept may be of long ago."""
        if self.fleet is not None and not self.fleet.rule.may_act(self.loop.now()):
            return False
        if self.recovery is not None and not self.recovery.may_serve():
            return False
        heard = impatient or self.discovery.task is None or self.discovery.answered
        return heard and any(peer.state == "ready" for peer in self.router.peers.values())

    # Two processes that are one dispatcher

    def divide_resources(self):
        """While another process is beside, each has half of what the dispatcher may use."""
        parts = 1 + self.has_sibling_process
        self.budget.resize(
            descriptors(self.configuration["sockets"]) // parts - self.reserved_descriptors,
            self.configuration["memory"] // parts,
        )
        self.budget.evict_excess()

    def watch_shared_state(self):
        handover, shared, teach_at = self.upgrade_state, False, 0
        handover.look()
        if not self.has_sibling_process:
            # What is out by hand stays so; a drain and who was ready ended with those processes.
            handover.change(lambda told: told.update(draining=False, ready=[], leaving=[], seen={}))
        else:
            # Who had this seat before may have died in it.
            handover.change(handover.says(handover.seat, ready=False, leaving=False))
        while True:
            self.has_sibling_process = not handover.alone()
            if self.has_sibling_process != shared:
                shared = self.has_sibling_process
                self.log("other_process", other=shared)
                self.divide_resources()
                if not shared:
                    handover.change(handover.says(1 - handover.seat, ready=False, leaving=False))
            handover.look()
            if handover.shared["serial"] != self.taken_up_serial:
                self.take_up_shared()
            self.divide_slow_start_budget()
            if self.phase in (SERVING, DRAINING) and self.loop.now() >= teach_at:
                teach_at = self.loop.now() + TEACH
                handover.teach(self.router.scheduler.learned_state())
            yield (-1, 0, self.loop.now() + (BESIDE if shared else WATCH))

    def divide_slow_start_budget(self):
        """Which part of the cold budget is this process's; one that hands over needs little more of it."""
        there = 1 - self.upgrade_state.seat
        part = (
            1.0
            if not self.has_sibling_process
            else HANDING
            if self.listener.succeeded
            else (1 - HANDING if there in self.upgrade_state.shared["leaving"] else 0.5)
        )
        if part != self.slow_start_share:
            self.slow_start_share = part
            self.inbox.put("sharing", part)

    def take_up_shared(self):
        """What is shared, into this process."""
        told, now = self.upgrade_state.shared, self.loop.now()
        self.drain(told["draining"])
        self.taken_up_serial = serial = told["serial"]
        back = (
            {**told["back"], **self.excluded.committed_included_at}
            if self.excluded.committed_included_at
            else told["back"]
        )
        fresh = {worker: min(at - self.discovery.since, now) for worker, at in back.items()}
        out = frozenset(self.excluded_workers())
        self.inbox.put("by_hand", out, fresh, lambda: self.on_decided(serial))

    def on_decided(self, serial):
        """The decisions hold all up to this number."""
        self.decided_serial = serial
        if self.has_sibling_process:
            seat = str(self.upgrade_state.seat)
            self.upgrade_state.change(lambda told: told["seen"].update({seat: serial}), news=False)

    def publish(self, edit):
        """Changes what is shared and takes it up here; its number, or None: the other cannot learn of it."""
        if not self.upgrade_state.change(edit):
            return None
        self.take_up_shared()
        return self.taken_up_serial

    def drain(self, wanted):
        """Ready says no from this very call on, or yes again; the phase follows."""
        if bool(wanted) != bool(self.listener.draining):
            self.listener.draining = wanted and self.loop.now()
            self.loop.wake(self.lifecycle_task)

    def accept_clients(self):
        """Takes in clients from now on; all new ones where the process before is still there."""
        self.listening_socket.listen(BACKLOG)
        if self.has_sibling_process:
            self.log("connections_steered", done=select_listener(self.listening_socket, 1))
        self.accept_task = self.loop.spawn(self.listener.listen(self.listening_socket))

    def release_folders(self):
        """Gives its folders free, once nothing here needs them any more."""
        if self.idempotency is not None:
            if not self.idempotency.idle():
                return
            self.idempotency.end()
        if self.recovery is not None:
            self.recovery.end()
        if self.fleet is not None:
            self.fleet.hand_over()

    def announce(self, **places):
        self.publish(self.upgrade_state.says(self.upgrade_state.seat, **places))

    def run_phases(self):
        loop, door, router = self.loop, self.listener, self.router
        if self.recovery is not None:
            yield from self.recovery.prepare()
        try:
            self.discovery.apply(self.configuration["known"], "cached")
        except BadList as error:
            # Discovery has the list as well.
            self.log("cached_list_invalid", why=str(error))
        if self.follows_discovery or self.discovery.generation is None:
            self.discovery.follow()
        self.enter(WAITING)
        patient = loop.now() + FIRST_NEWS
        while not self.stop_requested:
            if not door.ready and self.can_serve(loop.now() >= patient):
                door.ready = True
                if self.has_sibling_process:
                    self.inbox.put("inherited", self.upgrade_state.taught())
                elif self.recovery is not None:
                    self.inbox.put("inherited", self.recovery.inherited())
            if self.accept_task is None and (door.ready or not self.has_sibling_process):
                self.accept_clients()
            if door.draining:
                if self.phase != DRAINING:
                    self.enter(DRAINING)
                door.let_go()
                yield (-1, 0, loop.now() + LOOK)
                continue
            if self.phase == DRAINING:
                self.enter(WAITING)
            if self.phase == WAITING:
                if not door.ready:
                    yield (-1, 0, loop.now() + LOOK // 10)
                    continue
                self.announce(ready=True)
                self.enter(SERVING)
            yield (-1, 0, None)
        told_at = loop.now()
        last = told_at + min(self.longest_walltime, LONGEST) + LAST
        # The others may be ending too, so who is connected is served as long as what comes can still be done.
        closing = max(told_at + ACCEPTING, (told_at + last) // 2)
        door.leaving, idle_from = told_at, 0
        self.announce(ready=False)
        self.inbox.put("leaving", last)
        self.enter(LEAVING)
        if self.fleet is not None:
            self.fleet.leave()
        while loop.now() < closing:
            if not door.succeeded and self.upgrade_state.other_ready():
                # All new connections go there: who is connected here comes there with its next job.
                door.succeeded = door.closing = True
                closing, idle_from = loop.now() + HANDED_OVER, loop.now() + LET_GO
                # First it takes less itself, then the other hears that it may take more.
                self.divide_slow_start_budget()
                self.announce(leaving=True)
                self.log("successor_ready")
            if door.succeeded:
                self.release_folders()
            yield (-1, 0, min(closing, loop.now() + BESIDE))
        if self.accept_task is not None:
            loop.cancel(self.accept_task)
        door.closing = True
        door.last_call(self.listening_socket)
        loop.forget(self.listening_socket.fileno())
        self.listening_socket.close()
        self.enter(FINISHING)
        while door.clients and loop.now() < last:
            if door.succeeded:
                self.release_folders()
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
        self.enter(ENDED)
        self.log("totals", faults=router.faults, **router.totals)
        if self.idempotency is not None:
            self.idempotency.end()
        if self.fleet is not None:
            self.fleet.end()
        loop.running = False
