"""Decision on a job whose key already has records at the replicas.

An answer is written back to a quorum before it is returned, as in the reads of Attiya, Bar-Noy and Dolev
("Sharing memory robustly in message-passing systems", 1995): the copy that was read may be the only one left.
"""

from collections.abc import Callable, Mapping

from mastledge.idempotency import verdicts
from mastledge.replication.claims import QUORUM_TIMEOUT_US
from mastledge.replication.jobs import JobPhase, KeyedJob
from mastledge.replication.messages import ReplicaResponse, ReplicaResult
from mastledge.replication.outputs import Verdict
from mastledge.replication.quorum import CompleteCall, KeyOutcome
from mastledge.replication.services import CoordinatorServices

RESULTS_WITH_RECORD = (ReplicaResult.ANSWERED, ReplicaResult.UNSURE, ReplicaResult.CLAIMED)


class ExistingRecords:
    """Decides on jobs by the responses of replicas; the most advanced state among them counts."""

    def __init__(
        self,
        services: CoordinatorServices,
        directory_ids: Mapping[str, str],
        await_claim: Callable[[int, KeyedJob, ReplicaResponse], None],
    ):
        """Set `await_claim(now, job, response)`, which makes a job wait for another claim.

        `directory_ids` has the last known directory id of each dispatcher.
        """
        self._jobs, self._calls, self._timers = services.jobs, services.calls, services.timers
        self._directory_ids, self._await_claim = directory_ids, await_claim

    def decide(self, now: int, job: KeyedJob, responses: Mapping[str, ReplicaResponse]) -> None:
        """Answer the job, refuse it, or let it wait; `responses` are by replica."""
        by_result: dict[ReplicaResult, list[ReplicaResponse]] = {}
        for response in responses.values():
            by_result.setdefault(response.result, []).append(response)
        if self._is_other_request(job, by_result):
            self._jobs.refuse(job, verdicts.Verdict.OTHER_REQUEST)
        elif ReplicaResult.ANSWERED in by_result:
            self._write_back(now, job, responses)
        elif ReplicaResult.UNSURE in by_result:
            self._jobs.reply(job, Verdict.UNSURE)
        elif ReplicaResult.OTHER_REQUEST in by_result:
            self._jobs.refuse(job, verdicts.Verdict.OTHER_REQUEST)
        elif ReplicaResult.CLAIMED in by_result:
            self._await_claim(now, job, by_result[ReplicaResult.CLAIMED][0])
        elif ReplicaResult.FULL in by_result or ReplicaResult.DISK_FAILED in by_result:
            self._jobs.reply(job, Verdict.FULL)
        else:
            self._jobs.reply(job, Verdict.NO_QUORUM)

    @staticmethod
    def _is_other_request(job: KeyedJob, by_result: Mapping[ReplicaResult, list[ReplicaResponse]]) -> bool:
        """Return whether a replica has a record of the key with another fingerprint."""
        return any(
            response.fingerprint and response.fingerprint != job.fingerprint
            for result in RESULTS_WITH_RECORD
            for response in by_result.get(result, ())
        )

    def _write_back(self, now: int, job: KeyedJob, responses: Mapping[str, ReplicaResponse]) -> None:
        answers = {
            name: response
            for name, response in responses.items()
            if response.result is ReplicaResult.ANSWERED
        }
        answer = next(iter(answers.values()))
        outcome = KeyOutcome(answer.fingerprint, answer.claim_name, True, answer.status, answer.content)
        job.phase = JobPhase.WAITING
        job.call = call = self._calls.start(
            now,
            CompleteCall(
                job,
                outcome,
                max(now + answer.remaining_us, now + 1),
                self._on_written_back,
                self._on_write_back_failed,
            ),
        )
        for name, response in answers.items():
            if response.claim_name == answer.claim_name:
                call.acknowledged[name] = self._directory_ids.get(name)
        self._calls.evaluate(now, call)
        if not call.settled:
            self._timers.at(min(now + QUORUM_TIMEOUT_US, job.deadline), self._on_timeout, job)

    def _on_written_back(self, now: int, call: CompleteCall) -> None:
        self._jobs.reply(call.job, Verdict.ANSWERED, call.outcome.status, call.outcome.content)

    def _on_write_back_failed(self, now: int, call: CompleteCall) -> None:
        self._jobs.reply(call.job, Verdict.NO_QUORUM)

    def _on_timeout(self, now: int, job: KeyedJob) -> None:
        if job.phase is JobPhase.WAITING and not job.is_closed:
            self._jobs.reply(job, Verdict.NO_QUORUM)
