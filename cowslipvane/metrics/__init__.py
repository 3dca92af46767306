"""Metrics of one process: cheap counters at run time, metric families on request."""

from cowslipvane.metrics._families import FAMILIES, Family
from cowslipvane.metrics._metrics import CALL_SECONDS_BUCKETS, MAX_NAMED_TEAMS, Metrics, Sample

__all__ = ["CALL_SECONDS_BUCKETS", "FAMILIES", "MAX_NAMED_TEAMS", "Family", "Metrics", "Sample"]
