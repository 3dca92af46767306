"""Messages between the entry proxy of a call and the owner of an upstream."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipvane.refusal import Refusal
from cowslipvane.routing import Load
from cowslipvane.types import (
    ADDED_FIELD,
    Headers,
    HostName,
    KeyDigest,
    Seconds,
    ServiceName,
    TeamName,
    Version,
)


class AttemptId(NamedTuple):
    """An attempt: the host and incarnation of its entry proxy, and an increasing serial."""

    entry: HostName
    incarnation: int
    serial: int

    @property
    def order(self) -> tuple[int, int]:
        """Return a sort key for the attempts of one entry proxy, also across restarts."""
        return self.incarnation, self.serial


class Request(NamedTuple):
    """A request of a caller; path is the request target as received, with the query."""

    method: str
    path: str
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header field, or None if it is missing."""
        lower = name.lower()
        return next((value for field, value in self.headers if field.lower() == lower), None)


@dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """Offer an attempt to the owner of an upstream.

    goal is the time remaining until the latency goal; kind identifies calls with similar service
    times. nested means that an upstream made the call while handling another request. version is
    that of the configuration by which the call was routed, None if it isn't known. length is that
    of the whole body, of which further parts may follow. team is the one that the request is for,
    and key the digest of the key that it showed; the key itself isn't sent.
    """

    attempt: AttemptId
    service: ServiceName
    request: Request
    timeout: Seconds
    idempotent: bool
    caller: str
    more: bool = False
    goal: Seconds | None = None
    kind: str = ""
    nested: bool = False
    version: Version | None = None
    length: int = 0
    team: TeamName | None = field(default=None, metadata=ADDED_FIELD)
    key: KeyDigest | None = field(default=None, metadata=ADDED_FIELD)


@dataclass(frozen=True, slots=True, kw_only=True)
class Chunk:
    """Send another part of a body; more tells whether others follow."""

    attempt: AttemptId
    body: bytes
    more: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """Cancel an attempt that was offered to an incarnation.

    The owner replies with the outcome of the attempt.
    """

    attempt: AttemptId
    incarnation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """Request the outcome of an attempt that was offered to an incarnation.

    An attempt that has not started is prevented from starting. The answer of one that has started
    is sent again from its beginning.
    """

    attempt: AttemptId
    incarnation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Send the head and the first part of the upstream's answer."""

    attempt: AttemptId
    status: int
    headers: Headers
    body: bytes
    more: bool
    load: Load


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """End an attempt that has no complete answer."""

    attempt: AttemptId
    refusal: Refusal
    load: Load | None = None


OwnerMessage = Answer | Chunk | Refused
SendReply = Callable[[OwnerMessage], Awaitable[None]]


def payload_size(message: OwnerMessage) -> int:
    """Return the number of bytes of the headers and the body in a message."""
    match message:
        case Answer(headers=headers, body=body):
            return len(body) + sum(len(name) + len(value) for name, value in headers)
        case Chunk(body=body):
            return len(body)
        case Refused():
            return 0
