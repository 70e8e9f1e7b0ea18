"""Frames to one other dispatcher: a queue, and the connection that is opened to send it.

The receiver acknowledges each frame with one byte, which tells a dead connection from an idle one.
"""

import errno
import socket
from collections import deque
from collections.abc import Generator
from zlib import crc32

from mastledge.peers import frames
from mastledge.peers.link_context import DESCRIPTOR_KIND, LinkContext, LinkIdentity
from mastledge.transport.connection import Connection, connect
from mastledge.transport.errors import OutOfDescriptorsError, WaitTimeoutError
from mastledge.transport.loop import READ, WRITE, Task

MAX_QUEUED_FRAMES = 256  # a full queue is dropped whole: senders repeat lost messages
CONNECT_TIMEOUT_US = 500_000
ACKNOWLEDGEMENT_TIMEOUT_US = 1_500_000
IDLE_TIMEOUT_US = 30_000_000
FIRST_BACKOFF_US, MAX_BACKOFF_US = 50_000, 400_000
MAX_BACKOFF_DOUBLINGS = 8
ACKNOWLEDGEMENTS_PER_READ = 4096
US_PER_MS = 1000
CRC32_RANGE = 4294967296.0
DEADLINE_REACHED = 0  # events with which the loop resumes a coroutine at its deadline


class OutgoingLink:
    """The link to one member. It is connected when a frame is sent, and closed after some idle time."""

    __slots__ = (
        "context",
        "member",
        "queue",
        "task",
        "connection",
        "is_up",
        "failures",
        "unsent",
        "unacknowledged",
    )

    def __init__(self, context: LinkContext, member: str) -> None:
        """Create a link to the member of that name, without a connection."""
        self.context, self.member = context, member
        self.queue: deque[bytes] = deque()
        self.task: Task | None = None
        self.connection: Connection | None = None
        self.is_up = False  # connected, and the hello is sent
        self.failures = 0  # consecutive failures to connect or send
        self.unsent = b""  # the rest of a partly written frame
        self.unacknowledged: deque[int] = deque()  # write times of frames without an acknowledgement

    def send(self, content: bytes) -> None:
        """Queue a frame, and write it at once if the link is up."""
        if len(self.queue) >= MAX_QUEUED_FRAMES:
            self._drop_queue()
        self.queue.append(frames.encode_frame(content))
        if self.task is None or self.task.ended:
            self.task = self.context.loop.spawn(self._run(), first=True)
        elif self.is_up:
            self._send_at_once()

    def flush(self) -> None:
        """Write as much as the socket takes without waiting, if the link is up."""
        if self.is_up and self.queue and self.task is not None and not self.task.ended:
            self.context.loop.step(self.task, None)

    def close(self) -> None:
        """Stop sending and close the connection."""
        if self.task is not None:
            self.context.loop.cancel(self.task)

    def _send_at_once(self) -> None:
        # Write without resuming the coroutine, unless the events that it has to wait for change.
        must_wake = not self.unacknowledged and not self.unsent
        try:
            self._write_queue()
        except OSError:
            must_wake = True
        if must_wake or self.unsent:
            self.context.loop.wake(self.task)

    def _drop_queue(self) -> None:
        self.context.counters.frames_dropped += len(self.queue)
        self.queue.clear()

    def _run(self) -> Generator:
        """Coroutine: connect and send frames while any are queued."""
        try:
            while self.queue:
                address = self.context.host.member_address(self.member)
                if address is None:
                    self.queue.clear()
                    return
                try:
                    yield from self._connect_and_write(address)
                    self.failures = 0
                except (OSError, WaitTimeoutError, OutOfDescriptorsError) as error:
                    yield from self._back_off(error)
        finally:
            self.is_up = False

    def _back_off(self, error: Exception) -> Generator:
        self._drop_queue()
        self.failures += 1
        if self.failures == 1:
            self.context.log.write(f"peer_lost_{self.member}", why=str(error) or type(error).__name__)
        loop = self.context.loop
        retry_at = loop.now() + self._backoff_us()
        while loop.now() < retry_at:
            yield (-1, 0, retry_at)
        # Frames queued during the wait are outdated, except the newest.
        while len(self.queue) > 1:
            self.queue.popleft()

    def _backoff_us(self) -> int:
        """Return the backoff, doubled per failure up to the maximum; half of it is jitter from the seed."""
        backoff = min(FIRST_BACKOFF_US << min(self.failures, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF_US)
        draw = crc32(b"%d %s %d" % (self.context.seed, self.member.encode(), self.failures)) / CRC32_RANGE
        return int(backoff * (0.5 + draw / 2))

    def _connect_and_write(self, address: tuple[str, int]) -> Generator:
        """Coroutine: connect, send the hello, and write until the link has been idle; raise if it fails."""
        loop = self.context.loop
        deadline = loop.now() + CONNECT_TIMEOUT_US
        connection = yield from connect(loop, self.context.budget, DESCRIPTOR_KIND, address, deadline)
        try:
            # Otherwise, after a network outage of seconds, TCP waits as long again before it retransmits.
            user_timeout_ms = ACKNOWLEDGEMENT_TIMEOUT_US // US_PER_MS
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
            identity = self.context.host.link_identity()
            yield from connection.send(self._hello(identity), loop.now() + CONNECT_TIMEOUT_US)
            self.connection, self.unsent, self.is_up = connection, b"", True
            self.unacknowledged.clear()
            yield from self._write_until_idle(connection, identity)
        finally:
            self.is_up, self.connection, self.unsent = False, None, b""
            connection.close()

    def _hello(self, identity: LinkIdentity) -> bytes:
        hello = frames.Hello(
            frames.HELLO_MARK,
            frames.PROTOCOL_VERSION,
            identity.fleet,
            identity.name,
            identity.incarnation,
        )
        return frames.encode_frame(frames.encode_hello(hello))

    def _write_until_idle(self, connection: Connection, identity: LinkIdentity) -> Generator:
        loop, unacknowledged = self.context.loop, self.unacknowledged
        busy_at = loop.now()
        while True:
            self._write_queue()
            if unacknowledged:
                busy_at = loop.now()
                deadline = unacknowledged[0] + ACKNOWLEDGEMENT_TIMEOUT_US
            else:
                deadline = busy_at + IDLE_TIMEOUT_US
            events = yield (connection.fd, READ | (WRITE if self.unsent else 0), deadline)
            if events == DEADLINE_REACHED or (events and events & READ):
                self._read_acknowledgements(connection)
            if self.context.host.link_identity() != identity:
                return  # a new identity needs a new link with another hello
            if unacknowledged and loop.now() >= unacknowledged[0] + ACKNOWLEDGEMENT_TIMEOUT_US:
                raise WaitTimeoutError
            has_work = unacknowledged or self.unsent or self.queue
            if not has_work and loop.now() >= busy_at + IDLE_TIMEOUT_US:
                return

    def _write_queue(self) -> None:
        """Write queued frames, as many as the socket takes."""
        counters = self.context.counters
        while self.unsent or self.queue:
            if not self.unsent:
                self.unsent = memoryview(self.queue.popleft())
                counters.frames_sent += 1
                counters.bytes_sent += len(self.unsent)
                self.unacknowledged.append(self.context.loop.now())
            try:
                self.unsent = self.unsent[self.connection.sock.send(self.unsent) :]
            except BlockingIOError:
                return

    def _read_acknowledgements(self, connection: Connection) -> None:
        try:
            acknowledgements = connection.sock.recv(ACKNOWLEDGEMENTS_PER_READ)
        except BlockingIOError:
            return
        if not acknowledgements:
            raise ConnectionResetError(errno.ECONNRESET, "connection closed by the other side")
        for _ in range(min(len(acknowledgements), len(self.unacknowledged))):
            self.unacknowledged.popleft()
