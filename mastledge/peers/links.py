"""Links: frames to other dispatchers by name, and frames from them. Nothing here knows what they say.

A link is opened by who has something to say and carries frames one way. The other side answers each with one
byte, by which a link that is open and dead is told from one that is silent. docs/formats.md has the form.
"""

import errno
import socket
from collections import deque
from zlib import crc32

import msgspec

from mastledge.transport.connection import Connection, connect
from mastledge.transport.errors import OutOfDescriptorsError, WaitTimeoutError
from mastledge.transport.listening import accept, bind_socket
from mastledge.transport.loop import READ, WRITE

VERSION = 1
MOST, MOST_HELLO = 4 << 20, 4096
MOST_WAITING = 256  # frames; all that is said here is said again where it got lost
HELLO, WHOLE = 2_000_000, 5_000_000  # in which a hello, and a frame from its first byte, has to be there
CONNECT, UNHEARD = 500_000, 1_500_000  # for a connection; for the byte that says that a frame was read
PAUSE, LONGEST = 50_000, 400_000
IDLE = 30_000_000
MINUTE = 60_000_000
SPARE = 16  # descriptors beside two for each member
LAGS = 1000  # frames that may be owed it at once
LATER = 100_000  # for which a byte that says that a frame was read may wait for those of the next ones


class Hello(msgspec.Struct, array_like=True):
    mark: str
    version: int
    fleet: str
    name: str
    life: str
    speaks: int = 1


MARK = "mastledge peer"
encode_hello = msgspec.msgpack.Encoder().encode
decode_hello = msgspec.msgpack.Decoder(Hello).decode


def framed(content):
    return len(content).to_bytes(4, "big") + content


class Room:
    """Descriptors for links alone: strangers that fill theirs up take none of the clients' or workers'."""

    def __init__(self, most):
        self.used, self.most = 0, most

    def acquire(self, kind):
        if self.used >= self.most:
            return False
        self.used += 1
        return True

    def release(self, kind):
        self.used -= 1

    def evict(self, *kinds):
        return False


class Way:
    """Frames on their way to one other."""

    __slots__ = ("name", "waiting", "task", "conn", "fails", "up", "out", "unheard")

    def __init__(self, name):
        self.name, self.waiting, self.task, self.conn, self.fails = name, deque(), None, None, 0
        self.up = False
        self.out, self.unheard = b"", deque()  # rest of a frame; when those not read yet went out


class Links:
    """`who()` gives (fleet, name, life); `address(name)` an (ADDRESS, PORT) or None; `heard(name, life,
    content)` raises ValueError for what can't be read.
    """

    def __init__(self, loop, who, address, heard, members, seed, log):
        self.loop, self.who, self.address, self.heard, self.log = loop, who, address, heard, log
        self.ways, self.strangers, self.told, self.sock, self.seed = {}, {}, {}, None, seed
        self.open = set()
        self.room = Room(2 * members + SPARE)
        self.sent = self.got = self.bytes_sent = self.bytes_got = self.lost = 0

    def begin(self, address):
        self.sock = bind_socket(address)
        self.sock.listen(64)
        self.listening = self.loop.spawn(self.listen(), first=True)

    def flush(self):
        """Sends what it can without waiting, over links that are up."""
        for _ in range(2):
            for way in self.ways.values():
                if way.up and way.waiting and way.task is not None and not way.task.ended:
                    self.loop.step(way.task, None)

    def close(self):
        """Nothing is heard or said from here on."""
        if self.sock is not None:
            self.loop.cancel(self.listening)
            self.loop.forget(self.sock.fileno())
            self.sock.close()
            self.sock = None
        for name in list(self.ways):
            self.drop(name)
        for conn in list(self.open):
            if conn.owner is not None:
                self.loop.cancel(conn.owner)

    def resize(self, members):
        self.room.most = max(self.room.most, 2 * members + SPARE)

    def grumble(self, event, **fields):
        """A line a minute at the most for each kind of trouble: strangers must not fill the log."""
        now = self.loop.now()
        since, count = self.told.get(event, (None, 0))
        if since is None or now - since >= MINUTE:
            self.log(event, **fields, **({"more": count} if count else {}))
            self.told[event] = now, 0
        else:
            self.told[event] = since, count + 1

    # Frames that come

    def listen(self):
        while True:
            yield (self.sock.fileno(), READ, None)
            while True:
                one, short = accept(self.sock, self.room)
                if one is None:
                    if short:
                        self.grumble("peers_out_of_descriptors", used=self.room.used)
                        yield (-1, 0, self.loop.now() + PAUSE)
                    break
                if not self.room.acquire("peers"):
                    if not self.strangers:
                        self.grumble("peer_connection_limit", used=self.room.used)
                        one.close()
                        continue
                    # Who has not said yet who it is goes for the next.
                    oldest = next(iter(self.strangers))
                    self.loop.cancel(oldest.owner)
                    self.strangers.pop(oldest, None)
                    self.open.discard(oldest)
                    oldest.close()
                    self.room.acquire("peers")
                try:
                    conn = Connection(self.loop, one, self.room, "peers")
                except OSError:
                    one.close()
                    self.room.release("peers")
                    continue
                self.strangers[conn] = True
                self.open.add(conn)
                conn.owner = self.loop.spawn(self.serve(conn), first=True)

    def serve(self, conn):
        held = bytearray()
        try:
            until = self.loop.now() + HELLO
            hello = decode_hello((yield from self.frame(conn, held, MOST_HELLO, until)))
            fleet, name, _ = self.who()
            if hello.mark != MARK or hello.version != VERSION:
                raise ValueError(f"another version: {hello.version!r:.20}")
            if fleet and hello.fleet and hello.fleet != fleet:
                raise ValueError(f"another fleet: {hello.fleet!r:.40}")
            if hello.name == name:
                raise ValueError(f"it says that it is {name} as well")
            self.strangers.pop(conn, None)
            owed, since = 0, 0
            while True:
                if not held and not (yield (conn.fd, READ, since + LATER if owed else None)) or owed > LAGS:
                    conn.sock.send(b"." * owed)
                    owed = 0
                    continue
                content = yield from self.frame(conn, held, MOST, None)
                self.got, self.bytes_got = self.got + 1, self.bytes_got + len(content)
                self.heard(hello.name, hello.life, content)
                since = since if owed else self.loop.now()
                owed += 1
        except (ValueError, msgspec.MsgspecError) as error:
            self.grumble("peer_refused", why=str(error)[:120])
        except WaitTimeoutError:
            self.grumble("peer_refused", why="a frame was not whole in time")
        except (OSError, EOFError):
            return
        finally:
            self.strangers.pop(conn, None)
            self.open.discard(conn)
            conn.close()

    def frame(self, conn, held, most, until):
        """The next whole frame; bytes beyond it stay in `held`."""
        until = until or self.loop.now() + WHOLE
        while True:
            if len(held) >= 4:
                length = int.from_bytes(held[:4], "big")
                if length > most:
                    raise ValueError(f"a frame of {length} bytes")
                if len(held) >= 4 + length:
                    content = bytes(held[4 : 4 + length])
                    del held[: 4 + length]
                    return content
            part = yield from conn.receive(until)
            if not part:
                raise EOFError
            held += part

    # Frames that go

    def send(self, name, content):
        way = self.ways.get(name)
        if way is None:
            way = self.ways[name] = Way(name)
        if len(way.waiting) >= MOST_WAITING:
            self.lost += len(way.waiting)
            way.waiting.clear()
        way.waiting.append(framed(content))
        if way.task is None or way.task.ended:
            way.task = self.loop.spawn(self.carried(way), first=True)
        elif way.up:
            # At once, without a turn of the link's own, unless that has to wait for something new.
            rests = not way.unheard and not way.out
            try:
                self.written(way)
            except OSError:
                rests = True
            if rests or way.out:
                self.loop.wake(way.task)

    def drop(self, name):
        """Nothing more is to be said there."""
        way = self.ways.pop(name, None)
        if way is not None and way.task is not None:
            self.loop.cancel(way.task)

    def carried(self, way):
        try:
            while way.waiting:
                address = self.address(way.name)
                if address is None:
                    way.waiting.clear()
                    return
                try:
                    yield from self.connected(way, address)
                    way.fails = 0
                except (OSError, WaitTimeoutError, OutOfDescriptorsError) as error:
                    self.lost += len(way.waiting)
                    way.waiting.clear()
                    way.fails += 1
                    why = str(error) or type(error).__name__
                    if way.fails == 1:
                        self.grumble(f"peer_lost_{way.name}", why=why)
                    wait = min(PAUSE << min(way.fails, 8), LONGEST)
                    spread = crc32(b"%d %s %d" % (self.seed, way.name.encode(), way.fails)) / 4294967296.0
                    last = self.loop.now() + int(wait * (0.5 + spread / 2))
                    while self.loop.now() < last:
                        yield (-1, 0, last)
                    # What has waited meanwhile is old by now, but for its newest.
                    while len(way.waiting) > 1:
                        way.waiting.popleft()
        finally:
            way.up = False

    def written(self, way):
        """Writes what waits there, as far as the link takes it."""
        while way.out or way.waiting:
            if not way.out:
                way.out = memoryview(way.waiting.popleft())
                self.sent, self.bytes_sent = self.sent + 1, self.bytes_sent + len(way.out)
                way.unheard.append(self.loop.now())
            try:
                way.out = way.out[way.conn.sock.send(way.out) :]
            except BlockingIOError:
                return

    def connected(self, way, address):
        """Says what waits there until the link breaks or has been idle for long."""
        loop = self.loop
        conn = yield from connect(loop, self.room, "peers", address, loop.now() + CONNECT)
        try:
            # Else a link that was cut for seconds stays silent for as long again once it is whole.
            conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNHEARD // 1000)
            fleet, name, life = self.who()
            hello = framed(encode_hello(Hello(MARK, VERSION, fleet, name, life)))
            yield from conn.send(hello, loop.now() + CONNECT)
            way.conn, way.out, way.up, rested = conn, b"", True, loop.now()
            unheard = way.unheard
            unheard.clear()
            while True:
                self.written(way)
                rested = loop.now() if unheard else rested
                until = unheard[0] + UNHEARD if unheard else rested + IDLE
                got = yield (conn.fd, READ | (WRITE if way.out else 0), until)
                if got and got & READ or got == 0:
                    try:
                        heard = conn.sock.recv(4096)
                        if not heard:
                            raise OSError(errno.ECONNRESET, "closed by the other side")
                        for _ in range(min(len(heard), len(unheard))):
                            unheard.popleft()
                    except BlockingIOError:
                        pass
                if self.who()[::2] != (fleet, life):
                    return  # it is another one now, and says so on another link
                if unheard and loop.now() >= unheard[0] + UNHEARD:
                    raise WaitTimeoutError
                if not unheard and not way.out and not way.waiting and loop.now() >= rested + IDLE:
                    return
        finally:
            way.up, way.conn, way.out = False, None, b""
            conn.close()
