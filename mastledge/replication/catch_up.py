"""Copies for who becomes a holder: takes from the old holders what is to be its own, and says when it has it.

Who is asked lets nothing of an earlier placement in any more (`fence`), before it tells what it has. So what
a majority of the old holders took by then is told, and what comes later needs a majority of the new ones as
well. Where too many of the old holders are lost for that, nothing that they promised is sure to be found:
then it is waited until all promises of then are over.
"""

from mastledge.idempotency.errors import KeyTableFullError
from mastledge.replication import messages as m

BATCH, BYTES = 128, 1 << 18  # records of one message, and bytes of their answers
LOOKED = 128  # records looked at for one: each costs two rankings, and a turn of the loop has to stay short
AGAIN = 200_000


class Source:
    """What one new holder is told, and how far it has got. What comes later is told to it as claims."""

    def __init__(self, epoch, places):
        self.epoch, self.places, self.place, self.at, self.batch = epoch, places, 0, 0, None
        self.keeps = False


class CatchUp:
    def __init__(self, node, patience):
        self.node, self.patience = node, patience
        self.sources, self.epoch, self.heard, self.whole, self.said = {}, -1, {}, set(), False
        self.again_at = self.until = 0
        self.caught, self.taken, self.given = None, 0, 0

    # From others

    def configured(self, now, placement):
        """Begins anew with each placement that this one is to be a holder of."""
        self.sources = {name: one for name, one in self.sources.items() if one.epoch == placement.epoch}
        wanted = placement.next is not None and placement.next.get(self.node.name) == self.node.id
        if not wanted or self.node.name in placement.caught:
            self.epoch, self.caught = -1, None
        elif self.epoch != placement.epoch:
            self.epoch, self.heard, self.whole, self.said = placement.epoch, {}, set(), False
            self.until, self.again_at = now + self.patience, now
            if self.keeps(self.node.name, self.node.id) and placement.now.keys() == placement.next.keys():
                # Others' folders are new. What it holds is what it held, and it needs none of it again.
                self.whole.update(placement.now)
        self.run(now)

    def keeps(self, name, id_):
        """Whether what this one holds of its keys counts on.

        Of each key a majority of the new holders has what a majority of the old ones had, if each new one
        gets it and there are as many: who stays need not get what it had missed.
        """
        placement = self.node.placement
        now, after, count = placement.now, placement.next, placement.count
        if placement.after != count:
            # Fewer holders have no majority of a key by what they had, more have one of another size.
            return False
        return now.get(name) == id_ and len(now) >= count and len(after) >= count

    def wake_at(self):
        return min(self.again_at, self.until) if self.epoch >= 0 and not self.said else None

    def run(self, now):
        if self.epoch < 0 or self.said:
            return
        placement = self.node.placement
        old = {name for name, id_ in placement.now.items() if (name, id_) != (self.node.name, self.node.id)}
        missing = old - self.whole
        if len(missing) <= placement.spare() or now >= self.until:
            self.said = True
            self.node.caught_up(self.epoch)
        elif now >= self.again_at:
            self.again_at = now + AGAIN
            for name in sorted(missing):
                self.node.say(name, m.ScanRequest(self.epoch, self.heard.get(name, 0)))

    def on_ScanResponse(self, now, sender, id_, batch):
        placement = self.node.placement
        if batch.epoch != self.epoch or placement.now.get(sender) != id_ or sender in self.whole:
            return
        if batch.place != self.heard.get(sender, 0):
            return
        try:
            for record in batch.records:
                self.node.holder.merge(now, record)
        except KeyTableFullError:
            # No room for what others hold: it is no holder until there is some.
            return
        self.taken += len(batch.records)
        self.heard[sender] = batch.to
        if batch.last:
            self.whole.add(sender)
            self.run(now)
        else:
            self.node.say(sender, m.ScanRequest(self.epoch, self.heard[sender]))

    # To others

    def on_ScanRequest(self, now, sender, id_, scan):
        node, placement = self.node, self.node.placement
        if scan.epoch != placement.epoch or placement.next is None or placement.next.get(sender) != id_:
            return
        source = self.sources.get(sender)
        if source is None or scan.place < source.place:
            node.raise_fence(scan.epoch)
            source = self.sources[sender] = Source(scan.epoch, list(node.holder.book.records))
            source.keeps = self.keeps(sender, id_)
        if source.batch is None or scan.place > source.place:
            source.place = scan.place
            source.batch = self.batch(now, sender, source)
        if source.batch.place == scan.place:
            node.say(sender, source.batch, safe=True)

    def batch(self, now, sender, source):
        node, records, looked, size = self.node, [], 0, 0
        while source.at < len(source.places) and len(records) < BATCH and looked < LOOKED and size < BYTES:
            place = source.places[source.at]
            source.at, looked = source.at + 1, looked + 1
            record = node.holder.book.records.get(place)
            if record is None or source.keeps and node.placement.held(sender, *place):
                continue
            if node.placement.holds(sender, *place):
                records.append(node.holder.copy(now, record))
                size += len(record.content)
        self.given += len(records)
        return m.ScanResponse(source.epoch, source.place, source.at, records, source.at >= len(source.places))
