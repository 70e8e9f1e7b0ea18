"""The load balancer between simulated clients and dispatchers: it knows who was ready at its last check."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from numpy.random import Generator

    from mastledge.lab.simulator.simulation import Simulation

CHECK_INTERVAL_US = 100_000


class LoadBalancer:
    """Picks dispatchers by their readiness checks."""

    def __init__(self, simulation: Simulation) -> None:
        """Takes all dispatchers for ready."""
        self.simulation = simulation
        self.is_ready = dict.fromkeys(simulation.dispatchers, True)

    def check(self) -> None:
        """Asks all dispatchers, and again after the interval."""
        simulation = self.simulation
        for name, dispatcher in simulation.dispatchers.items():
            is_serving = dispatcher.is_serving()
            if self.is_ready[name] != is_serving:
                simulation.note("ready", who=name, yes=is_serving)
            self.is_ready[name] = is_serving
        simulation.at(CHECK_INTERVAL_US, self.check)

    def pick(self, random: Generator) -> str:
        """One of the dispatchers that are ready by chance, or of all where none is."""
        ready = [name for name, is_ready in self.is_ready.items() if is_ready] or list(self.is_ready)
        return ready[int(random.integers(len(ready)))]

    def accepts(self, name: str) -> bool:
        """Whether a connection to this dispatcher succeeds; one that does not takes it out."""
        dispatcher = self.simulation.dispatchers[name]
        is_stopped = dispatcher.stopped_until > self.simulation.now
        if not dispatcher.is_up or is_stopped and not self.is_ready[name]:
            self.is_ready[name] = False
            return False
        return True
