"""The log of one member: entries numbered from 1, of which the oldest may be replaced by a snapshot."""

from collections.abc import Iterable

from mastledge.consensus.messages import Entry

MAX_ENTRIES_AT_ONCE = 64  # a long log must not become one frame


class Log:
    """Entries after `base_index`, the last one that the snapshot stands for."""

    __slots__ = ("base_index", "base_term", "entries")

    def __init__(self, base_index: int = 0, base_term: int = 0, entries: Iterable[Entry] = ()):
        """Begin after a snapshot, or empty."""
        self.base_index, self.base_term, self.entries = base_index, base_term, list(entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None where it is neither here nor the snapshot's last one."""
        if index == self.base_index:
            return self.base_term
        is_present = self.base_index < index <= self.last_index
        return self.entries[index - self.base_index - 1].term if is_present else None

    def entry_at(self, index: int) -> Entry:
        """Return an entry that is held here."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int, limit: int = MAX_ENTRIES_AT_ONCE) -> list[Entry]:
        """Return the entries after an index, `limit` of them at the most."""
        first = index - self.base_index
        return self.entries[first : first + limit]

    def all_after(self, index: int) -> list[Entry]:
        """Return all entries after an index."""
        return self.entries_after(index, len(self.entries))

    def append(self, entry: Entry) -> int:
        """Add an entry and give its index."""
        self.entries.append(entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, for which a snapshot stands."""
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
