"""Tests of the tasks on both sides of a subscription, over real connections."""

import asyncio
import random
import time
import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.catalogue import Delta, Key, Route, Service, Snapshot, Target, TrafficPolicy
from cowslipvane.replica import Report
from cowslipvane.settings import Settings, Timing
from cowslipvane.settings._settings import Listen
from cowslipvane.subscription import (
    AskFloor,
    AskLeader,
    ComeAgain,
    Current,
    Floor,
    Lagging,
    Pull,
    PullDelta,
    PullSnapshot,
    Subscription,
)
from cowslipvane.tasks import _publisher
from cowslipvane.tasks._subscriber import Subscriber
from cowslipvane.types import NO_VERSION, Address, DataCentre, HostName, ServiceName, Version
from cowslipvane.wire import Link, LinkClosed, anonymous_identity, connect
from tools.single_replica import IP, SingleReplica, event_log

Answer = Callable[[object], object]
NOWHERE = Address(IP, 1)
PATIENCE_S = 10.0
POLICY = Key("traffic-policy", "p")


def policy(timeout: float) -> tuple[Key, TrafficPolicy]:
    """Return a policy to put."""
    return POLICY, TrafficPolicy(timeout=timeout)


def pull(version: int, floor: int = 0) -> Pull:
    """Return the pull of a proxy that holds a version."""
    held = Version(version)
    report = Report(HostName("p"), held, 1.0, NOWHERE, "", 1.0)
    return Pull(report=report, base=held, floor=Version(max(floor, version)), hosts=())


class Case(unittest.IsolatedAsyncioTestCase):
    """Starts proxies, replicas, and stand-ins for replicas."""

    async def asyncSetUp(self) -> None:
        """Close what a test starts."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def replica(self, *, leads: bool = True, pull_wait: float = 10.0) -> SingleReplica:
        """Start a replica."""
        return await self.stack.enter_async_context(SingleReplica(leads=leads, pull_wait=pull_wait))

    async def stand_in(self, answer: Answer) -> Address:
        """Start a stand-in that answers each message by a function, None for not at all."""

        async def talk(connection: ServerConnection) -> None:
            link = Link(connection=connection, identity=anonymous_identity())
            try:
                while True:
                    reply = answer(await link.receive())
                    if reply is not None:
                        await link.send(reply)
            except LinkClosed:
                return

        server = await self.stack.enter_async_context(serve(talk, IP, 0, ping_interval=None))
        return Address(IP, next(iter(server.sockets)).getsockname()[1])

    def proxy(
        self, *seeds: Address, pull_wait: float = 0.2, hosts: tuple[str, ...] = ()
    ) -> Subscription:
        """Start a proxy's subscriber and return its subscription."""
        subscription = Subscription()
        settings = Settings(
            host=HostName("p"),
            data_centre=DataCentre("here"),
            roles=("proxy",),
            listen=Listen(operators=NOWHERE, peers=NOWHERE, callers=NOWHERE),
            seeds=seeds,
            route_hosts=hosts,
            timing=Timing(pull_wait=pull_wait),
        )
        subscriber = Subscriber(
            subscription=subscription, settings=settings, events=event_log(), rng=random.Random(3)
        )
        task = asyncio.create_task(subscriber.run())
        self.stack.callback(task.cancel)
        return subscription

    @staticmethod
    def has(subscription: Subscription, version: Version) -> bool:
        """Return whether a proxy has a version in force."""
        return subscription.version == version

    async def until(self, holds: Callable[[], object]) -> None:
        """Return once something holds."""
        give_up = time.monotonic() + PATIENCE_S
        while not holds():
            self.assertLess(time.monotonic(), give_up, "waited in vain")
            await asyncio.sleep(0.01)

    async def ask(self, replica: SingleReplica, message: object) -> object:
        """Return a replica's answer to one message."""
        link = await self.stack.enter_async_context(connect(replica.address, "/subscribe"))
        await link.send(message)
        return await asyncio.wait_for(link.receive(), PATIENCE_S)


class SubscriberTest(Case):
    """The proxy's side."""

    async def test_a_restarted_proxy_is_not_brought_back_by_a_lagging_replica(self) -> None:
        """It learns the floor from the leader before it takes any version."""
        leader, lagging = await self.replica(), await self.replica()
        lagging.put(policy(1.0))
        for timeout in (1.0, 2.0, 3.0):
            leader.put(policy(timeout))
        asked = []

        def follower(message: object) -> object:
            if isinstance(message, AskFloor):
                return AskLeader(leader=leader.address)
            asked.append(message)
            found = lagging.replica.catalogue.update_since(NO_VERSION)
            assert isinstance(found, Snapshot)
            return PullSnapshot(snapshot=found)

        subscription = self.proxy(await self.stand_in(follower))
        await self.until(lambda: len(asked) > 1)
        self.assertEqual((subscription.floor, subscription.version), (3, 0))
        assert isinstance(asked[1], Pull)
        self.assertIn("older than version 3", asked[1].report.rejected)

    async def test_takes_nothing_while_no_leader_is_known(self) -> None:
        """A replica that does not lead can't tell the floor."""
        follower = await self.replica(leads=False)
        subscription = self.proxy(follower.address)
        await asyncio.sleep(0.5)
        self.assertEqual((subscription.floor, subscription.version), (None, 0))

    async def test_spoilt_content_is_rejected_whole_and_asked_for_anew(self) -> None:
        """The rejection is reported, and the next pull asks for everything."""
        real = await self.replica()
        real.put(policy(1.0))
        pulls: list[Pull] = []

        def answer(message: object) -> object:
            if isinstance(message, AskFloor):
                return Floor(version=Version(0))
            assert isinstance(message, Pull)
            pulls.append(message)
            found = real.replica.catalogue.update_since(message.base)
            if isinstance(found, Snapshot):
                return PullSnapshot(snapshot=found)
            assert isinstance(found, Delta)
            if not found.puts:
                real.put(policy(2.0))
                return Current(version=Version(1))
            return PullDelta(delta=found._replace(puts=()))

        subscription = self.proxy(await self.stand_in(answer))
        await self.until(lambda: subscription.version == 2)
        rejected = [item for item in pulls if item.report.rejected]
        self.assertEqual([(item.base, item.report.version) for item in rejected], [(0, 1)])
        self.assertIn("digest", rejected[0].report.rejected)

    async def test_subscribes_to_the_routes_of_its_hosts(self) -> None:
        """Changes elsewhere are in force here by their version alone."""
        replica = await self.replica(pull_wait=0.2)
        subscription = self.proxy(replica.address, hosts=("depot",))
        for host in ("depot", "shop"):
            route = Route(targets=(Target(ServiceName(host)),), host=host)
            version = replica.put((Key("service", host), Service()), (Key("route", host), route))
            await self.until(partial(self.has, subscription, version))
        table, rng = subscription.table, random.Random(1)
        assert table is not None
        found = [
            table.route(host=host, path="/", method="GET", headers=(), rng=rng)
            for host in ("depot", "shop")
        ]
        self.assertEqual([rules and rules.service for rules in found], ["depot", None])

    async def test_leaves_a_replica_that_hears_no_leader(self) -> None:
        """One that was cut off from the others answers pulls, but with nothing new."""
        leader, cut_off = await self.replica(), await self.replica(leads=False, pull_wait=0.1)
        leader.put(policy(1.0))
        subscription = self.proxy(cut_off.address, leader.address)
        await self.until(lambda: subscription.version == 1)
        for version in (2, 3, 4):
            leader.put(policy(float(version)))
            await self.until(partial(self.has, subscription, Version(version)))

    async def test_leaves_a_silent_connection(self) -> None:
        """A question and a pull that aren't answered are asked again over a new connection."""
        replica = await self.replica()
        replica.put(policy(1.0))
        seen: set[type] = set()

        def answer(message: object) -> object:
            if type(message) not in seen:
                seen.add(type(message))
                return None
            if isinstance(message, AskFloor):
                return Floor(version=Version(1))
            found = replica.replica.catalogue.update_since(NO_VERSION)
            assert isinstance(found, Snapshot)
            return PullSnapshot(snapshot=found)

        subscription = self.proxy(await self.stand_in(answer))
        await self.until(lambda: subscription.version == 1)


class PublisherTest(Case):
    """The replica's side."""

    async def test_says_when_it_hears_no_leader(self) -> None:
        """In place of an answer that nothing newer is accepted."""
        replica = await self.replica(leads=False, pull_wait=0.1)
        self.assertEqual(await self.ask(replica, pull(1)), Lagging())

    async def test_answers_a_proxy_that_is_ahead_with_nothing_older(self) -> None:
        """It says how far it is, and sends no snapshot."""
        replica = await self.replica(pull_wait=0.1)
        replica.put(policy(1.0))
        self.assertEqual(await self.ask(replica, pull(5)), Current(version=Version(1)))
        self.assertEqual(await self.ask(replica, pull(0, floor=2)), Current(version=Version(1)))

    async def test_only_the_leader_tells_the_floor(self) -> None:
        """Others say where the leader is."""
        leader, other = await self.replica(), await self.replica(leads=False)
        leader.put(policy(1.0))
        self.assertEqual(await self.ask(leader, AskFloor(wait=0.01)), Floor(version=Version(1)))
        self.assertEqual(await self.ask(other, AskFloor(wait=0.01)), AskLeader(leader=None))

    async def test_a_question_for_the_floor_waits_for_a_leader(self) -> None:
        """A proxy needn't come again when all have restarted together."""
        replica = await self.replica(leads=False)
        asking = asyncio.create_task(self.ask(replica, AskFloor(wait=PATIENCE_S)))
        await self.until(lambda: replica.publisher.pending_floor_requests)
        self.assertFalse(asking.done())
        replica.lead()
        self.assertEqual(await asking, Floor(version=NO_VERSION))

    async def test_a_waiting_pull_is_answered_by_a_delta(self) -> None:
        """A new version wakes it."""
        replica = await self.replica()
        replica.put(policy(1.0))
        waiting = asyncio.create_task(self.ask(replica, pull(1)))
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        replica.put(policy(2.0))
        answer = await waiting
        assert isinstance(answer, PullDelta)
        self.assertEqual((answer.delta.base, answer.delta.version), (1, 2))

    async def test_snapshots_on_their_way_are_capped(self) -> None:
        """Over the cap a proxy is told when to come again."""
        replica = await self.replica()
        replica.put(policy(1.0))
        # Links that never finish to send stand for slow proxies.
        gate = asyncio.Event()
        for _ in range(_publisher.MAX_CONCURRENT_SNAPSHOTS):
            held = replica.publisher._respond(SlowLink(gate), pull(0))
            self.stack.callback(asyncio.create_task(held).cancel)
        await asyncio.sleep(0)
        answer = await self.ask(replica, pull(0))
        self.assertEqual(answer, ComeAgain(after=_publisher.SNAPSHOT_RETRY_DELAY))
        gate.set()
        await asyncio.sleep(0)
        self.assertIsInstance(await self.ask(replica, pull(0)), PullSnapshot)


class SlowLink(Link):
    """A link that sends nothing before a gate opens."""

    def __init__(self, gate: asyncio.Event) -> None:
        self._gate = gate

    def send_encoded(self, kind: str, encoded: bytes) -> Awaitable[None]:  # type: ignore[override]
        """Wait for the gate."""
        return self._wait()

    async def _wait(self) -> None:
        """Wait for the gate."""
        await self._gate.wait()


if __name__ == "__main__":
    unittest.main()
