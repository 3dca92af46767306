"""Tests of departures in the replicas' log, and of the ways to and from it."""

import asyncio
import random
import time
import unittest
from contextlib import AsyncExitStack
from unittest import mock

import cbor2

from cowslipvane.catalogue import Catalogue, export_state
from cowslipvane.membership import (
    Announcement,
    Announcements,
    Departure,
    HostFacts,
    Worker,
    WorkerLimit,
)
from cowslipvane.replica import (
    Ballot,
    Entry,
    Group,
    Install,
    LogSnapshot,
    Recovered,
    Replica,
    Voter,
)
from cowslipvane.settings import Settings, Timing
from cowslipvane.settings._settings import Listen
from cowslipvane.subscription import FactsKept, KeepFacts, Subscription
from cowslipvane.tasks.distribution import AnswerReporter, _fact_keeper
from cowslipvane.tasks.distribution._fact_keeper import KEEP_TIMEOUT, RESEND_INTERVAL, FactKeeper
from cowslipvane.tasks.distribution._subscriber import Subscriber
from cowslipvane.tasks.replication._replication import Replication
from cowslipvane.types import Address, DataCentre, HostName, ReplicaId, ServiceName
from cowslipvane.wire import Malformed, connect, decode_as, encode_untagged
from tools.single_replica import IP, NullJournal, SingleReplica, event_log, lone_membership

HOST = HostName("10.0.0.1")
OTHER = HostName("10.0.0.2")
GONE = Departure("i-1", 1_796_537_690_892)
UNUSED_ADDRESS = Address(IP, 1)
TIMEOUT_S = 5.0


class RecordingJournal(NullJournal):
    """Keeps what a replica records, as a disk would."""

    def __init__(self) -> None:
        self.entries: tuple[Entry, ...] = ()
        self.snapshot: LogSnapshot | None = None

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Add entries."""
        self.entries += entries

    def record_snapshot(
        self, snapshot: LogSnapshot, ballot: Ballot, entries: tuple[Entry, ...]
    ) -> None:
        """Replace the entries up to a snapshot."""
        self.snapshot, self.entries = snapshot, entries


def make_replica(journal: RecordingJournal, *, compact_after_entries: int) -> Replica:
    """Return the only replica of a group, with what its journal has."""
    return Replica(
        host=HOST,
        replica_id=ReplicaId("r"),
        founders=(Voter(HOST, UNUSED_ADDRESS, ReplicaId("r")),),
        journal=journal,
        recovered=Recovered(Ballot(0, None), journal.entries, journal.snapshot),
        election_timeout=1.0,
        rng=random.Random(1),
        now=0.0,
        compact_after_entries=compact_after_entries,
    )


def lead(replica: Replica) -> None:
    """Let the only replica win an election, by which it commits what it has."""
    replica.start_election(10.0)
    replica.record_own_vote(replica.term, 10.0)
    replica.record_synced(replica.last_index)


class LogTest(unittest.TestCase):
    """Departures outlive all processes."""

    def test_they_are_recovered_from_entries_and_from_a_snapshot(self) -> None:
        """A replica that is killed reads its log again."""
        for compact_after_entries in (1, 1000):
            with self.subTest(compact_after_entries):
                journal = RecordingJournal()
                replica = make_replica(journal, compact_after_entries=compact_after_entries)
                lead(replica)
                departures = HostFacts(HOST, (GONE,), WorkerLimit("i-2", 5, 1.5))
                index = replica.propose_facts(departures, stamped_at=1.0)
                assert index is not None
                self.assertEqual(replica.facts.of(HOST).departures, ())
                replica.record_synced(index)
                self.assertEqual(replica.facts.of(HOST).departures, (GONE,))
                restarted = make_replica(journal, compact_after_entries=compact_after_entries)
                lead(restarted)
                self.assertEqual(restarted.facts.of(HOST), departures)
                self.assertEqual(restarted.facts.of(OTHER).departures, ())

    def test_a_follower_gets_them_with_a_snapshot(self) -> None:
        """Those that it had before are replaced."""
        journal = RecordingJournal()
        replica = make_replica(journal, compact_after_entries=1000)
        snapshot = LogSnapshot(
            9, 1, Group(()), export_state(Catalogue()), (HostFacts(HOST, (GONE,)),)
        )
        replica.handle_install(Install(term=1, leader=OTHER, snapshot=snapshot), 10.0)
        self.assertEqual(replica.facts.of(HOST).departures, (GONE,))

    # Guards against replicas that don't start after an update, since their snapshot is of an
    # earlier build.
    def test_a_snapshot_of_an_earlier_build_can_be_read(self) -> None:
        """It has no departures; nothing else may be missing."""
        snapshot = LogSnapshot(9, 1, Group(()), export_state(Catalogue()))
        fields = cbor2.loads(encode_untagged(snapshot))
        self.assertEqual(decode_as(LogSnapshot, cbor2.dumps(fields[:-1])), snapshot)
        with self.assertRaises(Malformed):
            decode_as(LogSnapshot, cbor2.dumps(fields[:-2]))


class KeeperTest(unittest.IsolatedAsyncioTestCase):
    """A proxy and its replicas, each in this process."""

    async def asyncSetUp(self) -> None:
        """Start a leader, and build the keeper of a proxy that has a worker."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.leader = await self.stack.enter_async_context(SingleReplica(pull_wait=0.2))
        self.announcements = Announcements(may_have_predecessor=True)
        self.keeper = FactKeeper(host=HOST, announcements=self.announcements)
        worker = Worker(ServiceName("stock"), UNUSED_ADDRESS, 6, 0, GONE.instance)
        self.announcements.record(Announcement(worker, "ready", GONE.started_at, 1))

    def start(self, *seeds: Address) -> None:
        """Start the tasks of the proxy."""
        settings = Settings(
            host=HOST,
            data_centre=DataCentre("here"),
            roles=("proxy",),
            listen=Listen(operators=UNUSED_ADDRESS, peers=UNUSED_ADDRESS, callers=UNUSED_ADDRESS),
            seeds=seeds,
            timing=Timing(pull_wait=0.2, silence=1.0),
        )
        subscriber = Subscriber(
            subscription=Subscription(),
            settings=settings,
            membership=lone_membership(settings),
            events=event_log(),
            rng=random.Random(3),
            fact_keeper=self.keeper,
            answer_reporter=AnswerReporter(get_answers=lambda: None),
        )
        for coroutine in (subscriber.run(), self.keeper.run()):
            self.stack.callback(asyncio.create_task(coroutine).cancel)

    def kept(self) -> tuple[Departure, ...]:
        """Return the departures that the leader keeps."""
        return self.leader.replica.facts.of(HOST).departures

    async def test_a_departure_is_kept_by_the_leader(self) -> None:
        """An end that is kept already costs no further entry of the log."""
        self.start(self.leader.address)
        self.announcements.record_end(GONE)
        self.assertTrue(await self.keeper.wait_until_kept(GONE))
        self.assertEqual(self.kept(), (GONE,))
        last_index = self.leader.replica.last_index
        self.announcements.record_end(GONE)
        self.assertTrue(await self.keeper.wait_until_kept(GONE))
        self.assertEqual(self.leader.replica.last_index, last_index)

    async def test_a_limit_is_kept_when_it_differs_by_much(self) -> None:
        """A worker may name another one in each answer."""
        self.start(self.leader.address)
        for requests_per_s, kept in ((10.0, 10.0), (15.0, 10.0), (5.1, 10.0), (1.0, 10.0)):
            self.keeper.note_limit(WorkerLimit(*GONE, requests_per_s))
            await asyncio.sleep(0.2)
            limit = self.leader.replica.facts.of(HOST).limit
            self.assertEqual(limit, WorkerLimit(*GONE, kept))
        with mock.patch.object(_fact_keeper, "LIMIT_INTERVAL", 0.0):
            self.keeper.note_limit(WorkerLimit(*GONE, 0.0))
            await asyncio.sleep(0.2)
        self.assertEqual(self.leader.replica.facts.of(HOST).limit, WorkerLimit(*GONE, 0.0))

    async def test_nothing_is_kept_while_nobody_answers(self) -> None:
        """It is kept later, without another call."""
        self.announcements.record_end(GONE)
        began_at = time.monotonic()
        self.assertFalse(await self.keeper.wait_until_kept(GONE))
        self.assertLess(time.monotonic() - began_at, KEEP_TIMEOUT + 0.1)
        self.start(self.leader.address)
        self.assertTrue(await self.keeper.wait_until_kept(GONE))

    async def test_a_successor_learns_that_the_current_worker_has_left(self) -> None:
        """It asks as soon as it is connected, though it has nothing to be kept."""
        departures = HostFacts(HOST, (GONE,))
        index = self.leader.replica.propose_facts(departures, stamped_at=1.0)
        assert index is not None
        self.leader.replication.record_synced(index)
        told = asyncio.create_task(self.keeper.learnt.wait(TIMEOUT_S))
        await asyncio.sleep(0)
        self.start(self.leader.address)
        await told
        newest = self.announcements.newest
        assert newest is not None
        self.assertEqual(newest.state, "leaving")

    async def request(self, replica: SingleReplica, *, is_forwarded: bool) -> object:
        """Return the response of a replica to a departure, None if there is none."""
        async with connect(replica.address, "/subscribe") as link:
            departures = HostFacts(HOST, (GONE,))
            await link.send(KeepFacts(facts=departures, is_forwarded=is_forwarded))
            try:
                return await link.receive(timeout=RESEND_INTERVAL)
            except TimeoutError:
                return None

    async def test_a_follower_sends_departures_on_to_the_leader(self) -> None:
        """What was sent on already isn't, so that it can't go round."""
        follower = await self.stack.enter_async_context(SingleReplica(leads=False))
        with mock.patch.object(
            Replication,
            "leader_address",
            property(lambda it: self.leader.address if it is follower.replication else None),
        ):
            self.assertIsNone(await self.request(follower, is_forwarded=True))
            self.assertEqual(self.kept(), ())
            response = await self.request(follower, is_forwarded=False)
        expected = FactsKept(facts=HostFacts(HOST, (GONE,)))
        self.assertEqual(response, expected)
        self.assertEqual(self.kept(), (GONE,))

    async def test_a_replica_without_a_leader_acknowledges_nothing(self) -> None:
        """It may lack what another one has kept."""
        alone = await self.stack.enter_async_context(SingleReplica(leads=False))
        self.assertIsNone(await self.request(alone, is_forwarded=False))

    async def test_the_next_replica_is_asked_when_one_is_silent(self) -> None:
        """The first one may be frozen."""
        silent, answering = mock.AsyncMock(), mock.AsyncMock()
        sent: list[KeepFacts] = []

        async def answer(message: KeepFacts) -> None:
            sent.append(message)
            self.keeper.handle(FactsKept(facts=message.facts))

        answering.send.side_effect = answer
        self.announcements.record_end(GONE)
        with self.keeper.using(silent), self.keeper.using(answering):
            self.stack.callback(asyncio.create_task(self.keeper.run()).cancel)
            self.assertTrue(await self.keeper.wait_until_kept(GONE))
        silent.send.assert_awaited_once()
        self.assertEqual(len(sent), 1)


if __name__ == "__main__":
    unittest.main()
