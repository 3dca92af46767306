"""Tests that an answer which its caller doesn't read is not collected in the entry proxy."""

import asyncio
import contextlib
import random
import time
import unittest

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.call import AttemptId, Call, Chunk, Refused, Request
from cowslipvane.catalogue import RetryPolicy, TrafficPolicy
from cowslipvane.membership import Member, Membership, Worker
from cowslipvane.refusal import AnswerLost
from cowslipvane.routing import Chooser, ServiceRules
from cowslipvane.subscription import Subscription
from cowslipvane.tasks.callers._dispatcher import Dispatcher, StartedResponse
from cowslipvane.tasks.peers._links import Peers
from cowslipvane.tasks.peers._mailbox import MAX_UNREAD_BYTES, Mailbox, UnreadResponses
from cowslipvane.tasks.upstreams._owner import Owner
from cowslipvane.tasks.upstreams._serve_calls import serve_calls
from cowslipvane.types import Address, HostName, RequestId
from cowslipvane.wire import Link, LinkClosed, anonymous_identity
from tests.endless_worker import Endless, Heartbeat, Sender
from tests.test_owner import CENTRE, NOWHERE, SERVICE, events, make_owner, member, stop
from tests.uncounted import uncounted

ENDLESS = Endless("success", b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 1000)
FINITE_BYTES = 6 << 20
MAX_PART_BYTES = 1 << 20
UNREAD_TIME_S = 0.5
TIMEOUT_S = 5.0
PART_BYTES = 1000
ATTEMPT = AttemptId(HostName("a"), 1, 1)
# What waits in the mailbox, in the buffers of the sockets and in the parser.
MAX_MEMORY_GROWTH_BYTES = 32 << 20


class UnreadAnswerTest(unittest.IsolatedAsyncioTestCase):
    """The entry proxy has the start of an answer, and takes no other part."""

    async def asyncSetUp(self) -> None:
        """Start the worker."""
        asyncio.get_running_loop().set_debug(False)
        self.sender = Sender(ENDLESS)
        server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.worker = Worker(
            SERVICE, Address("127.0.0.1", server.sockets[0].getsockname()[1]), 2, 10
        )

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the first request without an end, and others with a large body."""
        with contextlib.closing(writer):
            if not self.sender.started.is_set():
                await self.sender.run(reader, writer)
                return
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % FINITE_BYTES)
            writer.write(bytes(FINITE_BYTES))
            await reader.read()

    async def start_owner(self, own: Member) -> Owner:
        """Start an owner of the worker."""
        owner = make_owner(own)
        await owner.register_worker(self.worker)
        self.addAsyncCleanup(stop, asyncio.create_task(owner.run()))
        await asyncio.sleep(0)
        return owner

    async def start_local(self) -> None:
        """Start an entry proxy that owns the worker itself."""
        owner = await self.start_owner(member("a", NOWHERE, None))
        self.start_dispatcher(owner._gossip.membership, owner)

    async def start_remote(self) -> None:
        """Start an entry proxy, and an owner on another host."""

        async def serve_link(connection: ServerConnection) -> None:
            link = Link(connection=connection, identity=anonymous_identity())
            try:
                await serve_calls(link, owner)
            except LinkClosed:
                return

        server = await serve(serve_link, "127.0.0.1", 0)
        self.addCleanup(server.close)
        peers = Address("127.0.0.1", next(iter(server.sockets)).getsockname()[1])
        owner = await self.start_owner(member("b", peers, None))
        entry = member("a", NOWHERE, None)
        membership = Membership(own=entry, now=time.monotonic())
        membership.merge([member("b", peers, self.worker)], time.monotonic())
        self.start_dispatcher(membership, make_owner(entry))

    def start_dispatcher(self, membership: Membership, owner: Owner) -> None:
        """Start the entry proxy's dispatcher."""
        peers = Peers(events=events())
        self.addAsyncCleanup(peers.close)
        self.dispatcher = Dispatcher(
            subscription=Subscription(),
            membership=membership,
            owner=owner,
            peers=peers,
            quotas=uncounted(),
            chooser=Chooser(data_centre=CENTRE, rng=random.Random(1)),
            rng=random.Random(1),
            events=events(),
        )

    def call(self, method: str = "GET") -> Call:
        """Return a call; one with GET is idempotent."""
        return Call(
            request_id=RequestId("1"),
            request=Request(method, "/", (), b""),
            rules=ServiceRules(SERVICE, RetryPolicy(), TrafficPolicy()),
            deadline=time.monotonic() + TIMEOUT_S,
        )

    async def begin(self, call: Call) -> StartedResponse:
        """Return the start of the answer to a call."""
        started = await self.dispatcher.dispatch(call)
        assert isinstance(started, StartedResponse), started
        return started

    async def fetch_finite(self) -> int:
        """Return the size of an answer that ends, and is read slowly at first."""
        call = self.call()
        started = await self.begin(call)
        await asyncio.sleep(0.1)
        size, more = len(started.answer.body), started.answer.more
        while more:
            part = await self.dispatcher.next_part(call, started)
            assert isinstance(part, Chunk), part
            size, more = size + len(part.body), part.more
        return size

    # The mailbox of one such answer grew by over 300 MB in a second.
    async def test_answer_of_the_local_owner_slows_the_worker(self) -> None:
        """Another answer is received whole meanwhile."""
        await self.start_local()
        async with Heartbeat() as heartbeat:
            call = self.call()
            started = await self.begin(call)
            await asyncio.sleep(UNREAD_TIME_S)
            self.assertLess(heartbeat.memory_growth_bytes, MAX_MEMORY_GROWTH_BYTES)
            self.assertEqual(await self.fetch_finite(), FINITE_BYTES)
        self.assertIsInstance(await self.dispatcher.next_part(call, started), Chunk)

    async def test_answer_of_another_host_is_given_up(self) -> None:
        """Its link isn't held back, so that another answer is received whole meanwhile."""
        await self.start_remote()
        async with Heartbeat() as heartbeat:
            call = self.call()
            started = await self.begin(call)
            await asyncio.sleep(UNREAD_TIME_S)
            self.assertEqual(await self.fetch_finite(), FINITE_BYTES)
        self.assertLess(heartbeat.memory_growth_bytes, MAX_MEMORY_GROWTH_BYTES)
        received = 0
        while isinstance(part := await self.dispatcher.next_part(call, started), Chunk):
            received += len(part.body)
        self.assertIsInstance(part, AnswerLost)
        self.assertLess(received, MAX_UNREAD_BYTES + MAX_PART_BYTES)

    async def test_abandoned_answer_frees_its_worker(self) -> None:
        """Also if the request may run only once, and its owner waits for room in the mailbox."""
        await self.start_local()
        started = await self.begin(self.call("POST"))
        await asyncio.sleep(0.1)
        await self.dispatcher.abandon(started)
        await asyncio.wait_for(self.sender.closed.wait(), UNREAD_TIME_S)


class UnreadResponsesTest(unittest.IsolatedAsyncioTestCase):
    """The limit on what waits in all mailboxes of a process."""

    async def asyncSetUp(self) -> None:
        """Share a limit of ten parts among some mailboxes."""
        self.unread = UnreadResponses(max_bytes=10 * PART_BYTES)
        self.given_up: list[str] = []

    def mailbox(self, name: str) -> Mailbox:
        """Return a mailbox whose end is recorded."""
        return Mailbox(
            service=SERVICE, unread=self.unread, on_give_up=lambda: self.given_up.append(name)
        )

    def put(self, mailbox: Mailbox, count: int) -> None:
        """Put parts into a mailbox, after which more will come."""
        for _ in range(count):
            mailbox.put_nowait(Chunk(attempt=ATTEMPT, body=bytes(PART_BYTES), more=True))

    async def test_the_largest_is_given_up_and_the_others_stay_whole(self) -> None:
        """Its caller gets a refusal at once, and what waited of it is dropped."""
        small, large = self.mailbox("small"), self.mailbox("large")
        self.put(small, 3)
        self.put(large, 7)
        self.assertEqual(self.given_up, [])
        self.put(small, 1)
        self.assertEqual(self.given_up, ["large"])
        self.assertIsInstance(await large.get(), Refused)
        for _ in range(4):
            self.assertIsInstance(await small.get(), Chunk)
        self.put(large, 20)
        self.assertEqual(self.given_up, ["large"])

    # Guards against sound responses that are given up for good, since what nobody reads any more
    # was still counted.
    async def test_what_was_taken_or_dropped_counts_no_more(self) -> None:
        """Many responses come and go, some of them closed, others given up."""
        for number in range(30):
            taken, closed, given_up = (self.mailbox("") for _ in range(3))
            self.put(taken, 2)
            self.put(closed, 3)
            self.put(given_up, 4)
            closed.close()
            self.put(closed, 3)
            given_up.give_up()
            for _ in range(2):
                self.assertIsInstance(await taken.get(), Chunk)
            self.assertEqual(len(self.given_up), number + 1)
        self.assertFalse(self.unread.are_many)

    async def test_local_owner_waits_while_much_waits(self) -> None:
        """A response of the host's own worker is held back, and not given up."""
        other, local = self.mailbox("other"), self.mailbox("local")
        self.put(other, 6)
        part = Chunk(attempt=ATTEMPT, body=bytes(PART_BYTES), more=True)
        putting = asyncio.create_task(local.put(part))
        await asyncio.sleep(0.01)
        self.assertFalse(putting.done())
        self.assertIsInstance(await local.get(), Chunk)
        await asyncio.wait_for(putting, TIMEOUT_S)
        self.assertEqual(self.given_up, [])

    async def test_a_waiting_reader_gets_the_refusal(self) -> None:
        """It is woken by a part that is dropped before it runs."""
        mailbox = self.mailbox("read")
        reading = asyncio.create_task(mailbox.get())
        await asyncio.sleep(0)
        self.put(mailbox, 1)
        mailbox.give_up()
        self.assertIsInstance(await asyncio.wait_for(reading, TIMEOUT_S), Refused)


if __name__ == "__main__":
    unittest.main()
