"""TCP connections with their buffer and their budget entry."""

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
    """Wraps a connected socket for reads and writes by a coroutine.

    Higher layers use the fields `http` (the parser), `owner` (the task or endpoint that holds it), `reused`,
    `at_chunk_end` and `discards_input`.
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
        """Take ownership of a socket that has been acquired from the budget."""
        self.loop, self.sock, self.fd = loop, sock, sock.fileno()
        self.budget, self.kind = budget, kind
        self.opened_us = loop.now()
        self.buffer = Buffer()
        self.unsent_bytes = 0
        self.read_iteration = -1  # loop iteration of the last read
        self.at_chunk_end = True  # the received part of an answer ends with a complete chunk
        self.discards_input = False  # pipelined bytes were dropped, so no further request can be read
        self.reused = False  # taken from the idle pool, and nothing received since
        self.http = self.owner = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def receive(self, until: int | None) -> Coroutine:
        """Return the next bytes, b"" at the end of the connection.

        Raises OSError if the connection breaks, WaitTimeoutError at `until`.
        """
        while True:
            # Read once per loop iteration, so that a fast sender does not starve other connections.
            if self.read_iteration != self.loop.iterations:
                self.read_iteration = self.loop.iterations
                try:
                    return self.buffer.receive(self.sock)
                except BlockingIOError:
                    pass
            if not (yield (self.fd, READ, until)):
                raise WaitTimeoutError

    def send(self, data: bytes, until: int | None) -> Coroutine:
        """Write all data.

        Raises OSError or WaitTimeoutError; `unsent_bytes` is then the number of bytes not written.
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
        """Return whether the connection is open with nothing to read, so it may be reused or evicted."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def stays_quiet(self, margin_us: int) -> Coroutine:
        """Return whether nothing is received within a round trip time plus a margin after a write.

        A machine that refuses the written bytes resets the connection within that time.
        """
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        round_trip_us = int.from_bytes(info[TCP_INFO_RTT], sys.byteorder)
        return not (yield (self.fd, READ | PEER_SHUTDOWN, self.loop.now() + margin_us + round_trip_us))

    def shutdown_write(self) -> None:
        """Shut down the write side; data from the other side can still be read."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the socket and release its budget entry; a second call does nothing."""
        if self.fd >= 0:
            self.loop.forget(self.fd)
            self.fd = -1
            self.sock.close()
            self.budget.release(self.kind)


def address_of(text: str) -> tuple[str, int]:
    """Parse ADDRESS:PORT; raise ValueError for anything else.

    Host names are refused: a name lookup would block the event loop.
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
    """Create a TCP socket for the family of an address; raise OSError if the system has none left."""
    return socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)


def connect(loop: Loop, budget: Budget, kind: str, address: tuple[str, int], until: int) -> Coroutine:
    """Connect to an address and return the Connection.

    Raises OSError or WaitTimeoutError if the connect fails, OutOfDescriptorsError if the budget or the system
    has no descriptor left.
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
