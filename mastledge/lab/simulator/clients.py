"""Simulated clients: the arrivals of `lab.load`, with attempts, patience and retries in simulated time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastledge.lab.load import Clients
from mastledge.lab.simulator.jobs import Attempt, Reply
from mastledge.lab.simulator.load_balancer import LoadBalancer

if TYPE_CHECKING:
    from mastledge.lab.simulator.simulation import Simulation

RETRY_REFUSED_S = 0.02  # waits before the next attempt, where the dispatcher names none
RETRY_REJECTED_S = 0.05
RETRY_LEFT_S = 0.05
RETRY_LOST_S = 0.1
MAX_WAIT_US = 1_000_000  # beyond the walltime, for a reply
FOLLOW_UP = "again"  # in place of the number in the name of a client's second job


class ClientPool:
    """All clients of a run, one a job."""

    def __init__(self, simulation: Simulation) -> None:
        """Draws all arrivals of the scenario."""
        self.simulation = simulation
        scenario = simulation.scenario
        self.options = scenario.clients
        self.arrivals = Clients(simulation, scenario.clients, simulation.seed, scenario.seconds)
        self.load_balancer = LoadBalancer(simulation)
        self.waiting: dict[str, Attempt] = {}  # attempts without a reply, by their name
        self.unfinished = len(self.arrivals.times)

    def start(self, began_at: int) -> None:
        """Load begins at this time of the simulation."""
        simulation = self.simulation
        self.load_balancer.check()
        for client, second in enumerate(self.arrivals.times):
            simulation.at(began_at - simulation.now + int(second * 1e6), self.send, client)

    def send(self, client: int, number: int = 0, is_follow_up: bool = False) -> None:
        """One attempt of a client, at a dispatcher that the load balancer picks."""
        simulation = self.simulation
        attempt = Attempt(
            client=client,
            number=number,
            name=f"j{client}.{FOLLOW_UP if is_follow_up else number}",
            key=f"k{client}" if self.arrivals.keyed[client] else "",
            queue_type=self.options.queue_types[self.arrivals.kinds[client]],
            dispatcher=self.load_balancer.pick(self.arrivals.random),
        )
        if not self.load_balancer.accepts(attempt.dispatcher):
            self.retry(attempt, RETRY_REFUSED_S)  # nothing was sent, so nobody has it
            return
        attempt.sent_at = simulation.now
        self._note_sent(attempt)
        self.waiting[attempt.name] = attempt
        dispatcher = simulation.dispatchers[attempt.dispatcher]
        simulation.at(simulation.link_delay(), dispatcher.jobs.receive, attempt, dispatcher.incarnation)
        self._start_timer(attempt)

    def _note_sent(self, attempt: Attempt) -> None:
        self.simulation.note(
            "sent",
            job=attempt.name,
            key=attempt.key,
            type=attempt.queue_type.name,
            who=attempt.dispatcher,
            walltime=int(attempt.queue_type.walltime_ms) * 1000,
            attempt=attempt.number,
        )

    def _start_timer(self, attempt: Attempt) -> None:
        patience_ms = self.options.patience_ms
        wait = int(attempt.queue_type.walltime_ms * 1000 + MAX_WAIT_US)
        if patience_ms:
            wait = min(wait, int(patience_ms * 1000))
        self.simulation.at(wait, self.time_out, attempt, bool(patience_ms))

    def time_out(self, attempt: Attempt, is_impatient: bool) -> None:
        """The client waits no longer: an impatient one leaves, for others the attempt is lost."""
        if self.waiting.pop(attempt.name, None) is None:
            return
        if not is_impatient:
            self._lose(attempt, "TimeoutError")
            return
        simulation = self.simulation
        simulation.note("left", job=attempt.name, who=attempt.dispatcher, ms=self._elapsed_ms(attempt))
        dispatcher = simulation.dispatchers[attempt.dispatcher]
        simulation.at(simulation.link_delay(), dispatcher.jobs.client_left, attempt)
        self.retry(attempt, RETRY_LEFT_S)

    def connection_lost(self, attempt: Attempt, why: str) -> None:
        """The connection of an attempt broke; `why`: the class of the error that a client sees."""
        if self.waiting.pop(attempt.name, None) is not None:
            self._lose(attempt, why)

    def _lose(self, attempt: Attempt, why: str) -> None:
        elapsed_ms = self._elapsed_ms(attempt)
        self.simulation.note("lost", job=attempt.name, who=attempt.dispatcher, why=why, ms=elapsed_ms)
        if self.options.again_when_lost:
            self.retry(attempt, RETRY_LOST_S)
        else:
            self.finish(attempt)

    def receive_reply(self, attempt: Attempt, reply: Reply) -> None:
        """A reply arrives, unless its client waits no longer."""
        if self.waiting.pop(attempt.name, None) is None:
            return
        self.simulation.note(
            "answer",
            job=attempt.name,
            status=reply.status,
            ms=self._elapsed_ms(attempt),
            who=attempt.dispatcher,
            type=attempt.queue_type.name,
            result=reply.content,
            retry=f"{reply.hold_off_us / 1e6:.3f}" if reply.hold_off_us else "",
        )
        if reply.status in (429, 503):
            self.retry(attempt, reply.hold_off_us / 1e6 or RETRY_REJECTED_S)
        else:
            self.finish(attempt)

    def _elapsed_ms(self, attempt: Attempt) -> float:
        return (self.simulation.now - attempt.sent_at) / 1000

    def retry(self, attempt: Attempt, wait_s: float) -> None:
        """The next attempt after so many seconds, where the client has any left."""
        if attempt.number < self.options.retries and not attempt.name.endswith(FOLLOW_UP):
            self.simulation.at(int(wait_s * 1e6), self.send, attempt.client, attempt.number + 1)
        else:
            self.finish(attempt)

    def finish(self, attempt: Attempt) -> None:
        """The client is done, or sends the same job once more."""
        follow_up_s = self.arrivals.again[attempt.client]
        if follow_up_s and not attempt.name.endswith(FOLLOW_UP):
            self.simulation.at(int(follow_up_s * 1e6), self.send, attempt.client, 1, True)
        else:
            self.unfinished -= 1
