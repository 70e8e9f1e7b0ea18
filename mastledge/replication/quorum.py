"""Quorum calls: one request to all replicas of a key, repeated until each has answered or time is up.

A call settles once: on a quorum of acknowledgements, or once none is possible any more. A call that has
settled may stay open, so that the other replicas get its message too.
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

FIRST_RETRY_US = 60_000
LONGEST_RETRY_US = 2_000_000
# A replica that answers one of these to an outcome may take it later.
TRY_LATER = frozenset(
    (
        ReplicaResult.FULL,
        ReplicaResult.DISK_FAILED,
        ReplicaResult.CLAIMED,
        ReplicaResult.UNSURE,
        ReplicaResult.ANSWERED,
    )
)


class QuorumCall:
    """A call for one job's key; subclasses have its message.

    `on_quorum(now, call)` or `on_failure(now, call)` is called once; `on_complete(now, call)` after each
    replica has answered. Maps are by the name of a replica; ids are of data directories, as a replica that
    has lost its own is another one.
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
        """`job` has the key; at `deadline` the call ends."""
        self.call_id, self.job, self.scoped_key, self.deadline = 0, job, job.scoped_key, deadline
        self.replicas, self.settled = None, False
        self.acknowledged: dict[str, str] = {}
        self.rejected: dict[str, ReplicaResponse] = {}
        self.responses: dict[str, ReplicaResponse] = {}  # of those who acknowledged
        self.responded: dict[str, str] = {}  # all who have answered anything
        self.on_quorum, self.on_failure, self.on_complete = on_quorum, on_failure, None
        self.retry_us, self.sent_count = FIRST_RETRY_US, 0

    def message(self, now: int, epoch: int) -> Message:
        """What is sent to each replica."""
        raise NotImplementedError

    def record(self, sender: str, directory_id: str, response: ReplicaResponse) -> bool:
        """Counts a response; False where it can't settle the call."""
        if response.result is ReplicaResult.DONE:
            self.acknowledge(sender, directory_id, response)
            return True
        return response.result is not ReplicaResult.STALE_EPOCH and response.result not in TRY_LATER

    def acknowledge(self, sender: str, directory_id: str, response: ReplicaResponse) -> None:
        """Counts a replica for the quorum."""
        self.acknowledged[sender] = directory_id
        self.responses[sender] = response

    def is_answered_by(self, name: str) -> bool:
        """Whether this replica needs no retry."""
        return name in self.acknowledged or name in self.rejected


class ClaimCall(QuorumCall):
    """Asks for the key, for the job's claim as it is now."""

    __slots__ = ("claim_name", "job_deadline", "released_claims")

    def __init__(self, job: KeyedJob, deadline: int, on_quorum: Callable, on_failure: Callable):
        """Of the job's claim as it is now."""
        super().__init__(job, deadline, on_quorum, on_failure)
        self.claim_name, self.job_deadline = job.claim_name, job.deadline
        self.released_claims = job.released_claims

    def message(self, now: int, epoch: int) -> ClaimKey:
        """A request that is of this epoch."""
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
        """A replica grants the key or not; one that is ahead of this placement is asked again."""
        if response.result is ReplicaResult.GRANTED:
            self.acknowledge(sender, directory_id, response)
        elif response.result is ReplicaResult.STALE_EPOCH:
            return False
        else:
            self.rejected[sender] = response
        return True

    def restart(self, call_id: int) -> None:
        """Forgets all responses, as if it had not been sent."""
        self.call_id = call_id
        self.acknowledged, self.rejected, self.responded = {}, {}, {}


class KeyOutcome(msgspec.Struct, frozen=True, gc=False):
    """What a claim came to: `answered` with an HTTP status and a body, or its job may have run."""

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
        """`deadline` is the end of the outcome's retention."""
        super().__init__(job, deadline, on_quorum, on_failure)
        self.outcome = outcome

    def message(self, now: int, epoch: int) -> CompleteKey:
        """The outcome, with what is left of its time."""
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
    """Gives the job's claim, as it is now, back."""

    __slots__ = ("claim_name",)

    def __init__(self, job: KeyedJob, deadline: int, on_end: Callable | None):
        """Of the job's claim as it is now; `on_end` is called on a quorum as well as without one."""
        super().__init__(job, deadline, on_end, on_end)
        self.claim_name = job.claim_name

    def message(self, now: int, epoch: int) -> ReleaseClaim:
        """The release, which is of no epoch."""
        return ReleaseClaim(self.call_id, *self.scoped_key, self.claim_name)


class ReadCall(QuorumCall):
    """Reads what replicas know of the key, for a job that waits for another claim."""

    __slots__ = ("awaited_claim",)

    def __init__(self, job: KeyedJob, deadline: int, on_quorum: Callable, on_failure: Callable):
        """For the claim that the job awaits now."""
        super().__init__(job, deadline, on_quorum, on_failure)
        self.awaited_claim = job.awaited_claim

    def message(self, now: int, epoch: int) -> ReadKey:
        """The question, which is of no epoch."""
        return ReadKey(self.call_id, *self.scoped_key)

    def record(self, sender: str, directory_id: str, response: ReplicaResponse) -> bool:
        """Whatever a replica knows counts."""
        self.acknowledge(sender, directory_id, response)
        return True


class Sequence:
    """Numbers of one dispatcher's calls and claims."""

    def __init__(self):
        """Begins at 1."""
        self._last = 0

    def next(self) -> int:
        """A number that was not given before."""
        self._last += 1
        return self._last


class QuorumCalls:
    """All open calls of a coordinator. Times are microseconds."""

    def __init__(self, send: Callable, timers: Timers, sequence: Sequence):
        """`send(recipient, message)` sends to a replica, this dispatcher included."""
        self._send, self._timers, self._sequence = send, timers, sequence
        self._placement = Placement()
        self._open: dict[int, QuorumCall] = {}

    def start(self, now: int, call: QuorumCall) -> QuorumCall:
        """Sends the call to the replicas of its key. It may settle at once, where there are none."""
        call.call_id = self._sequence.next()
        call.replicas = self._placement.replicas_of(*call.scoped_key)
        self._open[call.call_id] = call
        self._transmit(now, call)
        self._timers.at(call.deadline, self._expire, call)
        return call

    def close(self, call: QuorumCall) -> None:
        """Sends the call no more, and ignores further responses."""
        self._open.pop(call.call_id, None)

    def on_response(self, now: int, sender: str, directory_id: str, response: ReplicaResponse) -> None:
        """Takes a replica's response to one of the calls."""
        call = self._open.get(response.call_id)
        if call is None:
            return
        call.responded[sender] = directory_id
        if call.record(sender, directory_id, response):
            self.evaluate(now, call)

    def on_placement(self, now: int, placement: Placement) -> None:
        """Sends all calls to the replicas of the new placement, and counts by it.

        Claims start anew with a change of epoch: what a new replica granted before it had caught up does not
        count.
        """
        epoch_changed = placement.epoch != self._placement.epoch
        self._placement = placement
        for call in list(self._open.values()):
            call.retry_us, call.replicas = FIRST_RETRY_US, placement.replicas_of(*call.scoped_key)
            if epoch_changed and isinstance(call, ClaimCall):
                del self._open[call.call_id]
                call.restart(self._sequence.next())
                self._open[call.call_id] = call
            self._transmit(now, call)
            if call.call_id in self._open:
                self.evaluate(now, call)

    def evaluate(self, now: int, call: QuorumCall) -> None:
        """Settles the call where its responses allow it, and closes it once each replica has answered."""
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
        """Outcomes that replicas have not acknowledged, and the keys that they are of."""
        calls = [call for call in self._open.values() if isinstance(call, CompleteCall)]
        owed = sum(name not in call.acknowledged for call in calls for name in call.replicas.names)
        return {"owed": owed, "under_copied": len({call.scoped_key for call in calls})}

    def _transmit(self, now: int, call: QuorumCall) -> None:
        """Sends to each replica that has not answered, and sets the next retry."""
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
            call.retry_us = min(call.retry_us * 2, LONGEST_RETRY_US)

    def _retry(self, now: int, call: QuorumCall, sent_count: int) -> None:
        if sent_count == call.sent_count:  # else it was sent again meanwhile, which has its own retry
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
