"""The state of a client's TCP connection: it tells a request that was read from one that was not.

On loopback a segment reaches the other side within the system call that sends it. So right after a request
has been written, the state is ESTABLISHED if the dispatcher had not ended its sending before. A close over
unread bytes, and bytes that come after a close, are answered by a reset (RFC 9293, 3.10.7.4; RFC 2525, 2.17).
"""

import asyncio
import socket
from enum import Enum

# The first byte of `struct tcp_info` (linux/tcp.h) is the state.
TCP_ESTABLISHED = 1
TCP_CLOSE = 7


class EndOfConnection(Enum):
    """How a connection ended on which a request got no answer."""

    BEFORE_REQUEST = "the dispatcher had ended its sending before the request was written"
    UNREAD = "reset: the dispatcher closed before it had read the request"
    READ = "the dispatcher read the request and ended the connection without an answer"


def tcp_state(writer: asyncio.StreamWriter) -> int:
    """Return the state of a connection, a number of `linux/tcp.h`; TCP_CLOSE if the socket is closed."""
    sock = writer.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return TCP_CLOSE
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def end_of_connection(state_after_write: int, was_reset: bool) -> EndOfConnection:
    """Return how a connection ended, by its state right after the request and whether a reset came."""
    if state_after_write != TCP_ESTABLISHED:
        return EndOfConnection.BEFORE_REQUEST
    return EndOfConnection.UNREAD if was_reset else EndOfConnection.READ
