"""Tests of the owner, the links to it, and the entry proxy, against a scripted worker."""

import asyncio
import random
import time
import unittest
from typing import Any
from unittest.mock import patch

from websockets.asyncio.server import ServerConnection, serve
from websockets.frames import CloseCode

from cowslipvane.call import (
    DEFAULT_HEADER_NAMES,
    Answer,
    AttemptId,
    BodyAccount,
    Call,
    Cancel,
    Chunk,
    Fence,
    HeaderNames,
    Offer,
    OwnerMessage,
    Refused,
    Request,
    SendReply,
)
from cowslipvane.catalogue import (
    Key,
    Resource,
    RetryPolicy,
    Snapshot,
    TrafficPolicy,
    Upstream,
    resource_digest,
)
from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.membership import Announcements, HostFacts, Member, Membership, Worker
from cowslipvane.refusal import AnswerLost, OwnerUnreachable, explain
from cowslipvane.routing import Chooser, ServiceRules
from cowslipvane.settings import DEFAULT_REVOCATION
from cowslipvane.subscription import FactsKept, Subscription
from cowslipvane.tasks.callers._dispatcher import Dispatcher, StartedResponse
from cowslipvane.tasks.distribution._fact_keeper import FactKeeper
from cowslipvane.tasks.peers._gossip import Gossip
from cowslipvane.tasks.peers._links import Peers
from cowslipvane.tasks.upstreams._owner import Owner
from cowslipvane.tasks.upstreams._serve_calls import ENTRY_RETURN_TIME, serve_calls
from cowslipvane.types import (
    Address,
    DataCentre,
    HostName,
    RequestId,
    ServiceName,
    Verdict,
    Version,
)
from cowslipvane.wire import Link, LinkClosed, anonymous_identity
from tests.stall import stall
from tests.uncounted import uncounted

SERVICE = ServiceName("stock")
CENTRE = DataCentre("north")
NOWHERE = Address("127.0.0.1", 1)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ERROR = OK.replace(b"200 OK", b"500 Internal Server Error")
LEASE_S = 0.8
TIMEOUT_S = 5.0
# Longer than it takes to end a request at the worker.
ABORT_TIME_S = 0.5


class ScriptedWorker:
    """Responds to /ok at once, to /wait when released, to /error with 500; closes on /drop."""

    def __init__(self) -> None:
        self.received: list[str] = []
        self.aborted: list[str] = []
        self.fields: list[str] = []
        self.release = asyncio.Event()
        self.arrived = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address("127.0.0.1", self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def stop(self) -> None:
        """Stop listening, and wait for all connections to end."""
        self.close()
        await asyncio.gather(*self._connections)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            while line := await reader.readline():
                path = line.split()[1].decode()
                length = 0
                while field := (await reader.readline()).strip():
                    self.fields.append(field.decode())
                    if field.lower().startswith(b"content-length:"):
                        length = int(field.partition(b":")[2])
                await reader.readexactly(length)
                self.received.append(path)
                self.arrived.set()
                if path.startswith("/drop"):
                    self.close()
                    break
                if path.startswith("/wait"):
                    await self._wait(reader, path)
                writer.write(ERROR if path.startswith("/error") else OK)
        finally:
            writer.close()

    async def _wait(self, reader: asyncio.StreamReader, path: str) -> None:
        """Wait for the release, and record if the connection is closed earlier."""
        closed = asyncio.create_task(reader.read(1))
        released = asyncio.create_task(self.release.wait())
        await asyncio.wait([closed, released], return_when=asyncio.FIRST_COMPLETED)
        if closed.done():
            self.aborted.append(path)
        closed.cancel()
        released.cancel()
        await asyncio.gather(closed, released, return_exceptions=True)


def member(host: str, peers: Address, worker: Worker | None) -> Member:
    """Return a member's record."""
    return Member(HostName(host), CENTRE, 1, 1, peers, NOWHERE, None, "up", worker)


def events() -> EventLog:
    """Return an event log."""
    return EventLog(origin=Origin(HostName("a"), CENTRE, 1), clock=HybridClock())


def make_owner(
    own: Member,
    subscription: Subscription | None = None,
    *,
    worker_lease: float = 60.0,
    header_names: HeaderNames = DEFAULT_HEADER_NAMES,
    kept: HostFacts | None = None,
    log: EventLog | None = None,
    bodies: BodyAccount | None = None,
) -> Owner:
    """Return an owner without a worker, which knows what the replicas keep."""
    membership = Membership(own=own, now=0.0)
    gossip = Gossip(membership=membership, seeds=(), interval=1.0, events=events())
    announcements = Announcements()
    fact_keeper = FactKeeper(host=own.host, announcements=announcements)
    if kept is not None:
        fact_keeper.handle(FactsKept(facts=kept))
    return Owner(
        gossip=gossip,
        subscription=subscription or Subscription(),
        events=log or events(),
        announcements=announcements,
        fact_keeper=fact_keeper,
        worker_lease=worker_lease,
        header_names=header_names,
        bodies=bodies,
    )


async def stop(task: asyncio.Task[Any]) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def stalled_reply(message: OwnerMessage) -> None:
    """Wait for a peer that receives nothing any more."""
    await asyncio.Event().wait()


class Inbox:
    """Collects the replies to attempts."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[OwnerMessage] = asyncio.Queue()

    async def reply(self, message: OwnerMessage) -> None:
        """Queue a message."""
        self._queue.put_nowait(message)

    async def next(self) -> OwnerMessage:
        """Return the next message."""
        return await asyncio.wait_for(self._queue.get(), TIMEOUT_S)

    async def verdict(self) -> Verdict:
        """Return the verdict of the next message, which is a refusal."""
        message = await self.next()
        assert isinstance(message, Refused), message
        return explain(message.refusal).verdict


def offer(
    serial: int,
    path: str,
    *,
    method: str = "PUT",
    timeout: float = 5.0,
    version: Version | None = None,
) -> Offer:
    """Return an offer; GET counts as idempotent."""
    return Offer(
        attempt=AttemptId(HostName("a"), 1, serial),
        service=SERVICE,
        request=Request(method, path, (), b""),
        timeout=timeout,
        idempotent=method == "GET",
        caller="c",
        version=version,
    )


class OwnerTestCase(unittest.IsolatedAsyncioTestCase):
    """An owner with a scripted worker; a base for tests."""

    revocation = DEFAULT_REVOCATION

    async def asyncSetUp(self) -> None:
        """Start an owner whose worker has one slot."""
        self.worker = ScriptedWorker()
        self.address = await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)
        self.subscription = Subscription(revocation=self.revocation)
        self.owner = make_owner(member("a", NOWHERE, None), self.subscription)
        await self.owner.register_worker(Worker(SERVICE, self.address, 1, 10))
        self.addAsyncCleanup(stop, asyncio.create_task(self.owner.run()))
        await asyncio.sleep(0)
        self.inbox = Inbox()

    async def begin(self, given: Offer) -> None:
        """Offer an attempt and return once the worker has it."""
        self.worker.arrived.clear()
        await self.owner.offer(given, self.inbox.reply)
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)


class OwnerTest(OwnerTestCase):
    """The owner's handling of attempts."""

    def cancel(self, given: Offer) -> Cancel:
        """Return the message that cancels an offer."""
        return Cancel(attempt=given.attempt, incarnation=1)

    def fence(self, given: Offer) -> Fence:
        """Return the message that fences an offer."""
        return Fence(attempt=given.attempt, incarnation=1)

    async def test_request_is_not_resent_after_a_broken_connection(self) -> None:
        """A request whose reused connection breaks may have run, and isn't sent again."""
        await self.begin(offer(1, "/ok"))
        self.assertIsInstance(await self.inbox.next(), Answer)
        await self.begin(offer(2, "/drop"))
        self.assertEqual(await self.inbox.verdict(), Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.worker.received, ["/ok", "/drop"])

    # Guards against a worker that is deregistered since its owner was frozen.
    async def test_lease_of_the_worker_does_not_end_in_a_stall_of_the_owner(self) -> None:
        """Its announcements wait to be read; without any, it ends after the stall."""
        owner = make_owner(member("a", NOWHERE, None), worker_lease=LEASE_S)
        await owner.register_worker(Worker(SERVICE, self.address, 1, 10))
        self.addAsyncCleanup(stop, asyncio.create_task(owner.run()))
        await asyncio.sleep(0)
        stall(2 * LEASE_S)
        await asyncio.sleep(LEASE_S / 4)
        await owner.offer(offer(1, "/ok"), self.inbox.reply)
        self.assertIsInstance(await self.inbox.next(), Answer)
        await asyncio.sleep(2 * LEASE_S)
        await owner.offer(offer(2, "/ok"), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)

    async def test_worker_receives_the_remaining_time(self) -> None:
        """The remaining time is sent with the request."""
        await self.begin(offer(1, "/ok", timeout=2.0))
        timeout_fields = [
            field for field in self.worker.fields if field.startswith("X-Request-Timeout-Ms")
        ]
        self.assertEqual(len(timeout_fields), 1)
        self.assertTrue(0 < int(timeout_fields[0].split()[1]) <= 2000, timeout_fields)

    async def test_refused_connection_means_not_run(self) -> None:
        """A request for a worker that doesn't listen is not run."""
        self.worker.close()
        await self.owner.offer(offer(1, "/ok"), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)

    async def test_unreachable_worker_is_deregistered_until_it_announces_itself(self) -> None:
        """Until then its requests are refused at once, so that other upstreams receive them."""
        self.worker.close()
        codes = []
        for serial in range(1, 6):
            await self.owner.offer(offer(serial, "/ok"), self.inbox.reply)
            message = await self.inbox.next()
            assert isinstance(message, Refused)
            codes.append(explain(message.refusal).code)
        self.assertEqual(codes, ["upstream-lost"] * 3 + ["draining"] * 2)
        await self.owner.register_worker(Worker(SERVICE, self.address, 1, 10))
        await self.owner.offer(offer(6, "/ok"), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)

    async def test_cancelled_attempt_in_the_queue_never_starts(self) -> None:
        """Its verdict is "not run", and the worker never receives it."""
        await self.begin(offer(1, "/wait"))
        await self.owner.offer(offer(2, "/ok"), self.inbox.reply)
        await self.owner.cancel(self.cancel(offer(2, "/ok")), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        self.worker.release.set()
        self.assertIsInstance(await self.inbox.next(), Answer)
        await self.begin(offer(3, "/ok/3"))
        self.assertEqual(self.worker.received, ["/wait", "/ok/3"])

    # Guards against work for callers that are gone, and calls whose outcome stays unknown, at a
    # process whose clock went back since its predecessor started (issue 37).
    async def test_an_owner_knows_the_incarnation_that_others_know_it_by(self) -> None:
        """What was offered to the process before may have run, whatever its incarnation."""
        own = self.owner.membership.own
        self.owner.membership.merge([own._replace(incarnation=7)], 0.0)
        self.assertEqual(self.owner.membership.own.incarnation, 8)
        await self.begin(offer(1, "/wait"))
        await self.owner.offer(offer(2, "/ok"), self.inbox.reply)
        cancelled = offer(2, "/ok").attempt
        await self.owner.cancel(Cancel(attempt=cancelled, incarnation=7), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.MAY_HAVE_RUN)
        await self.owner.cancel(Cancel(attempt=cancelled, incarnation=8), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        await self.owner.cancel(self.cancel(offer(3, "/ok")), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)

    async def test_a_stalled_peer_delays_no_refusal_of_queued_work(self) -> None:
        """A peer that was cut off held up the verdicts of the others when their owner drained."""
        await self.begin(offer(1, "/wait"))
        await self.owner.offer(offer(2, "/ok"), stalled_reply)
        await self.owner.offer(offer(3, "/ok"), self.inbox.reply)
        self.addAsyncCleanup(stop, asyncio.create_task(self.owner.drain()))
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)

    async def test_a_stalled_peer_delays_no_refusal_of_running_work(self) -> None:
        """A peer that was cut off held up the verdicts of the others when their owner exited."""
        await self.owner.register_worker(Worker(SERVICE, self.address, 2, 10))
        self.worker.arrived.clear()
        await self.owner.offer(offer(1, "/wait"), stalled_reply)
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)
        await self.begin(offer(2, "/wait"))
        self.addAsyncCleanup(stop, asyncio.create_task(self.owner._stop_slots()))
        self.assertEqual(await self.inbox.verdict(), Verdict.MAY_HAVE_RUN)

    async def test_running_work_is_aborted_only_if_idempotent(self) -> None:
        """A cancelled GET frees its slot; a cancelled PUT holds its slot until it ends."""
        await self.begin(offer(1, "/wait/1", method="GET"))
        await self.owner.cancel(self.cancel(offer(1, "")), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.MAY_HAVE_RUN)
        await self.begin(offer(2, "/wait/2"))
        self.assertEqual(self.worker.aborted, ["/wait/1"])
        await self.owner.cancel(self.cancel(offer(2, "")), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.MAY_HAVE_RUN)
        await self.owner.offer(offer(3, "/ok"), self.inbox.reply)
        self.assertEqual(self.owner.load.running, 1)
        self.worker.release.set()
        self.assertIsInstance(await self.inbox.next(), Answer)
        self.assertEqual(self.worker.aborted, ["/wait/1"])

    async def test_fence_returns_the_response_after_a_lost_link(self) -> None:
        """A running attempt survives the loss of its link, and is replied to over the next one."""
        await self.begin(offer(1, "/wait"))
        self.owner.abandon(offer(1, "").attempt, self.inbox.reply)
        second = Inbox()
        await self.owner.fence(self.fence(offer(1, "")), second.reply)
        self.worker.release.set()
        first = await second.next()
        self.assertIsInstance(first, Answer)
        third = Inbox()
        await self.owner.fence(self.fence(offer(1, "")), third.reply)
        self.assertEqual(await third.next(), first)
        self.assertEqual(self.worker.received, ["/wait"])

    async def test_late_loss_of_an_old_link_does_not_cancel(self) -> None:
        """The loss of an old link has no effect if it is noticed after a fence over a new link."""
        await self.begin(offer(1, "/wait", method="GET"))
        second = Inbox()
        await self.owner.fence(self.fence(offer(1, "")), second.reply)
        self.owner.abandon(offer(1, "").attempt, self.inbox.reply)
        self.worker.release.set()
        self.assertIsInstance(await second.next(), Answer)

    async def test_offer_after_its_fence_does_not_run(self) -> None:
        """A fence bars an offer that it has overtaken in transit."""
        await self.owner.fence(self.fence(offer(1, "")), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        await self.owner.offer(offer(1, "/ok/1"), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        await self.begin(offer(2, "/ok/2"))
        self.assertEqual(self.worker.received, ["/ok/2"])

    async def test_owner_that_is_out_starts_nothing(self) -> None:
        """Queued and later attempts are not run; running ones finish."""
        await self.begin(offer(1, "/wait"))
        await self.owner.offer(offer(2, "/ok/2"), self.inbox.reply)
        out = Resource(Key("upstream", "a"), Upstream(state="out"), Version(1))
        self.subscription.raise_floor(Version(1))
        self.subscription.apply_snapshot(Snapshot(Version(1), (out,), resource_digest(out)))
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        self.worker.release.set()
        self.assertIsInstance(await self.inbox.next(), Answer)
        await self.owner.offer(offer(3, "/ok/3"), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        self.assertEqual(self.worker.received, ["/wait"])

    async def test_changed_worker_properties_abort_nothing(self) -> None:
        """Running work finishes, queued work is not run, and new slots wait for the old ones."""
        await self.begin(offer(1, "/wait"))
        await self.owner.offer(offer(2, "/ok/2"), self.inbox.reply)
        await self.owner.register_worker(Worker(SERVICE, self.address, 2, 10))
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        await self.owner.offer(offer(3, "/ok/3"), self.inbox.reply)
        await asyncio.sleep(0.05)
        self.assertEqual(self.worker.received, ["/wait"])
        self.worker.release.set()
        self.assertIsInstance(await self.inbox.next(), Answer)
        self.assertIsInstance(await self.inbox.next(), Answer)
        self.assertEqual(self.worker.aborted, [])


class EntryTest(unittest.IsolatedAsyncioTestCase):
    """The entry proxy when the link to an owner on another host breaks."""

    async def asyncSetUp(self) -> None:
        """Start an owner behind a link that the test can break."""
        self.worker = ScriptedWorker()
        announced = Worker(SERVICE, await self.worker.start(), 1, 10)
        self.addAsyncCleanup(self.worker.stop)
        self.connections: list[ServerConnection] = []
        self.closes_after_first_message = False
        self.sends_body_first = False
        self.cancels: asyncio.Queue[object] = asyncio.Queue()
        self.port = 0
        await self.listen()
        record = member("b", Address("127.0.0.1", self.port), announced)
        self.owner = make_owner(record._replace(worker=None))
        await self.owner.register_worker(announced)
        self.owner_task = asyncio.create_task(self.owner.run())
        self.addAsyncCleanup(stop, self.owner_task)
        await asyncio.sleep(0)
        entry = member("a", NOWHERE, None)
        membership = Membership(own=entry, now=time.monotonic())
        membership.merge([record], time.monotonic())
        self.peers = Peers(events=events())
        self.addAsyncCleanup(self.peers.close)
        rng = random.Random(1)
        self.dispatcher = Dispatcher(
            subscription=Subscription(),
            membership=membership,
            owner=make_owner(entry),
            peers=self.peers,
            quotas=uncounted(),
            chooser=Chooser(data_centre=CENTRE, rng=rng),
            rng=random.Random(1),
            events=events(),
        )

    async def listen(self) -> None:
        """Listen for links, again at the same port."""
        self.server = server = await serve(self._serve, "127.0.0.1", self.port)
        self.port = next(iter(server.sockets)).getsockname()[1]
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)

    async def _serve(self, connection: ServerConnection) -> None:
        """Serve one link."""
        self.connections.append(connection)
        if self.closes_after_first_message:
            await connection.recv()
            await connection.close(CloseCode.GOING_AWAY)
            return
        if self.sends_body_first:
            link = Link(connection=connection, identity=anonymous_identity())
            offer = await link.receive()
            assert isinstance(offer, Offer)
            await link.send(Chunk(attempt=offer.attempt, body=b"x", more=False))
            self.cancels.put_nowait(await link.receive())
            return
        try:
            await serve_calls(
                Link(connection=connection, identity=anonymous_identity()), self.owner
            )
        except LinkClosed:
            return

    def call(self, path: str, timeout: float, *, method: str = "POST") -> Call:
        """Return a call with one attempt; only one with GET is idempotent."""
        retry = RetryPolicy(attempts=1, methods=("GET",))
        return Call(
            request_id=RequestId(path),
            request=Request(method, path, (), b""),
            rules=ServiceRules(SERVICE, retry, TrafficPolicy()),
            deadline=time.monotonic() + timeout,
        )

    async def test_broken_link_neither_repeats_nor_loses_a_call(self) -> None:
        """The entry proxy fences the attempt and receives the response of its only run."""
        dispatching = asyncio.create_task(self.dispatcher.dispatch(self.call("/wait", TIMEOUT_S)))
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)
        self.connections[0].transport.abort()
        await asyncio.sleep(0.05)
        self.worker.release.set()
        self.assertIsInstance(await dispatching, StartedResponse)
        self.assertEqual(self.worker.received, ["/wait"])

    # Guards against a request that its worker completes while its caller is told, long before the
    # deadline, that the deadline has passed (issue 23, LOST).
    async def test_broken_link_does_not_abort_an_idempotent_call(self) -> None:
        """The owner gives the entry proxy time to ask for the outcome over its next link."""
        call = self.call("/wait", TIMEOUT_S, method="GET")
        dispatching = asyncio.create_task(self.dispatcher.dispatch(call))
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)
        self.connections[0].transport.abort()
        await asyncio.sleep(0.05)
        self.worker.release.set()
        self.assertIsInstance(await dispatching, StartedResponse)
        self.assertEqual(self.worker.received, ["/wait"])

    async def test_entry_proxy_that_does_not_come_back_has_its_idempotent_call_aborted(
        self,
    ) -> None:
        """Its worker is free again soon, and a late question has a true answer."""
        call = self.call("/wait", TIMEOUT_S, method="GET")
        dispatching = asyncio.create_task(self.dispatcher.dispatch(call))
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)
        with patch(
            "cowslipvane.tasks.callers._dispatcher.FENCE_RETRY_DELAY", 2 * ENTRY_RETURN_TIME
        ):
            self.server.close(close_connections=False)
            self.connections[0].transport.abort()
            async with asyncio.timeout(ENTRY_RETURN_TIME + ABORT_TIME_S):
                while not self.worker.aborted:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            await self.listen()
            refusal = await dispatching
        self.assertIsInstance(refusal, AnswerLost)
        assert isinstance(refusal, AnswerLost)
        self.assertEqual(explain(refusal).verdict, Verdict.MAY_HAVE_RUN)

    async def test_small_call_does_not_wait_for_the_body_of_a_large_one(self) -> None:
        """Both share a link, and the small one is complete at the owner first."""
        arrived: list[str] = []
        offer_to_owner = self.owner.offer

        async def record_arrival(offer: Offer, reply: SendReply) -> None:
            arrived.append(offer.request.path)
            await offer_to_owner(offer, reply)

        self.worker.release.set()
        large = self.call("/large", TIMEOUT_S)
        large_request = Request("POST", "/large", (), bytes(8 << 20))
        with (
            patch.object(self.owner, "offer", record_arrival),
            patch.object(large, "_request", large_request),
        ):
            sending = asyncio.create_task(self.dispatcher.dispatch(large))
            # Wait for the link, then a few turns of the event loop for the large call to start.
            for _ in range(100_000):
                if self.connections:
                    break
                await asyncio.sleep(0)
            for _ in range(10):
                await asyncio.sleep(0)
            self.assertIsInstance(
                await self.dispatcher.dispatch(self.call("/ok", TIMEOUT_S)), StartedResponse
            )
            await sending
        self.assertEqual(arrived, ["/ok", "/large"])

    async def test_permanently_lost_owner_may_have_run_the_call(self) -> None:
        """The outcome stays unknown, and the refusal reports it."""
        dispatching = asyncio.create_task(self.dispatcher.dispatch(self.call("/wait", TIMEOUT_S)))
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)
        self.server.close(close_connections=False)
        with patch("cowslipvane.tasks.callers._dispatcher.RESOLVE_TIMEOUT", 0.2):
            self.connections[0].transport.abort()
            refusal = await dispatching
        assert isinstance(refusal, OwnerUnreachable)
        self.assertEqual(explain(refusal).verdict, Verdict.MAY_HAVE_RUN)

    async def test_broken_link_withdraws_queued_work(self) -> None:
        """A queued call whose link breaks is withdrawn, and its verdict is "not run"."""
        first = asyncio.create_task(self.dispatcher.dispatch(self.call("/wait", TIMEOUT_S)))
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)
        second = asyncio.create_task(self.dispatcher.dispatch(self.call("/ok", TIMEOUT_S)))
        await asyncio.sleep(0.1)
        self.assertEqual(self.owner.load.queued, 1)
        self.connections[0].transport.abort()
        refusal = await second
        assert not isinstance(refusal, StartedResponse)
        self.assertEqual(explain(refusal).verdict, Verdict.NOT_RUN)
        self.worker.release.set()
        self.assertIsInstance(await first, StartedResponse)
        self.assertEqual(self.worker.received, ["/wait"])

    async def test_planned_close_means_not_run_without_a_reply(self) -> None:
        """The owner has replied to each attempt that it started, so the others weren't run."""
        self.closes_after_first_message = True
        refusal = await self.dispatcher.dispatch(self.call("/ok", TIMEOUT_S))
        assert not isinstance(refusal, StartedResponse)
        self.assertEqual(explain(refusal).verdict, Verdict.NOT_RUN)

    async def test_body_before_its_answer_is_a_refusal(self) -> None:
        """It was an error that closed the caller's connection, and the attempt went on."""
        self.sends_body_first = True
        refusal = await self.dispatcher.dispatch(self.call("/wait", TIMEOUT_S))
        self.assertEqual(refusal, AnswerLost(service=SERVICE, verdict=Verdict.MAY_HAVE_RUN))
        cancel = await asyncio.wait_for(self.cancels.get(), TIMEOUT_S)
        self.assertIsInstance(cancel, Cancel)

    async def test_stopping_owner_replies_to_cancelled_work(self) -> None:
        """The verdict on work that is cancelled with the slots is "may have run"."""
        dispatching = asyncio.create_task(self.dispatcher.dispatch(self.call("/wait", TIMEOUT_S)))
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)
        await stop(self.owner_task)
        await self.connections[0].close(CloseCode.GOING_AWAY)
        refusal = await dispatching
        assert not isinstance(refusal, StartedResponse)
        self.assertEqual(explain(refusal).verdict, Verdict.MAY_HAVE_RUN)

    async def test_verdict_after_the_deadline(self) -> None:
        """A call that started may have run; one queued behind it was not run."""
        first = asyncio.create_task(self.dispatcher.dispatch(self.call("/wait", 0.3)))
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)
        verdicts = []
        for refusal in [await self.dispatcher.dispatch(self.call("/ok", 0.2)), await first]:
            assert not isinstance(refusal, StartedResponse)
            verdicts.append((explain(refusal).code, explain(refusal).verdict))
        self.assertEqual(
            verdicts,
            [("deadline-passed", Verdict.NOT_RUN), ("deadline-passed", Verdict.MAY_HAVE_RUN)],
        )
        self.worker.release.set()
        await asyncio.sleep(0.05)
        self.assertEqual(self.worker.received, ["/wait"])


if __name__ == "__main__":
    unittest.main()
