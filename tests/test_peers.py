"""Tests of the connections to owners on other hosts."""

import asyncio
import unittest
from unittest.mock import patch

from cowslipvane.membership import Member
from cowslipvane.tasks import _peers
from cowslipvane.tasks._peers import Peers
from cowslipvane.types import Address, DataCentre, HostName

HOSTS = ("a", "b", "c")
HANGS_S = 20.0


def owner(host: str) -> Member:
    """Return an owner that nobody can reach."""
    peers = Address("127.0.0.1", 1)
    return Member(HostName(host), DataCentre("north"), 1, 1, peers, peers, None, "up", None)


class HeldLink:
    """A link whose closing lasts until all others are closing too."""

    barrier: asyncio.Barrier
    closed = False

    def __init__(self, *, member: Member) -> None:
        self._member = member

    async def close(self) -> None:
        """Wait for the other links' closing."""
        await self.barrier.wait()


class CloseTest(unittest.IsolatedAsyncioTestCase):
    """How the connections end with their process."""

    async def test_peers_that_do_not_answer_are_left_together(self) -> None:
        """One after another they would take longer than the exit may."""
        HeldLink.barrier = asyncio.Barrier(len(HOSTS))
        with patch.object(_peers, "PeerLink", HeldLink):
            peers = Peers()
            for host in HOSTS:
                peers.link(owner(host))
        async with asyncio.timeout(HANGS_S):
            await peers.close()
