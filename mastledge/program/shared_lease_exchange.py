"""How two processes of one dispatcher share its lease while one takes over from the other.

The active process is a member of the fleet and lends its lease and the agreed state. The standby process goes
by them, and becomes the active one as soon as it gets the lock of the data directory. docs/consensus.md.
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
LEND_INTERVAL_US = 4 * POLL_INTERVAL_US  # while there are two processes
IDLE_INTERVAL_US = 20 * POLL_INTERVAL_US  # while there is one
LENT_PARTS = ("version", "settings", "settings_version", "lease", "out", "back", "gone", "members")


def lent_state(state: dict[str, Any]) -> dict[str, Any]:
    """What of the agreed state a standby process needs."""
    return {name: state[name] for name in LENT_PARTS}


class ExchangeHost(Protocol):
    """What the exchange needs of the fleet that it is part of."""

    lease_held: bool | None
    member: Member | None

    def apply_state(self, state: dict[str, Any]) -> None:
        """Put a state in force here."""

    def report_lease(self, now: int) -> None:
        """Look whether there is a lease now."""

    def become_active(self) -> None:
        """Take part as a member; this process has the lock of the data directory."""


class SharedLeaseExchange:
    """Both sides of the exchange, one after the other: a standby process becomes an active one.

    What this process was lent, or had when it handed over, goes on counting: `index` is the entry up to which
    it has applied, `lease_until` a time of the loop.
    """

    def __init__(
        self,
        program: "Dispatcher",
        shared_lease: SharedLease,
        directory: DataDirectory,
        host: ExchangeHost,
        log: Callable[..., None],
    ) -> None:
        """For the process that `program` is; `log` takes an event and its fields."""
        self.program, self.loop, self.log = program, program.loop, log
        self.shared_lease, self.directory, self.host = shared_lease, directory, host
        self.index = self.lease_until = self.active_since = 0
        self.standby: int | None = None  # process id of the one that reads what is lent

    def keep(self, member: Member) -> None:
        """Go on by the member's lease and state once it is no longer this process's."""
        if self.host.lease_held:
            self.lease_until = max(self.lease_until, member.lease.lease_until)
        if member.state_machine:
            self.index = max(self.index, member.state_machine.applied_index)

    # The standby process

    def follow(self) -> Generator:
        """Coroutine: goes by what the active process lends, until that gives the directory's lock back."""
        reported = -1
        self.shared_lease.report(0)
        while True:
            self._take_notice(is_first=reported < 0)
            self.host.report_lease(self.loop.now())
            if reported != self.index:
                # The decisions have had a turn since.
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
        """Coroutine: lends lease and state to the standby process, where there is one."""
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
        """One that has handed over acts by its last lease; a process that has gone acts by none."""
        if member.lease.standby_index is None or self.standby is not None:
            return
        if not self.program.has_sibling_process or now > self.active_since + longest_lease_us(
            member.lease_us
        ):
            member.lease.standby_index = None
