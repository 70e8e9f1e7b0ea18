"""Links that other dispatchers open: accepts them, checks their hello, and hands their frames on."""

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
ACCEPT_PAUSE_US = 50_000  # where the process has no descriptor left
HELLO_TIMEOUT_US = 2_000_000
FRAME_TIMEOUT_US = 5_000_000  # from its first byte
ACKNOWLEDGEMENT_DELAY_US = 100_000  # for which one may wait for those of the next frames
MAX_DELAYED_ACKNOWLEDGEMENTS = 1000
MAX_REASON_CHARACTERS = 120


class LinkListener:
    """The listening socket of a dispatcher's links and the connections that it has accepted."""

    def __init__(self, context: LinkContext) -> None:
        """Listens to nobody yet."""
        self.context = context
        self.sock: socket.socket | None = None
        self.task: Task | None = None
        self.connections: set[Connection] = set()
        self.unidentified: dict[Connection, None] = {}  # no hello has come yet; the oldest one first

    def start(self, address: tuple[str, int]) -> None:
        """Listen at that address; `OSError` where it cannot be had."""
        self.sock = bind_socket(address)
        self.sock.listen(ACCEPT_BACKLOG)
        self.task = self.context.loop.spawn(self._listen(), first=True)

    def close(self) -> None:
        """Stop listening, and close what was accepted."""
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
        """Coroutine: accepts all that wait; pauses where the process has no descriptor left."""
        context = self.context
        while True:
            sock, out_of_descriptors = accept(self.sock, context.budget)
            if sock is None:
                if out_of_descriptors:
                    context.log.write("peers_out_of_descriptors", used=context.budget.used)
                    yield (-1, 0, context.loop.now() + ACCEPT_PAUSE_US)
                return
            if self._take_descriptor():
                self._adopt(sock)
            else:
                context.log.write("peer_connection_limit", used=context.budget.used)
                sock.close()

    def _take_descriptor(self) -> bool:
        """Whether there is one for a further connection; the oldest unidentified one is closed for it."""
        budget = self.context.budget
        if budget.acquire(DESCRIPTOR_KIND):
            return True
        if not self.unidentified:
            return False
        oldest = next(iter(self.unidentified))
        self.context.loop.cancel(oldest.owner)
        self._close(oldest)  # a coroutine that has not run yet doesn't close it when it is cancelled
        return budget.acquire(DESCRIPTOR_KIND)

    def _adopt(self, sock: socket.socket) -> None:
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
        """Coroutine: one accepted connection, to its end."""
        received = bytearray()
        try:
            hello = yield from self._handshake(connection, received)
            self.unidentified.pop(connection, None)
            yield from self._receive_frames(connection, received, hello)
        except (ValueError, msgspec.MsgspecError) as error:
            self.context.log.write("peer_refused", why=str(error)[:MAX_REASON_CHARACTERS])
        except WaitTimeoutError:
            self.context.log.write("peer_refused", why="a frame was not whole in time")
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
            raise HandshakeError(f"another version: {hello.version!r:.20}")
        if own.fleet and hello.fleet and hello.fleet != own.fleet:
            raise HandshakeError(f"another fleet: {hello.fleet!r:.40}")
        if hello.name == own.name:
            raise HandshakeError(f"it says that it is {own.name} as well")
        return hello

    def _receive_frames(self, connection: Connection, received: bytearray, hello: frames.Hello) -> Generator:
        """Coroutine: hands frames on and acknowledges them, those that come close together at once."""
        loop, counters, host = self.context.loop, self.context.counters, self.context.host
        owed, owed_since = 0, 0  # acknowledgements, and when the first of them fell due
        while True:
            acknowledge = owed > MAX_DELAYED_ACKNOWLEDGEMENTS
            if not received:
                deadline = owed_since + ACKNOWLEDGEMENT_DELAY_US if owed else None
                events = yield (connection.fd, READ, deadline)
                acknowledge = acknowledge or not events
            if acknowledge:
                connection.sock.send(frames.ACKNOWLEDGEMENT * owed)
                owed = 0
                continue
            deadline = loop.now() + FRAME_TIMEOUT_US
            content = yield from frames.read_frame(connection, received, frames.MAX_FRAME_BYTES, deadline)
            counters.frames_received += 1
            counters.bytes_received += len(content)
            host.frame_received(hello.name, hello.life, content)
            if not owed:
                owed_since = loop.now()
            owed += 1
