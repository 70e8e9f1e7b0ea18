"""One connection's bytes: what is held in front, room for what the socket brings behind it."""

FIRST, READ = 4096, 16384


class Buffer:
    __slots__ = ("data", "start", "end", "seen")

    def __init__(self):
        self.data, self.start, self.end, self.seen = bytearray(FIRST), 0, 0, 0

    def __len__(self):
        return self.end - self.start

    def room(self, least):
        data = self.data
        if len(data) - self.end < least and self.start:
            held = self.end - self.start
            data[:held] = data[self.start : self.end]
            self.seen -= self.start
            self.start, self.end = 0, held
        if len(data) - self.end < least:
            data.extend(bytes(max(least, len(data))))

    def receive(self, sock):
        """What the socket has now; it passes through behind what is held, and only keep() holds it."""
        self.room(FIRST // 2)
        with memoryview(self.data) as whole, whole[self.end : self.end + READ] as free:
            n = sock.recv_into(free)
            return bytes(free[:n])

    def keep(self, part):
        self.room(len(part))
        self.data[self.end : self.end + len(part)] = part
        self.end += len(part)

    def line(self):
        """The next whole line without its end, or None. What was searched is not searched again."""
        at = self.data.find(b"\n", max(self.seen, self.start), self.end)
        if at < 0:
            self.seen = self.end
            return None
        line = bytes(self.data[self.start : at])
        self.start = self.seen = at + 1
        return line

    def peek(self):
        return bytes(self.data[self.start : self.end])

    def take(self):
        whole = bytes(self.data[self.start : self.end])
        self.clear()
        return whole

    def clear(self):
        self.start = self.end = self.seen = 0
        if len(self.data) > 4 * FIRST:
            # Hundreds of idle connections must not each keep the room of their largest body.
            self.data = bytearray(FIRST)
