"""Tests of the data folder on a disk that keeps only what was synced."""

import asyncio
import random
import tempfile
import unittest
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from itertools import product
from pathlib import Path

from cowslipvane.catalogue import Catalogue, Change, Key, Service, export_state
from cowslipvane.replica import (
    Ballot,
    Entry,
    Group,
    LogSnapshot,
    Noop,
    Recovered,
    Write,
)
from cowslipvane.storage import DataFolder, FileJournal, Identity
from cowslipvane.types import HostName, OperationId, ReplicaId, Version
from tests.simulated_disk import ProcessKilled, SimulatedDisk

BALLOT = Ballot(3, HostName("a"))
IDENTITY = Identity("group", HostName("a"), ReplicaId("x"), ())
ENTRIES = tuple(Entry(index, 3, Noop(), 1.0) for index in range(1, 7))
SEEDS = range(30)
# The creation of a data folder makes no more syncs than this.
MAX_SYNCS_OF_A_CREATION = 10
# Snapshot and journal with a sync of the folder after each, and the last sync of the journal.
MAX_SYNCS_OF_A_COMPACTION = 5
# A snapshot installed by the leader, past the end of the log.
SNAPSHOT = LogSnapshot(4, 3, Group(()), export_state(Catalogue()))


class DurabilityTestCase(unittest.TestCase):
    """Base class of tests with one data folder, whose process and machine fail."""

    def setUp(self) -> None:
        """Create a data folder with a ballot and three entries."""
        self.empty_disk_path()
        with self.disk.installed():
            self.folder.create(IDENTITY)
        with self.open() as journal:
            journal.record_ballot(BALLOT)
            self.write(journal, *ENTRIES[:3])

    def empty_disk_path(self) -> Path:
        """Take an empty disk, for a data folder that isn't created yet, and return its path."""
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        root = Path(parent.name) / "disk"
        root.mkdir()
        self.disk = SimulatedDisk(root=root)
        self.addCleanup(self.disk.close)
        self.folder = DataFolder(path=root / "replica")
        return root

    @contextmanager
    def open(self) -> Iterator[FileJournal]:
        """Start a process on the data folder; it is killed at the end."""
        with self.disk.installed(), closing(self.folder):
            self.assertEqual(self.folder.open(), IDENTITY)
            with closing(FileJournal(path=self.folder.journal_path)) as journal:
                self.recovered = journal.recover()
                yield journal

    def write(self, journal: FileJournal, *entries: Entry) -> None:
        """Write and sync entries."""
        journal.record_entries(entries)
        asyncio.run(journal.sync())

    def kill_before_sync(self, journal: FileJournal, *, after_syncs: int = 0) -> None:
        """Kill the process while it syncs what is recorded, after the writes before that sync."""
        self.disk.kill_after_syncs = after_syncs
        with self.assertRaises(ProcessKilled):
            asyncio.run(journal.sync())


class PowerLossTest(DurabilityTestCase):
    """What was acknowledged is recovered after power losses."""

    def test_a_created_folder_survives_a_power_loss(self) -> None:
        """The folder that contains it was not synced, and a power loss could take all of it."""
        with self.open():
            acknowledged = self.recovered
        self.assertEqual(acknowledged, Recovered(BALLOT, ENTRIES[:3]))
        self.disk.lose_power(random.Random(0))
        with self.open():
            self.assertEqual(self.recovered, acknowledged)

    def test_all_folders_that_the_creation_makes_survive_a_power_loss(self) -> None:
        """Each one needs a sync of the folder that contains it."""
        path = self.empty_disk_path() / "replicas" / "data" / "replica"
        self.folder = DataFolder(path=path)
        with self.disk.installed():
            self.folder.create(IDENTITY)
        self.disk.lose_power(random.Random(0))
        with self.open():
            self.assertEqual(self.recovered, Recovered(Ballot(0, None), ()))

    def test_a_folder_of_a_killed_process_is_synced_before_it_counts(self) -> None:
        """Killed during the creation, the process left names that only the page cache held."""
        for seed, syncs in product(SEEDS[:6], range(MAX_SYNCS_OF_A_CREATION)):
            self.empty_disk_path()
            with self.disk.installed():
                self.disk.kill_after_syncs = syncs
                with suppress(ProcessKilled):
                    self.folder.create(IDENTITY)
                self.disk.kill_after_syncs = None
                if self.folder.is_empty:
                    self.folder.create(IDENTITY)
            with self.open() as journal:
                self.write(journal, *ENTRIES)
            self.disk.lose_power(random.Random(seed))
            with self.open():
                self.assertEqual(self.recovered.entries, ENTRIES, f"seed {seed}, {syncs} syncs")

    def test_entries_of_a_killed_process_are_synced_before_they_count(self) -> None:
        """The page cache alone held them, and the next power loss took what was acknowledged."""
        for seed in SEEDS:
            self.setUp()
            with self.open() as journal:
                journal.record_entries(ENTRIES[3:])
                self.kill_before_sync(journal)
            with self.open():
                acknowledged = self.recovered
            self.assertEqual(acknowledged, Recovered(BALLOT, ENTRIES))
            self.disk.lose_power(random.Random(seed))
            with self.open():
                self.assertEqual(self.recovered, acknowledged, f"seed {seed}")

    def test_a_power_loss_within_a_batch_leaves_all_or_nothing_of_it(self) -> None:
        """A record behind one that was lost looked like damage, and the replica never started."""
        ballot = Ballot(4, HostName("b"))
        outcomes = (Recovered(BALLOT, ENTRIES[:3]), Recovered(ballot, ENTRIES))
        for seed in SEEDS:
            self.setUp()
            with self.open() as journal:
                journal.record_ballot(ballot)
                journal.record_entries(ENTRIES[3:])
                self.kill_before_sync(journal)
            self.disk.lose_power(random.Random(seed))
            with self.open():
                self.assertIn(self.recovered, outcomes, f"seed {seed}")

    def test_a_large_entry_torn_by_a_power_loss_is_dropped(self) -> None:
        """Pages of one write reach the disk on their own, its end perhaps before its start."""
        services = tuple((Key("service", f"s{number}"), Service()) for number in range(1000))
        change = Change(OperationId("x"), Version(0), services)
        large = Entry(4, 3, Write(change=change), 1.0)
        for seed in SEEDS[:6]:
            self.setUp()
            with self.open() as journal:
                journal.record_entries((large,))
                self.kill_before_sync(journal)
            self.disk.lose_power(random.Random(seed))
            with self.open() as journal:
                self.assertEqual(self.recovered, Recovered(BALLOT, ENTRIES[:3]), f"seed {seed}")

    def test_entries_after_an_interrupted_compaction_are_kept(self) -> None:
        """They followed older entries in the journal, and were dropped along with these."""
        for seed, syncs in product(SEEDS[:6], range(MAX_SYNCS_OF_A_COMPACTION)):
            self.setUp()
            with self.open() as journal:
                journal.record_snapshot(SNAPSHOT, BALLOT, ())
                self.kill_before_sync(journal, after_syncs=syncs)
            with self.open() as journal:
                self.write(journal, *ENTRIES[self.recovered.last_index :])
            self.disk.lose_power(random.Random(seed))
            with self.open():
                self.assertEqual(self.recovered.ballot, BALLOT)
                self.assertEqual(
                    self.recovered.last_index, len(ENTRIES), f"seed {seed}, {syncs} syncs"
                )


if __name__ == "__main__":
    unittest.main()
