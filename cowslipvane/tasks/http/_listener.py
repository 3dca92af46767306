"""The HTTP listeners for operators and callers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from cowslipvane.tasks.http._connection import HttpConnection
from cowslipvane.tasks.http._pipeline import PipelinedConnection, Prefetcher
from cowslipvane.types import Address, Seconds

# Maximum size of a line or a field in the head of a request.
MAX_FIELD_BYTES = 16 << 10
# Time to finish pending responses on closing. It is short, since an exit closes several listeners
# in sequence.
CLOSE_TIMEOUT: Seconds = 0.1
# Iterations of the event loop in which it accepts the connections that wait in the kernel, and in
# which it sets up a connection that it has accepted.
ITERATIONS_TO_ACCEPT = 2
ITERATIONS_TO_SET_UP = 3

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _Server(web.Server):
    """A server on whose connections nothing of one request reaches another."""

    def __call__(self) -> HttpConnection:
        """Return the protocol for a new connection."""
        return HttpConnection(self, loop=self._loop, **self._kwargs)


class _CallersServer(_Server):
    """A server whose connections prefetch the responses to pipelined requests."""

    def __init__(self, handler: Handler, *, prefetcher: Prefetcher, **options: Any) -> None:
        super().__init__(handler, **options)
        self._prefetcher = prefetcher

    def __call__(self) -> PipelinedConnection:
        """Return the protocol for a new connection."""
        return PipelinedConnection(
            self, prefetcher=self._prefetcher, loop=self._loop, **self._kwargs
        )

    def pre_shutdown(self) -> None:
        """Close the idle connections, and let each of the others finish."""
        for connection in self.connections:
            match connection:
                case PipelinedConnection():
                    connection.finish()


class HttpListener:
    """An aiohttp low-level server on one address."""

    def __init__(
        self,
        *,
        handler: Handler,
        address: Address,
        prefetcher: Prefetcher | None = None,
    ) -> None:
        logging.getLogger("aiohttp.server").addFilter(_is_own_fault)
        options: dict[str, Any] = {
            "access_log": None,
            "max_line_size": MAX_FIELD_BYTES,
            "max_field_size": MAX_FIELD_BYTES,
        }
        if prefetcher is None:
            self._server: _Server = _Server(handler, **options)
        else:
            self._server = _CallersServer(
                handler,
                prefetcher=prefetcher,
                # The handler is cancelled when the caller closes the connection.
                handler_cancellation=True,
                # Bodies are forwarded as they were sent.
                auto_decompress=False,
                **options,
            )
        self._address = address
        self._listener: asyncio.Server | None = None

    async def stop_listening(self) -> None:
        """Accept no new connections; open ones continue."""
        if self._listener is None:
            return
        listener, self._listener = self._listener, None
        # Connections that wait in the kernel would be reset.
        await _run_iterations(ITERATIONS_TO_ACCEPT)
        for listening in listener.sockets:
            asyncio.get_running_loop().remove_reader(listening)
        # An accepted connection is lost, and never closed, if its listener closes before the event
        # loop has set it up.
        await _run_iterations(ITERATIONS_TO_SET_UP)
        listener.close()

    async def finish(self) -> None:
        """Close the idle connections, and each of the others after its response."""
        # Without the first call, which wakes idle connections, the second would wait for them.
        self._server.pre_shutdown()
        await self._server.shutdown(timeout=None)

    async def __aenter__(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, self._address.ip, self._address.port, reuse_address=True
        )

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the listener and its connections."""
        await self.stop_listening()
        await self._server.shutdown(timeout=CLOSE_TIMEOUT)


async def _run_iterations(count: int) -> None:
    """Let the event loop run some iterations."""
    for _ in range(count):
        await asyncio.sleep(0)


def error_response(status: int, sentence: str) -> web.Response:
    """Return an error response whose sentence says what to do."""
    return web.json_response({"outcome": "not run", "sentence": sentence}, status=status)


def _is_own_fault(record: logging.LogRecord) -> bool:
    """Return whether a log record reports a fault of this process, not a malformed request."""
    error = record.exc_info[1] if record.exc_info else None
    return not isinstance(error, HttpProcessingError)
