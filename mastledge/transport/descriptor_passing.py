"""Passes connected sockets, with a short message, to another process on this machine."""

import contextlib
import os
import socket
from collections.abc import Sequence

MAX_MESSAGE_BYTES = 4096


def open_receiver(path: str) -> socket.socket:
    """Open the socket that receives the messages; raise OSError if the path cannot be bound."""
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
    """Send a message with sockets; raise OSError if there is no receiver or its queue is full."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.connect(path)
        socket.send_fds(sock, [message], [sock_to_pass.fileno() for sock_to_pass in sockets])


def receive_sockets(receiver: socket.socket, count: int) -> tuple[bytes, list[socket.socket]] | None:
    """Return the next message and its sockets, or None if there is no message.

    If a message arrives truncated or without all `count` sockets, close those received and return (b"", []).
    """
    try:
        message, fds, flags, _ = socket.recv_fds(receiver, MAX_MESSAGE_BYTES, count)
    except BlockingIOError:
        return None
    sockets = [socket.socket(fileno=fd) for fd in fds]
    if len(sockets) == count and not flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
        return message, sockets
    for received_socket in sockets:
        received_socket.close()
    return b"", []
