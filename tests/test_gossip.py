"""Tests of the tasks that spread membership, over links in memory."""

import asyncio
import unittest
from typing import Any, cast

from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.membership import Exchange, ExchangeReply, Hello, Membership
from cowslipvane.tasks._gossip import Gossip
from cowslipvane.types import HostName
from cowslipvane.wire import Link
from tests.test_membership import LOCAL, record


class Pipe:
    """A link whose other side is the test."""

    def __init__(self) -> None:
        self.incoming: asyncio.Queue[Any] = asyncio.Queue()
        self.sent: asyncio.Queue[Any] = asyncio.Queue()

    async def send(self, message: Any) -> None:
        """Keep what is sent."""
        await self.sent.put(message)

    async def receive(self, *, timeout: float | None = None) -> Any:
        """Return what the test has put in, or raise TimeoutError."""
        async with asyncio.timeout(timeout):
            return await self.incoming.get()


class MembersTaskTest(unittest.IsolatedAsyncioTestCase):
    """One connection, served."""

    def setUp(self) -> None:
        """Begin with a member that knows only itself."""
        centre = LOCAL
        events = EventLog(origin=Origin(HostName("a"), centre, 1), clock=HybridClock())
        self.membership = Membership(own=record("a"), now=0.0)
        self.members = Gossip(membership=self.membership, seeds=(), interval=0.005, events=events)
        self.pipe = Pipe()

    async def test_an_exchange_is_answered(self) -> None:
        """The opener's record is taken in, and the reply tells the digest of both."""
        serving = asyncio.create_task(self.members.serve(cast(Link, self.pipe)))
        await self.pipe.incoming.put(Hello(sender=HostName("b"), data_centre=LOCAL))
        await self.pipe.incoming.put(Exchange(digest=0, members=(record("b"),)))
        reply = await self.pipe.sent.get()
        self.assertEqual(reply, ExchangeReply(digest=self.membership.digest, members=()))
        self.assertIsNotNone(self.membership.member(HostName("b")))
        await self.pipe.incoming.put("something else")
        await serving

    async def test_a_silent_opener_holds_no_task(self) -> None:
        """The task of a connection ends when nothing comes over it."""
        async with asyncio.timeout(10):
            await self.members.serve(cast(Link, self.pipe))
            await self.pipe.incoming.put(Hello(sender=HostName("b"), data_centre=LOCAL))
            await self.members.serve(cast(Link, self.pipe))


if __name__ == "__main__":
    unittest.main()
