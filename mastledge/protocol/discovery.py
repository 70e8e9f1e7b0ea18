"""Discovery: the list of workers, and the watch on its changes."""

import h11

from mastledge.protocol import http
from mastledge.protocol.clients import loads
from mastledge.transport.connection import NoSocket, TimedOut, address_of, connect
from mastledge.transport.loop import Loop

SILENT = 3_500_000  # while nothing changes an empty line comes every 2 s
STATES = {"ready", "draining", "gone"}


class BadList(ValueError):
    """A list or a line of it that cannot be understood."""


class Discovery:
    def __init__(self, loop, budget, inbox, address, words, log):
        self.loop, self.budget, self.inbox, self.address, self.log = loop, budget, inbox, address, log
        self.zones = {name: n for n, name in enumerate(words["zones"])}
        self.kinds = {name: n for n, name in enumerate(words["kinds"])}
        self.since = words["unix_now"] - Loop.now()
        self.generation, self.task = None, None

    def entries(self, told):
        """Each worker of a list as (id, address, zone, state, start, kind, cell, units)."""
        try:
            generation, out = told["generation"], []
            for one in told["instances"]:
                zone, kind, started = one["zone"], one["machineType"], one["startedAtMs"]
                if one["lifecycle"] not in STATES or not isinstance(one["instanceId"], str):
                    raise BadList(f"no worker: {one!r}"[:200])
                # The clock of the decisions is monotonic, so a start is moved to it by one fixed difference.
                born = (round(started * 1000) - self.since or 1) if started else 0
                address = address_of(one["hostPort"])
                # A zone or kind that the settings do not name is a new one, unlike all others.
                out.append((one["instanceId"], address, self.zones.setdefault(zone, len(self.zones)),
                            one["lifecycle"], born, self.kinds.setdefault(kind, len(self.kinds)),
                            int(one["cell"]), float(one["weight"])))
            if not isinstance(generation, int):
                raise BadList(f"no generation: {generation!r}")
            return generation, bool(told["reset"]), out
        except (KeyError, TypeError, AttributeError, ValueError) as error:
            raise BadList(f"{type(error).__name__}: {error}") from None

    def apply(self, told, kind=None):
        generation, reset, entries = self.entries(told)
        self.generation = generation
        if entries or reset or kind:
            self.inbox.put("members", kind or ("whole" if reset else "changes"), entries)

    def follow(self):
        """Starts the watch unless it runs."""
        if self.task is None or self.task.ended:
            self.task = self.loop.spawn(self.run(True))

    def fetch(self):
        self.loop.spawn(self.run(False))

    def run(self, watch):
        why = "ended"
        try:
            if self.generation is None or not watch:
                yield from self.whole()
            if watch:
                yield from self.watch()
        except (OSError, TimedOut, NoSocket, h11.RemoteProtocolError) as error:
            why = str(error) or type(error).__name__
        except (BadList, ValueError, http.TooLarge) as error:
            # What came after it cannot be trusted to build on what was held.
            why = f"bad list: {error}"
            self.generation = None
        if watch or why != "ended":
            self.log("discovery_broken", why=why, generation=self.generation)
            self.inbox.put("members", "failed", ())

    def asked(self, target):
        conn = yield from connect(self.loop, self.budget, "discovery", self.address, self.loop.now() + SILENT)
        try:
            http.attach(conn, h11.CLIENT)
            until = self.loop.now() + SILENT
            host = (b"host", b"%s:%d" % (self.address[0].encode(), self.address[1]))
            yield from conn.send(http.request(conn, b"GET", target, [host]), until)
            head = yield from http.event(conn, until)
            if not isinstance(head, h11.Response) or head.status_code != 200:
                raise h11.RemoteProtocolError(f"answered {getattr(head, 'status_code', 'nothing')}")
            return conn
        except BaseException:
            conn.close()
            raise

    def whole(self):
        conn = yield from self.asked(b"/registry/instances")
        try:
            content = b""
            # A list may be longer than a client's body.
            while (line := (yield from http.lines(conn, self.loop.now() + SILENT))) is not None:
                content += line
            self.apply(loads(content), "whole")
        finally:
            conn.close()

    def watch(self):
        conn = yield from self.asked(b"/registry/instances?follow=1&since=%d" % self.generation)
        try:
            self.log("discovery_followed", generation=self.generation)
            # Nothing new is news as well: it ends a failure.
            self.inbox.put("members", "changes", ())
            while (line := (yield from http.lines(conn, self.loop.now() + SILENT))) is not None:
                if line.strip():
                    self.apply(loads(line))
        finally:
            conn.close()
