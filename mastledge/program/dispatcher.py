"""The dispatcher: creates its components and runs them until shutdown."""

import errno
import socket
import time

from mastledge.program.connection_handoff import ConnectionHandoff
from mastledge.program.connection_takeover import ConnectionTakeover
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
# Reserved per component that stores files, in addition to links: for connections of peers that are not
# identified yet, the data directory, the log and the writer thread.
FILE_DESCRIPTORS = 24
FLEET_REQUEST_BYTES = 4 << 20  # largest operator request in a fleet: a fleet snapshot


class Dispatcher:
    """A dispatcher and all its components.

    The optional components `fleet`, `idempotency` and `recovery` are None unless configured. They are
    imported on use, because a single dispatcher needs fewer packages.
    """

    def __init__(self, configuration: dict, log, read_configuration=None, folder: str | None = None):
        """Create the components; nothing runs before `begin`.

        `read_configuration` reads the configuration again; `folder` holds the files that the two processes of
        an upgrade share, None for no sharing.
        """
        self.log = log
        self.loop = Loop(self.report_fault)
        self.inbox = Queue(self.loop)
        self.stop_requested = False
        self.listening_socket = self.control_socket = self.accept_task = self.lifecycle_task = None
        self.fleet = self.idempotency = self.recovery = None
        self.excluded = ExcludedWorkers()
        self._lifecycle = Lifecycle(self._log_phase)
        self._reconfiguration = Reconfiguration(self, configuration, read_configuration)
        self.uses_pushed_discovery = configuration["settings"]["follow"] == "pushed"
        self._add_budget(configuration)
        self._add_serving_parts(configuration)
        self._add_upgrade_parts(configuration, folder)
        self._add_optional_parts(configuration)
        self._add_operator_api()

    # State that the components read

    @property
    def phase(self) -> Phase:
        """Return the current lifecycle phase."""
        return self._lifecycle.phase

    @property
    def configuration(self) -> dict:
        """Return the configuration in force."""
        return self._reconfiguration.configuration

    @property
    def longest_walltime(self) -> int:
        """Return how long a job may stay open, in microseconds."""
        return self._reconfiguration.longest_walltime

    @property
    def has_sibling_process(self) -> bool:
        """Return whether a sibling process of this dispatcher runs, as during an upgrade."""
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
        connection_settings = settings_for_edges(settings)
        self.discovery = Discovery(loop, budget, inbox, configuration["discovery"], connection_settings, log)
        self.workers = WorkerConnections(loop, budget, inbox, settings, log)
        self.listener = ClientListener(loop, budget, inbox, connection_settings, log)
        scheduler = Scheduler(settings_for_decisions(settings), configuration["seed"], loop.now())
        self.router = Router(loop, inbox, scheduler, self.workers, self.discovery, log)
        self.takeover = ConnectionTakeover(loop, budget, self.listener, settings, log)
        self.handoff = ConnectionHandoff(loop, budget, self.takeover.continue_job, log)

    def _add_upgrade_parts(self, configuration, folder):
        # Without an operators' address there are no upgrades and no excluded workers, so nothing to share.
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
        self.router.lease_guard = self.workers.lease_guard = self.listener.lease_guard = fleet.lease_guard
        self.router.on_endpoint_list = fleet.listed
        self.resources.reserve(2 * len(configuration["peers"]["members"]) + FILE_DESCRIPTORS)

    def _add_idempotency(self, configuration):
        """Store idempotency keys on this dispatcher's disk only, or replicate them to other dispatchers."""
        if configuration["repeats"]["copies"] > 1:
            from mastledge.program.replication_service import ReplicationService as Service
        else:
            from mastledge.program.idempotency_service import IdempotencyService as Service
        self.idempotency = self.listener.jobs.idempotency = Service(self, configuration, self.log)
        self.resources.reserve(FILE_DESCRIPTORS)

    def _add_recovery(self, configuration):
        from mastledge.program.recovery_service import RecoveryService

        self.recovery = RecoveryService(self, configuration, self.log)
        self.listener.admission_gate = self.recovery.gate
        self.router.on_endpoint_list = self._on_endpoint_list
        self.resources.reserve(FILE_DESCRIPTORS)

    def _on_endpoint_list(self, kind, entries):
        """Pass an endpoint list on to recovery and to the fleet."""
        self.recovery.list_changed(kind, entries)
        if self.fleet is not None:
            self.fleet.listed(kind, entries)

    def _add_operator_api(self):
        self.control = Control(self.loop, self.budget, OperatorApi(self).calls(), self.log)
        if self.fleet is not None:
            self.control.max_body_bytes = FLEET_REQUEST_BYTES

    # Running

    def run(self) -> int:
        """Run until shutdown; return exit status 0 after a graceful shutdown, 1 after an internal error."""
        signals = install_handlers(self.request_stop)
        self.loop.spawn(self._watch_signals(signals))
        self.begin()
        self.loop.run()
        return 0 if self.phase == Phase.ENDED else 1

    def request_stop(self) -> None:
        """Request shutdown; the lifecycle acts on it when it next runs. Safe in a signal handler."""
        self.stop_requested = True

    def _watch_signals(self, descriptor):
        yield from watch_signals(descriptor, self.reload_configuration, self.wake)

    def begin(self) -> None:
        """Open the listeners and start all components.

        Raise OSError if an address or a data directory is not available.
        """
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
            state = self.upgrade_state
            self.loop.spawn(self.takeover.listen_for_offers(state.path_of("offers", state.seat)))
            self.loop.spawn(self.takeover.listen(state.path_of("jobs", state.seat)))
        for part in (self.fleet, self.idempotency, self.recovery):
            if part is not None:
                part.begin()
        self.inbox.reader = self.loop.spawn(self.supervised(self.router.run()))
        self.lifecycle_task = self.loop.spawn(self.supervised(self._run_lifecycle()))

    def _run_lifecycle(self):
        yield from Serving(self).run()
        yield from GracefulShutdown(self).run()

    def _bind(self, address, together=False) -> socket.socket:
        """Return a bound socket; retry while an exiting process still holds the address."""
        for attempts_left in reversed(range(BIND_ATTEMPTS)):
            try:
                return bind_socket(address, together)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or not attempts_left:
                    raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
                self.log("address_in_use", address=address)
                time.sleep(BIND_PAUSE_US / 1e6)
        raise AssertionError("BIND_ATTEMPTS is 0: the address was not bound")

    def supervised(self, steps):
        """Coroutine: run `steps` and stop the event loop if they fail.

        Otherwise the process would stay up without serving.
        """
        try:
            yield from steps
        except Exception as error:
            self.report_fault(error)
            self.loop.running = False

    def report_fault(self, error: Exception) -> None:
        """Log the exception that a coroutine raised."""
        self.log("internal_error", why=f"{type(error).__name__}: {error}")

    # Called by the lifecycle

    def enter(self, phase: Phase) -> None:
        """Enter a phase; raise PhaseOrderError if it may not follow the current phase."""
        self._lifecycle.enter(phase)

    def _log_phase(self, phase):
        self.log("phase", phase=phase, jobs=len(self.router.jobs), clients=len(self.listener.clients))

    def wake(self) -> None:
        """Wake the lifecycle coroutine, which then checks for a requested shutdown or drain."""
        self.loop.wake(self.lifecycle_task)

    def accept_clients(self) -> None:
        """Start accepting clients; steer all new connections here if an older process still runs."""
        self.listening_socket.listen(BACKLOG)
        if self.has_sibling_process:
            self.log("connections_steered", done=select_listener(self.listening_socket, 1))
        self.accept_task = self.loop.spawn(self.listener.listen(self.listening_socket))

    def stop_accepting(self) -> None:
        """Accept the connections that are waiting in the backlog and close the listening socket."""
        if self.accept_task is not None:
            self.loop.cancel(self.accept_task)
        self.listener.closing = True
        self.listener.accept_waiting(self.listening_socket)
        self.loop.forget(self.listening_socket.fileno())
        self.listening_socket.close()

    def release_data_directories(self) -> None:
        """Release the data directories for the successor once this process no longer uses them."""
        if self.idempotency is not None:
            if not self.idempotency.idle():
                return
            self.idempotency.end()
        if self.recovery is not None:
            self.recovery.end()
        if self.fleet is not None:
            self.fleet.hand_over()

    # Called by the components

    def reload_configuration(self) -> None:
        """Reload the configuration and apply what can change without a restart."""
        self._reconfiguration.reload()

    def apply_committed(self, settings: dict, state: dict) -> None:
        """Apply the settings and the excluded workers that the fleet has committed."""
        if settings != self.configuration["settings"]:
            self.log("settings_committed", version=state["settings_version"])
            self._reconfiguration.apply_settings(settings)
        self.excluded.committed = frozenset(state["out"])
        self.excluded.committed_included_at = dict(state["back"])
        self.refresh_excluded_workers()

    def refresh_excluded_workers(self) -> None:
        """Pass the excluded workers of all sources on to the scheduler again."""
        self.sibling.refresh()

    def excluded_workers(self) -> frozenset[str]:
        """Return the ids of the workers that get no new jobs, from all sources."""
        return self.excluded.with_shared(self.upgrade_state.shared["out"])

    def lease_lapsed(self) -> None:
        """Have the router reject waiting jobs: without a lease nothing may be launched."""
        self.inbox.put(LeaseLapsed())
