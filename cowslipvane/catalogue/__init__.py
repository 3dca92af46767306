"""The catalogue: resources, the rules between them, and their accepted versions."""

from cowslipvane.catalogue._catalogue import (
    Accepted,
    Catalogue,
    Change,
    Conflict,
    Delta,
    Invalid,
    Outcome,
    Snapshot,
)
from cowslipvane.catalogue._resources import (
    KINDS,
    Fault,
    Key,
    Resource,
    RetryPolicy,
    Route,
    Service,
    Spec,
    Target,
    TrafficPolicy,
    Upstream,
    kind_of,
)

__all__ = [
    "KINDS",
    "Accepted",
    "Catalogue",
    "Change",
    "Conflict",
    "Delta",
    "Fault",
    "Invalid",
    "Key",
    "Outcome",
    "Resource",
    "RetryPolicy",
    "Route",
    "Service",
    "Snapshot",
    "Spec",
    "Target",
    "TrafficPolicy",
    "Upstream",
    "kind_of",
]
