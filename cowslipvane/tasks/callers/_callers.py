"""The callers' HTTP interface: the task of each connection routes, dispatches and responds."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from contextlib import suppress
from typing import NamedTuple

from aiohttp import HttpVersion11, web

from cowslipvane.call import (
    DEFAULT_HEADER_NAMES,
    BodyAccount,
    Call,
    ConnectionEnd,
    Exchange,
    HeaderNames,
    ProcessExited,
    Request,
    end_to_end_headers,
    head_fault,
)
from cowslipvane.events import EventLog
from cowslipvane.metrics import Metrics
from cowslipvane.refusal import (
    MalformedRequest,
    ProxyLeaving,
    Refusal,
    RouteOutdated,
)
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.callers._call_log import CallLog
from cowslipvane.tasks.callers._dispatcher import Dispatcher, StartedResponse
from cowslipvane.tasks.callers._outcomes import CallRefusal, CallResponse
from cowslipvane.tasks.callers._request_body import RequestBodies
from cowslipvane.tasks.callers._responder import Responder
from cowslipvane.tasks.callers._router import Arrival, Routed, Router
from cowslipvane.tasks.http import (
    connection_end,
    is_closed,
    is_sent,
    linger,
    pop_prefetched,
)
from cowslipvane.tasks.upstreams import Owner, RunningRequest
from cowslipvane.types import RequestId, Seconds, Verdict

# Time in which owners say, before the process exits, which calls have not run.
GIVE_UP_TIMEOUT: Seconds = 0.3


class _Received(NamedTuple):
    """A request that was received whole."""

    arrival: Arrival
    exchange: Exchange
    body: bytes
    is_nested: bool


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
        bodies: BodyAccount | None = None,
    ) -> None:
        """Without an account of bodies, those of these callers have one of their own."""
        self._owner = owner
        self._origin_service = origin_service
        self._header_names = header_names
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._router = Router(
            host=events.origin.host,
            subscription=subscription,
            configuration_applied=configuration_applied,
            header_names=header_names,
            rng=rng,
        )
        self._call_log = CallLog(events=events, subscription=subscription)
        self._responder = Responder(
            dispatcher=dispatcher, call_log=self._call_log, header_names=header_names
        )
        self._in_flight: set[Exchange] = set()
        self._bodies = RequestBodies(account=bodies or BodyAccount())
        self._call_ended = Signal()
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
        self._responder.stop()

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
            self._call_log.record_end(exchange, ProcessExited(reason=reason))

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
            response = await self._responder.respond(http, outcome)
            if is_closed(http):
                # What remains of the response has nowhere to go.
                self._call_log.record_end(outcome.exchange, connection_end(http))
            else:
                await response.prepare(http)
                await response.write_eof()
            return response
        except (asyncio.CancelledError, ConnectionError):
            if not is_sent(http):
                self._call_log.record_end(outcome.exchange, connection_end(http))
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
            self._call_log.record_end(exchange, connection_end(http))
            self._finish(exchange)
            raise
        except Exception as error:
            if is_closed(http):
                self._call_log.record_end(exchange, connection_end(http))
                self._finish(exchange)
                raise
            return self._call_log.record_failure(exchange, error)

    async def discard(self, outcome: CallResponse | CallRefusal, end: ConnectionEnd) -> None:
        """Discard a fetched response, because its connection ended before it could be sent."""
        self._call_log.record_end(outcome.exchange, end)
        self._finish(outcome.exchange)
        await self._responder.abandon(outcome)

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

    def _finish(self, exchange: Exchange) -> None:
        """Count a request as ended."""
        self._in_flight.discard(exchange)
        self._bodies.release(exchange)
        self._responder.release(exchange)
        self._call_ended.send()

    def _request_id(self, http: web.BaseRequest) -> RequestId:
        """Return the caller's request id if callers may choose it, or a new one."""
        request_id = http.headers.get(self._header_names.request_id, "")
        if self._header_names.accepts_request_ids and request_id:
            return RequestId(request_id)
        return RequestId(uuid.uuid4().hex)

    def _parent(self, request_id: RequestId) -> RunningRequest | None:
        """Return the request that the local worker is running and made a call for, if it did.

        The id of such a call is the id of that request, a dot, and a suffix unique to the call.
        """
        parent, separator, _ = request_id.rpartition(".")
        return self._owner.running_request(parent) if separator else None

    def _head_fault(self, http: web.BaseRequest) -> str | None:
        """Return why a request can't be passed on, or None if it can."""
        names = self._header_names
        if names.requires_request_id and not http.headers.get(names.request_id):
            return f"it has no {names.request_id} field"
        return head_fault(
            target=http.raw_path,
            http_1_1=http.version >= HttpVersion11,
            fields=http.headers.items(),
        )

    async def _fetch(self, http: web.BaseRequest, exchange: Exchange) -> CallResponse | CallRefusal:
        """Route a request, and dispatch or refuse it."""
        arrived_at = time.monotonic()
        fault = self._head_fault(http)
        if fault is not None:
            return CallRefusal(
                exchange=exchange, refusal=MalformedRequest(reason=fault), close=True
            )
        if not self._accepts_calls:
            leaving = ProxyLeaving(verdict=Verdict.NOT_RUN)
            return CallRefusal(exchange=exchange, refusal=leaving)
        parent = self._parent(exchange.request_id)
        arrival = Arrival(http, arrived_at, None if parent is None else parent.team)
        match await self._router.find(arrival):
            case Routed() as routed:
                rules = routed.rules
            case refusal:
                return CallRefusal(exchange=exchange, refusal=refusal)
        deadline = self._router.deadline(http, rules, arrived_at)
        match await self._bodies.receive(http, exchange, rules, deadline):
            case bytes(body):
                pass
            case refusal:
                # After a body that was received whole, the requests behind it can be read.
                close = not http.content.is_eof()
                return CallRefusal(exchange=exchange, refusal=refusal, close=close)
        received = _Received(arrival, exchange, body, parent is not None)
        match await self._dispatch(received, routed):
            case CallResponse() as response:
                return response
            case refusal:
                return CallRefusal(exchange=exchange, refusal=refusal)

    async def _dispatch(self, received: _Received, routed: Routed) -> CallResponse | Refusal:
        """Dispatch a call, and route it again whenever an owner has a newer version."""
        exchange = received.exchange
        while True:
            call = exchange.call = self._new_call(received, routed)
            match await self._dispatcher.dispatch(call):
                case StartedResponse() as started:
                    exchange.response_begun = True
                    self._call_log.record_late(call, started, received.arrival.arrived_at)
                    return CallResponse(exchange=exchange, call=call, started=started)
                case RouteOutdated() as outdated:
                    remaining = call.time_remaining(time.monotonic())
                    match await self._router.find_again(received.arrival, outdated, remaining):
                        case Routed() as routed:
                            pass
                        case refusal:
                            return refusal
                case refusal:
                    return refusal

    def _new_call(self, received: _Received, routed: Routed) -> Call:
        """Return the call for a request that has been received and routed."""
        http, arrived_at, _ = received.arrival
        request_id, rules = received.exchange.request_id, routed.rules
        forwarded = self._header_names.headers_to_owner(
            end_to_end_headers(http.headers.items()),
            request_id,
            self._origin_service,
            routed.access,
        )
        return Call(
            request_id=request_id,
            request=Request(http.method, http.raw_path, forwarded, received.body),
            rules=rules,
            deadline=self._router.deadline(http, rules, arrived_at),
            caller=http.remote or "",
            goal=None if rules.goal is None else arrived_at + rules.goal,
            nested=received.is_nested,
            version=routed.table.version,
            access=routed.access,
        )
