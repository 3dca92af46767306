"""Exponential backoff between attempts, with random jitter."""

from __future__ import annotations

import random

from cowslipvane.types import Seconds


class Backoff:
    """An exponential backoff with full jitter, so that clients don't all retry at the same time."""

    def __init__(self, *, initial_delay: Seconds, max_delay: Seconds, rng: random.Random) -> None:
        self._initial_delay = initial_delay
        self._max_delay = max_delay
        self._rng = rng
        self._limit = initial_delay

    def next_delay(self) -> Seconds:
        """Return the delay before the next attempt, and double the limit."""
        delay = self._rng.uniform(0, self._limit)
        self._limit = min(self._limit * 2, self._max_delay)
        return delay

    def reset(self) -> None:
        """Reset the limit after a success."""
        self._limit = self._initial_delay
