"""Plays one plan on real processes, and records what was seen."""

import asyncio

from mastledge.lab.harness.dispatcher import Dispatcher, RunFailedError
from mastledge.lab.harness.observers import measure_lag
from mastledge.lab.harness.run_delay import record_run_delays
from mastledge.lab.process_harness import ProcessHarness
from mastledge.lab.scenario import Step
from mastledge.lab.soak.clients import KeptConnectionClient
from mastledge.lab.soak.left_behind import client_connections, files_left
from mastledge.lab.soak.odd_clients import OddClients
from mastledge.lab.soak.plan import Draws, Ending, Hang, SoakPlan
from mastledge.lab.soak.signal_series import SignalSeries
from mastledge.lab.wire import now

ENDING_DISPATCHER = "n0"
AFTER_END_S = 0.3  # of load at the other dispatchers, after the process is gone
CLIENTS_END_S = 10.0  # for the last answers
CONNECTIONS_END_S = 3.0  # for dispatchers to close the connections of clients that have gone
CONNECTIONS_POLL_S = 0.05


class SoakHarness(ProcessHarness):
    """Plays a plan: load on kept connections, then the end of the process of n0."""

    def __init__(self, plan: SoakPlan, record_folder: str | None = None, build: str = "") -> None:
        """Take the plan; `build`: a variant of the program for all dispatchers, as in `lab run --build`."""
        scenario = plan.scenario()
        if build:
            scenario.builds = {f"n{n}": build for n in range(plan.dispatchers)}
        super().__init__(scenario, plan.seed, record_folder)
        self.plan = plan
        self.load_is_over = False
        self.has_successor = False
        self.shutdown_began_at: int | None = None

    # What the clients ask

    def dispatcher_for_new_connection(self, draws: Draws) -> str | None:
        """Return the dispatcher that gets a new connection now, None if no one does.

        New connections to the process that ends go on for a time after SIGTERM, and to its successor.
        """
        names = [name for name in self.nodes if name != ENDING_DISPATCHER or self._takes_connections()]
        if not names:
            return None
        # Half of the clients use the process that ends, however many others there are.
        if ENDING_DISPATCHER in names and draws.happens(0.5):
            return ENDING_DISPATCHER
        return draws.choice(names)

    def _takes_connections(self) -> bool:
        if self.shutdown_began_at is None or self.has_successor:
            return True
        return now() < self.shutdown_began_at + self.plan.new_connections_ms * 1000

    def shutdown_begins(self, pid: int) -> None:
        """Record the SIGTERM that comes now."""
        self.shutdown_began_at = now()
        self.note("shutdown_began", who=ENDING_DISPATCHER, pid=pid)

    # The run

    async def play(self) -> None:
        """Play the plan; RunFailedError if it cannot go on."""
        node = self.nodes[ENDING_DISPATCHER]
        self.began = now()
        self.note("began")
        observers = [asyncio.create_task(measure_lag(self)), asyncio.create_task(record_run_delays(self))]
        clients = [
            KeptConnectionClient(self, number, number < self.plan.leaving)
            for number in range(self.plan.clients)
        ]
        odd_clients = OddClients(self, ENDING_DISPATCHER)
        load = [asyncio.create_task(client.run()) for client in clients]
        try:
            await odd_clients.begin()
            await asyncio.sleep(self.plan.serve_ms / 1000)
            self._begin_troubles()
            await SignalSeries(self, node).play()
            await asyncio.sleep(AFTER_END_S)
            self.load_is_over = True
            async with asyncio.timeout(CLIENTS_END_S):
                await asyncio.gather(*load)
            await odd_clients.end()
            await self._note_connections_left()
        except TimeoutError:
            raise RunFailedError("clients did not come to an end") from None
        finally:
            self.load_is_over = True
            await odd_clients.end()
            for task in (*observers, *load):
                task.cancel()
            await asyncio.gather(*observers, *load, return_exceptions=True)
            if not self.has_successor:
                node.process = None

    def _begin_troubles(self) -> None:
        """Let workers hang and the list fall silent, until the end of the run."""
        plan = self.plan
        for number in range(plan.hanging_workers if plan.hang is not Hang.NONE else 0):
            step = Step(at=0, kind=plan.hang.value, amount=20.0 if plan.hang is Hang.SLOW else 0)
            self.workers[f"w{number}"].troubles.add(now(), step)
        # The new process of an upgrade needs the list to become ready.
        if plan.ending is not Ending.UPGRADE:
            self.silence_list()

    def silence_list(self) -> None:
        """Let the list of the dispatcher that ends fall silent, if the plan says so."""
        self.registry.agents[ENDING_DISPATCHER].silent = self.plan.list_is_silent

    async def _note_connections_left(self) -> None:
        """Record the connections of clients that a dispatcher still holds after all clients have gone."""

        async def all_closed() -> bool:
            return not any(client_connections(node.listen) for node in self._running())

        try:
            await self.until(all_closed, CONNECTIONS_END_S, "")
        except RunFailedError:
            for node in self._running():
                self.note("connections_left", who=node.name, count=client_connections(node.listen))

    def _running(self) -> list[Dispatcher]:
        return [
            node for node in self.nodes.values() if node.process is not None and node.process.poll() is None
        ]

    async def end(self) -> None:
        """End all processes, and record the files that they leave behind."""
        await super().end()
        for _, process in self.started:
            # Only after a run that could not go on.
            if process.poll() is None:
                process.kill()
                process.wait()
        for node in self.nodes.values():
            for path in files_left(node.folder):
                self.note("file_left", who=node.name, path=path)
