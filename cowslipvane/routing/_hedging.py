"""Decide when to hedge a call that has not been answered yet."""

from __future__ import annotations

from cowslipvane.routing._quantile import Quantile
from cowslipvane.types import Seconds, ServiceName

# A call is hedged after the time in which this share of the calls is answered.
HEDGE_QUANTILE = 0.95
# Answers needed before calls are hedged.
MIN_SAMPLES = 50
# Lower limit of the delay before a call is hedged.
MIN_DELAY: Seconds = 0.002
# Largest relative change of the delay by a single answer.
_MAX_STEP = 0.02


class Hedging:
    """Track the latencies of each service and derive its hedging delay."""

    def __init__(self) -> None:
        self._latencies: dict[ServiceName, Quantile] = {}

    def record_latency(self, service: ServiceName, latency: Seconds) -> None:
        """Record the latency of an answer."""
        if service not in self._latencies:
            self._latencies[service] = Quantile(quantile=HEDGE_QUANTILE, step=_MAX_STEP)
        self._latencies[service].add(latency)

    def delay(self, service: ServiceName) -> Seconds | None:
        """Return the delay before an idempotent call is hedged, or None while it is unknown."""
        latency = self._latencies.get(service)
        if latency is None or latency.samples < MIN_SAMPLES:
            return None
        return max(latency.value, MIN_DELAY)
