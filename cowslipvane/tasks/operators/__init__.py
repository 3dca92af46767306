"""The operators' interface of a process, over HTTP."""

from cowslipvane.tasks.operators._debug import debug_form
from cowslipvane.tasks.operators._metrics_collector import MetricsCollector
from cowslipvane.tasks.operators._operator_api import OperatorApi
from cowslipvane.tasks.operators._process_api import ProcessApi
from cowslipvane.tasks.operators._quota_api import QuotaApi
from cowslipvane.tasks.operators._replica_api import ReplicaApi
from cowslipvane.tasks.operators._resource_api import ResourceApi
from cowslipvane.tasks.operators._rollout_api import RolloutApi

__all__ = [
    "MetricsCollector",
    "OperatorApi",
    "ProcessApi",
    "QuotaApi",
    "ReplicaApi",
    "ResourceApi",
    "RolloutApi",
    "debug_form",
]
