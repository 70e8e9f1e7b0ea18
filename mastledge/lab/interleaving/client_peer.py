"""A client of the program under test: one connection with one job."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from mastledge.lab.interleaving import sockets
from mastledge.lab.interleaving.program_settings import WALLTIME_US

if TYPE_CHECKING:
    from mastledge.lab.interleaving.world import World

CONNECT_SECONDS = 2


class ClientPeer:
    """A client's connection and its one job; what it sees goes into the world's record."""

    def __init__(self, world: World, job: str, key: str) -> None:
        """Connect; nothing is sent yet."""
        self.world, self.job = world, job
        self.open, self.half_closed, self.received = True, False, b""
        self.socket = socket.create_connection(world.configuration["listen"], CONNECT_SECONDS)
        self.socket.setblocking(False)
        body = b"x"
        head = (
            f"POST /render HTTP/1.1\r\nHost: h\r\nX-Txn: {job}\r\nX-Remaining-Ms: {WALLTIME_US // 1000}\r\n"
            f"Idempotency-Key: {key}\r\nContent-Length: 1\r\n\r\n"
        )
        self.unsent = head.encode() + body

    def send(self, end: int | None = None) -> None:
        """Send what is left of the request, up to an index of it."""
        part = self.unsent[:end]
        self.unsent = self.unsent[len(part) :]
        try:
            self.socket.send(part)
        except OSError:
            self.leave()  # it was closed on
            return
        if not self.unsent:
            self.world.note("sent", job=self.job, key="", who="n0", walltime=WALLTIME_US, type="render")

    def read(self) -> bool:
        """Read what has come; whether anything has."""
        part = sockets.receive(self.socket) if self.open else None
        if part is None:
            return False
        self.received += part
        if part and self.received.startswith(b"HTTP/1.1 100"):
            self.received = self.received.partition(b"\r\n\r\n")[2]
        if part and b"\r\n\r\n" in self.received:
            self.note_answer()
        if not part:
            if not self.is_answered() and not self.unsent:
                self.world.note("lost", job=self.job, who="n0", why="closed")
            self.close()
        return True

    def is_answered(self) -> bool:
        """Whether its job has an answer."""
        return self.job in self.world.answer_counts

    def note_answer(self) -> None:
        """Record the answer that was read."""
        self.world.note(
            "answer",
            job=self.job,
            key="",
            status=int(self.received.split()[1]),
            who="n0",
            type="render",
            result=self.received.partition(b"\r\n\r\n")[2].decode(),
        )
        counts = self.world.answer_counts
        counts[self.job] = counts.get(self.job, 0) + 1
        self.received = b""

    def leave(self) -> None:
        """Close; a client that has no answer yet is recorded as one that left."""
        if self.open and not self.is_answered():
            self.world.note("left", job=self.job, who="n0")
        self.close()

    def shut_down(self) -> None:
        """End its sending, which the program takes for leaving."""
        if not self.is_answered():
            self.world.note("left", job=self.job, who="n0")
        self.half_closed = True
        self.socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close without a word."""
        self.open = False
        self.socket.close()
