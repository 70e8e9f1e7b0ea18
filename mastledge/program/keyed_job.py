"""A first job of a key that is under way, and the replies that keyed jobs get."""

from collections.abc import Sequence
from typing import NamedTuple

from mastledge.idempotency.records import Record
from mastledge.idempotency.verdicts import EXPLANATION, HTTP_STATUS, Verdict
from mastledge.protocol import http
from mastledge.protocol.requests import KILLED, REJECTED, Exchange
from mastledge.transport.connection import Connection
from mastledge.transport.loop import Task

RETRY_AFTER_US = 500_000  # when a client may come back that found no room or a failing disk


class Reply(NamedTuple):
    """Status, headers and body of a client's answer, in the order in which the listener takes them."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    content: bytes


REJECTED_REPLY = Reply(REJECTED, (), b"")  # nothing ran
KILLED_REPLY = Reply(KILLED, (), b"")  # it may have run


def replay(status: int, content: bytes) -> Reply:
    """The answer of the first job once more."""
    return Reply(status, [(b"content-type", b"application/octet-stream")], content)


def rejection(verdict: Verdict) -> Reply:
    """What a client hears whose job is not run; with a `Retry-After` in seconds where a retry may help."""
    headers = []
    if verdict == Verdict.FULL:
        headers.append((b"retry-after", b"%.3f" % (RETRY_AFTER_US / 1e6)))
    return Reply(HTTP_STATUS[verdict], headers, EXPLANATION[verdict].encode())


class KeyedJob:
    """The first job of a key from its claim to its outcome, and whoever waits for that.

    Held by the service and not by the record, which must not become part of a reference cycle.
    """

    __slots__ = ("exchange", "record", "task", "waiters")

    def __init__(self, record: Record, exchange: Exchange) -> None:
        """`task` is the coroutine that sees the job through, once it is spawned."""
        self.record, self.exchange = record, exchange
        self.waiters: set[Connection] = set()
        self.task: Task | None = None
        exchange.gone = self.all_clients_left

    def all_clients_left(self) -> bool:
        """Whether nobody waits any more."""
        # Each connection is read, whatever the others say: that takes up what its client has sent.
        left = [http.left(conn) for conn in self.waiters]
        return all(left)
