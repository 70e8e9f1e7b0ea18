"""One run of the simulator, from the start of all processes to its record."""

from __future__ import annotations

from collections.abc import Callable

from mastledge.lab import consensus_schedules, policies
from mastledge.lab.harness.dispatcher_configuration import checker_limits, settings_document
from mastledge.lab.scenario import Scenario
from mastledge.lab.simulator.clients import ClientPool
from mastledge.lab.simulator.consensus import ConsensusNode
from mastledge.lab.simulator.discovery import Discovery
from mastledge.lab.simulator.dispatcher import Dispatcher
from mastledge.lab.simulator.faults import FaultInjector
from mastledge.lab.simulator.jobs import Launch
from mastledge.lab.simulator.key_replication import KeyReplication
from mastledge.lab.simulator.support import check_supported
from mastledge.lab.simulator.worker import SimulatedWorker
from mastledge.program.settings import flatten_settings, parse_settings
from mastledge.scheduling.outcomes import Outcome

MIN_LINK_US, MAX_LINK_US = 100, 600
CONSENSUS_LINK_US = 500  # the longest delay, over the least one of `lab.schedule`
MIN_SYNC_US, MAX_SYNC_US = 200, 1_700  # of a disk
MAX_START_US = 30_000_000  # until all dispatchers are ready
LOAD_DELAY_US = 250_000  # from then to the first job
MAX_DRAIN_US = 60_000_000  # from the last second of a run until all clients are done
SECOND_US = 1_000_000
KEY_SEED_OFFSET = 7  # so that copies of keys draw other numbers than the simulation


class Simulation(consensus_schedules.Fleet):
    """The consensus fleet of `lab.schedule`, with dispatchers, workers, discovery and clients around it.

    What is drawn comes from one generator in one order, so that a seed replays a run.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        policy: str = "",
        show: Callable[[str], None] | None = None,
    ) -> None:
        """`policy`: a baseline of `lab.policies`, "" for the program's; `show` gets a line a second.

        Raises ScenarioError for what can't be simulated.
        """
        check_supported(scenario)
        self.has_consensus = scenario.agree
        names = [f"n{n}" for n in range(scenario.dispatchers)]
        members = names if self.has_consensus else []
        super().__init__(members, seed, delay=CONSENSUS_LINK_US, drift=0.0)
        self.nodes = {name: ConsensusNode(self, name, 1.0) for name in members}
        self.scenario, self.seed, self.show = scenario, seed, show
        self.make_scheduler = policies.named(policy)
        self.settings = parse_settings(flatten_settings(settings_document(scenario)))
        self.settings["may_message"] = False
        self.events: list[dict] = []
        worker_names = [f"w{n}" for n in range(scenario.workers.count)]
        self.workers = {name: SimulatedWorker(self, name, scenario.workers) for name in worker_names}
        self.dispatchers = {name: Dispatcher(self, name, n) for n, name in enumerate(names)}
        self.discovery = Discovery(self)
        self.clients = ClientPool(self)
        self.faults = FaultInjector(self)
        self.keys = self._key_replication(names) if scenario.repeats else None

    def _key_replication(self, names: list[str]) -> KeyReplication:
        queue_types = self.scenario.clients.queue_types
        walltime_us = int(max(one.walltime_ms for one in queue_types) * 1000)
        seed = self.seed + KEY_SEED_OFFSET
        return KeyReplication(self, names, seed, self.scenario.repeats, walltime_us)

    # What the models draw and write down

    def check(self, node: ConsensusNode) -> None:
        """Checks nothing: the invariants of `lab.schedule` are its own; here the record is checked."""

    def note(self, kind: str, **fields: object) -> None:
        """Appends an event to the record, with the time."""
        self.events.append({"at": self.now, "kind": kind, **fields})

    def link_delay(self) -> int:
        """Microseconds that a message is on its way."""
        return MIN_LINK_US + self.draw(MAX_LINK_US - MIN_LINK_US)

    def chance(self) -> float:
        """A number from 0 to 1."""
        return float(self.random.random())

    def slow_disk(self) -> int:
        """Microseconds that a sync of the consensus log takes."""
        return MIN_SYNC_US + self.draw(MAX_SYNC_US - MIN_SYNC_US)

    # Between dispatchers and workers

    def deliver(self, launch: Launch) -> None:
        """A launch is at its worker, unless that has restarted on the way there."""
        if launch.worker.started_at != launch.worker_started_at:
            self.at(self.link_delay(), self.report_end, launch, Outcome.LOST)
            return
        launch.worker.receive(launch)

    def report_start(self, launch: Launch) -> None:
        """A worker's news of a start reach the dispatcher of the launch."""
        self.dispatchers[launch.attempt.dispatcher].jobs.launch_started(launch)

    def report_end(self, launch: Launch, outcome: Outcome) -> None:
        """A worker's news of an end reach the dispatcher of the launch."""
        self.dispatchers[launch.attempt.dispatcher].jobs.launch_ended(launch, outcome)

    def is_abandoned(self, launch: Launch) -> bool:
        """Whether nobody waits for the launch, as its worker sees by the connection."""
        return (
            launch.is_ended
            or launch.dispatcher_incarnation != self.dispatchers[launch.attempt.dispatcher].incarnation
        )

    def restart_worker(self, name: str) -> None:
        """A worker dies and is back at once; discovery lists it anew."""
        self.workers[name].restart()
        self.note("reborn", worker=name)
        self.discovery.set_state(name, "ready")

    # The run

    def play(self) -> dict:
        """Plays the scenario to its end; the record, which says whether it is complete."""
        for dispatcher in self.dispatchers.values():
            dispatcher.boot()
        if not self.run(MAX_START_US, self._are_all_ready):
            return self.record("not all dispatchers are ready in 30 s")
        self.note("began")
        began_at = self.now + LOAD_DELAY_US
        self.clients.start(began_at)
        for step in self.scenario.steps:
            self.at(began_at - self.now + int(step.at * 1e6), self.faults.carry_out, step)
        ends_at = began_at + int(self.scenario.seconds * 1e6)
        for second in range(int(self.scenario.seconds)):
            self.run(min(ends_at, began_at + (second + 1) * SECOND_US))
            if self.show is not None:
                self._show_second(second)
        if self.clients.unfinished and not self.run(ends_at + MAX_DRAIN_US, self._are_clients_done):
            drain_s = MAX_DRAIN_US // SECOND_US
            return self.record(f"clients are not at an end {drain_s} s after the last came")
        return self.record()

    def _are_all_ready(self) -> bool:
        return all(dispatcher.is_ready for dispatcher in self.dispatchers.values())

    def _are_clients_done(self) -> bool:
        return not self.clients.unfinished

    def _show_second(self, second: int) -> None:
        since = self.now - SECOND_US
        answers = [event for event in self.events if event["kind"] == "answer"]
        statuses = [event["status"] for event in answers if event["at"] > since]
        self.show(
            f"{second + 1:6.2f} s  served {statuses.count(200):4d}, rejected {statuses.count(503):4d}, "
            f"killed {statuses.count(500):3d} (simulated)"
        )

    def record(self, failure: str = "") -> dict:
        """The record as the process harness writes it; `failure`: why the run is not complete."""
        return {
            "scenario": self.scenario.name,
            "seed": self.seed,
            "simulated": True,
            "complete": not failure,
            "why": failure,
            **checker_limits(self.scenario),
            "spells": [span.as_record() for span in self.faults.spans],
            "late_ms": 0.0,
            "lag_ms": 0.0,
            "events": self.events,
        }
