"""Connections handed from one process to another on this machine, with a few bytes about each."""

import os
import socket

MOST = 4096


def inlet(path):
    """Where another process puts them."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        try:
            os.unlink(path)
        except FileNotFoundError:
            pass
        sock.bind(path)
        os.chmod(path, 0o600)
    except OSError:
        sock.close()
        raise
    return sock


def put(path, raw, socks):
    """Hands them on; OSError where nobody is there or no more can wait there now."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.connect(path)
        socket.send_fds(sock, [raw], [one.fileno() for one in socks])


def taken(sock, count):
    """The next bytes and their sockets; None where none waits. What came without all of them is closed."""
    try:
        raw, fds, flags, _ = socket.recv_fds(sock, MOST, count)
    except BlockingIOError:
        return None
    socks = [socket.socket(fileno=fd) for fd in fds]
    if len(socks) == count and not flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
        return raw, socks
    for one in socks:
        one.close()
    return b"", []
