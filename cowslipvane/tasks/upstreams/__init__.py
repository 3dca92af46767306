"""The upstream of this host: its owner, its slots, and their connections to the worker."""

from cowslipvane.tasks.upstreams._owner import Owner
from cowslipvane.tasks.upstreams._runner import RunningRequest
from cowslipvane.tasks.upstreams._serve_calls import serve_calls

__all__ = [
    "Owner",
    "RunningRequest",
    "serve_calls",
]
