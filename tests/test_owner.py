"""Tests of the owner, the links to it, and the entry, against a scripted worker."""

import asyncio
import random
import time
import unittest
from unittest.mock import patch

from websockets.asyncio.server import ServerConnection, serve
from websockets.frames import CloseCode

from cowslipvane.call import (
    Answer,
    AttemptId,
    Call,
    Cancel,
    Fence,
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
from cowslipvane.membership import Member, Membership, Worker
from cowslipvane.refusal import OwnerUnreachable, explain
from cowslipvane.routing import Chooser, ServiceRules
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._dispatcher import Dispatcher, StartedResponse
from cowslipvane.tasks._gossip import Gossip
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._peers import Peers, serve_calls
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

SERVICE = ServiceName("stock")
CENTRE = DataCentre("north")
NOWHERE = Address("127.0.0.1", 1)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PATIENCE_S = 5.0


class ScriptedWorker:
    """Answers /ok at once, /wait when released, and drops the connection of /drop."""

    def __init__(self) -> None:
        self.seen: list[str] = []
        self.cut: list[str] = []
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
        """Stop listening, and end all connections."""
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
                self.seen.append(path)
                self.arrived.set()
                if path.startswith("/drop"):
                    self.close()
                    break
                if path.startswith("/wait"):
                    await self._wait(reader, path)
                writer.write(OK)
        finally:
            writer.close()

    async def _wait(self, reader: asyncio.StreamReader, path: str) -> None:
        """Wait for the release, and note when the connection is closed before."""
        closed = asyncio.create_task(reader.read(1))
        released = asyncio.create_task(self.release.wait())
        await asyncio.wait([closed, released], return_when=asyncio.FIRST_COMPLETED)
        if closed.done():
            self.cut.append(path)
        closed.cancel()
        released.cancel()
        await asyncio.gather(closed, released, return_exceptions=True)


def member(host: str, peers: Address, worker: Worker | None) -> Member:
    """Return a member's record."""
    return Member(HostName(host), CENTRE, 1, 1, peers, NOWHERE, None, "up", worker)


def events() -> EventLog:
    """Return an event log."""
    return EventLog(origin=Origin(HostName("a"), CENTRE, 1), clock=HybridClock())


def make_owner(own: Member, subscription: Subscription | None = None) -> Owner:
    """Return an owner without a worker."""
    membership = Membership(own=own, now=0.0)
    members = Gossip(membership=membership, seeds=(), interval=1.0, events=events())
    return Owner(
        gossip=members,
        subscription=subscription or Subscription(),
        events=events(),
        worker_lease=60.0,
    )


async def stop(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class Inbox:
    """Collects the answers to attempts."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[OwnerMessage] = asyncio.Queue()

    async def reply(self, message: OwnerMessage) -> None:
        """Take a message."""
        self._queue.put_nowait(message)

    async def next(self) -> OwnerMessage:
        """Return the next message."""
        return await asyncio.wait_for(self._queue.get(), PATIENCE_S)

    async def verdict(self) -> Verdict:
        """Return the verdict of the next message, which is a refusal."""
        message = await self.next()
        assert isinstance(message, Refused), message
        return explain(message.refusal).verdict


def offer(serial: int, path: str, *, method: str = "PUT", timeout: float = 5.0) -> Offer:
    """Return an offer; GET counts as idempotent."""
    return Offer(
        attempt=AttemptId(HostName("a"), 1, serial),
        service=SERVICE,
        request=Request(method, path, (), b""),
        timeout=timeout,
        idempotent=method == "GET",
        caller="c",
    )


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    """What the owner does with attempts."""

    async def asyncSetUp(self) -> None:
        """Start an owner whose worker has one slot."""
        self.worker = ScriptedWorker()
        self.address = await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)
        self.subscription = Subscription()
        self.owner = make_owner(member("a", NOWHERE, None), self.subscription)
        await self.owner.register_worker(Worker(SERVICE, self.address, 1, 10))
        self.addAsyncCleanup(stop, asyncio.create_task(self.owner.run()))
        await asyncio.sleep(0)
        self.inbox = Inbox()

    async def begin(self, given: Offer) -> None:
        """Offer an attempt and return once the worker has it."""
        self.worker.arrived.clear()
        await self.owner.offer(given, self.inbox.reply)
        await asyncio.wait_for(self.worker.arrived.wait(), PATIENCE_S)

    def cancel(self, given: Offer) -> Cancel:
        """Return the message that gives an offer up."""
        return Cancel(attempt=given.attempt, incarnation=1)

    def fence(self, given: Offer) -> Fence:
        """Return the message that fences an offer."""
        return Fence(attempt=given.attempt, incarnation=1)

    async def test_a_broken_connection_sends_nothing_twice(self) -> None:
        """A request whose kept-alive connection breaks may have run, and isn't sent again."""
        await self.begin(offer(1, "/ok"))
        self.assertIsInstance(await self.inbox.next(), Answer)
        await self.begin(offer(2, "/drop"))
        self.assertEqual(await self.inbox.verdict(), Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.worker.seen, ["/ok", "/drop"])

    async def test_the_worker_is_told_the_time_left(self) -> None:
        """The deadline goes with the request."""
        await self.begin(offer(1, "/ok", timeout=2.0))
        left = [field for field in self.worker.fields if field.startswith("X-Request-Timeout-Ms")]
        self.assertEqual(len(left), 1)
        self.assertTrue(0 < int(left[0].split()[1]) <= 2000, left)

    async def test_no_connection_means_not_run(self) -> None:
        """A worker that doesn't listen has run nothing."""
        self.worker.close()
        await self.owner.offer(offer(1, "/ok"), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)

    async def test_a_worker_that_can_t_be_reached_is_out_until_it_announces_itself(self) -> None:
        """Its service has no upstream here meanwhile, so callers are sent elsewhere at once."""
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

    async def test_a_cancelled_attempt_in_the_queue_never_starts(self) -> None:
        """Its verdict is not run, and the worker never sees it."""
        await self.begin(offer(1, "/wait"))
        await self.owner.offer(offer(2, "/ok"), self.inbox.reply)
        await self.owner.cancel(self.cancel(offer(2, "/ok")), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        self.worker.release.set()
        self.assertIsInstance(await self.inbox.next(), Answer)
        await self.begin(offer(3, "/ok/3"))
        self.assertEqual(self.worker.seen, ["/wait", "/ok/3"])

    async def test_running_work_is_cut_only_when_idempotent(self) -> None:
        """A cancelled GET frees its slot; a cancelled PUT keeps it until it ends."""
        await self.begin(offer(1, "/wait/1", method="GET"))
        await self.owner.cancel(self.cancel(offer(1, "")), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.MAY_HAVE_RUN)
        await self.begin(offer(2, "/wait/2"))
        self.assertEqual(self.worker.cut, ["/wait/1"])
        await self.owner.cancel(self.cancel(offer(2, "")), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.MAY_HAVE_RUN)
        await self.owner.offer(offer(3, "/ok"), self.inbox.reply)
        self.assertEqual(self.owner.load.running, 1)
        self.worker.release.set()
        self.assertIsInstance(await self.inbox.next(), Answer)
        self.assertEqual(self.worker.cut, ["/wait/1"])

    async def test_a_fence_fetches_the_answer_of_a_lost_link(self) -> None:
        """What runs goes on when its link is lost, and answers over the next one."""
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
        self.assertEqual(self.worker.seen, ["/wait"])

    async def test_a_link_lost_late_does_not_withdraw(self) -> None:
        """The loss of an old link, seen after a fence over the next one, changes nothing."""
        await self.begin(offer(1, "/wait", method="GET"))
        second = Inbox()
        await self.owner.fence(self.fence(offer(1, "")), second.reply)
        self.owner.abandon(offer(1, "").attempt, self.inbox.reply)
        self.worker.release.set()
        self.assertIsInstance(await second.next(), Answer)

    async def test_an_offer_after_its_fence_does_not_run(self) -> None:
        """A fence bars an offer that was overtaken on its way."""
        await self.owner.fence(self.fence(offer(1, "")), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        await self.owner.offer(offer(1, "/ok/1"), self.inbox.reply)
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        await self.begin(offer(2, "/ok/2"))
        self.assertEqual(self.worker.seen, ["/ok/2"])

    async def test_an_owner_that_is_out_starts_nothing(self) -> None:
        """What waits and what comes later is not run, what runs ends."""
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
        self.assertEqual(self.worker.seen, ["/wait"])

    async def test_other_traits_cut_nothing(self) -> None:
        """What runs ends, what waits is not run, and the new slots start after the old ones."""
        await self.begin(offer(1, "/wait"))
        await self.owner.offer(offer(2, "/ok/2"), self.inbox.reply)
        await self.owner.register_worker(Worker(SERVICE, self.address, 2, 10))
        self.assertEqual(await self.inbox.verdict(), Verdict.NOT_RUN)
        await self.owner.offer(offer(3, "/ok/3"), self.inbox.reply)
        await asyncio.sleep(0.05)
        self.assertEqual(self.worker.seen, ["/wait"])
        self.worker.release.set()
        self.assertIsInstance(await self.inbox.next(), Answer)
        self.assertIsInstance(await self.inbox.next(), Answer)
        self.assertEqual(self.worker.cut, [])


class EntryTest(unittest.IsolatedAsyncioTestCase):
    """What the entry does when the link to an owner on another host breaks."""

    async def asyncSetUp(self) -> None:
        """Start an owner behind a link that the test can break."""
        self.worker = ScriptedWorker()
        announced = Worker(SERVICE, await self.worker.start(), 1, 10)
        self.addAsyncCleanup(self.worker.stop)
        self.connections: list[ServerConnection] = []
        self.deaf = False
        self.server = server = await serve(self._serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        peers = Address("127.0.0.1", next(iter(server.sockets)).getsockname()[1])
        record = member("b", peers, announced)
        self.owner = make_owner(record._replace(worker=None))
        await self.owner.register_worker(announced)
        self.guard = asyncio.create_task(self.owner.run())
        self.addAsyncCleanup(stop, self.guard)
        await asyncio.sleep(0)
        entry = member("a", NOWHERE, None)
        membership = Membership(own=entry, now=time.monotonic())
        membership.merge([record], time.monotonic())
        self.peers = Peers(events=events())
        self.addAsyncCleanup(self.peers.close)
        rng = random.Random(1)
        self.carrier = Dispatcher(
            subscription=Subscription(),
            membership=membership,
            owner=make_owner(entry),
            peers=self.peers,
            chooser=Chooser(data_centre=CENTRE, rng=rng),
            events=events(),
        )

    async def _serve(self, connection: ServerConnection) -> None:
        """Serve one link."""
        self.connections.append(connection)
        if self.deaf:
            await connection.recv()
            await connection.close(CloseCode.GOING_AWAY)
            return
        try:
            await serve_calls(
                Link(connection=connection, identity=anonymous_identity()), self.owner
            )
        except LinkClosed:
            return

    def call(self, path: str, timeout: float) -> Call:
        """Return a call that may run once only."""
        retry = RetryPolicy(attempts=1, methods=())
        return Call(
            request_id=RequestId(path),
            request=Request("POST", path, (), b""),
            rules=ServiceRules(SERVICE, retry, TrafficPolicy()),
            deadline=time.monotonic() + timeout,
        )

    async def test_a_broken_link_doubles_and_loses_nothing(self) -> None:
        """The entry asks the owner again and gets the answer of the one run."""
        carrying = asyncio.create_task(self.carrier.dispatch(self.call("/wait", PATIENCE_S)))
        await asyncio.wait_for(self.worker.arrived.wait(), PATIENCE_S)
        self.connections[0].transport.abort()
        await asyncio.sleep(0.05)
        self.worker.release.set()
        self.assertIsInstance(await carrying, StartedResponse)
        self.assertEqual(self.worker.seen, ["/wait"])

    async def test_a_small_call_does_not_wait_behind_the_bytes_of_a_large_one(self) -> None:
        """Both share a link, and the small one is whole at the owner first."""
        arrived: list[str] = []
        offer_to_owner = self.owner.offer

        async def note(offer: Offer, reply: SendReply) -> None:
            arrived.append(offer.request.path)
            await offer_to_owner(offer, reply)

        self.worker.release.set()
        large = self.call("/large", PATIENCE_S)
        with_body = Request("POST", "/large", (), bytes(8 << 20))
        with patch.object(self.owner, "offer", note), patch.object(large, "_request", with_body):
            sending = asyncio.create_task(self.carrier.dispatch(large))
            # The large one has begun once the link is there and the loop has turned some times.
            for _ in range(100_000):
                if self.connections:
                    break
                await asyncio.sleep(0)
            for _ in range(10):
                await asyncio.sleep(0)
            self.assertIsInstance(
                await self.carrier.dispatch(self.call("/ok", PATIENCE_S)), StartedResponse
            )
            await sending
        self.assertEqual(arrived, ["/ok", "/large"])

    async def test_an_owner_that_is_gone_for_good_may_have_run_it(self) -> None:
        """Nobody can tell any more, and a true refusal says so."""
        carrying = asyncio.create_task(self.carrier.dispatch(self.call("/wait", PATIENCE_S)))
        await asyncio.wait_for(self.worker.arrived.wait(), PATIENCE_S)
        self.server.close(close_connections=False)
        with patch("cowslipvane.tasks._dispatcher.RESOLVE_TIMEOUT", 0.2):
            self.connections[0].transport.abort()
            refusal = await carrying
        assert isinstance(refusal, OwnerUnreachable)
        self.assertEqual(explain(refusal).verdict, Verdict.MAY_HAVE_RUN)

    async def test_a_broken_link_takes_waiting_work_back(self) -> None:
        """What had not started is truly not run."""
        first = asyncio.create_task(self.carrier.dispatch(self.call("/wait", PATIENCE_S)))
        await asyncio.wait_for(self.worker.arrived.wait(), PATIENCE_S)
        second = asyncio.create_task(self.carrier.dispatch(self.call("/ok", PATIENCE_S)))
        await asyncio.sleep(0.1)
        self.assertEqual(self.owner.load.queued, 1)
        self.connections[0].transport.abort()
        refusal = await second
        assert not isinstance(refusal, StartedResponse)
        self.assertEqual(explain(refusal).verdict, Verdict.NOT_RUN)
        self.worker.release.set()
        self.assertIsInstance(await first, StartedResponse)
        self.assertEqual(self.worker.seen, ["/wait"])

    async def test_an_owner_that_went_away_as_planned_leaves_no_doubt(self) -> None:
        """What it had not answered by then was never started."""
        self.deaf = True
        refusal = await self.carrier.dispatch(self.call("/ok", PATIENCE_S))
        assert not isinstance(refusal, StartedResponse)
        self.assertEqual(explain(refusal).verdict, Verdict.NOT_RUN)

    async def test_an_owner_answers_what_it_cuts_before_it_goes(self) -> None:
        """What ran when its slots were stopped may have run."""
        carrying = asyncio.create_task(self.carrier.dispatch(self.call("/wait", PATIENCE_S)))
        await asyncio.wait_for(self.worker.arrived.wait(), PATIENCE_S)
        await stop(self.guard)
        await self.connections[0].close(CloseCode.GOING_AWAY)
        refusal = await carrying
        assert not isinstance(refusal, StartedResponse)
        self.assertEqual(explain(refusal).verdict, Verdict.MAY_HAVE_RUN)

    async def test_a_deadline_tells_the_true_verdict(self) -> None:
        """A call that ran may have run; one that waited behind it was not run."""
        first = asyncio.create_task(self.carrier.dispatch(self.call("/wait", 0.3)))
        await asyncio.wait_for(self.worker.arrived.wait(), PATIENCE_S)
        verdicts = []
        for refusal in [await self.carrier.dispatch(self.call("/ok", 0.2)), await first]:
            assert not isinstance(refusal, StartedResponse)
            verdicts.append((explain(refusal).code, explain(refusal).verdict))
        self.assertEqual(
            verdicts,
            [("deadline-passed", Verdict.NOT_RUN), ("deadline-passed", Verdict.MAY_HAVE_RUN)],
        )
        self.worker.release.set()
        await asyncio.sleep(0.05)
        self.assertEqual(self.worker.seen, ["/wait"])


if __name__ == "__main__":
    unittest.main()
