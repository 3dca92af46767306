"""Estimate the service time of requests by kind."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

from cowslipvane.call import Request
from cowslipvane.types import Seconds

# Kinds of request to keep estimates for; the least recently sampled one is dropped.
MAX_KINDS = 256
# Leading path segments that make up a kind; segments with digits are treated as identifiers.
KIND_PATH_SEGMENTS = 2
# Weight of a new sample in the moving average of its kind, and in that of all work.
SAMPLE_WEIGHT = 0.2
TYPICAL_WEIGHT = 0.02
# Work is long if it takes this many times the typical service time.
LONG_WORK_FACTOR = 5.0
# An estimate without new samples halves in this time. Without decay, a high estimate would have
# all requests of its kind refused, and so never be corrected.
ESTIMATE_HALF_LIFE: Seconds = 2.0


class _Estimate(NamedTuple):
    """The mean service time of one kind, and the time of the last sample."""

    mean: Seconds
    sampled_at: float


class ServiceTimes:
    """Moving averages of the upstream's service times for each kind of request."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _Estimate] = OrderedDict()
        # A mean of logarithms is robust against a few long requests.
        self._typical_log: float | None = None

    @property
    def typical(self) -> Seconds:
        """Return the typical service time, or 0 without samples."""
        return 0.0 if self._typical_log is None else math.exp(self._typical_log)

    def estimate(self, kind: str, now: float) -> Seconds:
        """Return the estimated service time of a kind, or 0 without samples."""
        known = self._kinds.get(kind)
        if known is None:
            return 0.0
        return float(known.mean * 0.5 ** (max(0.0, now - known.sampled_at) / ESTIMATE_HALF_LIFE))

    def is_long(self, kind: str) -> bool:
        """Return whether work of a kind takes much longer than typical work."""
        known = self._kinds.get(kind)
        return known is not None and known.mean > LONG_WORK_FACTOR * self.typical

    def add(self, kind: str, duration: Seconds, now: float) -> None:
        """Add the service time of one request to the estimates."""
        known = self._kinds.pop(kind, None)
        mean = duration if known is None else known.mean + SAMPLE_WEIGHT * (duration - known.mean)
        self._kinds[kind] = _Estimate(mean, now)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        log_duration = math.log(max(duration, 1e-6))
        if self._typical_log is None:
            self._typical_log = log_duration
        self._typical_log += TYPICAL_WEIGHT * (log_duration - self._typical_log)


def request_kind(request: Request) -> str:
    """Return a request's method and the start of its path, with identifiers replaced."""
    path = request.path.partition("?")[0]
    segments = path.strip("/").split("/")[:KIND_PATH_SEGMENTS]
    masked = ("*" if any(map(str.isdigit, segment)) else segment for segment in segments)
    return f"{request.method} /{'/'.join(masked)}"
