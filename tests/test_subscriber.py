"""Tests of both sides of a subscription over real connections."""

import asyncio
import random
import time
import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from unittest import mock

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.catalogue import Delta, Key, Route, Service, Snapshot, Target, TrafficPolicy
from cowslipvane.events import EventLog
from cowslipvane.membership import Announcements, Member
from cowslipvane.replica import Report
from cowslipvane.settings import DEFAULT_REVOCATION, Revocation, Settings, Timing
from cowslipvane.settings._settings import Listen
from cowslipvane.subscription import (
    AskFloor,
    AskLeader,
    Backoff,
    ComeAgain,
    Current,
    Floor,
    Lagging,
    Pull,
    PullDelta,
    PullSnapshot,
    Subscription,
)
from cowslipvane.tasks.distribution import AnswerReporter, _publisher
from cowslipvane.tasks.distribution._fact_keeper import FactKeeper
from cowslipvane.tasks.distribution._publisher import Publisher
from cowslipvane.tasks.distribution._subscriber import Subscriber
from cowslipvane.types import NO_VERSION, Address, DataCentre, HostName, ServiceName, Version
from cowslipvane.wire import Link, LinkClosed, anonymous_identity, connect
from tools.single_replica import IP, SingleReplica, event_log, lone_membership

Responder = Callable[[object], object]
UNUSED_ADDRESS = Address(IP, 1)
TIMEOUT_S = 10.0
SILENCE_S = 1.0
POLICY = Key("traffic-policy", "p")
# As many proxies as one replica serves in the plan of docs/DEVELOPING.md.
SLOW_PROXIES = 578


def policy(timeout: float) -> tuple[Key, TrafficPolicy]:
    """Return a policy resource with a timeout."""
    return POLICY, TrafficPolicy(timeout=timeout)


def pull(version: int, floor: int = 0) -> Pull:
    """Return the pull of a proxy with a version in force."""
    base = Version(version)
    report = Report(HostName("p"), base, 1.0, UNUSED_ADDRESS, "", 1.0)
    return Pull(report=report, base=base, floor=Version(max(floor, version)), hosts=())


class SubscriptionTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class that starts proxies, replicas and fake replicas."""

    async def asyncSetUp(self) -> None:
        """Create the stack that closes everything that a test starts."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def replica(self, *, leads: bool = True, pull_wait: float = 10.0) -> SingleReplica:
        """Start a replica."""
        return await self.stack.enter_async_context(SingleReplica(leads=leads, pull_wait=pull_wait))

    async def fake_replica(self, responder: Responder) -> Address:
        """Start a fake replica that sends what a function returns, and nothing for None."""

        async def respond(connection: ServerConnection) -> None:
            link = Link(connection=connection, identity=anonymous_identity())
            try:
                while True:
                    reply = responder(await link.receive())
                    if reply is not None:
                        await link.send(reply)
            except LinkClosed:
                return

        server = await self.stack.enter_async_context(serve(respond, IP, 0, ping_interval=None))
        return Address(IP, next(iter(server.sockets)).getsockname()[1])

    def proxy(
        self,
        *seeds: Address,
        pull_wait: float = 0.2,
        silence: float = SILENCE_S,
        hosts: tuple[str, ...] = (),
        members: tuple[Member, ...] = (),
        revocation: Revocation = DEFAULT_REVOCATION,
    ) -> Subscription:
        """Start a proxy's subscriber and return its subscription."""
        subscription = Subscription(revocation=revocation)
        settings = Settings(
            host=HostName("p"),
            data_centre=DataCentre("here"),
            roles=("proxy",),
            listen=Listen(operators=UNUSED_ADDRESS, peers=UNUSED_ADDRESS, callers=UNUSED_ADDRESS),
            seeds=seeds,
            route_hosts=hosts,
            timing=Timing(pull_wait=pull_wait, silence=silence),
            revocation=revocation,
        )
        self.events = event_log()
        self.membership = lone_membership(settings)
        self.membership.merge(members, time.monotonic())
        subscriber = Subscriber(
            subscription=subscription,
            settings=settings,
            membership=self.membership,
            events=self.events,
            rng=random.Random(3),
            fact_keeper=FactKeeper(host=settings.host, announcements=Announcements()),
            answer_reporter=AnswerReporter(get_answers=lambda: None),
        )
        task = asyncio.create_task(subscriber.run())
        self.stack.callback(task.cancel)
        return subscription

    @staticmethod
    def is_in_force(subscription: Subscription, version: Version) -> bool:
        """Return whether a proxy has a version in force."""
        return subscription.version == version

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition did not hold in time")
            await asyncio.sleep(0.01)

    async def request_response(self, replica: SingleReplica, message: object) -> object:
        """Return the response of a replica to one message."""
        link = await self.stack.enter_async_context(connect(replica.address, "/subscribe"))
        await link.send(message)
        return await asyncio.wait_for(link.receive(), TIMEOUT_S)


class SubscriberTest(SubscriptionTestCase):
    """The proxy's side of a subscription."""

    async def test_restarted_proxy_applies_no_older_version_from_a_lagging_replica(self) -> None:
        """The proxy fetches the minimum version from the leader before it applies any version."""
        leader, lagging = await self.replica(), await self.replica()
        lagging.put(policy(1.0))
        for timeout in (1.0, 2.0, 3.0):
            leader.put(policy(timeout))
        received = []

        def respond(message: object) -> object:
            if isinstance(message, AskFloor):
                return AskLeader(leader=leader.address)
            received.append(message)
            update = lagging.replica.catalogue.update_since(NO_VERSION)
            assert isinstance(update, Snapshot)
            return PullSnapshot(snapshot=update)

        subscription = self.proxy(await self.fake_replica(respond))
        await self.until(lambda: len(received) > 1)
        self.assertEqual((subscription.floor, subscription.version), (3, 0))
        assert isinstance(received[1], Pull)
        self.assertIn("older than version 3", received[1].report.rejected)

    async def test_applies_no_version_while_no_leader_is_known(self) -> None:
        """A replica without a leader can't return the minimum version."""
        follower = await self.replica(leads=False)
        subscription = self.proxy(follower.address)
        await asyncio.sleep(0.5)
        self.assertEqual((subscription.floor, subscription.version), (None, 0))

    async def test_corrupt_delta_is_rejected_and_followed_by_a_snapshot(self) -> None:
        """The next pull reports the rejection and requests all resources."""
        replica = await self.replica()
        replica.put(policy(1.0))
        pulls: list[Pull] = []

        def respond(message: object) -> object:
            if isinstance(message, AskFloor):
                return Floor(version=Version(0))
            assert isinstance(message, Pull)
            pulls.append(message)
            update = replica.replica.catalogue.update_since(message.base)
            if isinstance(update, Snapshot):
                return PullSnapshot(snapshot=update)
            assert isinstance(update, Delta)
            if not update.puts:
                replica.put(policy(2.0))
                return Current(version=Version(1))
            return PullDelta(delta=update._replace(puts=()))

        subscription = self.proxy(await self.fake_replica(respond))
        await self.until(lambda: subscription.version == 2)
        rejected = [item for item in pulls if item.report.rejected]
        self.assertEqual([(item.base, item.report.version) for item in rejected], [(0, 1)])
        self.assertIn("digest", rejected[0].report.rejected)

    async def test_receives_only_the_routes_of_its_hosts(self) -> None:
        """A change that concerns only other hosts raises the version and adds no route."""
        replica = await self.replica(pull_wait=0.2)
        subscription = self.proxy(replica.address, hosts=("depot",))
        for host in ("depot", "shop"):
            route = Route(targets=(Target(ServiceName(host)),), host=host)
            version = replica.put((Key("service", host), Service()), (Key("route", host), route))
            await self.until(partial(self.is_in_force, subscription, version))
        table, rng = subscription.table, random.Random(1)
        assert table is not None
        route_rules = [
            table.route(host=host, path="/", method="GET", headers=(), rng=rng)
            for host in ("depot", "shop")
        ]
        self.assertEqual([rules and rules.service for rules in route_rules], ["depot", None])

    async def test_the_event_of_a_version_tells_what_took_its_time(self) -> None:
        """A version that is late at a proxy can be traced to its link or its processor."""
        replica = await self.replica()
        subscription = self.proxy(replica.address)
        sent_after = time.time()
        replica.put(policy(1.0))
        await self.until(lambda: subscription.version == 1)
        [applied] = [event for event in self.events.select() if event["kind"] == "applied"]
        detail = {name: float(value) for name, value in applied["detail"].items()}
        self.assertGreater(detail["sent_at"], sent_after - 0.001)
        self.assertGreater(detail["bytes"], 0)
        self.assertEqual(set(detail), {"sent_at", "bytes", "transfer", "decoding", "applying"})

    async def test_leaves_a_replica_without_contact_to_a_leader(self) -> None:
        """An isolated replica still responds to pulls, but never with a new version."""
        leader, isolated = await self.replica(), await self.replica(leads=False, pull_wait=0.1)
        leader.put(policy(1.0))
        subscription = self.proxy(isolated.address, leader.address)
        await self.until(lambda: subscription.version == 1)
        for version in (2, 3, 4):
            leader.put(policy(float(version)))
            await self.until(partial(self.is_in_force, subscription, Version(version)))

    # Guards against proxies that get a new version late, since they first connect once more to the
    # replica that has just failed (issue 23, CONFIG).
    async def test_tries_the_replica_that_failed_last_after_the_others(self) -> None:
        """Connecting to a host without power takes as long as a timeout."""
        tried: list[Address] = []

        async def fail(address: Address) -> None:
            tried.append(address)
            raise LinkClosed("no power")

        seeds = tuple(Address(IP, port) for port in range(1, 4))
        with (
            mock.patch.object(Subscriber, "_subscribe", side_effect=fail),
            mock.patch.object(Backoff, "next_delay", return_value=0.0),
        ):
            self.proxy(*seeds)
            await self.until(lambda: len(tried) >= 12)
        rounds = [tried[start : start + 3] for start in range(0, 12, 3)]
        self.assertEqual([set(each) for each in rounds], [set(seeds)] * 4)
        for earlier, later in zip(rounds, rounds[1:], strict=False):
            self.assertEqual(later[-1], earlier[-1])

    # Guards against updates and heartbeats from other data centres, whose traffic is expensive.
    async def test_versions_come_from_a_replica_of_the_own_data_centre(self) -> None:
        """The membership tells of it; one elsewhere, which is a seed, only sends their numbers."""
        remote, local = [await self.replica(pull_wait=0.1) for _ in range(2)]
        for replica in (remote, local):
            replica.put(policy(1.0))
        subscription = self.proxy(remote.address, pull_wait=0.1)
        await self.until(partial(self.is_in_force, subscription, Version(1)))
        address = local.address
        here = Member(
            HostName("r"), DataCentre("here"), 1, 1, address, UNUSED_ADDRESS, None, "up", None
        )
        self.membership.merge([here], time.monotonic())
        await self.until(lambda: local.replica.reports)
        # Long enough for some pulls.
        await asyncio.sleep(0.5)
        # The replicas differ, so that it can be told which of them sent a version.
        remote.put(policy(2.0))
        local.put(policy(3.0))
        await self.until(partial(self.is_in_force, subscription, Version(2)))
        assert subscription.table is not None
        spec = subscription._resources[POLICY].spec
        assert isinstance(spec, TrafficPolicy)
        self.assertEqual(spec.timeout, 3.0)

    async def test_leaves_a_silent_connection(self) -> None:
        """A floor request and a pull without a response are repeated over a new connection."""
        replica = await self.replica()
        replica.put(policy(1.0))
        ignored: set[type] = set()

        def respond(message: object) -> object:
            if type(message) not in ignored:
                ignored.add(type(message))
                return None
            if isinstance(message, AskFloor):
                return Floor(version=Version(1))
            update = replica.replica.catalogue.update_since(NO_VERSION)
            assert isinstance(update, Snapshot)
            return PullSnapshot(snapshot=update)

        subscription = self.proxy(await self.fake_replica(respond))
        await self.until(lambda: subscription.version == 1)


class PublisherTest(SubscriptionTestCase):
    """The replica's side of a subscription."""

    async def test_responds_lagging_without_contact_to_a_leader(self) -> None:
        """The replica can't claim that its version is current."""
        replica = await self.replica(leads=False, pull_wait=0.1)
        self.assertEqual(await self.request_response(replica, pull(1)), Lagging())

    async def test_sends_no_older_version_to_a_proxy_that_is_ahead(self) -> None:
        """It responds with its own version and without a snapshot."""
        replica = await self.replica(pull_wait=0.1)
        replica.put(policy(1.0))
        self.assertEqual(await self.request_response(replica, pull(5)), Current(version=Version(1)))
        self.assertEqual(
            await self.request_response(replica, pull(0, floor=2)), Current(version=Version(1))
        )

    async def test_only_the_leader_returns_the_floor(self) -> None:
        """Other replicas return the address of the leader, if known."""
        leader, other = await self.replica(), await self.replica(leads=False)
        leader.put(policy(1.0))
        self.assertEqual(
            await self.request_response(leader, AskFloor(wait=0.01)), Floor(version=Version(1))
        )
        self.assertEqual(
            await self.request_response(other, AskFloor(wait=0.01)), AskLeader(leader=None)
        )

    async def test_floor_request_waits_for_a_leader(self) -> None:
        """A proxy needn't retry when all processes were restarted together."""
        replica = await self.replica(leads=False)
        requesting = asyncio.create_task(self.request_response(replica, AskFloor(wait=TIMEOUT_S)))
        await self.until(lambda: replica.publisher.pending_floor_requests)
        self.assertFalse(requesting.done())
        replica.lead()
        self.assertEqual(await requesting, Floor(version=NO_VERSION))

    async def test_waiting_pull_receives_a_delta(self) -> None:
        """A new version wakes the pull."""
        replica = await self.replica()
        replica.put(policy(1.0))
        waiting = asyncio.create_task(self.request_response(replica, pull(1)))
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        replica.put(policy(2.0))
        response = await waiting
        assert isinstance(response, PullDelta)
        self.assertEqual((response.delta.base, response.delta.version), (1, 2))

    # Guards against proxies that act on an old version for too long, since a new one waits until
    # their next pull has come over a busy link (issue 23, CONFIG).
    async def test_new_versions_are_sent_without_another_pull(self) -> None:
        """A proxy that has received a heartbeat or an update needn't pull again first."""
        replica = await self.replica(pull_wait=0.1)
        replica.put(policy(1.0))
        link = await self.stack.enter_async_context(connect(replica.address, "/subscribe"))
        await link.send(pull(1))
        self.assertEqual(await link.receive(timeout=TIMEOUT_S), Current(version=Version(1)))
        replica.put(policy(2.0))
        # A pull that was on its way doesn't lead to the same version again.
        await link.send(pull(1))
        self.assertEqual(await self.next_delta(link), (1, 2))
        replica.put(policy(3.0))
        self.assertEqual(await self.next_delta(link), (2, 3))

    async def next_delta(self, link: Link) -> tuple[int, int]:
        """Return the base and the version of the next delta, after any heartbeats."""
        while isinstance(response := await link.receive(timeout=TIMEOUT_S), Current):
            pass
        assert isinstance(response, PullDelta)
        return response.delta.base, response.delta.version

    async def test_a_proxy_that_has_to_come_again_is_asked_once_for_each_pull(self) -> None:
        """It is sent nothing more before it does."""
        replica = await self.replica(pull_wait=0.1)
        replica.put(policy(1.0))
        link = await self.stack.enter_async_context(connect(replica.address, "/subscribe"))
        with mock.patch.object(Publisher, "_may_send_snapshot", return_value=False):
            for _ in range(2):
                await link.send(pull(0))
                self.assertIsInstance(await link.receive(timeout=TIMEOUT_S), ComeAgain)
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(link.receive(), 0.3)
        await link.send(pull(0))
        self.assertIsInstance(await link.receive(timeout=TIMEOUT_S), PullSnapshot)

    async def test_accepted_is_recorded_before_a_pull_is_answered(self) -> None:
        """A pull right after the commit would else put 'applied' first in the time line."""
        events = event_log()
        replica = await self.replica()
        with mock.patch.object(replica.replication, "_events", events):
            replica.put(policy(1.0))
            sent = RecordingLink(events)
            await replica.publisher._respond(sent, pull(0))
        self.assertEqual(sent.recorded_before, ["accepted"])

    async def test_accepted_is_recorded_before_a_floor_request_is_answered(self) -> None:
        """A request right after the commit would else put 'floor' first in the timeline."""
        events = event_log()
        replica = await self.replica()
        with mock.patch.object(replica.replication, "_events", events):
            replica.put(policy(1.0))
            sent = RecordingLink(events)
            await sent.send(await replica.publisher._resolve_floor(0.0))
        self.assertEqual(sent.recorded_before, ["accepted"])

    # Guards against proxies without a configuration, since others receive theirs slowly.
    async def test_slow_proxies_hold_up_no_other(self) -> None:
        """As many as share a replica may receive their first snapshot over slow links."""
        replica = await self.replica()
        replica.put(policy(1.0))
        self.hold_snapshots(replica, SLOW_PROXIES)
        await asyncio.sleep(0)
        self.assertIsInstance(await self.request_response(replica, pull(0)), PullSnapshot)

    async def test_concurrent_snapshots_are_limited(self) -> None:
        """Above the limit of their size a proxy is asked to retry after a delay."""
        replica = await self.replica()
        replica.put(policy(1.0))
        size = len(replica.publisher._encode(pull(0)).data)
        with mock.patch.object(_publisher, "MAX_SNAPSHOT_BYTES_IN_FLIGHT", 3 * size + size // 2):
            released = self.hold_snapshots(replica, 2)
            await asyncio.sleep(0)
            self.assertIsInstance(await self.request_response(replica, pull(0)), PullSnapshot)
            self.hold_snapshots(replica, 1)
            await asyncio.sleep(0)
            response = await self.request_response(replica, pull(0))
            self.assertEqual(response, ComeAgain(after=_publisher.SNAPSHOT_RETRY_DELAY))
            released.set()
            await asyncio.sleep(0)
            self.assertIsInstance(await self.request_response(replica, pull(0)), PullSnapshot)

    async def test_snapshot_above_the_limit_is_sent_alone(self) -> None:
        """A proxy would never get a configuration otherwise."""
        replica = await self.replica()
        replica.put(policy(1.0))
        with mock.patch.object(_publisher, "MAX_SNAPSHOT_BYTES_IN_FLIGHT", 1):
            self.assertIsInstance(await self.request_response(replica, pull(0)), PullSnapshot)

    def hold_snapshots(self, replica: SingleReplica, count: int) -> asyncio.Event:
        """Begin to send snapshots that arrive once the returned event is set."""
        released = asyncio.Event()
        for _ in range(count):
            sending = replica.publisher._respond(BlockedLink(released), pull(0))
            self.stack.callback(asyncio.create_task(sending).cancel)
        return released


class RecordingLink(Link):
    """A link that keeps which events were recorded when a message was sent."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self.recorded_before: list[str] = []

    async def send_encoded(self, kind: str, encoded: bytes) -> None:
        """Keep the kinds of the events recorded so far."""
        self.recorded_before = [event["kind"] for event in self._events.select()]


class BlockedLink(Link):
    """A link that sends nothing until an event is set."""

    def __init__(self, released: asyncio.Event) -> None:
        self._released = released

    def send_encoded(self, kind: str, encoded: bytes) -> Awaitable[None]:  # type: ignore[override]
        """Wait for the event."""
        return self._wait()

    async def _wait(self) -> None:
        """Wait for the event."""
        await self._released.wait()


if __name__ == "__main__":
    unittest.main()
