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
from cowslipvane.tasks import _peers
from cowslipvane.tasks._peers import LinkLost, Mailbox, Peers
from cowslipvane.types import Address, DataCentre, HostName
from tools.single_replica import event_log

HOSTS = ("a", "b", "c")
IP = "127.73.51.10"
PORT = 27_352
PATIENCE_S = 20.0


def owner(host: str, incarnation: int = 1) -> Member:
    """Return an owner."""
    peers = Address(IP, PORT)
    return Member(
        HostName(host), DataCentre("north"), incarnation, 1, peers, peers, None, "up", None
    )


class HeldLink:
    """A link whose closing lasts until all others are closing too."""

    barrier: asyncio.Barrier
    closed = False

    def __init__(self, *, member: Member, **_: Any) -> None:
        self._member = member

    def is_to(self, member: Member) -> bool:
        """Return whether the link is to an owner."""
        return self._member == member

    async def close(self) -> None:
        """Wait for the other links' closing."""
        await self.barrier.wait()


class CloseTest(unittest.IsolatedAsyncioTestCase):
    """How the connections end with their process."""

    async def test_peers_that_do_not_answer_are_left_together(self) -> None:
        """One after another they would take longer than the exit may."""
        HeldLink.barrier = asyncio.Barrier(len(HOSTS))
        with patch.object(_peers, "PeerLink", HeldLink):
            peers = Peers(events=event_log())
            for host in HOSTS:
                peers.link(owner(host))
        async with asyncio.timeout(PATIENCE_S):
            await peers.close()


class ReachTest(unittest.IsolatedAsyncioTestCase):
    """The load pattern of a partition: calls for owners that can't be reached."""

    async def asyncSetUp(self) -> None:
        """Begin with connections to nobody."""
        self.events = event_log()
        self.peers = Peers(events=self.events)
        self.addAsyncCleanup(self.peers.close)
        self.connections: list[ServerConnection] = []
        self.mailbox: Mailbox = asyncio.Queue()

    async def listen(self) -> Any:
        """Let the owner take connections, on which it answers nothing."""
        server = await serve(self.hold, IP, PORT, ping_interval=None)
        self.addCleanup(server.close)
        return server

    async def hold(self, connection: ServerConnection) -> None:
        """Keep a connection until it is closed."""
        self.connections.append(connection)
        await connection.wait_closed()

    async def send(self, member: Member) -> None:
        """Send a message to an owner."""
        cancel = Cancel(attempt=AttemptId(HostName("x"), 1, 1), incarnation=1)
        await self.peers.link(member).send(cancel, self.mailbox)

    async def until(self, holds: Callable[[], object]) -> None:
        """Return once something holds."""
        give_up = time.monotonic() + PATIENCE_S
        while not holds():
            self.assertLess(time.monotonic(), give_up, "waited in vain")
            await asyncio.sleep(0.01)

    async def test_an_owner_that_can_not_be_reached_is_known_as_such(self) -> None:
        """Further calls aren't handed to it, and it is tried again without them."""
        self.assertTrue(self.peers.is_reachable(owner("a")))
        await self.send(owner("a"))
        self.assertEqual(await self.mailbox.get(), LinkLost(outcome_unknown=False))
        self.assertFalse(self.peers.is_reachable(owner("a")))
        await self.listen()
        await self.until(lambda: self.peers.is_reachable(owner("a")))
        states = [form["detail"]["state"] for form in self.events.select()]
        self.assertEqual(states, ["lost", "reached again"])

    async def test_a_silent_owner_is_not_reachable_until_it_is_connected_to_again(self) -> None:
        """Its connection is open, but it answers nothing."""
        server = await self.listen()
        await self.send(owner("a"))
        await self.until(lambda: self.connections)
        server.close(close_connections=False)
        self.connections[0].transport.pause_reading()
        self.assertEqual(await self.mailbox.get(), LinkLost(outcome_unknown=True))
        self.assertFalse(self.peers.is_reachable(owner("a")))

    async def test_a_reset_is_no_sign_that_an_owner_is_gone(self) -> None:
        """The next call waits for the new connection."""
        await self.listen()
        await self.send(owner("a"))
        await self.until(lambda: self.connections)
        self.connections[0].transport.abort()
        self.assertEqual(await self.mailbox.get(), LinkLost(outcome_unknown=True))
        self.assertTrue(self.peers.is_reachable(owner("a")))
        await self.send(owner("a"))
        await self.until(lambda: len(self.connections) == 2)

    async def test_the_next_life_of_an_owner_is_tried_at_once(self) -> None:
        """What was found of the life before says nothing of it."""
        await self.send(owner("a"))
        await self.mailbox.get()
        self.assertTrue(self.peers.is_reachable(owner("a", incarnation=2)))


if __name__ == "__main__":
    unittest.main()
