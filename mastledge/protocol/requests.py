"""From a client's request to the job that it asks for, and back to its answer."""

import re
from urllib.parse import unquote_to_bytes

from mastledge.protocol import http
from mastledge.protocol.errors import BadRequestError

COMPLETED, REJECTED, KILLED = 200, 503, 500
ID = re.compile(rb"[!-~]{1,128}")
FIGURE = re.compile(rb"[0-9]+(?:\.[0-9]+)?")
# Two of these would be read as the first by one and as the last by another.
ONCE = (b"x-txn", b"x-lane", b"x-remaining-ms", b"x-estimate", b"idempotency-key", b"host")


class Exchange:
    """One job's request, to be passed on as it came, and the way back to its client."""

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
        "once",
        "conn",
        "key",
        "tenant",
        "gone",
    )

    def __init__(self):
        self.answer, self.open, self.job, self.once = None, True, None, False
        self.conn = self.key = self.gone = None
        self.tenant = ""

    def left(self):
        """Whether nobody waits for its answer any more: then nothing is sent on for it."""
        return self.gone is not None and self.gone()

    def completed(self, result):
        self.finish(COMPLETED, [(b"content-type", b"application/octet-stream")], result)

    def rejected(self, hold_off):
        self.finish(REJECTED, [(b"retry-after", b"%.3f" % (hold_off / 1e6))] if hold_off else [], b"")

    def killed(self):
        self.finish(KILLED, [], b"")

    def finish(self, status, headers, content):
        if self.open:
            self.open = False
            self.answer(status, headers, content)


class Requests:
    def __init__(self, words):
        self.queue_types = words["queue_types"]
        self.types = {qt["name"]: n for n, qt in enumerate(self.queue_types)}
        self.tenants = {name.encode(): n for n, name in enumerate(words["tenants"])}

    def type_of(self, raw):
        """The queue type that a path or header names: as it stands, or quoted as URLs are; None for none."""
        for name in (raw, unquote_to_bytes(raw)):
            if (found := self.types.get(name.decode("utf-8", "replace"))) is not None:
                return found
        return None

    def name_of(self, head):
        found = self.type_of(http.queue_type_in_path(head))
        return None if found is None else self.queue_types[found]["name"]

    def job(self, head, content, now):
        """The exchange of a job, and all that the decisions are told of the job when it arrives."""
        queue_type = self.type_of(http.queue_type_in_path(head))
        if queue_type is None:
            raise BadRequestError(404, "no such path")
        if head.method != b"POST":
            raise BadRequestError(405, "jobs come by POST")
        qt, fields = self.queue_types[queue_type], dict(head.headers)
        if len(fields) < len(head.headers):
            names = [name for name, _ in head.headers]
            if any(names.count(name) > 1 for name in ONCE):
                raise BadRequestError(400, "a header stands twice")
        if not ID.fullmatch(fields.get(b"x-txn", b"")):
            raise BadRequestError(400, "X-Txn is missing or no id")
        if b"x-lane" in fields and self.type_of(fields[b"x-lane"]) != queue_type:
            raise BadRequestError(400, "X-Lane and path differ")
        if qt["effect"] == "deduplicated" and not fields.get(b"idempotency-key"):
            raise BadRequestError(400, "Idempotency-Key is missing")
        patience = qt["walltime"]
        if b"x-remaining-ms" in fields:
            # One client's walltime without end would move what is expected of all the others.
            patience = min(round(number(fields[b"x-remaining-ms"]) * 1000), patience)
        exchange = Exchange()
        exchange.name, exchange.kind = fields[b"x-txn"].decode("latin-1"), qt["name"]
        exchange.until, exchange.once = now + patience, qt["effect"] == "run-once"
        if (given := fields.get(b"idempotency-key")) is not None:
            exchange.key, exchange.tenant = given, fields.get(b"x-org", b"").decode("latin-1")
        exchange.method, exchange.target, exchange.body = head.method, head.target, content
        exchange.headers = [
            (name, value)
            for name, value in head.headers
            if name not in http.HOP_BY_HOP_HEADERS and name != b"x-remaining-ms"
        ]
        extras = pairs(fields.get(b"x-labels", b""), b",")
        width = number(extras.get(b"width", extras.get(b"slots", b"1"))) or 1.0
        memory = number(extras.get(b"ramUnits", extras.get(b"memory", b"0")))
        # What the job is about: any text will do for the decisions, 0 for none.
        key = pairs(fields.get(b"cookie", b""), b";").get(b"user", 0)
        hint = round(number(fields.get(b"x-estimate", b"0")))
        tenant = self.tenants.get(fields.get(b"x-org", b""), 0)
        return exchange, (queue_type, hint, key, width, memory, tenant, patience)


def pairs(text, mark):
    out = {}
    for pair in text.split(mark):
        name, _, value = pair.strip().partition(b"=")
        if name:
            out[name] = value
    return out


def number(text):
    # Python's own reading lets through more: nan, 1e9, 1_000.
    value = float(text) if FIGURE.fullmatch(text) else 1e12
    if not value < 1e12:
        raise BadRequestError(400, f"no number: {text[:40]!r}")
    return value
