"""What an upstream's work has taken lately, by kind of request."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

from cowslipvane.call import Request
from cowslipvane.types import Seconds

# Kinds of request that are told apart; the one unused for longest is dropped.
MAX_KINDS = 256
# Path segments that tell kinds apart; one with a digit in it counts as any other such.
KIND_SEGMENTS = 2
# The share that a new sample has in an estimate.
SAMPLE_WEIGHT = 0.2
TYPICAL_WEIGHT = 0.02
# Work is long when it takes this many times the typical time of all work.
LONG_FACTOR = 5.0
# An estimate without new samples halves in this time, so that refusals can't keep it high.
HALF_LIFE: Seconds = 2.0


class _Estimate(NamedTuple):
    """The mean time of one kind, and when it was last sampled."""

    mean: Seconds
    at: float


class ServiceTimes:
    """Moving averages of the time that the upstream needs for each kind of request."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _Estimate] = OrderedDict()
        # The mean of logarithms is little moved by a few long ones.
        self._typical_log: float | None = None

    @property
    def typical(self) -> Seconds:
        """Return the time that most work takes; 0 when nothing is known."""
        return 0.0 if self._typical_log is None else math.exp(self._typical_log)

    def estimate(self, kind: str, now: float) -> Seconds:
        """Return the time that work of a kind is likely to take; 0 when nothing is known."""
        known = self._kinds.get(kind)
        if known is None:
            return 0.0
        return float(known.mean * 0.5 ** (max(0.0, now - known.at) / HALF_LIFE))

    def is_long(self, kind: str) -> bool:
        """Return whether work of a kind takes many times as long as most work."""
        known = self._kinds.get(kind)
        return known is not None and known.mean > LONG_FACTOR * self.typical

    def learn(self, kind: str, took: Seconds, now: float) -> None:
        """Take in the time that work of a kind took."""
        known = self._kinds.pop(kind, None)
        mean = took if known is None else known.mean + SAMPLE_WEIGHT * (took - known.mean)
        self._kinds[kind] = _Estimate(mean, now)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        log = math.log(max(took, 1e-6))
        if self._typical_log is None:
            self._typical_log = log
        self._typical_log += TYPICAL_WEIGHT * (log - self._typical_log)


def request_kind(request: Request) -> str:
    """Return the kind of a request: its method and the start of its path, without identifiers."""
    path = request.path.partition("?")[0]
    segments = path.strip("/").split("/")[:KIND_SEGMENTS]
    named = ("*" if any(map(str.isdigit, segment)) else segment for segment in segments)
    return f"{request.method} /{'/'.join(named)}"
