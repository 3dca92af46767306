"""Route requests to services and choose an owner for each attempt."""

from cowslipvane.routing._budget import Budgets
from cowslipvane.routing._choice import Chooser
from cowslipvane.routing._hedging import Hedging
from cowslipvane.routing._host_routes import ServiceRules
from cowslipvane.routing._owner_view import AttemptResult, Load
from cowslipvane.routing._table import RoutingTable

__all__ = ["Budgets", "Chooser", "Hedging", "Load", "AttemptResult", "RoutingTable", "ServiceRules"]
