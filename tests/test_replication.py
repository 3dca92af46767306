"""Tests of what replication tasks do before they send: they sync, and record events."""

import asyncio
import random
import time
import unittest
from contextlib import AsyncExitStack, suppress
from typing import Any, cast

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.catalogue import Change, Key, Service
from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.replica import (
    Append,
    AppendReply,
    Ballot,
    Entry,
    Recovered,
    Replica,
    Vote,
    Voter,
    VoteReply,
    Write,
)
from cowslipvane.settings import Timing
from cowslipvane.tasks.replication._messages import Greeting, Stranger, Welcome
from cowslipvane.tasks.replication._replication import Replication
from cowslipvane.types import NO_VERSION, Address, DataCentre, HostName, OperationId, ReplicaId
from cowslipvane.wire import Link, LinkClosed, anonymous_identity
from tests.test_busy_link import SERVICES, many_routes
from tools.relay import LinkCondition, Relay
from tools.single_replica import IP, NullJournal, event_log

FOUNDERS = tuple(
    Voter(HostName(host), Address("127.0.0.1", 1), ReplicaId(f"id-{host}")) for host in "abc"
)
CHANGE = Change(OperationId("o"), NO_VERSION, ((Key("service", "s"), Service()),))


ELECTION_TIMEOUT_S = 0.6


class BlockingJournal(NullJournal):
    """A journal whose syncs block until the test releases the disk, and whose disk can fail."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.failed = asyncio.Event()

    async def sync(self) -> None:
        """Wait until the disk is released."""
        await self.released.wait()

    async def wait_for_failure(self) -> None:
        """Wait until the disk fails."""
        await self.failed.wait()
        raise OSError("no disk")

    async def wait_until_full(self) -> None:
        """Wait for ever, since there is always room."""
        await asyncio.Event().wait()


class Pipe:
    """The two directions of a connection."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[Any] = asyncio.Queue()
        self.replies: asyncio.Queue[Any] = asyncio.Queue()

    async def receive(self) -> Any:
        """Return the next request."""
        return await self.requests.get()

    async def send(self, message: Any) -> None:
        """Record a reply."""
        await self.replies.put(message)


class ReplicationTest(unittest.IsolatedAsyncioTestCase):
    """Order of syncs and replies."""

    async def asyncSetUp(self) -> None:
        """Serve one connection of a replica that may vote, since its start is long past."""
        self.journal = BlockingJournal()
        self.replica = Replica(
            host=HostName("a"),
            replica_id=ReplicaId("id-a"),
            founders=FOUNDERS,
            journal=self.journal,
            recovered=Recovered(Ballot(1, None), ()),
            election_timeout=1.0,
            rng=random.Random(1),
            # For one election timeout after its start, a replica grants no vote, because a leader
            # may still rely on a reply from before a restart.
            now=-100.0,
        )
        self.events = EventLog(
            origin=Origin(HostName("a"), DataCentre("x"), 1), clock=HybridClock()
        )
        self.replication = Replication(
            replica=self.replica,
            group_name="g",
            journal=self.journal,
            timing=Timing(heartbeat=0.02),
            events=self.events,
        )
        self.pipe = Pipe()
        serving = asyncio.create_task(self.replication.serve(cast(Link, self.pipe)))
        self.addCleanup(serving.cancel)

    async def request_reply(self, request: Any) -> Any:
        """Send a request and return its reply."""
        self.pipe.requests.put_nowait(request)
        return await asyncio.wait_for(self.pipe.replies.get(), 5.0)

    async def assert_blocked_until_sync(self, request: Any) -> Any:
        """Check that the reply waits for the sync, and return it."""
        self.pipe.requests.put_nowait(request)
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertTrue(self.pipe.replies.empty())
        self.journal.released.set()
        return await asyncio.wait_for(self.pipe.replies.get(), 5.0)

    def recorded(self) -> list[str]:
        """Return the kinds of the events recorded so far."""
        return [event["kind"] for event in self.events.select()]

    def vote_reply(self) -> VoteReply:
        """Return a vote for this replica in its term."""
        return VoteReply(term=self.replica.term, voter=HostName("b"), granted=True)

    def append_reply(self, index: int) -> AppendReply:
        """Return the reply of a follower whose log matches up to an index."""
        return AppendReply(term=self.replica.term, voter=HostName("b"), matched=True, index=index)

    async def handshake(self) -> None:
        """Open the connection as a member of the group."""
        self.assertEqual(
            await self.request_reply(Greeting(group="g", wanted=ReplicaId("id-a"))),
            Welcome(replica_id=ReplicaId("id-a")),
        )

    async def test_handshake_for_another_replica_id_is_rejected(self) -> None:
        """The other side expects the replica id of a lost disk."""
        reply = await self.request_reply(Greeting(group="g", wanted=ReplicaId("lost")))
        self.assertEqual(reply, Stranger(group="g", replica_id=ReplicaId("id-a")))

    async def test_vote_is_sent_only_after_a_sync(self) -> None:
        """A replica that lost its vote in a crash could vote for another candidate in that term."""
        await self.handshake()
        vote = Vote(term=2, candidate=HostName("b"), last_index=0, last_term=0)
        reply = await self.assert_blocked_until_sync(vote)
        self.assertEqual(reply, VoteReply(term=2, voter=HostName("a"), granted=True))

    async def test_heartbeat_with_a_new_term_is_acknowledged_after_a_sync(self) -> None:
        """The term must be on disk even if the heartbeat has no entries."""
        await self.handshake()
        heartbeat = Append(
            term=5, leader=HostName("b"), previous_index=0, previous_term=0, entries=(), commit=0
        )
        reply = await self.assert_blocked_until_sync(heartbeat)
        self.assertIsInstance(reply, AppendReply)

    async def test_a_leader_records_accepted_before_it_sends_the_commit(self) -> None:
        """The events of a follower would else precede it, if that host's clock is behind."""
        self.journal.released.set()
        now = lease_now()
        self.replica.start_election(now)
        self.replica.record_own_vote(self.replica.term, now)
        await self.replication._handle_reply(self.vote_reply(), now)
        index = self.replica.propose(CHANGE, stamped_at=1.0)
        assert index is not None
        await self.replication._sync_leader_log(index, self.replica.term)
        self.assertNotIn("accepted", self.recorded())
        await self.replication._handle_reply(self.append_reply(index), now)
        message = self.replica.next_message_for(HostName("c"))
        assert isinstance(message, Append)
        self.assertEqual(message.commit, index)
        self.assertEqual(self.recorded().count("accepted"), 1)

    async def test_a_follower_records_accepted_before_it_waits_for_its_sync(self) -> None:
        """It can serve the version during the sync."""
        await self.handshake()
        append = Append(
            term=2,
            leader=HostName("b"),
            previous_index=0,
            previous_term=0,
            entries=(Entry(1, 2, Write(change=CHANGE), 1.0),),
            commit=1,
        )
        self.pipe.requests.put_nowait(append)
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertEqual(self.replica.catalogue.version, 1)
        self.assertEqual(self.recorded(), ["accepted"])

    async def test_disk_failure_ends_the_tasks(self) -> None:
        """A replica must not continue without its journal."""
        self.journal.released.set()
        self.journal.failed.set()
        with self.assertRaises(ExceptionGroup) as raised:
            await asyncio.wait_for(self.replication.run(), 5.0)
        self.assertIsNotNone(raised.exception.subgroup(OSError))


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """A leader whose link to the other replica of its group is slow."""

    async def asyncSetUp(self) -> None:
        """Lead a group of two, whose other member is behind a relay and follows."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        server = await self.stack.enter_async_context(serve(self.follow, IP, 0, ping_interval=None))
        relay = Relay()
        self.stack.push_async_callback(relay.close)
        self.stack.enter_context(relay.condition((IP,), LinkCondition(bytes_per_s=200_000)))
        follower = Address(IP, next(iter(server.sockets)).getsockname()[1])
        relayed = await relay.listen(Address(IP, 0), follower)
        founders = (FOUNDERS[0], FOUNDERS[1]._replace(address=relayed))
        self.replica = Replica(
            host=founders[0].host,
            replica_id=founders[0].replica_id,
            founders=founders,
            journal=NullJournal(),
            recovered=Recovered(Ballot(0, None), ()),
            election_timeout=ELECTION_TIMEOUT_S,
            rng=random.Random(1),
            now=-100.0,
        )
        self.replication = Replication(
            replica=self.replica,
            group_name="g",
            journal=NullJournal(),
            timing=Timing(heartbeat=0.02, election_timeout=ELECTION_TIMEOUT_S),
            events=event_log(),
        )
        task = asyncio.create_task(self.replication._keep_connection_to(founders[1].host))
        self.stack.callback(task.cancel)

    async def follow(self, connection: ServerConnection) -> None:
        """Grant each vote, and confirm all entries."""
        link = Link(connection=connection, identity=anonymous_identity())
        voter = FOUNDERS[1].host
        with suppress(LinkClosed):
            while True:
                match await link.receive():
                    case Greeting():
                        await link.send(Welcome(replica_id=FOUNDERS[1].replica_id))
                    case Vote(term=term):
                        await link.send(VoteReply(term=term, voter=voter, granted=True))
                    case Append(term=term, previous_index=index, entries=entries):
                        index += len(entries)
                        reply = AppendReply(term=term, voter=voter, matched=True, index=index)
                        await link.send(reply)

    async def lead(self) -> None:
        """Win an election."""
        now = lease_now()
        self.replica.start_election(now)
        self.replica.record_own_vote(self.replica.term, now)
        while not self.replication.holds_lease:
            await self.replication.changed.wait(0.05)

    # Guards against leaders that lose their quorum to a large configuration, since no heartbeat is
    # sent while its entry is on its way.
    async def test_a_large_entry_leaves_time_for_heartbeats(self) -> None:
        """It is accepted within an election timeout."""
        await asyncio.wait_for(self.lead(), 5.0)
        routes = many_routes(random.Random(1))
        services = [(Key("service", name), Service()) for name in SERVICES]
        change = Change(OperationId("o"), NO_VERSION, (*services, *routes))
        began_at = time.monotonic()
        await asyncio.wait_for(self.replication.write(change), 5.0)
        self.assertLess(time.monotonic() - began_at, ELECTION_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
