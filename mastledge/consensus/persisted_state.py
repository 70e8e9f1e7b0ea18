"""What the disk of a member holds, from its records in their order."""

from mastledge.consensus.messages import Entry


class PersistedState:
    """Records: ("identity", fleet, life), ("hard", term, vote), ("snapshot", last, last_term, state),
    ("entry", index, entry), ("cut", index). A record that can't follow raises ValueError.
    """

    def __init__(self):
        self.reset()

    def reset(self):
        self.fleet = self.life = self.vote = ""
        self.term = self.last = self.last_term = 0
        self.state, self.entries = None, []

    def apply(self, record):
        what, *fields = record
        if what == "identity":
            if fields[1] != self.life:
                # Another life: what the former one had promised is not this one's.
                self.reset()
            self.fleet, self.life = fields
        elif what == "hard":
            self.term, self.vote = fields
        elif what == "snapshot":
            last = fields[0]
            keeps = self.last <= last <= self.last + len(self.entries)
            if keeps and (last - self.last) and self.entries[last - self.last - 1].term != fields[1]:
                keeps = False
            self.entries = self.entries[last - self.last :] if keeps else []
            self.last, self.last_term, self.state = fields
        elif what == "entry":
            index, entry = fields
            if index != self.last + len(self.entries) + 1:
                raise ValueError(f"entry {index} follows {self.last + len(self.entries)}")
            self.entries.append(entry if isinstance(entry, Entry) else Entry(*entry))
        elif what == "cut":
            del self.entries[fields[0] - self.last - 1 :]
        else:
            raise ValueError(f"a record of a later version: {what}")

    def compacted_records(self):
        """The fewest that lead to the same."""
        if not self.fleet:
            return []
        return [
            ("identity", self.fleet, self.life),
            ("hard", self.term, self.vote),
            ("snapshot", self.last, self.last_term, self.state),
            *(("entry", self.last + n, entry) for n, entry in enumerate(self.entries, 1)),
        ]

    def value(self):
        """As `Member` takes it up; None where there was no fleet yet."""
        if not self.fleet or self.state is None:
            return None
        return {
            "fleet": self.fleet,
            "life": self.life,
            "term": self.term,
            "vote": self.vote,
            "last": self.last,
            "last_term": self.last_term,
            "state": self.state,
            "entries": list(self.entries),
        }
