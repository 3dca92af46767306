"""Tests of the connections between processes."""

import asyncio
import time
import unittest
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any
from unittest import mock

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.types import Address
from cowslipvane.wire import Link, _link, anonymous_identity, connect, register
from cowslipvane.wire._link import MAX_MESSAGE_BYTES
from tests.stall import stall

IP = "127.0.0.1"
TIMEOUT_S = 10.0
RESPONSE_TIMEOUT_S = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Bulk:
    """A message of any size."""

    data: bytes


register(Bulk)

SMALL = Bulk(data=b"small")
# More than the kernel keeps for a peer that doesn't read.
LARGE = Bulk(data=bytes(MAX_MESSAGE_BYTES - 1024))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Both ends of one connection."""

    async def asyncSetUp(self) -> None:
        """Connect two links."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        accepted: asyncio.Future[ServerConnection] = asyncio.get_running_loop().create_future()

        async def hold(connection: ServerConnection) -> None:
            if not accepted.done():
                accepted.set_result(connection)
            await connection.wait_closed()

        server = await self.stack.enter_async_context(
            serve(hold, IP, 0, ping_interval=None, compression=None, max_size=MAX_MESSAGE_BYTES)
        )
        self.address = Address(IP, next(iter(server.sockets)).getsockname()[1])
        self.near = await self.stack.enter_async_context(connect(self.address, "/"))
        self.far_connection = await accepted
        self.far = Link(connection=self.far_connection, identity=anonymous_identity())

    # Guards against calls that fail on a link on which a large message was cancelled.
    async def test_link_is_usable_after_a_cancelled_send(self) -> None:
        """As when a caller leaves, or its deadline passes, while a part of its body is sent."""
        self.far_connection.transport.pause_reading()
        sending = asyncio.create_task(self.near.send(LARGE))
        await asyncio.sleep(0.1)
        self.assertFalse(sending.done())
        sending.cancel()
        await asyncio.wait([sending])
        self.far_connection.transport.resume_reading()
        async with asyncio.TaskGroup() as tasks:
            received = tasks.create_task(self.receive(2))
            await self.near.send(SMALL)
        self.assertEqual([len(item.data) for item in received.result()], [len(LARGE.data), 5])

    # Guards against peers that count as lost since this process had no time to read from them.
    async def test_a_stall_of_this_process_is_no_silence_of_the_peer(self) -> None:
        """A message that has arrived is read, however late."""
        receiving = asyncio.create_task(self.near.receive(timeout=RESPONSE_TIMEOUT_S))
        await asyncio.sleep(0)
        await self.far.send(SMALL)
        stall(2 * RESPONSE_TIMEOUT_S)
        self.assertEqual(await receiving, SMALL)

    async def test_a_stall_of_this_process_fails_no_probe(self) -> None:
        """The peer's pong has arrived meanwhile."""
        probing = asyncio.create_task(self.near.probe(RESPONSE_TIMEOUT_S))
        await asyncio.sleep(0)
        stall(2 * RESPONSE_TIMEOUT_S)
        await probing

    async def test_a_stall_of_this_process_fails_no_connection(self) -> None:
        """As when a proxy applies a large configuration while it connects to a peer."""
        with mock.patch.object(_link, "CONNECT_TIMEOUT", RESPONSE_TIMEOUT_S):
            connecting = asyncio.create_task(self.connect())
            await asyncio.sleep(0)
            stall(2 * RESPONSE_TIMEOUT_S)
            await connecting

    async def test_a_silent_peer_is_told_in_time(self) -> None:
        """Without a stall, the timeout isn't extended."""
        started_at = time.monotonic()
        with self.assertRaises(TimeoutError):
            await self.near.receive(timeout=RESPONSE_TIMEOUT_S)
        self.assertGreaterEqual(time.monotonic() - started_at, RESPONSE_TIMEOUT_S)

    async def test_a_silent_peer_is_told_in_spite_of_a_stall(self) -> None:
        """The timeout is extended once only."""
        receiving = asyncio.create_task(self.near.receive(timeout=RESPONSE_TIMEOUT_S))
        await asyncio.sleep(0)
        stall(2 * RESPONSE_TIMEOUT_S)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(receiving, TIMEOUT_S)

    async def connect(self) -> None:
        """Connect another link, and close it."""
        async with connect(self.address, "/"):
            return

    async def receive(self, count: int) -> list[Any]:
        """Return the next messages at the far end."""
        return [await self.far.receive(timeout=TIMEOUT_S) for _ in range(count)]


if __name__ == "__main__":
    unittest.main()
