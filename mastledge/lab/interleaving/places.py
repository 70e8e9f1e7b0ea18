"""The places where the program waits: what leads there, and the steps that are possible next."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """The steps that lead to a place, and those that are tried there."""

    lead: tuple[str, ...]
    steps: tuple[str, ...]


CLIENT = ("client-closes", "client-resets", "client-ends")
LIST = ("drains", "gone", "restarts", "moves")
WATCH = ("watch-silent", "watch-resets", "older", "hup")
ANSWER = (
    "worker-takes",
    "worker-done",
    "worker-last-line",
    "worker-turns-away",
    "worker-returns",
    "worker-fails",
)
BREAK = ("worker-closes", "worker-resets")
TIME = ("timer", "grace", "connect-time", "window", "walltime")
ANSWERED = ("request", "worker-done")

PLACES = {
    "request": Place(("request-begins",), ("request-ends", *CLIENT, *LIST, *WATCH, "timer", "term", "full")),
    "kept": Place(ANSWERED, ("request", *BREAK, "second-answer", *LIST, "timer", "term", "hup", "full")),
    "kept-request": Place(
        (*ANSWERED, "request"), ("second-answer", *ANSWER, *BREAK, *CLIENT, *LIST, *TIME, "term")
    ),
    "quiet": Place(
        ("request",), ("timer", *BREAK, *CLIENT, *LIST, "watch-resets", "hup", "walltime", "term")
    ),
    "connect": Place(
        ("connects-held", "request"),
        ("connects-up", *CLIENT, *LIST, *WATCH, *TIME, "joins", "term", "full"),
    ),
    "asked": Place(
        ("request",),
        (*ANSWER, *BREAK, *CLIENT, *LIST, *WATCH, *TIME, "joins", "joins-elsewhere", "term", "full"),
    ),
    "taken": Place(
        ("request", "worker-takes"),
        ("worker-done", "worker-last-line", "worker-fails", *BREAK, *CLIENT, *LIST, *TIME, "term", "hup"),
    ),
    "last-line": Place(
        ("request", "worker-last-line"),
        ("worker-last-chunk", *BREAK, *CLIENT, "request", *LIST, "timer", "term"),
    ),
    "retry": Place(
        ("joins", "request", "connects-held", "worker-resets"),
        ("connects-up", *CLIENT, *LIST, *TIME, "watch-resets", "term", "full"),
    ),
    "returned": Place(
        ("joins", "request", "connects-held", "worker-returns"),
        ("connects-up", *CLIENT, *LIST, *TIME, "watch-resets", "term", "full"),
    ),
    "watch": Place(
        ("watch-silent", "drains", "timer"),
        ("watch-back", "watch-resets", "older", "request", "hup", "timer", "gone", "restarts", "term"),
    ),
    "no-worker": Place(("gone", "request"), ("joins", "restarts", *CLIENT, *WATCH, *TIME, "term", "full")),
    "leaving": Place(("request", "term"), (*ANSWER, *BREAK, *CLIENT, *TIME, "request", "drains", "hup")),
    "finishing": Place(
        (*ANSWERED, "request", "term", "nearly-finishes", "connects", "finishes"),
        ("request-ends", "worker-done", *BREAK, *CLIENT, *TIME),
    ),
    "kept-quiet": Place(
        (*ANSWERED, "request"),
        ("timer", "second-answer", *BREAK, *CLIENT, *LIST, "walltime", "term"),
    ),
    "after-drain": Place(
        ("drains", "grace"),
        ("older", "joins", "request", "watch-resets", "hup", "restarts", "timer"),
    ),
    "window": Place(
        ("joins", "request", "nearly-window", "connects-held", "worker-resets"),
        ("connects-up", "joins-elsewhere", *TIME, *CLIENT, "gone"),
    ),
}
