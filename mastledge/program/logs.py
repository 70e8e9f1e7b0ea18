"""Logs: one JSON line an event."""

import os
import select
import time

import orjson

LONGEST_LINE_BYTES = (
    select.PIPE_BUF
)  # a pipe that reports room takes this much without making the writer wait
EVENTS_OF_SINGLE_JOBS = frozenset({"job_finished", "launch_ended"})
ALWAYS_KEPT = ("at", "name", "pid", "event")


class Log:
    """Writes events to a descriptor that may be read slowly or not at all: it never waits.

    A line that finds no room is lost; the next one that is written says in `lost` how many were.
    """

    def __init__(self, descriptor: int, name: str, level: str = "info"):
        """`name`: of the dispatcher; at level `brief` the lines of single jobs and launches are left out."""
        self._descriptor, self._name = descriptor, name
        self._left_out = EVENTS_OF_SINGLE_JOBS if level == "brief" else frozenset()
        self._process_id = os.getpid()  # two processes may have one name
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.lost = 0  # lines since the last one that was written

    def __call__(self, event: str, **fields) -> None:
        """Writes an event with its fields; what JSON cannot hold is written as text."""
        if event in self._left_out:
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
        """Whether there was room for a line."""
        try:
            ready = self._poll.poll(0)
            if ready and ready[0][1] & select.POLLOUT:
                os.write(self._descriptor, raw)
                return True
        except OSError:
            pass
        return False


def encode(line: dict) -> bytes:
    """The line as JSON; only what each line has, and its size, where it is too long."""
    try:
        raw = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError as error:
        # A line that cannot be written must not cost what it tells of.
        unwritable = {"event": "line_unwritable", "of": line["event"], "why": ascii(error)}
        return orjson.dumps(unwritable, option=orjson.OPT_APPEND_NEWLINE)
    if len(raw) <= LONGEST_LINE_BYTES:
        return raw
    short = {**{key: line[key] for key in ALWAYS_KEPT}, "cut": len(raw)}
    return orjson.dumps(short, option=orjson.OPT_APPEND_NEWLINE)
