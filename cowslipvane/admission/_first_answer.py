"""Limit what runs at an upstream that hasn't answered yet."""

from __future__ import annotations

from cowslipvane.types import Seconds

# Requests that may run at once at first; this doubles with each interval without an answer.
INITIAL_SLOTS = 2
DOUBLING_INTERVAL: Seconds = 0.1
# By then there are more than any upstream has.
MAX_DOUBLINGS = 10


class FirstAnswer:
    """The wait for an upstream's first answer, which may name a rate limit.

    Times are in time.monotonic seconds.
    """

    def __init__(self) -> None:
        self._waiting_since: float | None = None

    def record_start(self, now: float) -> None:
        """Record that a request starts, whose answer is awaited."""
        if self._waiting_since is None:
            self._waiting_since = now

    def slots(self, now: float) -> int:
        """Return how many requests may run at once."""
        return INITIAL_SLOTS << self._doublings(now)

    def delay(self, now: float) -> Seconds:
        """Return the time until more requests may run at once."""
        if self._waiting_since is None:
            return 0.0
        next_at = self._waiting_since + (self._doublings(now) + 1) * DOUBLING_INTERVAL
        return max(0.0, next_at - now)

    def _doublings(self, now: float) -> int:
        """Return how often the number of slots has doubled."""
        if self._waiting_since is None:
            return 0
        return min(int((now - self._waiting_since) / DOUBLING_INTERVAL), MAX_DOUBLINGS)
