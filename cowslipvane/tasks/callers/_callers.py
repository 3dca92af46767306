"""The callers' HTTP interface: the task of each connection routes, dispatches and responds."""

from __future__ import annotations

import asyncio
import random
import time
import traceback
import uuid
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import NamedTuple, TypeVar

from aiohttp import HttpVersion11, web

from cowslipvane.call import (
    DEFAULT_HEADER_NAMES,
    ByteLimit,
    Call,
    Chunk,
    ClosedByCaller,
    ConnectionEnd,
    Exchange,
    HandlerFailed,
    HeaderNames,
    ProcessExited,
    Request,
    ResponseBroken,
    describe_end,
    end_to_end_headers,
    head_fault,
)
from cowslipvane.events import EventLog
from cowslipvane.metrics import Metrics
from cowslipvane.refusal import (
    CallerGone,
    DeadlinePassed,
    Explanation,
    MalformedRequest,
    NoConfiguration,
    NoRoute,
    ProxyFailed,
    ProxyLeaving,
    Refusal,
    RouteOutdated,
    explain,
)
from cowslipvane.routing import Load, RoutingTable, ServiceRules
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.callers._dispatcher import Dispatcher, StartedResponse
from cowslipvane.tasks.callers._request_body import RequestBodies
from cowslipvane.tasks.http import (
    begin_parts,
    connection_end,
    end_parts,
    is_closed,
    is_last_in_progress,
    is_sent,
    linger,
    pop_prefetched,
    reset_connection,
    stop_prefetching,
    withdraw_parts,
)
from cowslipvane.tasks.upstreams import Owner
from cowslipvane.types import RequestId, Seconds, Verdict, Version

# A proxy has its first configuration within this time of its start, unless it is partitioned.
FIRST_CONFIGURATION_TIMEOUT: Seconds = 2.0
# The share of a caller's timeout that is spent waiting for the first configuration; the rest is
# left for the work, or for a retry.
FIRST_CONFIGURATION_SHARE = 0.5
# The share of a call's remaining time that is spent waiting for a version that isn't here yet.
NEWER_VERSION_SHARE = 0.5
# The timeout of a call that no route matches, if its caller sent none.
NEWER_VERSION_TIMEOUT: Seconds = 2.0
# Bytes of a response that are held back until it is complete while other requests wait behind it.
MAX_HELD_BYTES = 1 << 20
# Bytes that are held back so of all responses; beyond that a response is sent as it arrives.
MAX_ALL_HELD_BYTES = 16 << 20
# Time in which owners say, before the process exits, which calls have not run.
GIVE_UP_TIMEOUT: Seconds = 0.3

AnyResponse = TypeVar("AnyResponse", bound=web.StreamResponse)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallResponse:
    """The response to a call has begun."""

    exchange: Exchange
    call: Call
    started: StartedResponse


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRefusal:
    """A call is refused; close means that the connection can't be used further."""

    exchange: Exchange
    refusal: Refusal
    close: bool = False


class _Received(NamedTuple):
    """A request that was received whole, and when it arrived in time.monotonic seconds."""

    http: web.BaseRequest
    exchange: Exchange
    arrived_at: float
    body: bytes


class _Routed(NamedTuple):
    """The table that a request was routed by, and the service that this led to."""

    table: RoutingTable
    rules: ServiceRules


class Callers:
    """Receives callers' requests, dispatches them to owners, and responds."""

    def __init__(
        self,
        *,
        subscription: Subscription,
        dispatcher: Dispatcher,
        events: EventLog,
        rng: random.Random,
        metrics: Metrics,
        configuration_applied: Signal,
        owner: Owner,
        origin_service: str = "",
        header_names: HeaderNames = DEFAULT_HEADER_NAMES,
    ) -> None:
        self._configuration_applied = configuration_applied
        self._owner = owner
        self._started_at = time.monotonic()
        self._origin_service = origin_service
        self._header_names = header_names
        self._metrics = metrics
        self._subscription = subscription
        self._dispatcher = dispatcher
        self._events = events
        self._rng = rng
        self._in_flight: set[Exchange] = set()
        self._bodies = RequestBodies()
        self._held = ByteLimit(max_bytes=MAX_ALL_HELD_BYTES)
        self._call_ended = Signal()
        self._stopping = False
        self._accepts_calls = True

    @property
    def in_flight(self) -> tuple[RequestId, ...]:
        """Return the calls whose response isn't complete yet."""
        return tuple(exchange.request_id for exchange in self._in_flight)

    async def wait_idle(self) -> None:
        """Return once no call is in flight."""
        while self._in_flight:
            await self._call_ended.wait()

    def stop(self) -> None:
        """Close each connection after the response to its last request."""
        self._stopping = True

    def stop_accepting(self) -> None:
        """Refuse calls from now on, since the process may exit before they end."""
        self._accepts_calls = False

    async def give_up(self) -> None:
        """Refuse the calls that have no response yet, before the process exits."""
        self._dispatcher.give_up()
        with suppress(TimeoutError):
            async with asyncio.timeout(GIVE_UP_TIMEOUT):
                await self.wait_idle()

    def record_exit(self, reason: str) -> None:
        """Record each call in flight as one that the exit of the process cuts off."""
        for exchange in self._in_flight:
            self._record_end(exchange, ProcessExited(reason=reason))

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Respond to one request of a caller, and see its connection closed if it is the last."""
        response = await self._handle(http)
        if not is_closed(http) and not response.keep_alive:
            await linger(http)
        return response

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Respond to one request of a caller."""
        started_at = time.monotonic()
        outcome = await self._outcome(http)
        try:
            response = await self._respond_or_refuse(http, outcome)
            if is_closed(http):
                # What remains of the response has nowhere to go.
                self._record_end(outcome.exchange, connection_end(http))
            else:
                await response.prepare(http)
                await response.write_eof()
            return response
        except (asyncio.CancelledError, ConnectionError):
            if not is_sent(http):
                self._record_end(outcome.exchange, connection_end(http))
            raise
        finally:
            self._metrics.record_call(time.monotonic() - started_at)
            self._finish(outcome.exchange)

    async def fetch(self, http: web.BaseRequest) -> CallResponse | CallRefusal:
        """Return the start of the response to a request, or its refusal.

        The request counts as in flight until the result has been sent or discarded.
        """
        exchange = Exchange(
            request_id=self._request_id(http), method=http.method, target=http.raw_path
        )
        self._in_flight.add(exchange)
        try:
            return await self._fetch(http, exchange)
        except asyncio.CancelledError:
            self._record_end(exchange, connection_end(http))
            self._finish(exchange)
            raise
        except Exception as error:
            if is_closed(http):
                self._record_end(exchange, connection_end(http))
                self._finish(exchange)
                raise
            return self._failure(exchange, error)

    async def discard(self, outcome: CallResponse | CallRefusal, end: ConnectionEnd) -> None:
        """Discard a fetched response, because its connection ended before it could be sent."""
        self._record_end(outcome.exchange, end)
        self._finish(outcome.exchange)
        await self._abandon(outcome)

    async def _abandon(self, outcome: CallResponse | CallRefusal) -> None:
        """Cancel the attempt at its owner, if its response isn't complete."""
        match outcome:
            case CallResponse(started=started) if started.answer.more:
                await self._dispatcher.abandon(started)

    async def _outcome(self, http: web.BaseRequest) -> CallResponse | CallRefusal:
        """Return the outcome of a request, which may have been prefetched."""
        prefetched = pop_prefetched(http)
        if prefetched is None:
            return await self.fetch(http)
        try:
            outcome: CallResponse | CallRefusal = await prefetched
        except asyncio.CancelledError:
            if prefetched.done() and not prefetched.cancelled() and not prefetched.exception():
                # It was ready when the connection ended, and nothing else will discard it.
                await self.discard(prefetched.result(), connection_end(http))
            raise
        return outcome

    def _record_end(self, exchange: Exchange, end: ConnectionEnd) -> None:
        """Record once why a request has no complete response, and how far it had got."""
        if exchange.has_ended:
            return
        exchange.has_ended = True
        reason = describe_end(end, exchange.request_id)
        progress = exchange.progress.value
        match end:
            case ClosedByCaller():
                self._record_refusal(exchange, CallerGone(verdict=exchange.verdict))
            case ResponseBroken(request_id=broken) if broken == exchange.request_id:
                self._events.record(
                    "broken", request=exchange.request_id, reason=reason, progress=progress
                )
            case _:
                self._events.record(
                    "cut",
                    request=exchange.request_id,
                    reason=reason,
                    progress=progress,
                    asked=exchange.asked,
                )

    def _failure(self, exchange: Exchange, error: Exception) -> CallRefusal:
        """Record an unexpected error, and return the refusal that the caller gets."""
        self._events.record(
            "failed",
            request=exchange.request_id,
            error=repr(error),
            place=_place(error),
            progress=exchange.progress.value,
            asked=exchange.asked,
        )
        return CallRefusal(exchange=exchange, refusal=ProxyFailed(verdict=exchange.verdict))

    def _finish(self, exchange: Exchange) -> None:
        """Count a request as ended."""
        self._in_flight.discard(exchange)
        self._bodies.release(exchange)
        self._held.remove(exchange.held_bytes)
        exchange.held_bytes = 0
        self._call_ended.send()

    def _request_id(self, http: web.BaseRequest) -> RequestId:
        """Return the caller's request id if callers may choose it, or a new one."""
        request_id = http.headers.get(self._header_names.request_id, "")
        if self._header_names.accepts_request_ids and request_id:
            return RequestId(request_id)
        return RequestId(uuid.uuid4().hex)

    def _is_nested(self, request_id: RequestId) -> bool:
        """Return whether a call was made by the local worker for a request that it is running.

        The id of such a call is the id of that request, a dot, and a suffix unique to the call.
        """
        parent, separator, _ = request_id.rpartition(".")
        return bool(separator) and self._owner.is_running(parent)

    def _caller_timeout(self, http: web.BaseRequest) -> Seconds | None:
        """Return the timeout that a caller sent, None if it sent none."""
        timeout_ms = http.headers.get(self._header_names.timeout_ms, "")
        return float(timeout_ms) / 1000 if timeout_ms.isdecimal() else None

    def _deadline(self, http: web.BaseRequest, rules: ServiceRules, arrived_at: float) -> float:
        """Return the deadline of a request: the earlier of the caller's and the route's."""
        caller_timeout = self._caller_timeout(http)
        route_timeout = rules.traffic.timeout
        return arrived_at + (
            route_timeout if caller_timeout is None else min(caller_timeout, route_timeout)
        )

    async def _first_table(self, http: web.BaseRequest, arrived_at: float) -> RoutingTable | None:
        """Return the routing table; a proxy that has just started waits for its first one."""
        if self._subscription.table is not None:
            return self._subscription.table
        give_up_at = self._started_at + FIRST_CONFIGURATION_TIMEOUT
        caller_timeout = self._caller_timeout(http)
        if caller_timeout is not None:
            give_up_at = min(give_up_at, arrived_at + caller_timeout * FIRST_CONFIGURATION_SHARE)
        while self._subscription.table is None and (remaining := give_up_at - time.monotonic()) > 0:
            await self._configuration_applied.wait(remaining)
        return self._subscription.table

    async def _fetch(self, http: web.BaseRequest, exchange: Exchange) -> CallResponse | CallRefusal:
        """Route a request, and dispatch or refuse it."""
        arrived_at = time.monotonic()
        fault = head_fault(
            target=http.raw_path,
            http_1_1=http.version >= HttpVersion11,
            fields=http.headers.items(),
        )
        if fault is not None:
            return CallRefusal(
                exchange=exchange, refusal=MalformedRequest(reason=fault), close=True
            )
        if not self._accepts_calls:
            leaving = ProxyLeaving(verdict=Verdict.NOT_RUN)
            return CallRefusal(exchange=exchange, refusal=leaving)
        table = await self._first_table(http, arrived_at)
        if table is None:
            return CallRefusal(exchange=exchange, refusal=NoConfiguration())
        match await self._find_route(http, table, arrived_at):
            case _Routed() as routed:
                rules = routed.rules
            case refusal:
                return CallRefusal(exchange=exchange, refusal=refusal)
        deadline = self._deadline(http, rules, arrived_at)
        match await self._bodies.receive(http, exchange, rules, deadline):
            case bytes(body):
                pass
            case refusal:
                # After a body that was received whole, the requests behind it can be read.
                close = not http.content.is_eof()
                return CallRefusal(exchange=exchange, refusal=refusal, close=close)
        received = _Received(http, exchange, arrived_at, body)
        match await self._dispatch(received, routed):
            case CallResponse() as response:
                return response
            case refusal:
                return CallRefusal(exchange=exchange, refusal=refusal)

    async def _find_route(
        self, http: web.BaseRequest, table: RoutingTable, arrived_at: float
    ) -> _Routed | Refusal:
        """Route a request by the version in force, or by a newer one if none of its routes match.

        A refusal for lack of a route would be untrue if a version that is known to be accepted has
        one.
        """
        rules = self._route(table, http)
        newest = self._subscription.newest_known
        if rules is None and newest > table.version:
            timeout = self._caller_timeout(http) or NEWER_VERSION_TIMEOUT
            newer = await self._table_of_version(newest, arrived_at + timeout * NEWER_VERSION_SHARE)
            if newer is None:
                return RouteOutdated(version=newest)
            table, rules = newer, self._route(newer, http)
        return _no_route(http) if rules is None else _Routed(table, rules)

    async def _dispatch(self, received: _Received, routed: _Routed) -> CallResponse | Refusal:
        """Dispatch a call, and route it again whenever an owner has a newer version."""
        exchange = received.exchange
        while True:
            call = exchange.call = self._new_call(received, routed)
            match await self._dispatcher.dispatch(call):
                case StartedResponse() as started:
                    exchange.response_begun = True
                    self._record_late(call, started, received.arrived_at)
                    return CallResponse(exchange=exchange, call=call, started=started)
                case RouteOutdated(version=version) as outdated:
                    now = time.monotonic()
                    give_up_at = now + call.time_remaining(now) * NEWER_VERSION_SHARE
                    table = await self._table_of_version(version, give_up_at)
                    if table is None:
                        return outdated
                    rules = self._route(table, received.http)
                    if rules is None:
                        return _no_route(received.http)
                    routed = _Routed(table, rules)
                case refusal:
                    return refusal

    def _new_call(self, received: _Received, routed: _Routed) -> Call:
        """Return the call for a request that has been received and routed."""
        http, exchange, arrived_at, body = received
        request_id, rules = exchange.request_id, routed.rules
        headers = end_to_end_headers(http.headers.items())
        forwarded = self._header_names.headers_to_owner(headers, request_id, self._origin_service)
        return Call(
            request_id=request_id,
            request=Request(http.method, http.raw_path, forwarded, body),
            rules=rules,
            deadline=self._deadline(http, rules, arrived_at),
            caller=http.remote or "",
            goal=None if rules.goal is None else arrived_at + rules.goal,
            nested=self._is_nested(request_id),
            version=routed.table.version,
        )

    async def _table_of_version(self, version: Version, give_up_at: float) -> RoutingTable | None:
        """Return the table once a version is in force, None if it isn't by a time."""
        while self._subscription.version < version:
            remaining = give_up_at - time.monotonic()
            if remaining <= 0:
                return None
            await self._configuration_applied.wait(remaining)
        return self._subscription.table

    def _record_late(self, call: Call, started: StartedResponse, arrived_at: float) -> None:
        """Record a response that begins after the latency goal of its call.

        The goal is the time within which a response is worth most to its caller.
        """
        now = time.monotonic()
        remaining = call.goal_remaining(now)
        if remaining is not None and remaining < 0:
            self._events.record(
                "late",
                request=call.request_id,
                took=f"{now - arrived_at:.3f}",
                goal=f"{now - arrived_at + remaining:.3f}",
                owner=started.owner.host,
                tried=" ".join(call.tried_hosts),
                load=_describe_load(call.load),
                status=str(started.answer.status),
            )

    async def _respond_or_refuse(
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
            refused = self._failure(outcome.exchange, error)
            if http.writer.output_size:
                end = HandlerFailed(request_id=outcome.exchange.request_id, error=repr(error))
                self._record_end(outcome.exchange, end)
                reset_connection(http, end)
                return web.Response()
            await self._abandon(outcome)
            withdraw_parts(http)
            return self._refusal_response(http, refused)

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

    def _route(self, table: RoutingTable, http: web.BaseRequest) -> ServiceRules | None:
        """Return the service that a request is routed to, with its rules."""
        headers = end_to_end_headers(http.headers.items())
        host, path = http.headers.get("Host", ""), http.rel_url.raw_path
        return table.route(host=host, path=path, method=http.method, headers=headers, rng=self._rng)

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
            self._record_end(exchange, end)
            reset_connection(http, end)
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
        explanation = self._record_refusal(outcome.exchange, outcome.refusal)
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
        if outcome.close:
            _close_after(http, response)
        return self._close_if_stopping(http, response)

    def _record_refusal(self, exchange: Exchange, refusal: Refusal) -> Explanation:
        """Record a refusal and return its explanation."""
        explanation = explain(refusal)
        call = exchange.call
        self._events.record(
            "refusal",
            request=exchange.request_id,
            in_force=str(self._subscription.version),
            tried="" if call is None else " ".join(call.tried_hosts),
            load="" if call is None else _describe_load(call.load),
            asked=exchange.asked,
            status=str(explanation.status),
            code=explanation.code,
            sentence=explanation.sentence,
            verdict=explanation.verdict.value,
            progress=exchange.progress.value,
        )
        return explanation

    def _close_if_stopping(self, http: web.BaseRequest, response: AnyResponse) -> AnyResponse:
        """Close the connection after its last response when the process is stopping."""
        if self._stopping and is_last_in_progress(http):
            _close_after(http, response)
        return response


def _no_route(http: web.BaseRequest) -> NoRoute:
    """Return the refusal of a request that no route matches."""
    return NoRoute(host=http.headers.get("Host", ""), path=http.path)


def _describe_load(load: Load | None) -> str:
    """Return an owner's load in words, an empty string if no owner has reported it."""
    if load is None:
        return ""
    return f"{load.running} running and {load.queued} waiting for {load.slots} slots"


def _close_after(http: web.BaseRequest, response: web.StreamResponse) -> None:
    """Close the connection after a response, and pass on no request behind it."""
    response.force_close()
    stop_prefetching(http)


def _place(error: Exception) -> str:
    """Return the file and the line that raised an error."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{Path(frame.filename).name}:{frame.lineno}"


def _retry_after(delay: Seconds) -> str:
    """Format a Retry-After time; callers accept fractions, RFC 9110 allows only whole seconds."""
    return f"{delay:.3f}".rstrip("0").rstrip(".")
