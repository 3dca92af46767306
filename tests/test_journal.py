"""Tests of the journal on a real file system, with injected system call failures."""

import asyncio
import os
import tempfile
import threading
import tracemalloc
import unittest
from pathlib import Path
from unittest import mock

from cowslipvane.catalogue import RELEASE_KEY, Catalogue, Change, Release, export_state
from cowslipvane.replica import (
    Ballot,
    Entry,
    Group,
    JournalFull,
    LogSnapshot,
    Noop,
    Recovered,
    Write,
)
from cowslipvane.sizes import memory_size
from cowslipvane.storage import (
    DataFolder,
    FileJournal,
    FolderDamaged,
    Identity,
    JournalFailed,
    _journal,
)
from cowslipvane.types import HostName, OperationId, ReplicaId, Version
from tests.full_disk import FullDisk

BALLOT = Ballot(3, HostName("a"))
ENTRIES = tuple(Entry(index, 3, Noop(), 1.0) for index in range(1, 6))

SNAPSHOT = LogSnapshot(3, 3, Group(()), export_state(Catalogue()))


class JournalTest(unittest.IsolatedAsyncioTestCase):
    """Recovery after a crash, and detection of damage and disk failures."""

    async def asyncSetUp(self) -> None:
        """Write a ballot and some entries, each with a sync of its own."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "journal"
        self.journal = self.open()
        self.journal.record_ballot(BALLOT)
        await self.journal.sync()
        for entry in ENTRIES:
            self.journal.record_entries((entry,))
            await self.journal.sync()

    def open(self) -> FileJournal:
        """Open the journal."""
        journal = FileJournal(path=self.path)
        self.addCleanup(journal.close)
        return journal

    async def test_an_incomplete_last_record_is_truncated_at_every_length(self) -> None:
        """The complete records stay, and new records can be appended."""
        complete = self.path.read_bytes()
        record_length = len(complete) // 6
        for cut in range(1, record_length):
            self.path.write_bytes(complete[:-cut])
            journal = self.open()
            self.assertEqual(journal.recover(), Recovered(BALLOT, ENTRIES[:4]))
            journal.record_entries(ENTRIES[4:])
            await journal.sync()
            self.assertEqual(self.open().recover(), Recovered(BALLOT, ENTRIES))

    async def test_damage_before_the_last_record_is_an_error(self) -> None:
        """Truncating at a corrupted byte would lose the synced records after it."""
        complete = self.path.read_bytes()
        self.path.write_bytes(complete[:-1])
        self.open().recover()
        last_record_start = len(self.path.read_bytes())
        for position in range(0, last_record_start, 3):
            damaged = bytearray(complete)
            damaged[position] ^= 0x41
            self.path.write_bytes(bytes(damaged))
            with self.assertRaises(FolderDamaged, msg=f"byte {position}"):
                self.open().recover()

    async def write_batches(self) -> list[int]:
        """Write the same in batches of two to the file instead, and return where they end."""
        self.path.unlink()
        self.journal = self.open()
        ends = []
        for first in (0, 2, 4):
            if first == 0:
                self.journal.record_ballot(BALLOT)
                self.journal.record_entries(ENTRIES[:1])
            else:
                self.journal.record_entries(ENTRIES[first - 1 : first + 1])
            await self.journal.sync()
            ends.append(self.path.stat().st_size)
        self.assertEqual(self.open().recover(), Recovered(BALLOT, ENTRIES))
        return ends

    async def test_an_incomplete_last_batch_is_truncated_at_every_length(self) -> None:
        """None of its records counts, and new ones can be appended."""
        _, second_end, end = await self.write_batches()
        complete = self.path.read_bytes()
        for cut in range(1, end - second_end):
            self.path.write_bytes(complete[:-cut])
            journal = self.open()
            self.assertEqual(journal.recover(), Recovered(BALLOT, ENTRIES[:3]))
            journal.record_entries(ENTRIES[3:])
            await journal.sync()
            self.assertEqual(self.open().recover(), Recovered(BALLOT, ENTRIES))

    async def test_damage_in_a_batch_before_the_last_is_an_error(self) -> None:
        """Truncating at a corrupted byte would lose the synced batches after it."""
        _, second_end, _ = await self.write_batches()
        complete = self.path.read_bytes()
        for position in range(second_end):
            damaged = bytearray(complete)
            damaged[position] ^= 0x41
            self.path.write_bytes(bytes(damaged))
            with self.assertRaises(FolderDamaged, msg=f"byte {position}"):
                self.open().recover()

    async def test_damage_in_the_last_batch_drops_it_whole(self) -> None:
        """A power loss may have taken any of the records that it was to sync."""
        _, second_end, end = await self.write_batches()
        complete = self.path.read_bytes()
        for position in range(second_end, end):
            damaged = bytearray(complete)
            damaged[position] ^= 0x41
            self.path.write_bytes(bytes(damaged))
            self.assertEqual(self.open().recover(), Recovered(BALLOT, ENTRIES[:3]))

    async def test_a_large_torn_end_is_searched_quickly(self) -> None:
        """The search tried a record at every byte, which took seconds on a slow host."""
        with self.path.open("ab") as file:
            file.write(b'\x00\x06\x97\x89....E{"match":"/BEPSG"},' * 20_000 + bytes(8192))
        journal = self.open()
        with mock.patch.object(_journal, "_read_record", wraps=_journal._read_record) as read:
            self.assertEqual(journal.recover(), Recovered(BALLOT, ENTRIES))
        self.assertLess(read.call_count, journal.dropped_bytes / 20)

    async def test_short_writes_are_continued(self) -> None:
        """No data is lost if os.write writes only a few bytes at a time."""
        write = os.write
        more = tuple(Entry(index, 3, Noop(), 1.0) for index in range(6, 9))
        with mock.patch("os.write", lambda file, data: write(file, bytes(data[:5]))):
            self.journal.record_entries(more)
            await self.journal.sync()
        self.assertEqual(self.open().recover(), Recovered(BALLOT, (*ENTRIES, *more)))

    async def test_all_syncs_fail_after_a_failed_sync(self) -> None:
        """Later syncs raise, and so does the method that waits for a failure."""
        with mock.patch("os.fdatasync", side_effect=OSError("no disk")):
            self.journal.record_ballot(Ballot(4, None))
            with self.assertRaises(JournalFailed):
                await self.journal.sync()
        with self.assertRaises(JournalFailed):
            await self.journal.sync()
        self.journal.record_ballot(Ballot(5, None))
        with self.assertRaises(JournalFailed):
            await self.journal.sync()
        with self.assertRaises(JournalFailed):
            await self.journal.wait_for_failure()

    # Guards against a replica that ends again and again while its disk is full, or that
    # acknowledges what it can't keep.
    async def test_full_disk_keeps_what_is_recorded_until_there_is_room(self) -> None:
        """Nothing of it is left in the file meanwhile, whatever part of it was written."""
        complete = self.path.read_bytes()
        more = tuple(Entry(index, 3, Noop(), 1.0) for index in range(6, 9))
        for room in (0, 1, 11, 25):
            disk = FullDisk(root=self.path.parent, room=room)
            journal = self.open()
            journal.recover()
            with disk.installed():
                disk.is_full = True
                for entry in more:
                    journal.record_entries((entry,))
                    with self.assertRaises(JournalFull):
                        await journal.sync()
                    self.assertEqual(self.path.read_bytes(), complete)
                await asyncio.wait_for(journal.wait_until_full(), 1.0)
                self.assertEqual(self.open().recover(), Recovered(BALLOT, ENTRIES))
                disk.is_full = False
                await journal.sync()
            self.assertEqual(self.open().recover(), Recovered(BALLOT, (*ENTRIES, *more)))
            self.path.write_bytes(complete)

    async def test_full_disk_puts_off_a_compaction(self) -> None:
        """The journal stays as it is, and no half of a snapshot takes up room."""
        disk = FullDisk(root=self.path.parent)
        names = set(os.listdir(self.path.parent))
        with disk.installed():
            disk.is_full = True
            self.journal.record_snapshot(SNAPSHOT, BALLOT, ENTRIES[3:])
            with self.assertRaises(JournalFull):
                await self.journal.sync()
            self.assertEqual(set(os.listdir(self.path.parent)), names)
            self.assertEqual(self.open().recover(), Recovered(BALLOT, ENTRIES))
            disk.is_full = False
            await self.journal.sync()
        self.assertEqual(self.open().recover(), Recovered(BALLOT, ENTRIES[3:], SNAPSHOT))

    # Guards against a replica that ends at its memory limit while its disk is full, since each
    # snapshot that it takes meanwhile is kept with all that it replaces.
    async def test_full_disk_keeps_no_more_than_the_newest_compaction(self) -> None:
        """The records after it are kept, and all of them are written once there is room."""
        disk = FullDisk(root=self.path.parent)
        with disk.installed():
            disk.is_full = True
            for number in range(6, 60):
                snapshot = SNAPSHOT._replace(position=number)
                self.journal.record_snapshot(snapshot, BALLOT, ())
                self.journal.record_entries((Entry(number + 1, 3, Noop(), 1.0),))
                with self.assertRaises(JournalFull):
                    await self.journal.sync()
                self.assertLessEqual(len(self.journal._pending), 2)
            disk.is_full = False
            await self.journal.sync()
        newest = Entry(60, 3, Noop(), 1.0)
        recovered = Recovered(BALLOT, (newest,), SNAPSHOT._replace(position=59))
        self.assertEqual(self.open().recover(), recovered)

    async def test_a_cancelled_sync_loses_no_record(self) -> None:
        """The next sync writes the records of the cancelled one."""
        fdatasync, disk_ready = os.fdatasync, threading.Event()

        def slow_fdatasync(file: int) -> None:
            disk_ready.wait()
            fdatasync(file)

        with mock.patch("os.fdatasync", slow_fdatasync):
            self.journal.record_entries((Entry(6, 3, Noop(), 1.0),))
            first = asyncio.create_task(self.journal.sync())
            await asyncio.sleep(0)
            self.journal.record_ballot(Ballot(4, None))
            second = asyncio.create_task(self.journal.sync())
            await asyncio.sleep(0)
            second.cancel()
            await asyncio.gather(second, return_exceptions=True)
            disk_ready.set()
            await first
        self.journal.record_entries((Entry(7, 4, Noop(), 1.0),))
        await self.journal.sync()
        self.assertEqual(self.open().recover().ballot, Ballot(4, None))

    # Guards against a replica whose journal fits into memory, but not while it starts.
    async def test_a_start_reads_one_record_at_a_time(self) -> None:
        """It takes little more memory than the entries that it recovers."""
        text = "x" * 1_000_000
        entries = []
        for number in range(6, 46):
            release = Release(number=number, based_on=number - 1, document=f"{number}{text}")
            puts = ((RELEASE_KEY, release),)
            change = Change(OperationId(str(number)), Version(0), puts)
            entries.append(Entry(number, 3, Write(change=change), 1.0))
            self.journal.record_entries(tuple(entries[-1:]))
            await self.journal.sync()
        size = memory_size(tuple(entries))
        del entries
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        recovered = self.open().recover()
        self.assertEqual(recovered.last_index, 45)
        self.assertLess(tracemalloc.get_traced_memory()[1], 1.5 * size)

    async def compact(self) -> None:
        """Record a snapshot up to entry 3, with entries 4 and 5 after it."""
        self.journal.record_snapshot(SNAPSHOT, BALLOT, ENTRIES[3:])
        await self.journal.sync()

    async def test_snapshot_and_journal_are_recovered_together(self) -> None:
        """Entries appended after the compaction are recovered too."""
        await self.compact()
        more = Entry(6, 3, Noop(), 1.0)
        self.journal.record_entries((more,))
        await self.journal.sync()
        recovered = Recovered(BALLOT, (*ENTRIES[3:], more), SNAPSHOT)
        self.assertEqual(self.open().recover(), recovered)

    async def test_a_crash_between_snapshot_and_journal_loses_no_entry(self) -> None:
        """Entries of the old journal after the snapshot are kept."""
        older = self.path.read_bytes()
        await self.compact()
        self.path.write_bytes(older)
        self.assertEqual(self.open().recover(), Recovered(BALLOT, ENTRIES[3:], SNAPSHOT))

    async def test_an_older_journal_that_conflicts_with_the_snapshot_is_dropped(self) -> None:
        """An installed snapshot overrides entries that the group never committed."""
        older = self.path.read_bytes()
        installed = SNAPSHOT._replace(term=9)
        self.journal.record_snapshot(installed, BALLOT, ())
        await self.journal.sync()
        self.path.write_bytes(older)
        self.assertEqual(self.open().recover(), Recovered(BALLOT, (), installed))

    async def test_entries_appended_to_a_journal_that_conflicts_with_the_snapshot_are_kept(
        self,
    ) -> None:
        """They were dropped at the next start, together with those that conflict."""
        older = self.path.read_bytes()
        installed = SNAPSHOT._replace(term=9)
        self.journal.record_snapshot(installed, BALLOT, ())
        await self.journal.sync()
        self.path.write_bytes(older)
        journal = self.open()
        self.assertEqual(journal.recover().entries, ())
        appended = Entry(4, 9, Noop(), 1.0)
        journal.record_entries((appended,))
        await journal.sync()
        self.assertEqual(self.open().recover(), Recovered(BALLOT, (appended,), installed))

    async def test_a_conflicting_entry_of_a_later_term_is_dropped(self) -> None:
        """Behind the snapshot it would stand on entries that its leader didn't have."""
        self.journal.record_entries((Entry(4, 7, Noop(), 1.0),))
        await self.journal.sync()
        older = self.path.read_bytes()
        installed = SNAPSHOT._replace(term=5)
        self.journal.record_snapshot(installed, BALLOT, ())
        await self.journal.sync()
        self.path.write_bytes(older)
        journal = self.open()
        self.assertEqual(journal.recover(), Recovered(BALLOT, (), installed))
        appended = Entry(4, 8, Noop(), 1.0)
        journal.record_entries((appended,))
        await journal.sync()
        self.assertEqual(self.open().recover(), Recovered(BALLOT, (appended,), installed))

    async def test_a_missing_or_damaged_snapshot_is_an_error(self) -> None:
        """The journal alone lacks the compacted entries."""
        self.journal.record_snapshot(SNAPSHOT, BALLOT, ())
        await self.journal.sync()
        snapshot = self.path.with_name("snapshot")
        complete = snapshot.read_bytes()
        for damaged in (b"", complete[:-1], complete[:-1] + b"?"):
            snapshot.write_bytes(damaged)
            with self.assertRaisesRegex(FolderDamaged, "snapshot is damaged"):
                self.open().recover()
        snapshot.unlink()
        with self.assertRaises(FolderDamaged):
            self.open().recover()

    async def test_a_gap_after_the_snapshot_is_an_error(self) -> None:
        """A journal needs a snapshot that reaches the entry before its first one."""
        self.journal.record_snapshot(SNAPSHOT, BALLOT, ENTRIES[4:])
        await self.journal.sync()
        with self.assertRaises(FolderDamaged):
            self.open().recover()

    async def test_a_folder_without_its_journal_is_an_error(self) -> None:
        """A voter whose votes are lost could vote twice in a term."""
        folder = DataFolder(path=self.path.parent / "data")
        folder.create(Identity("group", HostName("a"), ReplicaId("x"), ()))
        folder.journal_path.unlink()
        with self.assertRaises(FolderDamaged):
            folder.open()


if __name__ == "__main__":
    unittest.main()
