"""Budgets that keep retries and hedges a share of the calls."""

from __future__ import annotations

from cowslipvane.refusal import Draining, Refusal
from cowslipvane.types import Seconds, ServiceName

# Retries and hedges allowed for each call, on average.
RETRY_SHARE = 0.2
HEDGE_SHARE = 0.05
# Retries and hedges allowed each second beside the share, so that rare calls have some.
RETRY_FLOOR_PER_S = 1.0
HEDGE_FLOOR_PER_S = 0.2
# The most that can be saved up.
_MOST_RETRIES = 20.0
_MOST_HEDGES = 5.0


class TokenBucket:
    """Tokens that calls and time earn, and that extra attempts spend."""

    def __init__(self, *, share: float, floor_per_s: float, most: float, now: float) -> None:
        self._share = share
        self._floor_per_s = floor_per_s
        self._most = most
        self._tokens = most
        self._filled_at = now

    def earn(self) -> None:
        """Earn the share of one call."""
        self._tokens = min(self._tokens + self._share, self._most)

    def spend(self, now: float) -> bool:
        """Spend a token; return False when there is none."""
        passed: Seconds = max(now - self._filled_at, 0.0)
        self._tokens = min(self._tokens + passed * self._floor_per_s, self._most)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Budgets:
    """The budgets for retries and for hedges of each service."""

    def __init__(self) -> None:
        self._retries: dict[ServiceName, TokenBucket] = {}
        self._hedges: dict[ServiceName, TokenBucket] = {}

    def note_call(self, service: ServiceName, now: float) -> None:
        """Count a call's first attempt."""
        if service not in self._retries:
            self._retries[service] = TokenBucket(
                share=RETRY_SHARE, floor_per_s=RETRY_FLOOR_PER_S, most=_MOST_RETRIES, now=now
            )
            self._hedges[service] = TokenBucket(
                share=HEDGE_SHARE, floor_per_s=HEDGE_FLOOR_PER_S, most=_MOST_HEDGES, now=now
            )
        self._retries[service].earn()
        self._hedges[service].earn()

    def allow_retry(self, service: ServiceName, refusal: Refusal, now: float) -> bool:
        """Return whether a refused call may be tried again, and count the retry."""
        match refusal:
            case Draining():
                # A planned stop sends its queue elsewhere once; that can't amplify a crest.
                return True
            case _:
                return service in self._retries and self._retries[service].spend(now)

    def allow_hedge(self, service: ServiceName, now: float) -> bool:
        """Return whether a call may be sent a second time, and count the hedge."""
        return service in self._hedges and self._hedges[service].spend(now)
