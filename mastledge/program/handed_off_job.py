"""The message that hands off a job to the other process of a dispatcher."""

import base64
import binascii
from dataclasses import dataclass

import orjson

from mastledge.protocol import http

SOCKETS_PER_JOB = 2  # client and worker


class HandedOffJobError(ValueError):
    """A datagram does not contain a valid job; the message says why."""


@dataclass(frozen=True, slots=True)
class HandedOffJob:
    """A job as encoded in a datagram, which carries the job's two sockets.

    `kind` is the name of the queue type; `until` is the deadline of the answer to the client, in microseconds
    of the machine's monotonic clock. `headed` says whether the head of the worker's answer has been read;
    `rest` holds the bytes of the answer that were received and not parsed yet.
    """

    name: str
    kind: str
    until: int
    headed: bool
    rest: bytes

    def encode(self) -> bytes:
        """Return the datagram."""
        rest = base64.b64encode(self.rest).decode()
        fields = {"name": self.name, "kind": self.kind, "until": self.until, "headed": self.headed}
        return orjson.dumps({**fields, "rest": rest})

    @classmethod
    def decode(cls, raw: bytes) -> "HandedOffJob":
        """Return the job in a datagram; raise HandedOffJobError if there is none."""
        try:
            fields = http.parse_object(raw)
            rest = base64.b64decode(fields["rest"])
            job = cls(fields["name"], fields["kind"], fields["until"], bool(fields["headed"]), rest)
        except (ValueError, KeyError, TypeError, binascii.Error) as error:
            raise HandedOffJobError(f"{type(error).__name__}: {error}") from None
        if not isinstance(job.until, int | float):
            raise HandedOffJobError(f"until is not a number: {job.until!r}")
        return job
