"""Connections whose callers send further requests before the first one is answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from cowslipvane.tasks._signal import Signal

# Requests of one connection that are under way at once; later ones wait for their turn.
MAX_AHEAD = 16
# Only requests that may be repeated are sent ahead of answers, and these have no body.
_METHODS_AHEAD = frozenset({"GET", "HEAD"})


class Prefetcher(NamedTuple):
    """What fetches an answer before its turn, and what gives one up that nobody waits for."""

    fetch: Callable[[web.BaseRequest], Coroutine[Any, Any, Any]]
    discard: Callable[[Any], Coroutine[Any, Any, None]]


class PipelinedConnection(RequestHandler):
    """Fetches answers ahead of their turn; the connection's task sends them in order."""

    def __init__(self, manager: web.Server, *, prefetcher: Prefetcher, **options: Any) -> None:
        super().__init__(manager, **options)
        self._rules = prefetcher
        self._ahead: dict[int, tuple[RawRequestMessage, asyncio.Task[Any]]] = {}
        # The loop itself holds tasks only weakly.
        self._discarding: set[asyncio.Task[None]] = set()
        self._closes_when_answered = False
        self._taken = Signal()

    @property
    def is_ahead(self) -> bool:
        """Return whether answers are being fetched for requests that wait for their turn."""
        return bool(self._ahead)

    def data_received(self, data: bytes) -> None:
        """Take requests in, and begin those that would wait behind another."""
        super().data_received(data)
        if self._close or self._force_close:
            # What waits now is never answered, so its caller sends it again elsewhere.
            return
        behind = self._request_in_progress
        for message, payload in self._messages:
            if behind and isinstance(message, RawRequestMessage) and payload.is_eof():
                self._begin(message, payload)
            behind = True

    def take_ahead(self, message: RawRequestMessage) -> asyncio.Task[Any] | None:
        """Return what fetches the answer to a request whose turn has come, if it was begun."""
        _, task = self._ahead.pop(id(message), (None, None))
        self._taken.send()
        if self._closes_when_answered and not self._ahead:
            super().close()
        return task

    def close(self) -> None:
        """Close the connection once all requests are answered that were begun."""
        if self._ahead:
            self._closes_when_answered = True
        else:
            super().close()

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Close the connection within a timeout, or once all is answered without one."""
        while timeout is None and self._ahead:
            await self._taken.wait()
        await super().shutdown(timeout)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give up what was begun, since nobody waits for it."""
        super().connection_lost(exc)
        for _, task in self._ahead.values():
            if not task.cancel() and task.exception() is None:
                discarding = asyncio.create_task(self._rules.discard(task.result()))
                self._discarding.add(discarding)
                discarding.add_done_callback(self._discarding.discard)
        self._ahead.clear()
        self._taken.send()

    def _begin(self, message: RawRequestMessage, payload: Any) -> None:
        """Begin to fetch the answer to a request that has no body."""
        if message.method not in _METHODS_AHEAD or id(message) in self._ahead:
            return
        if len(self._ahead) >= MAX_AHEAD or self._request_factory is None:
            return
        # The request is only read here; the connection's task makes its own to answer it.
        request = self._request_factory(message, payload, self, None, None)  # type: ignore[arg-type]
        self._ahead[id(message)] = message, asyncio.create_task(self._rules.fetch(request))


def take_prefetched(http: web.BaseRequest) -> asyncio.Task[Any] | None:
    """Return what fetches the answer to a request, if it was begun before its turn."""
    match http.protocol:
        case PipelinedConnection() as connection:
            return connection.take_ahead(http._message)
        case _:
            return None


def is_last_for_now(http: web.BaseRequest) -> bool:
    """Return whether no request behind this one has been begun."""
    match http.protocol:
        case PipelinedConnection(is_ahead=ahead):
            return not ahead
        case _:
            return True
