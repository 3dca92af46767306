"""HTTP pipelining: responses are prefetched for requests that wait behind another one."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any, NamedTuple

from aiohttp import EMPTY_PAYLOAD, HttpVersion11, StreamReader, web
from aiohttp.http import RawRequestMessage, StreamWriter

from cowslipvane.call import ClosedByCaller, ConnectionEnd, ProcessExited, head_fault
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.http._request_parser import RequestConnection
from cowslipvane.types import Seconds
from cowslipvane.wire import unsent_bytes

# Requests of one connection whose responses are prefetched concurrently; later ones wait.
MAX_PREFETCHED = 16
# Clients pipeline only requests that may be repeated, and these have no body.
_PREFETCHED_METHODS = frozenset({"GET", "HEAD"})
# A linger time of zero makes the operating system send a reset instead of an orderly close.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CLOSED_BY_CALLER = ClosedByCaller()
# Bytes of a head, or of chunk sizes, extensions and trailers, that neither complete a request nor
# add to its body.
MAX_FRAMING_BYTES = 128 << 10
# How long a caller has for closing its side of a connection, after its last response.
LINGER_TIMEOUT: Seconds = 1.0
# How long the caller has for receiving what was written, before its connection is reset.
DELIVERY_TIMEOUT: Seconds = 2.0
DELIVERY_CHECK_INTERVAL: Seconds = 0.01


class MalformedBody(Exception):
    """The body of a request can't be read to its end."""


class _Received(NamedTuple):
    """What a connection has received that counts as progress."""

    requests: int
    body_bytes: int
    is_body_whole: bool


class Prefetcher(NamedTuple):
    """Functions that fetch a response early, and discard one that is no longer needed."""

    fetch: Callable[[web.BaseRequest], Coroutine[Any, Any, Any]]
    discard: Callable[[Any, ConnectionEnd], Coroutine[Any, Any, None]]


class PipelinedConnection(RequestConnection):
    """Prefetches responses; the connection's task sends them in the order of the requests."""

    def __init__(self, manager: web.Server, *, prefetcher: Prefetcher, **options: Any) -> None:
        super().__init__(manager, **options)
        self._prefetcher = prefetcher
        # Keyed by id(message); the message is kept so that its id isn't reused.
        self._prefetched: dict[int, tuple[RawRequestMessage, asyncio.Task[Any]]] = {}
        # The event loop keeps only weak references to tasks.
        self._discarding: set[asyncio.Task[None]] = set()
        self._close_when_finished = False
        self._is_in_parts = False
        self._prefetching_stopped = False
        # Sent when a prefetched response is popped, and when the connection closes.
        self._progressed = Signal()
        # The body of the last request that has begun to arrive; those of earlier ones are complete.
        self._newest_body: StreamReader = EMPTY_PAYLOAD
        # Bytes since the last progress.
        self._framing_bytes = 0
        self._is_malformed = False
        self._end: ConnectionEnd = _CLOSED_BY_CALLER
        self._is_reset = False
        self._is_flushed = False

    @property
    def end(self) -> ConnectionEnd:
        """Return why the connection has ended; its caller closed it unless this process did."""
        return self._end

    @property
    def is_flushed(self) -> bool:
        """Return whether the connection has ended after all that was written had been sent."""
        return self._is_flushed

    @property
    def has_prefetched(self) -> bool:
        """Return whether responses are being prefetched, or are ready to be sent."""
        return bool(self._prefetched)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let a write end only once the kernel has taken all of it."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)

    def data_received(self, data: bytes) -> None:
        """Receive requests, and start prefetching for those that wait behind another."""
        if self._is_malformed:
            return
        before = self._received
        super().data_received(data)
        if self._close or self._force_close:
            # These requests will get no response, so their caller repeats them elsewhere.
            return
        if self._messages and not isinstance(self._messages[-1][0], RawRequestMessage):
            self._stop_receiving("its body is invalid")
        elif self._messages:
            self._newest_body = self._messages[-1][1]
        self._limit_framing(before, len(data))
        self._prefetch_waiting()
        self._close_if_finished()

    def eof_received(self) -> None:
        """Treat a caller that ends its sending as one that has left; asyncio closes the connection.

        The two can't be told apart, and a request must not go on for a caller that has left.
        """
        if self._is_in_parts:
            self.reset(_CLOSED_BY_CALLER)

    def force_close(self) -> None:
        """Close the connection; reset it within a response, of which a part must not look whole."""
        if self._is_in_parts and self.transport is not None:
            self._is_reset = True
            _reset(self.transport)
        super().force_close()

    def begin_parts(self) -> None:
        """Pass on no request that waits, since the response being sent in parts may break."""
        self._is_in_parts = True

    def end_parts(self) -> None:
        """Prefetch again for the requests that wait."""
        self._is_in_parts = False
        self._prefetch_waiting()

    def stop_prefetching(self) -> None:
        """Pass on no further request, since the connection is closed after the current response."""
        self._prefetching_stopped = True

    def pop_prefetched(self, message: RawRequestMessage) -> asyncio.Task[Any] | None:
        """Remove and return the task that prefetches the response to a request, if there is one."""
        _, task = self._prefetched.pop(id(message), (None, None))
        self._progressed.send()
        self._close_if_finished()
        return task

    def finish(self) -> None:
        """Close the connection after the responses to what was passed on or is being received."""
        self._close_when_finished = True
        self._close_if_finished()

    async def linger(self) -> None:
        """End sending, and drop what arrives until the caller closes its side, or the timeout.

        The kernel resets a connection that is closed while something arrives. The caller would lose
        the part of the last response that it has not received yet.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.close()
        # OSError: the caller has just reset the connection.
        with suppress(TimeoutError, OSError):
            transport.write_eof()
            async with asyncio.timeout(LINGER_TIMEOUT):
                while self.transport is not None:
                    await self._progressed.wait()
        self.force_close()

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Close the connection once it has finished, or after a timeout."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while self._is_unfinished:
                    await self._progressed.wait()
        if timeout is not None:
            self._end = ProcessExited(reason="the process is exiting")
        await super().shutdown(timeout)

    def reset(self, end: ConnectionEnd) -> None:
        """Reset the connection, and keep the reason for the requests that it ends."""
        if self.transport is None:
            return
        self._end = end
        self._is_reset = True
        _reset(self.transport)

    async def reset_after_delivery(self, end: ConnectionEnd) -> None:
        """Reset the connection once the caller has what was written before, or after a timeout.

        A reset drops what the kernel hasn't sent yet, also of whole responses before a broken one.
        """
        transport = self.transport
        if transport is None:
            return
        self.stop_prefetching()
        self._end = end
        with suppress(TimeoutError):
            async with asyncio.timeout(DELIVERY_TIMEOUT):
                while not transport.is_closing() and unsent_bytes(transport):
                    await self._progressed.wait(DELIVERY_CHECK_INTERVAL)
        self.reset(end)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the prefetching tasks, and discard the responses that are ready."""
        self._is_flushed = exc is None and not self._is_reset
        super().connection_lost(exc)
        for _, task in self._prefetched.values():
            if not task.cancel() and task.exception() is None:
                discarding = asyncio.create_task(self._prefetcher.discard(task.result(), self._end))
                self._discarding.add(discarding)
                discarding.add_done_callback(self._discarding.discard)
        self._prefetched.clear()
        self._progressed.send()

    @property
    def _is_unfinished(self) -> bool:
        """Return whether a request is being received, or a prefetched response must be sent."""
        if self.transport is None:
            return False
        return bool(self._prefetched) or not self._newest_body.is_eof()

    @property
    def _received(self) -> _Received:
        """Return what has been received so far."""
        body = self._newest_body
        return _Received(self._request_count, body.total_bytes, body.is_eof())

    def _limit_framing(self, before: _Received, size: int) -> None:
        """Receive no more from a caller that has sent much without any progress."""
        self._framing_bytes = self._framing_bytes + size if self._received == before else 0
        if self._framing_bytes <= MAX_FRAMING_BYTES:
            return
        if not self._newest_body.is_eof() or self._request_in_progress or self._messages:
            self._stop_receiving(f"no byte of its body came in {MAX_FRAMING_BYTES} bytes")
            self.finish()
        else:
            self.force_close()

    def _stop_receiving(self, reason: str) -> None:
        """Drop all that is received from now on, and fail the body that it would complete."""
        self._is_malformed = True
        if not self._newest_body.is_eof():
            self._newest_body.set_exception(MalformedBody(reason))
            self._newest_body = EMPTY_PAYLOAD

    def _close_if_finished(self) -> None:
        """Receive nothing more, and close after the current response, if it is the last one.

        From then on, what arrives is dropped, also the rest of a body.
        """
        if self._close_when_finished and not self._is_unfinished:
            self.close()
            self._progressed.send()

    def _prefetch_waiting(self) -> None:
        """Prefetch for each request that waits, up to one whose response closes the connection."""
        if self._is_in_parts or self._prefetching_stopped or self._close_when_finished:
            return
        is_waiting = self._request_in_progress
        previous: RawRequestMessage | None = None
        for message, payload in self._messages:
            if not isinstance(message, RawRequestMessage):
                return
            if previous is not None and _closes_connection(previous):
                return
            if is_waiting and payload.is_eof():
                self._prefetch(message, payload)
            is_waiting = True
            previous = message

    def _prefetch(self, message: RawRequestMessage, payload: Any) -> None:
        """Start prefetching the response to a request that has no body."""
        if message.method not in _PREFETCHED_METHODS or id(message) in self._prefetched:
            return
        if len(self._prefetched) >= MAX_PREFETCHED or self._request_factory is None:
            return
        # This request is only read; the connection's task creates its own to respond to.
        request = self._request_factory(message, payload, self, None, None)  # type: ignore[arg-type]
        self._prefetched[id(message)] = message, asyncio.create_task(
            self._prefetcher.fetch(request)
        )


def pop_prefetched(http: web.BaseRequest) -> asyncio.Task[Any] | None:
    """Remove and return the task that prefetches the response to a request, if there is one."""
    match http.protocol:
        case PipelinedConnection() as connection:
            return connection.pop_prefetched(http._message)
        case _:
            return None


def begin_parts(http: web.BaseRequest) -> None:
    """Prepare the connection for a response that is sent in parts."""
    match http.protocol:
        case PipelinedConnection() as connection:
            connection.begin_parts()


def end_parts(http: web.BaseRequest) -> None:
    """Continue the connection after a response that was sent in parts."""
    match http.protocol:
        case PipelinedConnection() as connection:
            connection.end_parts()


def withdraw_parts(http: web.BaseRequest) -> None:
    """Let another response be sent in place of one in parts of which nothing was sent."""
    match http.writer:
        case StreamWriter() as writer:
            writer.chunked = False
    end_parts(http)


def stop_prefetching(http: web.BaseRequest) -> None:
    """Pass on no request behind this one."""
    match http.protocol:
        case PipelinedConnection() as connection:
            connection.stop_prefetching()


async def linger(http: web.BaseRequest) -> None:
    """Wait until the caller has received the last response and closed its side."""
    match http.protocol:
        case PipelinedConnection() as connection:
            await connection.linger()


def is_last_in_progress(http: web.BaseRequest) -> bool:
    """Return whether no response to a later request is being prefetched or is ready."""
    match http.protocol:
        case PipelinedConnection(has_prefetched=has_prefetched):
            return not has_prefetched
        case _:
            return True


def is_closed(http: web.BaseRequest) -> bool:
    """Return whether the connection of a request is closed or closing."""
    return http.transport is None or http.transport.is_closing()


def is_sent(http: web.BaseRequest) -> bool:
    """Return whether the response was sent whole, though its connection has ended.

    A response of known length is written at once; the connection is reset within any other.
    """
    match http.protocol:
        case PipelinedConnection(is_flushed=True):
            return http.writer.output_size > 0
        case _:
            return False


def connection_end(http: web.BaseRequest) -> ConnectionEnd:
    """Return why the connection of a request has ended."""
    match http.protocol:
        case PipelinedConnection(end=end):
            return end
        case _:
            return _CLOSED_BY_CALLER


async def reset_connection(http: web.BaseRequest, end: ConnectionEnd) -> None:
    """Reset the connection of a request, once what was written has been received."""
    match http.protocol:
        case PipelinedConnection() as connection:
            await connection.reset_after_delivery(end)
        case _ if http.transport is not None:
            _reset(http.transport)


def _closes_connection(message: RawRequestMessage) -> bool:
    """Return whether the connection is closed after the response to a request."""
    return message.should_close or bool(
        head_fault(
            target=message.path,
            http_1_1=message.version >= HttpVersion11,
            fields=message.headers.items(),
        )
    )


def _reset(transport: asyncio.Transport) -> None:
    """Reset a connection; a caller that reads until it is closed sees the failure then."""
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
