"""Proxies in user space on the links between dispatchers: each way of each pair can be cut, slowed or spoilt
by itself.
"""

import asyncio

from mastledge.lab.wire import address

CUT_POLL_S = 0.005  # between two looks whether a cut way is whole again
READ_BYTES = 65536


class LinkProxy:
    """The way from one dispatcher to another. What flows back on it is the word that frames were read."""

    def __init__(self, host: str, target: str) -> None:
        """Stand on `host` before the address `target` (`host:port`); `begin` opens it."""
        self.host, self.target = host, target
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.heal()

    def heal(self) -> None:
        """As it is without a fault. What was held goes on."""
        self.forth = self.back = True
        self.delay = 0.0  # seconds
        self.rate = 0  # bytes a second, 0: any
        self.swallows = False  # what comes in never goes out
        self.spoils = 0  # reads to come that are changed in their first byte
        self.refuses = False  # connections are reset at once

    async def begin(self) -> "LinkProxy":
        """Open the proxy; its `address` is where it listens."""
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection both ways until either ends."""
        if self.refuses:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*address(self.target))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        ways = [
            asyncio.create_task(self.carry(reader, target_writer, "forth")),
            asyncio.create_task(self.carry(target_reader, writer, "back")),
        ]
        self.tasks.update(ways)
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            self.tasks.difference_update(ways)
            self.writers -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str) -> None:
        """Carry one way, `forth` or `back`, under the faults that are set."""
        try:
            while part := await reader.read(1 if self.rate else READ_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while not getattr(self, way):
                    await asyncio.sleep(CUT_POLL_S)
                if self.swallows:
                    continue
                if self.rate:
                    await asyncio.sleep(1 / self.rate)
                if self.spoils and way == "forth":
                    self.spoils -= 1
                    part = bytes([part[0] ^ 0x55]) + part[1:]
                writer.write(part)
                await writer.drain()
        except OSError:
            return
