"""The state of a client's TCP connection: it tells a request that was read from one that was not.

On loopback a segment reaches the other side within the system call that sends it. So right after a request
has been written, the state is ESTABLISHED if the dispatcher had not ended its sending before. A close over
unread bytes, and bytes that come after a close, are answered by a reset (RFC 9293, 3.10.7.4; RFC 2525, 2.17).
"""

from enum import Enum

from mastledge.lab.tcp_info import TCP_ESTABLISHED


class EndOfConnection(Enum):
    """How a connection ended on which a request got no answer."""

    BEFORE_REQUEST = "the dispatcher had ended its sending before the request was written"
    UNREAD = "reset: the dispatcher closed before it had read the request"
    READ = "the dispatcher read the request and ended the connection without an answer"


def end_of_connection(state_after_write: int, was_reset: bool) -> EndOfConnection:
    """Return how a connection ended, by its state right after the request and whether a reset came."""
    if state_after_write != TCP_ESTABLISHED:
        return EndOfConnection.BEFORE_REQUEST
    return EndOfConnection.UNREAD if was_reset else EndOfConnection.READ
