"""Outages one after the other in simulated time, as `lab.outages.befall` has them with processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastledge.lab import outages

if TYPE_CHECKING:
    from mastledge.lab.simulator.faults import FaultInjector

CUT_S = 1.0


class OutageSeries:
    """So many outages; each begins `rest_s` and the rest of `lab.outages` after the last one is over."""

    def __init__(self, injector: FaultInjector, count: int, rest_s: float) -> None:
        """Begins with `start(0)`."""
        self.injector, self.count, self.rest_s = injector, count, rest_s
        self.still_down = 0

    def start(self, number: int) -> None:
        """Draws one outage and carries it out."""
        if number >= self.count:
            return
        injector, simulation = self.injector, self.injector.simulation
        drawn = outages.drawn(simulation.random, simulation.dispatchers, simulation.workers)
        simulation.note("outage", n=number, drawn=drawn)
        self.still_down = len(drawn["dead"])
        if drawn["cold"]:
            simulation.restart_worker(drawn["cold"])
        if drawn["cut"] and simulation.has_consensus:
            others = [name for name in simulation.dispatchers if name != drawn["cut"]]
            injector.cut_links(drawn["cut"], others, CUT_S)
        for name, second in zip(drawn["dead"], drawn["at"], strict=True):
            simulation.at(int(second * 1e6), self.kill, number, name, drawn["down"])

    def kill(self, number: int, name: str, down_s: float) -> None:
        """One dispatcher dies, and is started again after so many seconds."""
        injector, simulation = self.injector, self.injector.simulation
        span = injector.begin_span(name, "kill")
        dispatcher = simulation.dispatchers[name]
        dispatcher.crash()
        simulation.at(int(down_s * 1e6), injector.start_again, dispatcher, span, lambda: self.note_up(number))

    def note_up(self, number: int) -> None:
        """One dispatcher is ready; the last one ends the outage."""
        simulation = self.injector.simulation
        self.still_down -= 1
        if not self.still_down:
            simulation.note("all_up", n=number)
            simulation.at(int((self.rest_s + outages.REST) * 1e6), self.start, number + 1)
