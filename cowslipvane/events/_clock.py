"""A hybrid logical clock, so that causes sort before effects across hosts."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple


class Stamp(NamedTuple):
    """Wall time in seconds, and a count among stamps of the same time."""

    wall: float
    logical: int


class HybridClock:
    """Wall time that never runs behind a stamp already given or seen."""

    def __init__(self, *, wall: Callable[[], float] = time.time) -> None:
        self._wall = wall
        self._last = Stamp(0.0, 0)

    def now(self) -> Stamp:
        """Return a stamp later than every stamp given or seen before."""
        wall = self._wall()
        if wall > self._last.wall:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall, self._last.logical + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Take in a stamp that another process sent."""
        self._last = max(self._last, stamp)
