"""Where a request goes: the routing table in force, and the choice of an owner."""

from cowslipvane.routing._choice import Chooser, Load
from cowslipvane.routing._table import RoutingTable, ServiceRules

__all__ = ["Chooser", "Load", "RoutingTable", "ServiceRules"]
