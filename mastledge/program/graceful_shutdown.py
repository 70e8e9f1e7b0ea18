"""Graceful shutdown: accept the last clients, finish the open jobs, hand over and exit."""

from mastledge.program import sibling_watch
from mastledge.program.lifecycle import Phase
from mastledge.routing.events import ShutdownDue, ShutdownScheduled

ACCEPT_FOR_US = 500_000  # new connections keep arriving for 0.4 s after the signal
LONGEST_WAIT_US = 3_000_000  # open jobs get the longest walltime to finish, but no more than this
EXIT_MARGIN_US = 500_000  # added to that wait; below the 0.7 s after which the process is killed
ACCEPT_FOR_WITH_SUCCESSOR_US = 200_000
KEEP_IDLE_WITH_SUCCESSOR_US = 1_000_000  # idle connections are closed later than the listener
HAND_OFF_BEFORE_END_US = 500_000  # jobs that still run this long before the end go to the successor
POLL_US = 20_000
HAND_OFF_POLL_US = 5_000  # while jobs are handed off, which takes two polls each
LAST_ANSWERS_POLL_US = 5_000


class GracefulShutdown:
    """Runs a dispatcher from the request for shutdown to its end; times are on the event loop's clock."""

    def __init__(self, dispatcher):
        """Prepare to shut down `dispatcher`."""
        self._dispatcher = dispatcher
        self._accept_until = self._end_at = self._close_idle_from = 0

    def run(self):
        """Coroutine: return when the process may exit."""
        self._start_leaving()
        yield from self._accept_last_clients()
        self._close_listener()
        yield from self._finish_jobs()
        yield from self._send_last_answers()
        self._end()

    def _start_leaving(self):
        dispatcher = self._dispatcher
        now = dispatcher.loop.now()
        self._end_at = now + min(dispatcher.longest_walltime, LONGEST_WAIT_US) + EXIT_MARGIN_US
        # Other dispatchers may be shutting down too: connected clients are served while new jobs can end.
        self._accept_until = max(now + ACCEPT_FOR_US, (now + self._end_at) // 2)
        dispatcher.listener.shutdown_started_at = now
        dispatcher.sibling.announce(ready=False)
        dispatcher.inbox.put(ShutdownScheduled(self._end_at))
        dispatcher.enter(Phase.LEAVING)
        if dispatcher.fleet is not None:
            dispatcher.fleet.leave()

    def _accept_last_clients(self):
        dispatcher, loop = self._dispatcher, self._dispatcher.loop
        while loop.now() < self._accept_until:
            if not dispatcher.listener.has_successor and dispatcher.upgrade_state.sibling_ready():
                self._leave_to_successor()
            if dispatcher.listener.has_successor:
                dispatcher.release_data_directories()
            # The sibling watch reads this interval on each turn too, so that both use the same value.
            yield (-1, 0, min(self._accept_until, loop.now() + sibling_watch.POLL_WITH_SIBLING_US))

    def _leave_to_successor(self):
        """Leave new connections to the successor; connected clients reconnect to it for their next job."""
        dispatcher, now = self._dispatcher, self._dispatcher.loop.now()
        dispatcher.listener.has_successor = dispatcher.listener.closing = True
        self._accept_until = now + ACCEPT_FOR_WITH_SUCCESSOR_US
        self._close_idle_from = now + KEEP_IDLE_WITH_SUCCESSOR_US
        # Reduce this process's share before the successor may raise its own, so that the sum stays within 1.
        dispatcher.sibling.divide_slow_start_budget()
        dispatcher.sibling.announce(leaving=True)
        dispatcher.log("successor_ready")

    def _close_listener(self):
        dispatcher = self._dispatcher
        dispatcher.stop_accepting()
        dispatcher.enter(Phase.FINISHING)

    def _finish_jobs(self):
        dispatcher, loop, listener = self._dispatcher, self._dispatcher.loop, self._dispatcher.listener
        while self._has_open_jobs() and loop.now() < self._end_at:
            if listener.has_successor:
                dispatcher.release_data_directories()
            if loop.now() >= self._close_idle_from:
                listener.close_all_idle()
            hands_off = listener.has_successor and loop.now() >= self._end_at - HAND_OFF_BEFORE_END_US
            if hands_off:
                self._hand_off_jobs()
            yield (-1, 0, loop.now() + (HAND_OFF_POLL_US if hands_off else POLL_US))
        dispatcher.handoff.withdraw()

    def _has_open_jobs(self):
        return self._dispatcher.listener.clients or self._dispatcher.handoff.has_unconfirmed()

    def _hand_off_jobs(self):
        dispatcher, state = self._dispatcher, self._dispatcher.upgrade_state
        dispatcher.handoff.confirm_released()
        if state.sibling_ready():
            seat = 1 - state.seat
            dispatcher.handoff.hand_off(
                dispatcher.router, state.path_of("offers", seat), state.path_of("jobs", seat)
            )

    def _send_last_answers(self):
        dispatcher, loop, listener = self._dispatcher, self._dispatcher.loop, self._dispatcher.listener
        dispatcher.inbox.put(ShutdownDue())
        dispatcher.takeover.kill_jobs()
        while listener.clients and loop.now() < self._end_at + EXIT_MARGIN_US // 5:
            listener.close_all_idle()
            yield (-1, 0, loop.now() + LAST_ANSWERS_POLL_US)

    def _end(self):
        dispatcher = self._dispatcher
        dispatcher.takeover.stop_listening()
        dispatcher.enter(Phase.ENDED)
        dispatcher.log("totals", faults=dispatcher.router.faults, **dispatcher.router.job_table.totals)
        if dispatcher.idempotency is not None:
            dispatcher.idempotency.end()
        if dispatcher.fleet is not None:
            dispatcher.fleet.end()
        dispatcher.loop.running = False
