"""Tests of the gossip task over links in memory."""

import asyncio
import unittest
from typing import Any, cast

from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.membership import Exchange, ExchangeReply, Hello, Membership
from cowslipvane.tasks.peers._gossip import Gossip
from cowslipvane.types import DataCentre, HostName
from cowslipvane.wire import Link
from tests.test_membership import record


class Pipe:
    """A link in memory whose other side is the test."""

    def __init__(self) -> None:
        self.incoming: asyncio.Queue[Any] = asyncio.Queue()
        self.sent: asyncio.Queue[Any] = asyncio.Queue()

    async def send(self, message: Any) -> None:
        """Record a sent message."""
        await self.sent.put(message)

    async def receive(self, *, timeout: float | None = None) -> Any:
        """Return the next message of the test, or raise TimeoutError."""
        async with asyncio.timeout(timeout):
            return await self.incoming.get()


class GossipTest(unittest.IsolatedAsyncioTestCase):
    """Handling of one connection."""

    def setUp(self) -> None:
        """Create a member that knows only itself."""
        # The data centre of the records of tests.test_membership.
        centre = DataCentre("local")
        events = EventLog(origin=Origin(HostName("a"), centre, 1), clock=HybridClock())
        self.membership = Membership(own=record("a"), now=0.0)
        self.gossip = Gossip(membership=self.membership, seeds=(), interval=0.005, events=events)
        self.pipe = Pipe()

    async def test_exchange_reply_has_the_digest_of_both_records(self) -> None:
        """The sender's record is stored, and the reply has the digest of both records."""
        serving = asyncio.create_task(self.gossip.serve(cast(Link, self.pipe)))
        await self.pipe.incoming.put(Hello(sender=HostName("b"), data_centre=DataCentre("local")))
        await self.pipe.incoming.put(Exchange(digest=0, members=(record("b"),)))
        reply = await self.pipe.sent.get()
        self.assertEqual(reply, ExchangeReply(digest=self.membership.digest, members=()))
        self.assertIsNotNone(self.membership.member(HostName("b")))
        await self.pipe.incoming.put("something else")
        await serving

    async def test_silent_connection_ends_its_task(self) -> None:
        """The task ends when no message is received, before and after the handshake."""
        async with asyncio.timeout(10):
            await self.gossip.serve(cast(Link, self.pipe))
            await self.pipe.incoming.put(
                Hello(sender=HostName("b"), data_centre=DataCentre("local"))
            )
            await self.gossip.serve(cast(Link, self.pipe))


if __name__ == "__main__":
    unittest.main()
