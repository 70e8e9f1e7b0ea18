"""The bytes of one connection that are held: appended at the end, taken from the front."""

import socket

INITIAL_BYTES = 4096
MIN_READ_BYTES = INITIAL_BYTES // 2
MAX_READ_BYTES = 16384
MAX_KEPT_BYTES = 4 * INITIAL_BYTES  # of an empty buffer


class Buffer:
    """Held bytes stand at `data[start:end]`; what is behind `end` is free."""

    __slots__ = ("data", "start", "end", "searched")

    def __init__(self) -> None:
        """An empty buffer."""
        self.data, self.start, self.end = bytearray(INITIAL_BYTES), 0, 0
        self.searched = 0  # no line ends before this

    def __len__(self) -> int:
        """How many bytes are held."""
        return self.end - self.start

    def ensure_free(self, size: int) -> None:
        """Makes at least so many bytes free behind what is held."""
        data = self.data
        if len(data) - self.end < size and self.start:
            held = self.end - self.start
            data[:held] = data[self.start : self.end]
            self.searched -= self.start
            self.start, self.end = 0, held
        if len(data) - self.end < size:
            data.extend(bytes(max(size, len(data))))

    def receive(self, sock: socket.socket) -> bytes:
        """What the socket has now, b"" at its end. It passes through the free part; only append() holds it.

        Raises BlockingIOError where nothing has come, another OSError where the connection is broken.
        """
        self.ensure_free(MIN_READ_BYTES)
        with memoryview(self.data) as whole, whole[self.end : self.end + MAX_READ_BYTES] as free:
            size = sock.recv_into(free)
            return bytes(free[:size])

    def append(self, part: bytes) -> None:
        """Holds more bytes behind the others."""
        self.ensure_free(len(part))
        self.data[self.end : self.end + len(part)] = part
        self.end += len(part)

    def next_line(self) -> bytes | None:
        """The next whole line without its end, or None. What was searched is not searched again."""
        line_end = self.data.find(b"\n", max(self.searched, self.start), self.end)
        if line_end < 0:
            self.searched = self.end
            return None
        line = bytes(self.data[self.start : line_end])
        self.start = self.searched = line_end + 1
        return line

    def peek(self) -> bytes:
        """All that is held, which stays."""
        return bytes(self.data[self.start : self.end])

    def take(self) -> bytes:
        """All that is held; the buffer is empty then."""
        content = bytes(self.data[self.start : self.end])
        self.clear()
        return content

    def clear(self) -> None:
        """Drops what is held."""
        self.start = self.end = self.searched = 0
        if len(self.data) > MAX_KEPT_BYTES:
            # Hundreds of idle connections must not each keep the memory of their largest body.
            self.data = bytearray(INITIAL_BYTES)
