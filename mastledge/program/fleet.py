"""A dispatcher's part in a fleet: its raft member, its lease, and the agreed state that the program applies.

Imported only if the configuration has `peers`.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from mastledge.consensus import outputs
from mastledge.consensus.member import Member
from mastledge.consensus.messages import WorkerRestrictions
from mastledge.consensus.roles import Role
from mastledge.peers.links import Links
from mastledge.program.agreed_settings import AgreedSettings, shared_settings
from mastledge.program.change_requests import ChangeRequests
from mastledge.program.consensus_driver import SERVICE_FRAME_PREFIX, ConsensusDriver
from mastledge.program.fleet_api import FleetApi
from mastledge.program.fleet_configuration import FleetConfiguration
from mastledge.program.lease_guard import LeaseGuard
from mastledge.program.restriction_exchange import RestrictionExchange
from mastledge.program.shared_lease import SharedLease
from mastledge.program.shared_lease_exchange import SharedLeaseExchange
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import DataDirectoryError
from mastledge.transport.loop import Task

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher
    from mastledge.program.replication_service import ReplicationService

RECOVERY_FRAME_PREFIX = SERVICE_FRAME_PREFIX + b"R"  # of load queries and load responses at a start
NOTHING_APPLIED = -1


class Fleet:
    """Connects the program to its fleet.

    The program receives agreed settings through `apply_committed`, the workers that other dispatchers' lists
    restrict through `excluded.restricted_by_fleet` and `refresh_excluded_workers`, and the loss of the lease
    through `lease_lapsed`.
    """

    def __init__(
        self, program: "Dispatcher", configuration: dict[str, Any], log: Callable[..., None]
    ) -> None:
        """Take the whole configuration of the program; `log` takes an event and its fields."""
        self.program, self.log, self.loop = program, log, program.loop
        self.configuration = FleetConfiguration.from_configuration(configuration)
        self.directory = DataDirectory(self.configuration.directory)
        self.driver = ConsensusDriver(program, self.configuration, self.directory, self, log)
        self.changes = ChangeRequests(self.driver)
        self.settings = AgreedSettings(program, self.configuration.document, log)
        shared_lease = SharedLease(self.configuration.directory, log)
        self.lease_exchange = SharedLeaseExchange(program, shared_lease, self.directory, self, log)
        self.restrictions = RestrictionExchange(program, self.configuration.registry, self.driver.step, log)
        self.lease_guard = LeaseGuard(self.holds_lease, self.configuration.serves_without_lease)
        self.api = FleetApi(self)
        self.replication: ReplicationService | None = None  # None if keys are not replicated
        self.lease_held: bool | None = None  # as last reported; None before the first report
        self.applied_index = NOTHING_APPLIED
        self.tasks: list[Task] = []

    @property
    def member(self) -> Member | None:
        """The member; None while another process of this dispatcher is the active one."""
        return self.driver.member

    @property
    def links(self) -> Links | None:
        """The links to other dispatchers; None if this process has never been active."""
        return self.driver.links

    # Start and end

    def begin(self) -> None:
        """Start as a member, or follow the shared lease if a sibling process is the active one.

        Raise `DataDirectoryError` if another dispatcher holds the directory, or if it cannot be used.
        """
        try:
            self.directory.acquire()
        except DataDirectoryError:
            if not self.program.has_sibling_process:
                raise
            self.log("fleet_standby", folder=self.configuration.directory)
            self.tasks = [self.loop.spawn(self.program.supervised(self.lease_exchange.follow()), first=True)]
            return
        self.become_active()

    def become_active(self) -> None:
        """Start as a member; this process must hold the lock of the data directory."""
        settings = shared_settings(self.configuration.document)
        self.driver.start(settings, self.lease_exchange.index)
        supervised, spawn = self.program.supervised, self.loop.spawn
        self.tasks = [
            spawn(supervised(self.restrictions.share_repeatedly())),
            spawn(supervised(self.lease_exchange.lend(self.loop.now())), first=True),
        ]

    def hand_over(self) -> None:
        """Let the sibling process become the active one; this process keeps only its last lease."""
        member = self.member
        if member is None:
            return
        self.lease_exchange.keep(member)
        leads = member.role == Role.LEADER
        self.log("fleet_handed_over", index=self.lease_exchange.index, leads=leads)
        self.leave()
        self._cancel_tasks()
        self.driver.retire()

    def leave(self) -> None:
        """Transfer leadership to another member."""
        self.driver.leave()

    def end(self) -> None:
        """Stop all tasks, and release the data directory."""
        self._cancel_tasks()
        self.driver.close()

    def reset_applied_index(self) -> None:
        """Make the next step apply the member's state whatever its index, as it is that of a new fleet."""
        self.applied_index = NOTHING_APPLIED

    def _cancel_tasks(self) -> None:
        for task in self.tasks:
            self.loop.cancel(task)
        self.tasks = []

    # The lease

    def holds_lease(self, now: int) -> bool:
        """Return whether there is a lease for the applied state; called for each launch, so kept cheap."""
        if self.settings.unreadable_reason:
            return False
        member = self.driver.member
        return now < self.lease_exchange.lease_until or (member is not None and member.may_act(now))

    def no_lease_reason(self) -> str:
        """Return a short reason why there is no lease."""
        if self.settings.unreadable_reason:
            return self.settings.unreadable_reason
        if self.member is None:
            return "the process beside this one has told nothing that holds"
        return self.member.no_lease_reason()

    def report_lease(self, now: int) -> None:
        """Log a gained or lost lease, and notify the program."""
        held = self.holds_lease(now)
        if held == self.lease_held:
            return
        self.lease_held = held
        self.log("lease", held=held, why="" if held else self.no_lease_reason(), version=self.version())
        if not held and not self.lease_guard.serves_without_lease:
            self.program.lease_lapsed()
        self.loop.wake(self.program.lifecycle_task)

    # The agreed state

    def version(self) -> int:
        """Return the version of the state that is applied here; 0 if there is none."""
        member = self.member
        return member.state_machine.version if member is not None and member.state_machine else 0

    def apply_state(self, state: dict[str, Any]) -> None:
        """Apply an agreed state to the program and to the replicated keys."""
        applied = self.settings.apply(state)
        if applied and self.replication is not None and self.member is not None:
            self.replication.on_committed_state(state)

    def listed(self, kind: str, entries: list[tuple]) -> None:
        """Take an update of the endpoint list from this dispatcher's registry."""
        self.restrictions.list_updated(kind, entries)

    # Callbacks of the driver

    def member_stepped(self, now: int) -> None:
        """Apply the newest state of the member, and report a change of the lease."""
        machine = self.driver.member.state_machine
        # The state at an entry before the index of the shared lease would undo what the previous process has
        # applied.
        if (
            machine is not None
            and machine.applied_index != self.applied_index
            and machine.applied_index >= self.lease_exchange.index
        ):
            self.applied_index = machine.applied_index
            self.links.resize(len(machine.members))
            self.apply_state(machine.state)
        self.report_lease(now)

    def change_committed(self, committed: outputs.Committed) -> None:
        """Deliver the result of a proposed change."""
        self.changes.committed(committed)

    def restrictions_received(self, restrictions: WorkerRestrictions) -> None:
        """Take the worker restrictions that another member sent."""
        self.restrictions.receive(restrictions)

    def service_frame_received(self, sender: str, content: bytes) -> None:
        """Pass a frame to the service that it belongs to; ignore it if that service is not used here."""
        if content.startswith(RECOVERY_FRAME_PREFIX):
            if self.program.recovery is not None:
                self.program.recovery.receive(sender, content[len(RECOVERY_FRAME_PREFIX) :])
        elif self.replication is not None:
            self.replication.on_frame(sender, content[len(SERVICE_FRAME_PREFIX) :])
