"""Tests of what hundreds of large changes leave in the memory and on the disk of a replica."""

import random
import tempfile
import tracemalloc
import unittest
from collections.abc import Callable, Iterable
from pathlib import Path

from cowslipvane.catalogue import (
    Accepted,
    Change,
    Key,
    Release,
    Route,
    Service,
    Spec,
    Target,
    release_change,
)
from cowslipvane.replica import Append, Entry, Replica, Voter, Write
from cowslipvane.storage import FileJournal
from cowslipvane.types import Address, HostName, OperationId, ReplicaId, ServiceName, Version

MEBIBYTE = 1 << 20
# What the users' platform gives a host that keeps the configuration.
MEMORY_BYTES = 296 * MEBIBYTE
DISK_BYTES = 256 * MEBIBYTE
# A start holds the records of a journal, the log made of them, and the program.
MAX_GROWTH_BYTES = MEMORY_BYTES // 3
# A compaction writes the new files before it removes the old ones.
MAX_JOURNAL_BYTES = DISK_BYTES // 3
CHANGES = 200
DOCUMENT_CHARACTERS = 750_000
# Routes whose paths are as long as a path may be.
ROUTES = 200
PATH_CHARACTERS = 1000
ROUTE_CHANGES = 300
HOST = HostName("single")


def document_change(replica: Replica, number: int) -> Change:
    """Return a release whose document shares nothing with the one before it."""
    text = "xy"[number % 2] * DOCUMENT_CHARACTERS
    release = Release(number=number, based_on=number - 1, document=f"{number} {text}")
    change = release_change(replica.catalogue, release, {})
    assert isinstance(change, Change)
    return change


def routes_change(replica: Replica, number: int) -> Change:
    """Return a change of every route, without any document."""
    service: tuple[Key, Spec] = (Key("service", "s"), Service())
    targets = (Target(ServiceName("s")),)
    paths = [f"/{route:0{PATH_CHARACTERS}}/" for route in range(ROUTES)]
    routes = [
        (Key("route", path), Route(targets=targets, path_prefix=path, timeout=1.0 + number))
        for path in paths
    ]
    operation_id = OperationId(str(number))
    return Change(operation_id, replica.catalogue.version, (service, *routes))


class LogMemoryTest(unittest.IsolatedAsyncioTestCase):
    """A group of one replica, with a real journal."""

    async def asyncSetUp(self) -> None:
        """Start the replica on an empty folder."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.replica, self.journal = self.start()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def start(self) -> tuple[Replica, FileJournal]:
        """Start a replica on the folder, as the leader of its group."""
        journal = FileJournal(path=self.folder / "journal")
        self.addCleanup(journal.close)
        replica = Replica(
            host=HOST,
            replica_id=ReplicaId("single"),
            founders=(Voter(HOST, Address("127.0.0.1", 1), ReplicaId("single")),),
            journal=journal,
            recovered=journal.recover(),
            election_timeout=1.0,
            rng=random.Random(1),
            now=0.0,
        )
        replica.start_election(2.0)
        replica.record_own_vote(replica.term, 2.0)
        replica.record_synced(replica.last_index)
        return replica, journal

    async def make_changes(
        self, numbers: Iterable[int], make: Callable[[Replica, int], Change]
    ) -> None:
        """Accept changes, and check the limits after each."""
        for number in numbers:
            change = make(self.replica, number)
            index = self.replica.propose(change, stamped_at=float(number))
            assert index is not None
            await self.journal.sync()
            self.replica.record_synced(index)
            self.assertIsInstance(self.replica.catalogue.outcome(change.operation_id), Accepted)
            self.assertLess(tracemalloc.get_traced_memory()[0], MAX_GROWTH_BYTES, number)
            size = sum(path.stat().st_size for path in self.folder.iterdir())
            self.assertLess(size, MAX_JOURNAL_BYTES, number)

    # Guards against replicas that are killed for their memory after hundreds of changes, and again
    # at each start, so that no majority is left.
    async def test_large_documents_fill_neither_memory_nor_disk(self) -> None:
        """A replica that starts again reads the newest one back, within the same memory."""
        await self.make_changes(range(1, CHANGES + 1), document_change)
        newest = self.replica.catalogue.resources
        tracemalloc.reset_peak()
        before = tracemalloc.get_traced_memory()[0]
        restarted, _ = self.start()
        self.assertLess(tracemalloc.get_traced_memory()[1] - before, MAX_GROWTH_BYTES)
        self.assertEqual(restarted.catalogue.resources, newest)

    async def test_changes_of_many_routes_fill_neither_memory_nor_disk(self) -> None:
        """Their size is in the number of resources, since they have no document."""
        await self.make_changes(range(ROUTE_CHANGES), routes_change)

    async def test_a_follower_keeps_no_more_than_its_leader(self) -> None:
        """It compacts its own log."""
        founders = tuple(
            Voter(HostName(name), Address("127.0.0.1", 1), ReplicaId(name)) for name in "abc"
        )
        journal = FileJournal(path=self.folder / "follower")
        self.addCleanup(journal.close)
        follower = Replica(
            host=HostName("b"),
            replica_id=ReplicaId("b"),
            founders=founders,
            journal=journal,
            recovered=journal.recover(),
            election_timeout=1.0,
            rng=random.Random(1),
            now=0.0,
        )
        for number in range(1, CHANGES + 1):
            entry = Entry(number, 1, Write(change=document_change(follower, number)), 1.0)
            append = Append(
                term=1,
                leader=HostName("a"),
                previous_index=number - 1,
                previous_term=min(1, number - 1),
                entries=(entry,),
                commit=number,
            )
            self.assertTrue(follower.handle_append(append, 1.0).matched)
            await journal.sync()
            self.assertEqual(follower.catalogue.version, Version(number))
            self.assertLess(tracemalloc.get_traced_memory()[0], MAX_GROWTH_BYTES, number)


if __name__ == "__main__":
    unittest.main()
