"""Refusals as data classes, with the code, status, sentence and verdict of each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.access import KeyFault
from cowslipvane.types import (
    HostName,
    Quota,
    Seconds,
    ServiceName,
    TeamName,
    Verdict,
    Version,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class NoConfiguration:
    """The proxy has not received a configuration yet."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRoute:
    """No route matches the request."""

    host: str
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteOutdated:
    """The request was routed by an older version, and the newer one doesn't lead to the service."""

    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRefused:
    """The route needs the key of a team, and in this version the request shows none."""

    fault: KeyFault
    version: Version
    route: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class KeysUnconfirmed:
    """The proxy on a host can't tell whether the request's key was withdrawn."""

    host: HostName


@dataclass(frozen=True, slots=True, kw_only=True)
class OverQuota:
    """The team has used up its quota, over all proxies together."""

    team: TeamName
    quota: Quota
    version: Version
    retry_after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaUnconfirmed:
    """Too few of the replicas that count the team's requests could be asked."""

    team: TeamName
    version: Version
    retry_after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class MalformedRequest:
    """The head of the request can't be forwarded faithfully."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NoUpstream:
    """No upstream of the service can take the request."""

    service: ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class Draining:
    """The upstream is draining and starts no new requests."""

    service: ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueFull:
    """The queue of the upstream is full."""

    service: ServiceName
    retry_after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Overloaded:
    """The upstream is too busy to answer before the latency goal or the deadline."""

    service: ServiceName
    retry_after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlinePassed:
    """The deadline passed before an answer was received."""

    service: ServiceName
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyTooLarge:
    """The body of the request is larger than its service allows."""

    limit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLost:
    """The connection to the upstream was lost before the answer was complete."""

    service: ServiceName
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The upstream rejected the request without running it."""

    service: ServiceName
    retry_after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerUnreachable:
    """The proxy that owns the upstream is unreachable."""

    host: HostName
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawn:
    """The request was withdrawn before it started."""

    service: ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerLost:
    """The answer was lost and can't be fetched again."""

    service: ServiceName
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """The caller closed its connection before an answer was received."""

    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxyLeaving:
    """The entry proxy is stopping, and exits before the response can be complete."""

    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxyFailed:
    """An unexpected error ended the handling of the request in the entry proxy."""

    verdict: Verdict


Refusal = (
    NoConfiguration
    | NoRoute
    | RouteOutdated
    | KeyRefused
    | KeysUnconfirmed
    | OverQuota
    | QuotaUnconfirmed
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
    | ProxyLeaving
    | ProxyFailed
)


class Explanation(NamedTuple):
    """The explanation of a refusal for callers and operators."""

    code: str
    status: int
    sentence: str
    verdict: Verdict
    retry_after: Seconds | None


def reached_upstream(refusal: Refusal) -> bool:
    """Return whether the attempt may have reached an upstream, whether it was run or not."""
    match refusal:
        case Rejected():
            return True
        case _:
            return explain(refusal).verdict is not Verdict.NOT_RUN


# Retry delay for conditions that usually end within a second.
SHORT_RETRY_DELAY: Seconds = 0.3
# Retry delay after a connection was lost before the request was sent over it.
RETRY_DELAY_AFTER_LOSS: Seconds = 0.05

_VERDICT_SENTENCES = {
    Verdict.RAN: "The request was run.",
    Verdict.NOT_RUN: "The request was not run.",
    Verdict.MAY_HAVE_RUN: "The request may have run: check before you send it again.",
}


def explain(refusal: Refusal) -> Explanation:
    """Return the explanation of a refusal."""
    code, status, cause, verdict, retry_after = _table_row(refusal)
    return Explanation(code, status, f"{cause} {_VERDICT_SENTENCES[verdict]}", verdict, retry_after)


def _status_after_loss(verdict: Verdict) -> tuple[int, Seconds | None]:
    """Return the status of a lost attempt, and a retry delay if it was not run."""
    return (503, RETRY_DELAY_AFTER_LOSS) if verdict is Verdict.NOT_RUN else (502, None)


def _key_cause(fault: KeyFault, version: Version) -> str:
    """Return why the key of a request, or the lack of one, doesn't admit it."""
    match fault:
        case "missing":
            return "The route needs the key of a team, and the request shows none."
        case "unreadable":
            return "The request's Authorization field doesn't hold exactly one bearer key."
        case "unknown":
            return f"No team has the request's key in version {version} of the configuration."


def _table_row(refusal: Refusal) -> tuple[str, int, str, Verdict, Seconds | None]:
    """Return code, HTTP status, cause, verdict and retry delay of a refusal."""
    not_run = Verdict.NOT_RUN
    match refusal:
        case NoConfiguration():
            cause = "This proxy has not yet received a configuration."
            return "no-configuration", 503, cause, not_run, SHORT_RETRY_DELAY
        case NoRoute(host=host, path=path):
            return "no-route", 404, f"No route serves {path} on {host}.", not_run, None
        case RouteOutdated(version=version):
            cause = f"This proxy has not yet received version {version} of the configuration."
            return "route-outdated", 503, cause, not_run, SHORT_RETRY_DELAY
        case KeyRefused(fault=fault, version=version):
            return f"key-{fault}", 401, _key_cause(fault, version), not_run, None
        case KeysUnconfirmed(host=host):
            cause = f"The proxy on host {host} could not confirm in time which keys are valid."
            return "keys-unconfirmed", 503, cause, not_run, SHORT_RETRY_DELAY
        case OverQuota(team=team, quota=quota, retry_after=retry_after):
            amounts = f"{quota.rate:g} requests a second and {quota.burst:g} at once"
            cause = f"Team {team} has used up its quota of {amounts}."
            return "over-quota", 429, cause, not_run, retry_after
        case QuotaUnconfirmed(team=team, retry_after=retry_after):
            cause = f"It could not be confirmed in time that team {team} is within its quota."
            return "quota-unconfirmed", 503, cause, not_run, retry_after
        case MalformedRequest(reason=reason):
            cause = f"The request can't be passed on: {reason}."
            return "malformed-request", 400, cause, not_run, None
        case NoUpstream(service=service):
            cause = f"No upstream of service {service} can take the request now."
            return "no-upstream", 503, cause, not_run, SHORT_RETRY_DELAY
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
            # 504 leaves open whether the request ran, so 503 is used if it surely did not.
            status = 503 if verdict is Verdict.NOT_RUN else 504
            return "deadline-passed", status, cause, verdict, None
        case BodyTooLarge(limit=limit):
            return "body-too-large", 413, f"The body is over {limit} bytes.", not_run, None
        case UpstreamLost(service=service, verdict=verdict):
            cause = f"The connection to an upstream of service {service} was lost."
            status, retry_delay = _status_after_loss(verdict)
            return "upstream-lost", status, cause, verdict, retry_delay
        case Rejected(service=service, retry_after=retry_after):
            cause = f"An upstream of service {service} rejected the request."
            return "upstream-rejected", 503, cause, not_run, retry_after
        case OwnerUnreachable(host=host, verdict=verdict):
            cause = f"The proxy on host {host} could not be reached."
            status, retry_delay = _status_after_loss(verdict)
            return "owner-unreachable", status, cause, verdict, retry_delay
        case Withdrawn(service=service):
            cause = f"The request was taken back from service {service} before it started."
            return "withdrawn", 503, cause, not_run, 0.0
        case AnswerLost(service=service, verdict=verdict):
            cause = f"The answer of service {service} was lost on its way."
            return "answer-lost", 502, cause, verdict, None
        case CallerGone(verdict=verdict):
            cause = "The caller closed its connection before the answer came."
            return "caller-gone", 499, cause, verdict, None
        case ProxyLeaving(verdict=verdict):
            status, retry_delay = _status_after_loss(verdict)
            return "proxy-leaving", status, "This proxy is leaving.", verdict, retry_delay
        case ProxyFailed(verdict=verdict):
            cause = "The proxy failed while it handled the request."
            status, retry_delay = _status_after_loss(verdict)
            return "proxy-failed", status, cause, verdict, retry_delay
