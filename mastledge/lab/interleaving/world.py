"""One program in a controlled loop, its clients, workers and discovery, and the record of what they see."""

import os
import shutil
import socket
import tempfile
from pathlib import Path

from mastledge.lab.controlled_loop import ControlledClock, ReadinessGate
from mastledge.lab.interleaving import sockets
from mastledge.lab.interleaving.client_peer import ClientPeer
from mastledge.lab.interleaving.discovery_peer import ZONES, DiscoveryPeer
from mastledge.lab.interleaving.program_settings import DRAIN_GRACE_US, EFFECTS, write_configuration
from mastledge.lab.interleaving.worker_peer import ConnectionState, WorkerConnection
from mastledge.program.configuration import load_configuration
from mastledge.program.dispatcher import Dispatcher


def own_host() -> str:
    """Give a loopback address that no other process uses, from the number of this one."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"


def scratch_folder() -> Path:
    """Make a folder, in memory where there is such a place."""
    memory = "/dev/shm" if os.path.isdir("/dev/shm") else None
    return Path(tempfile.mkdtemp(prefix="mastledge-cross-", dir=memory))


class World:
    """One program with its peers; what they see is recorded as the laboratory's judge reads it."""

    def __init__(self, effect: str) -> None:
        """Start the program, and let time pass until it serves."""
        self.effect, self.folder, self.host = effect, scratch_folder(), own_host()
        self.events: list[dict] = []
        self.answer_counts: dict[str, int] = {}
        self.faults: list[str] = []
        self.denied_launches: set[tuple[int, str]] = set()  # their workers have said that they never ran
        self.clients: list[ClientPeer] = []
        self.connections: list[WorkerConnection] = []
        self.workers = {name: sockets.listen(self.host) for name in ZONES}
        self.discovery = DiscoveryPeer(self)
        self.busy_us = self.barriers = 0
        self.configuration_path = self.folder / "config.json"
        self.address = self.free_address()
        self.configure(0)
        self.configuration = self.load_configuration()
        self.program = Dispatcher(self.configuration, self.log, self.load_configuration)
        self.loop = self.program.loop
        self.loop.on_error = lambda error: self.faults.append(f"{type(error).__name__}: {error}")
        self.clock = ControlledClock(self.loop)
        self.readiness = ReadinessGate(self.loop, self.is_to_discovery)
        self.start()

    def start(self) -> None:
        """Begin the program, and let time pass until it serves."""
        self.program.begin()
        self.settle()
        while self.program.phase != "serving":
            self.clock.at = max(self.clock.at, self.clock.due())
            self.settle()

    def free_address(self) -> str:
        """Give an address on which nobody listens."""
        listener = sockets.listen(self.host)
        address = sockets.address_of(listener)
        listener.close()
        return address

    def configure(self, agent: int) -> None:
        """Write the program's configuration, with one of the agents as its discovery."""
        write_configuration(
            self.configuration_path,
            self.address,
            sockets.address_of(self.discovery.agents[agent]),
            EFFECTS[self.effect],
            self.discovery.endpoint_list(True),
        )

    def load_configuration(self):
        """Read the program's configuration as the program does."""
        return load_configuration(str(self.configuration_path), {})

    def log(self, event: str, **fields: object) -> None:
        """Take a log event of the program: internal errors are faults."""
        if event == "internal_error":
            self.faults.append(f"{fields.get('call', '')} {fields['why']}")

    def note(self, kind: str, **fields: object) -> None:
        """Add an event to the record."""
        self.events.append({"at": self.clock.at, "kind": kind, **fields})

    def is_to_discovery(self, fd: int) -> bool:
        """Whether a descriptor leads to an agent, which answers also while connects to workers are held."""
        with socket.socket(fileno=os.dup(fd)) as connection:
            try:
                return self.discovery.is_agent(connection.getpeername())
            except OSError:
                return False

    def run_peers(self) -> bool:
        """Read what has come for the peers; discovery answers at once. Whether anything has come."""
        busy = self.accept_launches()
        busy = self.discovery.accept_calls() or busy
        busy = self.discovery.answer_calls() or busy
        for peer in (*self.connections, *self.clients):
            busy = peer.read() or busy
        return busy

    def accept_launches(self) -> bool:
        """Accept at most one connection of each worker; whether there was any."""
        busy = False
        for name, listener in list(self.workers.items()):
            connection = sockets.accept(listener)
            if connection is not None:
                self.connections.append(WorkerConnection(self, name, connection))
                busy = True
        return busy

    def settle(self) -> None:
        """Go on until nothing happens any more at this time."""
        self.clock.settle(self.run_peers)

    def pass_time(self, span_us: int) -> None:
        """Let time pass: what is due on the way comes at its time."""
        self.barriers += 1
        self.clock.run(lambda: False, span_us, self.run_peers)

    def connect_client(self) -> ClientPeer:
        """Connect one more client, with a job of its own."""
        job = f"a{len(self.clients)}"
        client = ClientPeer(self, job, "k" + job)
        self.clients.append(client)
        return client

    def newest_connection(self, *states: ConnectionState, reused: bool = False) -> WorkerConnection | None:
        """Give the newest open connection in one of the states; `reused`: one that has carried an answer."""
        for connection in reversed(self.connections):
            if connection.open and connection.state in states and (not reused or connection.has_answered()):
                return connection
        return None

    def move_worker(self, name: str) -> None:
        """Let a worker listen elsewhere."""
        self.workers[name].close()
        self.workers[name] = sockets.listen(self.host)

    def unix_ms(self) -> int:
        """Give the program's Unix time in milliseconds."""
        return (self.clock.at + self.program.discovery.unix_offset_us) // 1000

    def record(self) -> dict:
        """Give the record in the form of the laboratory's judge."""
        return {
            "events": self.events,
            "spells": [],
            "grace": DRAIN_GRACE_US,
            "goals": {},
            "repeats": False,
            "lag_ms": self.busy_us / 1000,
            "run_once": ["render"] if self.effect == "run-once" else [],
            "cold": {"span": 1_000_000, "multiple": 3.0, "slots": 100, "from": 0.3, "for": 0},
        }

    def close_peers(self) -> None:
        """Close the peers' sockets and remove the folder."""
        for peer in (*self.connections, *self.clients):
            peer.socket.close()
        for listener in self.workers.values():
            listener.close()
        self.discovery.close()
        shutil.rmtree(self.folder)
