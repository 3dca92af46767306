"""HTTP for the listeners of operators and callers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from cowslipvane.tasks._pipeline import PipelinedConnection, Prefetcher
from cowslipvane.types import Address, Seconds

# The largest line or field of a request's head.
MAX_HEAD_BYTES = 16 << 10
# How long a closing listener leaves to the answers under way; an exit closes several in turn.
CLOSE_TIME: Seconds = 0.1

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _CallersServer(web.Server):
    """A server whose connections fetch answers ahead of their turn."""

    def __init__(self, handler: Handler, *, ahead: Prefetcher, **options: Any) -> None:
        super().__init__(handler, **options)
        self._ahead = ahead

    def __call__(self) -> PipelinedConnection:
        """Return the protocol of a new connection."""
        return PipelinedConnection(self, prefetcher=self._ahead, loop=self._loop, **self._kwargs)


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
            "max_line_size": MAX_HEAD_BYTES,
            "max_field_size": MAX_HEAD_BYTES,
        }
        if prefetcher is None:
            self._server = web.Server(handler, **options)
        else:
            # A request whose sender has closed the connection is cancelled.
            self._server = _CallersServer(
                handler, ahead=prefetcher, handler_cancellation=True, **options
            )
        self._address = address
        self._listener: asyncio.Server | None = None

    def stop_listening(self) -> None:
        """Take no new connection; those that are open go on."""
        if self._listener is not None:
            self._listener.close()

    async def finish(self) -> None:
        """Close the idle connections, and each of the others after its answer."""
        # The first call wakes the idle ones, without which the second would wait for them.
        self._server.pre_shutdown()
        await self._server.shutdown(timeout=None)

    async def __aenter__(self) -> None:
        """Begin to listen."""
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
        self.stop_listening()
        await self._server.shutdown(timeout=CLOSE_TIME)


def error_response(status: int, sentence: str) -> web.Response:
    """Return an error that says what to do."""
    return web.json_response({"outcome": "not run", "sentence": sentence}, status=status)


def _is_own_fault(record: logging.LogRecord) -> bool:
    """Return whether a log record is of more than a request that was answered as malformed."""
    error = record.exc_info[1] if record.exc_info else None
    return not isinstance(error, HttpProcessingError)
