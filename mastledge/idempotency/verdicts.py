"""Verdicts on jobs with a key, and the HTTP status and body for refused ones."""

from enum import StrEnum


class Verdict(StrEnum):
    """Verdict on a job with a key. The values are field names of `GET /api/copies`."""

    NEW = "new"  # the job holds the claim now and may run
    JOIN = "join"  # the first job of the key is still running; the repeat waits for its answer
    ANSWER = "answer"  # the repeat gets the answer of the first job
    MAY_HAVE_RUN = "maybe"  # the first job may have run, and its answer is unknown
    OTHER_REQUEST = "other"  # the first job of the key had another path or body
    FULL = "full"  # the table has no room for the key
    INVALID_KEY = "bad"  # the key is invalid


HTTP_STATUS = {
    Verdict.MAY_HAVE_RUN: 409,
    Verdict.OTHER_REQUEST: 422,
    Verdict.FULL: 503,
    Verdict.INVALID_KEY: 400,
}
EXPLANATION = {
    Verdict.MAY_HAVE_RUN: "the first job of this key may have run; what it came to is not known",
    Verdict.OTHER_REQUEST: "this key has come with another body",
    Verdict.FULL: "no room for one more key",
    Verdict.INVALID_KEY: "a key is 1 to 255 visible ASCII characters",
}
