"""One HTTP/1.1 connection from an owner to its worker.

It replaces aiohttp's client, and uses aiohttp's parser. The client doesn't report whether a
response without a length ended or was reset, reads stray bytes as the next response, and resends a
request by itself when a reused connection breaks.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage
from aiohttp.streams import StreamReader

from cowslipvane.types import Address, Headers, Seconds

# A worker on the same host accepts a connection within this time, or is not running.
CONNECT_TIMEOUT: Seconds = 0.3
# Bytes of a body that are buffered before reading from the connection is paused.
READ_BUFFER_BYTES = 64 << 10
# The largest line or field of a response's head.
MAX_FIELD_BYTES = 64 << 10
# An idle connection is reused within this time, unless the worker announces a shorter one.
MAX_IDLE_TIME: Seconds = 5.0
# Subtracted from the idle timeout that the worker announces, since that may expire while a
# request is in transit.
IDLE_MARGIN: Seconds = 1.0


class WorkerUnreachable(Exception):
    """No connection could be made, so nothing was sent."""


class AnswerBroken(Exception):
    """The response to the request is invalid or incomplete."""


class ResponseHead(NamedTuple):
    """The status and fields of a response, and the body that follows."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: StreamReader

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
        self._reusable = False
        self._response_allows_reuse = False
        self._worker_closed = False
        self._usable_until = 0.0

    @classmethod
    async def open(cls, address: Address) -> WorkerConnection:
        """Connect to a worker; raise WorkerUnreachable when that fails."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(cls, address.ip, address.port)
        except (OSError, TimeoutError) as error:
            raise WorkerUnreachable(f"{address}: {error}") from error
        return connection

    @property
    def is_usable(self) -> bool:
        """Return whether another request may be sent."""
        return self._reusable and self.connected and self._loop.time() < self._usable_until

    async def send_request(self, head: bytes, body: bytes, *, has_body: bool) -> ResponseHead:
        """Send a request and return the head of its response; raise AnswerBroken without one."""
        if self.transport is None:
            raise AnswerBroken("the connection is closed")
        self._reusable = False
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
        self.transport.write(head + body)
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
        if self._body is None or not self._body.is_eof() or not self._heads.empty():
            self.close()
            return
        self._reusable = self.connected and self._response_allows_reuse
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
        try:
            messages, _, _ = self._parser.feed_data(data)
        except Exception as error:
            self._fail(f"the worker sent no valid HTTP: {error!r}")
            return
        for message, payload in messages:
            self._queue_head(message, payload)

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
                self._fail(f"the connection ended within an answer: {error!r}")
        if self._body is None or not self._body.is_eof():
            self._fail(f"the connection was lost: {exc!r}")
        else:
            self._heads.put_nowait(AnswerBroken("the connection is closed"))

    def _queue_head(self, message: RawResponseMessage, payload: StreamReader) -> None:
        """Queue the head of a response, unless it is an interim one."""
        if message.code < 200:
            return
        self._body = payload
        self._response_allows_reuse = not message.should_close
        fields = tuple((name, value) for name, value in message.headers.items())
        self._heads.put_nowait(ResponseHead(message.code, fields, payload))

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


def _max_idle(head: ResponseHead) -> Seconds:
    """Return how long the connection may stay idle after a response."""
    field = head.field("Keep-Alive") or ""
    for part in field.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return min(MAX_IDLE_TIME, float(value) - IDLE_MARGIN)
    return MAX_IDLE_TIME
