"""Tests of opening a replica's data folder, and of the events that tell of it."""

import tempfile
import unittest
from contextlib import ExitStack
from pathlib import Path

from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.replica import Ballot, Entry, Noop, Recovered
from cowslipvane.settings import Formation, Listen, Settings
from cowslipvane.storage import (
    DataFolder,
    FolderBusy,
    FolderDamaged,
    FolderEmpty,
    FolderUnreadable,
)
from cowslipvane.tasks.replication._recovery import OpenReplica, open_replica
from cowslipvane.types import Address, DataCentre, HostName

HOST = HostName("127.0.0.1")
SEED = Address(HOST, 1)
ENTRIES = tuple(Entry(index, 2, Noop(), 1.0) for index in range(1, 4))


class RecoveryTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that open the data folder of a founder."""

    def setUp(self) -> None:
        """Name a folder that doesn't exist yet."""
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.folder = Path(parent.name) / "replica"
        self.events = EventLog(origin=Origin(HOST, DataCentre("here"), 1), clock=HybridClock())

    def settings(self, *, automatic: bool = True, first_start: bool = True) -> Settings:
        """Return the settings of the only seed."""
        return Settings(
            host=HOST,
            data_centre=DataCentre("here"),
            roles=("replica",),
            listen=Listen(operators=Address(HOST, 2), peers=SEED),
            seeds=(SEED,),
            data_folder=str(self.folder),
            formation=Formation(automatic=automatic, first_start=first_start),
        )

    def open(self, *, automatic: bool = True, first_start: bool = True) -> OpenReplica:
        """Open the folder as a started process does, and close it again."""
        settings = self.settings(automatic=automatic, first_start=first_start)
        with ExitStack() as stack:
            return open_replica(settings, self.events, stack)

    async def write_entries(self) -> None:
        """Create the folder, and write a ballot and some entries to its journal."""
        with ExitStack() as stack:
            journal = open_replica(self.settings(), self.events, stack).journal
            journal.record_ballot(Ballot(2, HOST))
            journal.record_entries(ENTRIES)
            await journal.sync()

    def last_event(self) -> tuple[str, dict[str, str]]:
        """Return kind and detail of the newest event."""
        event = list(self.events.select())[-1]
        return event["kind"], event["detail"]


class RecoveryEventTest(RecoveryTestCase):
    """Events at the start of a replica."""

    async def test_an_event_tells_what_was_recovered(self) -> None:
        """A new folder, an existing one, and one whose end a crash left incomplete."""
        identity = self.open().identity
        expected = {
            "replica_id": identity.replica_id,
            "folder": "new",
            "term": "0",
            "last_index": "0",
            "snapshot": "0",
            "dropped_bytes": "0",
        }
        self.assertEqual(self.last_event(), ("recovered", expected))
        await self.write_entries()
        expected |= {"folder": "existing", "term": "2", "last_index": "3"}
        self.open()
        self.assertEqual(self.last_event(), ("recovered", expected))
        with (self.folder / "journal").open("ab") as journal:
            journal.write(b"\x00\x00\x00\x09torn")
        self.open()
        self.assertEqual(self.last_event(), ("recovered", expected | {"dropped_bytes": "8"}))

    async def test_an_event_tells_why_a_folder_is_refused(self) -> None:
        """The process ends after it, so the reason has to be on record."""
        with self.assertRaises(FolderEmpty):
            self.open(automatic=False)
        kind, detail = self.last_event()
        self.assertEqual((kind, detail["fault"]), ("folder-refused", "FolderEmpty"))
        await self.write_entries()
        (self.folder / "identity").write_bytes(b"?")
        with self.assertRaises(FolderDamaged) as refused:
            self.open(automatic=False)
        detail = {
            "folder": str(self.folder),
            "fault": "FolderDamaged",
            "reason": str(refused.exception),
        }
        self.assertEqual(self.last_event(), ("folder-refused", detail))

    # Guards against processes that end at each start without a line in their log.
    async def test_an_unreadable_record_is_told_and_kept(self) -> None:
        """Its bytes are as they were written, so another build may still read them."""
        await self.write_entries()
        path = self.folder / "journal"
        entry = Entry(4, 2**64, Noop(), 1.0)
        with ExitStack() as stack:
            journal = open_replica(self.settings(), self.events, stack).journal
            journal.record_entries((entry,))
            await journal.sync()
        written = path.read_bytes()
        with self.assertRaises(FolderUnreadable):
            self.open()
        kind, detail = self.last_event()
        self.assertEqual((kind, detail["fault"]), ("folder-refused", "FolderUnreadable"))
        self.assertEqual(path.read_bytes(), written)


class DamageTest(RecoveryTestCase):
    """Data folders that are damaged."""

    async def damage_journal(self) -> bytes:
        """Damage the ballot of a founder's journal, and return the damaged file."""
        await self.write_entries()
        with ExitStack() as stack:
            journal = open_replica(self.settings(), self.events, stack).journal
            journal.record_ballot(Ballot(3, None))
            await journal.sync()
        path = self.folder / "journal"
        damaged = bytearray(path.read_bytes())
        damaged[10] ^= 0x41
        path.write_bytes(damaged)
        return bytes(damaged)

    async def test_a_damaged_folder_is_set_aside_and_the_replica_joins_anew(self) -> None:
        """It ended at each start, though a group that forms itself replaces a lost disk."""
        founder = self.open().identity
        damaged = await self.damage_journal()
        replica = self.open()
        self.assertNotEqual(replica.identity.replica_id, founder.replica_id)
        self.assertEqual((founder.founders != (), replica.identity.founders), (True, ()))
        self.assertEqual(replica.recovered, Recovered(Ballot(0, None), ()))
        aside = self.folder.with_name("replica.damaged-1")
        self.assertEqual((aside / "journal").read_bytes(), damaged)
        *_, set_aside, recovered = [event["kind"] for event in self.events.select()]
        self.assertEqual((set_aside, recovered), ("folder-set-aside", "recovered"))

    async def test_a_start_after_an_interrupted_replacement_founds_no_group(self) -> None:
        """Killed between setting the folder aside and creating another, it finds no folder."""
        self.open()
        DataFolder(path=self.folder).set_aside()
        self.assertEqual(self.open().identity.founders, ())

    async def test_each_damaged_folder_is_kept(self) -> None:
        """A second one gets a name of its own."""
        for number in (1, 2):
            damaged = await self.damage_journal()
            self.open()
            aside = self.folder.with_name(f"replica.damaged-{number}")
            self.assertEqual((aside / "journal").read_bytes(), damaged)

    async def test_without_automatic_formation_a_damaged_folder_is_refused(self) -> None:
        """Its operator replaces replicas by command."""
        await self.damage_journal()
        with self.assertRaises(FolderDamaged):
            self.open(automatic=False)
        self.assertFalse(self.folder.with_name("replica.damaged-1").exists())

    async def test_a_damaged_folder_in_use_is_not_set_aside(self) -> None:
        """Another process may rely on it."""
        self.open()
        running = DataFolder(path=self.folder)
        running.open()
        self.addCleanup(running.close)
        (self.folder / "journal").unlink()
        with self.assertRaises(FolderBusy):
            self.open()
        self.assertTrue(self.folder.exists())


if __name__ == "__main__":
    unittest.main()
