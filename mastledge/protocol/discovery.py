"""Client of the discovery service: reads the endpoint list and watches its changes."""

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

# The endpoint list must be current within 6 s after discovery becomes reachable (4 s after SIGHUP, which
# starts a call at once). A call in progress ends within MAX_SILENCE_US (a watch or a list; a connect or a
# response head sooner, after ANSWER_TIMEOUT_US); the next call starts within MAX_RETRY_US and is answered at
# once: 3.0 s in all.
# Polled lists: discovery answers the dispatchers one after the other. An abandoned call wastes its answer,
# and if all calls are abandoned early, most dispatchers get no list. So a call may take what the 6 s leave:
# 5.5 s. A refused call is retried within MAX_RETRY_US, before the queue is empty, so that discovery answers
# all dispatchers without a pause (docs/incidents/calls-in-turn.md).
MAX_SILENCE_US = 2_600_000  # an unchanged watch sends an empty line every 2 s
ANSWER_TIMEOUT_US = 1_000_000  # discovery on this machine answers at once or not at all
POLL_TIMEOUT_US = 2_500_000  # if lists are polled
# Delay before a broken watch is restarted, doubled with each failure.
MIN_RETRY_US, MAX_RETRY_US = 50_000, 400_000
MAX_LIST_BYTES = 16 * 1024 * 1024
STATES = {"ready", "draining", "gone"}
STATE = 3  # index of the state in a parsed entry
MALFORMED = (KeyError, TypeError, AttributeError, ValueError)  # raised for JSON of an unexpected shape


class Discovery:
    """Keeps the endpoint list up to date and queues its changes for the scheduler.

    `inbox` receives `EndpointsChanged`.
    """

    def __init__(  # noqa: PLR0913 - constructed once, from parts with different owners
        self,
        loop: Loop,
        budget: Budget,
        inbox: Queue,
        address: tuple[str, int],
        settings: dict[str, Any],
        log: Callable,
    ) -> None:
        """`settings` holds `zones`, `kinds`, `asked` (lists are polled) and `unix_now` (microseconds)."""
        self.loop, self.budget, self.inbox, self.address, self.log = loop, budget, inbox, address, log
        self.zones = {name: number for number, name in enumerate(settings["zones"])}
        self.kinds = {name: number for number, name in enumerate(settings["kinds"])}
        # Unix time minus the monotonic clock, in microseconds.
        self.unix_offset_us = settings["unix_now"] - Loop.now()
        self.generation = None  # of the current list; None: the whole list must be read
        self.task = None  # runs the watch
        # Last logged error, also shown to operators; None once the watch works again.
        self.failure_reason = None
        self.answered = False
        self.answer_timeout_us = POLL_TIMEOUT_US if settings["asked"] else ANSWER_TIMEOUT_US

    def configure(self, settings: dict[str, Any]) -> tuple[list[int], list[int]]:
        """Return the numbers of the zones and kinds named in the settings; existing numbers stay the same."""
        self.answer_timeout_us = POLL_TIMEOUT_US if settings["asked"] else ANSWER_TIMEOUT_US
        return (
            [self.zones.setdefault(name, len(self.zones)) for name in settings["zones"]],
            [self.kinds.setdefault(name, len(self.kinds)) for name in settings["kinds"]],
        )

    def parse_entry(self, entry: dict) -> tuple:
        """Return the values of a list entry; raise one of MALFORMED for an invalid entry."""
        zone, kind, started_at_ms = entry["zone"], entry["machineType"], entry["startedAtMs"]
        if entry["lifecycle"] not in STATES or not isinstance(entry["instanceId"], str):
            raise ValueError(f"no worker: {entry!r}"[:200])
        # The scheduler uses the monotonic clock, so start times are converted by a fixed offset.
        started_at = (round(started_at_ms * 1000) - self.unix_offset_us or 1) if started_at_ms else 0
        # A zone or kind that is not in the settings gets a new number.
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
        """Apply a change, or a whole list if `whole` names the kind of the event to queue for it.

        An invalid entry is skipped in a whole list. In a change it raises EndpointListError.
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
        """Start the watch unless it is already running."""
        if self.task is None or self.task.ended:
            self.task = self.loop.spawn(self._run_watch())

    def move(self, address: tuple[str, int]) -> None:
        """Switch to another discovery address. The current list stays in force until a new one is read."""
        if address == self.address:
            return
        # Generations of different registries are unrelated: continuing from one could miss changes.
        self.address, self.generation, self.failure_reason = address, None, None
        if self.task is not None:
            self.loop.cancel(self.task)
            self.follow()

    def _check_generation(self, generation, is_whole):
        if not isinstance(generation, int):
            raise ValueError(f"no generation: {generation!r}")
        if not is_whole and generation < (self.generation or generation):
            # An older change could make a worker ready that a newer change has reported as draining.
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

    def _run_watch(self):
        failures = 0
        while True:
            started_at = self.loop.now()
            yield from self._attempt(self._watch())
            failures = 0 if self.loop.now() - started_at > MAX_SILENCE_US else failures + 1
            yield (-1, 0, self.loop.now() + min(MIN_RETRY_US << min(failures, 8), MAX_RETRY_US))

    def _attempt(self, call):
        """Run a call to discovery; if it fails, the current list stays in force."""
        try:
            yield from call
            return
        except EndpointListError as error:
            # Later changes may not apply to the current list, so the whole list is read again.
            self.generation, why = None, f"bad list: {error}"
        except (
            OSError,
            WaitTimeoutError,
            OutOfDescriptorsError,
            h11.RemoteProtocolError,
            BodyTooLargeError,
        ) as error:
            why = str(error) or type(error).__name__
        if why != self.failure_reason:
            # Retries run several times a second: the same error is logged once.
            self.failure_reason = why
            self.log("discovery_watch_failed", why=why, generation=self.generation)
        self.inbox.put(EndpointsChanged("failed", ()))

    def _open(self, target):
        """Return a connection on which a request was answered with status 200."""
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
            self.failure_reason, self.answered = None, True
            self.log("discovery_watch_started", generation=self.generation)
            # An empty change reports that discovery answers again.
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
        """Return the next JSON object of a watch, {} for an empty line, None at the end.

        An object may be on one line or indented over several. Raises EndpointListError if it is incomplete.
        """
        lines, size, until = [], 0, self.loop.now() + MAX_SILENCE_US
        while (line := (yield from http.next_line(conn, until, MAX_LIST_BYTES))) is not None:
            if not lines and not line.strip():
                return {}
            size += len(line) + 1
            if lines and not line[:1].isspace() and not line.startswith(b"}") or size > MAX_LIST_BYTES:
                raise EndpointListError(f"cut off: {lines[0][:80]!r}")
            lines.append(line)
            # An indented object starts with a line "{", and all lines up to its closing brace are indented.
            if line.startswith(b"}") or line.strip() != b"{" and len(lines) == 1:
                return parse_message(b"\n".join(lines))
        return None

    def _apply_restrictions(self, conn):
        """Apply the draining and gone workers from the input received after an invalid change.

        That input counts as notified. The whole list, which is read next, corrects the other workers.
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
    """Parse a list or a change; raise EndpointListError if it is not a JSON object."""
    try:
        return http.parse_object(raw)
    except ValueError as error:
        raise EndpointListError(str(error)) from None
