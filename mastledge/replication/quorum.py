"""Quorum calls: one request to all replicas of a key, repeated until each has answered or the deadline.

A call settles once: on a quorum of acknowledgements, or when a quorum is no longer possible. A settled call
may stay open so that the other replicas get its message too.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from mastledge.replication.messages import (
    ClaimKey,
    CompleteKey,
    Message,
    ReadKey,
    ReleaseClaim,
    ReplicaResponse,
    ReplicaResult,
)
from mastledge.replication.placement import Placement
from mastledge.replication.timers import Timers

if TYPE_CHECKING:
    from mastledge.replication.jobs import KeyedJob

INITIAL_RETRY_INTERVAL_US = 60_000
MAX_RETRY_INTERVAL_US = 2_000_000
# A replica that answers an outcome with one of these may store it later, so the call is repeated.
RETRYABLE_RESULTS = frozenset(
    (
        ReplicaResult.FULL,
        ReplicaResult.DISK_FAILED,
        ReplicaResult.CLAIMED,
        ReplicaResult.UNSURE,
        ReplicaResult.ANSWERED,
    )
)


class QuorumCall:
    """A call about one job's key; subclasses define the message.

    Either `on_quorum(now, call)` or `on_failure(now, call)` is called once, and `on_complete(now, call)`
    after all replicas have answered. Maps are by replica name. Acknowledgements have the id of the data
    directory, because a replica that has lost its directory counts as another one.
    """

    __slots__ = (
        "call_id",
        "job",
        "scoped_key",
        "deadline",
        "replicas",
        "acknowledged",
        "rejected",
        "responses",
        "responded",
        "on_quorum",
        "on_failure",
        "on_complete",
        "settled",
        "retry_us",
        "sent_count",
    )

    def __init__(
        self, job: KeyedJob, deadline: int, on_quorum: Callable | None, on_failure: Callable | None = None
    ):
        """Create a call about the key of `job`, which ends at `deadline`."""
        self.call_id, self.job, self.scoped_key, self.deadline = 0, job, job.scoped_key, deadline
        self.replicas, self.settled = None, False
        self.acknowledged: dict[str, str] = {}
        self.rejected: dict[str, ReplicaResponse] = {}
        self.responses: dict[str, ReplicaResponse] = {}  # of replicas that acknowledged
        self.responded: dict[str, str] = {}  # all replicas that have answered
        self.on_quorum, self.on_failure, self.on_complete = on_quorum, on_failure, None
        self.retry_us, self.sent_count = INITIAL_RETRY_INTERVAL_US, 0

    def message(self, now: int, epoch: int) -> Message:
        """Return the message to each replica."""
        raise NotImplementedError

    def record(self, sender: str, directory_id: str, response: ReplicaResponse) -> bool:
        """Record a response; return False if it cannot settle the call."""
        if response.result is ReplicaResult.DONE:
            self.acknowledge(sender, directory_id, response)
            return True
        return response.result is not ReplicaResult.STALE_EPOCH and response.result not in RETRYABLE_RESULTS

    def acknowledge(self, sender: str, directory_id: str, response: ReplicaResponse) -> None:
        """Count a replica towards the quorum."""
        self.acknowledged[sender] = directory_id
        self.responses[sender] = response

    def is_answered_by(self, name: str) -> bool:
        """Return whether this replica needs no retry."""
        return name in self.acknowledged or name in self.rejected


class ClaimCall(QuorumCall):
    """Asks the replicas to grant the key to the job's current claim."""

    __slots__ = ("claim_name", "job_deadline", "released_claims")

    def __init__(self, job: KeyedJob, deadline: int, on_quorum: Callable, on_failure: Callable):
        """Create a call for the job's current claim."""
        super().__init__(job, deadline, on_quorum, on_failure)
        self.claim_name, self.job_deadline = job.claim_name, job.deadline
        self.released_claims = job.released_claims

    def message(self, now: int, epoch: int) -> ClaimKey:
        """Return the claim request for this epoch."""
        return ClaimKey(
            self.call_id,
            epoch,
            *self.scoped_key,
            self.job.fingerprint,
            self.claim_name,
            self.job_deadline - now,
            self.released_claims,
        )

    def record(self, sender: str, directory_id: str, response: ReplicaResponse) -> bool:
        """Record a grant or a rejection; return False for a stale epoch, which is retried."""
        if response.result is ReplicaResult.GRANTED:
            self.acknowledge(sender, directory_id, response)
        elif response.result is ReplicaResult.STALE_EPOCH:
            return False
        else:
            self.rejected[sender] = response
        return True

    def restart(self, call_id: int) -> None:
        """Forget all responses and continue under a new id."""
        self.call_id = call_id
        self.acknowledged, self.rejected, self.responded = {}, {}, {}


class KeyOutcome(msgspec.Struct, frozen=True, gc=False):
    """Outcome of a claim: `answered` with an HTTP status and a body, or else its job may have run."""

    fingerprint: bytes
    claim_name: str
    answered: bool
    status: int
    content: bytes


class CompleteCall(QuorumCall):
    """Distributes the outcome of a claim, which is kept until the call's deadline."""

    __slots__ = ("outcome",)

    def __init__(
        self, job: KeyedJob, outcome: KeyOutcome, deadline: int, on_quorum: Callable, on_failure: Callable
    ):
        """Create a call for `outcome`; `deadline` is the end of its retention."""
        super().__init__(job, deadline, on_quorum, on_failure)
        self.outcome = outcome

    def message(self, now: int, epoch: int) -> CompleteKey:
        """Return the outcome with the rest of its retention."""
        outcome = self.outcome
        return CompleteKey(
            self.call_id,
            epoch,
            *self.scoped_key,
            outcome.fingerprint,
            outcome.claim_name,
            outcome.answered,
            outcome.status,
            outcome.content,
            max(0, self.deadline - now),
        )


class ReleaseCall(QuorumCall):
    """Releases the job's current claim."""

    __slots__ = ("claim_name",)

    def __init__(self, job: KeyedJob, deadline: int, on_end: Callable | None):
        """Create a call for the job's current claim; `on_end` is called with or without a quorum."""
        super().__init__(job, deadline, on_end, on_end)
        self.claim_name = job.claim_name

    def message(self, now: int, epoch: int) -> ReleaseClaim:
        """Return the release, which has no epoch."""
        return ReleaseClaim(self.call_id, *self.scoped_key, self.claim_name)


class ReadCall(QuorumCall):
    """Reads the replicas' records of the key, for a job that waits for another claim."""

    __slots__ = ("awaited_claim",)

    def __init__(self, job: KeyedJob, deadline: int, on_quorum: Callable, on_failure: Callable):
        """Create a call about the claim that the job awaits now."""
        super().__init__(job, deadline, on_quorum, on_failure)
        self.awaited_claim = job.awaited_claim

    def message(self, now: int, epoch: int) -> ReadKey:
        """Return the read request, which has no epoch."""
        return ReadKey(self.call_id, *self.scoped_key)

    def record(self, sender: str, directory_id: str, response: ReplicaResponse) -> bool:
        """Count any response as an acknowledgement."""
        self.acknowledge(sender, directory_id, response)
        return True


class NumberSequence:
    """Numbers for the calls and claims of one dispatcher."""

    def __init__(self):
        """Start with 1."""
        self._last = 0

    def next(self) -> int:
        """Return the next number."""
        self._last += 1
        return self._last


class QuorumCalls:
    """All open calls of a coordinator. Times are microseconds."""

    def __init__(self, send: Callable, timers: Timers, sequence: NumberSequence):
        """Start without calls; `send(recipient, message)` sends to any replica, including this one."""
        self._send, self._timers, self._sequence = send, timers, sequence
        self._placement = Placement()
        self._open: dict[int, QuorumCall] = {}

    def start(self, now: int, call: QuorumCall) -> QuorumCall:
        """Send the call to the replicas of its key; it settles at once if there are no replicas."""
        call.call_id = self._sequence.next()
        call.replicas = self._placement.replicas_of(*call.scoped_key)
        self._open[call.call_id] = call
        self._transmit(now, call)
        self._timers.at(call.deadline, self._expire, call)
        return call

    def close(self, call: QuorumCall) -> None:
        """Stop sending the call and ignore further responses."""
        self._open.pop(call.call_id, None)

    def on_response(self, now: int, sender: str, directory_id: str, response: ReplicaResponse) -> None:
        """Record a replica's response to an open call."""
        call = self._open.get(response.call_id)
        if call is None:
            return
        call.responded[sender] = directory_id
        if call.record(sender, directory_id, response):
            self.evaluate(now, call)

    def on_placement(self, now: int, placement: Placement) -> None:
        """Send all calls to the replicas of the new placement, and count responses by it.

        A claim call restarts when the epoch changes, because a grant of a new replica that had not caught up
        must not count.
        """
        epoch_changed = placement.epoch != self._placement.epoch
        self._placement = placement
        for call in list(self._open.values()):
            call.retry_us, call.replicas = INITIAL_RETRY_INTERVAL_US, placement.replicas_of(*call.scoped_key)
            if epoch_changed and isinstance(call, ClaimCall):
                del self._open[call.call_id]
                call.restart(self._sequence.next())
                self._open[call.call_id] = call
            self._transmit(now, call)
            if call.call_id in self._open:
                self.evaluate(now, call)

    def evaluate(self, now: int, call: QuorumCall) -> None:
        """Settle the call if its responses allow it, and close it once each replica has answered."""
        if not call.settled:
            if call.replicas.is_quorum(call.acknowledged):
                self._settle(now, call, True)
            elif call.rejected and not call.replicas.is_possible_without(call.rejected):
                self._settle(now, call, False)
        if call.call_id in self._open and all(map(call.is_answered_by, call.replicas.names)):
            self.close(call)
            self._settle(now, call, False)
            if call.on_complete is not None:
                call.on_complete(now, call)

    def statistics(self) -> dict[str, int]:
        """Return the number of unacknowledged outcomes and of the keys that they belong to."""
        calls = [call for call in self._open.values() if isinstance(call, CompleteCall)]
        unacknowledged = sum(name not in call.acknowledged for call in calls for name in call.replicas.names)
        return {"owed": unacknowledged, "under_copied": len({call.scoped_key for call in calls})}

    def _transmit(self, now: int, call: QuorumCall) -> None:
        """Send the message to each replica that has not answered, and schedule the next retry."""
        if call.call_id not in self._open:
            return
        call.sent_count += 1
        message = None
        for name in call.replicas.names:
            if not call.is_answered_by(name):
                message = message or call.message(now, self._placement.epoch)
                self._send(name, message)
        if not self._placement.current and call.on_failure is not None:
            self._settle(now, call, False)
        elif message is None:
            self.evaluate(now, call)
        else:
            self._timers.at(now + call.retry_us, self._retry, call, call.sent_count)
            call.retry_us = min(call.retry_us * 2, MAX_RETRY_INTERVAL_US)

    def _retry(self, now: int, call: QuorumCall, sent_count: int) -> None:
        if sent_count == call.sent_count:  # a later transmission has scheduled another retry
            self._transmit(now, call)

    def _expire(self, now: int, call: QuorumCall) -> None:
        if call.call_id in self._open:
            self.close(call)
            self._settle(now, call, False)

    def _settle(self, now: int, call: QuorumCall, successful: bool) -> None:
        if call.settled:
            return
        call.settled = True
        callback = call.on_quorum if successful else call.on_failure
        if callback is not None:
            callback(now, call)
