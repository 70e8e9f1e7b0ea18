"""Connections handed from one process to another on this machine, with a few bytes about each."""

import contextlib
import os
import socket
from collections.abc import Sequence

MAX_MESSAGE_BYTES = 4096


def open_receiver(path: str) -> socket.socket:
    """The socket to which another process sends them; OSError where the path cannot be had."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        sock.bind(path)
        os.chmod(path, 0o600)
    except OSError:
        sock.close()
        raise
    return sock


def send_sockets(path: str, message: bytes, sockets: Sequence[socket.socket]) -> None:
    """Hands them on; OSError where nobody is there or no more can wait there now."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.connect(path)
        socket.send_fds(sock, [message], [one.fileno() for one in sockets])


def receive_sockets(receiver: socket.socket, count: int) -> tuple[bytes, list[socket.socket]] | None:
    """The next message and its sockets; None where none waits.

    Of a message that came without all of them, the sockets are closed and (b"", []) is returned.
    """
    try:
        message, fds, flags, _ = socket.recv_fds(receiver, MAX_MESSAGE_BYTES, count)
    except BlockingIOError:
        return None
    sockets = [socket.socket(fileno=fd) for fd in fds]
    if len(sockets) == count and not flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
        return message, sockets
    for one in sockets:
        one.close()
    return b"", []
