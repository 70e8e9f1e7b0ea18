"""A simulated worker: slots, a queue, a cold start, and the troubles that a scenario gives it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from mastledge.lab import faults
from mastledge.lab.simulator.jobs import Launch
from mastledge.scheduling.outcomes import Outcome

if TYPE_CHECKING:
    from mastledge.lab.scenario import Workers
    from mastledge.lab.simulator.simulation import Simulation


class SimulatedWorker:
    """One worker process and, across restarts, its successors under the same name."""

    def __init__(self, simulation: Simulation, name: str, options: Workers) -> None:
        """Is ready and warm from the beginning."""
        self.simulation, self.name, self.options = simulation, name, options
        self.state = "ready"  # as discovery lists it
        self.started_at = 0
        self.queue: deque[tuple[Launch, int]] = deque()  # with the work of each, in microseconds
        self.running: dict[Launch, bool] = {}  # in the order of their start
        self.troubles = faults.Troubles()

    def warmth(self) -> float:
        """Its speed as a share of the full one."""
        cold_us = self.options.cold_ms * 1000
        if not self.started_at or not cold_us:
            return 1.0
        lowest = self.options.cold_from
        return min(1.0, lowest + (1 - lowest) * (self.simulation.now - self.started_at) / cold_us)

    def receive(self, launch: Launch) -> None:
        """The request of a launch arrives."""
        simulation, attempt = self.simulation, launch.attempt
        if self.troubles.deaf(simulation.now):
            return  # nobody reads it, and its walltime ends it
        shortest_ms, longest_ms = self.options.run_ms
        work = int((shortest_ms + (longest_ms - shortest_ms) * simulation.random.random()) * 1000)
        simulation.note(
            "launch",
            worker=self.name,
            job=attempt.name,
            key=attempt.key,
            type=attempt.queue_type.name,
            work=work,
        )
        launch.trouble = self.troubles.now(simulation.now, simulation.chance)
        if launch.trouble in ("error", "malformed"):
            simulation.at(simulation.link_delay(), simulation.report_end, launch, Outcome.ERROR)
            return
        if launch.trouble == "silent":
            return
        self.queue.append((launch, int(work * self.troubles.slow(simulation.now))))
        self.start_queued()

    def start_queued(self) -> None:
        """Starts what is queued while there are free slots."""
        simulation = self.simulation
        while self.queue and len(self.running) < self.options.slots:
            launch, work = self.queue.popleft()
            if self.options.drops and simulation.is_abandoned(launch):
                simulation.note("dropped", worker=self.name, job=launch.attempt.name)
                continue
            self.running[launch] = True
            if launch.trouble != "lost":
                simulation.at(simulation.link_delay(), simulation.report_start, launch)
            simulation.at(int(work / self.warmth()), self.finish, launch, self.started_at)

    def finish(self, launch: Launch, started_at: int) -> None:
        """The work of a launch is done, unless the incarnation that did it has died."""
        if started_at != self.started_at:
            return
        simulation, attempt = self.simulation, launch.attempt
        self.running.pop(launch, None)
        simulation.note(
            "effect", worker=self.name, job=attempt.name, key=attempt.key, type=attempt.queue_type.name
        )
        outcome = Outcome.LOST if launch.trouble == "lost" else Outcome.COMPLETED
        simulation.at(simulation.link_delay(), simulation.report_end, launch, outcome)
        self.start_queued()

    def restart(self) -> None:
        """Dies with all that it has, and is back at once: cold, and without its troubles."""
        simulation = self.simulation
        for launch in [*self.running, *(launch for launch, _ in self.queue)]:
            simulation.at(simulation.link_delay(), simulation.report_end, launch, Outcome.LOST)
        self.running, self.queue, self.started_at = {}, deque(), simulation.now
        self.troubles = faults.Troubles()
