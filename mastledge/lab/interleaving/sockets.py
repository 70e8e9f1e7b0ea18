"""Sockets of the peers: non-blocking, read without an error where the other side is gone, reset at will."""

import socket
import struct

READ_BYTES = 1 << 16
LINGER_RESETS = struct.pack("ii", 1, 0)


def listen(host: str) -> socket.socket:
    """Give a listening socket on a free port."""
    listener = socket.create_server((host, 0))
    listener.setblocking(False)
    return listener


def accept(listener: socket.socket) -> socket.socket | None:
    """Give the next connection, None where nobody connects."""
    try:
        connection = listener.accept()[0]
    except BlockingIOError:
        return None
    connection.setblocking(False)
    return connection


def receive(connection: socket.socket) -> bytes | None:
    """Give what has come: nothing at its end or after a reset, None where nothing is there."""
    try:
        return connection.recv(READ_BYTES)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def reset_on_close(connection: socket.socket) -> None:
    """Let the next close send a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESETS)


def address_of(listener: socket.socket) -> str:
    """Give `host:port` of a listening socket."""
    host, port = listener.getsockname()
    return f"{host}:{port}"
