"""When a call that has no answer yet is worth a second copy."""

from __future__ import annotations

from cowslipvane.routing._quantile import Quantile
from cowslipvane.types import Seconds, ServiceName

# A copy is sent when this share of the calls would have been answered.
HEDGE_AFTER_SHARE = 0.95
# No copies are sent before this many answers.
ENOUGH_SAMPLES = 50
# No copy is sent sooner than this.
LEAST_DELAY: Seconds = 0.002
# One answer changes the delay by at most this factor.
_STEP = 0.02


class Hedging:
    """Learns how long a service's answers take, and when to stop waiting for one."""

    def __init__(self) -> None:
        self._latencies: dict[ServiceName, Quantile] = {}

    def record_latency(self, service: ServiceName, took: Seconds) -> None:
        """Take in how long an answer took."""
        if service not in self._latencies:
            self._latencies[service] = Quantile(share=HEDGE_AFTER_SHARE, step=_STEP)
        self._latencies[service].add(took)

    def delay(self, service: ServiceName) -> Seconds | None:
        """Return when to send a second copy of an idempotent call, or None for never."""
        latency = self._latencies.get(service)
        if latency is None or latency.samples < ENOUGH_SAMPLES:
            return None
        return max(latency.value, LEAST_DELAY)
