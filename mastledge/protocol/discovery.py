"""Discovery: the list of workers, and the watch on its changes."""

import h11

from mastledge.protocol import http
from mastledge.transport.connection import address_of, connect
from mastledge.transport.errors import OutOfDescriptorsError, WaitTimeoutError
from mastledge.transport.loop import Loop

# What discovery holds counts as told 6 s after it can be reached (4 s after SIGHUP, which starts a call at
# once). The call that is out then ends within SILENT, as a watch and a whole list are given up after that, a
# connect and a head (ANSWER) sooner; the next begins within LONGEST and is answered at once: 3.0 s in all.
# Where lists are asked for, the calls of all dispatchers wait in turn. One that is given up has cost its
# answer for nothing, and where all give up early most hear nothing. So it has as long as 6 s leave: 5.5 s.
# One that is refused comes again within LONGEST, before the queue has run dry: all have been answered once
# discovery has done the work for all (docs/incidents/calls-in-turn.md).
SILENT = 2_600_000  # while nothing changes an empty line comes every 2 s
ANSWER = 1_000_000  # the list is held on this machine and is given at once, or not at all
IN_TURN = 2_500_000  # where it is asked for
# A watch that broke is taken up again soon, but not in a rush.
PAUSE, LONGEST = 50_000, 400_000
MOST_LIST = 16 * 1024 * 1024
STATES = {"ready", "draining", "gone"}


class BadList(ValueError):
    """A list or a line of it that cannot be understood."""


class Discovery:
    def __init__(self, loop, budget, inbox, address, words, log):
        self.loop, self.budget, self.inbox, self.address, self.log = loop, budget, inbox, address, log
        self.zones = {name: n for n, name in enumerate(words["zones"])}
        self.kinds = {name: n for n, name in enumerate(words["kinds"])}
        self.since = words["unix_now"] - Loop.now()
        self.generation, self.task, self.trouble = None, None, None
        self.answered, self.answer = False, IN_TURN if words["asked"] else ANSWER

    def configure(self, words):
        """The numbers of the zones and kinds that settings name; those in use stay as they are."""
        self.answer = IN_TURN if words["asked"] else ANSWER
        return (
            [self.zones.setdefault(name, len(self.zones)) for name in words["zones"]],
            [self.kinds.setdefault(name, len(self.kinds)) for name in words["kinds"]],
        )

    def entry(self, one):
        """A worker of a list as (id, address, zone, state, start, kind, cell, units)."""
        zone, kind, started = one["zone"], one["machineType"], one["startedAtMs"]
        if one["lifecycle"] not in STATES or not isinstance(one["instanceId"], str):
            raise ValueError(f"no worker: {one!r}"[:200])
        # The clock of the decisions is monotonic, so a start is moved to it by one fixed difference.
        born = (round(started * 1000) - self.since or 1) if started else 0
        # A zone or kind that the settings do not name is a new one, unlike all others.
        return (
            one["instanceId"],
            address_of(one["hostPort"]),
            self.zones.setdefault(zone, len(self.zones)),
            one["lifecycle"],
            born,
            self.kinds.setdefault(kind, len(self.kinds)),
            int(one["cell"]),
            float(one["weight"]),
        )

    def apply(self, told, whole=None):
        """Takes over a list or a change. One bad entry spoils a change, but not a whole list asked for."""
        entries = []
        try:
            generation, reset = told["generation"], bool(told["reset"])
            if not isinstance(generation, int):
                raise ValueError(f"no generation: {generation!r}")
            if not (reset or whole) and generation < (self.generation or generation):
                # An older change may free a worker that a newer one has named as draining.
                raise ValueError(f"generation {generation} behind {self.generation}")
            for one in told["instances"]:
                try:
                    entries.append(self.entry(one))
                except (KeyError, TypeError, AttributeError, ValueError) as error:
                    if whole is None:
                        raise
                    self.log("discovery_entry_invalid", why=f"{type(error).__name__}: {error}")
        except (KeyError, TypeError, AttributeError, ValueError) as error:
            raise BadList(f"{type(error).__name__}: {error}") from None
        self.generation = generation
        if entries or reset or whole:
            self.inbox.put("members", whole or ("whole" if reset else "changes"), entries)

    def follow(self):
        """Starts the watch unless it is kept up already."""
        if self.task is None or self.task.ended:
            self.task = self.loop.spawn(self.kept_up())

    def move(self, address):
        """Asks elsewhere from now on. What is held stays in force until that place has told its list."""
        if address == self.address:
            return
        # A generation is its registry's own: changes counted from another's could leave some out unseen.
        self.address, self.generation, self.trouble = address, None, None
        if self.task is not None:
            self.loop.cancel(self.task)
            self.follow()

    def kept_up(self):
        fails = 0
        while True:
            began = self.loop.now()
            yield from self.tried(self.watch())
            fails = 0 if self.loop.now() - began > SILENT else fails + 1
            yield (-1, 0, self.loop.now() + min(PAUSE << min(fails, 8), LONGEST))

    def tried(self, steps):
        """Runs a call of discovery; whatever becomes of it, the list that is held stays in force."""
        try:
            yield from steps
            return
        except BadList as error:
            # What comes after it cannot be trusted to build on what is held.
            self.generation, why = None, f"bad list: {error}"
        except (
            OSError,
            WaitTimeoutError,
            OutOfDescriptorsError,
            h11.RemoteProtocolError,
            http.TooLarge,
        ) as error:
            why = str(error) or type(error).__name__
        if why != self.trouble:
            # Taken up again several times a second, it must not fill the log while it is down.
            self.trouble = why
            self.log("discovery_watch_failed", why=why, generation=self.generation)
        self.inbox.put("members", "failed", ())

    def asked(self, target):
        until = self.loop.now() + self.answer
        conn = yield from connect(self.loop, self.budget, "discovery", self.address, until)
        try:
            http.attach(conn, h11.CLIENT)
            host = (b"host", b"%s:%d" % (self.address[0].encode(), self.address[1]))
            yield from conn.send(http.request(conn, b"GET", target, [host]), until)
            head = yield from http.head(conn, until)
            if head.status_code != 200:
                raise h11.RemoteProtocolError(f"answered {head.status_code}")
            return conn
        except BaseException:
            conn.close()
            raise

    def read(self, line):
        try:
            return http.loads(line)
        except ValueError as error:
            raise BadList(str(error)) from None

    def change(self, conn):
        """The next object of a watch, in one line or indented; nothing for an empty line, None at the end."""
        parts, size, until = [], 0, self.loop.now() + SILENT
        while (line := (yield from http.lines(conn, until, MOST_LIST))) is not None:
            if not parts and not line.strip():
                return {}
            size += len(line) + 1
            if parts and not line[:1].isspace() and not line.startswith(b"}") or size > MOST_LIST:
                raise BadList(f"cut off: {parts[0][:80]!r}")
            parts.append(line)
            # An indented one opens in a line of its own, and all up to its end is further in.
            if line.startswith(b"}") or line.strip() != b"{" and len(parts) == 1:
                return self.read(b"\n".join(parts))
        return None

    def restrict(self, conn):
        """Who is draining or gone by what stands behind a bad change: that counts as told as well.

        The whole list that is asked for now frees who is not.
        """
        try:
            while isinstance(got := conn.http.next_event(), h11.Data):
                conn.buffer.append(got.data)
        except h11.RemoteProtocolError:
            pass
        while (line := conn.buffer.next_line()) is not None:
            try:
                entries = [self.entry(one) for one in http.loads(line)["instances"]]
            except (KeyError, TypeError, AttributeError, ValueError):
                continue
            if entries := [entry for entry in entries if entry[3] != "ready"]:
                self.inbox.put("members", "changes", entries)

    def whole(self):
        conn = yield from self.asked(b"/registry/instances")
        try:
            parts, size, until = [], 0, self.loop.now() + SILENT
            while (line := (yield from http.lines(conn, until, MOST_LIST))) is not None:
                parts.append(line)
                size += len(line) + 1
                if size > MOST_LIST:
                    raise http.TooLarge
            self.apply(self.read(b"\n".join(parts)), "whole")
        finally:
            conn.close()

    def watch(self):
        if self.generation is None:
            yield from self.whole()
        conn = yield from self.asked(b"/registry/instances?follow=1&since=%d" % self.generation)
        try:
            self.trouble, self.answered = None, True
            self.log("discovery_watch_started", generation=self.generation)
            # That it answers is news as well: it ends a failure.
            self.inbox.put("members", "changes", ())
            while (told := (yield from self.change(conn))) is not None:
                if told:
                    self.apply(told)
            raise h11.RemoteProtocolError("the watch ended")
        except BadList:
            self.restrict(conn)
            raise
        finally:
            conn.close()
