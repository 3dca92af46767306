"""Whether a request that an entry proxy has routed still leads to the service of the upstream."""

from __future__ import annotations

from cowslipvane.call import Request
from cowslipvane.refusal import RouteOutdated
from cowslipvane.routing import RoutingTable
from cowslipvane.types import ServiceName, Version


def outdated_route(
    table: RoutingTable | None, request: Request, service: ServiceName, version: Version | None
) -> RouteOutdated | None:
    """Refuse a request that was routed by an older version, if the newer one leads elsewhere.

    An entry proxy acts on an older version until the update has come over its link.
    """
    if table is None or version is None or version >= table.version:
        return None
    is_current = table.leads_to(
        service,
        host=request.header("Host") or "",
        path=request.path,
        method=request.method,
        headers=request.headers,
    )
    return None if is_current else RouteOutdated(version=table.version)
