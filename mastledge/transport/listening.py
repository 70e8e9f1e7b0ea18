"""Listening sockets: bind, accept, and select the process that gets new connections."""

import socket
import struct
from array import array

from mastledge.transport.budget import SHORTAGE_EVICTION_ORDER, Budget
from mastledge.transport.connection import DESCRIPTOR_SHORTAGE, socket_for

BACKLOG = 1024
SO_ATTACH_REUSEPORT_CBPF, BPF_RET = 51, 0x06  # linux/socket.h, linux/bpf_common.h


def bind_socket(address: tuple[str, int], reuse_port: bool = False) -> socket.socket:
    """Bind a socket to an address; `reuse_port` shares it with other processes of this user.

    Raises OSError.
    """
    sock = socket_for(address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def listen(address: tuple[str, int], backlog: int = BACKLOG) -> socket.socket:
    """Open a listening socket; raise OSError if the address cannot be bound."""
    sock = bind_socket(address)
    try:
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def select_listener(sock: socket.socket, index: int) -> bool:
    """Direct new connections to the listener with this index among those that share the address.

    If there is no such listener, the kernel distributes them as before. Returns False if the kernel does not
    support the filter.
    """
    program = array("B", struct.pack("HBBI", BPF_RET, 0, 0, index))
    filter_option = struct.pack("HP", 1, program.buffer_info()[0])
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, filter_option)
    except OSError:
        return False
    return True


def accept(sock: socket.socket, budget: Budget) -> tuple[socket.socket | None, bool]:
    """Return the next waiting connection or None, and whether to pause before the next call."""
    while True:
        try:
            return sock.accept()[0], False
        except BlockingIOError:
            return None, False
        except OSError as error:
            # An error of one waiting connection must not stop the accepting of others.
            if error.errno not in DESCRIPTOR_SHORTAGE or not budget.evict(*SHORTAGE_EVICTION_ORDER):
                return None, True
