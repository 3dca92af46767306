"""Tests of callers whose bytes are no request, or have no end."""

import asyncio
import contextlib
import json
import unittest

from tests.connections_case import ConnectionsTestCase, answer
from tests.endless_worker import BLOCK_BYTES, Endless, Heartbeat

CHUNKED = "Transfer-Encoding: chunked\r\n"
HEAD = b"POST /1 HTTP/1.1\r\nHost: a\r\nX-Request-Id: /1\r\n"
CHUNKED_HEAD = HEAD + CHUNKED.encode() + b"\r\n"
BROKEN_BODIES = (b"zz\r\n", b"2\r\nab\r\nzz\r\n", b"2\r\nabcd\r\n", b"0\r\nno field\r\n\r\n")
HEADS = (
    Endless("line breaks", b"", b"\r\n"),
    Endless("line feeds", b"", b"\n"),
    Endless("method", b"", b"G" * 1000),
    Endless("target", b"GET /", b"x" * 1000),
    Endless("fields", HEAD, b"A: b\r\n"),
    Endless("one field", HEAD + b"A: ", b"b" * 1000),
    Endless("name of a field", HEAD, b"b" * 1000),
    Endless("zeros", b"", bytes(1000)),
)
BODIES = (
    Endless("chunk size", CHUNKED_HEAD, b"0"),
    Endless("chunk extension", CHUNKED_HEAD + b"5;", b"x" * 1000),
    Endless("trailers", CHUNKED_HEAD + b"5\r\nwhole\r\n0\r\n", b"A: b\r\n"),
    Endless("one trailer", CHUNKED_HEAD + b"5\r\nwhole\r\n0\r\nA: ", b"b" * 1000),
    Endless("chunks", CHUNKED_HEAD, b"4\r\nbody\r\n"),
    Endless("with a length", HEAD + b"Content-Length: 10000000000\r\n\r\n", b"x" * 1000),
)
MAX_SENT_BYTES = 16 << 20
MAX_MEMORY_GROWTH_BYTES = 8 << 20


class MalformedBodyTest(ConnectionsTestCase):
    """The body of a request breaks, or doesn't end."""

    async def check_refusal(self, status: int, code: str) -> None:
        """Check that the next response refuses a request as not run, and is the last one."""
        actual, fields, body = await self.response()
        refusal = json.loads(body)
        self.assertEqual((actual, refusal["code"], refusal["verdict"]), (status, code, "not run"))
        self.assertEqual(fields["connection"], "close")
        self.assertEqual(await self.read_to_end(), b"")

    # Such a request was never answered, and held until its caller left.
    async def test_body_that_breaks_is_refused(self) -> None:
        """It isn't passed on, and its connection is closed after one response."""
        for broken in BROKEN_BODIES:
            with self.subTest(broken):
                await self.connect()
                self.send("/1", method="POST", fields=CHUNKED)
                await self.until(lambda: self.callers.in_flight)
                self.writer.write(broken)
                await self.check_refusal(400, "malformed-request")
                await self.until(lambda: not self.callers.in_flight)
        self.assertEqual(self.script.arrived, [])
        self.assertEqual([event for event in self.events.select() if event["kind"] == "failed"], [])

    async def test_requests_before_one_that_breaks_are_answered(self) -> None:
        """They have been passed on."""
        self.send("/1", "/2")
        self.send("/3", method="POST", fields=CHUNKED, body=b"2\r\n")
        await self.until_arrived("/1", "/2")
        self.writer.write(b"abcd\r\n")
        for path in ("/1", "/2"):
            self.script.send(path, answer(path.encode()))
            self.assertEqual((await self.response())[2], path.encode())
        await self.check_refusal(400, "malformed-request")

    # A body that came slowly held its request beyond every deadline.
    async def test_body_that_does_not_end_is_refused_at_the_deadline(self) -> None:
        """The deadline of the caller, as of a call that has been passed on."""
        fields = "X-Request-Timeout-Ms: 100\r\nContent-Length: 5\r\n"
        self.send("/1", method="POST", fields=fields, body=b"ab")
        await self.check_refusal(503, "deadline-passed")
        self.assertEqual(self.script.arrived, [])


class EndlessRequestTest(ConnectionsTestCase):
    """A caller sends bytes without end."""

    async def asyncSetUp(self) -> None:
        """Switch off the debug mode of asyncio, which slows each turn of the loop."""
        await super().asyncSetUp()
        asyncio.get_running_loop().set_debug(False)

    async def send_endlessly(self, endless: Endless) -> int:
        """Send until the connection is closed or a response arrives; return the bytes sent."""
        block = endless.repeated * (1 + BLOCK_BYTES // len(endless.repeated))
        self.writer.write(endless.start)
        received = asyncio.create_task(self.reader.read(1))
        sent = 0
        with contextlib.suppress(ConnectionError):
            while not received.done() and sent < MAX_SENT_BYTES:
                self.writer.write(block)
                await self.writer.drain()
                sent += len(block)
                await asyncio.sleep(0)
        await asyncio.gather(received, return_exceptions=True)
        return sent

    # Nothing but its caller ended some of these, which took all of the processor time meanwhile.
    async def test_endless_bytes_are_received_for_a_moment(self) -> None:
        """At little memory."""
        for endless in (*HEADS, *BODIES):
            with self.subTest(endless.label):
                await self.connect()
                async with asyncio.timeout(5), Heartbeat() as heartbeat:
                    self.assertLess(await self.send_endlessly(endless), MAX_SENT_BYTES)
                self.assertLess(heartbeat.memory_growth_bytes, MAX_MEMORY_GROWTH_BYTES)
                await self.until(lambda: not self.callers.in_flight)

    async def test_endless_bytes_take_no_answer_from_requests_before_them(self) -> None:
        """Nor does their connection go on afterwards."""
        for endless in (HEADS[0], BODIES[0]):
            with self.subTest(endless.label):
                await self.connect()
                self.script.arrived.clear()
                self.send("/0")
                await self.until_arrived("/0")
                block = endless.repeated * (BLOCK_BYTES // len(endless.repeated))
                self.writer.write(endless.start + block * 8)
                await asyncio.sleep(0.05)
                self.script.send("/0", answer(b"whole"))
                self.assertEqual((await self.response())[2], b"whole")
                self.script.arrived.clear()
                self.send("/2")
                await self.until(lambda: not self.callers.in_flight)
                self.assertEqual(self.script.arrived, [])
                self.writer.close()


class CutHeadTest(ConnectionsTestCase):
    """Two requests come in two segments."""

    async def test_requests_cut_at_each_byte_are_both_answered(self) -> None:
        """Each with its own response, in order."""
        lines = (f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n" for path in ("/1", "/2"))
        requests = "".join(lines).encode()
        for cut in range(1, len(requests)):
            self.writer.write(requests[:cut])
            for path in ("/1", "/2"):
                self.script.send(path, answer(path.encode()))
            await asyncio.sleep(0)
            self.writer.write(requests[cut:])
            for path in ("/1", "/2"):
                self.assertEqual((await self.response())[2], path.encode(), cut)


if __name__ == "__main__":
    unittest.main()
