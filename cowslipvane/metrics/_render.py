"""The Prometheus text format; this module is imported only when a process is scraped."""

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
    """Return the metrics of this process and of its interpreter in the text format."""
    registry = CollectorRegistry()
    registry.register(_Families(metrics=metrics, samples=samples))
    for collector in (GCCollector, PlatformCollector, ProcessCollector):
        collector(registry=registry)
    return generate_latest(registry)


class _Families(Collector):
    """Collects samples into metric families."""

    def __init__(self, *, metrics: Metrics, samples: Sequence[Sample]) -> None:
        self._metrics = metrics
        self._samples = samples

    def collect(self) -> Iterable[Metric]:
        """Yield each family that has a value."""
        for family in FAMILIES:
            if family.kind == "histogram":
                yield self._histogram(family)
                continue
            family_samples = [sample for sample in self._samples if sample.name == family.name]
            if family_samples:
                yield _metric(family, family_samples)

    def _histogram(self, family: Family) -> Metric:
        """Return the histogram of call durations."""
        bounds = [*map(str, CALL_SECONDS_BUCKETS), "+Inf"]
        buckets = list(zip(bounds, self._metrics.call_buckets, strict=True))
        metric = HistogramMetricFamily(family.name, family.description)
        metric.add_metric([], buckets, self._metrics.call_seconds_sum)
        return metric


def _metric(family: Family, samples: Sequence[Sample]) -> Metric:
    """Return the family as a counter or a gauge."""
    kind = CounterMetricFamily if family.kind == "counter" else GaugeMetricFamily
    metric = kind(family.name, family.description, labels=[family.label] if family.label else [])
    for sample in samples:
        metric.add_metric([sample.label] if family.label else [], sample.value)
    return metric
