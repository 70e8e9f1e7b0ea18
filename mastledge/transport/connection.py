"""One TCP connection: its socket, its buffer, its place in the budget."""

import errno
import os
import socket
import struct
import sys
from array import array
from ipaddress import ip_address

from mastledge.transport.budget import SHORT
from mastledge.transport.buffer import Buffer
from mastledge.transport.loop import GONE, READ, WRITE

BACKLOG = 1024
ATTACH_REUSEPORT_CBPF, RETURN = 51, 0x06  # linux/socket.h, linux/bpf_common.h
FULL = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class TimedOut(Exception):
    """The time given for a wait is over."""


class NoSocket(Exception):
    """No descriptor is left for one more connection."""


class Connection:
    __slots__ = (
        "loop",
        "sock",
        "fd",
        "budget",
        "kind",
        "buffer",
        "left",
        "http",
        "owner",
        "stood",
        "turn",
        "whole",
        "dropped",
        "opened",
    )

    def __init__(self, loop, sock, budget, kind):
        """Takes over a socket for which the budget has been asked."""
        self.loop, self.sock, self.fd, self.opened = loop, sock, sock.fileno(), loop.now()
        self.budget, self.kind, self.buffer, self.left = budget, kind, Buffer(), 0
        self.turn = -1  # of the loop, in which it was read last
        self.whole = True  # what has come of an answer ends with a whole chunk
        self.dropped = False  # bytes behind a request: nothing that follows can be read any more
        self.stood = False  # idle, and nothing has come on it since
        self.http = self.owner = None  # the parser and the holder, for the layers above
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def receive(self, until):
        """The next bytes, b"" at the end; raises OSError when the connection breaks."""
        while True:
            # Once a turn: who sends at full speed must not hold up all the others.
            if self.turn != self.loop.turns:
                self.turn = self.loop.turns
                try:
                    return self.buffer.receive(self.sock)
                except BlockingIOError:
                    pass
            if not (yield (self.fd, READ, until)):
                raise TimedOut

    def send(self, data, until):
        """Writes all of it; `left` tells how much was not written when it raises."""
        view = memoryview(data)
        self.left = len(view)
        while self.left:
            try:
                self.left -= self.sock.send(view[len(view) - self.left :])
            except BlockingIOError:
                if not (yield (self.fd, WRITE, until)):
                    raise TimedOut from None

    def quiet(self):
        """Nothing unread and not ended: only then may it be used again, or closed as idle."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def alive(self, least):
        """Whether nothing came back for what was written, in the time that a machine needs to refuse it."""
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 72)
        rtt = int.from_bytes(info[68:72], sys.byteorder)
        return not (yield (self.fd, READ | GONE, self.loop.now() + least + rtt))

    def end_sending(self):
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def close(self):
        if self.fd >= 0:
            self.loop.forget(self.fd)
            self.fd = -1
            self.sock.close()
            self.budget.give(self.kind)


def address_of(text):
    """Address and port of ADDRESS:PORT. A name is none: to look it up would hold up all connections."""
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ip_address(host)
    except ValueError:
        host = None
    if host is None or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"no address of the form ADDRESS:PORT: {text!r}")
    return host, int(port)


def connect(loop, budget, kind, address, until):
    """A new connection; OSError or TimedOut when it does not come up, NoSocket when none may be opened."""
    if not budget.take(kind):
        raise NoSocket
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    except OSError as error:
        budget.give(kind)
        if error.errno not in FULL:
            raise
        budget.evict(*SHORT)
        raise NoSocket from None
    conn = Connection(loop, sock, budget, kind)
    try:
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            if not (yield (conn.fd, WRITE, until)):
                raise TimedOut
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return conn
    except BaseException:
        conn.close()
        raise


def bound(address, together=False):
    """A socket that holds the address, `together` with other processes of this user that hold it so."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if together:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def listen(address, backlog=BACKLOG):
    sock = bound(address)
    try:
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def steer(sock, place):
    """New connections all go to the listener of this place among those that listen together.

    Without such a listener the kernel deals them out as before. False where it knows no such filter.
    """
    code = array("B", struct.pack("HBBI", RETURN, 0, 0, place))
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, code.buffer_info()[0]))
    except OSError:
        return False
    return True


def accept(sock, budget):
    """The next connection that waits, or None, and whether to wait a little before the next call."""
    while True:
        try:
            return sock.accept()[0], False
        except BlockingIOError:
            return None, False
        except OSError as error:
            # Whatever became of one connection that waited, the next ones must still be taken.
            if error.errno not in FULL or not budget.evict(*SHORT):
                return None, True
