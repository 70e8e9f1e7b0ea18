"""Admission control between the client listener and the queue, by the admission ramp."""

from collections.abc import Generator

from mastledge.protocol.client_listener import ClientListener
from mastledge.protocol.requests import COMPLETED, REJECTED, Exchange
from mastledge.recovery.admission_ramp import AdmissionRamp, AdmittedJobOutcome
from mastledge.transport.connection import Connection
from mastledge.transport.loop import Loop

OUTCOME_BY_STATUS = {COMPLETED: AdmittedJobOutcome.COMPLETED, REJECTED: AdmittedJobOutcome.REJECTED}


class AdmissionGate:
    """Rejects a job, or passes it to the listener and records its outcome."""

    def __init__(self, loop: Loop, listener: ClientListener, ramp: AdmissionRamp):
        """Take the listener, whose `jobs.take` runs an admitted job."""
        self._loop, self._listener, self._ramp = loop, listener, ramp

    def serve(self, connection: Connection, exchange: Exchange, request: tuple, is_retry: bool) -> Generator:
        """Return the answer (status, headers, body), or None if the client has left, as a coroutine."""
        admitted_at = self._loop.now()
        retry_after_us = self._ramp.admit(admitted_at, is_retry)
        if retry_after_us is not None:
            return self._reject(exchange, retry_after_us)
        answer = None
        try:
            answer = yield from self._listener.jobs.take(connection, exchange, request)
            return answer
        finally:
            # Runs also when the task is cancelled because the client has left.
            status = answer[0] if answer is not None else None
            outcome = OUTCOME_BY_STATUS.get(status, AdmittedJobOutcome.FAILED)
            now = self._loop.now()
            self._ramp.record_outcome(now, outcome, now - admitted_at)

    def _reject(self, exchange: Exchange, retry_after_us: int) -> tuple:
        exchange.open = False
        self._listener.jobs.count(exchange.kind, REJECTED)
        headers = [(b"retry-after", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us else []
        return REJECTED, headers, b""
