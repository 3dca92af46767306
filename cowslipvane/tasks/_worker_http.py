"""HTTP between an owner and its worker: one request, and the response to it."""

from __future__ import annotations

from http import HTTPStatus

from cowslipvane.call import HeaderNames, Request, end_to_end_headers
from cowslipvane.membership import Worker
from cowslipvane.tasks._worker_connection import (
    AnswerBroken,
    ResponseHead,
    WorkerConnection,
    request_head,
)
from cowslipvane.types import Header, Headers

# Maximum number of responses to earlier requests that are skipped before the expected one.
MAX_STRAY_RESPONSES = 2


class NotRun(Exception):
    """The worker reports that it did not run the request."""


class SlotConnection:
    """The connection of one slot to the worker, opened on demand."""

    def __init__(self, *, worker: Worker, header_names: HeaderNames) -> None:
        self._worker = worker
        self._header_names = header_names
        self._connection: WorkerConnection | None = None

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
        if connection is None or not connection.is_usable:
            self.close()
            connection = self._connection = await WorkerConnection.open(self._worker.address)
        response = await connection.send_request(
            head, request.body, has_body=request.method != "HEAD"
        )
        for _ in range(MAX_STRAY_RESPONSES):
            if self._is_response_to(response, request):
                break
            await response.body.read()
            response = await connection.next_head()
        if not self._is_response_to(response, request):
            raise AnswerBroken("the answers belong to other requests")
        if self._is_not_run(response):
            await response.body.read()
            self.keep_alive(response)
            raise NotRun
        return response

    def keep_alive(self, response: ResponseHead) -> None:
        """Keep the connection if the response is complete and allows reuse; close it otherwise."""
        if self._connection is not None:
            self._connection.keep_alive(response)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _is_not_run(self, response: ResponseHead) -> bool:
        """Return whether the worker did not run the request, or is another instance."""
        if response.field(self._header_names.not_run) is not None:
            return True
        instance_expected = bool(self._header_names.expected_instance and self._worker.instance)
        return instance_expected and response.status == HTTPStatus.MISDIRECTED_REQUEST

    def _is_response_to(self, response: ResponseHead, request: Request) -> bool:
        """Return whether a response names this request, or none."""
        echoed = response.field(self._header_names.request_id)
        return echoed is None or echoed == request.header(self._header_names.request_id)


def response_headers(method: str, response: ResponseHead) -> Headers:
    """Return the fields to forward; a response to HEAD keeps its Content-Length."""
    headers = end_to_end_headers(response.fields)
    length = response.field("Content-Length")
    if length is not None and method == "HEAD":
        return (*headers, Header("Content-Length", length))
    return headers
