"""A simulated dispatcher: its process from start to crash, and the parts of the program that run in it."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from typing import TYPE_CHECKING

from mastledge.lab.simulator.endpoint_watch import EndpointWatch
from mastledge.lab.simulator.job_handler import JobHandler
from mastledge.lab.simulator.jobs import Attempt
from mastledge.lab.simulator.key_claims import KeyClaims
from mastledge.lab.simulator.recovery import DispatcherRecovery
from mastledge.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from mastledge.lab.simulator.simulation import Simulation

MIN_START_US, MAX_START_US = 200_000, 320_000  # from the start of a process to its first step
READINESS_POLL_US = 10_000  # until it is ready
RAMP_POLL_US = 100_000  # once it is
RESUME_SPREAD_US = 2_000  # in which a process that was stopped takes up what has come meanwhile


class Dispatcher:
    """One dispatcher and its successors under the same name; each `incarnation` is one process."""

    def __init__(self, simulation: Simulation, name: str, number: int) -> None:
        """Is down until `boot`; `number`: its place among the dispatchers."""
        self.simulation, self.name, self.number = simulation, name, number
        self.incarnation = 0
        self.is_up = self.is_ready = False
        self.stopped_until = 0
        self.scheduler: Scheduler | None = None
        self.excluded: frozenset[str] = frozenset()
        self.watch = EndpointWatch(self)
        self.recovery = DispatcherRecovery(self)
        self.claims = KeyClaims(self)
        self.jobs = JobHandler(self)

    def boot(self) -> None:
        """A process is started; it takes its first step a moment later."""
        self.incarnation += 1
        self.is_up, self.is_ready = True, False
        self.simulation.note("started", who=self.name)
        delay = MIN_START_US + self.simulation.draw(MAX_START_US - MIN_START_US)
        self.simulation.at(delay, self.begin, self.incarnation)

    def begin(self, incarnation: int) -> None:
        """The first step of a process, unless it has died before."""
        if incarnation != self.incarnation or not self.is_up:
            return
        simulation = self.simulation
        settings = deepcopy(simulation.settings)
        settings["me"] = self.number
        seed = (simulation.seed * 64 + self.number) * 1000 + self.incarnation
        self.jobs.start()
        self.watch.generation, self.excluded = None, frozenset()
        self.scheduler = simulation.make_scheduler(settings, seed, simulation.now)
        self.recovery.start(settings, seed)
        if simulation.keys is not None:
            simulation.keys.hosts[self.name].start()
        if simulation.has_consensus:
            simulation.nodes[self.name].start()
        self.watch.start()
        self.poll_readiness(incarnation)

    def crash(self) -> None:
        """All that it holds in memory is gone; connections break."""
        simulation = self.simulation
        self.recovery.store()
        self.is_up = self.is_ready = False
        self.incarnation += 1
        if simulation.has_consensus and simulation.nodes[self.name].up:
            simulation.nodes[self.name].crash()
        self.scheduler = None
        self.recovery.stop()
        if simulation.keys is not None:
            simulation.keys.hosts[self.name].crash()
        for attempt in self.claims.clear():
            if attempt.job_id is None or not attempt.is_open:  # the others stand among the jobs
                self._break_connection(attempt)
        for attempt in self.jobs.clear():
            if attempt.is_open:
                self._break_connection(attempt)

    def _break_connection(self, attempt: Attempt) -> None:
        simulation = self.simulation
        attempt.is_open = False
        connection_lost = simulation.clients.connection_lost
        simulation.at(simulation.link_delay(), connection_lost, attempt, "ConnectionError")

    def may_act(self) -> bool:
        """Whether it may launch jobs now: with consensus only while its lease holds."""
        if not self.simulation.has_consensus:
            return True
        return self.simulation.nodes[self.name].may_act()

    def is_serving(self) -> bool:
        """Whether its readiness check succeeds now."""
        return self.is_up and self.is_ready and self.may_act()

    def poll_readiness(self, incarnation: int) -> None:
        """Is it ready by now? Asked often until it is, and for the size of its part of the workers."""
        if incarnation != self.incarnation or not self.is_up:
            return
        self.recovery.update_ramp()
        if not self.is_ready and self.may_act() and self.scheduler.ready:
            self.is_ready = True
            self.recovery.take_over()
        self.recovery.exclude_by_newer_list()
        interval = RAMP_POLL_US if self.is_ready else READINESS_POLL_US
        self.simulation.at(interval, self.poll_readiness, incarnation)

    def refresh_exclusions(self) -> None:
        """Excludes what is excluded by agreement or by a newer list; unsent launches there are taken back."""
        simulation = self.simulation
        agreed = simulation.nodes[self.name].excluded() if simulation.has_consensus else ()
        excluded = frozenset({*agreed, *self.recovery.excluded})
        if excluded != self.excluded:
            self.excluded = excluded
            self.scheduler.set_excluded(simulation.now, excluded, {})
            self.jobs.recall_unsent(excluded)

    def defer_while_stopped(self, call: Callable, *fields: object) -> bool:
        """Whether the process is stopped; then the call comes once it goes on."""
        simulation = self.simulation
        if self.stopped_until <= simulation.now:
            return False
        wait = self.stopped_until - simulation.now + simulation.draw(RESUME_SPREAD_US)
        simulation.at(wait, call, *fields)
        return True
