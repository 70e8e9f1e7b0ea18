"""A worker's side of one connection: which launch was read on it, and what was answered."""

from __future__ import annotations

import enum
import socket
from typing import TYPE_CHECKING

import orjson

from mastledge.lab.interleaving import sockets

if TYPE_CHECKING:
    from mastledge.lab.interleaving.world import World

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
TURNED_AWAY = b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


class ConnectionState(enum.Enum):
    """How far the launch on a connection is."""

    IDLE = enum.auto()
    ASKED = enum.auto()
    TAKEN = enum.auto()
    ENDING = enum.auto()  # the last line is sent, the last chunk isn't


def chunk_of(content: bytes) -> bytes:
    """Frame content as one chunk."""
    return b"%x\r\n%s\r\n" % (len(content), content)


def state_line(state: str, job: str, **more: str) -> bytes:
    """Give the chunk with a worker's line about a job."""
    return chunk_of(orjson.dumps({"id": job, "from": "w", "state": state, **more}) + b"\n")


class WorkerConnection:
    """A connection to a worker: what is being asked on it, and what was told."""

    def __init__(self, world: World, worker: str, connection: socket.socket) -> None:
        """Take over an accepted, non-blocking socket."""
        self.world, self.worker, self.socket = world, worker, connection
        self.received, self.open = b"", True
        self.job, self.first_byte_at, self.first_byte_barrier = None, None, 0
        self.state, self.launches = ConnectionState.IDLE, 0
        self.life = world.discovery.lives[worker].number

    def read(self) -> bool:
        """Read what has come; whether anything has."""
        part = sockets.receive(self.socket) if self.open else None
        if part is None:
            return False
        if not part:
            self.close()
            return True
        if not self.received:
            self.first_byte_at, self.first_byte_barrier = self.world.clock.at, self.world.barriers
        self.received += part
        head, mark, body = self.received.partition(b"\r\n\r\n")
        if mark:
            fields = [line.split(b": ") for line in head.lower().split(b"\r\n")[1:]]
            self.job = dict(fields)[b"x-txn"].decode()
        if mark and body:
            self.received, self.state = b"", ConnectionState.ASKED
            self.launches += 1
            self.note_launch()
        return True

    def note_launch(self) -> None:
        """Record the launch that was read."""
        self.world.note(
            "launch",
            job=self.job,
            key="",
            worker=self.worker,
            first=self.first_byte_at,
            attempt=id(self),
            type="render",
            life=self.life,
            lives=self.world.discovery.lives[self.worker],
            barrier=self.first_byte_barrier,
        )

    def has_answered(self) -> bool:
        """Whether it has carried an answer before the launch that is on it now."""
        return self.launches > (self.state is ConnectionState.ASKED)

    def close(self) -> None:
        """Close without a word."""
        self.open = False
        self.socket.close()

    def send(self, raw: bytes) -> None:
        """Send; a connection that is gone is closed."""
        try:
            self.socket.send(raw)
        except OSError:
            self.close()

    def take(self) -> bytes:
        """Give the head of an answer and its first line, where they have not been sent yet."""
        if self.state is ConnectionState.ASKED:
            self.state = ConnectionState.TAKEN
            return CHUNKED_HEAD + state_line("started", self.job)
        return b""

    def finish(self, raw: bytes, state: ConnectionState = ConnectionState.IDLE) -> None:
        """Send the end of an answer, or all but its last chunk."""
        self.send(raw)
        self.state = state

    def deny_launch(self, raw: bytes) -> None:
        """Send an answer that says that the launch never ran."""
        self.send(raw)
        self.world.denied_launches.add((id(self), self.job))
        self.state = ConnectionState.IDLE
