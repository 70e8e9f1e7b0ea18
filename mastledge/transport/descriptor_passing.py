"""Passes connected sockets, with a short message, to another process on this machine.

The address of a Unix socket is at most 107 bytes long (unix(7)), less than many paths. A longer path is
addressed through a descriptor of its folder, so the length of the folder's path does not matter.
"""

import contextlib
import os
import socket
from collections.abc import Iterator, Sequence

from mastledge.transport.errors import IncompleteMessageError

MAX_MESSAGE_BYTES = 1024 * 1024  # above any datagram that a default send buffer accepts (socket(7))
MAX_ADDRESS_BYTES = 107  # sun_path of unix(7), without the terminating zero


@contextlib.contextmanager
def unix_address(path: str) -> Iterator[str]:
    """Return an address for the Unix socket at `path` that is valid within the context.

    Raise OSError if the folder of a long path cannot be opened. An address is still too long if the name of
    the socket itself is, without its folder.
    """
    if len(os.fsencode(path)) <= MAX_ADDRESS_BYTES:
        yield path
        return
    folder, name = os.path.split(path)
    descriptor = os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{descriptor}/{name}"
    finally:
        os.close(descriptor)


def open_receiver(path: str) -> socket.socket:
    """Open the socket that receives the messages; raise OSError if the path cannot be bound."""
    return bind_unix_socket(path, socket.SOCK_DGRAM)


def bind_unix_socket(path: str, kind: socket.SocketKind) -> socket.socket:
    """Return a socket bound to `path`, in place of one left there; raise OSError if it cannot be bound."""
    sock = socket.socket(socket.AF_UNIX, kind)
    try:
        sock.setblocking(False)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        with unix_address(path) as address:
            sock.bind(address)
        os.chmod(path, 0o600)
    except OSError:
        sock.close()
        raise
    return sock


def close_receiver(receiver: socket.socket, path: str) -> None:
    """Close the socket that receives the messages and remove its file; messages in its queue are lost."""
    receiver.close()
    with contextlib.suppress(OSError):
        os.unlink(path)


def send_sockets(path: str, message: bytes, sockets: Sequence[socket.socket]) -> None:
    """Send a message with sockets; raise OSError if there is no receiver or its queue is full."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        with unix_address(path) as address:
            sock.connect(address)
        socket.send_fds(sock, [message], [sock_to_pass.fileno() for sock_to_pass in sockets])


def receive_sockets(receiver: socket.socket, count: int) -> tuple[bytes, list[socket.socket]] | None:
    """Return the next message and its `count` sockets, or None if there is no message.

    Raise IncompleteMessageError if the message is truncated or lacks sockets.
    """
    try:
        message, descriptors = receive_descriptors(receiver, count)
    except BlockingIOError:
        return None
    return message, [socket.socket(fileno=descriptor) for descriptor in descriptors]


def receive_descriptors(sock: socket.socket, count: int) -> tuple[bytes, list[int]]:
    """Return the next message and its `count` descriptors; (b"", []) at the end of a connection.

    Raise BlockingIOError if there is no message. If the message is truncated or lacks descriptors, close
    those received and raise IncompleteMessageError.
    """
    message, descriptors, flags, _ = socket.recv_fds(sock, MAX_MESSAGE_BYTES, count)
    reason = None
    if flags & socket.MSG_TRUNC:
        reason = f"the message is longer than {MAX_MESSAGE_BYTES} bytes"
    elif message and len(descriptors) != count or flags & socket.MSG_CTRUNC:
        # The kernel drops the descriptors for which this process has none free.
        reason = f"the message brought {len(descriptors)} descriptors in place of {count}"
    if reason is None:
        return message, list(descriptors)
    for descriptor in descriptors:
        os.close(descriptor)
    raise IncompleteMessageError(reason)
