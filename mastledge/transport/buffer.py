"""Byte buffer of one connection: appended at the end, consumed from the front."""

import socket

INITIAL_BYTES = 4096
MIN_READ_BYTES = INITIAL_BYTES // 2
MAX_READ_BYTES = 16384
MAX_KEPT_BYTES = 4 * INITIAL_BYTES  # allocated size that an emptied buffer may keep


class Buffer:
    """Holds its content in `data[start:end]`; the bytes after `end` are free."""

    __slots__ = ("data", "start", "end", "searched")

    def __init__(self) -> None:
        """Create an empty buffer."""
        self.data, self.start, self.end = bytearray(INITIAL_BYTES), 0, 0
        self.searched = 0  # position up to which there is no line end

    def __len__(self) -> int:
        """Return the number of bytes in the buffer."""
        return self.end - self.start

    def ensure_free(self, size: int) -> None:
        """Make at least `size` bytes free after the content."""
        data = self.data
        if len(data) - self.end < size and self.start:
            content_bytes = self.end - self.start
            data[:content_bytes] = data[self.start : self.end]
            self.searched -= self.start
            self.start, self.end = 0, content_bytes
        if len(data) - self.end < size:
            data.extend(bytes(max(size, len(data))))

    def receive(self, sock: socket.socket) -> bytes:
        """Read from the socket, b"" at its end. The bytes are only returned, not added to the content.

        Raises BlockingIOError if there is no data, another OSError if the connection is broken.
        """
        self.ensure_free(MIN_READ_BYTES)
        with memoryview(self.data) as whole, whole[self.end : self.end + MAX_READ_BYTES] as free:
            size = sock.recv_into(free)
            return bytes(free[:size])

    def append(self, part: bytes) -> None:
        """Add bytes at the end."""
        self.ensure_free(len(part))
        self.data[self.end : self.end + len(part)] = part
        self.end += len(part)

    def next_line(self) -> bytes | None:
        """Remove and return the next complete line without its line end, or None. Searches each byte once."""
        line_end = self.data.find(b"\n", max(self.searched, self.start), self.end)
        if line_end < 0:
            self.searched = self.end
            return None
        line = bytes(self.data[self.start : line_end])
        self.start = self.searched = line_end + 1
        return line

    def peek(self) -> bytes:
        """Return the content without removing it."""
        return bytes(self.data[self.start : self.end])

    def take(self) -> bytes:
        """Remove and return the content."""
        content = bytes(self.data[self.start : self.end])
        self.clear()
        return content

    def clear(self) -> None:
        """Remove the content."""
        self.start = self.end = self.searched = 0
        if len(self.data) > MAX_KEPT_BYTES:
            # Otherwise hundreds of idle connections would each keep the memory of their largest body.
            self.data = bytearray(INITIAL_BYTES)
