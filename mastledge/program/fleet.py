"""One dispatcher in a fleet: composes its member, the lease, and what of the program goes by what is agreed.

Imported only where the configuration names `peers`.
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

RECOVERY_FRAME_PREFIX = SERVICE_FRAME_PREFIX + b"R"  # of what a dispatcher that starts asks, and the answers
NOTHING_APPLIED = -1


class Fleet:
    """What the program has of its fleet.

    `program` gets agreed settings by `apply_committed`, workers that the lists of others restrict by
    `excluded.restricted_by_fleet` and `refresh_excluded_workers`, and a lost lease by `lease_lapsed`.
    """

    def __init__(
        self, program: "Dispatcher", configuration: dict[str, Any], log: Callable[..., None]
    ) -> None:
        """`configuration` is the whole one of the program; `log` takes an event and its fields."""
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
        self.replication: ReplicationService | None = None  # where dispatchers hold keys for one another
        self.lease_held: bool | None = None  # as it was reported last
        self.applied_index = NOTHING_APPLIED
        self.tasks: list[Task] = []

    @property
    def member(self) -> Member | None:
        """The member, while this process is the active one of its dispatcher."""
        return self.driver.member

    @property
    def links(self) -> Links | None:
        """The links to other dispatchers; None where this process has not been active yet."""
        return self.driver.links

    # Start and end

    def begin(self) -> None:
        """Take part as a member, or go by the lease of the process of this dispatcher that does.

        Raises `DataDirectoryError` where the directory is another's, or cannot be used.
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
        """Take part as a member; this process has the lock of the data directory."""
        settings = shared_settings(self.configuration.document)
        self.driver.start(settings, self.lease_exchange.index)
        supervised, spawn = self.program.supervised, self.loop.spawn
        self.tasks = [
            spawn(supervised(self.restrictions.share_repeatedly())),
            spawn(supervised(self.lease_exchange.lend(self.loop.now())), first=True),
        ]

    def hand_over(self) -> None:
        """Let another process of this dispatcher be the active one; this one goes by its last lease."""
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
        """Have another member lead from here on."""
        self.driver.leave()

    def end(self) -> None:
        """End all that runs here, and give the data directory back."""
        self._cancel_tasks()
        self.driver.close()

    def forget_applied(self) -> None:
        """Apply the member's state again, whatever its index: it is another fleet's."""
        self.applied_index = NOTHING_APPLIED

    def _cancel_tasks(self) -> None:
        for task in self.tasks:
            self.loop.cancel(task)
        self.tasks = []

    # The lease

    def holds_lease(self, now: int) -> bool:
        """Tell whether what is applied here may be acted on. Asked for each launch, so it stays lean."""
        if self.settings.unreadable_reason:
            return False
        member = self.driver.member
        return now < self.lease_exchange.lease_until or (member is not None and member.may_act(now))

    def no_lease_reason(self) -> str:
        """Give why there is no lease, in a few words."""
        if self.settings.unreadable_reason:
            return self.settings.unreadable_reason
        if self.member is None:
            return "the process beside this one has told nothing that holds"
        return self.member.no_lease_reason()

    def report_lease(self, now: int) -> None:
        """Log a lease that was won or lost, and have the program act on it."""
        held = self.holds_lease(now)
        if held == self.lease_held:
            return
        self.lease_held = held
        self.log("lease", held=held, why="" if held else self.no_lease_reason(), version=self.version())
        if not held and not self.lease_guard.serves_without_lease:
            self.program.lease_lapsed()
        self.loop.wake(self.program.lifecycle_task)

    # What is agreed

    def version(self) -> int:
        """Give the version of the state that is applied here; 0 where there is none."""
        member = self.member
        return member.state_machine.version if member is not None and member.state_machine else 0

    def apply_state(self, state: dict[str, Any]) -> None:
        """Put an agreed state in force here."""
        applied = self.settings.apply(state)
        if applied and self.replication is not None and self.member is not None:
            self.replication.on_committed_state(state)

    def listed(self, kind: str, entries: list[tuple]) -> None:
        """Take what this dispatcher's own registry has told."""
        self.restrictions.list_updated(kind, entries)

    # What the driver tells

    def member_stepped(self, now: int) -> None:
        """Put in force what the member has applied, and look at the lease."""
        machine = self.driver.member.state_machine
        # Behind what the process before has lent it would go back in time.
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
        """Have who wants a change know what became of it."""
        self.changes.committed(committed)

    def restrictions_received(self, restrictions: WorkerRestrictions) -> None:
        """Take what another member's registry restricts."""
        self.restrictions.receive(restrictions)

    def service_frame_received(self, sender: str, content: bytes) -> None:
        """Hand a frame to the service that it is for; one of a service that is not used here is ignored."""
        if content.startswith(RECOVERY_FRAME_PREFIX):
            if self.program.recovery is not None:
                self.program.recovery.receive(sender, content[len(RECOVERY_FRAME_PREFIX) :])
        elif self.replication is not None:
            self.replication.on_frame(sender, content[len(SERVICE_FRAME_PREFIX) :])
