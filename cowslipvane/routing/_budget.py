"""Budgets that limit retries and hedged requests to a share of the calls of the fleet."""

from __future__ import annotations

from cowslipvane.refusal import Draining, NoUpstream, Overloaded, QueueFull, Refusal, Withdrawn
from cowslipvane.settings import DEFAULT_RETRIES, Retries
from cowslipvane.token_bucket import TokenBucket
from cowslipvane.types import ServiceName

# Share of the fleet's retry allowance that proxies may spend. The rest covers the nested calls that
# a retried request repeats.
SPENDABLE_SHARE = 0.75
# Hedged requests that each proxy may send per call of a service, and per second in addition.
HEDGE_SHARE = 0.05
EXTRA_HEDGES_PER_S = 0.2
# Capacity of the token bucket for hedged requests, which each proxy has for each service.
_HEDGE_BUCKET_CAPACITY = 5.0


class Budgets:
    """One proxy's part of the fleet's budgets for retries and hedged requests, by service.

    Tokens earned by calls need no division, since each proxy counts its own calls. The slack for
    retries, which is allowed regardless of the number of calls, is divided evenly among the
    proxies. The extra hedged requests per second are not divided.
    """

    def __init__(self, *, retries: Retries = DEFAULT_RETRIES) -> None:
        self._allowance = retries
        self._proxy_count = 1
        self._retry_buckets: dict[ServiceName, TokenBucket] = {}
        self._hedge_buckets: dict[ServiceName, TokenBucket] = {}

    def set_proxy_count(self, proxy_count: int, now: float) -> None:
        """Divide the slack among this number of proxies, including this one."""
        if proxy_count == self._proxy_count:
            return
        self._proxy_count = proxy_count
        for bucket in self._retry_buckets.values():
            bucket.resize(
                tokens_per_s=self._slack_tokens_per_s, capacity=self._slack_capacity, now=now
            )

    def record_call(self, service: ServiceName, now: float) -> None:
        """Add the tokens for a new call."""
        if service not in self._retry_buckets:
            self._retry_buckets[service] = TokenBucket(
                tokens_per_s=self._slack_tokens_per_s,
                capacity=self._slack_capacity,
                now=now,
            )
            self._hedge_buckets[service] = TokenBucket(
                tokens_per_s=EXTRA_HEDGES_PER_S,
                capacity=_HEDGE_BUCKET_CAPACITY,
                now=now,
            )
        self._retry_buckets[service].add(self._allowance.share * SPENDABLE_SHARE)
        self._hedge_buckets[service].add(HEDGE_SHARE)

    def allow_retry(self, service: ServiceName, refusal: Refusal, now: float) -> bool:
        """Return whether a refused call may be retried, and count the retry."""
        match refusal:
            case Draining() | QueueFull() | Overloaded() | Withdrawn() | NoUpstream():
                # The call was refused before it reached an upstream, so a retry repeats no work.
                return True
            case _:
                return service in self._retry_buckets and self._retry_buckets[service].spend(now)

    def allow_hedge(self, service: ServiceName, now: float) -> bool:
        """Return whether a call may be hedged, and count the hedged request."""
        return service in self._hedge_buckets and self._hedge_buckets[service].spend(now)

    @property
    def _slack_capacity(self) -> float:
        """Return the bucket capacity for retries: half of this proxy's slack, but at least 1.

        The other half is earned by time: a bucket that is full at the start of a window can spend
        its capacity and the tokens earned during the window.
        """
        return max(1.0, self._slack / 2)

    @property
    def _slack_tokens_per_s(self) -> float:
        """Return the tokens for retries that this proxy earns each second without calls."""
        return self._slack / 2 / self._allowance.window

    @property
    def _slack(self) -> float:
        """Return this proxy's share of the slack for one window."""
        return self._allowance.slack * SPENDABLE_SHARE / self._proxy_count
