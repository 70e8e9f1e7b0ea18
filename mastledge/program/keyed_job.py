"""The running first job of an idempotency key, and the replies to keyed jobs."""

from collections.abc import Sequence
from typing import NamedTuple

from mastledge.idempotency.records import Record
from mastledge.idempotency.verdicts import EXPLANATION, HTTP_STATUS, Verdict
from mastledge.protocol import http
from mastledge.protocol.requests import KILLED, REJECTED, Exchange
from mastledge.transport.connection import Connection
from mastledge.transport.loop import Task

RETRY_AFTER_US = 500_000  # Retry-After when the key table is full or the disk fails


class Reply(NamedTuple):
    """Status, headers and body of an answer to a client, in the order that the listener expects."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    content: bytes


REJECTED_REPLY = Reply(REJECTED, (), b"")  # nothing ran
KILLED_REPLY = Reply(KILLED, (), b"")  # it may have run


def replay(status: int, content: bytes) -> Reply:
    """Return the stored answer of the first job."""
    return Reply(status, [(b"content-type", b"application/octet-stream")], content)


def rejection(verdict: Verdict) -> Reply:
    """Return the reply to a job that is not run, with `Retry-After` in seconds if a retry may succeed."""
    headers = []
    if verdict == Verdict.FULL:
        headers.append((b"retry-after", b"%.3f" % (RETRY_AFTER_US / 1e6)))
    return Reply(HTTP_STATUS[verdict], headers, EXPLANATION[verdict].encode())


class KeyedJob:
    """The first job of a key from its claim to its outcome, and the clients that wait for the outcome.

    The service refers to this object. The record does not, as that would form a reference cycle.
    """

    __slots__ = ("exchange", "record", "task", "waiters")

    def __init__(self, record: Record, exchange: Exchange) -> None:
        """Create the job; `task`, the coroutine that runs it, is set when it is spawned."""
        self.record, self.exchange = record, exchange
        self.waiters: set[Connection] = set()
        self.task: Task | None = None
        exchange.disconnect_check = self.all_clients_left

    def all_clients_left(self) -> bool:
        """Return whether no client waits any more."""
        # Read every connection, without short-circuiting: reading also consumes what the client has sent.
        left = [http.has_disconnected(conn) for conn in self.waiters]
        return all(left)
