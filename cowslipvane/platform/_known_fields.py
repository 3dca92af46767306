"""The fields that the platform's pages name, and what this build does about each."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from cowslipvane.platform._fields import (
    Fields,
    Inner,
    Read,
    Unserved,
    Unused,
    Within,
    listed_parts,
    make_known_table,
    shown_name,
    unread_fields,
)

# A line or field of a request's head that is longer is refused.
_MAX_HEAD_LINE_BYTES = 16 << 10
# Connections of callers that are idle for less are kept open.
_KEPT_IDLE_S = 3600

_LIMITS: Fields = {
    "max_body_bytes": Read(),
    "max_header_bytes": Within(
        reason="longer lines of a head are refused; callers stay within the limit",
        high=_MAX_HEAD_LINE_BYTES,
    ),
    "header_timeout_s": Unused(reason="a slow head is waited for; callers stay within the limit"),
    "idle_timeout_s": Within(reason="idle connections are kept for an hour", high=_KEPT_IDLE_S),
}
_RULE: Fields = {
    "name": Unused(reason="a route is known by its host and prefix"),
    "type": Read(),
    "target_latency_s": Read(),
    "priority": Read(),
    "public": Read(),
    "match": Inner(fields={"path_prefix": Read()}),
    "action": Inner(
        fields={
            "service": Read(),
            "weighted_clusters": Inner(fields={"service": Read(), "weight": Read()}, is_list=True),
            "timeout_s": Read(),
            "attempts": Read(),
        }
    ),
}
_TENANT: Fields = {
    "name": Read(),
    "api_keys": Read(),
    "priority": Unserved(reason="only routes have a rank"),
    "rate_per_s": Read(),
    "burst": Read(),
}
_CLUSTER: Fields = {
    "name": Read(),
    "health_path": Unused(reason="heartbeats and answers tell whether a worker is well"),
    "max_connections": Unused(
        reason="only the proxy beside a worker connects to it, once for each slot"
    ),
    "protocol": Unserved(reason="workers are spoken to in HTTP/1.1", unless=("h1",)),
    "tls": Unserved(reason="workers are spoken to without TLS", unless=(False,)),
}
_CONFIGURATION: Fields = {
    "version": Read(),
    "base_version": Read(),
    "limits": Inner(fields=_LIMITS),
    "tenants": Inner(fields=_TENANT, is_list=True),
    "listeners": Inner(
        fields={"host": Read(), "route_rules": Inner(fields=_RULE, is_list=True)}, is_list=True
    ),
    "clusters": Inner(fields=_CLUSTER, is_list=True),
}

_ORDER: Fields = {"service": Read(), "target_version": Read(), "duration_s": Read()}

_JUDGED = "tells how rules are judged, and asks for nothing"
_FIXED = "the times of this build are fixed, and meant for this value and more"
_BOUNDS: Fields = {
    "grace_period_s": Read(),
    "retry_budget_ratio": Read(),
    "budget_window_s": Read(),
    "budget_slack": Read(),
    "exposure_share": Read(),
    "exposure_slack": Unused(reason="a bad version gets no requests beyond the share"),
    "seed_lag_s": Unused(reason="tells what operators know of the replicas"),
    "reuse_after_s": Unused(reason="each request names the worker that it is for"),
    "catch_up_s": Unused(reason="a replica votes as soon as it has caught up"),
    "drain_s": Unused(reason="a worker that leaves gets no new work from the acknowledgement on"),
    "touch_s": Unused(reason=_JUDGED),
    "loss_slack_s": Unused(reason=_JUDGED),
    "rollback_slack_s": Unused(reason=_JUDGED),
    "max_stretch_s": Unused(reason=_JUDGED),
    "ack_timeout_s": Within(reason=_FIXED, low=4),
    "propagation_s": Within(reason=_FIXED, low=2),
    "recovery_s": Within(reason=_FIXED, low=15),
    "rollback_s": Within(reason=_FIXED, low=5),
    # A key is withdrawn by a version, so this one follows from propagation_s.
    "revoke_s": Within(reason=_FIXED, low=2),
    "revoke_when_partitioned": Read(),
    "quota_window_s": Read(),
    "quota_overshoot": Read(),
    "quota_slack": Read(),
}
# The parts of the platform's rules that this build keeps to.
_KEPT_CONTRACTS = frozenset(
    {
        *("base", "config", "cost", "drain", "health", "pool"),
        *("quota", "recover", "retry", "rollout", "tenants"),
    }
)

_CONFIGURATION_TABLE = make_known_table(_CONFIGURATION)
_ORDER_TABLE = make_known_table(_ORDER)
_BOUNDS_TABLE = make_known_table(_BOUNDS, "bounds.")


def unread_in_configuration(form: Mapping[str, Any]) -> set[str]:
    """Return the paths of the fields of a configuration that should be acted on and aren't."""
    return unread_fields(form, _CONFIGURATION_TABLE)


def unread_in_order(form: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the fields of an order for a rollout that should be acted on and aren't."""
    return listed_parts(unread_fields(form, _ORDER_TABLE))


def unread_terms(bounds: Mapping[str, Any], contracts: Iterable[Any]) -> tuple[str, ...]:
    """Return the bounds and parts of the rules that this build doesn't keep to."""
    unkept_names = {str(name) for name in contracts} - _KEPT_CONTRACTS
    unkept = (f"contracts.{shown_name(name)}" for name in unkept_names)
    return listed_parts([*unread_fields(bounds, _BOUNDS_TABLE), *unkept])
