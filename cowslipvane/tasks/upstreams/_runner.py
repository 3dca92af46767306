"""Running work at the worker: one request at a time on a connection, and its response."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from cowslipvane.admission import Work
from cowslipvane.call import Answer, AttemptId, Chunk, HeaderNames
from cowslipvane.events import EventLog
from cowslipvane.membership import Worker
from cowslipvane.refusal import AnswerLost, DeadlinePassed, Refusal, Rejected, UpstreamLost
from cowslipvane.routing import Load
from cowslipvane.tasks.upstreams._replies import Replies
from cowslipvane.tasks.upstreams._worker_connection import (
    AnswerBroken,
    ResponseHead,
    WorkerUnreachable,
)
from cowslipvane.tasks.upstreams._worker_http import NotRun, SlotConnection, response_headers
from cowslipvane.types import Seconds, TeamName, Verdict

CHUNK_BYTES = 64 << 10
# How much of an answer is read for nobody, which is more than is stored of it to be sent again.
MAX_UNWANTED_BYTES = 1 << 20
# How long work that isn't idempotent may go on running after its deadline, by default.
DEFAULT_LEFT_TO_END: Seconds = 30.0
# Retry-After of a request that the worker rejected, if no other worker could take it.
REJECTED_RETRY_AFTER: Seconds = 0.1


class RunningRequest(NamedTuple):
    """A request that the worker is running, and the team that it is for."""

    request_id: str
    team: TeamName | None


# Gets work that the worker has answered or failed to answer, the time to the answer, and whether it
# failed.
RecordAnswer = Callable[[Work, Seconds, bool], None]


class Runner:
    """Runs the requests of all slots at the worker, and knows which of them are running."""

    def __init__(
        self,
        *,
        replies: Replies,
        events: EventLog,
        header_names: HeaderNames,
        left_to_end: Seconds,
        get_load: Callable[[], Load],
        record_answer: RecordAnswer,
    ) -> None:
        self._replies = replies
        self._events = events
        self._header_names = header_names
        self._left_to_end = left_to_end
        self._get_load = get_load
        self._record_answer = record_answer
        self._timeouts: dict[AttemptId, asyncio.Timeout] = {}
        # The attempts that were aborted before their deadline.
        self._aborted: set[AttemptId] = set()
        self._running_requests: dict[AttemptId, RunningRequest] = {}

    def running_request(self, request_id: str) -> RunningRequest | None:
        """Return a request that the worker is running, None if it isn't.

        Callers choose ids. If requests of several teams have this one, the result has no team.
        """
        running = self._running_requests.values()
        found = {request for request in running if request.request_id == request_id}
        if len(found) > 1:
            return RunningRequest(request_id, None)
        return next(iter(found), None)

    def request_id_of(self, attempt: AttemptId) -> str:
        """Return the id of the request of a running attempt, an empty text for any other."""
        running = self._running_requests.get(attempt)
        return "" if running is None else running.request_id

    def request_id(self, work: Work) -> str:
        """Return the request id of some work, or an empty string if it has none."""
        return work.request.header(self._header_names.request_id) or ""

    def abort(self, attempt: AttemptId) -> bool:
        """Abort an attempt if it is idempotent and its timeout hasn't expired; return whether."""
        timeout = self._timeouts.get(attempt)
        if timeout is None or timeout.when() is None or timeout.expired():
            return False
        self._aborted.add(attempt)
        timeout.reschedule(asyncio.get_running_loop().time())
        return True

    async def run(self, work: Work, worker: Worker, connection: SlotConnection) -> Refusal | None:
        """Run a request and send its response; return a refusal if that isn't complete."""
        self._running_requests[work.attempt] = RunningRequest(self.request_id(work), work.team)
        try:
            return await self._try_to_forward(work, worker, connection)
        finally:
            del self._running_requests[work.attempt]

    async def _try_to_forward(
        self, work: Work, worker: Worker, connection: SlotConnection
    ) -> Refusal | None:
        """Forward a request; return a refusal if its response isn't complete."""
        service = worker.service
        started_at = time.monotonic()
        give_up_at = work.deadline if work.idempotent else work.deadline + self._left_to_end
        try:
            async with asyncio.timeout_at(give_up_at) as timeout:
                if work.idempotent:
                    self._timeouts[work.attempt] = timeout
                response, took = await self._forward(work, connection)
        except WorkerUnreachable:
            return UpstreamLost(service=service, verdict=Verdict.NOT_RUN)
        except NotRun:
            return Rejected(service=service, retry_after=REJECTED_RETRY_AFTER)
        except TimeoutError:
            connection.close()
            if work.attempt in self._aborted:
                return AnswerLost(service=service, verdict=Verdict.MAY_HAVE_RUN)
            self._record_answer(work, time.monotonic() - started_at, True)
            return DeadlinePassed(service=service, verdict=Verdict.MAY_HAVE_RUN)
        except (AnswerBroken, OSError, ValueError) as error:
            # A peer's offer may hold a request that can't be sent; this must not end the slot's
            # task.
            connection.close()
            self._record_answer(work, time.monotonic() - started_at, True)
            self._events.record(
                "lost", request=self.request_id(work), service=service, reason=repr(error)
            )
            return UpstreamLost(service=service, verdict=Verdict.MAY_HAVE_RUN)
        finally:
            self._timeouts.pop(work.attempt, None)
            self._aborted.discard(work.attempt)
        has_failed = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._record_answer(work, took, has_failed)
        return None

    async def _forward(
        self, work: Work, connection: SlotConnection
    ) -> tuple[ResponseHead, Seconds]:
        """Send a request to the worker and pass its response on in chunks.

        Return its head, and the time until that came.
        """
        request = work.request
        remaining_ms = max(0, round((work.deadline - time.monotonic()) * 1000))
        sent_at = time.monotonic()
        response = await connection.send_request(request, remaining_ms)
        took = time.monotonic() - sent_at
        body, more = await _read_chunk(response)
        await self._replies.send(
            Answer(
                attempt=work.attempt,
                status=response.status,
                headers=response_headers(request.method, response),
                body=body,
                more=more,
                load=self._get_load(),
            )
        )
        unwanted_bytes = 0
        while more:
            body, more = await _read_chunk(response)
            await self._replies.send(Chunk(attempt=work.attempt, body=body, more=more))
            is_wanted = self._replies.is_awaited(work.attempt)
            unwanted_bytes = 0 if is_wanted else unwanted_bytes + len(body)
            if unwanted_bytes > MAX_UNWANTED_BYTES:
                raise AnswerBroken(f"nobody received {MAX_UNWANTED_BYTES} bytes of the answer")
        connection.keep_alive(response)
        return response, took


async def _read_chunk(response: ResponseHead) -> tuple[bytes, bool]:
    """Return at least CHUNK_BYTES of a body, or its rest, and whether more follows."""
    chunk = bytearray(await response.body.readany())
    while len(chunk) < CHUNK_BYTES and not response.body.at_eof():
        # Without this, a body in small HTTP chunks would let no other task run.
        await asyncio.sleep(0)
        chunk += await response.body.readany()
    return bytes(chunk), not response.body.at_eof()
