"""A hybrid logical clock, so that causes sort before effects across hosts."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import NamedTuple

from cowslipvane.types import Seconds

# A stamp further ahead than this comes from a broken clock; it would spoil every other one.
MAX_AHEAD: Seconds = 3600.0
# The same for the logical count, which grows by one with each event or message.
MAX_LOGICAL = 1 << 31


class Stamp(NamedTuple):
    """Wall time in seconds, and a count among stamps of the same time."""

    wall: float
    logical: int


class HybridClock:
    """Wall time that never runs behind a stamp already given or seen."""

    def __init__(self, *, wall: Callable[[], float] = time.time) -> None:
        self._wall = wall
        self._last = Stamp(0.0, 0)
        self._refused = 0

    @property
    def refused(self) -> int:
        """Return how many stamps were too far ahead to be taken in."""
        return self._refused

    def now(self) -> Stamp:
        """Return a stamp later than every stamp given or seen before."""
        wall = self._wall()
        if wall > self._last.wall:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall, self._last.logical + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Take in a stamp that another process sent, unless its clock must be broken."""
        too_far = stamp.wall > self._wall() + MAX_AHEAD or stamp.logical > MAX_LOGICAL
        if too_far or not math.isfinite(stamp.wall):
            self._refused += 1
            return
        self._last = max(self._last, stamp)
