"""The messages that hand off a job to the other process of a dispatcher.

A job is offered, accepted and released on a channel of its own (`transport/descriptor_channel.py`):

1. `JobOffer`, with the sockets of client and worker and an empty file in memory. The job stays with the
   process that exits, which goes on reading the worker's answer.
2. `ACCEPTED` in the other direction. A closed channel refuses the job.
3. `JobRelease`, after the bytes of the answer that were received and not parsed yet were written to the file.
   The job belongs to the other process from then on. A closed channel withdraws the offer.
4. The other process closes the channel once it has read the release. If it dies before, the channel is
   reset, and the job belongs to the process that exits again.

Versions without offers have one datagram for a job, `HandedOffJob`.
"""

import base64
import binascii
from dataclasses import dataclass

import orjson

from mastledge.protocol import http

SOCKETS_PER_JOB = 2  # client and worker
DESCRIPTORS_PER_OFFER = SOCKETS_PER_JOB + 1  # and the file
ACCEPTED = b"accepted"
# Versions without offers read no more of a datagram, and drop a job whose datagram is longer.
MAX_DATAGRAM_BYTES = 4096


class HandedOffJobError(ValueError):
    """A message does not contain a valid job, or a valid release; the text says why."""


@dataclass(frozen=True, slots=True)
class JobOffer:
    """A job that the other process may take over.

    `kind` is the name of the queue type; `until` is the deadline of the answer to the client, in microseconds
    of the machine's monotonic clock.
    """

    name: str
    kind: str
    until: int

    def encode(self) -> bytes:
        """Return the message."""
        return orjson.dumps({"name": self.name, "kind": self.kind, "until": self.until})

    @classmethod
    def decode(cls, raw: bytes) -> "JobOffer":
        """Return the offer in a message; raise HandedOffJobError if there is none."""
        fields = decode_fields(raw, "name", "kind", "until")
        return cls(fields["name"], fields["kind"], checked_deadline(fields["until"]))


@dataclass(frozen=True, slots=True)
class JobRelease:
    """Tells that an accepted job belongs to the other process now.

    `headed` says whether the head of the worker's answer has been read.
    """

    headed: bool

    def encode(self) -> bytes:
        """Return the message."""
        return orjson.dumps({"headed": self.headed})

    @classmethod
    def decode(cls, raw: bytes) -> "JobRelease":
        """Return the release in a message; raise HandedOffJobError if there is none."""
        return cls(bool(decode_fields(raw, "headed")["headed"]))


@dataclass(frozen=True, slots=True)
class HandedOffJob:
    """A job as the process that continues gets it, with its two sockets.

    `rest` holds the bytes of the worker's answer that were received and not parsed yet; the other fields are
    those of `JobOffer` and `JobRelease`.
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
        fields = decode_fields(raw, "name", "kind", "until", "headed", "rest")
        try:
            rest = base64.b64decode(fields["rest"])
        except (ValueError, TypeError, binascii.Error) as error:
            raise HandedOffJobError(f"{type(error).__name__}: {error}") from None
        until = checked_deadline(fields["until"])
        return cls(fields["name"], fields["kind"], until, bool(fields["headed"]), rest)


def decode_fields(raw: bytes, *names: str) -> dict:
    """Return the fields of a message; raise HandedOffJobError if it is no object or lacks one of `names`."""
    try:
        fields = http.parse_object(raw)
    except ValueError as error:
        raise HandedOffJobError(f"{type(error).__name__}: {error}") from None
    for name in names:
        if name not in fields:
            raise HandedOffJobError(f"{name} is missing")
    return fields


def checked_deadline(until: object) -> int:
    """Return a deadline; raise HandedOffJobError if it is not a number."""
    if not isinstance(until, int | float):
        raise HandedOffJobError(f"until is not a number: {until!r}")
    return until
