"""Discovery: the endpoint list, and the watch on its changes."""

import contextlib
from collections.abc import Callable
from typing import Any

import h11

from mastledge.protocol import http
from mastledge.protocol.errors import BodyTooLargeError, EndpointListError
from mastledge.protocol.events import EndpointsChanged
from mastledge.transport.budget import Budget
from mastledge.transport.connection import address_of, connect
from mastledge.transport.errors import OutOfDescriptorsError, WaitTimeoutError
from mastledge.transport.loop import Loop, Queue

# What discovery holds counts as notified 6 s after it is reachable (4 s after SIGHUP, which starts a call at
# once). The call that is out then ends within MAX_SILENCE_US, as a watch and a whole list are given up after
# that, a connect and a head (ANSWER_TIMEOUT_US) sooner; another begins within MAX_RETRY_US and is answered at
# once: 3.0 s in all.
# Where lists are polled, the calls of all dispatchers wait in turn. One that is given up has cost its
# answer for nothing, and where all give up early most hear nothing. So it has as long as 6 s leave: 5.5 s.
# One that is refused comes again within MAX_RETRY_US, before the queue has run dry: all have been answered
# once discovery has done the work for all (docs/incidents/calls-in-turn.md).
MAX_SILENCE_US = 2_600_000  # while nothing changes an empty line comes every 2 s
ANSWER_TIMEOUT_US = 1_000_000  # the list is held on this machine and is given at once, or not at all
POLL_TIMEOUT_US = 2_500_000  # where it is asked for
# A watch that broke is taken up again soon, but not in a rush.
MIN_RETRY_US, MAX_RETRY_US = 50_000, 400_000
MAX_LIST_BYTES = 16 * 1024 * 1024
STATES = {"ready", "draining", "gone"}
STATE = 3  # its place in an entry
MALFORMED = (KeyError, TypeError, AttributeError, ValueError)  # what JSON of another shape ends in


class Discovery:
    """Keeps the endpoint list up to date and puts its changes into the queue of the decisions.

    `inbox` takes `EndpointsChanged`.
    """

    def __init__(  # noqa: PLR0913 - the program wires it once, each part is another owner's
        self,
        loop: Loop,
        budget: Budget,
        inbox: Queue,
        address: tuple[str, int],
        settings: dict[str, Any],
        log: Callable,
    ) -> None:
        """`settings` holds `zones`, `kinds`, `asked` (lists are polled) and `unix_now` in microseconds."""
        self.loop, self.budget, self.inbox, self.address, self.log = loop, budget, inbox, address, log
        self.zones = {name: number for number, name in enumerate(settings["zones"])}
        self.kinds = {name: number for number, name in enumerate(settings["kinds"])}
        self.since = settings["unix_now"] - Loop.now()  # Unix time less the monotonic clock
        self.generation = None  # of the list that is held; None: the whole list is to be read
        self.task = None  # that keeps the watch up
        self.trouble = None  # what was logged last while discovery fails
        self.answered = False
        self.answer_timeout_us = POLL_TIMEOUT_US if settings["asked"] else ANSWER_TIMEOUT_US

    def configure(self, settings: dict[str, Any]) -> tuple[list[int], list[int]]:
        """The numbers of the zones and kinds that settings name; those in use stay as they are."""
        self.answer_timeout_us = POLL_TIMEOUT_US if settings["asked"] else ANSWER_TIMEOUT_US
        return (
            [self.zones.setdefault(name, len(self.zones)) for name in settings["zones"]],
            [self.kinds.setdefault(name, len(self.kinds)) for name in settings["kinds"]],
        )

    def parse_entry(self, entry: dict) -> tuple:
        """A worker of a list; raises one of MALFORMED."""
        zone, kind, started_at_ms = entry["zone"], entry["machineType"], entry["startedAtMs"]
        if entry["lifecycle"] not in STATES or not isinstance(entry["instanceId"], str):
            raise ValueError(f"no worker: {entry!r}"[:200])
        # The clock of the decisions is monotonic, so a start is moved to it by one fixed difference.
        started_at = (round(started_at_ms * 1000) - self.since or 1) if started_at_ms else 0
        # A zone or kind that the settings do not name is a new one, unlike all others.
        return (
            entry["instanceId"],
            address_of(entry["hostPort"]),
            self.zones.setdefault(zone, len(self.zones)),
            entry["lifecycle"],
            started_at,
            self.kinds.setdefault(kind, len(self.kinds)),
            int(entry["cell"]),
            float(entry["weight"]),
        )

    def apply(self, message: dict, whole: str | None = None) -> None:
        """Takes over a change, or under the kind `whole` a list.

        One bad entry spoils a change, which raises EndpointListError; in a whole list it is left out.
        """
        try:
            generation, reset = message["generation"], bool(message["reset"])
            self._check_generation(generation, reset or bool(whole))
            entries = self._parse_entries(message["instances"], whole is not None)
        except MALFORMED as error:
            raise EndpointListError(f"{type(error).__name__}: {error}") from None
        self.generation = generation
        if entries or reset or whole:
            self.inbox.put(EndpointsChanged(whole or ("whole" if reset else "changes"), entries))

    def follow(self) -> None:
        """Starts the watch unless it is kept up already."""
        if self.task is None or self.task.ended:
            self.task = self.loop.spawn(self._keep_up())

    def move(self, address: tuple[str, int]) -> None:
        """Asks elsewhere from now on. What is held stays in force until that place has told its list."""
        if address == self.address:
            return
        # A generation is its registry's own: changes counted from another's could leave some out unseen.
        self.address, self.generation, self.trouble = address, None, None
        if self.task is not None:
            self.loop.cancel(self.task)
            self.follow()

    def _check_generation(self, generation, is_whole):
        if not isinstance(generation, int):
            raise ValueError(f"no generation: {generation!r}")
        if not is_whole and generation < (self.generation or generation):
            # An older change may free a worker that a newer one has named as draining.
            raise ValueError(f"generation {generation} behind {self.generation}")

    def _parse_entries(self, instances, skip_malformed):
        entries = []
        for instance in instances:
            try:
                entries.append(self.parse_entry(instance))
            except MALFORMED as error:
                if not skip_malformed:
                    raise
                self.log("discovery_entry_invalid", why=f"{type(error).__name__}: {error}")
        return entries

    def _keep_up(self):
        failures = 0
        while True:
            began = self.loop.now()
            yield from self._attempt(self._watch())
            failures = 0 if self.loop.now() - began > MAX_SILENCE_US else failures + 1
            yield (-1, 0, self.loop.now() + min(MIN_RETRY_US << min(failures, 8), MAX_RETRY_US))

    def _attempt(self, call):
        """Runs a call of discovery; whatever becomes of it, the list that is held stays in force."""
        try:
            yield from call
            return
        except EndpointListError as error:
            # What comes after it cannot be trusted to build on what is held.
            self.generation, why = None, f"bad list: {error}"
        except (
            OSError,
            WaitTimeoutError,
            OutOfDescriptorsError,
            h11.RemoteProtocolError,
            BodyTooLargeError,
        ) as error:
            why = str(error) or type(error).__name__
        if why != self.trouble:
            # Taken up again several times a second, it must not fill the log while it is down.
            self.trouble = why
            self.log("discovery_watch_failed", why=why, generation=self.generation)
        self.inbox.put(EndpointsChanged("failed", ()))

    def _open(self, target):
        """A connection on which a call has been answered by 200."""
        until = self.loop.now() + self.answer_timeout_us
        conn = yield from connect(self.loop, self.budget, "discovery", self.address, until)
        try:
            http.attach(conn, h11.CLIENT)
            host = (b"host", b"%s:%d" % (self.address[0].encode(), self.address[1]))
            yield from conn.send(http.request_bytes(conn, b"GET", target, [host]), until)
            head = yield from http.response_head(conn, until)
            if head.status_code != 200:
                raise h11.RemoteProtocolError(f"answered {head.status_code}")
            return conn
        except BaseException:
            conn.close()
            raise

    def _watch(self):
        if self.generation is None:
            yield from self._read_list()
        conn = yield from self._open(b"/registry/instances?follow=1&since=%d" % self.generation)
        try:
            self.trouble, self.answered = None, True
            self.log("discovery_watch_started", generation=self.generation)
            # That it answers is news as well: it ends a failure.
            self.inbox.put(EndpointsChanged("changes", ()))
            while (change := (yield from self._next_change(conn))) is not None:
                if change:
                    self.apply(change)
            raise h11.RemoteProtocolError("the watch ended")
        except EndpointListError:
            self._apply_restrictions(conn)
            raise
        finally:
            conn.close()

    def _read_list(self):
        conn = yield from self._open(b"/registry/instances")
        try:
            lines, size, until = [], 0, self.loop.now() + MAX_SILENCE_US
            while (line := (yield from http.next_line(conn, until, MAX_LIST_BYTES))) is not None:
                lines.append(line)
                size += len(line) + 1
                if size > MAX_LIST_BYTES:
                    raise BodyTooLargeError
            self.apply(parse_message(b"\n".join(lines)), "whole")
        finally:
            conn.close()

    def _next_change(self, conn):
        """The next object of a watch, in one line or indented; {} for an empty line, None at the end."""
        lines, size, until = [], 0, self.loop.now() + MAX_SILENCE_US
        while (line := (yield from http.next_line(conn, until, MAX_LIST_BYTES))) is not None:
            if not lines and not line.strip():
                return {}
            size += len(line) + 1
            if lines and not line[:1].isspace() and not line.startswith(b"}") or size > MAX_LIST_BYTES:
                raise EndpointListError(f"cut off: {lines[0][:80]!r}")
            lines.append(line)
            # An indented one opens in a line of its own, and all up to its end is further in.
            if line.startswith(b"}") or line.strip() != b"{" and len(lines) == 1:
                return parse_message(b"\n".join(lines))
        return None

    def _apply_restrictions(self, conn):
        """Who is draining or gone by what stands behind a bad change: that counts as notified as well.

        The whole list that is asked for now frees who is not.
        """
        with contextlib.suppress(h11.RemoteProtocolError):
            while isinstance(event := conn.http.next_event(), h11.Data):
                conn.buffer.append(event.data)
        while (line := conn.buffer.next_line()) is not None:
            try:
                entries = [self.parse_entry(entry) for entry in http.parse_object(line)["instances"]]
            except MALFORMED:
                continue
            if entries := [entry for entry in entries if entry[STATE] != "ready"]:
                self.inbox.put(EndpointsChanged("changes", entries))


def parse_message(raw: bytes) -> dict:
    """A list or a change; EndpointListError where it is no JSON object."""
    try:
        return http.parse_object(raw)
    except ValueError as error:
        raise EndpointListError(str(error)) from None
