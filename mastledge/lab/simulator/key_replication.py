"""Copies of keys in the simulator: the hosts, links and disks of `lab.copying` on the simulation's clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from mastledge.lab import consensus_schedules, replication_schedules
from mastledge.replication import outputs

if TYPE_CHECKING:
    from mastledge.lab.simulator.simulation import Simulation

LINK_DELAY_US = 500  # the longest, over the least one of `lab.copying`
DEFAULT_MAX_BYTES = 64 << 20


class KeyReplication(replication_schedules.Fleet):
    """Draws from a generator of its own; only time and the queue of what is due are the simulation's."""

    def __init__(
        self, simulation: Simulation, names: list[str], seed: int, options: dict, walltime_us: int
    ) -> None:
        """`options`: the `repeats` of a scenario; `walltime_us`: the longest of its queue types."""
        self.simulation = simulation
        entries = options.get("entries", 100_000)
        super().__init__(names, seed, options["copies"], delay=LINK_DELAY_US, entries=entries)
        self.keep = int(options.get("keep_ms", 60_000)) * 1000
        self.bytes_ = int(options.get("bytes", DEFAULT_MAX_BYTES))
        self.patience = self.keep + 3 * walltime_us + 2 * consensus_schedules.LEASE

    @property
    def now(self) -> int:
        """Microseconds of the simulation."""
        return self.simulation.now

    @now.setter
    def now(self, value: int) -> None:
        """Only the simulation sets its time."""

    def at(self, wait: int, call: Callable, *fields: object) -> None:
        """Queues a call at the simulation."""
        self.simulation.at(wait, call, *fields)

    def told(self, host: replication_schedules.Host, told: outputs.JobVerdict) -> None:
        """A node's verdict goes to the dispatcher that it belongs to."""
        self.simulation.dispatchers[host.name].claims.receive_verdict(told)
