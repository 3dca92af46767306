"""Tests that a broken response costs no whole one that was written before it."""

import asyncio
import socket
import time
import unittest
from contextlib import suppress
from unittest.mock import patch

from tests.callers_case import LISTENER
from tests.connections_case import TIMEOUT_S, ConnectionsTestCase, answer, lost

WHOLE_BYTES = 2 << 20
READ_BYTES, READ_INTERVAL_S = 1 << 16, 0.005


class DeliveryTest(ConnectionsTestCase):
    """A caller that reads steadily, and not at once."""

    def read_slowly(self, *paths: str) -> bytes:
        """Send requests, and return all that arrives until their connection ends.

        A stream of asyncio would drop what it has when the connection is reset.
        """
        received = bytearray()
        with socket.create_connection((LISTENER.ip, LISTENER.port), timeout=10) as connection:
            for path in paths:
                head = f"GET {path} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {path}\r\n\r\n"
                connection.sendall(head.encode())
            with suppress(ConnectionResetError):
                while data := connection.recv(READ_BYTES):
                    received += data
                    time.sleep(READ_INTERVAL_S)
        return bytes(received)

    # Guards against a reset that drops what the kernel hasn't sent yet of the response before.
    async def test_a_whole_response_before_a_broken_one_arrives(self) -> None:
        """The second one breaks as soon as its first part was sent."""
        reading = asyncio.create_task(asyncio.to_thread(self.read_slowly, "/whole", "/broken"))
        await self.until_arrived("/whole", "/broken")
        self.script.send("/whole", answer(b"w" * WHOLE_BYTES))
        self.script.send("/broken", answer(b"b" * 1000, more=True), lost())
        received = await asyncio.wait_for(reading, 2 * TIMEOUT_S)
        self.assertGreaterEqual(received.count(b"w"), WHOLE_BYTES)
        self.assertEqual((await self.end("/broken"))["kind"], "broken")

    # Guards against a part that looks complete to a caller that reads until the connection ends.
    async def test_the_broken_response_still_ends_with_a_reset(self) -> None:
        """The caller has read all that was sent."""
        self.send("/broken")
        await self.until_arrived("/broken")
        self.script.send("/broken", answer(b"b" * 1000, more=True))
        await self.reader.readuntil(b"b" * 1000)
        self.script.send("/broken", lost())
        with self.assertRaises(ConnectionResetError):
            await self.read_to_end()

    # Guards against a connection that a caller keeps open by reading nothing.
    async def test_a_caller_that_reads_nothing_is_reset(self) -> None:
        """What was written waits for it for a while only."""
        pipeline = "cowslipvane.tasks.http._pipeline"
        with (
            patch(f"{pipeline}.unsent_bytes", lambda _: 1),
            patch(f"{pipeline}.DELIVERY_TIMEOUT", 0.1),
        ):
            self.send("/broken")
            await self.until_arrived("/broken")
            self.script.send("/broken", answer(b"b" * 1000, more=True), lost())
            with self.assertRaises(ConnectionResetError):
                await self.read_to_end()


if __name__ == "__main__":
    unittest.main()
