"""Limit the rate of requests that an upstream takes, as a token bucket."""

from __future__ import annotations

import math

from cowslipvane.types import Seconds

# Tokens for this time may be saved up, so that requests that come together needn't wait.
BURST_TIME: Seconds = 0.25
# A limit of nearly nothing still lets a request through now and then, whose answer tells whether
# the limit has been lifted.
MIN_REQUESTS_PER_S = 0.5


class RateLimit:
    """The requests a second that an upstream takes, and the tokens for those that may start.

    Times are in time.monotonic seconds.
    """

    def __init__(self, *, requests_per_s: float, now: float, tokens: float = 0.0) -> None:
        self._tokens = tokens
        self._filled_at = now
        self._requests_per_s = max(requests_per_s, MIN_REQUESTS_PER_S)

    @property
    def requests_per_s(self) -> float:
        """Return the requests a second that may start."""
        return self._requests_per_s

    def change(self, requests_per_s: float, now: float) -> None:
        """Change the rate, and keep the tokens that were saved at the earlier one."""
        self._fill(now)
        self._requests_per_s = max(requests_per_s, MIN_REQUESTS_PER_S)

    def take(self, now: float) -> bool:
        """Take a token for a request; return whether there was one."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Give back the token of a request that wasn't sent."""
        self._tokens += 1.0

    def delay(self, now: float, *, ahead: int = 0) -> Seconds:
        """Return the time until there is a token for a request with others ahead of it."""
        self._fill(now)
        return max(0.0, ahead + 1.0 - self._tokens) / self._requests_per_s

    def slots(self, service_time: Seconds) -> int:
        """Return how many requests of a service time run at once at this rate, at least one."""
        return max(1, math.ceil(self._requests_per_s * service_time))

    def _fill(self, now: float) -> None:
        """Add the tokens for the time that has passed."""
        burst = max(1.0, self._requests_per_s * BURST_TIME)
        gained = max(0.0, now - self._filled_at) * self._requests_per_s
        self._tokens = min(self._tokens + gained, burst)
        self._filled_at = max(now, self._filled_at)
