"""Messages between the proxy that a call enters and the owner of an upstream."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.refusal import Refusal
from cowslipvane.routing import Load
from cowslipvane.types import Headers, HostName, Seconds, ServiceName


class AttemptId(NamedTuple):
    """One attempt at a request: its entry's host and incarnation, and a serial that only grows."""

    entry: HostName
    incarnation: int
    serial: int

    @property
    def order(self) -> tuple[int, int]:
        """Return what orders the attempts of one entry, also across its restarts."""
        return self.incarnation, self.serial


class Request(NamedTuple):
    """A caller's request; path is the target as received, query included."""

    method: str
    path: str
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header field, if it is there."""
        lower = name.lower()
        return next((value for held, value in self.headers if held.lower() == lower), None)


@dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """Hands an attempt over to the owner of an upstream.

    goal is the time left until the answer is worth less, and kind tells calls apart by their time.
    nested says that an upstream makes the call for a request that it runs.
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


@dataclass(frozen=True, slots=True, kw_only=True)
class Chunk:
    """Carries a further part of a body; more says whether others follow."""

    attempt: AttemptId
    body: bytes
    more: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """Gives an attempt up that was offered to an incarnation; the owner answers with its end."""

    attempt: AttemptId
    incarnation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """Asks what became of an attempt that was offered to an incarnation.

    An attempt that has not started never will; one that has sends its answer from the start.
    """

    attempt: AttemptId
    incarnation: int


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
SendReply = Callable[[OwnerMessage], Awaitable[None]]


def size(message: OwnerMessage) -> int:
    """Return the bytes that a message holds, its own fields aside."""
    match message:
        case Answer(headers=headers, body=body):
            return len(body) + sum(len(name) + len(value) for name, value in headers)
        case Chunk(body=body):
            return len(body)
        case Refused():
            return 0
