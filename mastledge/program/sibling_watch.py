"""The watch on a sibling process: syncs the shared state and divides resources between both processes."""

from mastledge.program.lifecycle import Phase
from mastledge.routing.events import TrafficShareChanged, WorkersExcluded

POLL_US = 100_000  # polling interval for the shared state without a sibling
POLL_WITH_SIBLING_US = 20_000
WRITE_LEARNED_EVERY_US = 1_000_000  # keeps the learned worker state current for a process that takes over
# Share of the slow-start budget that the process handing over keeps, for its relaunches.
SHARE_WHEN_HANDING_OVER = 1 / 8


class SiblingWatch:
    """Applies the state that the processes of one dispatcher share, and acknowledges it."""

    def __init__(self, dispatcher):
        """Watch for a sibling of this process of `dispatcher`, whose `upgrade_state` must be set."""
        self._dispatcher = dispatcher
        self._shared_state = dispatcher.upgrade_state
        self.present = False  # whether a sibling process runs
        self.read_serial = None  # serial of the last shared change that this process has read
        self.applied_serial = None  # serial of the last shared change that the scheduler has applied
        self._slow_start_share = 1.0

    def look_for_sibling(self) -> None:
        """Update `present`: whether a sibling process runs."""
        self.present = not self._shared_state.alone()

    def watch(self):
        """Coroutine: poll the shared state for as long as the process runs."""
        loop = self._dispatcher.loop
        divided, write_learned_at = False, 0
        self._clear_stale_flags()
        while True:
            self.look_for_sibling()
            if self.present != divided:
                divided = self.present
                self._sibling_presence_changed()
            self._shared_state.refresh()
            if self._shared_state.shared["serial"] != self.read_serial:
                self.apply_shared_state()
            self.divide_slow_start_budget()
            if self._dispatcher.phase in (Phase.SERVING, Phase.DRAINING) and loop.now() >= write_learned_at:
                write_learned_at = loop.now() + WRITE_LEARNED_EVERY_US
                self._shared_state.write_learned(self._dispatcher.router.scheduler.learned_state())
            yield (-1, 0, loop.now() + (POLL_WITH_SIBLING_US if divided else POLL_US))

    def _clear_stale_flags(self):
        state = self._shared_state
        state.refresh()
        if self.present:
            # The previous process of this seat may have died without clearing its flags.
            state.change(state.seat_edit(state.seat, ready=False, leaving=False))
        else:
            # Excluded workers stay excluded; drain, ready and leaving flags ended with the earlier processes.
            state.change(lambda shared: shared.update(draining=False, ready=[], leaving=[], seen={}))

    def _sibling_presence_changed(self):
        state = self._shared_state
        self._dispatcher.log("other_process", other=self.present)
        self._dispatcher.resources.divide(2 if self.present else 1)
        if not self.present:
            state.change(state.seat_edit(1 - state.seat, ready=False, leaving=False))

    def divide_slow_start_budget(self) -> None:
        """Tell the scheduler this process's share of the slow-start budget if it has changed."""
        share = self._share_of_slow_start_budget()
        if share != self._slow_start_share:
            self._slow_start_share = share
            self._dispatcher.inbox.put(TrafficShareChanged(share))

    def _share_of_slow_start_budget(self):
        """Return this process's share, 0 to 1; a process that hands over keeps a small one."""
        if not self.present:
            return 1.0
        if self._dispatcher.listener.has_successor:
            return SHARE_WHEN_HANDING_OVER
        if 1 - self._shared_state.seat in self._shared_state.shared["leaving"]:
            return 1 - SHARE_WHEN_HANDING_OVER
        return 0.5

    def refresh(self) -> None:
        """Pass the excluded workers on to the scheduler again."""
        if self.read_serial is None:
            self._shared_state.refresh()
        self.apply_shared_state()

    def apply_shared_state(self) -> None:
        """Apply the shared state in this process: drain, excluded workers and re-included workers."""
        dispatcher, shared = self._dispatcher, self._shared_state.shared
        now, clock_offset = dispatcher.loop.now(), dispatcher.discovery.since
        self._drain(shared["draining"])
        self.read_serial = serial = shared["serial"]
        included_at = {**shared["back"], **dispatcher.excluded.committed_included_at}
        warming = {worker: min(at - clock_offset, now) for worker, at in included_at.items()}
        excluded = frozenset(dispatcher.excluded_workers())
        dispatcher.inbox.put(WorkersExcluded(excluded, warming, lambda: self._scheduler_applied(serial)))

    def _drain(self, wanted):
        """Start or end a drain: readiness changes in this call, the lifecycle phase follows."""
        dispatcher = self._dispatcher
        if bool(wanted) != bool(dispatcher.listener.drain_started_at):
            dispatcher.listener.drain_started_at = wanted and dispatcher.loop.now()
            dispatcher.wake()

    def _scheduler_applied(self, serial):
        """Record that the scheduler has applied all changes up to `serial`."""
        self.applied_serial = serial
        if self.present:
            seat = str(self._shared_state.seat)
            self._shared_state.change(lambda shared: shared["seen"].update({seat: serial}), news=False)

    def publish(self, edit) -> int | None:
        """Edit the shared state and apply it; return its serial, None if the sibling cannot read the edit."""
        if not self._shared_state.change(edit):
            return None
        self.apply_shared_state()
        return self.read_serial

    def announce(self, **flags: bool) -> None:
        """Set this process's `ready` and `leaving` flags in the shared state."""
        self.publish(self._shared_state.seat_edit(self._shared_state.seat, **flags))
