"""Stands between the client listener and the queue: who is admitted, by the admission ramp."""

from collections.abc import Generator

from mastledge.protocol.client_listener import ClientListener
from mastledge.protocol.requests import COMPLETED, REJECTED, Exchange
from mastledge.recovery.admission_ramp import AdmissionRamp, AdmittedJobOutcome
from mastledge.transport.connection import Connection
from mastledge.transport.loop import Loop

OUTCOME_BY_STATUS = {COMPLETED: AdmittedJobOutcome.COMPLETED, REJECTED: AdmittedJobOutcome.REJECTED}


class AdmissionGate:
    """Rejects a job at once, or has the listener take it and records its outcome."""

    def __init__(self, loop: Loop, listener: ClientListener, ramp: AdmissionRamp):
        """`listener`: whose `taken` carries an admitted job out."""
        self._loop, self._listener, self._ramp = loop, listener, ramp

    def serve(self, connection: Connection, exchange: Exchange, request: tuple, is_retry: bool) -> Generator:
        """A coroutine that gives the answer (status, headers, body), None where the client has gone."""
        admitted_at = self._loop.now()
        retry_after_us = self._ramp.admit(admitted_at, is_retry)
        if retry_after_us is not None:
            return self._reject(exchange, retry_after_us)
        answer = None
        try:
            answer = yield from self._listener.taken(connection, exchange, request)
            return answer
        finally:
            # Also where the task is cancelled, as the client has gone.
            status = answer[0] if answer is not None else None
            outcome = OUTCOME_BY_STATUS.get(status, AdmittedJobOutcome.FAILED)
            now = self._loop.now()
            self._ramp.record_outcome(now, outcome, now - admitted_at)

    def _reject(self, exchange: Exchange, retry_after_us: int) -> tuple:
        exchange.open = False
        self._listener.count(exchange.kind, REJECTED)
        headers = [(b"retry-after", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us else []
        return REJECTED, headers, b""
