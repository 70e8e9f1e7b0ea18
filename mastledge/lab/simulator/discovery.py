"""Simulated service discovery: the endpoint list, its changes in order, and who sees them when."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from mastledge.lab.simulator.endpoint_watch import EndpointWatch
    from mastledge.lab.simulator.simulation import Simulation

FIRST_GENERATION = 1


class Listed(NamedTuple):
    """How a worker is listed."""

    state: str
    started_at: int


@dataclass(frozen=True, slots=True)
class ListChange:
    """One change of the list: its generation, its time in microseconds, and its entries by worker."""

    generation: int
    at: int
    entries: dict[str, Listed]


class Discovery:
    """The registry that all dispatchers watch."""

    def __init__(self, simulation: Simulation) -> None:
        """Lists all workers as ready, in the first generation."""
        self.simulation = simulation
        self.changes = [ListChange(FIRST_GENERATION, 0, {})]
        self.is_down = False  # answers nobody

    def set_state(self, worker: str, state: str) -> None:
        """Lists a worker in another state."""
        self.simulation.workers[worker].state = state
        self.publish({worker: Listed(state, self.simulation.workers[worker].started_at)})

    def publish(self, entries: dict[str, Listed]) -> None:
        """Appends one change; each dispatcher hears of it after its own delay."""
        simulation = self.simulation
        generation = self.changes[-1].generation + 1
        self.changes.append(ListChange(generation, simulation.now, entries))
        for worker, listed in entries.items():
            simulation.note("listed", worker=worker, state=listed.state, generation=generation)
        for dispatcher in simulation.dispatchers.values():
            wait = simulation.link_delay() + int(dispatcher.watch.delay_s * 1e6)
            simulation.at(wait, dispatcher.watch.receive_changes, dispatcher.incarnation)

    def publish_empty(self) -> None:
        """Lists every worker as gone, whatever it is."""
        workers = self.simulation.workers.values()
        self.publish({worker.name: Listed("gone", worker.started_at) for worker in workers})

    def publish_all(self) -> None:
        """Lists every worker as it is."""
        workers = self.simulation.workers.values()
        self.publish({worker.name: Listed(worker.state, worker.started_at) for worker in workers})

    def visible_generation(self, watch: EndpointWatch) -> int:
        """The newest generation that this watch can see now."""
        now = self.simulation.now
        seen = [change.generation for change in self.changes if now >= change.at + watch.delay_s * 1e6]
        return seen[-1] if seen else FIRST_GENERATION

    def list_at(self, generation: int) -> dict[str, Listed]:
        """The whole list as it was in a generation, with the workers that are gone."""
        listed = {name: Listed("ready", 0) for name in self.simulation.workers}
        for change in self.changes:
            if change.generation <= generation:
                listed.update(change.entries)
        return listed

    def entries_between(self, after: int, last: int) -> dict[str, Listed]:
        """What changed after one generation, up to another one and with it."""
        entries = {}
        for change in self.changes:
            if after < change.generation <= last:
                entries.update(change.entries)
        return entries
