"""The log of a replica, and the group, the catalogue and the facts that result from it."""

from __future__ import annotations

from cowslipvane.catalogue import Catalogue, export_state, import_state
from cowslipvane.membership import FactRegister
from cowslipvane.replica._group import Group, GroupHistory, Voter
from cowslipvane.replica._journal import Ballot, Journal, Recovered
from cowslipvane.replica._log import Log
from cowslipvane.replica._messages import (
    Command,
    Entry,
    LogSnapshot,
    Noop,
    RecordFacts,
    Regroup,
    Write,
)


class ReplicatedState:
    """Log, group, catalogue and facts, consistent with each other and with the journal."""

    def __init__(
        self,
        *,
        founders: tuple[Voter, ...],
        journal: Journal,
        recovered: Recovered,
        compact_after_entries: int,
        compact_after_bytes: int,
    ) -> None:
        self._journal = journal
        self._compact_after_entries = compact_after_entries
        self._compact_after_bytes = compact_after_bytes
        self._catalogue = Catalogue()
        base = recovered.snapshot or LogSnapshot(
            0, 0, Group(founders), export_state(self._catalogue)
        )
        import_state(self._catalogue, base.catalogue)
        self._facts = FactRegister()
        self._facts.restore(base.facts)
        self._log = Log(base_index=base.position, base_term=base.term, entries=recovered.entries)
        self._groups = GroupHistory(index=base.position, group=base.group)
        self._record_groups(recovered.entries)
        self._synced_index = self.last_index
        self._commit_index = base.position
        self._applied_index = base.position
        # Memory of the applied entries that are still in the log.
        self._applied_bytes = 0

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue after applying the committed log."""
        return self._catalogue

    @property
    def facts(self) -> FactRegister:
        """Return what is kept of workers, after applying the committed log."""
        return self._facts

    @property
    def group(self) -> Group:
        """Return the group in force, whose entry may be uncommitted."""
        return self._groups.current

    @property
    def group_index(self) -> int:
        """Return the index of the entry that put the group in force."""
        return self._groups.changed_index

    @property
    def group_is_committed(self) -> bool:
        """Return whether the entry of the group in force is committed."""
        return self._groups.changed_index <= self._commit_index

    @property
    def commit_index(self) -> int:
        """Return the index up to which the log is committed."""
        return self._commit_index

    @property
    def synced_index(self) -> int:
        """Return the index up to which the log is synced to this replica's disk."""
        return self._synced_index

    @property
    def log_bytes(self) -> int:
        """Return the memory of the log's entries, in bytes."""
        return self._log.memory_bytes

    @property
    def base_index(self) -> int:
        """Return the index of the last entry that was compacted away, 0 for none."""
        return self._log.base_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry of the log."""
        return self._log.last_index

    @property
    def last_position(self) -> tuple[int, int]:
        """Return the term and index of the last entry, by which elections compare logs."""
        return self._log.last_term, self._log.last_index

    def term_of(self, index: int) -> int:
        """Return the term of the entry at an index, from the base index to the last."""
        return self._log.term_of(index)

    def has_committed_in(self, term: int) -> bool:
        """Return whether the last committed entry belongs to a term."""
        return self._log.term_of(self._commit_index) == term

    def entries_after(self, index: int, limit: int | None = None) -> tuple[Entry, ...]:
        """Return the entries after an index, up to a limit."""
        return self._log.entries_after(index, limit)

    def entry_bytes(self, index: int) -> int:
        """Return the memory of the entry at an index, in bytes."""
        return self._log.size_of(index)

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log with the same term as the entry at an index."""
        return self._log.first_index_of_term(index)

    def append(self, term: int, command: Command, stamped_at: float) -> int:
        """Append a command as the leader, and return the index of its entry."""
        entry = Entry(self.last_index + 1, term, command, stamped_at)
        self._log.append(entry)
        self._record_groups((entry,))
        self._journal.record_entries((entry,))
        return entry.position

    def merge_entries(self, entries: tuple[Entry, ...]) -> None:
        """Merge entries from the leader, replacing the log from the first that conflicts."""
        new = self._log.merge(entries)
        if new:
            self._groups.truncate_from(new[0].position)
            self._record_groups(new)
            self._synced_index = min(self._synced_index, new[0].position - 1)
            self._journal.record_entries(new)

    def install_snapshot(self, snapshot: LogSnapshot, ballot: Ballot) -> None:
        """Replace the log up to a snapshot, unless that part is already committed here."""
        if snapshot.position <= self._commit_index:
            return
        import_state(self._catalogue, snapshot.catalogue)
        self._facts.restore(snapshot.facts)
        self._log.compact(snapshot.position, snapshot.term)
        self._groups = GroupHistory(index=snapshot.position, group=snapshot.group)
        self._record_groups(self._log.entries_after(snapshot.position))
        self._commit_index = self._applied_index = snapshot.position
        self._applied_bytes = 0
        self._synced_index = min(self._synced_index, self.last_index)
        self._record_snapshot(snapshot, ballot)

    def commit_to(self, index: int, ballot: Ballot) -> None:
        """Apply the log up to a committed index, and compact it when it is large.

        Compaction replaces the journal, so the ballot is recorded again.
        """
        self._commit_index = max(self._commit_index, index)
        while self._applied_index < self._commit_index:
            self._apply_next()
            if self._is_large:
                self._compact(ballot)

    def record_synced(self, index: int) -> None:
        """Record that the log is synced up to an index."""
        self._synced_index = min(max(self._synced_index, index), self.last_index)

    def snapshot(self) -> LogSnapshot:
        """Return a snapshot of the state after the applied entries."""
        return LogSnapshot(
            self._applied_index,
            self._log.term_of(self._applied_index),
            self._groups.in_force_at(self._applied_index),
            export_state(self._catalogue),
            self._facts.export(),
        )

    @property
    def _is_large(self) -> bool:
        """Return whether there are so many or so large applied entries that they are compacted."""
        applied_count = self._applied_index - self._log.base_index
        return (
            applied_count >= self._compact_after_entries
            or self._applied_bytes >= self._compact_after_bytes
        )

    def _apply_next(self) -> None:
        """Apply the first entry that isn't applied yet."""
        self._applied_index += 1
        self._applied_bytes += self._log.size_of(self._applied_index)
        entry = self._log.entry(self._applied_index)
        match entry.command:
            case Write(change=change):
                self._catalogue.apply(change, accepted_at=entry.stamped_at)
            case RecordFacts(facts=facts):
                self._facts.record(facts)
            case Noop() | Regroup():
                pass

    def _compact(self, ballot: Ballot) -> None:
        """Replace the applied entries by a snapshot."""
        snapshot = self.snapshot()
        self._log.compact(snapshot.position, snapshot.term)
        self._groups.compact(snapshot.position)
        self._applied_bytes = 0
        self._record_snapshot(snapshot, ballot)

    def _record_snapshot(self, snapshot: LogSnapshot, ballot: Ballot) -> None:
        """Write a snapshot and the entries after it to the journal."""
        self._journal.record_snapshot(snapshot, ballot, self._log.entries_after(snapshot.position))

    def _record_groups(self, entries: tuple[Entry, ...]) -> None:
        """Record the groups that entries put in force."""
        for entry in entries:
            match entry.command:
                case Regroup(group=group):
                    self._groups.add(entry.position, group)
                case Write() | RecordFacts() | Noop():
                    pass
