"""Tests that a planned close of a connection takes no answer from the requests on it."""

import asyncio
import errno
import socket
import unittest
from contextlib import suppress
from unittest.mock import patch

from tests.callers_case import LISTENER
from tests.connections_case import ConnectionsTestCase, answer

LENGTH_FIELD = "Content-Length: 10\r\n"
FIRST_HALF, SECOND_HALF = b"12345", b"67890"
# More than the reader of a caller takes before it is read from.
LARGE_BODY = b"x" * (3 << 20)
# Longer than the event loop takes to act on what it has received.
PAUSE_S = 0.05
# A connection is accepted, and its task has begun, within these iterations of the event loop.
MAX_ITERATIONS_TO_ACCEPT = 8
END_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 1000


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
        await self.listener.stop_listening()
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


class NewConnectionTest(ConnectionsTestCase):
    """A connection is accepted at the moment at which the listener stops."""

    async def accept(self, iterations: int) -> socket.socket:
        """Return a connection with which the event loop has got so far, and stop listening."""
        await self.stack.aclose()
        await self.stack.enter_async_context(self.listener)
        caller = socket.create_connection((LISTENER.ip, LISTENER.port))
        self.addCleanup(caller.close)
        caller.setblocking(False)
        for _ in range(iterations):
            await asyncio.sleep(0)
        await self.listener.stop_listening()
        return caller

    async def receive(self, caller: socket.socket) -> bytes:
        """Return what arrives next, nothing once the connection has ended."""
        receiving = asyncio.get_running_loop().sock_recv(caller, MAX_RESPONSE_BYTES)
        with suppress(ConnectionResetError):
            return await asyncio.wait_for(receiving, END_TIMEOUT_S)
        return b""

    # Guards against a request that is neither answered nor has its connection closed until the
    # process exits (issue 23, LOST).
    async def test_connection_that_was_accepted_is_served(self) -> None:
        """So is one that waited in the kernel to be accepted."""
        self.script.send("/1", *[answer(b"one")] * MAX_ITERATIONS_TO_ACCEPT)
        served = 0
        for iterations in range(MAX_ITERATIONS_TO_ACCEPT):
            with self.subTest(iterations=iterations):
                caller = await self.accept(iterations)
                caller.send(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                response = await self.receive(caller)
                served += response.startswith(b"HTTP/1.1 200")
        self.assertEqual(served, MAX_ITERATIONS_TO_ACCEPT)

    async def test_connection_without_a_request_is_closed(self) -> None:
        """It ends at once, also if its task had not begun to wait for requests."""
        for iterations in range(MAX_ITERATIONS_TO_ACCEPT):
            with self.subTest(iterations=iterations):
                caller = await self.accept(iterations)
                await asyncio.wait_for(self.listener.finish(), END_TIMEOUT_S)
                self.assertEqual(await self.receive(caller), b"")


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

    # The error was logged with its trace, as of a fault of the proxy.
    async def test_caller_that_resets_the_connection_meanwhile(self) -> None:
        """The end of sending fails then; the connection is closed."""
        reset = OSError(errno.ENOTCONN, "the caller has reset the connection")
        with (
            self.assertNoLogs("aiohttp.server"),
            patch("asyncio.selector_events._SelectorSocketTransport.write_eof", side_effect=reset),
        ):
            await self.respond(b"first")
            self.assertTrue((await self.read_to_end()).endswith(b"first"))

    async def test_caller_that_does_not_close_is_waited_for_briefly(self) -> None:
        """Its connection must not hold up the exit."""
        with patch("cowslipvane.tasks.http._pipeline.LINGER_TIMEOUT", PAUSE_S):
            await self.respond(b"first")
            self.assertTrue((await self.read_to_end()).endswith(b"first"))
            await asyncio.wait_for(self.listener.finish(), 1.0)


if __name__ == "__main__":
    unittest.main()
