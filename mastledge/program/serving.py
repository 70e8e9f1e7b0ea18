"""The lifecycle phases until shutdown is requested: waiting for workers, serving and draining."""

from mastledge.program.lifecycle import Phase
from mastledge.protocol.errors import EndpointListError
from mastledge.routing.events import LearnedStateRestored

FIRST_LIST_TIMEOUT_US = 250_000  # longest wait for discovery if workers are known from a cached list
READY_POLL_US = 2_000
DRAIN_POLL_US = 20_000


def can_serve(dispatcher, timed_out: bool) -> bool:
    """Return whether the dispatcher may act, and knows a ready worker from a current endpoint list.

    A cached list may be stale: it counts only once the wait for discovery has timed out.
    """
    if dispatcher.fleet is not None and not dispatcher.fleet.lease_guard.may_act(dispatcher.loop.now()):
        return False
    if dispatcher.recovery is not None and not dispatcher.recovery.may_serve():
        return False
    discovery = dispatcher.discovery
    has_list = timed_out or discovery.task is None or discovery.answered
    return has_list and any(worker.state == "ready" for worker in dispatcher.router.endpoints.values())


class Serving:
    """Runs a dispatcher from its start until shutdown is requested."""

    def __init__(self, dispatcher):
        """Prepare to run `dispatcher`."""
        self._dispatcher = dispatcher
        self._first_list_deadline = 0

    def run(self):
        """Coroutine: return once shutdown is requested."""
        dispatcher = self._dispatcher
        # Before anything is waited for, and also if shutdown was requested during the start: the system
        # already accepts connections, and their requests must not wait unread.
        self._accept_clients()
        if dispatcher.recovery is not None:
            yield from dispatcher.recovery.prepare()
        self._start_discovery()
        dispatcher.enter(Phase.WAITING)
        self._first_list_deadline = dispatcher.loop.now() + FIRST_LIST_TIMEOUT_US
        while not dispatcher.stop_requested:
            self._become_ready()
            self._accept_clients()
            yield self._next_wait()

    def _accept_clients(self):
        """Accept clients once; beside an older process only if this one is ready."""
        dispatcher = self._dispatcher
        if dispatcher.accept_task is not None:
            return
        if dispatcher.listener.ready or not dispatcher.has_sibling_process:
            dispatcher.accept_clients()

    def _start_discovery(self):
        dispatcher = self._dispatcher
        try:
            dispatcher.discovery.apply(dispatcher.configuration["known"], "cached")
        except EndpointListError as error:
            # Not fatal: discovery sends the list as well.
            dispatcher.log("cached_list_invalid", why=str(error))
        if dispatcher.uses_pushed_discovery or dispatcher.discovery.generation is None:
            dispatcher.discovery.follow()

    def _become_ready(self):
        dispatcher = self._dispatcher
        if dispatcher.listener.ready:
            return
        if not can_serve(dispatcher, dispatcher.loop.now() >= self._first_list_deadline):
            return
        dispatcher.listener.ready = True
        if dispatcher.has_sibling_process:
            dispatcher.inbox.put(LearnedStateRestored(dispatcher.upgrade_state.read_learned()))
        elif dispatcher.recovery is not None:
            dispatcher.inbox.put(LearnedStateRestored(dispatcher.recovery.inherited()))

    def _next_wait(self):
        """Enter the phase that is due and return what the event loop waits for next."""
        dispatcher = self._dispatcher
        if dispatcher.listener.drain_started_at:
            if dispatcher.phase != Phase.DRAINING:
                dispatcher.enter(Phase.DRAINING)
            dispatcher.listener.close_while_draining()
            return (-1, 0, dispatcher.loop.now() + DRAIN_POLL_US)
        if dispatcher.phase == Phase.DRAINING:
            dispatcher.enter(Phase.WAITING)
        if dispatcher.phase == Phase.WAITING:
            if not dispatcher.listener.ready:
                return (-1, 0, dispatcher.loop.now() + READY_POLL_US)
            dispatcher.sibling.announce(ready=True)
            dispatcher.enter(Phase.SERVING)
        return (-1, 0, None)
