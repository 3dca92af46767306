"""The log of a replica: the entries after its last snapshot."""

from __future__ import annotations

from cowslipvane.replica._messages import Entry
from cowslipvane.sizes import memory_size


class Log:
    """Log entries with consecutive indexes; the oldest may have been compacted away."""

    def __init__(self, *, base_index: int, base_term: int, entries: tuple[Entry, ...]) -> None:
        self._base_index = base_index
        self._base_term = base_term
        self._entries = list(entries)
        # The memory of each entry, in bytes.
        self._sizes = [memory_size(entry) for entry in entries]

    @property
    def base_index(self) -> int:
        """Return the index of the last entry that was compacted away, 0 for none."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.term_of(self.last_index)

    @property
    def memory_bytes(self) -> int:
        """Return the memory of the entries, in bytes."""
        return sum(self._sizes)

    def entry(self, index: int) -> Entry:
        """Return the entry at an index, which must not be compacted away."""
        return self._entries[index - self._base_index - 1]

    def term_of(self, index: int) -> int:
        """Return the term of the entry at an index, from the base index to the last."""
        return self.entry(index).term if index > self._base_index else self._base_term

    def size_of(self, index: int) -> int:
        """Return the memory of the entry at an index, in bytes."""
        return self._sizes[index - self._base_index - 1]

    def entries_after(self, index: int, limit: int | None = None) -> tuple[Entry, ...]:
        """Return the entries after an index, up to a limit."""
        first = index - self._base_index
        return tuple(self._entries[first : None if limit is None else first + limit])

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log with the same term as the entry at an index."""
        term = self.term_of(index)
        while index > self._base_index + 1 and self.term_of(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: Entry) -> None:
        """Append the next entry."""
        assert entry.position == self.last_index + 1
        self._entries.append(entry)
        self._sizes.append(memory_size(entry))

    def compact(self, index: int, term: int) -> None:
        """Drop the entries up to an index, or all if the log doesn't match the term there."""
        matches = index <= self.last_index and self.term_of(index) == term
        kept_from = index - self._base_index if matches else len(self._entries)
        del self._entries[:kept_from], self._sizes[:kept_from]
        self._base_index = index
        self._base_term = term

    def merge(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Add entries, truncate the log where it conflicts, and return the entries added."""
        for number, entry in enumerate(entries):
            if entry.position <= self._base_index:
                continue
            if entry.position <= self.last_index and self.term_of(entry.position) == entry.term:
                continue
            first = entry.position - self._base_index - 1
            del self._entries[first:], self._sizes[first:]
            for new in entries[number:]:
                self.append(new)
            return entries[number:]
        return ()
