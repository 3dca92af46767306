"""Tests that a request doesn't lose its answer to another request of the same connection."""

import asyncio
import unittest

from cowslipvane.tasks.callers._responder import MAX_HELD_BYTES
from tests.callers_case import MAX_BODY_BYTES
from tests.connections_case import PART, ConnectionsTestCase, answer, chunk, lost


class BrokenResponseTest(ConnectionsTestCase):
    """The response to one request breaks after its first part."""

    async def test_requests_that_were_passed_on_are_answered(self) -> None:
        """A broken response took the requests behind it along, which sound workers had run."""
        self.send("/1", "/2", "/3")
        await self.until_arrived("/1", "/2", "/3")
        self.script.send("/3", answer(b"third"))
        self.script.send("/1", answer(PART, more=True), chunk(PART, more=True), lost())
        status, _, body = await self.response()
        self.assertEqual(status, 502)
        self.assertIn(b"upstream-lost", body)
        self.script.send("/2", answer(b"second"))
        self.assertEqual((await self.response())[2], b"second")
        self.assertEqual((await self.response())[2], b"third")
        await self.until(lambda: not self.callers.in_flight)

    async def test_large_response_with_requests_behind_it_is_whole(self) -> None:
        """It is held back until it is complete, and only up to a limit."""
        for parts in (3, 2 * MAX_HELD_BYTES // len(PART)):
            self.script.arrived.clear()
            self.send("/1", "/2")
            await self.until_arrived("/1", "/2")
            self.script.send("/1", answer(PART, more=True), *[chunk(PART, more=True)] * parts)
            self.script.send("/1", chunk(b"end", more=False))
            self.script.send("/2", answer(b"second"))
            self.assertEqual((await self.response())[2], PART * (1 + parts) + b"end")
            self.assertEqual((await self.response())[2], b"second")

    async def test_no_request_is_passed_on_behind_a_response_that_may_break(self) -> None:
        """Requests that were passed on during a response were lost when it broke."""
        self.script.send("/1", answer(PART, more=True))
        self.send("/1")
        await self.reader.readexactly(len(PART))
        self.send("/2", "/3")
        self.script.send("/1", chunk(PART, more=True))
        await self.reader.readexactly(len(PART))
        self.script.send("/1", lost())
        with self.assertRaises(ConnectionResetError):
            await self.read_to_end()
        self.assertEqual(self.script.arrived, ["/1"])

    async def test_requests_are_passed_on_together_after_a_response_in_parts(self) -> None:
        """They don't wait for each other."""
        self.script.send("/1", answer(PART, more=True))
        self.send("/1")
        await self.reader.readexactly(len(PART))
        self.send("/2", "/3")
        self.script.send("/1", chunk(b"", more=False))
        await self.until_arrived("/1", "/2", "/3")

    async def test_request_that_is_lost_names_the_one_whose_response_broke(self) -> None:
        """A response beyond the limit is begun, and nothing can be sent behind it if it breaks."""
        self.send("/1", "/2")
        await self.until_arrived("/1", "/2")
        parts = [chunk(PART, more=True)] * (2 * MAX_HELD_BYTES // len(PART))
        self.script.send("/1", answer(PART, more=True), *parts, lost())
        with self.assertRaises(ConnectionResetError):
            await self.read_to_end()
        self.assertEqual((await self.end("/1"))["kind"], "broken")
        end = await self.end("/2")
        self.assertEqual((end["kind"], end["progress"]), ("cut", "at an owner"))
        self.assertIn("broken response to /1", end["reason"])


class ExitTest(ConnectionsTestCase):
    """A response that ends at the exit of the process, with responses behind it."""

    # Guards against responses that are ready and are dropped at the exit of the process.
    async def test_responses_behind_the_one_that_ends_at_the_exit_are_sent(self) -> None:
        """The first one ends by itself, or is refused since its worker is still at work."""
        for ends_by_itself in (True, False):
            with self.subTest(ends_by_itself=ends_by_itself):
                await self.check_exit(ends_by_itself=ends_by_itself)
                await self.asyncSetUp()

    async def check_exit(self, *, ends_by_itself: bool) -> None:
        """Exit while the first of three responses isn't ready, and receive all three."""
        self.send("/1", "/2", "/3")
        await self.until_arrived("/1", "/2", "/3")
        for path in ("/2", "/3"):
            self.script.send(path, answer(path.encode()))
        self.callers.stop()
        closing = asyncio.create_task(self.stack.aclose())
        await asyncio.sleep(0)
        if ends_by_itself:
            self.script.send("/1", lost())
        else:
            await self.callers.give_up()
        responses = [await self.response() for _ in range(3)]
        self.assertEqual([status for status, _, _ in responses], [502, 200, 200])
        self.assertEqual([body for _, _, body in responses[1:]], [b"/2", b"/3"])
        self.assertEqual(await self.read_to_end(), b"")
        await closing


class ClosingResponseTest(ConnectionsTestCase):
    """The connection is closed after the response to one request."""

    async def test_nothing_is_passed_on_behind_a_malformed_request(self) -> None:
        """Its refusal closed the connection, on which the next request had been passed on."""
        self.send("/1", "/../2", "/3")
        await self.until_arrived("/1")
        self.script.send("/1", answer(b"first"))
        self.assertEqual((await self.response())[0], 200)
        self.assertEqual((await self.response())[0], 400)
        self.assertEqual(await self.read_to_end(), b"")
        self.assertEqual(self.script.arrived, ["/1"])

    async def test_nothing_is_passed_on_behind_a_request_that_closes(self) -> None:
        """A caller that says that it closes gets no answer to what it sends behind."""
        self.send("/1")
        self.send("/2", fields="Connection: close\r\n")
        await self.until_arrived("/1", "/2")
        self.send("/3")
        self.script.send("/1", answer(b"first"))
        self.script.send("/2", answer(b"second"))
        self.assertEqual((await self.response())[2], b"first")
        self.assertEqual((await self.response())[2], b"second")
        self.assertEqual(await self.read_to_end(), b"")
        self.assertEqual(sorted(self.script.arrived), ["/1", "/2"])

    async def test_whole_body_over_the_limit_keeps_the_connection(self) -> None:
        """Its refusal closed the connection, on which the next request had been passed on."""
        body = b"x" * (MAX_BODY_BYTES + 1)
        self.send("/1", method="POST", fields=f"Content-Length: {len(body)}\r\n", body=body)
        self.send("/2")
        self.script.send("/2", answer(b"second"))
        self.assertEqual((await self.response())[0], 413)
        self.assertEqual((await self.response())[2], b"second")

    async def test_incomplete_body_over_the_limit_closes_the_connection(self) -> None:
        """What is sent behind it isn't passed on."""
        size = 2 * MAX_BODY_BYTES
        self.send("/1", method="POST", fields=f"Content-Length: {size}\r\n", body=b"x")
        status, fields, _ = await self.response()
        self.assertEqual((status, fields["connection"]), (413, "close"))
        self.writer.write(b"x" * (size - 1))
        self.send("/2", "/3")
        self.assertEqual(await self.read_to_end(), b"")
        self.assertEqual(self.script.arrived, [])

    async def test_stopping_process_passes_on_nothing_behind_its_last_response(self) -> None:
        """A request that came during that response was passed on and then lost."""
        self.callers.stop()
        self.script.send("/1", answer(PART, more=True))
        self.send("/1")
        head = await self.reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        self.send("/2", "/3")
        self.script.send("/1", chunk(PART, more=True), chunk(b"end", more=False))
        self.assertIn(b"end", await self.read_to_end())
        self.assertEqual(self.script.arrived, ["/1"])


if __name__ == "__main__":
    unittest.main()
