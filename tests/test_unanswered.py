"""Tests that an event tells of each request that ends without a complete response."""

import asyncio
import unittest
from typing import NoReturn

from tests.connections_case import PART, ConnectionsTestCase, answer, lost

AT_OWNER = "at an owner"
BEGUN = "the worker's response had begun"
LARGE_BODY = bytes(32 << 20)
PAUSE_S = 0.1


class UnansweredTest(ConnectionsTestCase):
    """Each request has one event, with the reason and how far the request had got."""

    async def test_caller_closes(self) -> None:
        """The requests behind the first have events of their own, also if a response is ready."""
        self.send("/1", "/2", "/3")
        await self.until_arrived("/1", "/2", "/3")
        self.script.send("/3", answer(b"ready"))
        await self.until(lambda: "/3" not in self.script.cancelled)
        self.writer.close()
        for path, progress in (("/1", AT_OWNER), ("/2", AT_OWNER), ("/3", BEGUN)):
            expected = {"kind": "refusal", "reason": "", "progress": progress}
            self.assertEqual(await self.end(path), expected)
        await self.until(lambda: not self.callers.in_flight)

    async def test_caller_that_ends_its_sending_has_left(self) -> None:
        """It can't be told from one that has closed, whose request must not go on at a worker."""
        self.send("/1", "/2")
        await self.until_arrived("/1", "/2")
        self.writer.write_eof()
        self.assertEqual(await self.read_to_end(), b"")
        for path in ("/1", "/2"):
            expected = {"kind": "refusal", "reason": "", "progress": AT_OWNER}
            self.assertEqual(await self.end(path), expected)
        self.assertEqual(sorted(self.script.cancelled), ["/1", "/2"])

    async def test_response_that_was_written_reaches_a_caller_that_ends_its_sending(self) -> None:
        """What waits to be sent isn't dropped, and counts as in flight until it is sent."""
        await self.begin_large_response()
        self.writer.write_eof()
        await asyncio.sleep(PAUSE_S)
        self.assertEqual(self.callers.in_flight, ("/1",))
        self.assertTrue((await self.read_to_end()).endswith(LARGE_BODY))
        await self.until(lambda: not self.callers.in_flight)
        self.assertEqual(self.ends("/1"), [])

    # Such a request had no event, since it was in flight only until its handler returned.
    async def test_caller_closes_while_its_response_is_sent(self) -> None:
        """It has received a part of a response that had been made whole."""
        await self.begin_large_response()
        self.assertEqual(self.callers.in_flight, ("/1",))
        self.writer.transport.abort()
        expected = {"kind": "refusal", "reason": "", "progress": BEGUN}
        self.assertEqual(await self.end("/1"), expected)
        await self.until(lambda: not self.callers.in_flight)

    async def begin_large_response(self) -> None:
        """Receive the first byte of a response that no buffer holds whole."""
        self.script.send("/1", answer(LARGE_BODY))
        self.send("/1")
        await self.reader.readexactly(1)

    async def begin_http_1_0_response(self) -> None:
        """Receive a part of a response whose end is the end of the connection."""
        self.script.send("/1", answer(PART, more=True))
        self.writer.write(b"GET /1 HTTP/1.0\r\nHost: a\r\nX-Request-Id: /1\r\n\r\n")
        await self.reader.readexactly(len(PART))

    async def test_part_of_a_response_does_not_look_complete(self) -> None:
        """A caller that ended its sending within the response took the part for the whole."""
        await self.begin_http_1_0_response()
        self.writer.write_eof()
        with self.assertRaises(ConnectionResetError):
            await self.read_to_end()
        expected = {"kind": "refusal", "reason": "", "progress": BEGUN}
        self.assertEqual(await self.end("/1"), expected)

    async def test_part_of_a_response_does_not_look_complete_at_the_exit(self) -> None:
        """The connection was closed in order when the grace period was over."""
        await self.begin_http_1_0_response()
        await self.stack.aclose()
        with self.assertRaises(ConnectionResetError):
            await self.read_to_end()
        end = await self.end("/1")
        self.assertEqual((end["reason"], end["progress"]), ("the process is exiting", BEGUN))

    async def test_caller_closes_before_its_request_is_passed_on(self) -> None:
        """A body that never ends keeps a request from being passed on, so that it was not run."""
        self.send("/1", method="POST", fields="Content-Length: 5\r\n", body=b"ab")
        await self.until(lambda: self.callers.in_flight)
        self.writer.close()
        self.assertEqual((await self.end("/1"))["progress"], "not passed on")
        self.assertEqual(self.ends("/1")[0]["detail"]["verdict"], "not run")

    async def test_broken_response(self) -> None:
        """The event is of another kind than for a caller that closes."""
        self.send("/1")
        self.script.send("/1", answer(PART, more=True), lost())
        end = await self.end("/1")
        self.assertEqual((end["kind"], end["progress"]), ("broken", BEGUN))

    async def test_exit(self) -> None:
        """A call that the exit cuts off isn't also recorded as left by its caller."""
        self.send("/1")
        await self.until_arrived("/1")
        self.callers.record_exit("the grace period is over")
        await self.stack.aclose()
        expected = {"kind": "cut", "reason": "the grace period is over", "progress": AT_OWNER}
        self.assertEqual(await self.end("/1"), expected)

    async def test_failed_handler(self) -> None:
        """An error after the response has begun resets the connection, and is in the event."""

        async def fail(*_: object) -> NoReturn:
            raise RuntimeError("unexpected")

        self.script.next_part = fail  # type: ignore
        self.send("/1")
        self.script.send("/1", answer(PART, more=True))
        end = await self.end("/1")
        self.assertEqual((end["kind"], end["progress"]), ("cut", BEGUN))
        self.assertIn("RuntimeError('unexpected')", end["reason"])
        with self.assertRaises(ConnectionResetError):
            await self.read_to_end()

    async def test_requests_with_one_id_are_both_in_flight(self) -> None:
        """A planned stop waits for the second one when the first has ended."""
        self.send("/1")
        await self.until_arrived("/1")
        first = self.reader
        await self.connect()
        self.send("/1")
        await self.until_arrived("/1", "/1")
        self.script.send("/1", answer(b"first"))
        await first.readuntil(b"first")
        self.assertEqual(self.callers.in_flight, ("/1",))
        self.script.send("/1", answer(b"second"))
        await self.until(lambda: not self.callers.in_flight)


if __name__ == "__main__":
    unittest.main()
