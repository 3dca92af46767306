"""Tests of the connections between processes."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.types import Address
from cowslipvane.wire import Link, anonymous_identity, connect, register
from cowslipvane.wire._link import MAX_MESSAGE_BYTES

IP = "127.0.0.1"
TIMEOUT_S = 10.0


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
            accepted.set_result(connection)
            await connection.wait_closed()

        server = await self.stack.enter_async_context(
            serve(hold, IP, 0, ping_interval=None, compression=None, max_size=MAX_MESSAGE_BYTES)
        )
        address = Address(IP, next(iter(server.sockets)).getsockname()[1])
        self.near = await self.stack.enter_async_context(connect(address, "/"))
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

    async def receive(self, count: int) -> list[Any]:
        """Return the next messages at the far end."""
        return [await self.far.receive(timeout=TIMEOUT_S) for _ in range(count)]


if __name__ == "__main__":
    unittest.main()
