"""Incoming links: accept connections, check their hello, and pass their frames to the dispatcher."""

import socket
from collections.abc import Generator

import msgspec

from mastledge.peers import frames
from mastledge.peers.errors import HandshakeError
from mastledge.peers.link_context import DESCRIPTOR_KIND, LinkContext
from mastledge.transport.connection import Connection
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.listening import accept, bind_socket
from mastledge.transport.loop import READ, Task

ACCEPT_BACKLOG = 64
ACCEPT_PAUSE_US = 50_000  # while the process has no descriptor left
HELLO_TIMEOUT_US = 2_000_000
FRAME_TIMEOUT_US = 5_000_000  # from its first byte
ACKNOWLEDGEMENT_DELAY_US = 100_000  # to acknowledge several frames with one write
MAX_DELAYED_ACKNOWLEDGEMENTS = 1000
MAX_REASON_CHARACTERS = 120


class LinkListener:
    """Holds the listening socket of a dispatcher's links and the connections accepted from it."""

    def __init__(self, context: LinkContext) -> None:
        """Create a listener that does not listen yet."""
        self.context = context
        self.sock: socket.socket | None = None
        self.task: Task | None = None
        self.connections: set[Connection] = set()
        self.unidentified: dict[Connection, None] = {}  # without a hello so far, the oldest first

    def start(self, address: tuple[str, int]) -> None:
        """Listen at that address; raise OSError if it cannot be bound."""
        self.sock = bind_socket(address)
        self.sock.listen(ACCEPT_BACKLOG)
        self.task = self.context.loop.spawn(self._listen(), first=True)

    def close(self) -> None:
        """Stop listening, and close the accepted connections."""
        loop = self.context.loop
        if self.sock is not None:
            loop.cancel(self.task)
            loop.forget(self.sock.fileno())
            self.sock.close()
            self.sock = None
        for connection in list(self.connections):
            if connection.owner is not None:
                loop.cancel(connection.owner)

    def _listen(self) -> Generator:
        while True:
            yield (self.sock.fileno(), READ, None)
            yield from self._accept_waiting()

    def _accept_waiting(self) -> Generator:
        """Coroutine: accept all waiting connections; pause while the process has no descriptor left."""
        context = self.context
        while True:
            sock, out_of_descriptors = accept(self.sock, context.budget)
            if sock is None:
                if out_of_descriptors:
                    context.log.write("peers_out_of_descriptors", used=context.budget.used)
                    yield (-1, 0, context.loop.now() + ACCEPT_PAUSE_US)
                return
            if self._take_descriptor():
                self._start_serving(sock)
            else:
                context.log.write("peer_connection_limit", used=context.budget.used)
                sock.close()

    def _take_descriptor(self) -> bool:
        """Return whether a descriptor was acquired, if needed from the oldest unidentified connection."""
        budget = self.context.budget
        if budget.acquire(DESCRIPTOR_KIND):
            return True
        if not self.unidentified:
            return False
        oldest = next(iter(self.unidentified))
        self.context.loop.cancel(oldest.owner)
        self._close(oldest)  # a coroutine that is cancelled before its first step doesn't close it
        return budget.acquire(DESCRIPTOR_KIND)

    def _start_serving(self, sock: socket.socket) -> None:
        context = self.context
        try:
            connection = Connection(context.loop, sock, context.budget, DESCRIPTOR_KIND)
        except OSError:
            sock.close()
            context.budget.release(DESCRIPTOR_KIND)
            return
        self.unidentified[connection] = None
        self.connections.add(connection)
        connection.owner = context.loop.spawn(self._serve(connection), first=True)

    def _close(self, connection: Connection) -> None:
        self.unidentified.pop(connection, None)
        self.connections.discard(connection)
        connection.close()

    def _serve(self, connection: Connection) -> Generator:
        """Coroutine: serve one accepted connection until it ends."""
        received = bytearray()
        try:
            hello = yield from self._handshake(connection, received)
            self.unidentified.pop(connection, None)
            yield from self._receive_frames(connection, received, hello)
        except (ValueError, msgspec.MsgspecError) as error:
            self.context.log.write("peer_refused", why=str(error)[:MAX_REASON_CHARACTERS])
        except WaitTimeoutError:
            self.context.log.write("peer_refused", why="a frame was not complete before its timeout")
        except (OSError, EOFError):
            return
        finally:
            self._close(connection)

    def _handshake(self, connection: Connection, received: bytearray) -> Generator:
        deadline = self.context.loop.now() + HELLO_TIMEOUT_US
        content = yield from frames.read_frame(connection, received, frames.MAX_HELLO_BYTES, deadline)
        hello = frames.decode_hello(content)
        own = self.context.host.link_identity()
        if hello.mark != frames.HELLO_MARK or hello.version != frames.PROTOCOL_VERSION:
            raise HandshakeError(
                f"the hello has mark {hello.mark!r:.20}, protocol version {hello.version!r:.20}"
            )
        if own.fleet and hello.fleet and hello.fleet != own.fleet:
            raise HandshakeError(f"the hello is from another fleet: {hello.fleet!r:.40}")
        if hello.name == own.name:
            raise HandshakeError(f"the hello has the name {own.name} of this dispatcher")
        return hello

    def _receive_frames(self, connection: Connection, received: bytearray, hello: frames.Hello) -> Generator:
        """Coroutine: pass frames to the dispatcher and acknowledge them, several with one write."""
        loop, counters, host = self.context.loop, self.context.counters, self.context.host
        # Acknowledgements that are not sent yet, and the time of the oldest.
        pending_acknowledgements, pending_since = 0, 0
        while True:
            acknowledge = pending_acknowledgements > MAX_DELAYED_ACKNOWLEDGEMENTS
            if not received:
                deadline = pending_since + ACKNOWLEDGEMENT_DELAY_US if pending_acknowledgements else None
                events = yield (connection.fd, READ, deadline)
                acknowledge = acknowledge or not events
            if acknowledge:
                connection.sock.send(frames.ACKNOWLEDGEMENT * pending_acknowledgements)
                pending_acknowledgements = 0
                continue
            deadline = loop.now() + FRAME_TIMEOUT_US
            content = yield from frames.read_frame(connection, received, frames.MAX_FRAME_BYTES, deadline)
            counters.frames_received += 1
            counters.bytes_received += len(content)
            host.frame_received(hello.name, hello.life, content)
            if not pending_acknowledgements:
                pending_since = loop.now()
            pending_acknowledgements += 1
