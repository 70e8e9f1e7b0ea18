"""The exchange by which two processes of one dispatcher share its lease during an upgrade.

The active process is a member of the fleet and lends its lease and the agreed state. The standby process acts
on them and becomes active once it gets the lock of the data directory. See docs/consensus.md.
"""

from collections.abc import Callable, Generator
from typing import TYPE_CHECKING, Any, Protocol

from mastledge.consensus.leases import longest_lease_us
from mastledge.consensus.member import Member
from mastledge.program.shared_lease import LeaseNotice, SharedLease
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import DataDirectoryError

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

POLL_INTERVAL_US = 5_000
LEND_INTERVAL_US = 4 * POLL_INTERVAL_US  # with a standby process
IDLE_INTERVAL_US = 20 * POLL_INTERVAL_US  # without a standby process
LENT_PARTS = ("version", "settings", "settings_version", "lease", "out", "back", "gone", "members")


def lent_state(state: dict[str, Any]) -> dict[str, Any]:
    """Return the part of the agreed state that a standby process needs."""
    return {name: state[name] for name in LENT_PARTS}


class ExchangeHost(Protocol):
    """The interface of the fleet that the exchange uses."""

    lease_held: bool | None
    member: Member | None

    def apply_state(self, state: dict[str, Any]) -> None:
        """Put the agreed state in force in this process."""

    def report_lease(self, now: int) -> None:
        """Update `lease_held` as of `now` and report a change."""

    def become_active(self) -> None:
        """Start as a member of the fleet; this process holds the lock of the data directory."""


class SharedLeaseExchange:
    """The standby and the active side of the exchange; a standby process becomes the active one.

    The last lease that this process has borrowed or held stays valid: `index` is the last entry that this
    process has applied, `lease_until` the end of the lease on the event loop's clock.
    """

    def __init__(
        self,
        program: "Dispatcher",
        shared_lease: SharedLease,
        directory: DataDirectory,
        host: ExchangeHost,
        log: Callable[..., None],
    ) -> None:
        """Create the exchange for the dispatcher `program`; `log` takes an event and its fields."""
        self.program, self.loop, self.log = program, program.loop, log
        self.shared_lease, self.directory, self.host = shared_lease, directory, host
        self.index = self.lease_until = self.active_since = 0
        self.standby: int | None = None  # process id of the standby that reads the notices

    def keep(self, member: Member) -> None:
        """Keep the member's lease and applied index for use after this process has handed the member over."""
        if self.host.lease_held:
            self.lease_until = max(self.lease_until, member.lease.lease_until)
        if member.state_machine:
            self.index = max(self.index, member.state_machine.applied_index)

    # The standby process

    def follow(self) -> Generator:
        """Coroutine: act on the notices of the active process until it releases the data directory."""
        reported = -1
        self.shared_lease.report(0)
        while True:
            self._take_notice(is_first=reported < 0)
            self.host.report_lease(self.loop.now())
            if reported != self.index:
                # Report only after the scheduler has had a turn to apply the state.
                yield (-1, 0, self.loop.now() + POLL_INTERVAL_US)
                reported = self.index
                self.shared_lease.report(reported)
            yield (-1, 0, self.loop.now() + POLL_INTERVAL_US)
            try:
                self.directory.acquire()
            except DataDirectoryError:
                continue
            self.log("fleet_active", index=self.index)
            self.loop.spawn(self.program.supervised(self._take_over()), first=True)
            return

    def _take_notice(self, is_first: bool) -> None:
        notice = self.shared_lease.notice()
        if notice is None or notice.index < self.index:
            return
        if notice.index > self.index or is_first:
            self.index = notice.index
            self.host.apply_state(notice.state)
        self.lease_until = max(self.lease_until, notice.lease_until)

    def _take_over(self) -> Generator:
        self.host.become_active()
        yield (-1, 0, self.loop.now())

    # The active process

    def lend(self, active_since: int) -> Generator:
        """Coroutine: lend lease and state to the standby process, if there is one."""
        self.active_since, self.standby = active_since, None
        while True:
            member, now = self.host.member, self.loop.now()
            if self.program.has_sibling_process and member.state_machine is not None:
                self._lend_to_standby(member)
            elif not self.program.has_sibling_process:
                self.standby = None
                self.shared_lease.withdraw()
            self._release_standby(member, now)
            busy = self.program.has_sibling_process or member.lease.standby_index is not None
            yield (-1, 0, now + (LEND_INTERVAL_US if busy else IDLE_INTERVAL_US))

    def _lend_to_standby(self, member: Member) -> None:
        report, applied_index = self.shared_lease.standby_report(), member.state_machine.applied_index
        if report is None or not self.host.lease_held or applied_index < self.index:
            return
        state = lent_state(member.state_machine.state)
        notice = LeaseNotice(report.process, applied_index, member.lease.lease_until, state)
        if self.shared_lease.publish(notice) and report.process != self.standby:
            self.standby, member.lease.standby_index = report.process, applied_index
        if report.process == self.standby:
            member.lease.standby_index = max(member.lease.standby_index or 0, report.index)

    def _release_standby(self, member: Member, now: int) -> None:
        """Drop the standby's index once no other process can act on a lease of this dispatcher.

        That is when the other process has exited, or when the last lease from before this process became
        active has ended. The index of a standby that reads the notices stays.
        """
        if member.lease.standby_index is None or self.standby is not None:
            return
        if not self.program.has_sibling_process or now > self.active_since + longest_lease_us(
            member.lease_us
        ):
            member.lease.standby_index = None
