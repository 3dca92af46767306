"""HTTP between an owner and its worker: one request, and the response to it."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from cowslipvane.call import HeaderNames, Request, end_to_end_headers
from cowslipvane.membership import Worker
from cowslipvane.tasks.upstreams._worker_connection import (
    AnswerBroken,
    ResponseHead,
    WorkerConnection,
    request_head,
)
from cowslipvane.types import Header, Headers, Seconds

# Maximum number of responses to earlier requests that are skipped before the expected one.
MAX_STRAY_RESPONSES = 2
# The largest body of a stray response or a refusal that is skipped to reach what follows.
MAX_SKIPPED_BYTES = 64 << 10
# How long the body of a refusal may take, before its connection is closed instead.
REFUSAL_BODY_TIMEOUT: Seconds = 0.1
# Refusals on one connection, after which it isn't reused.
MAX_REFUSALS = 256
# The value of the field that a worker sets once it is leaving.
_IS_LEAVING = "1"
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,30})?")


class WorkerState(NamedTuple):
    """What a worker says of itself in an answer to a request.

    asked_at is when the request was sent, in time.monotonic seconds; requests_per_s is None if the
    worker names no limit.
    """

    asked_at: float
    requests_per_s: float | None
    is_leaving: bool


class NotRun(Exception):
    """The worker reports that it did not run the request."""


class SlotConnection:
    """The connection of one slot to the worker, opened on demand."""

    def __init__(
        self,
        *,
        worker: Worker,
        header_names: HeaderNames,
        report_state: Callable[[WorkerState], None] | None = None,
    ) -> None:
        """Report what the worker says of itself in each answer to a function, if there is one."""
        self._report_state = report_state
        self._worker = worker
        self._header_names = header_names
        self._connection: WorkerConnection | None = None
        # The requests that were refused on the connection, by id.
        self._refused_ids: set[str] = set()
        self._has_stray = False

    async def send_request(self, request: Request, remaining_ms: int) -> ResponseHead:
        """Send a request once, and return the head of its response.

        Raise WorkerUnreachable when nothing was sent, NotRun when the worker reports it, and
        AnswerBroken when the request may have run.
        """
        headers = self._header_names.headers_to_worker(
            request.headers, remaining_ms, self._worker.instance
        )
        if request.header("Host") is None:
            headers = (Header("Host", str(self._worker.address)), *headers)
        head = request_head(request.method, request.path, headers, len(request.body))
        connection = self._connection
        is_fresh = connection is None or not self._may_reuse(connection, request)
        if connection is None or is_fresh:
            connection = await self._open()
        asked_at = time.monotonic()
        response = await connection.send_request(
            head, request.body, has_body=request.method != "HEAD"
        )
        response = await self._skip_strays(connection, response, request)
        if not self._is_proven(response, is_first=is_fresh and not self._has_stray):
            raise AnswerBroken("the answer on a kept connection names no request")
        if self._report_state is not None and not self._is_misdirected(response):
            self._report_state(self._worker_state(response, asked_at))
        if self._is_not_run(response):
            self._refused_ids.add(self._request_id(request))
            await self._finish_refusal(response)
            raise NotRun
        return response

    def keep_alive(self, response: ResponseHead) -> None:
        """Keep the connection if the response is complete and allows reuse; close it otherwise."""
        if self._connection is None:
            return
        if self._has_stray:
            self.close()
        else:
            self._connection.keep_alive(response)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _may_reuse(self, connection: WorkerConnection, request: Request) -> bool:
        """Return whether a request may be sent on a connection that earlier ones were sent on.

        A repeated refusal can't be told from the answer to a request with the same id.
        """
        if len(self._refused_ids) >= MAX_REFUSALS:
            return False
        return connection.is_usable and self._request_id(request) not in self._refused_ids

    async def _open(self) -> WorkerConnection:
        """Open a new connection in place of the current one."""
        self.close()
        self._refused_ids.clear()
        self._has_stray = False
        self._connection = await WorkerConnection.open(self._worker.address)
        return self._connection

    async def _skip_strays(
        self, connection: WorkerConnection, response: ResponseHead, request: Request
    ) -> ResponseHead:
        """Return the first response that doesn't name another request."""
        for _ in range(MAX_STRAY_RESPONSES):
            if not self._names_another(response, request):
                break
            self._has_stray = True
            if request.method == "HEAD":
                raise AnswerBroken("the body of a stray answer can't be told from the next head")
            if not response.allows_reuse:
                raise AnswerBroken("a stray answer ends the connection")
            await _skip_body(response)
            response = await connection.next_head()
        if self._names_another(response, request):
            raise AnswerBroken("the answers belong to other requests")
        return response

    async def _finish_refusal(self, response: ResponseHead) -> None:
        """Keep the connection if the body of a refusal ends soon; close it otherwise."""
        if not response.allows_reuse:
            self.close()
            return
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT):
                await _skip_body(response)
        except (AnswerBroken, TimeoutError):
            self.close()
            return
        self.keep_alive(response)

    def _is_not_run(self, response: ResponseHead) -> bool:
        """Return whether the worker did not run the request, or is another instance."""
        return response.field(self._header_names.not_run) is not None or self._is_misdirected(
            response
        )

    def _is_misdirected(self, response: ResponseHead) -> bool:
        """Return whether another instance answers at the worker's address."""
        instance_expected = bool(self._header_names.expected_instance and self._worker.instance)
        return instance_expected and response.status == HTTPStatus.MISDIRECTED_REQUEST

    def _worker_state(self, response: ResponseHead, asked_at: float) -> WorkerState:
        """Return what the worker says of itself in a response."""
        limit = response.field(self._header_names.rate_limit)
        leaving = response.field(self._header_names.leaving)
        return WorkerState(asked_at, _parse_rate(limit), leaving == _IS_LEAVING)

    def _names_another(self, response: ResponseHead, request: Request) -> bool:
        """Return whether a response names another request."""
        named = response.field(self._header_names.request_id)
        return named is not None and named != self._request_id(request)

    def _is_proven(self, response: ResponseHead, *, is_first: bool) -> bool:
        """Return whether a response that names no other request belongs to this one.

        Without an id it may repeat an earlier response, unless it is the first on its connection.
        """
        if is_first or response.field(self._header_names.request_id) is not None:
            return True
        return not self._header_names.workers_echo_ids and not self._is_not_run(response)

    def _request_id(self, request: Request) -> str:
        """Return the id of a request, or an empty string if it has none."""
        return request.header(self._header_names.request_id) or ""


def _parse_rate(text: str | None) -> float | None:
    """Return the requests a second in a field, None if it is absent or no such number."""
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    return float(text)


async def _skip_body(response: ResponseHead) -> None:
    """Read a body to its end; raise AnswerBroken if it is too large or incomplete."""
    skipped_bytes = 0
    while not response.body.at_eof():
        skipped_bytes += len(await response.body.readany())
        if skipped_bytes > MAX_SKIPPED_BYTES:
            raise AnswerBroken(f"a body of more than {MAX_SKIPPED_BYTES} bytes to be skipped")
        # Without this, a body in small HTTP chunks would let no other task run.
        await asyncio.sleep(0)


def response_headers(method: str, response: ResponseHead) -> Headers:
    """Return the fields to forward; a response to HEAD keeps its Content-Length."""
    headers = end_to_end_headers(response.fields)
    length = response.field("Content-Length")
    if length is not None and method == "HEAD":
        return (*headers, Header("Content-Length", length))
    return headers
