"""A replica's real data folder on a simulated disk, for simulations of a group."""

import asyncio
import random
import tempfile
from contextlib import suppress
from pathlib import Path

from cowslipvane.replica import Ballot, Entry, Recovered, Voter
from cowslipvane.storage import DataFolder, FileJournal, Identity
from cowslipvane.types import HostName, ReplicaId
from tests.simulated_disk import ProcessKilled, SimulatedDisk
from tests.simulated_journal import Compaction, Disk, Record

# Snapshot and journal with a sync of the folder after each, and the last sync of the journal.
MAX_SYNCS_OF_A_WRITE = 5


class FileDisk(Disk):
    """A disk with a data folder and a journal, as a replica has them."""

    def __init__(
        self, *, replica_id: ReplicaId, founders: tuple[Voter, ...], rng: random.Random
    ) -> None:
        super().__init__(replica_id=replica_id, founders=founders)
        self._runner = asyncio.Runner()
        self._parent = tempfile.TemporaryDirectory(prefix="cowslipvane-")
        root = Path(self._parent.name) / "disk"
        root.mkdir()
        self._disk = SimulatedDisk(root=root)
        self._folder = DataFolder(path=root / "replica")
        self._identity = Identity("group", HostName("host"), replica_id, founders)
        self._journal: FileJournal | None = None
        self._is_writing = False
        with self._disk.installed():
            # A process that is killed within the creation leaves the rest to the next one.
            self._disk.kill_after_syncs = rng.randint(0, 2 * MAX_SYNCS_OF_A_WRITE)
            with suppress(ProcessKilled):
                self._folder.create(self._identity)
            self._disk.kill_after_syncs = None
            if self._folder.is_empty:
                self._folder.create(self._identity)

    def lose_power(self, rng: random.Random) -> None:
        """Keep any part of what was written since the last sync."""
        self._disk.lose_power(rng)

    def recover(self) -> Recovered:
        """Start a process on the folder; raise FolderDamaged or FolderEmpty if it can't."""
        with self._disk.installed():
            self._folder.open()
            self._journal = FileJournal(path=self._folder.journal_path)
            return self._journal.recover()

    def write(self, records: list[Record]) -> None:
        """Take the records of the next sync."""
        assert self._journal is not None
        self._is_writing = True
        for record in records:
            match record:
                case Ballot():
                    self._journal.record_ballot(record)
                case Entry():
                    self._journal.record_entries((record,))
                case Compaction():
                    self._journal.record_snapshot(*record)

    def sync(self) -> None:
        """Write and sync what was taken."""
        assert self._journal is not None
        with self._disk.installed():
            self._runner.run(self._journal.sync())
        self._is_writing = False

    def end_process(self, rng: random.Random) -> None:
        """Kill the process; if it was writing, before one of its syncs or after the last."""
        if self._is_writing:
            self._disk.kill_after_syncs = rng.choice((0, rng.randint(0, MAX_SYNCS_OF_A_WRITE)))
            with suppress(ProcessKilled):
                self.sync()
            self._disk.kill_after_syncs = None
            self._is_writing = False
        if self._journal is not None:
            self._journal.close()
            self._journal = None
        self._folder.close()

    def close(self) -> None:
        """Delete the files."""
        self._runner.close()
        self._disk.close()
        self._parent.cleanup()
