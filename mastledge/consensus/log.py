"""The raft log of a member: entries numbered from 1; a snapshot may replace the oldest."""

from collections.abc import Iterable

from mastledge.consensus.messages import Entry

MAX_ENTRIES_AT_ONCE = 64  # limits the size of a frame


class Log:
    """The entries after `base_index`, the last index that the snapshot covers."""

    __slots__ = ("base_index", "base_term", "entries")

    def __init__(self, base_index: int = 0, base_term: int = 0, entries: Iterable[Entry] = ()):
        """Initialize empty, or with the entries after a snapshot."""
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
        """Return the term of an entry; None if it is neither in the log nor the last one of the snapshot."""
        if index == self.base_index:
            return self.base_term
        is_in_log = self.base_index < index <= self.last_index
        return self.entries[index - self.base_index - 1].term if is_in_log else None

    def entry_at(self, index: int) -> Entry:
        """Return the entry at `index`, which must be in the log."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int, limit: int = MAX_ENTRIES_AT_ONCE) -> list[Entry]:
        """Return at most `limit` entries after `index`."""
        first = index - self.base_index
        return self.entries[first : first + limit]

    def all_after(self, index: int) -> list[Entry]:
        """Return all entries after `index`."""
        return self.entries_after(index, len(self.entries))

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index."""
        self.entries.append(entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Remove the entries up to `index`, which a snapshot covers."""
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
