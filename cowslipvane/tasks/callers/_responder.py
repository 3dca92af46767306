"""Responses to callers: whole, in parts, or a refusal with its explanation."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from typing import TypeVar

from aiohttp import web

from cowslipvane.call import (
    ByteLimit,
    Chunk,
    Exchange,
    HandlerFailed,
    HeaderNames,
    ResponseBroken,
)
from cowslipvane.refusal import DeadlinePassed, Refusal, explain
from cowslipvane.tasks.callers._call_log import CallLog
from cowslipvane.tasks.callers._dispatcher import Dispatcher, StartedResponse
from cowslipvane.tasks.callers._outcomes import CallRefusal, CallResponse
from cowslipvane.tasks.http import (
    begin_parts,
    end_parts,
    is_last_in_progress,
    reset_connection,
    stop_prefetching,
    withdraw_parts,
)
from cowslipvane.types import Seconds, Verdict

# Bytes of a response that are held back until it is complete while other requests wait behind it.
MAX_HELD_BYTES = 1 << 20
# Bytes that are held back so of all responses; beyond that a response is sent as it arrives.
MAX_ALL_HELD_BYTES = 16 << 20

AnyResponse = TypeVar("AnyResponse", bound=web.StreamResponse)


class Responder:
    """Sends the outcome of each request on its connection."""

    def __init__(
        self, *, dispatcher: Dispatcher, call_log: CallLog, header_names: HeaderNames
    ) -> None:
        self._dispatcher = dispatcher
        self._call_log = call_log
        self._header_names = header_names
        self._held = ByteLimit(max_bytes=MAX_ALL_HELD_BYTES)
        self._stopping = False

    @property
    def held_bytes(self) -> int:
        """Return how much is held back of responses until they are complete."""
        return self._held.held_bytes

    def stop(self) -> None:
        """Close each connection after the response to its last request."""
        self._stopping = True

    def release(self, exchange: Exchange) -> None:
        """Count what is held back of a response no more."""
        self._held.remove(exchange.held_bytes)
        exchange.held_bytes = 0

    async def respond(
        self, http: web.BaseRequest, outcome: CallResponse | CallRefusal
    ) -> web.StreamResponse:
        """Send the outcome of a request; if that fails, refuse it, or reset its connection."""
        try:
            response = await self._respond(http, outcome)
            # A head that can't be written raises here, where the request can still be refused.
            await response.prepare(http)
            return response
        except ConnectionError:
            raise
        except Exception as error:
            refused = self._call_log.record_failure(outcome.exchange, error)
            if http.writer.output_size:
                end = HandlerFailed(request_id=outcome.exchange.request_id, error=repr(error))
                self._call_log.record_end(outcome.exchange, end)
                await reset_connection(http, end)
                return web.Response()
            await self.abandon(outcome)
            withdraw_parts(http)
            return self._refusal_response(http, refused)

    async def abandon(self, outcome: CallResponse | CallRefusal) -> None:
        """Cancel the attempt at its owner, if its response isn't complete."""
        match outcome:
            case CallResponse(started=started) if started.answer.more:
                await self._dispatcher.abandon(started)

    async def _respond(
        self, http: web.BaseRequest, outcome: CallResponse | CallRefusal
    ) -> web.StreamResponse:
        """Send the outcome of a request."""
        match outcome:
            case CallResponse(started=started) if started.answer.more:
                return await self._respond_in_parts(http, outcome)
            case CallResponse():
                return self._whole_response(http, outcome)
            case CallRefusal():
                return self._refusal_response(http, outcome)

    async def _respond_in_parts(
        self, http: web.BaseRequest, outcome: CallResponse
    ) -> web.StreamResponse:
        """Send a response whose body is not complete yet."""
        match await self._hold(http, outcome):
            case CallResponse(started=started) as held if started.answer.more:
                return await self._stream_response(http, held)
            case held:
                return await self._respond(http, held)

    async def _hold(
        self, http: web.BaseRequest, outcome: CallResponse
    ) -> CallResponse | CallRefusal:
        """Hold a response back until it is complete, if other requests wait behind it.

        A response that breaks after it has begun ends the connection, and with it the responses to
        the requests that were passed on meanwhile.
        """
        if is_last_in_progress(http):
            return outcome
        call, exchange = outcome.call, outcome.exchange
        may_hold = partial(self._may_hold, exchange)
        match await self._dispatcher.hold(call, outcome.started, may_hold):
            case StartedResponse() as started:
                return CallResponse(exchange=exchange, call=call, started=started)
            case refusal:
                return CallRefusal(exchange=exchange, refusal=refusal)

    def _may_hold(self, exchange: Exchange, size: int) -> bool:
        """Count the bytes that are held of a response, and return whether more of it may be."""
        self._held.add(size - exchange.held_bytes)
        exchange.held_bytes = size
        return size < MAX_HELD_BYTES and not self._held.is_exceeded

    def _whole_response(self, http: web.BaseRequest, outcome: CallResponse) -> web.Response:
        """Return the upstream's response, whose body is complete."""
        answer = outcome.started.answer
        response = web.Response(status=answer.status, body=answer.body)
        self._set_fields(response, outcome)
        return self._close_if_stopping(http, response)

    async def _stream_response(
        self, http: web.BaseRequest, outcome: CallResponse
    ) -> web.StreamResponse:
        """Forward a response as its parts arrive, and reset the connection if it breaks."""
        exchange = outcome.exchange
        begin_parts(http)
        stream = web.StreamResponse(status=outcome.started.answer.status)
        self._set_fields(stream, outcome)
        self._close_if_stopping(http, stream)
        await stream.prepare(http)
        refusal = await self._stream_body(stream, outcome)
        if refusal is not None:
            reason = explain(refusal).sentence
            end = ResponseBroken(request_id=exchange.request_id, reason=reason)
            self._call_log.record_end(exchange, end)
            await reset_connection(http, end)
            return stream
        await stream.write_eof()
        end_parts(http)
        return stream

    async def _stream_body(
        self, stream: web.StreamResponse, outcome: CallResponse
    ) -> Refusal | None:
        """Write a body as its parts arrive; return a refusal if it is incomplete.

        It is incomplete as well if it lasts beyond the deadline.
        """
        complete = False
        try:
            async with self._dispatcher.rest_timeout(outcome.call):
                refusal = await self._write_parts(stream, outcome)
            complete = refusal is None
        except TimeoutError:
            service = outcome.call.rules.service
            refusal = DeadlinePassed(service=service, verdict=Verdict.MAY_HAVE_RUN)
        finally:
            if not complete:
                await self._dispatcher.abandon(outcome.started)
        return refusal

    async def _write_parts(
        self, stream: web.StreamResponse, outcome: CallResponse
    ) -> Refusal | None:
        """Write a body as its parts arrive; return the refusal that it breaks with."""
        await stream.write(outcome.started.answer.body)
        more = True
        while more:
            match await self._dispatcher.next_part(outcome.call, outcome.started):
                case Chunk(body=body, more=more):
                    await stream.write(body)
                case refusal:
                    return refusal
        return None

    def _set_fields(self, response: web.StreamResponse, outcome: CallResponse) -> None:
        """Set the upstream's header fields in a response, and the proxy's own in place of them."""
        started = outcome.started
        own_fields: dict[str, str] = {self._header_names.request_id: outcome.exchange.request_id}
        if self._header_names.owner and started.owner.callers is not None:
            own_fields[self._header_names.owner] = str(started.owner.callers)
        response.headers.extend([(field.name, field.value) for field in started.answer.headers])
        response.headers.update(own_fields)

    def _refusal_response(self, http: web.BaseRequest, outcome: CallRefusal) -> web.Response:
        """Return the response to a refused request, with an explanation."""
        request_id = outcome.exchange.request_id
        explanation = self._call_log.record_refusal(outcome.exchange, outcome.refusal)
        body = {
            "code": explanation.code,
            "sentence": explanation.sentence,
            "verdict": explanation.verdict.value,
            "request": request_id,
        }
        response = web.json_response(body, status=explanation.status)
        response.headers[self._header_names.request_id] = request_id
        if explanation.retry_after is not None:
            response.headers["Retry-After"] = _retry_after(explanation.retry_after)
        if explanation.status == HTTPStatus.UNAUTHORIZED:
            response.headers["WWW-Authenticate"] = "Bearer"
        if outcome.close:
            _close_after(http, response)
        return self._close_if_stopping(http, response)

    def _close_if_stopping(self, http: web.BaseRequest, response: AnyResponse) -> AnyResponse:
        """Close the connection after its last response when the process is stopping."""
        if self._stopping and is_last_in_progress(http):
            _close_after(http, response)
        return response


def _close_after(http: web.BaseRequest, response: web.StreamResponse) -> None:
    """Close the connection after a response, and pass on no request behind it."""
    response.force_close()
    stop_prefetching(http)


def _retry_after(delay: Seconds) -> str:
    """Format a Retry-After time; callers accept fractions, RFC 9110 allows only whole seconds."""
    return f"{delay:.3f}".rstrip("0").rstrip(".")
