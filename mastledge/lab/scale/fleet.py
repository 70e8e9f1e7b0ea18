"""The processes of a scale run: real dispatchers, hosts of lightweight ones and of workers, discovery."""

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from typing import Any

from mastledge.lab.scale import topology
from mastledge.lab.scale.discovery import ScaleDiscovery
from mastledge.lab.scale.errors import ScaleRunError
from mastledge.lab.scale.host_plans import DispatcherHostPlan, LinkRegions, WorkerHostPlan
from mastledge.lab.scale.options import (
    LIGHTWEIGHT_DISPATCHERS_PER_PROCESS,
    WORKERS_PER_PROCESS,
    ScaleOptions,
)
from mastledge.lab.scale.processes import DispatcherProcess, Host, end_all, write_json
from mastledge.lab.wire import call

READY_SECONDS = 60.0  # in which all have to be ready
POLL_SECONDS = 0.02  # between two looks at a process
CALL_SECONDS = 3.0  # that a call of an operator has
MAX_SOCKETS = 8192
MAX_MEMORY_MB = 256
WORKER_SLOTS, WORKER_RUN_MS, WORKER_COLD_MS = 8, (10, 40), 5000.0
SEEDS_PER_RUN = 4096  # of dispatchers, told apart by their numbers
OWN_SETTINGS = ("me", "locality")  # of each dispatcher, and so no part of the agreed settings


class ScaleFleet:
    """Starts all processes of a run, in a folder that is there already, and ends them."""

    def __init__(self, options: ScaleOptions, folder: str) -> None:
        """Decides who is where; nothing is started yet."""
        self.options, self.folder = options, folder
        self.dispatchers = topology.dispatchers(options, os.getpid())
        self.settings = topology.settings(options)
        self.nodes: dict[str, DispatcherProcess] = {}
        self.lightweight_hosts: list[Host] = []
        self.worker_hosts: list[Host] = []
        self.discovery: ScaleDiscovery | None = None
        self.empty_discovery: ScaleDiscovery | None = None
        self.idle: DispatcherProcess | None = None

    async def start(self) -> float:
        """Starts all; seconds from the start of the dispatchers until the real ones are ready.

        Raises ScaleRunError or HostSilentError.
        """
        await self.start_workers()
        self.empty_discovery = await ScaleDiscovery({}, 1).begin(self.dispatchers[0].host)
        agreed = {name: value for name, value in self.settings.items() if name not in OWN_SETTINGS}
        state = topology.first_state(self.options, self.dispatchers, agreed)
        links = LinkRegions(
            {one.name: one.region for one in self.dispatchers}, int(self.options.round_trip_ms * 1000)
        )
        links_path = write_json(os.path.join(self.folder, "scale.json"), links)
        began = time.monotonic()
        self.start_real(state, links_path)
        await self.start_lightweight(state, links)
        self.start_idle()
        for node in self.nodes.values():
            await self.until(
                lambda node=node: self.is_ready(node), READY_SECONDS, f"{node.name} is not ready"
            )
        return time.monotonic() - began

    async def end(self) -> None:
        """Ends all that was started."""
        processes = [*self.nodes.values(), *self.lightweight_hosts, *self.worker_hosts]
        await end_all([*processes, self.idle] if self.idle is not None else processes)
        for discovery in (self.discovery, self.empty_discovery):
            if discovery is not None:
                discovery.end()

    async def start_workers(self) -> None:
        """Starts the workers in their hosts, and the discovery that lists them."""
        names = [f"w{number:04}" for number in range(self.options.workers)]
        process_id = os.getpid()
        addresses = {}
        for number in range(self.options.worker_processes):
            network = topology.FIRST_WORKER_NETWORK + number
            plan = WorkerHostPlan(
                names=names[number * WORKERS_PER_PROCESS : (number + 1) * WORKERS_PER_PROCESS],
                host=f"127.{network}.{process_id >> 8 & 255}.{process_id & 255}",
                seed=self.options.seed + number,
                slots=WORKER_SLOTS,
                run_ms=WORKER_RUN_MS,
                cold_ms=WORKER_COLD_MS,
            )
            path = write_json(os.path.join(self.folder, f"workers-{number}.json"), plan)
            self.worker_hosts.append(Host("lightweight_workers", path))
            addresses.update(await self.worker_hosts[-1].begin())
        host = self.dispatchers[0].host
        self.discovery = await ScaleDiscovery(addresses, self.options.zones).begin(host)

    async def restart_worker(self, name: str) -> str:
        """Restarts one worker; its next address. Raises HostSilentError."""
        host = self.worker_hosts[int(name[1:5]) // WORKERS_PER_PROCESS]
        answer = await host.ask("restart", name)
        return answer[name]

    def start_real(self, state: dict, links_path: str) -> None:
        """Starts the real dispatchers, from that agreed state."""
        for one in self.dispatchers:
            if not one.real:
                continue
            folder = topology.folder_of(self.folder, one)
            peers_folder = os.path.join(folder, "peers")
            topology.write_folder(one, peers_folder, state)
            node = self.nodes[one.name] = DispatcherProcess(one.name, folder, one.listen, one.control)
            peers = {
                "listen": one.peers,
                "members": topology.listed(self.dispatchers, one),
                "folder": peers_folder,
                "lease_ms": self.options.lease_ms,
                "registry": "scale",
            }
            node.start({**self.configuration(node, one.number, self.discovery), "peers": peers}, links_path)

    def configuration(
        self, node: DispatcherProcess, number: int, discovery: ScaleDiscovery
    ) -> dict[str, Any]:
        """What configures a dispatcher, but for its peers."""
        return {
            "name": node.name,
            "listen": node.listen,
            "control": node.control,
            "discovery": discovery.address,
            "seed": f"{self.options.seed * SEEDS_PER_RUN + number:x}",
            "settings": {**self.settings, "me": number},
            "limits": {"sockets": MAX_SOCKETS, "memory_mb": MAX_MEMORY_MB},
        }

    def start_idle(self) -> None:
        """A dispatcher alone, without peers, workers or jobs: what memory is compared with."""
        host, port = self.dispatchers[0].host, self.dispatchers[0].port
        folder = os.path.join(self.folder, "idle")
        os.makedirs(os.path.join(folder, "tmp"))
        self.idle = DispatcherProcess("idle", folder, f"{host}:{port + 3}", f"{host}:{port + 4}")
        self.idle.start(self.configuration(self.idle, 0, self.empty_discovery), "")

    async def start_lightweight(self, state: dict, links: LinkRegions) -> None:
        """Starts the hosts of the lightweight dispatchers, from that agreed state."""
        lightweight = [one for one in self.dispatchers if not one.real]
        for first in range(0, len(lightweight), LIGHTWEIGHT_DISPATCHERS_PER_PROCESS):
            hosted = lightweight[first : first + LIGHTWEIGHT_DISPATCHERS_PER_PROCESS]
            plan = DispatcherHostPlan(
                regions=links.regions,
                round_trip_us=links.round_trip_us,
                hosted=[one.name for one in hosted],
                records={one.name: topology.first_records(one, state) for one in hosted},
                voters={one.name: one.peers for one in self.dispatchers if one.votes},
                addresses={one.name: one.peers for one in self.dispatchers},
                lease_us=self.options.lease_ms * 1000,
                seed=self.options.seed,
                discovery=self.discovery.address,
            )
            path = write_json(os.path.join(self.folder, f"hollow-{first}.json"), plan)
            self.lightweight_hosts.append(Host("lightweight_dispatcher", path))
            await self.lightweight_hosts[-1].begin()

    async def until(self, holds: Callable[[], Awaitable[bool]], seconds: float, what: str) -> None:
        """Waits until it holds; raises ScaleRunError with `what` is wrong where it does not in time."""
        deadline = time.monotonic() + seconds
        while not await holds():
            for host in (*self.lightweight_hosts, *self.worker_hosts):
                if host.process.returncode is not None:
                    raise ScaleRunError(f"a host of hollow ones ended with {host.process.returncode}")
            if time.monotonic() > deadline:
                raise ScaleRunError(f"{what} in {seconds:.0f} s")
            await asyncio.sleep(POLL_SECONDS)

    async def is_ready(self, node: DispatcherProcess) -> bool:
        """Whether a dispatcher says that it is; raises ScaleRunError where it has ended."""
        if node.process.poll() is not None:
            raise ScaleRunError(f"{node.name} ended with {node.process.returncode}: {node.last_line()}")
        status, _, _ = await call(node.control, "GET", "/api/ready", seconds=CALL_SECONDS)
        return status == 200
