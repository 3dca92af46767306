"""Route requests to services and choose an owner for each attempt."""

from cowslipvane.routing._budget import Budgets
from cowslipvane.routing._choice import Chooser
from cowslipvane.routing._hedging import Hedging
from cowslipvane.routing._host_routes import RouteEntry, ServiceRules, normalize_host
from cowslipvane.routing._owner_view import AttemptResult, Load
from cowslipvane.routing._table import RoutingTable
from cowslipvane.routing._versions import UpstreamVersions

__all__ = [
    "AttemptResult",
    "Budgets",
    "Chooser",
    "Hedging",
    "Load",
    "RouteEntry",
    "RoutingTable",
    "ServiceRules",
    "UpstreamVersions",
    "normalize_host",
]
