"""Tests of requests that are sent before the first one is answered."""

import asyncio
import unittest
from collections.abc import Callable

from aiohttp import web

from cowslipvane.tasks._http import HttpListener
from cowslipvane.tasks._pipeline import Prefetcher, take_prefetched
from cowslipvane.types import Address

PATIENCE_S = 5.0


class PipelineTest(unittest.IsolatedAsyncioTestCase):
    """That a slow answer holds back the answers behind it, but not their work."""

    async def asyncSetUp(self) -> None:
        """Listen with a fetch whose first request waits for the second one's."""
        self.second_began = asyncio.Event()
        self.cancelled: list[str] = []
        self.begun: list[str] = []
        self.discarded: list[str] = []

        async def fetch(http: web.BaseRequest) -> str:
            self.begun.append(http.path)
            try:
                if http.path == "/1":
                    await self.second_began.wait()
                elif http.path == "/2":
                    self.second_began.set()
                elif http.path == "/never":
                    await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled.append(http.path)
                raise
            return http.path

        async def discard(path: str) -> None:
            self.discarded.append(path)

        async def handle(http: web.BaseRequest) -> web.StreamResponse:
            ahead = take_prefetched(http)
            body = await (fetch(http) if ahead is None else ahead)
            return web.Response(text=body)

        probe = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        self.port = probe.sockets[0].getsockname()[1]
        probe.close()
        await probe.wait_closed()
        self.listener = HttpListener(
            handler=handle,
            address=Address("127.0.0.1", self.port),
            prefetcher=Prefetcher(fetch, discard),
        )
        await self.enterAsyncContext(self.listener)
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(self.writer.close)

    async def until(self, wanted: Callable[[], bool]) -> None:
        """Return once something is so."""
        async with asyncio.timeout(PATIENCE_S):
            while not wanted():  # noqa: ASYNC110
                await asyncio.sleep(0)

    def send(self, *paths: str, method: str = "GET") -> None:
        """Send requests at once."""
        heads = [f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n" for path in paths]
        self.writer.write("".join(heads).encode())

    async def body(self) -> str:
        """Return the next answer's body."""
        async with asyncio.timeout(PATIENCE_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            return (await self.reader.readexactly(length)).decode()

    async def test_the_second_is_worked_on_while_the_first_waits(self) -> None:
        """And the answers come in the order of the requests."""
        self.send("/1", "/2", "/3")
        self.assertEqual([await self.body() for _ in range(3)], ["/1", "/2", "/3"])
        self.assertEqual(sorted(self.begun), ["/1", "/2", "/3"])

    async def test_a_later_arrival_is_begun_too(self) -> None:
        """While the first is under way."""
        self.send("/1")
        await asyncio.sleep(0.05)
        self.send("/2")
        self.assertEqual([await self.body(), await self.body()], ["/1", "/2"])

    async def test_what_may_not_be_repeated_waits_for_its_turn(self) -> None:
        """It isn't begun while another request could still close the connection."""
        self.send("/1")
        self.send("/post", method="DELETE")
        self.send("/2")
        self.assertEqual(await self.body(), "/1")
        self.assertEqual(sorted(self.begun[:2]), ["/1", "/2"])

    async def test_a_caller_that_leaves_ends_all_its_work(self) -> None:
        """Also what waited for its turn."""
        self.send("/never", "/never")
        await self.until(lambda: len(self.begun) == 2)
        self.writer.close()
        await self.until(lambda: len(self.cancelled) == 2)

    async def test_what_is_ready_before_its_turn_is_given_up_with_its_caller(self) -> None:
        """Nothing stays under way."""
        self.send("/never", "/3")
        await self.until(lambda: len(self.begun) == 2)
        self.writer.close()
        await self.until(lambda: self.discarded == ["/3"])

    async def test_a_planned_close_answers_what_was_begun(self) -> None:
        """The connection ends after the last answer."""
        self.send("/1", "/3", "/2")
        await self.until(lambda: len(self.begun) == 3)
        async with asyncio.timeout(PATIENCE_S):
            await self.listener.finish()
            self.assertEqual([await self.body() for _ in range(3)], ["/1", "/3", "/2"])
            self.assertEqual(await self.reader.read(), b"")


if __name__ == "__main__":
    unittest.main()
