"""What an owner sends to its worker over HTTP, and what it passes on of the answer."""

from __future__ import annotations

from http import HTTPStatus

from cowslipvane.call import HeaderNames, Request, end_to_end_headers
from cowslipvane.membership import Worker
from cowslipvane.tasks._worker_connection import (
    AnswerBroken,
    AnswerHead,
    WorkerConnection,
    request_head,
)
from cowslipvane.types import Header, Headers

# Answers to earlier requests that are passed over in wait of the right one.
MAX_STRAY_ANSWERS = 2


class NotRun(Exception):
    """The worker says that it did not run the request."""


class WorkerLane:
    """The one connection of a slot, opened when it is needed."""

    def __init__(self, *, worker: Worker, names: HeaderNames) -> None:
        self._worker = worker
        self._names = names
        self._connection: WorkerConnection | None = None

    async def ask(self, request: Request, left_ms: int) -> AnswerHead:
        """Send a request once, and return the head of its answer.

        Raise WorkerUnreachable when nothing was sent, NotRun when the worker says so, and
        AnswerBroken when the request may have run.
        """
        headers = self._names.headers_to_worker(request.headers, left_ms, self._worker.instance)
        if request.header("Host") is None:
            headers = (Header("Host", str(self._worker.address)), *headers)
        head = request_head(request.method, request.path, headers, len(request.body))
        connection = self._connection
        if connection is None or not connection.is_usable:
            self.close()
            connection = self._connection = await WorkerConnection.open(self._worker.address)
        answer = await connection.ask(head, request.body, has_body=request.method != "HEAD")
        for _ in range(MAX_STRAY_ANSWERS):
            if self._is_answer_to(answer, request):
                break
            await answer.body.read()
            answer = await connection.next_head()
        if not self._is_answer_to(answer, request):
            raise AnswerBroken("the answers belong to other requests")
        if self._says_not_run(answer):
            await answer.body.read()
            self.keep(answer)
            raise NotRun
        return answer

    def keep(self, answer: AnswerHead) -> None:
        """Keep the connection for the next request, once an answer has been read whole."""
        if self._connection is not None:
            self._connection.keep(answer)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _says_not_run(self, answer: AnswerHead) -> bool:
        """Return whether the worker did not run the request, or isn't the one that was meant."""
        if answer.field(self._names.not_run) is not None:
            return True
        named = bool(self._names.expected_instance and self._worker.instance)
        return named and answer.status == HTTPStatus.MISDIRECTED_REQUEST

    def _is_answer_to(self, answer: AnswerHead, request: Request) -> bool:
        """Return whether an answer doesn't name another request."""
        echoed = answer.field(self._names.request_id)
        return echoed is None or echoed == request.header(self._names.request_id)


def answer_headers(method: str, answer: AnswerHead) -> Headers:
    """Return the fields to pass on; an answer without a body keeps the length that it tells."""
    headers = end_to_end_headers(answer.fields)
    length = answer.field("Content-Length")
    if length is not None and method == "HEAD":
        return (*headers, Header("Content-Length", length))
    return headers
