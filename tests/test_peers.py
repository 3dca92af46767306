"""Tests of the connections to owners on other hosts."""

import asyncio
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.call import AttemptId, Cancel
from cowslipvane.membership import Member
from cowslipvane.tasks.peers import _links
from cowslipvane.tasks.peers._links import Peers
from cowslipvane.tasks.peers._mailbox import LinkLost, Mailbox
from cowslipvane.types import Address, DataCentre, HostName, ServiceName
from tools.single_replica import event_log

HOSTS = ("a", "b", "c")
IP = "127.73.51.10"
PORT = 27_352
TIMEOUT_S = 20.0


def owner(host: str, incarnation: int = 1) -> Member:
    """Return an owner."""
    peers = Address(IP, PORT)
    return Member(
        HostName(host), DataCentre("north"), incarnation, 1, peers, peers, None, "up", None
    )


class SlowClosingLink:
    """A link that finishes closing only once all others are closing too."""

    barrier: asyncio.Barrier
    is_closed = False

    def __init__(self, *, member: Member, **_: Any) -> None:
        self._member = member

    def is_for(self, member: Member) -> bool:
        """Return whether the link is to an owner."""
        return self._member == member

    async def close(self) -> None:
        """Wait until the other links are closing."""
        await self.barrier.wait()


class CloseTest(unittest.IsolatedAsyncioTestCase):
    """Closing the connections when the process exits."""

    async def test_links_are_closed_concurrently(self) -> None:
        """Closing one after another could take longer than the time for the exit."""
        SlowClosingLink.barrier = asyncio.Barrier(len(HOSTS))
        with patch.object(_links, "PeerLink", SlowClosingLink):
            peers = Peers(events=event_log())
            for host in HOSTS:
                peers.link(owner(host))
        async with asyncio.timeout(TIMEOUT_S):
            await peers.close()


class ReachabilityTest(unittest.IsolatedAsyncioTestCase):
    """Reachability of owners during a partition."""

    async def asyncSetUp(self) -> None:
        """Start without connections."""
        self.events = event_log()
        self.peers = Peers(events=self.events)
        self.addAsyncCleanup(self.peers.close)
        self.connections: list[ServerConnection] = []
        self.mailbox = Mailbox(service=ServiceName("stock"))

    async def listen(self) -> Any:
        """Let the owner accept connections, on which it never replies."""
        server = await serve(self.hold, IP, PORT, ping_interval=None)
        self.addCleanup(server.close)
        return server

    async def hold(self, connection: ServerConnection) -> None:
        """Hold a connection open until it is closed."""
        self.connections.append(connection)
        await connection.wait_closed()

    async def send(self, member: Member) -> None:
        """Send a message to an owner."""
        cancel = Cancel(attempt=AttemptId(HostName("x"), 1, 1), incarnation=1)
        await self.peers.link(member).send(cancel, self.mailbox)

    async def until(self, condition: Callable[[], object]) -> None:
        """Return once a condition holds."""
        give_up_at = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), give_up_at, "timed out")
            await asyncio.sleep(0.01)

    async def test_unreachable_owner_is_not_reachable_until_reconnected(self) -> None:
        """Further calls aren't sent to it, and reconnecting doesn't depend on them."""
        self.assertTrue(self.peers.is_reachable(owner("a")))
        await self.send(owner("a"))
        self.assertEqual(await self.mailbox.get(), LinkLost(outcome_unknown=False))
        self.assertFalse(self.peers.is_reachable(owner("a")))
        await self.listen()
        await self.until(lambda: self.peers.is_reachable(owner("a")))
        states = [event["detail"]["state"] for event in self.events.select()]
        self.assertEqual(states, ["lost", "reached again"])

    async def test_silent_owner_is_not_reachable(self) -> None:
        """Its connection is open, but it doesn't respond to probes."""
        server = await self.listen()
        await self.send(owner("a"))
        await self.until(lambda: self.connections)
        server.close(close_connections=False)
        self.connections[0].transport.pause_reading()
        self.assertEqual(await self.mailbox.get(), LinkLost(outcome_unknown=True))
        self.assertFalse(self.peers.is_reachable(owner("a")))

    async def test_owner_that_turns_silent_while_idle_is_not_reachable(self) -> None:
        """Probes begin with the next call, though none were sent while nothing was outstanding."""
        server = await self.listen()
        await self.send(owner("a"))
        await self.until(lambda: self.connections)
        cancel = Cancel(attempt=AttemptId(HostName("x"), 1, 1), incarnation=1)
        await self.peers.link(owner("a")).send(cancel, None)
        await asyncio.sleep(2 * _links.PROBE_INTERVAL)
        server.close(close_connections=False)
        self.connections[0].transport.pause_reading()
        await asyncio.sleep(_links.PROBE_INTERVAL + _links.PROBE_TIMEOUT)
        self.assertTrue(self.peers.is_reachable(owner("a")))
        await self.send(owner("a"))
        self.assertEqual(await self.mailbox.get(), LinkLost(outcome_unknown=True))
        self.assertFalse(self.peers.is_reachable(owner("a")))

    async def test_owner_stays_reachable_after_a_reset(self) -> None:
        """The next call waits for the new connection, instead of failing."""
        await self.listen()
        await self.send(owner("a"))
        await self.until(lambda: self.connections)
        self.connections[0].transport.abort()
        self.assertEqual(await self.mailbox.get(), LinkLost(outcome_unknown=True))
        self.assertTrue(self.peers.is_reachable(owner("a")))
        await self.send(owner("a"))
        await self.until(lambda: len(self.connections) == 2)

    async def test_next_incarnation_of_an_owner_is_tried_at_once(self) -> None:
        """The state of the previous incarnation isn't carried over to it."""
        await self.send(owner("a"))
        await self.mailbox.get()
        self.assertTrue(self.peers.is_reachable(owner("a", incarnation=2)))


if __name__ == "__main__":
    unittest.main()
