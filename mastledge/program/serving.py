"""The phases of a dispatcher until it is asked to stop: waiting for workers, serving, draining."""

from mastledge.program.lifecycle import Phase
from mastledge.protocol.errors import EndpointListError
from mastledge.routing.events import LearnedStateRestored

FIRST_LIST_TIMEOUT_US = 250_000  # what discovery is waited for where workers are known already
READY_POLL_US = 2_000
DRAIN_POLL_US = 20_000


def can_serve(dispatcher, impatient: bool) -> bool:
    """Whether a worker is known, by a list that is no older than it has to be: a cached one may be old."""
    if dispatcher.fleet is not None and not dispatcher.fleet.lease_guard.may_act(dispatcher.loop.now()):
        return False
    if dispatcher.recovery is not None and not dispatcher.recovery.may_serve():
        return False
    discovery = dispatcher.discovery
    has_list = impatient or discovery.task is None or discovery.answered
    return has_list and any(worker.state == "ready" for worker in dispatcher.router.endpoints.values())


class Serving:
    """Leads a dispatcher from its start to the request to stop."""

    def __init__(self, dispatcher):
        """`dispatcher`: whose start and service this is."""
        self._dispatcher = dispatcher
        self._patient_until = 0

    def run(self):
        """Coroutine: returns once the dispatcher is asked to stop."""
        dispatcher = self._dispatcher
        if dispatcher.recovery is not None:
            yield from dispatcher.recovery.prepare()
        self._start_discovery()
        dispatcher.enter(Phase.WAITING)
        self._patient_until = dispatcher.loop.now() + FIRST_LIST_TIMEOUT_US
        while not dispatcher.stop_requested:
            self._become_ready()
            if dispatcher.accept_task is None and (
                dispatcher.listener.ready or not dispatcher.has_sibling_process
            ):
                dispatcher.accept_clients()
            yield self._next_wait()

    def _start_discovery(self):
        dispatcher = self._dispatcher
        try:
            dispatcher.discovery.apply(dispatcher.configuration["known"], "cached")
        except EndpointListError as error:
            # Discovery has the list as well.
            dispatcher.log("cached_list_invalid", why=str(error))
        if dispatcher.follows_discovery or dispatcher.discovery.generation is None:
            dispatcher.discovery.follow()

    def _become_ready(self):
        dispatcher = self._dispatcher
        if dispatcher.listener.ready:
            return
        if not can_serve(dispatcher, dispatcher.loop.now() >= self._patient_until):
            return
        dispatcher.listener.ready = True
        if dispatcher.has_sibling_process:
            dispatcher.inbox.put(LearnedStateRestored(dispatcher.upgrade_state.read_learned()))
        elif dispatcher.recovery is not None:
            dispatcher.inbox.put(LearnedStateRestored(dispatcher.recovery.inherited()))

    def _next_wait(self):
        """Enters the phase that is due; what the loop is to wait for until the next look."""
        dispatcher = self._dispatcher
        if dispatcher.listener.draining:
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
