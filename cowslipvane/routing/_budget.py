"""Budgets that keep retries and hedges a share of the calls, over the whole fleet."""

from __future__ import annotations

from cowslipvane.refusal import Draining, NoUpstream, Overloaded, QueueFull, Refusal, Withdrawn
from cowslipvane.settings import DEFAULT_RETRIES, Retries
from cowslipvane.types import Seconds, ServiceName

# Part of the fleet's allowance that is used: calls that a repeated run makes are repeats too.
USED_SHARE = 0.75
# Hedges allowed for each call, on average, and each second beside these.
HEDGE_SHARE = 0.05
HEDGE_FLOOR_PER_S = 0.2
# The most hedges that can be saved up.
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

    def limit(self, most: float) -> None:
        """Save up no more than this from now on."""
        self._most = most
        self._tokens = min(self._tokens, most)

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
    """One proxy's part of the fleet's budgets for retries and hedges, by service.

    What calls earn adds up over the proxies by itself; the slack beside it is divided among them.
    """

    def __init__(self, *, retries: Retries = DEFAULT_RETRIES) -> None:
        self._retries_allowed = retries
        self._proxies = 1
        self._retries: dict[ServiceName, TokenBucket] = {}
        self._hedges: dict[ServiceName, TokenBucket] = {}

    def set_proxy_count(self, proxies: int) -> None:
        """Divide the slack among so many proxies, this one included."""
        if proxies != self._proxies:
            self._proxies = proxies
            for bucket in self._retries.values():
                bucket.limit(self._part)

    def record_call(self, service: ServiceName, now: float) -> None:
        """Count a call's first attempt."""
        if service not in self._retries:
            share = self._retries_allowed.share * USED_SHARE
            self._retries[service] = TokenBucket(
                share=share, floor_per_s=self._part_per_s, most=self._part, now=now
            )
            self._hedges[service] = TokenBucket(
                share=HEDGE_SHARE, floor_per_s=HEDGE_FLOOR_PER_S, most=_MOST_HEDGES, now=now
            )
        self._retries[service].earn()
        self._hedges[service].earn()

    def allow_retry(self, service: ServiceName, refusal: Refusal, now: float) -> bool:
        """Return whether a refused call may be tried again, and count the retry."""
        match refusal:
            case Draining() | QueueFull() | Overloaded() | Withdrawn() | NoUpstream():
                # An owner refused it before it came to an upstream, which costs that nothing.
                return True
            case _:
                return service in self._retries and self._retries[service].spend(now)

    def allow_hedge(self, service: ServiceName, now: float) -> bool:
        """Return whether a call may be sent a second time, and count the hedge."""
        return service in self._hedges and self._hedges[service].spend(now)

    @property
    def _part(self) -> float:
        """Return the tokens that this proxy may save up; half of its part, the rest comes by time.

        A bucket that is full at the start of a window can spend that, and what it earns in it.
        """
        return max(1.0, self._slack / 2)

    @property
    def _part_per_s(self) -> float:
        """Return the tokens that this proxy earns by time alone."""
        return self._slack / 2 / self._retries_allowed.window

    @property
    def _slack(self) -> float:
        """Return this proxy's part of the slack in a window."""
        return self._retries_allowed.slack * USED_SHARE / self._proxies
