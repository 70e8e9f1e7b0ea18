"""Listening sockets: binding, accepting, and which of two processes gets the new connections."""

import socket
import struct
from array import array

from mastledge.transport.budget import SHORTAGE_EVICTION_ORDER, Budget
from mastledge.transport.connection import DESCRIPTOR_SHORTAGE, socket_for

BACKLOG = 1024
SO_ATTACH_REUSEPORT_CBPF, BPF_RET = 51, 0x06  # linux/socket.h, linux/bpf_common.h


def bind_socket(address: tuple[str, int], reuse_port: bool = False) -> socket.socket:
    """A socket that holds the address, with `reuse_port` beside other processes of this user that hold it so.

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
    """A listening socket; OSError where the address cannot be had."""
    sock = bind_socket(address)
    try:
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def select_listener(sock: socket.socket, index: int) -> bool:
    """Sends new connections to the listener of this index among those that share the address.

    Without such a listener the kernel deals them out as before. False where it knows no such filter.
    """
    program = array("B", struct.pack("HBBI", BPF_RET, 0, 0, index))
    filter_option = struct.pack("HP", 1, program.buffer_info()[0])
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, filter_option)
    except OSError:
        return False
    return True


def accept(sock: socket.socket, budget: Budget) -> tuple[socket.socket | None, bool]:
    """The next connection that waits, or None, and whether to wait a little before the next call."""
    while True:
        try:
            return sock.accept()[0], False
        except BlockingIOError:
            return None, False
        except OSError as error:
            # Whatever became of one connection that waited, the next ones must still be taken.
            if error.errno not in DESCRIPTOR_SHORTAGE or not budget.evict(*SHORTAGE_EVICTION_ORDER):
                return None, True
