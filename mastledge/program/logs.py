"""The log: one line of JSON per event."""

import os
import select
import time

import orjson

LONGEST_LINE_BYTES = select.PIPE_BUF  # a pipe that polls as writable accepts this much without blocking
EVENTS_OF_SINGLE_JOBS = frozenset({"job_finished", "launch_ended"})
ALWAYS_KEPT = ("at", "name", "pid", "event")


class Log:
    """Writes events to a descriptor without ever blocking, even if nobody reads from it.

    A line that does not fit is lost; the next line that is written holds the number of lost lines in `lost`.
    """

    def __init__(self, descriptor: int, name: str, level: str = "info"):
        """Log for the dispatcher `name`; level `brief` omits the events of single jobs and launches."""
        self._descriptor, self._name = descriptor, name
        self._omitted_events = EVENTS_OF_SINGLE_JOBS if level == "brief" else frozenset()
        self._process_id = os.getpid()  # distinguishes two processes of the same name
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.lost = 0  # lines lost since the last line that was written

    def __call__(self, event: str, **fields) -> None:
        """Write an event with its fields; values that JSON does not support are written as text."""
        if event in self._omitted_events:
            return
        line = {
            "at": time.time_ns() // 1_000_000,
            "name": self._name,
            "pid": self._process_id,
            "event": event,
            **fields,
        }
        if self.lost:
            line["lost"] = self.lost
        if self._write(encode(line)):
            self.lost = 0
        else:
            self.lost += 1

    def _write(self, raw):
        """Write a line if it fits; return whether it was written."""
        try:
            ready = self._poll.poll(0)
            if ready and ready[0][1] & select.POLLOUT:
                os.write(self._descriptor, raw)
                return True
        except OSError:
            pass
        return False


def encode(line: dict) -> bytes:
    """Return the line as JSON; a line that is too long is reduced to its standard fields and its size."""
    try:
        raw = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError as error:
        # Logging must not raise: a line that cannot be encoded is replaced.
        unwritable = {"event": "line_unwritable", "of": line["event"], "why": ascii(error)}
        return orjson.dumps(unwritable, option=orjson.OPT_APPEND_NEWLINE)
    if len(raw) <= LONGEST_LINE_BYTES:
        return raw
    short = {**{key: line[key] for key in ALWAYS_KEPT}, "cut": len(raw)}
    return orjson.dumps(short, option=orjson.OPT_APPEND_NEWLINE)
