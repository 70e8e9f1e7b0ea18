"""One dispatcher: puts its parts together and runs them."""

import errno
import socket
import time

from mastledge.program.connection_handoff import ConnectionHandoff
from mastledge.program.excluded_workers import ExcludedWorkers
from mastledge.program.graceful_shutdown import GracefulShutdown
from mastledge.program.lifecycle import Lifecycle, Phase
from mastledge.program.operator_api import OperatorApi
from mastledge.program.reconfiguration import Reconfiguration
from mastledge.program.resource_limits import ResourceLimits, allowed_descriptors
from mastledge.program.serving import Serving
from mastledge.program.settings_views import settings_for_decisions, settings_for_edges
from mastledge.program.sibling_watch import SiblingWatch
from mastledge.program.signals import install_handlers, watch_signals
from mastledge.program.upgrade_state import UpgradeState
from mastledge.protocol.client_listener import ClientListener
from mastledge.protocol.control import Control
from mastledge.protocol.discovery import Discovery
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.routing.events import LeaseLapsed
from mastledge.routing.router import Router
from mastledge.scheduling.scheduler import Scheduler
from mastledge.transport.budget import Budget
from mastledge.transport.listening import BACKLOG, bind_socket, select_listener
from mastledge.transport.loop import Loop, Queue

BIND_ATTEMPTS = 100
BIND_PAUSE_US = 20_000
OPERATORS_BACKLOG = 64
FILE_DESCRIPTORS = 24  # beside the links, of a part that keeps files: strangers, folder, log, its thread
FLEET_REQUEST_BYTES = 4 << 20  # of what operators may hand in, a snapshot, where there is a fleet


class Dispatcher:
    """A dispatcher with all its parts.

    The parts that a configuration does not name are None: `fleet`, `idempotency`, `recovery`. Only what is
    named is imported, as a dispatcher alone needs fewer packages.
    """

    def __init__(self, configuration: dict, log, load_again=None, folder: str | None = None):
        """`load_again` reads the configuration anew; `folder`: for what two processes of an upgrade share."""
        self.log = log
        self.loop = Loop(self.report_fault)
        self.inbox = Queue(self.loop)
        self.stop_requested = False
        self.listening_socket = self.control_socket = self.accept_task = self.lifecycle_task = None
        self.fleet = self.idempotency = self.recovery = None
        self.excluded = ExcludedWorkers()
        self._lifecycle = Lifecycle(self._log_phase)
        self._reconfiguration = Reconfiguration(self, configuration, load_again)
        self.follows_discovery = configuration["settings"]["follow"] == "pushed"
        self._add_budget(configuration)
        self._add_serving_parts(configuration)
        self._add_upgrade_parts(configuration, folder)
        self._add_optional_parts(configuration)
        self._add_operator_api()

    # What the parts read of one another

    @property
    def phase(self) -> Phase:
        """The phase of its lifecycle."""
        return self._lifecycle.phase

    @property
    def configuration(self) -> dict:
        """The configuration in force."""
        return self._reconfiguration.configuration

    @property
    def longest_walltime(self) -> int:
        """For how long a job may be open, in microseconds."""
        return self._reconfiguration.longest_walltime

    @property
    def has_sibling_process(self) -> bool:
        """Whether another process of this dispatcher is there, during an upgrade."""
        return self.sibling.present

    # Composition

    def _add_budget(self, configuration):
        sockets, memory_bytes = configuration["sockets"], configuration["memory"]
        has_operators = configuration["control"] is not None
        self.budget = Budget(allowed_descriptors(sockets), memory_bytes, has_operators)
        self.resources = ResourceLimits(self.budget, sockets, memory_bytes)

    def _add_serving_parts(self, configuration):
        loop, budget, inbox, log = self.loop, self.budget, self.inbox, self.log
        settings = configuration["settings"]
        edges = settings_for_edges(settings)
        self.discovery = Discovery(loop, budget, inbox, configuration["discovery"], edges, log)
        self.workers = WorkerConnections(loop, budget, inbox, settings, log)
        self.listener = ClientListener(loop, budget, inbox, edges, log)
        scheduler = Scheduler(settings_for_decisions(settings), configuration["seed"], loop.now())
        self.router = Router(loop, inbox, scheduler, self.workers, self.discovery, log)
        self.handoff = ConnectionHandoff(loop, budget, self.listener, settings, log)

    def _add_upgrade_parts(self, configuration, folder):
        # Without a second address nobody starts another process beside this one, or excludes workers.
        shared_folder = folder if configuration["control"] is not None else None
        self.upgrade_state = UpgradeState(shared_folder, configuration["listen"], self.log)
        self.sibling = SiblingWatch(self)

    def _add_optional_parts(self, configuration):
        if configuration["peers"]:
            self._add_fleet(configuration)
        if configuration["repeats"]:
            self._add_idempotency(configuration)
        if configuration["recovery"]:
            self._add_recovery(configuration)

    def _add_fleet(self, configuration):
        from mastledge.program.fleet import Fleet

        self.fleet = fleet = Fleet(self, configuration, self.log)
        self.router.rule = self.workers.rule = self.listener.rule = fleet.lease_guard
        self.router.on_endpoint_list = fleet.listed
        self.resources.reserve(2 * len(configuration["peers"]["members"]) + FILE_DESCRIPTORS)

    def _add_idempotency(self, configuration):
        """Keys are kept on this dispatcher's disk, or on several dispatchers'."""
        if configuration["repeats"]["copies"] > 1:
            from mastledge.program.replication_service import ReplicationService as Service
        else:
            from mastledge.program.idempotency_service import IdempotencyService as Service
        self.idempotency = self.listener.jobs.idempotency = Service(self, configuration, self.log)
        self.resources.reserve(FILE_DESCRIPTORS)

    def _add_recovery(self, configuration):
        from mastledge.program.recovery_service import RecoveryService

        self.recovery = RecoveryService(self, configuration, self.log)
        self.listener.gate = self.recovery.gate
        self.router.on_endpoint_list = self._on_endpoint_list
        self.resources.reserve(FILE_DESCRIPTORS)

    def _on_endpoint_list(self, kind, entries):
        """Who goes by what the list says, beside the decisions."""
        self.recovery.list_changed(kind, entries)
        if self.fleet is not None:
            self.fleet.listed(kind, entries)

    def _add_operator_api(self):
        self.control = Control(self.loop, self.budget, OperatorApi(self).calls(), self.log)
        if self.fleet is not None:
            self.control.max_body_bytes = FLEET_REQUEST_BYTES

    # Running

    def run(self) -> int:
        """Runs until the end; 0 after an orderly end, 1 after a fault that ended the service."""
        signals = install_handlers(self.request_stop)
        self.loop.spawn(self._watch_signals(signals))
        self.begin()
        self.loop.run()
        return 0 if self.phase == Phase.ENDED else 1

    def request_stop(self) -> None:
        """Asks for the end; the next turn of the lifecycle sees it. Safe in a signal handler."""
        self.stop_requested = True

    def _watch_signals(self, descriptor):
        yield from watch_signals(descriptor, self.reload_configuration, self.wake)

    def begin(self) -> None:
        """Opens the listeners and starts all parts; OSError where an address or a folder cannot be had."""
        self.upgrade_state.take_seat()
        self.sibling.look_for_sibling()
        listen, control = self.configuration["listen"], self.configuration["control"]
        self.listening_socket = self._bind(listen, together=self.upgrade_state.enabled)
        if not self.has_sibling_process:
            self.listening_socket.listen(BACKLOG)
        if control is not None:
            self.control_socket = self._bind(control)
            self.control_socket.listen(OPERATORS_BACKLOG)
            self.loop.spawn(self.control.listen(self.control_socket), first=True)
            self.loop.spawn(self.supervised(self.sibling.watch()), first=True)
        if self.upgrade_state.enabled:
            inlet = self.upgrade_state.path_of("jobs", self.upgrade_state.seat)
            self.loop.spawn(self.handoff.listen(inlet))
        for part in (self.fleet, self.idempotency, self.recovery):
            if part is not None:
                part.begin()
        self.inbox.reader = self.loop.spawn(self.supervised(self.router.run()))
        self.lifecycle_task = self.loop.spawn(self.supervised(self._run_lifecycle()))

    def _run_lifecycle(self):
        yield from Serving(self).run()
        yield from GracefulShutdown(self).run()

    def _bind(self, address, together=False) -> socket.socket:
        """A bound socket; the address may still be held by the process before, which is ending."""
        for left in reversed(range(BIND_ATTEMPTS)):
            try:
                return bind_socket(address, together)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or not left:
                    raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
                self.log("address_in_use", address=address)
                time.sleep(BIND_PAUSE_US / 1e6)
        raise AssertionError("no attempt to bind was made")

    def supervised(self, steps):
        """Coroutine that ends the process with a fault: without it the dispatcher only seems to serve."""
        try:
            yield from steps
        except Exception as error:
            self.report_fault(error)
            self.loop.running = False

    def report_fault(self, error: Exception) -> None:
        """Logs an error of a coroutine."""
        self.log("internal_error", why=f"{type(error).__name__}: {error}")

    # What the lifecycle does

    def enter(self, phase: Phase) -> None:
        """Goes on to a phase; PhaseOrderError where it does not follow the one of now."""
        self._lifecycle.enter(phase)

    def _log_phase(self, phase):
        self.log("phase", phase=phase, jobs=len(self.router.jobs), clients=len(self.listener.clients))

    def wake(self) -> None:
        """Has the lifecycle look again at what is asked of it."""
        self.loop.wake(self.lifecycle_task)

    def accept_clients(self) -> None:
        """Takes in clients from now on; all new ones where the process before is still there."""
        self.listening_socket.listen(BACKLOG)
        if self.has_sibling_process:
            self.log("connections_steered", done=select_listener(self.listening_socket, 1))
        self.accept_task = self.loop.spawn(self.listener.listen(self.listening_socket))

    def stop_accepting(self) -> None:
        """Takes in who waits at the listening socket, and closes it."""
        if self.accept_task is not None:
            self.loop.cancel(self.accept_task)
        self.listener.closing = True
        self.listener.accept_waiting(self.listening_socket)
        self.loop.forget(self.listening_socket.fileno())
        self.listening_socket.close()

    def release_folders(self) -> None:
        """Frees its data directories for a successor, once nothing here needs them any more."""
        if self.idempotency is not None:
            if not self.idempotency.idle():
                return
            self.idempotency.end()
        if self.recovery is not None:
            self.recovery.end()
        if self.fleet is not None:
            self.fleet.hand_over()

    # What its parts ask of it

    def reload_configuration(self) -> None:
        """Reads the configuration again and takes over what can change under load."""
        self._reconfiguration.reload()

    def apply_committed(self, settings: dict, state: dict) -> None:
        """What the fleet has committed is in force from here on: settings, and excluded workers."""
        if settings != self.configuration["settings"]:
            self.log("settings_committed", version=state["settings_version"])
            self._reconfiguration.apply_settings(settings)
        self.excluded.committed = frozenset(state["out"])
        self.excluded.committed_included_at = dict(state["back"])
        self.refresh_excluded_workers()

    def refresh_excluded_workers(self) -> None:
        """Has the decisions hold anew which workers are excluded, by all that say so."""
        self.sibling.refresh()

    def excluded_workers(self) -> frozenset[str]:
        """Workers that get no new jobs, for whichever reason."""
        return self.excluded.with_shared(self.upgrade_state.shared["out"])

    def lease_lapsed(self) -> None:
        """Without a lease nothing may be launched: waiting jobs are rejected."""
        self.inbox.put(LeaseLapsed())
