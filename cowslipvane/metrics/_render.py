"""The text that a metrics system reads; only a process that is asked for it loads the library."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from prometheus_client import (
    CollectorRegistry,
    GCCollector,
    PlatformCollector,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from cowslipvane.metrics._families import FAMILIES, Family
from cowslipvane.metrics._metrics import CALL_SECONDS_BUCKETS, Metrics, Sample


def render(metrics: Metrics, samples: Sequence[Sample]) -> bytes:
    """Return the metrics of this process, and those of its interpreter."""
    registry = CollectorRegistry()
    registry.register(_Families(metrics=metrics, readings=samples))
    for collector in (GCCollector, PlatformCollector, ProcessCollector):
        collector(registry=registry)
    return generate_latest(registry)


class _Families(Collector):
    """Turns readings into families."""

    def __init__(self, *, metrics: Metrics, readings: Sequence[Sample]) -> None:
        self._metrics = metrics
        self._readings = readings

    def collect(self) -> Iterable[Metric]:
        """Yield each family that has something to tell."""
        for family in FAMILIES:
            if family.kind == "histogram":
                yield self._histogram(family)
                continue
            found = [reading for reading in self._readings if reading.name == family.name]
            if found:
                yield _metric(family, found)

    def _histogram(self, family: Family) -> Metric:
        """Return the histogram of calls."""
        bounds = [*map(str, CALL_SECONDS_BUCKETS), "+Inf"]
        buckets = list(zip(bounds, self._metrics.call_buckets, strict=True))
        metric = HistogramMetricFamily(family.name, family.description)
        metric.add_metric([], buckets, self._metrics.call_seconds)
        return metric


def _metric(family: Family, readings: Sequence[Sample]) -> Metric:
    """Return a counter or a gauge."""
    kind = CounterMetricFamily if family.kind == "counter" else GaugeMetricFamily
    metric = kind(family.name, family.description, labels=[family.label] if family.label else [])
    for reading in readings:
        metric.add_metric([reading.label] if family.label else [], reading.value)
    return metric
