"""Tests that a planned close of a connection takes no answer from the requests on it."""

import asyncio
import unittest
from unittest.mock import patch

from tests.connections_case import ConnectionsTestCase, answer

LENGTH_FIELD = "Content-Length: 10\r\n"
FIRST_HALF, SECOND_HALF = b"12345", b"67890"
# More than the reader of a caller takes before it is read from.
LARGE_BODY = b"x" * (3 << 20)
# Longer than the event loop takes to act on what it has received.
PAUSE_S = 0.05


class BodyInTransitTest(ConnectionsTestCase):
    """The connections close while the body of a request is being received."""

    async def asyncSetUp(self) -> None:
        """Script the responses."""
        await super().asyncSetUp()
        for path in ("/1", "/2"):
            self.script.send(path, answer(path.encode()))

    async def finish(self) -> "asyncio.Task[None]":
        """Let the connections finish, and return the task that waits for that."""
        self.callers.stop()
        self.listener.stop_listening()
        finishing = asyncio.create_task(self.listener.finish())
        await asyncio.sleep(PAUSE_S)
        return finishing

    async def test_request_is_received_whole_and_answered(self) -> None:
        """The rest of its body was dropped, and its caller waited until the process exited."""
        self.send("/1", method="POST", fields=LENGTH_FIELD, body=FIRST_HALF)
        await self.until(lambda: self.callers.in_flight)
        finishing = await self.finish()
        self.writer.write(SECOND_HALF)
        self.send("/2")
        status, fields, body = await self.response()
        self.assertEqual((status, fields["connection"], body), (200, "close", b"/1"))
        self.assertEqual(await self.read_to_end(), b"")
        self.writer.close()
        await finishing
        self.assertEqual(self.script.arrived, ["/1"])

    async def test_request_behind_another_is_received_whole(self) -> None:
        """The body that is being received may belong to a later request than the current one."""
        self.send("/never")
        self.send("/2")
        self.send("/1", method="POST", fields=LENGTH_FIELD, body=FIRST_HALF)
        await self.until_arrived("/2", "/never")
        finishing = await self.finish()
        self.writer.write(SECOND_HALF)
        self.script.send("/never", answer(b"first"))
        self.assertEqual((await self.response())[2], b"first")
        self.assertEqual((await self.response())[2], b"/2")
        self.assertEqual(await self.read_to_end(), b"")
        self.writer.close()
        await finishing

    async def test_caller_that_leaves_within_its_body_holds_up_nothing(self) -> None:
        """The close doesn't wait for a body that can't be completed."""
        self.send("/1", method="POST", fields=LENGTH_FIELD, body=FIRST_HALF)
        await self.until(lambda: self.callers.in_flight)
        finishing = await self.finish()
        self.writer.close()
        await asyncio.wait_for(finishing, 1.0)


class LastResponseTest(ConnectionsTestCase):
    """A caller receives the last response of a connection, slowly if it is large."""

    async def asyncSetUp(self) -> None:
        """Let each response be the last one."""
        await super().asyncSetUp()
        self.callers.stop()

    async def respond(self, body: bytes) -> None:
        """Send a request and the whole response to it, and receive its first byte."""
        self.script.send("/1", answer(body))
        self.send("/1")
        await self.reader.readexactly(1)

    async def test_response_is_whole_though_its_caller_sends_more(self) -> None:
        """A request behind the last response made the kernel reset the connection."""
        await self.respond(LARGE_BODY)
        await asyncio.sleep(PAUSE_S)
        self.send("/2")
        await asyncio.sleep(PAUSE_S)
        self.assertTrue((await self.read_to_end()).endswith(LARGE_BODY))
        self.assertEqual(self.script.arrived, ["/1"])

    async def test_connection_is_kept_until_the_response_is_sent(self) -> None:
        """A planned stop went on to the exit while the caller still received."""
        await self.respond(LARGE_BODY)
        finishing = asyncio.create_task(self.listener.finish())
        await asyncio.sleep(PAUSE_S)
        self.assertFalse(finishing.done())
        self.assertTrue((await self.read_to_end()).endswith(LARGE_BODY))
        self.writer.close()
        await asyncio.wait_for(finishing, 1.0)

    async def test_caller_that_does_not_close_is_waited_for_briefly(self) -> None:
        """Its connection must not hold up the exit."""
        with patch("cowslipvane.tasks._pipeline.LINGER_TIMEOUT", PAUSE_S):
            await self.respond(b"first")
            self.assertTrue((await self.read_to_end()).endswith(b"first"))
            await asyncio.wait_for(self.listener.finish(), 1.0)


if __name__ == "__main__":
    unittest.main()
