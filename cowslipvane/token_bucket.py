"""A token bucket, which is refilled by time and by what its owner adds."""

from __future__ import annotations

from cowslipvane.types import Seconds


class TokenBucket:
    """Tokens up to a capacity; it begins full unless told otherwise. Times are in seconds."""

    def __init__(
        self, *, tokens_per_s: float, capacity: float, now: float, tokens: float | None = None
    ) -> None:
        self._tokens_per_s = tokens_per_s
        self._capacity = capacity
        self._tokens = capacity if tokens is None else min(tokens, capacity)
        self._filled_at = now
        # When it was full for the last time, as far as it has been looked at. What was taken before
        # it began was taken from another bucket.
        self._full_at = now

    @property
    def tokens(self) -> float:
        """Return the tokens that there were when it was used last."""
        return self._tokens

    def add(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self._tokens = min(self._tokens + tokens, self._capacity)

    def resize(self, *, tokens_per_s: float, capacity: float, now: float) -> None:
        """Set the tokens per second and the capacity, and discard the tokens above it."""
        self.fill(now)
        self._tokens_per_s = tokens_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def spend(self, now: float) -> bool:
        """Take a token; return False if there is none."""
        self.fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def give_back(self, taken_at: float, now: float) -> None:
        """Put back a token that wasn't used, unless its place has been filled since.

        A bucket that was full after the token was taken would be no fuller without the taking.
        """
        self.fill(now)
        if self._full_at <= taken_at:
            self.add(1.0)
            self._note_if_full(now)

    def delay(self, now: float, *, ahead: float = 0.0) -> Seconds:
        """Return the time until there is a token for a request with others ahead of it."""
        self.fill(now)
        missing = max(0.0, ahead + 1.0 - self._tokens)
        return missing / self._tokens_per_s if self._tokens_per_s > 0 else float("inf")

    def fill(self, now: float) -> None:
        """Add the tokens earned by time since the last use."""
        elapsed: Seconds = max(now - self._filled_at, 0.0)
        self._tokens = min(self._tokens + elapsed * self._tokens_per_s, self._capacity)
        self._filled_at = max(now, self._filled_at)
        self._note_if_full(now)

    def _note_if_full(self, now: float) -> None:
        """Remember that the bucket is full."""
        if self._tokens >= self._capacity:
            self._full_at = now
