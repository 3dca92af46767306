"""Waits between attempts that grow and are spread at random."""

from __future__ import annotations

import random

from cowslipvane.types import Seconds


class Backoff:
    """An exponential backoff with full jitter, so that a herd does not return at one moment."""

    def __init__(self, *, initial_delay: Seconds, max_delay: Seconds, rng: random.Random) -> None:
        self._first = initial_delay
        self._longest = max_delay
        self._rng = rng
        self._limit = initial_delay

    def next_delay(self) -> Seconds:
        """Return how long to wait before the next attempt, and let the limit grow."""
        wait = self._rng.uniform(0, self._limit)
        self._limit = min(self._limit * 2, self._longest)
        return wait

    def reset(self) -> None:
        """Begin anew after a success."""
        self._limit = self._first
