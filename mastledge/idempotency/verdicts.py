"""What becomes of a job with a key, and what a client that is turned away hears."""

from enum import StrEnum


class Verdict(StrEnum):
    """What becomes of a job with a key. The values are field names of `GET /api/copies`."""

    NEW = "new"  # it holds the claim now, and may run
    JOIN = "join"  # the first job of its key is under way, and its answer is awaited
    ANSWER = "answer"  # the answer of the first job is given again
    MAY_HAVE_RUN = "maybe"  # the first job may have run, and its answer is not known
    OTHER_REQUEST = "other"  # the first job of its key had another path or body
    FULL = "full"  # there is no room for its key
    INVALID_KEY = "bad"  # its key is no valid one


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
