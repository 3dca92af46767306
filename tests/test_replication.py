"""Tests of the replica's tasks: what may leave, and when, with a disk that can be held up."""

import asyncio
import random
import unittest
from typing import Any, cast

from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.replica import (
    Append,
    AppendReply,
    Ballot,
    Recovered,
    Replica,
    Vote,
    Voter,
    VoteReply,
)
from cowslipvane.settings import Timing
from cowslipvane.tasks._replication import Greeting, Replication, Stranger, Welcome
from cowslipvane.types import Address, DataCentre, HostName, ReplicaId
from cowslipvane.wire import Link
from tools.single_replica import NullJournal

FOUNDERS = tuple(
    Voter(HostName(host), Address("127.0.0.1", 1), ReplicaId(f"id-{host}")) for host in "abc"
)


class HeldJournal(NullJournal):
    """A journal whose syncs wait until the disk is let go, or fails."""

    def __init__(self) -> None:
        self.free = asyncio.Event()
        self.failed = asyncio.Event()

    async def sync(self) -> None:
        """Wait until the disk is let go."""
        await self.free.wait()

    async def wait_for_failure(self) -> None:
        """Wait until the disk fails."""
        await self.failed.wait()
        raise OSError("no disk")


class Pipe:
    """The two directions of a connection."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[Any] = asyncio.Queue()
        self.replies: asyncio.Queue[Any] = asyncio.Queue()

    async def receive(self) -> Any:
        """Return the next request."""
        return await self.requests.get()

    async def send(self, message: Any) -> None:
        """Keep a reply."""
        await self.replies.put(message)


class ReplicationTest(unittest.IsolatedAsyncioTestCase):
    """The tasks around the rules."""

    async def asyncSetUp(self) -> None:
        """Serve one connection of a replica whose start is long ago."""
        self.journal = HeldJournal()
        replica = Replica(
            host=HostName("a"),
            replica_id=ReplicaId("id-a"),
            founders=FOUNDERS,
            journal=self.journal,
            recovered=Recovered(Ballot(1, None), ()),
            election_timeout=1.0,
            rng=random.Random(1),
            now=-100.0,
        )
        events = EventLog(origin=Origin(HostName("a"), DataCentre("x"), 1), clock=HybridClock())
        self.replication = Replication(
            replica=replica,
            group_name="g",
            journal=self.journal,
            timing=Timing(heartbeat=0.02),
            events=events,
        )
        self.pipe = Pipe()
        serving = asyncio.create_task(self.replication.serve(cast(Link, self.pipe)))
        self.addCleanup(serving.cancel)

    async def ask(self, request: Any) -> Any:
        """Send a request and return its reply."""
        self.pipe.requests.put_nowait(request)
        return await asyncio.wait_for(self.pipe.replies.get(), 5.0)

    async def assert_held(self, request: Any) -> Any:
        """Check that the reply waits for the disk, and return it."""
        self.pipe.requests.put_nowait(request)
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertTrue(self.pipe.replies.empty())
        self.journal.free.set()
        return await asyncio.wait_for(self.pipe.replies.get(), 5.0)

    async def greet(self) -> None:
        """Open the connection as a member of the group."""
        self.assertEqual(
            await self.ask(Greeting(group="g", wanted=ReplicaId("id-a"))),
            Welcome(replica_id=ReplicaId("id-a")),
        )

    async def test_a_greeting_for_another_group_or_disk_is_refused(self) -> None:
        """Nothing behind it is answered."""
        reply = await self.ask(Greeting(group="g", wanted=ReplicaId("lost")))
        self.assertEqual(reply, Stranger(group="g", replica_id=ReplicaId("id-a")))

    async def test_a_vote_leaves_only_after_it_is_synced(self) -> None:
        """A crash before can't have promised anything."""
        await self.greet()
        vote = Vote(term=2, candidate=HostName("b"), last_index=0, last_term=0)
        reply = await self.assert_held(vote)
        self.assertEqual(reply, VoteReply(term=2, voter=HostName("a"), granted=True))

    async def test_a_heartbeat_that_brings_a_term_is_answered_after_a_sync(self) -> None:
        """Also without entries."""
        await self.greet()
        heartbeat = Append(
            term=5, leader=HostName("b"), previous_index=0, previous_term=0, entries=(), commit=0
        )
        reply = await self.assert_held(heartbeat)
        self.assertIsInstance(reply, AppendReply)

    async def test_a_failed_disk_ends_the_tasks(self) -> None:
        """The process doesn't go on without its journal."""
        self.journal.free.set()
        self.journal.failed.set()
        with self.assertRaises(ExceptionGroup) as raised:
            await asyncio.wait_for(self.replication.run(), 5.0)
        self.assertIsNotNone(raised.exception.subgroup(OSError))


if __name__ == "__main__":
    unittest.main()
