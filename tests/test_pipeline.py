"""Tests of pipelined requests, which are sent before the first response."""

import asyncio
import unittest
from collections.abc import Callable

from aiohttp import web

from cowslipvane.call import ConnectionEnd
from cowslipvane.tasks.http._listener import HttpListener
from cowslipvane.tasks.http._pipeline import Prefetcher, pop_prefetched
from cowslipvane.types import Address

TIMEOUT_S = 5.0


class PipelineTest(unittest.IsolatedAsyncioTestCase):
    """A slow response delays the responses behind it, but not the work on them."""

    async def asyncSetUp(self) -> None:
        """Listen with a fetch function in which /1 waits until /2 has started."""
        self.second_started = asyncio.Event()
        self.cancelled: list[str] = []
        self.started: list[str] = []
        self.discarded: list[str] = []

        async def fetch(http: web.BaseRequest) -> str:
            self.started.append(http.path)
            try:
                if http.path == "/1":
                    await self.second_started.wait()
                elif http.path == "/2":
                    self.second_started.set()
                elif http.path == "/never":
                    await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled.append(http.path)
                raise
            return http.path

        async def discard(path: str, _: ConnectionEnd) -> None:
            self.discarded.append(path)

        async def handle(http: web.BaseRequest) -> web.StreamResponse:
            prefetched = pop_prefetched(http)
            body = await (fetch(http) if prefetched is None else prefetched)
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

    async def until(self, condition: Callable[[], bool]) -> None:
        """Return once a condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0)

    def send(self, *paths: str, method: str = "GET") -> None:
        """Send requests at once."""
        heads = [f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n" for path in paths]
        self.writer.write("".join(heads).encode())

    async def body(self) -> str:
        """Return the body of the next response."""
        async with asyncio.timeout(TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            return (await self.reader.readexactly(length)).decode()

    async def test_second_request_is_fetched_while_the_first_waits(self) -> None:
        """The responses still arrive in the order of the requests."""
        self.send("/1", "/2", "/3")
        self.assertEqual([await self.body() for _ in range(3)], ["/1", "/2", "/3"])
        self.assertEqual(sorted(self.started), ["/1", "/2", "/3"])

    async def test_request_that_arrives_later_is_prefetched(self) -> None:
        """A request that arrives while the first is in flight is prefetched as well."""
        self.send("/1")
        await asyncio.sleep(0.05)
        self.send("/2")
        self.assertEqual([await self.body(), await self.body()], ["/1", "/2"])

    async def test_unsafe_request_is_not_prefetched(self) -> None:
        """It isn't started while an earlier request could still close the connection."""
        self.send("/1")
        self.send("/post", method="DELETE")
        self.send("/2")
        self.assertEqual(await self.body(), "/1")
        self.assertEqual(sorted(self.started[:2]), ["/1", "/2"])

    async def test_disconnect_cancels_all_requests(self) -> None:
        """Prefetching of later requests is cancelled as well."""
        self.send("/never", "/never")
        await self.until(lambda: len(self.started) == 2)
        self.writer.close()
        await self.until(lambda: len(self.cancelled) == 2)

    async def test_disconnect_discards_prefetched_responses(self) -> None:
        """A response that is ready when its caller disconnects doesn't stay in flight."""
        self.send("/never", "/3")
        await self.until(lambda: len(self.started) == 2)
        self.writer.close()
        await self.until(lambda: self.discarded == ["/3"])

    async def test_planned_close_sends_prefetched_responses(self) -> None:
        """The connection is closed after the last response."""
        self.send("/1", "/3", "/2")
        await self.until(lambda: len(self.started) == 3)
        async with asyncio.timeout(TIMEOUT_S):
            await self.listener.finish()
            self.assertEqual([await self.body() for _ in range(3)], ["/1", "/3", "/2"])
            self.assertEqual(await self.reader.read(), b"")


if __name__ == "__main__":
    unittest.main()
