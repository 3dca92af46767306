"""What a replica keeps on its disk."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from cowslipvane.replica._messages import Entry, LogSnapshot
from cowslipvane.types import HostName


class Ballot(NamedTuple):
    """The term, and whom this replica voted for in it."""

    term: int
    voted_for: HostName | None


class Recovered(NamedTuple):
    """What the disk held at the start."""

    ballot: Ballot
    entries: tuple[Entry, ...]
    snapshot: LogSnapshot | None = None


class Journal(Protocol):
    """The durable record of ballot and entries; nothing counts before it is synced."""

    def record_ballot(self, ballot: Ballot) -> None:
        """Record a new ballot."""

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Record entries; an entry replaces all at its index and after."""

    def record_snapshot(
        self, snapshot: LogSnapshot, ballot: Ballot, entries: tuple[Entry, ...]
    ) -> None:
        """Record a snapshot, and begin the record anew with a ballot and the later entries."""

    async def sync(self) -> None:
        """Return once everything recorded before the call is on the disk, or raise."""

    async def wait_for_failure(self) -> None:
        """Wait for a failed write and raise, so that the process stops."""
