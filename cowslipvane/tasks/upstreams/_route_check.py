"""Whether a request still leads to the service of the upstream, for the same team and key."""

from __future__ import annotations

from cowslipvane.access import Denied, NoKey, ShownKey, Unchecked, decide_access, team_of
from cowslipvane.admission import Work
from cowslipvane.call import KEY_FIELD, Offer
from cowslipvane.clock import lease_now
from cowslipvane.refusal import KeysUnconfirmed, RouteOutdated
from cowslipvane.routing import RouteEntry, RoutingTable
from cowslipvane.subscription import Subscription
from cowslipvane.types import HostName, ServiceName


def recheck(
    subscription: Subscription, admitted: Offer | Work, service: ServiceName, *, host: HostName
) -> RouteOutdated | KeysUnconfirmed | None:
    """Refuse a request that this proxy wouldn't admit now, though its entry proxy has earlier.

    It may have waited on its way, or here while this process was paused.
    """
    if admitted.key is not None and not subscription.accepts_keys(lease_now()):
        return KeysUnconfirmed(host=host)
    return outdated_route(subscription.table, admitted, service)


def outdated_route(
    table: RoutingTable | None, routed: Offer | Work, service: ServiceName
) -> RouteOutdated | None:
    """Refuse a request that was routed by an older version, if the newer one treats it otherwise.

    An entry proxy acts on an older version until the update has come over its link.
    """
    if table is None or routed.version is None or routed.version >= table.version:
        return None
    request = routed.request
    entry = table.find(
        host=request.header("Host") or "",
        path=request.path,
        method=request.method,
        headers=request.headers,
    )
    if entry is not None and entry.leads_to(service) and _has_same_team(table, entry, routed):
        return None
    return RouteOutdated(version=table.version)


def _has_same_team(table: RoutingTable, entry: RouteEntry, routed: Offer | Work) -> bool:
    """Return whether a newer version admits a request for the team that the older one did."""
    presented = NoKey() if routed.key is None else ShownKey(digest=routed.key)
    # Without a key, only a nested call is for a team.
    parent_team = routed.team if routed.key is None else None
    match decide_access(entry.key_use, presented, table.team_keys, parent_team=parent_team):
        case Denied():
            return False
        case Unchecked():
            return routed.team is None
        case access:
            # By a route that ignored keys, the key itself came along.
            is_withheld = routed.request.header(KEY_FIELD) is None
            return is_withheld and team_of(access) == routed.team
