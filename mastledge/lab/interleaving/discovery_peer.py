"""Discovery of the program under test: two agents, the endpoint list, its changes and the watches of it."""

from __future__ import annotations

import socket
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import orjson

from mastledge.lab.interleaving import sockets
from mastledge.lab.interleaving.worker_peer import CHUNKED_HEAD, LAST_CHUNK, chunk_of

if TYPE_CHECKING:
    from mastledge.lab.interleaving.world import World

ZONES = {"s-1": "z", "s-2": "z", "s-3": "y"}


@dataclass(frozen=True, slots=True)
class WorkerLife:
    """Which start of a worker it is, and at which barrier the program was told of it (None: not yet)."""

    number: int
    told_at_barrier: int | None


@dataclass(slots=True)
class DiscoveryCall:
    """A connection to an agent: the request so far, and whether it has become a watch."""

    socket: socket.socket
    request: bytes = b""
    is_watch: bool = False


class DiscoveryPeer:
    """The agents and the list that they serve."""

    def __init__(self, world: World) -> None:
        """Listen on both agents; one worker is ready."""
        self.world = world
        self.agents = [sockets.listen(world.host), sockets.listen(world.host)]
        self.states = dict.fromkeys(ZONES, "gone") | {"s-1": "ready"}
        self.started_at_ms: dict[str, int] = {}
        self.lives = dict.fromkeys(ZONES, WorkerLife(0, 0))
        self.generation, self.calls, self.silent = 1, [], False

    def is_agent(self, address: tuple) -> bool:
        """Whether this is the address of an agent."""
        return any(address == agent.getsockname() for agent in self.agents)

    def accept_calls(self) -> bool:
        """Accept at most one call of each agent; whether there was any."""
        accepted = [call for agent in self.agents if (call := sockets.accept(agent)) is not None]
        self.calls += [DiscoveryCall(call) for call in accepted]
        return bool(accepted)

    def answer_calls(self) -> bool:
        """Read all calls and answer those that are whole; whether anything has come."""
        came = [self.answer_call(call) for call in list(self.calls)]
        return any(came)

    def answer_call(self, call: DiscoveryCall) -> bool:
        """Read one call, and answer it where it is whole; whether anything has come."""
        part = sockets.receive(call.socket)
        if part is None:
            return False
        if not part:
            call.socket.close()
            self.calls.remove(call)
            return True
        call.request += part
        if not self.silent and call.request.endswith(b"\r\n\r\n"):
            call.is_watch = b"follow=1" in call.request
            raw = orjson.dumps(self.endpoint_list(not call.is_watch)) + b"\n"
            call.socket.send(CHUNKED_HEAD + chunk_of(raw) + (b"" if call.is_watch else LAST_CHUNK))
            call.request = b""
            self.note_told()
        return True

    def endpoint_list(self, reset: bool, names: set[str] | None = None) -> dict:
        """Give the list as the program reads it: a whole one, or a change of all or some workers."""
        listed = [
            name
            for name in self.world.workers
            if (names is None or name in names) and (not reset or self.states[name] != "gone")
        ]
        return {
            "generation": self.generation,
            "reset": reset,
            "instances": [self.instance(name) for name in listed],
        }

    def instance(self, name: str) -> dict:
        """Give a worker's entry of the list."""
        return {
            "instanceId": name,
            "hostPort": sockets.address_of(self.world.workers[name]),
            "zone": ZONES[name],
            "cell": 0,
            "machineType": "k",
            "lifecycle": self.states[name],
            "weight": 1.0,
            "startedAtMs": self.started_at_ms.get(name, 0),
        }

    def note_told(self) -> None:
        """Record that the program was told of the list as it is now."""
        self.world.note("told", who="n0", generation=self.generation)
        self.lives = {
            name: replace(life, told_at_barrier=self.world.barriers) if life.told_at_barrier is None else life
            for name, life in self.lives.items()
        }

    def change(self, name: str, state: str, started_at_ms: int | None = None) -> None:
        """Change a worker's entry, with a start also its life, and tell all watches."""
        self.states[name] = state
        self.generation += 1
        if started_at_ms:
            self.started_at_ms[name] = started_at_ms
            self.lives[name] = WorkerLife(self.lives[name].number + 1, None)
        self.world.note("listed", worker=name, state=state, generation=self.generation)
        if self.silent:
            return
        raw = chunk_of(orjson.dumps(self.endpoint_list(False, {name})) + b"\n")
        for watch in self.watches():
            watch.socket.send(raw)
            self.note_told()

    def send_older_change(self) -> None:
        """Tell watches a change of a generation that is behind what was told."""
        instances = [{**one, "lifecycle": "ready"} for one in self.endpoint_list(False, {"s-1"})["instances"]]
        older = {**self.endpoint_list(False), "generation": 0, "instances": instances}
        raw = chunk_of(orjson.dumps(older) + b"\n")
        for watch in self.watches():
            watch.socket.send(raw)

    def reset_watches(self) -> None:
        """Reset the connections of all watches."""
        for watch in self.watches():
            sockets.reset_on_close(watch.socket)
            watch.socket.close()
            self.calls.remove(watch)

    def watches(self) -> list[DiscoveryCall]:
        """Give the calls that are watches."""
        return [call for call in self.calls if call.is_watch]

    def close(self) -> None:
        """Close all sockets."""
        for one in (*self.agents, *(call.socket for call in self.calls)):
            one.close()
