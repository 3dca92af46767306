"""Messages between the proxy that a call enters and the owner of an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.refusal import Refusal
from cowslipvane.routing import Load
from cowslipvane.types import Headers, RequestId, Seconds, ServiceName


class AttemptId(NamedTuple):
    """One attempt at a request, counted from 1."""

    request_id: RequestId
    number: int


class Request(NamedTuple):
    """A caller's request; path is the target as received, query included."""

    method: str
    path: str
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """Hands an attempt over to the owner of an upstream."""

    attempt: AttemptId
    service: ServiceName
    request: Request
    timeout: Seconds
    more: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Chunk:
    """Carries a further part of a body; more says whether others follow."""

    attempt: AttemptId
    body: bytes
    more: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """Says that nobody waits for the attempt any more."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Begins the upstream's answer."""

    attempt: AttemptId
    status: int
    headers: Headers
    body: bytes
    more: bool
    load: Load


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Ends an attempt without a whole answer."""

    attempt: AttemptId
    refusal: Refusal
    load: Load | None = None


OwnerMessage = Answer | Chunk | Refused
