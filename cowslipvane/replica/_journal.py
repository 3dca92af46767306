"""The durable state of a replica, and the interface of the journal that stores it."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from cowslipvane.replica._messages import Entry, LogSnapshot
from cowslipvane.types import HostName


class Ballot(NamedTuple):
    """The current term, and the candidate that this replica voted for in it."""

    term: int
    voted_for: HostName | None


class Recovered(NamedTuple):
    """The state read back from disk when the process started."""

    ballot: Ballot
    entries: tuple[Entry, ...]
    snapshot: LogSnapshot | None = None

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, including those that the snapshot replaced."""
        if self.entries:
            return self.entries[-1].position
        return self.snapshot.position if self.snapshot else 0


class JournalFull(Exception):
    """The disk has no room for what was recorded, which is kept until there is some."""


class Journal(Protocol):
    """The durable record of ballot and log entries; nothing is durable before sync returns."""

    def record_ballot(self, ballot: Ballot) -> None:
        """Record a new ballot."""

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Record entries; an entry replaces those recorded at its index and after."""

    def record_snapshot(
        self, snapshot: LogSnapshot, ballot: Ballot, entries: tuple[Entry, ...]
    ) -> None:
        """Replace the journal by a snapshot, a ballot and the entries after the snapshot."""

    async def sync(self) -> None:
        """Wait until everything recorded before the call is on disk; raise if a write failed.

        JournalFull means that a later call may succeed, and any other exception that none will.
        """

    async def wait_for_failure(self) -> None:
        """Wait for a failed write, then raise so that the process stops."""

    async def wait_until_full(self) -> None:
        """Wait until a write has found the disk full."""
