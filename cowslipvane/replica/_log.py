"""The log of a replica: the entries that follow what a snapshot covers."""

from __future__ import annotations

from cowslipvane.replica._messages import Entry


class Log:
    """Entries under consecutive indexes, of which the oldest may be compacted away."""

    def __init__(self, *, base_index: int, base_term: int, entries: tuple[Entry, ...]) -> None:
        self._base_index = base_index
        self._base_term = base_term
        self._entries = list(entries)

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

    def entry(self, index: int) -> Entry:
        """Return the entry at an index after the base."""
        return self._entries[index - self._base_index - 1]

    def term_of(self, index: int) -> int:
        """Return the term at an index from the base to the last."""
        return self.entry(index).term if index > self._base_index else self._base_term

    def after(self, index: int, limit: int | None = None) -> tuple[Entry, ...]:
        """Return the entries after an index, at most so many."""
        first = index - self._base_index
        return tuple(self._entries[first : None if limit is None else first + limit])

    def start_of_term(self, index: int) -> int:
        """Return the first index that has the term of the entry at an index."""
        term = self.term_of(index)
        while index > self._base_index + 1 and self.term_of(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the last."""
        assert entry.position == self.last_index + 1
        self._entries.append(entry)

    def compact(self, index: int, term: int) -> None:
        """Drop the entries up to an index; drop all when the log doesn't lead through it."""
        leads_through = index <= self.last_index and self.term_of(index) == term
        self._entries = list(self.after(index)) if leads_through else []
        self._base_index = index
        self._base_term = term

    def replace(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Take entries in, drop what they contradict, and return those that were new."""
        for number, entry in enumerate(entries):
            if entry.position <= self._base_index:
                continue
            if entry.position <= self.last_index and self.term_of(entry.position) == entry.term:
                continue
            del self._entries[entry.position - self._base_index - 1 :]
            self._entries.extend(entries[number:])
            return entries[number:]
        return ()
