"""Tests of calls between proxies whose link carries little."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from unittest import mock

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.call import Answer, AttemptId, Chunk, Offer, Request
from cowslipvane.membership import Member
from cowslipvane.routing import Load
from cowslipvane.tasks.peers import _links
from cowslipvane.tasks.peers._links import Peers
from cowslipvane.tasks.peers._mailbox import LinkLost, Mailbox
from cowslipvane.types import Address, DataCentre, HostName, ServiceName
from cowslipvane.wire import Link, LinkClosed, _link, anonymous_identity, connect
from tools.relay import LinkCondition, Relay
from tools.single_replica import IP, event_log

SLOW = LinkCondition(bytes_per_s=200_000)
# Takes several times as long as a silent owner keeps its connection.
BODY = bytes(500_000)
PART_BYTES = 64 << 10
PROBE_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 0.3
LOSS_TIMEOUT_S = 0.6
TIMEOUT_S = 20.0
USER_TIMEOUT_MS = 20_000
ATTEMPT = AttemptId(HostName("entry"), 1, 1)
STOCK = ServiceName("stock")


class SlowPeerTest(unittest.IsolatedAsyncioTestCase):
    """One call over a slow link, with probes in short intervals."""

    async def asyncSetUp(self) -> None:
        """Shorten the timeouts."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        for name, value in (
            ("PROBE_INTERVAL", PROBE_INTERVAL_S),
            ("PROBE_TIMEOUT", PROBE_TIMEOUT_S),
            ("LOSS_TIMEOUT", LOSS_TIMEOUT_S),
        ):
            self.stack.enter_context(mock.patch.object(_links, name, value))
        # The relay shares the process, which may not run for longer on a busy machine.
        self.stack.enter_context(mock.patch.object(_link, "USER_TIMEOUT_MS", USER_TIMEOUT_MS))

    # Guards against 502 for a call whose body takes long to arrive.
    async def test_link_is_kept_while_a_request_is_sent(self) -> None:
        """A probe waits behind the body, so it can't be answered before."""

        async def receive_body(link: Link) -> None:
            part = await link.receive()
            while part.more:
                part = await link.receive()
            await link.send(answer(b"", more=False))

        self.assertEqual(await self.call(receive_body, body=BODY), b"")

    # Guards against 502 for a call whose answer takes long to arrive.
    async def test_link_is_kept_while_a_response_arrives(self) -> None:
        """The response to a probe waits behind the body."""

        async def send_body(link: Link) -> None:
            await link.receive()
            await link.send(answer(b"", more=True))
            for start in range(0, len(BODY), PART_BYTES):
                part = BODY[start : start + PART_BYTES]
                more = start + PART_BYTES < len(BODY)
                await link.send(Chunk(attempt=ATTEMPT, body=part, more=more))

        self.assertEqual(await self.call(send_body, body=b""), BODY)

    # The request was said to have run perhaps, so that nobody sent it again.
    async def test_an_owner_that_is_lost_before_it_has_the_body_has_not_run_it(self) -> None:
        """An owner starts what is complete only."""

        async def receive_half(link: Link) -> None:
            await link.receive()
            await link.receive()
            link.abort()

        self.assertEqual(await self.lost(receive_half), LinkLost(outcome_unknown=False))

    async def test_an_owner_that_is_lost_with_the_body_may_have_run_it(self) -> None:
        """Its outcome has to be asked for."""

        async def receive_body(link: Link) -> None:
            part = await link.receive()
            while part.more:
                part = await link.receive()
            link.abort()

        self.assertEqual(await self.lost(receive_body), LinkLost(outcome_unknown=True))

    # Guards against a replica that never gets a large snapshot, since its reply comes late.
    async def test_reply_is_not_late_before_its_request_is_delivered(self) -> None:
        """It is awaited for a time that is shorter than the delivery."""

        async def reply(link: Link) -> None:
            await link.receive()
            await link.send(answer(b"", more=False))

        member = await self.owner(reply)
        async with connect(member.peers, "/") as link:
            await link.send(Chunk(attempt=ATTEMPT, body=BODY, more=False))
            response = await link.receive(timeout=PROBE_TIMEOUT_S + LOSS_TIMEOUT_S)
        self.assertIsInstance(response, Answer)

    async def call(self, serve_call: Callable[[Link], Awaitable[None]], *, body: bytes) -> bytes:
        """Send a call to an owner behind a slow link, and return the body of its response."""
        mailbox = await self.offer(serve_call, body=body)
        received = b""
        while True:
            match await asyncio.wait_for(mailbox.get(), TIMEOUT_S):
                case Answer(body=part, more=more) | Chunk(body=part, more=more):
                    received += part
                    if not more:
                        return received
                case LinkLost():
                    self.fail(f"the link was lost after {len(received)} bytes")

    async def lost(self, serve_call: Callable[[Link], Awaitable[None]]) -> LinkLost:
        """Send a call to an owner that is lost; return what is known of the call."""
        mailbox = await self.offer(serve_call, body=BODY)
        message = await asyncio.wait_for(mailbox.get(), TIMEOUT_S)
        assert isinstance(message, LinkLost)
        return message

    async def offer(self, serve_call: Callable[[Link], Awaitable[None]], *, body: bytes) -> Mailbox:
        """Send a call to an owner behind a slow link, and return its mailbox."""
        peers = Peers(events=event_log())
        self.addAsyncCleanup(peers.close)
        mailbox = Mailbox(service=STOCK)
        offer = Offer(
            attempt=ATTEMPT,
            service=STOCK,
            request=Request("POST", "/", (), body),
            timeout=TIMEOUT_S,
            idempotent=False,
            caller="",
        )
        await peers.link(await self.owner(serve_call)).send(offer, mailbox)
        return mailbox

    async def owner(self, serve_call: Callable[[Link], Awaitable[None]]) -> Member:
        """Start an owner, and return it with the address of a slow relay to it."""

        async def respond(connection: ServerConnection) -> None:
            try:
                await serve_call(Link(connection=connection, identity=anonymous_identity()))
                await connection.wait_closed()
            except LinkClosed:
                return

        server = await self.stack.enter_async_context(serve(respond, IP, 0, ping_interval=None))
        target = Address(IP, next(iter(server.sockets)).getsockname()[1])
        relay = Relay()
        self.stack.push_async_callback(relay.close)
        self.stack.enter_context(relay.condition((IP,), SLOW))
        address = await relay.listen(Address(IP, 0), target)
        return Member(HostName("owner"), DataCentre("x"), 1, 1, address, address, None, "up", None)


def answer(body: bytes, *, more: bool) -> Answer:
    """Return the first part of a response."""
    return Answer(attempt=ATTEMPT, status=200, headers=(), body=body, more=more, load=Load(0, 0, 1))


if __name__ == "__main__":
    unittest.main()
