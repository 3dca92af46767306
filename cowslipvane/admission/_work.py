"""The work of an upstream: the attempts that proxies offer it."""

from __future__ import annotations

from typing import NamedTuple

from cowslipvane.admission._service_times import request_kind
from cowslipvane.call import AttemptId, Offer, Request
from cowslipvane.types import KeyDigest, TeamName, Version


class Work(NamedTuple):
    """An attempt that is queued or running.

    deadline and goal are in time.monotonic seconds. The goal is the latency goal: the time until
    which an answer is worth most. nested means that an upstream made the call while handling
    another request, which fails if this call fails. version is that of the configuration by which
    the call was routed, None if it isn't known. team is the one that the request is for, and key
    the digest of the key that it showed.
    """

    attempt: AttemptId
    request: Request
    deadline: float
    idempotent: bool
    caller: str
    goal: float | None = None
    kind: str = ""
    nested: bool = False
    version: Version | None = None
    team: TeamName | None = None
    key: KeyDigest | None = None

    @classmethod
    def offered(cls, offer: Offer, now: float) -> Work:
        """Return the attempt of an offer that arrives now (time.monotonic seconds)."""
        return cls(
            attempt=offer.attempt,
            request=offer.request,
            deadline=now + offer.timeout,
            idempotent=offer.idempotent,
            caller=offer.caller,
            goal=None if offer.goal is None else now + offer.goal,
            kind=offer.kind or request_kind(offer.request),
            nested=offer.nested,
            version=offer.version,
            team=offer.team,
            key=offer.key,
        )
