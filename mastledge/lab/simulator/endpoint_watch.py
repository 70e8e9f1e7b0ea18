"""A dispatcher's watch of the endpoint list: the whole list first, then its changes in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastledge.lab.simulator.discovery import Listed
from mastledge.scheduling.fleet_view import ListKind

if TYPE_CHECKING:
    from mastledge.lab.simulator.dispatcher import Dispatcher

RETRY_US = 50_000  # between two attempts at a discovery that does not answer


def scheduler_entries(entries: dict[str, Listed]) -> list[tuple]:
    """Entries as the scheduler takes them (docs/interface.md): one zone, one kind, one size."""
    return [(0, name, listed.state, listed.started_at, 0, 0, 1.0) for name, listed in entries.items()]


class EndpointWatch:
    """What one dispatcher has heard of the list."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Has heard nothing."""
        self.dispatcher = dispatcher
        self.generation: int | None = None
        self.delay_s: float = 0  # by which a change comes late
        self.is_silent = False  # nothing comes at all

    def start(self) -> None:
        """A new process asks for the whole list."""
        simulation = self.dispatcher.simulation
        simulation.at(simulation.link_delay(), self.request_list, self.dispatcher.incarnation)

    def request_list(self, incarnation: int) -> None:
        """The whole list, once discovery answers."""
        dispatcher = self.dispatcher
        if incarnation != dispatcher.incarnation or not dispatcher.is_up:
            return
        simulation = dispatcher.simulation
        discovery = simulation.discovery
        if self.is_silent or discovery.is_down:
            simulation.at(RETRY_US, self.request_list, incarnation)
            return
        generation = discovery.visible_generation(self)
        listed = discovery.list_at(generation)
        present = {name: entry for name, entry in listed.items() if entry.state != "gone"}
        self.apply(generation, ListKind.WHOLE, present)

    def receive_changes(self, incarnation: int) -> None:
        """All that has become visible since the last time: a watch is in order."""
        dispatcher = self.dispatcher
        if incarnation != dispatcher.incarnation or dispatcher.scheduler is None or self.generation is None:
            return
        simulation = dispatcher.simulation
        discovery = simulation.discovery
        if self.is_silent or discovery.is_down:
            simulation.at(RETRY_US, self.receive_changes, incarnation)
            return
        last = discovery.visible_generation(self)
        if last > self.generation:
            self.apply(last, ListKind.CHANGES, discovery.entries_between(self.generation, last))

    def apply(self, generation: int, kind: ListKind, entries: dict[str, Listed]) -> None:
        """Tells the scheduler."""
        dispatcher = self.dispatcher
        self.generation = generation
        dispatcher.simulation.note("told", who=dispatcher.name, generation=generation)
        dispatcher.scheduler.update_endpoints(dispatcher.simulation.now, kind, scheduler_entries(entries))
        dispatcher.jobs.run_scheduler()
