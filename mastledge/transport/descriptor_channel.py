"""Connections between two processes on this machine, with messages that carry descriptors.

They are Unix sockets of the type SOCK_SEQPACKET: a message arrives whole or not at all, and the death of a
process closes its channels.
"""

import os
import socket
from collections.abc import Sequence

from mastledge.transport.descriptor_passing import bind_unix_socket, receive_descriptors, unix_address
from mastledge.transport.errors import ChannelClosedError, ChannelResetError
from mastledge.transport.loop import READ, Coroutine, Loop

BACKLOG = 64


class DescriptorChannel:
    """One end of a channel; no call waits except `wait_for_message`."""

    __slots__ = ("_loop", "_sock")

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        """Take ownership of a connected socket."""
        self._loop, self._sock = loop, sock
        sock.setblocking(False)

    def send(self, message: bytes, descriptors: Sequence[int] = ()) -> None:
        """Send a message, which is not empty, with descriptors; they stay open here.

        Raise BlockingIOError if the other process has yet to read earlier messages, OSError if it is gone.
        """
        socket.send_fds(self._sock, [message], descriptors)

    def receive(self, count: int) -> tuple[bytes, list[int]] | None:
        """Return the next message with its `count` descriptors, or None if there is none yet.

        Raise ChannelClosedError if the other process has closed the channel, ChannelResetError if it has done
        so before it read all messages, IncompleteMessageError if the message is truncated or lacks
        descriptors.
        """
        try:
            message, descriptors = receive_descriptors(self._sock, count)
        except BlockingIOError:
            return None
        except ConnectionResetError as error:
            raise ChannelResetError(str(error)) from None
        except OSError as error:
            raise ChannelClosedError(str(error)) from None
        if not message:
            raise ChannelClosedError("the other process has closed the channel")
        return message, descriptors

    def wait_for_message(self, count: int) -> Coroutine:
        """Return the next message with its `count` descriptors. Raises the errors of receive()."""
        while (received := self.receive(count)) is None:
            yield (self._sock.fileno(), READ, None)
        return received

    def close(self) -> None:
        """Close this end; messages that were sent can still be received."""
        if self._sock.fileno() >= 0:
            self._loop.forget(self._sock.fileno())
            self._sock.close()


def open_channel(loop: Loop, path: str) -> DescriptorChannel:
    """Open a channel to the process that listens at `path`.

    Raise FileNotFoundError or ConnectionRefusedError if none listens, BlockingIOError if too many channels
    wait there, OSError otherwise.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel = DescriptorChannel(loop, sock)
    try:
        with unix_address(path) as address:
            sock.connect(address)
    except OSError:
        channel.close()
        raise
    return channel


def listen_for_channels(path: str) -> socket.socket:
    """Return a socket that listens at `path`; raise OSError if it cannot be bound."""
    listener = bind_unix_socket(path, socket.SOCK_SEQPACKET)
    listener.listen(BACKLOG)
    return listener


def create_memory_file() -> int:
    """Return the descriptor of an empty file in memory; raise OSError if there is no descriptor left."""
    return os.memfd_create("mastledge")


def write_memory_file(descriptor: int, content: bytes) -> None:
    """Replace the content of a file in memory; raise OSError if the memory is exhausted."""
    os.ftruncate(descriptor, 0)
    with open(descriptor, "wb", closefd=False) as file:
        file.seek(0)
        file.write(content)


def read_memory_file(descriptor: int) -> bytes:
    """Return the content of a file in memory that another process has written."""
    with open(descriptor, "rb", closefd=False) as file:
        file.seek(0)
        return file.read()
