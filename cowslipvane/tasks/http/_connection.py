"""Connections that don't quote a request that can't be read."""

from __future__ import annotations

from aiohttp import web
from aiohttp.web_protocol import RequestHandler


class HttpConnection(RequestHandler):
    """A connection of a listener."""

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
