"""What the kernel knows of a TCP connection (`struct tcp_info`, linux/tcp.h).

A busy harness reads a socket late. The kernel tells when the bytes came, which is what a record has to have.
"""

import asyncio
import contextlib
import socket
import struct

from mastledge.lab.wire import now

TCP_ESTABLISHED = 1
TCP_CLOSE = 7

STATE_OFFSET = 0
LAST_DATA_RECEIVED_OFFSET = 52  # milliseconds since the last data segment came
INFO_BYTES = 56


def tcp_info(writer: asyncio.StreamWriter) -> bytes:
    """Return the first bytes of a connection's `struct tcp_info`; nothing if the socket is closed."""
    sock = writer.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return b""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)


def tcp_state(writer: asyncio.StreamWriter) -> int:
    """Return the state of a connection, a number of `linux/tcp.h`; TCP_CLOSE if the socket is closed."""
    info = tcp_info(writer)
    return info[STATE_OFFSET] if info else TCP_CLOSE


def last_data_at(writer: asyncio.StreamWriter) -> int:
    """Return the microsecond at which the last bytes came; the present one if the socket is closed.

    It is exact to one tick of the kernel, some milliseconds.
    """
    info = tcp_info(writer)
    if not info:
        return now()
    return now() - 1000 * struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)[0]


def hang_up(writer: asyncio.StreamWriter) -> int:
    """Close a connection at once, and return the microsecond; asyncio alone closes it one turn later."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        with contextlib.suppress(OSError):  # the other side has closed it
            sock.shutdown(socket.SHUT_RDWR)
    at = now()
    writer.close()
    return at
