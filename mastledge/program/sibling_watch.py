"""A second process of the same dispatcher: watches what both share and divides what both use."""

from mastledge.program.lifecycle import Phase
from mastledge.routing.events import TrafficShareChanged, WorkersExcluded

POLL_US = 100_000  # between two looks at what another process may have changed
POLL_WITH_SIBLING_US = 20_000
WRITE_LEARNED_EVERY_US = 1_000_000  # for a process that takes over
# Of the slow-start budget, for what is launched again by the process that hands over.
SHARE_WHEN_HANDING_OVER = 1 / 8


class SiblingWatch:
    """Takes up what the processes of one dispatcher share, and says what this one has taken up."""

    def __init__(self, dispatcher):
        """`dispatcher`: of which this process is one; its upgrade state must be there."""
        self._dispatcher = dispatcher
        self._shared_state = dispatcher.upgrade_state
        self.present = False  # whether a sibling process is there
        self.taken_up_serial = None  # of the last shared change that this process took up
        self.decided_serial = None  # of the last one that its decisions hold
        self._slow_start_share = 1.0

    def look_for_sibling(self) -> None:
        """Finds out whether a sibling process is there."""
        self.present = not self._shared_state.alone()

    def watch(self):
        """Coroutine: looks again and again at what is shared, for as long as the process runs."""
        loop = self._dispatcher.loop
        divided, write_learned_at = False, 0
        self._clear_old_marks()
        while True:
            self.look_for_sibling()
            if self.present != divided:
                divided = self.present
                self._sibling_came_or_went()
            self._shared_state.refresh()
            if self._shared_state.shared["serial"] != self.taken_up_serial:
                self.take_up()
            self.divide_slow_start_budget()
            if self._dispatcher.phase in (Phase.SERVING, Phase.DRAINING) and loop.now() >= write_learned_at:
                write_learned_at = loop.now() + WRITE_LEARNED_EVERY_US
                self._shared_state.write_learned(self._dispatcher.router.scheduler.learned_state())
            yield (-1, 0, loop.now() + (POLL_WITH_SIBLING_US if divided else POLL_US))

    def _clear_old_marks(self):
        state = self._shared_state
        state.refresh()
        if self.present:
            # Who had this seat before may have died in it.
            state.change(state.seat_edit(state.seat, ready=False, leaving=False))
        else:
            # Excluded workers stay so; a drain and who was ready ended with those processes.
            state.change(lambda shared: shared.update(draining=False, ready=[], leaving=[], seen={}))

    def _sibling_came_or_went(self):
        state = self._shared_state
        self._dispatcher.log("other_process", other=self.present)
        self._dispatcher.resources.divide(2 if self.present else 1)
        if not self.present:
            state.change(state.seat_edit(1 - state.seat, ready=False, leaving=False))

    def divide_slow_start_budget(self) -> None:
        """Tells the decisions which part of the slow-start budget is this process's."""
        share = self._share_of_slow_start_budget()
        if share != self._slow_start_share:
            self._slow_start_share = share
            self._dispatcher.inbox.put(TrafficShareChanged(share))

    def _share_of_slow_start_budget(self):
        """One that hands over needs little more of it."""
        if not self.present:
            return 1.0
        if self._dispatcher.listener.succeeded:
            return SHARE_WHEN_HANDING_OVER
        if 1 - self._shared_state.seat in self._shared_state.shared["leaving"]:
            return 1 - SHARE_WHEN_HANDING_OVER
        return 0.5

    def refresh(self) -> None:
        """Has the decisions hold anew which workers are excluded."""
        if self.taken_up_serial is None:
            self._shared_state.refresh()
        self.take_up()

    def take_up(self) -> None:
        """Takes what is shared into this process."""
        dispatcher, shared = self._dispatcher, self._shared_state.shared
        now, since = dispatcher.loop.now(), dispatcher.discovery.since
        self._drain(shared["draining"])
        self.taken_up_serial = serial = shared["serial"]
        included_at = {**shared["back"], **dispatcher.excluded.committed_included_at}
        warming = {worker: min(at - since, now) for worker, at in included_at.items()}
        excluded = frozenset(dispatcher.excluded_workers())
        dispatcher.inbox.put(WorkersExcluded(excluded, warming, lambda: self._decided(serial)))

    def _drain(self, wanted):
        """Ready says no from this very call on, or yes again; the phase follows."""
        dispatcher = self._dispatcher
        if bool(wanted) != bool(dispatcher.listener.draining):
            dispatcher.listener.draining = wanted and dispatcher.loop.now()
            dispatcher.wake()

    def _decided(self, serial):
        """The decisions hold all up to this number."""
        self.decided_serial = serial
        if self.present:
            seat = str(self._shared_state.seat)
            self._shared_state.change(lambda shared: shared["seen"].update({seat: serial}), news=False)

    def publish(self, edit) -> int | None:
        """Changes what is shared and takes it up; its serial, None where the sibling cannot learn of it."""
        if not self._shared_state.change(edit):
            return None
        self.take_up()
        return self.taken_up_serial

    def announce(self, **places: bool) -> None:
        """Publishes whether this process is among those that are `ready` or `leaving`."""
        self.publish(self._shared_state.seat_edit(self._shared_state.seat, **places))
