"""The keyed jobs of a simulated dispatcher: their claims, and what becomes of each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastledge.lab.simulator.jobs import Attempt, Reply
from mastledge.replication import inputs, outputs
from mastledge.replication.inputs import JobOutcome
from mastledge.replication.outputs import Verdict

if TYPE_CHECKING:
    from mastledge.lab.simulator.dispatcher import Dispatcher

RETRY_HOLD_OFF_US = 500_000  # where a key can't be replicated
FINGERPRINT = b"p" * 16  # of each body: the simulator has no bodies
OUTCOME_BY_STATUS = {200: JobOutcome.ANSWERED, 503: JobOutcome.RELEASED}


class KeyClaims:
    """Claims that this dispatcher has at its node of the key replication, by their id."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Has no claims."""
        self.dispatcher = dispatcher
        self.attempts: dict[int, Attempt] = {}
        self.last_id = 0

    def clear(self) -> list[Attempt]:
        """Forgets all claims; their attempts."""
        attempts, self.attempts = self.attempts, {}
        return list(attempts.values())

    def holds(self, attempt: Attempt) -> bool:
        """Whether the claim of the attempt is still under way."""
        return self.attempts.get(attempt.claim_id) is attempt

    def offer(self, attempt: Attempt) -> None:
        """Asks for the key of an attempt; the verdict comes by `receive_verdict`."""
        simulation = self.dispatcher.simulation
        self.last_id += 1
        attempt.claim_id = self.last_id
        self.attempts[attempt.claim_id] = attempt
        walltime = attempt.deadline - simulation.now
        self._step(inputs.Offer(attempt.claim_id, "", attempt.key.encode(), FINGERPRINT, walltime))
        simulation.at(walltime, self.expire, attempt, self.dispatcher.incarnation)

    def receive_verdict(self, verdict: outputs.JobVerdict) -> None:
        """What becomes of a keyed job, as its node says."""
        attempt, jobs = self.attempts.get(verdict.job_id), self.dispatcher.jobs
        if attempt is None:
            if verdict.verdict is Verdict.GRANTED:
                self._step(inputs.JobEnded(verdict.job_id, JobOutcome.RELEASED))
            return
        if verdict.verdict is Verdict.GRANTED:
            jobs.submit(attempt)
            return
        del self.attempts[verdict.job_id]
        match verdict.verdict:
            case Verdict.REPLICATED | Verdict.NOT_REPLICATED:
                self._send_pending_reply(attempt, verdict.verdict)
            case Verdict.ANSWERED:
                jobs.answer(attempt, Reply(verdict.status, 0, verdict.content.decode()))
            case Verdict.UNSURE:
                jobs.answer(attempt, Reply(409))
            case Verdict.REFUSED:
                jobs.answer(attempt, Reply(verdict.status))
            case _:
                jobs.answer(attempt, Reply(503, RETRY_HOLD_OFF_US))

    def _send_pending_reply(self, attempt: Attempt, verdict: Verdict) -> None:
        if attempt.reply is None:
            return
        is_safe = verdict is Verdict.REPLICATED or attempt.reply.status != 200
        self.dispatcher.jobs.send_reply(attempt, attempt.reply if is_safe else Reply(500))

    def replicate_outcome(self, attempt: Attempt, reply: Reply) -> None:
        """A job has ended: its outcome is replicated before the reply is sent."""
        outcome = OUTCOME_BY_STATUS.get(reply.status, JobOutcome.UNSURE)
        attempt.reply = reply
        content = reply.content.encode() if outcome is JobOutcome.ANSWERED else b""
        self._step(inputs.JobEnded(attempt.claim_id, outcome, reply.status, content))

    def withdraw(self, attempt: Attempt) -> None:
        """Its client has gone before the key was granted."""
        del self.attempts[attempt.claim_id]
        self._step(inputs.ClientLeft(attempt.claim_id))

    def expire(self, attempt: Attempt, incarnation: int) -> None:
        """The walltime is over; what the scheduler does not have by now is given up."""
        if incarnation == self.dispatcher.incarnation and self.holds(attempt) and attempt.job_id is None:
            self.withdraw(attempt)
            self.dispatcher.jobs.answer(attempt, Reply(500))

    def _step(self, key_input: inputs.Input) -> None:
        host = self.dispatcher.simulation.keys.hosts[self.dispatcher.name]
        host.step(host.node, key_input)
