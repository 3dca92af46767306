"""HTTP from an owner to its worker: nothing is sent twice, kept back or spelt anew."""

from __future__ import annotations

import aiohttp
from yarl import URL

from cowslipvane.call import end_to_end
from cowslipvane.membership import Worker
from cowslipvane.types import Header, Headers

# Tells the worker how many milliseconds are left until nobody waits for the answer.
TIMEOUT_HEADER = "X-Request-Timeout-Ms"


class OneSend:
    """Keeps the HTTP client from sending a request again by itself.

    The client does that when a kept-alive connection breaks, though the worker may have run it.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send a request once; raise ServerDisconnectedError at the second time."""
        if self._sent:
            raise aiohttp.ServerDisconnectedError
        self._sent = True
        return await handler(request)


def worker_url(worker: Worker, target: str) -> URL:
    """Return the URL of a target at the worker, whatever the target looks like."""
    path, _, query = target.partition("?")
    ip, port = worker.address
    return URL.build(scheme="http", host=ip, port=port, path=path, query_string=query, encoded=True)


def worker_session(worker: Worker) -> aiohttp.ClientSession:
    """Return the session of one slot: one connection to the worker."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1),
        auto_decompress=False,
        # A jar would send one caller's cookies with another caller's request.
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )


def same_spelling(headers: Headers) -> list[tuple[str, str]]:
    """Return the fields with one spelling of each name.

    The HTTP client drops a field when a later one has the same name in another case.
    """
    spelling: dict[str, str] = {}
    return [(spelling.setdefault(name.lower(), name), value) for name, value in headers]


def answer_headers(method: str, response: aiohttp.ClientResponse) -> Headers:
    """Return the fields to pass on; an answer without a body keeps the length that it tells."""
    headers = end_to_end(response.headers.items())
    length = response.headers.get("Content-Length")
    if length is not None and method == "HEAD":
        return (*headers, Header("Content-Length", length))
    return headers
