"""Runs the raft member of this dispatcher: its write-ahead log, its links to other members and its timer."""

import uuid
from collections.abc import Callable, Generator
from copy import deepcopy
from typing import TYPE_CHECKING, Protocol

from mastledge.consensus import inputs, messages, outputs
from mastledge.consensus.changes import ChangeKind
from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.member import Member
from mastledge.consensus.messages import WorkerRestrictions
from mastledge.consensus.persisted_state import PersistedState
from mastledge.peers.link_context import LinkIdentity
from mastledge.peers.links import Links
from mastledge.program.fleet_configuration import FleetConfiguration
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import DataDirectoryError
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer
from mastledge.transport.connection import address_of
from mastledge.transport.loop import READ, Task

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

LOG_FILE = "agreement"
MIN_TICK_INTERVAL_US = 500
# Starts frames of other services; no MessagePack message begins with this byte.
SERVICE_FRAME_PREFIX = b"\xc1"
NAME_DIGITS = 16  # hexadecimal digits in the name of a new incarnation or fleet


def new_name() -> str:
    """Return a random name for a new incarnation or fleet."""
    return uuid.uuid4().hex[:NAME_DIGITS]


class DriverHost(Protocol):
    """The callbacks through which a driver reports on its member."""

    def member_stepped(self, now: int) -> None:
        """Handle a completed step of the member that began at `now`."""

    def change_committed(self, committed: outputs.Committed) -> None:
        """Handle the result of a proposed change; must not step the member."""

    def restrictions_received(self, restrictions: WorkerRestrictions) -> None:
        """Handle the worker restrictions that another member sent."""

    def service_frame_received(self, sender: str, content: bytes) -> None:
        """Handle a frame for another service; raise `ValueError` if it cannot be decoded."""


class ConsensusDriver:
    """Runs the member while this process is the active process of its dispatcher."""

    def __init__(
        self,
        program: "Dispatcher",
        configuration: FleetConfiguration,
        directory: DataDirectory,
        host: DriverHost,
        log: Callable[..., None],
    ) -> None:
        """Store the collaborators; `start` opens the files and links. `log` takes an event and its fields."""
        self.program, self.loop, self.log = program, program.loop, log
        self.configuration, self.directory, self.host = configuration, directory, host
        self.member: Member | None = None  # None before `start` and after `retire`
        self.writer: Writer | None = None
        self.links: Links | None = None
        self.timer: Task | None = None
        self.tasks: list[Task] = []
        self.longest_step_us = 0

    def start(self, settings: dict, standby_index: int) -> None:
        """Replay the write-ahead log and start the member; this process must hold the directory lock.

        `settings` are the initial settings if this member bootstraps a new fleet. `standby_index` is the last
        entry that the previous process applied: that process may act under its last lease for a while, and
        until then no newer entry is reported as in force here. Release the lock and raise
        `DataDirectoryError` if the log cannot be opened.
        """
        persisted = PersistedState()
        self.writer = Writer(self._open_log(persisted))
        member_configuration = self._member_configuration(settings)
        self.member = Member(member_configuration, deepcopy(persisted.value()), self.loop.now())
        members = len(self.configuration.members)
        self.links = Links(self.loop, self, members, self.configuration.seed, self.log)
        if standby_index:
            self.member.lease.standby_index = standby_index
        self.links.start(self.configuration.listen)
        supervised, spawn = self.program.supervised, self.loop.spawn
        self.timer = spawn(supervised(self._tick()), first=True)
        self.tasks = [spawn(supervised(self._take_write_results()), first=True), self.timer]

    def _open_log(self, persisted: PersistedState) -> WriteAheadLog:
        owner = {"name": self.configuration.name}
        if self.configuration.fleet:
            owner["fleet"] = self.configuration.fleet
        try:
            return WriteAheadLog(self.directory, LOG_FILE, owner, persisted, self.log).open()
        except DataDirectoryError:
            self.directory.release()
            raise

    def _member_configuration(self, settings: dict) -> MemberConfiguration:
        return MemberConfiguration(
            name=self.configuration.name,
            members=self.configuration.members,
            may_bootstrap=self.configuration.may_bootstrap,
            settings=settings,
            lease_us=self.configuration.lease_us,
            new_incarnation=new_name(),
            new_fleet=new_name(),
            seed=self.configuration.seed,
        )

    def leave(self) -> None:
        """Transfer leadership to another member, and flush the messages before this process stops."""
        if self.member is not None:
            self.step(inputs.Leave())
            self.links.flush()

    def close(self) -> None:
        """Stop the tasks, close the links and the log, and release the directory lock."""
        for task in self.tasks:
            self.loop.cancel(task)
        self.tasks = []
        if self.member is not None:
            self.links.close()
            self.loop.forget(self.writer.fd)
            self.writer.close()
            self.directory.release()

    def retire(self) -> None:
        """Close and drop the member, because another process becomes the active one."""
        self.close()
        self.member = None

    # Inputs

    def step(self, input: inputs.Input) -> None:
        """Pass one input to the member and carry out its outputs; do nothing if there is no member."""
        if self.member is None:
            return
        now = self.loop.now()
        previous_wake_at = self.member.wake_at()
        for output in self.member.step(now, input):
            self._carry_out(output)
        self.host.member_stepped(now)
        if (
            self.timer is not None
            and self.member.wake_at() < previous_wake_at
            and not isinstance(input, inputs.Tick)
        ):
            self.loop.wake(self.timer)
        self.longest_step_us = max(self.longest_step_us, self.loop.now() - now)

    def _tick(self) -> Generator:
        self.step(inputs.Tick())
        while True:
            yield (-1, 0, max(self.member.wake_at(), self.loop.now() + MIN_TICK_INTERVAL_US))
            if self.loop.now() >= self.member.wake_at():
                self.step(inputs.Tick())

    def _take_write_results(self) -> Generator:
        while True:
            yield (self.writer.fd, READ, None)
            for result in self.writer.completed():
                if result.error is None:
                    self.step(inputs.Persisted(result.token))
                else:
                    self.links.log.write("disk_failed", why=str(result.error))
                    self.step(inputs.DiskFailed())

    # Outputs

    def _carry_out(self, output: outputs.Output) -> None:
        match output:
            case outputs.Send():
                self.send_message(output)
            case outputs.Persist(token, records):
                self.writer.append(token, records)
            case outputs.Rewrite(token, records):
                self.writer.rewrite(token, records)
            case outputs.Committed():
                self.host.change_committed(output)
            case outputs.RestrictionsReceived(restrictions):
                self.host.restrictions_received(restrictions)
            case outputs.LogEvent(name, fields):
                self._log_event(name, fields)

    def send_message(self, output: outputs.Send) -> None:
        """Send a message to another member; it may be lost."""
        self.links.send(output.to, messages.encode(output.message))

    def _log_event(self, name: str, fields: dict) -> None:
        if name == "entry_committed" and fields["kind"] == ChangeKind.NOOP:
            return
        self.log("fleet_" + name, **fields)

    # Callbacks of the links

    def link_identity(self) -> LinkIdentity:
        """Return the identity that this dispatcher presents to its peers."""
        return LinkIdentity(self.member.fleet, self.configuration.name, self.member.incarnation)

    def member_address(self, name: str) -> tuple[str, int] | None:
        """Return the link address of a member, or None if it is not known."""
        address = self.member.address_of(name)
        return None if address is None else address_of(address)

    def frame_received(self, sender: str, incarnation: str, content: bytes) -> None:
        """Handle a frame of another dispatcher; raise `ValueError` if it cannot be decoded."""
        if content.startswith(SERVICE_FRAME_PREFIX):
            self.host.service_frame_received(sender, content)
            return
        self.step(inputs.MessageReceived(sender, incarnation, messages.decode(content)))
