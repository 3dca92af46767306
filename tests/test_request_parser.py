"""Tests of the parser of requests: nothing of one request reaches another."""

import asyncio
import contextlib
import gzip
import random
import tracemalloc
import unittest
from collections import deque
from typing import Any, NamedTuple, cast

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.http_parser import HttpRequestParser
from aiohttp.web_protocol import MAX_MSG_QUEUE_SIZE
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipvane.call import ConnectionEnd
from cowslipvane.tasks.http._chunked_body import MAX_LINE_BYTES
from cowslipvane.tasks.http._listener import HttpListener
from cowslipvane.tasks.http._pipeline import Prefetcher
from cowslipvane.tasks.http._request_parser import RequestParser
from cowslipvane.types import Address
from tests.test_chunked_body import split
from tools.http_messages import read_body, read_head

TIMEOUT_S = 5.0
READ_BYTES = 1 << 16
SPILLED = b"Authorization: Bearer spilled\r\n"
# A body with a length that looks like a chunked request with a trailer and another request.
LOOKALIKE = (
    b"\r\n\r\nPOST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\na\r\n0\r\n" + SPILLED + b"\r\nGET /y HTTP/1.1\r\nHost: a\r\n\r\n"
)
MAX_MEMORY_GROWTH_BYTES = 4 * MAX_LINE_BYTES


class Sample(NamedTuple):
    """A request as it is sent, and what is to be received of it."""

    sent: bytes
    target: str
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes


def get(target: str) -> Sample:
    """Return a request without a body."""
    own = (b"Host", b"a"), (b"Target", target.encode())
    return _sample("GET", target, own, b"", b"")


def sized(target: str, body: bytes) -> Sample:
    """Return a request with a body of known length."""
    own = (b"Host", b"a"), (b"Content-Length", b"%d" % len(body))
    return _sample("POST", target, own, body, body)


def chunked(
    target: str,
    body: bytes,
    trailers: bytes = SPILLED,
    chunk_bytes: int = 7,
    more: tuple[tuple[bytes, bytes], ...] = (),
) -> Sample:
    """Return a request with a chunked body."""
    own = (b"Host", b"a"), (b"Transfer-Encoding", b"chunked"), *more
    parts = (body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes))
    framed = b"".join(b"%x;a\r\n%b\r\n" % (len(part), part) for part in parts)
    return _sample("POST", target, own, body, framed + b"0\r\n" + trailers + b"\r\n")


def _sample(
    method: str, target: str, own: tuple[tuple[bytes, bytes], ...], body: bytes, sent: bytes
) -> Sample:
    """Return a request."""
    lines = b"".join(b"%b: %b\r\n" % field for field in own)
    head = f"{method} {target} HTTP/1.1\r\n".encode() + lines + b"\r\n"
    return Sample(head + sent, target, own, body)


UNKNOWN_PROTOCOL = (b"Connection", b"upgrade"), (b"Upgrade", b"unknown")
WEBSOCKET = (b"Connection", b"upgrade"), (b"Upgrade", b"websocket")
KINDS = (
    get("/get"),
    sized("/sized", LOOKALIKE),
    sized("/large", LOOKALIKE * 20),
    chunked("/chunked", b"whole body"),
    chunked("/lookalike", LOOKALIKE, b"A: b\r\n" + SPILLED, 1000),
    chunked("/empty", b""),
    chunked("/untrailed", b"ab", b"", 1),
    chunked("/many", LOOKALIKE * 10, SPILLED, 3),
    chunked("/unknown", b"abc", more=UNKNOWN_PROTOCOL),
    Sample(b"\r\n\n\r\r\n\r\n" + get("/blank").sent, "/blank", get("/blank").fields, b""),
)

# A request up to its trailers.
UNENDED = chunked("/1", b"abc", b"").sent.removesuffix(b"\r\n")


class Receiver:
    """Stands in for a connection: pauses, and reads the requests one after another."""

    def __init__(self, loop: asyncio.AbstractEventLoop, limit: int) -> None:
        self.received: list[tuple[str, tuple[tuple[bytes, bytes], ...], bytes]] = []
        self._queue: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self._is_paused = False
        self._body = b""
        options: dict[str, Any] = {"max_msg_queue_size": MAX_MSG_QUEUE_SIZE}
        parser = HttpRequestParser(cast(Any, self), loop, limit, auto_decompress=False, **options)
        self._parser = RequestParser(parser=parser)

    def pause_reading(self) -> None:
        """Pause, since a body has many unread bytes."""
        self._is_paused = True
        self._parser.pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on, since a body was read or has ended."""
        self._is_paused = False
        if resume_parser:
            self._parse(b"")

    def receive(self, data: bytes) -> None:
        """Receive bytes once the connection isn't paused."""
        while self._is_paused or len(self._queue) >= MAX_MSG_QUEUE_SIZE:
            self._read()
        self._parse(data)

    def read_all(self) -> None:
        """Read until nothing is left."""
        while self._queue:
            self._read()

    def _parse(self, data: bytes) -> None:
        """Parse bytes."""
        self._queue.extend(self._parser.feed_data(data).messages)
        assert len(self._queue) <= MAX_MSG_QUEUE_SIZE

    def _read(self) -> None:
        """Read what there is of the first request, and go on with the next one."""
        message, payload = self._queue[0]
        part = payload.read_nowait()
        self._body += part
        if payload.at_eof():
            self.received.append((message.path, message.raw_headers, self._body))
            self._body = b""
            self._queue.popleft()
            self._parser.message_consumed()
            self._parse(b"")
        elif not part:
            raise AssertionError("a body has no end")


class RequestParserTest(unittest.TestCase):
    """Requests in pieces arrive as they were sent, without their trailers."""

    def setUp(self) -> None:
        """Make the loop that aiohttp's streams need."""
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)

    def check(self, samples: list[Sample], pieces: list[bytes], limit: int = READ_BYTES) -> None:
        """Check that requests are received as they were sent."""
        receiver = Receiver(self.loop, limit)
        for piece in pieces:
            receiver.receive(piece)
        receiver.read_all()
        expected = [(each.target, each.fields, each.body) for each in samples]
        self.assertEqual(receiver.received, expected)

    # Guards against a trailer that becomes a field of the next request, and against a request that
    # is lost or taken for a body, however the bytes are split and whenever the parser pauses.
    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(KINDS), min_size=1, max_size=50),
        st.lists(st.integers(0, 1 << 16), max_size=40),
        st.sampled_from((1, 16, 200, READ_BYTES)),
    )
    def test_any_requests(self, samples: list[Sample], cuts: list[int], limit: int) -> None:
        """In any order, split anywhere, with little room for unread bodies and with much."""
        data = b"".join(sample.sent for sample in samples)
        self.check(samples, split(data, cuts), limit)

    # Guards against the same at each place of a split.
    def test_each_split_in_two(self) -> None:
        """Two requests behind each other."""
        for first in KINDS:
            if len(first.sent) > 1000:
                continue
            samples = [first, get("/2"), chunked("/3", b"abc"), get("/4")]
            data = b"".join(sample.sent for sample in samples)
            for cut in range(len(data)):
                with self.subTest(first.target, cut=cut):
                    self.check(samples, [data[:cut], data[cut:]])

    # Guards against a head that isn't parsed yet when the bytes behind it are, since the queue is
    # full or a body before it is large.
    def test_chunked_request_at_each_place_of_many(self) -> None:
        """More than the queue holds, in one segment, with little room for bodies and with much."""
        count = 2 * MAX_MSG_QUEUE_SIZE + 3
        for place in range(count):
            for before in (get("/b"), sized("/b", LOOKALIKE * 20)):
                samples = [get(f"/{number}") for number in range(count)]
                samples[place : place + 2] = [before, chunked("/c", LOOKALIKE), get("/d")]
                data = b"".join(sample.sent for sample in samples)
                for limit in (1, READ_BYTES):
                    with self.subTest(place=place, before=before.target, limit=limit):
                        self.check(samples, [data], limit)

    # Guards against a head that ends elsewhere for aiohttp's parser than for this one.
    def test_line_feed_alone_ends_no_head(self) -> None:
        """Nor a line in it."""
        for head in (
            b"GET / HTTP/1.1\nHost: a\n\n",
            b"GET / HTTP/1.1\r\nHost: a\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\n\n",
            b"GET / HTTP/1.1\r\nHost: a\n\n",
            b"GET / HTTP/1.1\r\nHost: a\r\r\n",
        ):
            for pieces in ([head + get("/2").sent], split(head, list(range(len(head))))):
                with self.subTest(head, pieces=len(pieces)), self.assertRaises(BadHttpMessage):
                    self.check([], pieces)

    # Guards against a connection that goes on after its bytes can't be told apart.
    def test_nothing_is_received_after_a_fault(self) -> None:
        """Neither another request nor the rest of a body."""
        receiver = Receiver(self.loop, READ_BYTES)
        receiver.receive(chunked("/1", b"").sent.partition(b"0\r\n")[0])
        self.assertRaises(BadHttpMessage, receiver.receive, b"0x1\r\n")
        for data in (b"", b"0\r\n\r\n", get("/2").sent):
            self.assertRaises(BadHttpMessage, receiver.receive, data)

    # Guards against a trailer that is kept in memory, before or after it is refused.
    def test_long_trailer_takes_little_memory(self) -> None:
        """Of 1 MiB, in segments."""
        receiver = Receiver(self.loop, READ_BYTES)
        receiver.receive(UNENDED + b"A: ")
        refusals = 0
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(1 << 10):
            try:
                receiver.receive(b"b" * (1 << 10))
            except BadHttpMessage:
                refusals += 1
        self.assertGreaterEqual(refusals, (1 << 10) - MAX_LINE_BYTES // (1 << 10))
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY_GROWTH_BYTES)


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Both kinds of listeners, over sockets."""

    async def connect(
        self, *, is_prefetching: bool
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to a listener that answers with the target, the fields and the body."""

        async def fetch(http: web.BaseRequest) -> str:
            # Requests may be larger than what aiohttp's own method reads.
            body = await http.content.read()
            return repr((http.path, http.raw_headers, body))

        async def handle(http: web.BaseRequest) -> web.StreamResponse:
            return web.Response(text=await fetch(http))

        async def discard(_: str, __: ConnectionEnd) -> None:
            return None

        probe = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = probe.sockets[0].getsockname()[1]
        probe.close()
        await probe.wait_closed()
        listener = HttpListener(
            handler=handle,
            address=Address("127.0.0.1", port),
            prefetcher=Prefetcher(fetch, discard) if is_prefetching else None,
        )
        await self.enterAsyncContext(listener)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        return reader, writer

    # Guards against a trailer that becomes a field of the next request at callers' listeners and
    # at operators' ones, and against requests sent ahead that are never answered.
    async def test_requests_sent_ahead_are_answered_in_order(self) -> None:
        """Many, of all kinds, in segments of random sizes."""
        for is_prefetching in (False, True):
            for seed in range(8):
                with self.subTest(is_prefetching=is_prefetching, seed=seed):
                    await self._check_requests(random.Random(seed), is_prefetching=is_prefetching)

    async def _check_requests(self, chance: random.Random, *, is_prefetching: bool) -> None:
        """Send many requests, and read the answers meanwhile."""
        reader, writer = await self.connect(is_prefetching=is_prefetching)
        samples = chance.choices(KINDS, k=150)
        data = b"".join(sample.sent for sample in samples)
        cuts = [chance.randrange(len(data)) for _ in range(chance.choice((0, 10, 300)))]

        async def send() -> None:
            for piece in split(data, cuts):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)

        sending = asyncio.create_task(send())
        await self.check_answers(reader, *samples)
        await sending

    async def check_answers(
        self, reader: asyncio.StreamReader, *samples: Sample, body: bytes | None = None
    ) -> None:
        """Check that requests are answered in order; the body is what all handlers read."""
        async with asyncio.timeout(4 * TIMEOUT_S):
            for sample in samples:
                head = await read_head(reader)
                read = sample.body if body is None else body
                expected = repr((sample.target, sample.fields, read))
                self.assertEqual((await read_body(reader, head)).decode(), expected)

    # Guards against a trailer that spills over the bytes that aiohttp keeps behind a request for
    # another protocol, which don't come in as others do.
    async def test_request_behind_a_declined_upgrade_has_its_own_fields(self) -> None:
        """The one with a trailer is the one that asks, or is behind it."""
        asking = chunked("/1", b"abc", more=WEBSOCKET)
        samples = asking, chunked("/2", b"def"), get("/3"), asking, get("/4"), get("/5")
        data = b"".join(sample.sent for sample in samples)
        for is_prefetching in (False, True):
            for cut in range(0, len(data), 5):
                with self.subTest(is_prefetching=is_prefetching, cut=cut):
                    reader, writer = await self.connect(is_prefetching=is_prefetching)
                    writer.write(data[:cut])
                    await asyncio.sleep(0.001)
                    writer.write(data[cut:])
                    await self.check_answers(reader, *samples)

    # Guards against a compressed body that pauses the parser, and the bytes behind it.
    async def test_request_behind_a_compressed_body_has_its_own_fields(self) -> None:
        """Operators' listeners decompress; the body is larger than what they keep unread."""
        plain = bytes(1 << 20)
        fields = ((b"Content-Encoding", b"gzip"),)
        samples = [chunked("/1", gzip.compress(plain), more=fields) for _ in range(3)]
        reader, writer = await self.connect(is_prefetching=False)
        writer.write(b"".join(sample.sent for sample in samples) + get("/2").sent)
        await self.check_answers(reader, *samples, body=plain)
        await self.check_answers(reader, get("/2"))

    # Guards against a connection that goes on, or breaks, after a last request with a trailer.
    async def test_connection_closes_after_a_last_request_with_a_trailer(self) -> None:
        """As its caller asks."""
        last = chunked("/1", b"abc", more=((b"Connection", b"close"),))
        for is_prefetching in (False, True):
            with self.subTest(is_prefetching=is_prefetching):
                reader, writer = await self.connect(is_prefetching=is_prefetching)
                writer.write(get("/0").sent + last.sent)
                await self.check_answers(reader, get("/0"), last)
                self.assertEqual(await asyncio.wait_for(reader.read(), TIMEOUT_S), b"")

    # Guards against trailers that are received without end, or followed by another request.
    async def test_long_trailers_end_the_connection(self) -> None:
        """One of 1 MiB, and many short ones."""
        for trailer in (b"A: " + b"b" * (1 << 20), b"A: b\r\n" * (1 << 18)):
            with self.subTest(trailer=trailer[:9]):
                reader, writer = await self.connect(is_prefetching=True)
                writer.write(UNENDED + trailer + b"\r\n\r\n" + get("/2").sent)
                answers = b""
                # The kernel resets a connection that is closed while bytes arrive.
                with contextlib.suppress(ConnectionError):
                    async with asyncio.timeout(TIMEOUT_S):
                        while part := await reader.read(READ_BYTES):
                            answers += part
                self.assertNotIn(b"/2", answers)
                self.assertNotIn(b"HTTP/1.1 200", answers)


if __name__ == "__main__":
    unittest.main()
