"""Relays in user space on the links between dispatchers: each way of each pair can be cut, slowed or spoilt
by itself.
"""

import asyncio

from mastledge.lab.wire import address

STEP = 0.005


class LinkProxy:
    """The way from one dispatcher to another. What flows back on it is the word that frames were read."""

    def __init__(self, host, target):
        self.host, self.target, self.server, self.pairs, self.tasks = host, target, None, set(), set()
        self.heal()

    def heal(self):
        """As it is without a fault. What was held goes on."""
        self.forth = self.back = True
        self.delay, self.rate, self.swallows, self.spoils, self.refuses = 0.0, 0, False, 0, False

    async def begin(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def reset(self):
        for writer in list(self.pairs):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        try:
            there, here = await asyncio.open_connection(*address(self.target))
        except OSError:
            writer.transport.abort()
            return
        self.pairs |= {writer, here}
        ways = [
            asyncio.create_task(self.carry(reader, here, "forth")),
            asyncio.create_task(self.carry(there, writer, "back")),
        ]
        self.tasks.update(ways)
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            self.tasks.difference_update(ways)
            self.pairs -= {writer, here}
            writer.close()
            here.close()

    async def carry(self, reader, writer, way):
        try:
            while part := await reader.read(1 if self.rate else 65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while not getattr(self, way):
                    await asyncio.sleep(STEP)
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
