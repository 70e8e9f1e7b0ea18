"""What the disk of a holder keeps, from its records in their order."""

from mastledge.idempotency.persisted_keys import PersistedKeys


class PersistedReplica(PersistedKeys):
    """As of one dispatcher's keys, and ("holder", id, starts): which folder this is, and how often it was
    opened; ("fence", epoch): of earlier placements nothing is let in any more.
    """

    def __init__(self, now):
        super().__init__(now)
        self.id, self.starts, self.fence = "", 0, 0

    def reset(self):
        super().reset()
        self.id, self.starts, self.fence = "", 0, 0

    def apply(self, record):
        what, *fields = record
        if what == "holder":
            self.id, self.starts = fields
        elif what == "fence":
            self.fence = max(self.fence, *fields)
        else:
            super().apply(record)

    def compacted_records(self):
        return head(self.id, self.starts, self.fence) + super().compacted_records()


def head(id_, starts, fence):
    return [("holder", id_, starts), ("fence", fence)] if id_ else []
