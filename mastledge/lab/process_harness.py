"""The process harness: real processes of the program, proxies on their links, stub servers round them, and a
record of all that was seen.

Everything is on loopback, bounded in time, and ends with the run.
"""

import asyncio
import compileall
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any

import numpy

import mastledge
from mastledge.lab.harness.dispatcher import LOOK, READY_TIMEOUT_S, Dispatcher, RunFailedError
from mastledge.lab.harness.dispatcher_configuration import command_line, write_configuration
from mastledge.lab.harness.fault_steps import run_step
from mastledge.lab.harness.observers import measure_lag, show_progress
from mastledge.lab.harness.run_delay import record_run_delays
from mastledge.lab.harness.run_record import take_record
from mastledge.lab.harness.settling import settle
from mastledge.lab.invariants.record_queries import goal_window_start
from mastledge.lab.link_proxy import LinkProxy
from mastledge.lab.load import Clients
from mastledge.lab.scenario import PROCESSES, Scenario, ScenarioError
from mastledge.lab.stub_servers import Registry, Worker
from mastledge.lab.wire import call, now

MEMORY_FOLDER = "/dev/shm"
FRONT_LEAD_S = 0.25  # for the front to find who is ready, before the first job
CLIENTS_END_S = 30  # for the last clients to have their answers
END_TIMEOUT_S = 6  # for processes to end by themselves, before they are killed
GOAL_WINDOW_US = 2_000_000  # in which first attempts are observed for the goal `back_s`


def compile_package() -> None:
    """Compile the program as the deploy file does, so that a process starts as fast as in service."""
    compileall.compile_dir(os.path.dirname(mastledge.__file__), quiet=2)


class ProcessHarness:
    """Plays one scenario once, with one seed, on processes.

    `record_folder`: where the record and the logs are kept; `show`: told what goes on, line by line;
    `program`: the command that starts a dispatcher, this very program by default; `disk`: where keys are
    kept, if the disk is what is measured. Times of the record are microseconds.
    """

    def __init__(  # noqa: PLR0913 - each is an option that one command has and others do not
        self,
        scenario: Scenario,
        seed: int,
        record_folder: str | None = None,
        show: Callable[[str], None] | None = None,
        program: list[str] | None = None,
        disk: str | None = None,
    ) -> None:
        """Make the run's folder; ScenarioError where the scenario has too many dispatchers for processes."""
        if scenario.dispatchers > PROCESSES:
            raise ScenarioError(
                f"dispatchers: {scenario.dispatchers}, over {PROCESSES} processes; emulate it"
            )
        self.scenario, self.seed, self.show = scenario, seed, show
        self.disk = disk
        self.record_folder = record_folder
        # In memory where there is such a place: what others do to the disk must not decide a verdict.
        parent = MEMORY_FOLDER if os.path.isdir(MEMORY_FOLDER) else None
        self.folder = tempfile.mkdtemp(prefix="mastledge-lab-", dir=parent)
        pid = os.getpid()
        self.host = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
        self.program = program or [sys.executable, "-B", "-m", "mastledge"]
        self.random = numpy.random.Generator(numpy.random.PCG64([seed, 3]))
        self.nodes: dict[str, Dispatcher] = {}
        self.workers: dict[str, Worker] = {}
        self.link_proxies: dict[tuple[str, str], LinkProxy] = {}
        self.reserved: list[socket.socket] = []
        self.events: list[dict[str, Any]] = []
        self.started: list[tuple[str, subprocess.Popen]] = []  # each process with its dispatcher
        self.spells: list[dict[str, Any]] = []
        self.late, self.lag = 0.0, 0.0  # seconds: the latest job, and the latest turn of this process
        self.began: int | None = None
        self.snapshot = b""  # what the last call `snapshot` gave
        self.removed = 0  # members that calls have removed

    def note(self, kind: str, at: int | None = None, **fields: Any) -> None:
        """Add an event to the record, of now or of the time that is given."""
        self.events.append({"at": at or now(), "kind": kind, **fields})

    def say(self, text: str) -> None:
        """Show a line to who watches, if anybody does."""
        if self.show is None:
            return
        if self.began is None:
            self.show(f"          {text}")
        else:
            self.show(f"{(now() - self.began) / 1e6:6.2f} s  {text}")

    # What is started

    def free(self) -> str:
        """Return an address that nobody listens at.

        It stays bound here, or a link proxy could get the port next.
        """
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, 0))
        self.reserved.append(sock)
        return f"{self.host}:{sock.getsockname()[1]}"

    async def build(self) -> None:
        """Start workers, discovery and link proxies, and write each dispatcher's configuration."""
        compile_package()
        scenario = self.scenario
        for n in range(scenario.workers.count):
            self.workers[f"w{n}"] = await Worker(self, f"w{n}", scenario.workers, self.random).begin()
        self.registry = Registry(self, self.workers)
        names = [f"n{n}" for n in range(scenario.dispatchers)]
        late = [step.who for step in scenario.steps if step.fault == "add"]
        for name in [*names, *(name for name in late if name not in names)]:
            folder = os.path.join(self.folder, name)
            os.makedirs(os.path.join(folder, "tmp"), exist_ok=True)
            self.nodes[name] = Dispatcher(
                name, folder, self.free(), self.free(), self.free(), late=name in late
            )
        for one in self.nodes:
            for other in self.nodes:
                if one != other:
                    proxy = LinkProxy(self.host, self.nodes[other].peers)
                    self.link_proxies[one, other] = await proxy.begin()
        for node in self.nodes.values():
            await self.registry.agent(node.name)
            self.configure(node)

    def configure(self, node: Dispatcher) -> None:
        """Write the configuration of a dispatcher, as its addresses are now."""
        write_configuration(self, node)

    def start(self, node: Dispatcher) -> None:
        """Start a process of a dispatcher, which need not become ready."""
        env = {**os.environ, "TMPDIR": os.path.join(node.folder, "tmp"), "PYTHONDONTWRITEBYTECODE": "1"}
        with open(node.log_path, "ab") as log:
            node.process = subprocess.Popen(
                command_line(self, node), stderr=log, env=env, stdin=subprocess.DEVNULL
            )
        self.started.append((node.name, node.process))
        self.note("started", who=node.name, pid=node.process.pid)

    def killed(self, node: Dispatcher, how: int = signal.SIGKILL) -> None:
        """Kill the process of a dispatcher and wait for its end."""
        node.process.send_signal(how)
        node.process.wait()  # a kill takes no time worth the name
        self.note("exited", who=node.name, pid=node.process.pid, status=node.process.returncode)

    async def back(self, node: Dispatcher) -> None:
        """Start a dispatcher again and wait until it is ready, or killed once more by a later fault.

        RunFailedError where it is neither: the run can't go on.
        """
        self.start(node)
        process = node.process

        async def ready_or_killed() -> bool:
            try:
                return process.poll() == -signal.SIGKILL or await self.ready(node)
            except RunFailedError:
                # Killed while it was asked.
                if process.poll() == -signal.SIGKILL:
                    return True
                raise

        await self.until(
            ready_or_killed,
            READY_TIMEOUT_S,
            f"{node.name} is not ready {READY_TIMEOUT_S:.0f} s after its restart: {node.last_log_line()}",
        )

    # What is waited for

    async def until(self, holds: Callable[[], Awaitable[bool]], seconds: float, what: str) -> None:
        """Wait until it holds; RunFailedError with `what` where it does not in so many seconds."""
        last = time.monotonic() + seconds
        while not await holds():
            if time.monotonic() > last:
                raise RunFailedError(what)
            await asyncio.sleep(LOOK)

    async def until_whole(self, after: str) -> None:
        """Wait until the copies of all keys are whole; RunFailedError says after what they are not."""
        await self.until(
            self.whole, READY_TIMEOUT_S, f"copies are not whole {READY_TIMEOUT_S:.0f} s after {after}"
        )

    async def ready(self, node: Dispatcher) -> bool:
        """Whether a dispatcher says that it is ready; RunFailedError where its process has ended."""
        status, _, _ = await call(node.control, "GET", "/api/ready")
        if node.process.poll() is not None:
            raise RunFailedError(f"{node.name} ended with {node.process.returncode}: {node.last_log_line()}")
        return status == 200

    async def whole(self) -> bool:
        """Whether each dispatcher takes part in the copies, and no key waits for a further one."""
        for node in self.nodes.values():
            status, _, text = await call(node.control, "GET", "/api/copies")
            if status != 200:
                return False
            copies = json.loads(text)
            if not copies["takes_part"] or copies["moving_to"]:
                return False
        return True

    async def agreed(self, node: Dispatcher, seconds: float = 0.5) -> tuple[int, dict[str, Any]]:
        """Return the status of a dispatcher's answer, and the state that it tells to be agreed."""
        status, _, text = await call(node.control, "GET", "/api/agreed", seconds=seconds)
        return status, (json.loads(text) if status == 200 else {})

    # The run

    async def run(self) -> dict[str, Any]:
        """Play the scenario and return the record, marked incomplete where it was cut off."""
        complete, why = False, ""
        try:
            await self.build()
            await self.start_first()
            await self.play()
            complete = True
        except RunFailedError as error:
            why = str(error)
        except (asyncio.CancelledError, KeyboardInterrupt):
            why = "cut off"
        finally:
            await self.end()
        return take_record(self, complete, why)

    async def start_first(self) -> None:
        """Start all dispatchers that are there from the begin, and wait until each is ready."""
        first = [node for node in self.nodes.values() if not node.late]
        for node in first:
            self.start(node)
        for node in first:
            await self.until(
                lambda node=node: self.ready(node),
                READY_TIMEOUT_S,
                f"{node.name} is not ready in {READY_TIMEOUT_S:.0f} s",
            )

    async def play(self) -> None:
        """Play load and steps; RunFailedError where the run can't go on."""
        scenario = self.scenario
        self.began = now()
        self.say(f"{scenario.dispatchers} dispatchers and {scenario.workers.count} workers are ready")
        self.note("began")
        clients = Clients(self, scenario.clients, self.seed, scenario.seconds)
        observers = [
            asyncio.create_task(clients.front.look()),
            asyncio.create_task(measure_lag(self)),
            asyncio.create_task(record_run_delays(self)),
        ]
        if self.show is not None:
            observers.append(asyncio.create_task(show_progress(self)))
        await asyncio.sleep(FRONT_LEAD_S)
        self.began = now()
        steps = [asyncio.create_task(run_step(self, step)) for step in scenario.steps]
        load = asyncio.create_task(clients.run(self.began, self.goal_needs_load))
        try:
            for step in steps:
                await step
            rest = self.began / 1e6 + scenario.seconds - time.monotonic()
            await asyncio.sleep(max(0, rest))
            async with asyncio.timeout(CLIENTS_END_S):
                await load
            if scenario.agree:
                await settle(self)
        except TimeoutError:
            raise RunFailedError("clients did not come to an end") from None
        finally:
            for task in (*observers, *steps, load):
                task.cancel()
            await asyncio.gather(*observers, *steps, load, return_exceptions=True)

    def goal_needs_load(self) -> bool:
        """Return whether first attempts are still needed to check the goal `back_s`.

        A fault can end late, as it lasts until its dispatcher is ready again.
        """
        if not self.scenario.goals.back_s:
            return False
        return now() < goal_window_start({"spells": self.spells}, self.scenario.goals.back_s) + GOAL_WINDOW_US

    async def end(self) -> None:
        """End all processes, by force after `END_TIMEOUT_S`, and close all sockets."""
        running = [node for node in self.nodes.values() if node.process is not None]
        for node in running:
            if node.process.poll() is not None:
                self.note("crashed", who=node.name, status=node.process.returncode)
            else:
                node.process.send_signal(signal.SIGCONT)
                node.process.terminate()
        last = time.monotonic() + END_TIMEOUT_S
        for node in running:
            while node.process.poll() is None:
                if time.monotonic() > last:
                    node.process.kill()
                await asyncio.sleep(LOOK)
            self.note("exited", who=node.name, pid=node.process.pid, status=node.process.returncode)
        for stub in (*self.workers.values(), *self.link_proxies.values()):
            if stub.server:
                stub.server.close()
        for sock in self.reserved:
            sock.close()
