"""One TCP connection: its socket, its buffer, its place in the budget."""

import contextlib
import errno
import os
import socket
import sys
from ipaddress import ip_address

from mastledge.transport.budget import SHORTAGE_EVICTION_ORDER, Budget
from mastledge.transport.buffer import Buffer
from mastledge.transport.errors import OutOfDescriptorsError, WaitTimeoutError
from mastledge.transport.loop import PEER_SHUTDOWN, READ, WRITE, Coroutine, Loop

DESCRIPTOR_SHORTAGE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# linux/tcp.h: tcpi_rtt in struct tcp_info, in microseconds
TCP_INFO_BYTES, TCP_INFO_RTT = 72, slice(68, 72)


class Connection:
    """A connected socket that a coroutine reads and writes.

    Some fields are for the layers above: `http` (the parser), `owner` (the task or endpoint that holds it),
    `reused`, `at_chunk_end` and `discards_input`.
    """

    __slots__ = (
        "loop",
        "sock",
        "fd",
        "budget",
        "kind",
        "buffer",
        "unsent_bytes",
        "http",
        "owner",
        "reused",
        "read_iteration",
        "at_chunk_end",
        "discards_input",
        "opened_us",
    )

    def __init__(self, loop: Loop, sock: socket.socket, budget: Budget, kind: str) -> None:
        """Takes over a socket for which the budget has been asked."""
        self.loop, self.sock, self.fd = loop, sock, sock.fileno()
        self.budget, self.kind = budget, kind
        self.opened_us = loop.now()
        self.buffer = Buffer()
        self.unsent_bytes = 0
        self.read_iteration = -1  # of the loop, in which it was read last
        self.at_chunk_end = True  # what has come of an answer ends with a whole chunk
        self.discards_input = False  # bytes behind a request: nothing that follows can be read any more
        self.reused = False  # it was idle, and nothing has come on it since
        self.http = self.owner = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def receive(self, until: int | None) -> Coroutine:
        """The next bytes, b"" at the end.

        Raises OSError when the connection breaks, WaitTimeoutError at `until`.
        """
        while True:
            # Once an iteration: who sends at full speed must not hold up all the others.
            if self.read_iteration != self.loop.iterations:
                self.read_iteration = self.loop.iterations
                try:
                    return self.buffer.receive(self.sock)
                except BlockingIOError:
                    pass
            if not (yield (self.fd, READ, until)):
                raise WaitTimeoutError

    def send(self, data: bytes, until: int | None) -> Coroutine:
        """Writes all of it.

        Raises OSError or WaitTimeoutError; `unsent_bytes` tells then how much was not written.
        """
        view = memoryview(data)
        self.unsent_bytes = len(view)
        while self.unsent_bytes:
            try:
                self.unsent_bytes -= self.sock.send(view[len(view) - self.unsent_bytes :])
            except BlockingIOError:
                if not (yield (self.fd, WRITE, until)):
                    raise WaitTimeoutError from None

    def is_quiet(self) -> bool:
        """Nothing unread and not ended: only then may it be used again, or closed as idle."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def stays_quiet(self, margin_us: int) -> Coroutine:
        """Whether nothing comes back for what was written, within a round trip and a margin.

        A machine that refuses it tells so in that time.
        """
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        round_trip_us = int.from_bytes(info[TCP_INFO_RTT], sys.byteorder)
        return not (yield (self.fd, READ | PEER_SHUTDOWN, self.loop.now() + margin_us + round_trip_us))

    def shutdown_write(self) -> None:
        """Ends the sending; what the other side still sends can be read."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the socket and gives its place back; a second call does nothing."""
        if self.fd >= 0:
            self.loop.forget(self.fd)
            self.fd = -1
            self.sock.close()
            self.budget.release(self.kind)


def address_of(text: str) -> tuple[str, int]:
    """Address and port of ADDRESS:PORT; ValueError for anything else.

    A name is no address: to look it up would hold up all connections.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ip_address(host)
    except ValueError:
        host = None
    if host is None or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"no address of the form ADDRESS:PORT: {text!r}")
    return host, int(port)


def socket_for(address: tuple[str, int]) -> socket.socket:
    """A new TCP socket of the family of an address; OSError where the system has none."""
    return socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)


def connect(loop: Loop, budget: Budget, kind: str, address: tuple[str, int], until: int) -> Coroutine:
    """A new Connection.

    Raises OSError or WaitTimeoutError when it does not come up, OutOfDescriptorsError when none may be
    opened.
    """
    if not budget.acquire(kind):
        raise OutOfDescriptorsError
    try:
        sock = socket_for(address)
    except OSError as error:
        budget.release(kind)
        if error.errno not in DESCRIPTOR_SHORTAGE:
            raise
        budget.evict(*SHORTAGE_EVICTION_ORDER)
        raise OutOfDescriptorsError from None
    connection = Connection(loop, sock, budget, kind)
    try:
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            if not (yield (connection.fd, WRITE, until)):
                raise WaitTimeoutError
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return connection
    except BaseException:
        connection.close()
        raise
