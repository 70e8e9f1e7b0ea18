"""Parses client requests into jobs and carries the answers back."""

import re
from urllib.parse import unquote_to_bytes

import h11

from mastledge.protocol import http
from mastledge.protocol.errors import BadRequestError

COMPLETED, REJECTED, KILLED = 200, 503, 500  # HTTP statuses of a job's answer
JOB_ID = re.compile(rb"[!-~]{1,128}")
NUMBER = re.compile(rb"[0-9]+(?:\.[0-9]+)?")
MAX_NUMBER = 1e12
# Duplicates are refused: one server would use the first value and another the last.
UNIQUE_HEADERS = (b"x-txn", b"x-lane", b"x-remaining-ms", b"x-estimate", b"idempotency-key", b"host")


class Exchange:
    """Holds a job's request, which is forwarded unchanged, and the callback that answers its client.

    `answer` is called once with status, headers and content. `until` is the end of the walltime, in
    microseconds of the monotonic clock.
    """

    __slots__ = (
        "answer",
        "name",
        "kind",
        "method",
        "target",
        "headers",
        "body",
        "until",
        "open",
        "job",
        "run_once",
        "conn",
        "key",
        "tenant",
        "disconnect_check",
    )

    def __init__(self) -> None:
        """Create an open exchange; the caller fills in the request."""
        self.answer, self.open, self.job, self.run_once = None, True, None, False
        self.conn = self.key = self.disconnect_check = None
        self.tenant = ""

    def client_has_disconnected(self) -> bool:
        """Return whether the client has disconnected, in which case nothing more is sent to workers."""
        return self.disconnect_check is not None and self.disconnect_check()

    def completed(self, result: bytes) -> None:
        """Answer with a result."""
        self.finish(COMPLETED, [(b"content-type", b"application/octet-stream")], result)

    def rejected(self, retry_after_us: int) -> None:
        """Answer that the job did not run and may be retried after this time; 0 sets no Retry-After."""
        self.finish(REJECTED, retry_after_headers(retry_after_us), b"")

    def killed(self) -> None:
        """Answer that the job may have run."""
        self.finish(KILLED, [], b"")

    def finish(self, status: int, headers: list[tuple[bytes, bytes]], content: bytes) -> None:
        """Answer and close the exchange; do nothing if it is closed already."""
        if self.open:
            self.open = False
            self.answer(status, headers, content)


class Requests:
    """Creates jobs from client requests according to the settings."""

    def __init__(self, settings: dict) -> None:
        """Read `queue_types` and `tenants` from the settings."""
        self.queue_types = settings["queue_types"]
        self.numbers = {queue_type["name"]: n for n, queue_type in enumerate(self.queue_types)}
        self.tenants = {name.encode(): n for n, name in enumerate(settings["tenants"])}

    def queue_type_number(self, raw: bytes) -> int | None:
        """Return the number of the queue type with this raw or percent-encoded name, or None."""
        for name in (raw, unquote_to_bytes(raw)):
            if (number := self.numbers.get(name.decode("utf-8", "replace"))) is not None:
                return number
        return None

    def queue_type_name(self, head: h11.Request) -> str | None:
        """Return the name of the queue type in the path of a request, or None."""
        number = self.queue_type_number(http.queue_type_in_path(head))
        return None if number is None else self.queue_types[number]["name"]

    def job(self, head: h11.Request, content: bytes, now: int) -> tuple[Exchange, tuple]:
        """Return the exchange of a job and the properties that the scheduler gets on its arrival.

        They are (queue type, estimate in microseconds, key, width, memory, tenant, walltime in microseconds).
        Raises BadRequestError.
        """
        queue_type = self.queue_type_number(http.queue_type_in_path(head))
        if queue_type is None:
            raise BadRequestError(404, "no such path")
        if head.method != b"POST":
            raise BadRequestError(405, "jobs come by POST")
        fields, settings = dict(head.headers), self.queue_types[queue_type]
        self._check(head, fields, queue_type)
        walltime = settings["walltime"]
        if b"x-remaining-ms" in fields:
            # An unlimited walltime of one client would distort the estimates for all others.
            walltime = min(round(parse_number(fields[b"x-remaining-ms"]) * 1000), walltime)
        exchange = new_exchange(head, fields, content, settings)
        exchange.until = now + walltime
        return exchange, self._arrival(fields, queue_type, walltime)

    def _check(self, head, fields, queue_type):
        if len(fields) < len(head.headers):
            names = [name for name, _ in head.headers]
            if any(names.count(name) > 1 for name in UNIQUE_HEADERS):
                raise BadRequestError(400, "a header stands twice")
        if not JOB_ID.fullmatch(fields.get(b"x-txn", b"")):
            raise BadRequestError(400, "X-Txn is missing or no id")
        if b"x-lane" in fields and self.queue_type_number(fields[b"x-lane"]) != queue_type:
            raise BadRequestError(400, "X-Lane and path differ")
        if self.queue_types[queue_type]["effect"] == "deduplicated" and not fields.get(b"idempotency-key"):
            raise BadRequestError(400, "Idempotency-Key is missing")

    def _arrival(self, fields, queue_type, walltime):
        labels = parse_pairs(fields.get(b"x-labels", b""), b",")
        width = parse_number(labels.get(b"width", labels.get(b"slots", b"1"))) or 1.0
        memory = parse_number(labels.get(b"ramUnits", labels.get(b"memory", b"0")))
        # The affinity key; 0 if the request has none.
        key = parse_pairs(fields.get(b"cookie", b""), b";").get(b"user", 0)
        estimate = round(parse_number(fields.get(b"x-estimate", b"0")))
        tenant = self.tenants.get(fields.get(b"x-org", b""), 0)
        return queue_type, estimate, key, width, memory, tenant, walltime


def new_exchange(head: h11.Request, fields: dict[bytes, bytes], content: bytes, queue_type: dict) -> Exchange:
    """Create the exchange of a validated request; the caller sets `until`."""
    exchange = Exchange()
    exchange.name, exchange.kind = fields[b"x-txn"].decode("latin-1"), queue_type["name"]
    exchange.run_once = queue_type["effect"] == "run-once"
    if (key := fields.get(b"idempotency-key")) is not None:
        exchange.key, exchange.tenant = key, fields.get(b"x-org", b"").decode("latin-1")
    exchange.method, exchange.target, exchange.body = head.method, head.target, content
    exchange.headers = [
        (name, value)
        for name, value in head.headers
        if name not in http.HOP_BY_HOP_HEADERS and name != b"x-remaining-ms"
    ]
    return exchange


def retry_after_headers(retry_after_us: int) -> list[tuple[bytes, bytes]]:
    """Return the Retry-After header as a list, empty for 0."""
    return [(b"retry-after", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us else []


def parse_pairs(text: bytes, separator: bytes) -> dict[bytes, bytes]:
    """Parse `name=value` pairs; pairs without a name are skipped."""
    values = {}
    for pair in text.split(separator):
        name, _, value = pair.strip().partition(b"=")
        if name:
            values[name] = value
    return values


def parse_number(text: bytes) -> float:
    """Parse a decimal number; raise BadRequestError for others, also for nan, 1e9 and 1_000."""
    value = float(text) if NUMBER.fullmatch(text) else MAX_NUMBER
    if not value < MAX_NUMBER:
        raise BadRequestError(400, f"no number: {text[:40]!r}")
    return value
