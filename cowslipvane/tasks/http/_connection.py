"""Connections of listeners: what they read, and what they say of what can't be read."""

from __future__ import annotations

from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from cowslipvane.tasks.http._request_parser import RequestParser


class HttpConnection(RequestHandler):
    """A connection on which nothing of one request reaches another."""

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, **options)
        assert self._parser is not None
        self._parser = RequestParser(parser=self._parser)  # type: ignore[assignment]

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that can't be read.

        The message of the parser quotes the head, which may show a key or a token.
        """
        if message is not None:
            message = f"not run: the request can't be read ({type(exc).__name__})"
        return super().handle_error(request, status, exc, message)
