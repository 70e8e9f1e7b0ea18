"""Links between regions: each frame leaves after half of the round trip, in the order it was handed in."""

from collections import deque

from mastledge.peers.links import Links

HALF = 2


class DelayedLinks(Links):
    """As `Links`; `regions` maps names to regions, `round_trip` is in microseconds between two of them.

    The byte that says that a frame was read is not delayed.
    """

    def __init__(self, *fields, regions, round_trip):
        super().__init__(*fields)
        self.regions, self.delay = regions, round_trip // HALF
        self.on_the_way, self.carrier = deque(), None
        self.here = None

    def send(self, name, content):
        if self.here is None:
            self.here = self.regions.get(self.host.link_identity().name)
        if not self.delay or self.regions.get(name) == self.here:
            super().send(name, content)
            return
        self.on_the_way.append((self.loop.now() + self.delay, name, content))
        if self.carrier is None or self.carrier.ended:
            self.carrier = self.loop.spawn(self.carry(), first=True)

    def carry(self):
        while self.on_the_way:
            due, name, content = self.on_the_way[0]
            if self.loop.now() < due:
                yield (-1, 0, due)
                continue
            self.on_the_way.popleft()
            super().send(name, content)

    def close(self):
        if self.carrier is not None:
            self.loop.cancel(self.carrier)
        self.on_the_way.clear()
        super().close()
