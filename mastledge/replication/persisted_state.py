"""What the disk of a holder keeps, from its records in their order."""

from mastledge.idempotency.persisted_keys import PersistedKeys


class PersistedReplica(PersistedKeys):
    """As of one dispatcher's keys, and ("holder", id, starts): which folder this is, and how often it was
    opened; ("fence", epoch): of earlier placements nothing is let in any more.
    """

    def __init__(self, now):
        super().__init__(now)
        self.id, self.starts, self.fence = "", 0, 0

    def clear(self):
        super().clear()
        self.id, self.starts, self.fence = "", 0, 0

    def take(self, record):
        what, *fields = record
        if what == "holder":
            self.id, self.starts = fields
        elif what == "fence":
            self.fence = max(self.fence, *fields)
        else:
            super().take(record)

    def records(self):
        return head(self.id, self.starts, self.fence) + super().records()


def head(id_, starts, fence):
    return [("holder", id_, starts), ("fence", fence)] if id_ else []
