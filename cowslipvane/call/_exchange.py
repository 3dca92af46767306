"""A caller's request, how far it has got, and why it may end without a response."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from cowslipvane.call._call import Call
from cowslipvane.types import RequestId, Verdict


class Progress(enum.Enum):
    """How far a request has got."""

    NOT_PASSED_ON = "not passed on"
    AT_OWNER = "at an owner"
    RESPONSE_BEGUN = "the worker's response had begun"


@dataclass(slots=True, kw_only=True, eq=False)
class Exchange:
    """One request of a caller and its response.

    call is None before the request is routed. has_ended means that an event tells how it ended.
    body_bytes is the part of the request's body that has been received, held_bytes the part of the
    response's that is held back for requests behind it.
    """

    request_id: RequestId
    method: str
    target: str
    call: Call | None = None
    body_bytes: int = 0
    held_bytes: int = 0
    response_begun: bool = False
    has_ended: bool = False

    @property
    def asked(self) -> str:
        """Return the method and the path."""
        return f"{self.method} {self.target.partition('?')[0]}"

    @property
    def progress(self) -> Progress:
        """Return how far the request has got."""
        if self.response_begun:
            return Progress.RESPONSE_BEGUN
        if self.call is not None and self.call.tried_hosts:
            return Progress.AT_OWNER
        return Progress.NOT_PASSED_ON

    @property
    def verdict(self) -> Verdict:
        """Return what is known of its run if its handling ends now."""
        passed_on = self.progress is not Progress.NOT_PASSED_ON
        return Verdict.MAY_HAVE_RUN if passed_on else Verdict.NOT_RUN


@dataclass(frozen=True, slots=True, kw_only=True)
class ClosedByCaller:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseBroken:
    """The response to this request broke after it had begun, so the connection was reset."""

    request_id: RequestId
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HandlerFailed:
    """An exception ended the handling of this request after its response had begun."""

    request_id: RequestId
    error: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessExited:
    """The process exited before the response was complete."""

    reason: str


# Why a connection ended while requests on it had no complete response.
ConnectionEnd = ClosedByCaller | ResponseBroken | HandlerFailed | ProcessExited


def describe_end(end: ConnectionEnd, request_id: RequestId) -> str:
    """Return why a request has no complete response; the cause may be another request."""
    match end:
        case ClosedByCaller():
            return "the caller closed the connection"
        case ResponseBroken(request_id=broken, reason=reason) if broken == request_id:
            return reason
        case ResponseBroken(request_id=broken):
            return f"the connection was reset for the broken response to {broken}"
        case HandlerFailed(request_id=failed, error=error) if failed == request_id:
            return f"its handler failed: {error}"
        case HandlerFailed(request_id=failed):
            return f"the connection was reset for the failed handler of {failed}"
        case ProcessExited(reason=reason):
            return reason
