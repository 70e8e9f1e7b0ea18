"""The log of one member: entries numbered from 1, of which the oldest may be gone into a snapshot."""


class Log:
    __slots__ = ("base", "base_term", "entries")

    def __init__(self, base=0, base_term=0, entries=()):
        self.base, self.base_term, self.entries = base, base_term, list(entries)

    @property
    def last(self):
        return self.base + len(self.entries)

    @property
    def last_term(self):
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index):
        """The term of an entry; None where it is not here, neither whole nor as the snapshot's last."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last else None

    def entry(self, index):
        return self.entries[index - self.base - 1]

    def behind(self, index, most=64):
        """Entries after `index`, some at a time: a long log must not become one frame."""
        at = index - self.base
        return self.entries[at : at + most]

    def append(self, entry):
        self.entries.append(entry)
        return self.last

    def cut(self, index):
        """Drops all from `index` on."""
        del self.entries[index - self.base - 1 :]

    def compact(self, index):
        """Drops all up to `index`, which a snapshot holds."""
        term = self.term(index)
        del self.entries[: index - self.base]
        self.base, self.base_term = index, term
