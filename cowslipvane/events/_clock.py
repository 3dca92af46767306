"""A hybrid logical clock, which sorts causes before effects across hosts."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import NamedTuple

from cowslipvane.types import Seconds

# A stamp further ahead than this comes from a faulty clock; accepting it would push the clocks of
# all other processes ahead as well.
MAX_CLOCK_AHEAD: Seconds = 3600.0
# The same limit for the logical counter, which grows by one with each event or message.
MAX_LOGICAL_COUNT = 1 << 31


class Stamp(NamedTuple):
    """Wall time in seconds, and a counter that orders stamps of the same wall time."""

    wall: float
    logical: int


class HybridClock:
    """Issues stamps of wall time that are later than every stamp issued or received before."""

    def __init__(self, *, wall: Callable[[], float] = time.time) -> None:
        self._wall = wall
        self._last = Stamp(0.0, 0)
        self._refused = 0

    @property
    def refused(self) -> int:
        """Return how many received stamps were too far ahead to be accepted."""
        return self._refused

    def now(self) -> Stamp:
        """Return a stamp later than every stamp issued or received before."""
        wall = self._wall()
        if wall > self._last.wall:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall, self._last.logical + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Advance to a stamp from another process, unless that process must have a faulty clock."""
        too_far = stamp.wall > self._wall() + MAX_CLOCK_AHEAD or stamp.logical > MAX_LOGICAL_COUNT
        if too_far or not math.isfinite(stamp.wall):
            self._refused += 1
            return
        self._last = max(self._last, stamp)
