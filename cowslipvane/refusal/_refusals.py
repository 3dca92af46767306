"""Refusals as data classes, and the sentence, status and verdict of each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.types import HostName, Seconds, ServiceName, Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class NoConfiguration:
    """The proxy holds no accepted configuration yet."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRoute:
    """No route matches the request."""

    host: str
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MalformedRequest:
    """The request's head can't be passed on as it was meant."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NoUpstream:
    """No upstream of the service can take the request."""

    service: ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class Draining:
    """The upstream is leaving and starts no new request."""

    service: ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueFull:
    """The queue of the upstream is full."""

    service: ServiceName
    retry_after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Overloaded:
    """The upstream has too much to do to answer before the goal, or before the deadline."""

    service: ServiceName
    retry_after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlinePassed:
    """The deadline passed before an answer came."""

    service: ServiceName
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyTooLarge:
    """The request's body is larger than its route allows."""

    limit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLost:
    """The connection to the upstream broke before the whole answer came."""

    service: ServiceName
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The upstream itself rejected the request and did not run it."""

    service: ServiceName
    retry_after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerUnreachable:
    """The proxy that owns the upstream can't be reached."""

    host: HostName
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawn:
    """The request was taken back before it started."""

    service: ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerLost:
    """The answer can't be fetched again."""

    service: ServiceName
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """The caller closed its connection before an answer came."""

    verdict: Verdict


Refusal = (
    NoConfiguration
    | NoRoute
    | MalformedRequest
    | NoUpstream
    | Draining
    | QueueFull
    | Overloaded
    | DeadlinePassed
    | BodyTooLarge
    | UpstreamLost
    | Rejected
    | OwnerUnreachable
    | Withdrawn
    | AnswerLost
    | CallerGone
)


class Explanation(NamedTuple):
    """What a refusal says to a caller and to staff."""

    code: str
    status: int
    sentence: str
    verdict: Verdict
    retry_after: Seconds | None


def reached_upstream(refusal: Refusal) -> bool:
    """Return whether the attempt may have arrived at an upstream, be it run there or not."""
    match refusal:
        case Rejected():
            return True
        case _:
            return explain(refusal).verdict is not Verdict.NOT_RUN


# When to try again where what is missing usually comes back within a second.
SOON: Seconds = 0.3
# When to try again after a connection was lost before the request was sent over it.
LOST_RETRY: Seconds = 0.05

_WHETHER_IT_RAN = {
    Verdict.RAN: "The request was run.",
    Verdict.NOT_RUN: "The request was not run.",
    Verdict.MAY_HAVE_RUN: "The request may have run: check before you send it again.",
}


def explain(refusal: Refusal) -> Explanation:
    """Return the one explanation of a refusal."""
    code, status, cause, verdict, retry_after = _entry(refusal)
    return Explanation(code, status, f"{cause} {_WHETHER_IT_RAN[verdict]}", verdict, retry_after)


def _after_loss(verdict: Verdict) -> tuple[int, Seconds | None]:
    """Return the status of a lost attempt, and when to try again one that surely didn't run."""
    return (503, LOST_RETRY) if verdict is Verdict.NOT_RUN else (502, None)


def _entry(refusal: Refusal) -> tuple[str, int, str, Verdict, Seconds | None]:
    """Return code, HTTP status, cause, verdict and advice on when to retry, in seconds."""
    not_run = Verdict.NOT_RUN
    match refusal:
        case NoConfiguration():
            cause = "This proxy has not yet received a configuration."
            return "no-configuration", 503, cause, not_run, SOON
        case NoRoute(host=host, path=path):
            return "no-route", 404, f"No route serves {path} on {host}.", not_run, None
        case MalformedRequest(reason=reason):
            cause = f"The request can't be passed on: {reason}."
            return "malformed-request", 400, cause, not_run, None
        case NoUpstream(service=service):
            cause = f"No upstream of service {service} can take the request now."
            return "no-upstream", 503, cause, not_run, SOON
        case Draining(service=service):
            cause = f"The chosen upstream of service {service} is leaving."
            return "draining", 503, cause, not_run, 0.0
        case QueueFull(service=service, retry_after=retry_after):
            cause = f"Service {service} has as many requests waiting as it takes."
            return "queue-full", 503, cause, not_run, retry_after
        case Overloaded(service=service, retry_after=retry_after):
            cause = f"Service {service} has too much to do to answer in time."
            return "overloaded", 503, cause, not_run, retry_after
        case DeadlinePassed(service=service, verdict=verdict):
            cause = f"Service {service} did not answer before the deadline."
            # A gateway timeout says nothing of whether the request ran, which is known here.
            status = 503 if verdict is Verdict.NOT_RUN else 504
            return "deadline-passed", status, cause, verdict, None
        case BodyTooLarge(limit=limit):
            return "body-too-large", 413, f"The body is over {limit} bytes.", not_run, None
        case UpstreamLost(service=service, verdict=verdict):
            cause = f"The connection to an upstream of service {service} was lost."
            status, again = _after_loss(verdict)
            return "upstream-lost", status, cause, verdict, again
        case Rejected(service=service, retry_after=retry_after):
            cause = f"An upstream of service {service} rejected the request."
            return "upstream-rejected", 503, cause, not_run, retry_after
        case OwnerUnreachable(host=host, verdict=verdict):
            cause = f"The proxy on host {host} could not be reached."
            status, again = _after_loss(verdict)
            return "owner-unreachable", status, cause, verdict, again
        case Withdrawn(service=service):
            cause = f"The request was taken back from service {service} before it started."
            return "withdrawn", 503, cause, not_run, 0.0
        case AnswerLost(service=service, verdict=verdict):
            cause = f"The answer of service {service} was lost on its way."
            return "answer-lost", 502, cause, verdict, None
        case CallerGone(verdict=verdict):
            cause = "The caller closed its connection before the answer came."
            return "caller-gone", 499, cause, verdict, None
