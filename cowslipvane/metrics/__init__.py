"""Metrics of one process: cheap counters at run time, metric families on request."""

from cowslipvane.metrics._families import FAMILIES, Family
from cowslipvane.metrics._metrics import CALL_SECONDS_BUCKETS, Metrics, Sample

__all__ = ["CALL_SECONDS_BUCKETS", "FAMILIES", "Family", "Metrics", "Sample"]
