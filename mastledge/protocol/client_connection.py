"""Serves the requests of one client connection."""

from typing import TYPE_CHECKING

import h11

from mastledge.protocol import http
from mastledge.protocol.errors import BadRequestError, BodyTooLargeError
from mastledge.protocol.requests import KILLED, Exchange
from mastledge.transport.budget import CLIENT_EVICTION_ORDER
from mastledge.transport.connection import Connection
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.loop import READ, Coroutine

if TYPE_CHECKING:
    from mastledge.protocol.client_listener import ClientListener

# For a complete request from its first byte; for the first request from the connect.
REQUEST_TIMEOUT_US = 10_000_000
MAX_SILENCE_US = 3_000_000  # between two reads of one request: some clients write slowly, others never end
SEND_TIMEOUT_US = 5_000_000  # for a response that the client does not read
MAX_IDLE_US = 120_000_000
MIN_UNFINISHED_US = 1_000_000  # before a partial request may be evicted
LINGER_US = 1_000_000  # input is read for this long: closing with unread bytes would reset the response
MAX_LINGER_BYTES = 16 * http.MAX_BODY_BYTES
READY_PATH, LIVE_PATH = b"/health/ready", b"/health/live"


class ClientConnection:
    """Serves one connection of a ClientListener, which holds the state shared by all connections.

    `over_budget`: the connection exceeds the descriptor budget, so every job on it is rejected.
    """

    __slots__ = ("listener", "conn", "loop", "over_budget", "group", "request_deadline")

    def __init__(self, listener: "ClientListener", conn: Connection, over_budget: bool = False) -> None:
        """Initialize a connection that has received no data."""
        self.listener, self.conn, self.loop, self.over_budget = listener, conn, listener.loop, over_budget
        # Connections without a complete request are evicted before clients that have been answered.
        self.group = "unused"
        self.request_deadline = 0

    def serve(self) -> Coroutine:
        """Serve requests until the connection ends."""
        self.request_deadline = self.loop.now() + REQUEST_TIMEOUT_US
        try:
            while (yield from self._serve_request()):
                pass
        except (OSError, WaitTimeoutError):
            return
        finally:
            self._close()

    def serve_resumed(self, exchange: Exchange) -> Coroutine:
        """Serve a connection whose job was handed off by another process, until its response is sent."""
        self.listener.clients.add(self.conn)
        try:
            reply = yield from self.listener.jobs.resume(self.conn, exchange)
            if reply is not None:
                response = http.response_bytes(self.conn, *reply, True)
                yield from self.conn.send(response, self.loop.now() + SEND_TIMEOUT_US)
                yield from self._linger()
        except (OSError, WaitTimeoutError):
            return
        finally:
            self.listener.clients.discard(self.conn)
            self.conn.close()

    def _serve_request(self):
        """Serve the next request and return whether the connection stays open."""
        self._set_group(self.group)
        if not (yield from self._wait_for_request()):
            return False
        if self.group != "unused":
            self.request_deadline = self.loop.now() + REQUEST_TIMEOUT_US
        reply = yield from self._reply()
        self._set_group("unused" if self.group == "unused" else None)
        if reply is None:
            return False
        return (yield from self._send(*reply))

    def _wait_for_request(self):
        conn = self.conn
        if conn.http.trailing_data != (b"", False):
            return True
        until = self.request_deadline if self.group == "unused" else self.loop.now() + MAX_IDLE_US
        return (yield (conn.fd, READ, until)) or not conn.is_quiet()

    def _reply(self):
        """Return the response to the next request, errors included; None if no response can be sent."""
        try:
            reply = yield from self._read_request()
        except BadRequestError as error:
            return error.status, [], error.why.encode()
        except BodyTooLargeError:
            return 413, [], b"body too large"
        except h11.RemoteProtocolError as error:
            if self.conn.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                return None
            return 413 if error.error_status_hint == 431 else 400, [], str(error).encode()
        except (OSError, WaitTimeoutError):
            return None
        except Exception as error:
            # Without a response the client would retry while a launch of its job may still be running.
            self.listener.log("internal_error", call="serve", why=f"{type(error).__name__}: {error}")
            return KILLED, [], b""
        self.group = "clients"
        return reply

    def _read_request(self):
        conn, listener = self.conn, self.listener
        pieces = http.PieceDeadlines(self.request_deadline, MAX_SILENCE_US, self._on_piece)
        pieces.on_piece(0)
        try:
            head = yield from http.next_event(conn, pieces)
            if isinstance(head, h11.ConnectionClosed):
                return None
            size = http.body_limit(head)
            self._set_group(None)
            if not listener.budget.reserve_memory(size):
                return listener.reject_for_memory(head)
            try:
                pieces.on_piece(pieces.count)
                content = yield from http.read_body(conn, pieces)
                return (yield from self._respond(head, content))
            finally:
                listener.budget.release_memory(size)
        except WaitTimeoutError:
            raise BadRequestError(408, "request not complete in time") from None

    def _respond(self, head, content):
        """Return the response to a complete request, or None if the client has disconnected."""
        conn, listener = self.conn, self.listener
        self._set_group(None)
        client_disconnected = http.has_disconnected(conn)
        if not http.has_valid_trailing_data(conn):
            # With a Content-Length that is too small, the rest of the body would be read as the next request.
            raise BadRequestError(400, "bytes beyond the stated length")
        if head.method == b"HEAD":
            raise BadRequestError(405, "")
        path = head.target.partition(b"?")[0]
        if path == READY_PATH:
            is_ready = listener.is_ready_or_has_successor()
            return (200 if is_ready else 503), [], b"ready" if is_ready else b"not ready"
        if path == LIVE_PATH:
            return 200, [], b"live"
        exchange, arrival = listener.requests.job(head, content, self.loop.now())
        if client_disconnected:
            return None
        rejection = listener.rejection_of(exchange, self.over_budget)
        if rejection is not None:
            return rejection
        if listener.admission_gate is None:
            return (yield from listener.jobs.take(conn, exchange, arrival))
        resent = (b"x-resent", b"1") in head.headers
        return (yield from listener.admission_gate.serve(conn, exchange, arrival, resent))

    def _send(self, status, headers, content):
        """Send a response and return whether the connection stays open."""
        conn, listener = self.conn, self.listener
        is_client_error = 400 <= status < 500
        if is_client_error:
            listener.log("bad_request", status=status, why=content[:200].decode("latin-1"))
        # After an invalid request the start of the next one cannot be trusted, so the connection is closed.
        last = (
            self.over_budget
            or listener.closing
            or listener.drain_started_at
            or is_client_error
            or conn.discards_input
            or conn.http.their_state is not h11.DONE
        )
        response = http.response_bytes(conn, status, headers, content, last)
        yield from conn.send(response, self.loop.now() + SEND_TIMEOUT_US)
        if last or not http.start_next_cycle(conn.http):
            self._set_group("unused")
            yield from self._linger()
            return False
        return True

    def _set_group(self, group):
        """Set the eviction group of the connection; None exempts it from eviction."""
        budget, conn = self.listener.budget, self.conn
        for known_group in CLIENT_EVICTION_ORDER:
            budget.remove_idle(known_group, conn)
        if group is not None:
            budget.add_idle(group, conn, self._close_idle)

    def _on_piece(self, count):
        """Update the eviction group after `count` pieces of a request; 0 while the first is awaited."""
        self._set_group("begun")
        if count < 2:
            # A recent partial request is likely to be completed soon, so it is not evicted at first.
            closable_from = self.loop.now() + MIN_UNFINISHED_US
            self.listener.budget.add_idle(
                "unfinished",
                self.conn,
                lambda: self.loop.now() >= closable_from and self._close_idle(),
            )

    def _close_idle(self):
        """Close the connection unless request bytes are waiting, and return whether it was closed."""
        if not self.conn.is_quiet():
            return False
        self.loop.cancel(self.conn.owner)
        return True

    def _linger(self):
        self.conn.shutdown_write()
        until, remaining = self.loop.now() + LINGER_US, MAX_LINGER_BYTES
        while remaining > 0:
            data = yield from self.conn.receive(until)
            if not data:
                return
            remaining -= len(data)

    def _close(self):
        self._set_group(None)
        self.listener.clients.discard(self.conn)
        self.conn.close()
