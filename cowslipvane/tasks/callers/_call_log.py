"""Events of calls: refused, late, failed, or without a complete response."""

from __future__ import annotations

import time
import traceback
from pathlib import Path
from typing import NamedTuple

from cowslipvane.call import (
    Call,
    ClosedByCaller,
    ConnectionEnd,
    Exchange,
    ResponseBroken,
    describe_end,
)
from cowslipvane.events import EventLog
from cowslipvane.refusal import (
    CallerGone,
    Explanation,
    KeyRefused,
    ProxyFailed,
    Refusal,
    explain,
)
from cowslipvane.routing import Load
from cowslipvane.subscription import Subscription
from cowslipvane.tasks.callers._dispatcher import StartedResponse
from cowslipvane.tasks.callers._outcomes import CallRefusal


class _Decision(NamedTuple):
    """The route that refused a request, and the version that this route is of."""

    route: str
    routed_by: str


class CallLog:
    """Records what becomes of calls."""

    def __init__(self, *, events: EventLog, subscription: Subscription) -> None:
        self._events = events
        self._subscription = subscription

    def record_end(self, exchange: Exchange, end: ConnectionEnd) -> None:
        """Record once why a request has no complete response, and how far it had got."""
        if exchange.has_ended:
            return
        exchange.has_ended = True
        reason = describe_end(end, exchange.request_id)
        progress = exchange.progress.value
        match end:
            case ClosedByCaller():
                self.record_refusal(exchange, CallerGone(verdict=exchange.verdict))
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

    def record_failure(self, exchange: Exchange, error: Exception) -> CallRefusal:
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

    def record_refusal(self, exchange: Exchange, refusal: Refusal) -> Explanation:
        """Record a refusal and return its explanation."""
        explanation = explain(refusal)
        decision = _decision(refusal)
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
            route=decision.route,
            routed_by=decision.routed_by,
        )
        return explanation

    def record_late(self, call: Call, started: StartedResponse, arrived_at: float) -> None:
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


def _decision(refusal: Refusal) -> _Decision:
    """Return which route refused a request for its key; the texts are empty for other refusals."""
    match refusal:
        case KeyRefused(route=route, version=version):
            return _Decision(route, str(version))
        case _:
            return _Decision("", "")


def _describe_load(load: Load | None) -> str:
    """Return an owner's load in words, an empty string if no owner has reported it."""
    if load is None:
        return ""
    return f"{load.running} running and {load.queued} waiting for {load.slots} slots"


def _place(error: Exception) -> str:
    """Return the file and the line that raised an error."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{Path(frame.filename).name}:{frame.lineno}"
