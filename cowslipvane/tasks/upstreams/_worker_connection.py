"""One HTTP/1.1 connection from an owner to its worker.

It replaces aiohttp's client, and uses aiohttp's parser. The client doesn't report whether a
response without a length ended or was reset, reads stray bytes as the next response, and resends a
request by itself when a reused connection breaks.
"""

from __future__ import annotations

import asyncio
import select
from http import HTTPStatus
from typing import NamedTuple

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import StreamReader

from cowslipvane.response_timeout import ResponseTimeout
from cowslipvane.tasks.http import ChunkedBody
from cowslipvane.types import Address, Headers, Seconds

# A worker on the same host accepts a connection within this time, or is not running.
CONNECT_TIMEOUT: Seconds = 0.3
# Bytes of a body that are buffered before reading from the connection is paused.
READ_BUFFER_BYTES = 64 << 10
# The largest line or field of a response's head.
MAX_FIELD_BYTES = 64 << 10
# The largest head of a response, with the interim responses before it.
MAX_HEAD_BYTES = 128 << 10
# Interim responses, and blank lines, before a response.
MAX_INTERIM_RESPONSES = 16
# Chunk sizes, extensions and trailers that come without a byte of the body.
MAX_FRAMING_BYTES = 64 << 10
# Responses that were received and not read yet; all but one are stray.
MAX_UNREAD_RESPONSES = 4
# The largest body that is joined with its head, to be sent in one segment if it is small.
MAX_JOINED_BYTES = 64 << 10
# Statuses that a response may have, by RFC 9110.
STATUSES = range(100, 600)
# The part of a parser's error that is reported; it quotes what was received.
MAX_REASON_CHARS = 160
# An idle connection is reused within this time, unless the worker announces a shorter one.
MAX_IDLE_TIME: Seconds = 5.0
# Subtracted from the idle timeout that the worker announces, since that may expire while a
# request is in transit.
IDLE_MARGIN: Seconds = 1.0
_LINE_BREAK = b"\r\n"
_END_OF_HEAD = b"\r\n\r\n"


class WorkerUnreachable(Exception):
    """No connection could be made, so nothing was sent."""


class AnswerBroken(Exception):
    """The response to the request is invalid or incomplete."""


class ResponseHead(NamedTuple):
    """The status and fields of a response, and the body that follows."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: StreamReader
    # Whether another request may be sent on the connection once the body is complete.
    allows_reuse: bool

    def field(self, name: str) -> str | None:
        """Return the first value of a field, None if it is absent."""
        lower = name.lower()
        return next((value for field, value in self.fields if field.lower() == lower), None)


class WorkerConnection(BaseProtocol):
    """Sends one request at a time, and reads the response to it."""

    def __init__(self) -> None:
        super().__init__(asyncio.get_running_loop())
        self._heads: asyncio.Queue[ResponseHead | AnswerBroken] = asyncio.Queue()
        self._body: StreamReader | None = None
        # The framing of the body, None if it isn't in chunks, or in odd ones.
        self._chunks: ChunkedBody | None = None
        self._reusable = False
        self._worker_closed = False
        # Since the last response whose head is complete; blank lines count as interim responses.
        self._head_bytes = 0
        self._interim_responses = 0
        self._framing_bytes = 0
        self._usable_until = 0.0

    @classmethod
    async def open(cls, address: Address) -> WorkerConnection:
        """Connect to a worker; raise WorkerUnreachable when that fails."""
        loop = asyncio.get_running_loop()
        try:
            async with ResponseTimeout(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(cls, address.ip, address.port)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # ValueError and OverflowError: the address is none.
            raise WorkerUnreachable(f"{address}: {error}") from error
        return connection

    @property
    def is_usable(self) -> bool:
        """Return whether another request may be sent.

        Bytes that wait to be read, or the end of the connection, came before the request.
        """
        if not self._reusable or self.transport is None:
            return False
        return self._loop.time() < self._usable_until and not _is_readable(self.transport)

    async def send_request(self, head: bytes, body: bytes, *, has_body: bool) -> ResponseHead:
        """Send a request and return the head of its response; raise AnswerBroken without one."""
        if self.transport is None:
            raise AnswerBroken("the connection is closed")
        self._reusable = False
        self._head_bytes = self._interim_responses = 0
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        # The body is written as a whole: a worker that responds early still gets all of it, and
        # doesn't read the next request as the rest of this body.
        if len(body) <= MAX_JOINED_BYTES:
            self.transport.write(head + body)
        else:
            self.transport.write(head)
            # A slice of a memoryview isn't another copy of what can't be sent yet.
            self.transport.write(memoryview(body))
        return await self.next_head()

    async def next_head(self) -> ResponseHead:
        """Return the head of the next response on the connection."""
        match await self._heads.get():
            case AnswerBroken() as error:
                raise error
            case head:
                return head

    def keep_alive(self, head: ResponseHead) -> None:
        """Keep the connection if the response is complete and allows reuse; close it otherwise."""
        if self._body is None or not self._body.is_eof() or self._has_received_more():
            self.close()
            return
        self._reusable = self.connected and head.allows_reuse
        self._usable_until = self._loop.time() + _max_idle(head)
        self._parser = None
        self._body = None
        if not self._reusable:
            self.close()

    def close(self) -> None:
        """Abort the connection; a worker that is running a request notices it."""
        self._reusable = False
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; unsolicited bytes close the connection."""
        if self._parser is None:
            if data:
                self.close()
            return
        if not data and self._is_in_body:
            # The parser goes on with a body after a pause.
            self._parse_body(data)
        while data and self._parser is not None:
            data = self._parse_body(data) if self._is_in_body else self._parse_head(data)

    def eof_received(self) -> None:
        """Record that the worker closed the connection; asyncio closes this side as well."""
        self._worker_closed = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the current response.

        A body without a length is complete only if the worker closed the connection, not if it was
        reset, or closed by this side.
        """
        super().connection_lost(exc)
        parser, self._parser = self._parser, None
        if parser is None:
            return
        if self._worker_closed and exc is None:
            try:
                parser.feed_eof()
            except Exception as error:
                reason = repr(error)[:MAX_REASON_CHARS]
                self._fail(f"the connection ended within an answer: {reason}")
        if self._body is None or not self._body.is_eof():
            self._fail(f"the connection was lost: {exc!r}")
        else:
            self._heads.put_nowait(AnswerBroken("the connection is closed"))

    @property
    def _is_in_body(self) -> bool:
        """Return whether the next bytes belong to the body of a response."""
        return self._body is not None and not self._body.is_eof()

    def _has_received_more(self) -> bool:
        """Return whether anything was received behind the response, if only a part of a head."""
        if self._parser is None or self._interim_responses or not self._heads.empty():
            return True
        try:
            # At the end of a connection the parser returns the response that has begun.
            return self._parser.feed_eof() is not None
        except Exception:
            return True

    def _parse_head(self, data: bytes) -> bytes:
        """Parse up to the end of a head, and return the bytes after it.

        The parser gets a head by itself, since it returns no response if it fails later in the
        same bytes.
        """
        end = data.find(_END_OF_HEAD)
        size = len(data) if end < 0 else end + len(_END_OF_HEAD)
        size = min(size, MAX_HEAD_BYTES - self._head_bytes)
        self._head_bytes += size
        self._interim_responses += data.startswith(_LINE_BREAK)
        if not self._parse(data[:size]):
            if self._head_bytes >= MAX_HEAD_BYTES:
                self._fail(f"no answer in {MAX_HEAD_BYTES} bytes")
            elif self._interim_responses > MAX_INTERIM_RESPONSES:
                self._fail(f"no answer after {MAX_INTERIM_RESPONSES} interim ones")
        return data[size:]

    def _parse_body(self, data: bytes) -> bytes:
        """Parse bytes of a body, limit those that add nothing to it, and return the bytes after it.

        The parser gets no trailer fields: it would add the last one to the next response.
        """
        body = self._body
        assert body is not None
        body_bytes = body.total_bytes
        part, rest = self._filter(data)
        self._parse(part)
        if body.total_bytes > body_bytes or body.is_eof():
            self._framing_bytes = 0
            return rest
        self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._fail(f"no byte of the body in {MAX_FRAMING_BYTES} bytes")
        return rest

    def _filter(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the bytes of a body without its trailer fields, and those after it."""
        if self._chunks is None:
            return data, b""
        try:
            return self._chunks.filter(data)
        except BadHttpMessage as error:
            self._fail(f"its chunks are invalid: {error.message}")
            return b"", b""

    def _parse(self, data: bytes) -> bool:
        """Parse bytes, and return whether the head of a response was completed."""
        if self._parser is None:
            return False
        try:
            messages, _, _ = self._parser.feed_data(data)
        except Exception as error:
            self._fail(f"the worker sent no valid HTTP: {repr(error)[:MAX_REASON_CHARS]}")
            return False
        completed = False
        for message, payload in messages:
            if message.code not in STATUSES:
                self._fail(f"the worker sent the status {message.code}")
                return False
            if _is_interim(message):
                self._interim_responses += 1
            elif self._parser is not None:
                self._queue_head(message, payload)
                completed = True
        return completed

    def _queue_head(self, message: RawResponseMessage, payload: StreamReader) -> None:
        """Queue the head of a response."""
        self._head_bytes = self._interim_responses = self._framing_bytes = 0
        if self._heads.qsize() >= MAX_UNREAD_RESPONSES:
            self._fail("the worker sent too many answers")
            return
        if not _has_known_coding(message):
            self._fail("its body comes in a transfer coding other than chunked")
            return
        self._body = payload
        self._chunks = ChunkedBody() if message.chunked and not payload.is_eof() else None
        fields = tuple((name, value) for name, value in message.headers.items())
        allows_reuse = not message.should_close
        self._heads.put_nowait(ResponseHead(message.code, fields, payload, allows_reuse))

    def _fail(self, reason: str) -> None:
        """Fail the body and every waiter with an error, and close the connection."""
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(AnswerBroken(reason))
        self._heads.put_nowait(AnswerBroken(reason))
        self._parser = None
        self.close()


def request_head(method: str, target: str, headers: Headers, body_bytes: int) -> bytes:
    """Return the head of a request as bytes; raise ValueError when it can't be sent unchanged."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{header.name}: {header.value}" for header in headers]
    if body_bytes or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {body_bytes}")
    if any("\r" in line or "\n" in line or "\0" in line for line in lines):
        raise ValueError("a line of the request's head holds a line break")
    if " " in method or " " in target:
        raise ValueError("the request line holds a space too many")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")


def _is_readable(transport: asyncio.Transport) -> bool:
    """Return whether bytes, an error or the end of a connection wait to be read."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _is_interim(message: RawResponseMessage) -> bool:
    """Return whether a response is followed by another one to the same request."""
    return message.code < HTTPStatus.OK


def _has_known_coding(message: RawResponseMessage) -> bool:
    """Return whether the body of a response is in chunks, or in no transfer coding."""
    codings = [value.strip().lower() for value in message.headers.getall("Transfer-Encoding", ())]
    return codings in ([], ["chunked"])


def _max_idle(head: ResponseHead) -> Seconds:
    """Return how long the connection may stay idle after a response."""
    field = head.field("Keep-Alive") or ""
    for part in field.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return min(MAX_IDLE_TIME, float(value) - IDLE_MARGIN)
    return MAX_IDLE_TIME
