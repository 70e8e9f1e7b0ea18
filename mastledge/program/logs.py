"""Logs: one JSON line an event."""

import os
import select
import time

import orjson

MOST = select.PIPE_BUF  # a pipe that reports room takes this much without making the writer wait


class Log:
    """Its descriptor may be read slowly or not at all: the dispatcher never waits for its log."""

    def __init__(self, fd, name, level="info"):
        self.fd, self.name, self.quiet = (
            fd,
            name,
            {"job_finished", "launch_ended"} if level == "brief" else (),
        )
        self.poll, self.lost, self.pid = select.poll(), 0, os.getpid()  # two processes may have one name
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, event, **fields):
        if event in self.quiet:
            return
        line = {
            "at": time.time_ns() // 1_000_000,
            "name": self.name,
            "pid": self.pid,
            "event": event,
            **fields,
        }
        if self.lost:
            line["lost"] = self.lost
        try:
            raw = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        except TypeError as error:
            # A line that cannot be written must not cost what it tells of.
            raw = orjson.dumps(
                {"event": "line_unwritable", "of": event, "why": ascii(error)},
                option=orjson.OPT_APPEND_NEWLINE,
            )
        if len(raw) > MOST:
            short = {**{key: line[key] for key in ("at", "name", "pid", "event")}, "cut": len(raw)}
            raw = orjson.dumps(short, option=orjson.OPT_APPEND_NEWLINE)
        try:
            ready = self.poll.poll(0)
            if ready and ready[0][1] & select.POLLOUT:
                os.write(self.fd, raw)
                self.lost = 0
                return
        except OSError:
            pass
        self.lost += 1
