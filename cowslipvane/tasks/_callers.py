"""The callers' side: the task of each HTTP connection carries its call straight down."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

from aiohttp import HttpVersion11, web

from cowslipvane.call import (
    DEFAULT_HEADER_NAMES,
    Call,
    HeaderNames,
    Request,
    end_to_end_headers,
    head_fault,
)
from cowslipvane.events import EventLog
from cowslipvane.metrics import Metrics
from cowslipvane.refusal import (
    BodyTooLarge,
    CallerGone,
    Explanation,
    MalformedRequest,
    NoConfiguration,
    NoRoute,
    Refusal,
    explain,
)
from cowslipvane.routing import Load, RoutingTable, ServiceRules
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._dispatcher import BrokenResponse, Dispatcher, StartedResponse, next_part
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._pipeline import is_last_for_now, take_prefetched
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import Headers, RequestId, Seconds, Verdict

# A proxy that has just started has a configuration within this time, unless it is cut off.
FIRST_CONFIGURATION_TIMEOUT: Seconds = 2.0
# The share of a caller's patience that it waits for the first configuration; the rest is for the
# work, or for coming back.
START_SHARE = 0.5

AnyResponse = TypeVar("AnyResponse", bound=web.StreamResponse)
# Lingering for no time makes the system send a reset in place of an ordinary end.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Fetched:
    """An answer to a call has begun."""

    call: Call
    started: StartedResponse

    @property
    def request_id(self) -> RequestId:
        """Return the id of the request."""
        return self.call.request_id


@dataclass(frozen=True, slots=True, kw_only=True)
class TurnedAway:
    """There is no answer; close says whether the connection can't be used further.

    call is what was tried, None where nothing was.
    """

    request_id: RequestId
    refusal: Refusal
    close: bool = False
    call: Call | None = None


class Callers:
    """Takes callers' requests, finds owners for them, and answers."""

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
        self._applied = configuration_applied
        self._owner = owner
        self._started_at = time.monotonic()
        self._origin_service = origin_service
        self._names = header_names
        self._metrics = metrics
        self._subscription = subscription
        self._carrier = dispatcher
        self._events = events
        self._rng = rng
        self._under_way: set[RequestId] = set()
        self._ended = Signal()
        self._stopping = False

    @property
    def in_flight(self) -> tuple[RequestId, ...]:
        """Return the calls that have no whole answer yet."""
        return tuple(self._under_way)

    async def wait_idle(self) -> None:
        """Return once no call is under way."""
        while self._under_way:
            await self._ended.wait()

    def stop(self) -> None:
        """Close each connection after the answer that it waits for."""
        self._stopping = True

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        began = time.monotonic()
        ahead = take_prefetched(http)
        outcome = await (self.fetch(http) if ahead is None else ahead)
        try:
            return await self._answer(http, outcome)
        except asyncio.CancelledError:
            self._record_gone(http, outcome.request_id)
            raise
        finally:
            self._metrics.record_call(time.monotonic() - began)
            self._end(outcome.request_id)

    async def fetch(self, http: web.BaseRequest) -> Fetched | TurnedAway:
        """Return the answer that has begun to a request, or why there is none.

        The request is under way until what is returned has been sent.
        """
        request_id = self._request_id(http)
        self._under_way.add(request_id)
        try:
            return await self._fetch(http, request_id)
        except asyncio.CancelledError:
            self._record_gone(http, request_id)
            self._end(request_id)
            raise
        except Exception:
            self._end(request_id)
            raise

    async def discard(self, outcome: Fetched | TurnedAway) -> None:
        """Give up what was fetched, because its caller left before its turn came."""
        self._end(outcome.request_id)
        match outcome:
            case Fetched(started=served) if served.answer.more:
                await self._carrier.abandon(served)

    def _record_gone(self, http: web.BaseRequest, request_id: RequestId) -> None:
        """Record that a caller has closed its connection, of which only events can tell."""
        self._record_refusal(http, request_id, CallerGone(verdict=Verdict.MAY_HAVE_RUN))

    def _end(self, request_id: RequestId) -> None:
        """Count a request as over."""
        self._under_way.discard(request_id)
        self._ended.send()

    def _request_id(self, http: web.BaseRequest) -> RequestId:
        """Return the caller's name of a request where callers name them, or a new one."""
        named = http.headers.get(self._names.request_id, "")
        if self._names.accepts_request_ids and named:
            return RequestId(named)
        return RequestId(uuid.uuid4().hex)

    def _is_nested(self, request_id: RequestId) -> bool:
        """Return whether the worker here makes a call for a request that it runs.

        Such a call is named after that request: its id, a dot, and what tells the calls apart.
        """
        parent, dot, _ = request_id.rpartition(".")
        return bool(dot) and self._owner.is_running(parent)

    def _patience(self, http: web.BaseRequest) -> Seconds | None:
        """Return how long a caller says that it waits, None when it doesn't."""
        told = http.headers.get(self._names.timeout_ms, "")
        return float(told) / 1000 if told.isdecimal() else None

    def _deadline(self, http: web.BaseRequest, rules: ServiceRules, arrived: float) -> float:
        """Return when nobody waits for the answer any more, by the caller and by the route."""
        patience = self._patience(http)
        longest = rules.traffic.timeout
        return arrived + (longest if patience is None else min(patience, longest))

    async def _first_table(self, http: web.BaseRequest, arrived: float) -> RoutingTable | None:
        """Return the routing table, which a proxy that has just started may wait for."""
        if self._subscription.table is not None:
            return self._subscription.table
        give_up = self._started_at + FIRST_CONFIGURATION_TIMEOUT
        patience = self._patience(http)
        if patience is not None:
            give_up = min(give_up, arrived + patience * START_SHARE)
        while self._subscription.table is None and (left := give_up - time.monotonic()) > 0:
            await self._applied.wait(left)
        return self._subscription.table

    async def _fetch(self, http: web.BaseRequest, request_id: RequestId) -> Fetched | TurnedAway:
        """Route a request, and carry it or turn it away."""
        arrived = time.monotonic()
        table = await self._first_table(http, arrived)
        if table is None:
            return TurnedAway(request_id=request_id, refusal=NoConfiguration())
        fault = head_fault(
            target=http.raw_path,
            http_1_1=http.version >= HttpVersion11,
            fields=http.headers.items(),
        )
        if fault is not None:
            return TurnedAway(
                request_id=request_id, refusal=MalformedRequest(reason=fault), close=True
            )
        headers = end_to_end_headers(http.headers.items())
        rules = self._route(table, http, headers)
        if rules is None:
            host = http.headers.get("Host", "")
            return TurnedAway(request_id=request_id, refusal=NoRoute(host=host, path=http.path))
        body = await self._body(http, rules)
        if body is None:
            limit = rules.traffic.max_body_bytes
            return TurnedAway(request_id=request_id, refusal=BodyTooLarge(limit=limit), close=True)
        passed = self._names.headers_to_owner(headers, request_id, self._origin_service)
        call = Call(
            request_id=request_id,
            request=Request(http.method, http.raw_path, passed, body),
            rules=rules,
            deadline=self._deadline(http, rules, arrived),
            caller=http.remote or "",
            goal=None if rules.goal is None else arrived + rules.goal,
            nested=self._is_nested(request_id),
        )
        match await self._carrier.dispatch(call):
            case StartedResponse() as served:
                self._note_late(call, served, arrived)
                return Fetched(call=call, started=served)
            case refusal:
                return TurnedAway(request_id=request_id, refusal=refusal, call=call)

    def _note_late(self, call: Call, served: StartedResponse, arrived: float) -> None:
        """Record an answer that begins after the goal of its call."""
        now = time.monotonic()
        left = call.goal_remaining(now)
        if left is not None and left < 0:
            self._events.record(
                "late",
                request=call.request_id,
                took=f"{now - arrived:.3f}",
                goal=f"{now - arrived + left:.3f}",
                owner=served.owner.host,
                tried=" ".join(call.tried_hosts),
                load=_told(call.load),
                status=str(served.answer.status),
            )

    async def _answer(
        self, http: web.BaseRequest, outcome: Fetched | TurnedAway
    ) -> web.StreamResponse:
        """Send what became of a request."""
        match outcome:
            case Fetched(call=call, started=served):
                return await self._send_answer(http, call, served)
            case TurnedAway() as turned_away:
                return self._refuse(http, turned_away)

    def _route(
        self, table: RoutingTable, http: web.BaseRequest, headers: Headers
    ) -> ServiceRules | None:
        """Return the service for a request."""
        host, path = http.headers.get("Host", ""), http.rel_url.raw_path
        return table.route(host=host, path=path, method=http.method, headers=headers, rng=self._rng)

    async def _body(self, http: web.BaseRequest, rules: ServiceRules) -> bytes | None:
        """Return the whole body, or None when it is over the route's limit."""
        limit = rules.traffic.max_body_bytes
        if not http.can_read_body:
            return b""
        if (http.content_length or 0) > limit:
            return None
        if "Expect" in http.headers:
            await http.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            # The count of the final answer begins after the interim one.
            http.writer.output_size = 0
        body = bytearray()
        while chunk := await http.content.readany():
            body += chunk
            if len(body) > limit:
                return None
        return bytes(body)

    async def _send_answer(
        self,
        http: web.BaseRequest,
        call: Call,
        served: StartedResponse,
    ) -> web.StreamResponse:
        """Pass the upstream's answer on to the caller."""
        answer = served.answer
        own: dict[str, str] = {self._names.request_id: call.request_id}
        if self._names.owner and served.owner.callers is not None:
            own[self._names.owner] = str(served.owner.callers)
        fields = [(header.name, header.value) for header in answer.headers]
        if not answer.more:
            response = web.Response(status=answer.status, body=answer.body)
            _set_fields(response, fields, own)
            return self._closing(http, response)
        stream = web.StreamResponse(status=answer.status)
        _set_fields(stream, fields, own)
        self._closing(http, stream)
        await stream.prepare(http)
        try:
            await self._pass_on(stream, served)
        except BrokenResponse as broken:
            self._events.record("broken", request=call.request_id, reason=str(broken))
            _reset(http)
            return stream
        await stream.write_eof()
        return stream

    async def _pass_on(self, stream: web.StreamResponse, served: StartedResponse) -> None:
        """Write a body as its parts arrive; raise BrokenResponse when it isn't whole."""
        more = True
        whole = False
        try:
            await stream.write(served.answer.body)
            while more:
                body, more = next_part(await served.mailbox.get())
                await stream.write(body)
            whole = True
        finally:
            if not whole:
                await self._carrier.abandon(served)

    def _refuse(self, http: web.BaseRequest, outcome: TurnedAway) -> web.Response:
        """Answer with a refusal and its explanation."""
        request_id = outcome.request_id
        told = self._record_refusal(http, request_id, outcome.refusal, outcome.call)
        form = {
            "code": told.code,
            "sentence": told.sentence,
            "verdict": told.verdict.value,
            "request": request_id,
        }
        response = web.json_response(form, status=told.status)
        response.headers[self._names.request_id] = request_id
        if told.retry_after is not None:
            response.headers["Retry-After"] = _seconds(told.retry_after)
        if outcome.close:
            response.force_close()
        return self._closing(http, response)

    def _record_refusal(
        self,
        http: web.BaseRequest,
        request_id: RequestId,
        refusal: Refusal,
        call: Call | None = None,
    ) -> Explanation:
        """Record a refusal and return its explanation."""
        told = explain(refusal)
        self._events.record(
            "refusal",
            request=request_id,
            in_force=str(self._subscription.version),
            tried="" if call is None else " ".join(call.tried_hosts),
            load="" if call is None else _told(call.load),
            asked=f"{http.method} {http.path}",
            status=str(told.status),
            code=told.code,
            sentence=told.sentence,
            verdict=told.verdict.value,
        )
        return told

    def _closing(self, http: web.BaseRequest, response: AnyResponse) -> AnyResponse:
        """Close the connection after its last response, when the process is stopping."""
        if self._stopping and is_last_for_now(http):
            response.force_close()
        return response


def _told(load: Load | None) -> str:
    """Return an owner's load in words, nothing when no owner has told one."""
    if load is None:
        return ""
    return f"{load.running} running and {load.queued} waiting for {load.slots} slots"


def _reset(http: web.BaseRequest) -> None:
    """Cut the connection with a reset, which also tells a caller that reads until its end."""
    if http.transport is None:
        return
    connection = http.transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    http.transport.abort()


def _seconds(time: Seconds) -> str:
    """Return a time as Retry-After tells it; RFC 9110 knows whole seconds, callers take parts."""
    return f"{time:.3f}".rstrip("0").rstrip(".")


def _set_fields(
    response: web.StreamResponse, fields: list[tuple[str, str]], own: Mapping[str, str]
) -> None:
    """Give a response the upstream's header fields, and the system's own over them."""
    response.headers.extend(fields)
    response.headers.update(own)
