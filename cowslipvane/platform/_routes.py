"""Decoding of the routes in the platform's configuration."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from cowslipvane.catalogue import MAX_ATTEMPTS, Key, Route, Target
from cowslipvane.platform._teams import decode_key_use
from cowslipvane.platform._values import (
    read_host,
    read_rank,
    read_seconds,
    read_text,
    read_whole,
)
from cowslipvane.types import ServiceName

# Requests of all other types, such as non_idempotent and upload, may run once at most.
_REPEATABLE_TYPES = frozenset({"idempotent", "download"})


def decode_routes(form: dict[str, Any]) -> Iterator[tuple[Key, Route]]:
    """Yield the routes of a configuration, in the order of its hosts and their rules."""
    for listener in form["listeners"]:
        host = read_host(listener["host"])
        for rule in listener["route_rules"]:
            prefix = read_text(rule["match"]["path_prefix"])
            yield Key("route", f"{host} {prefix}"), _route(form, host, prefix, rule)


def _route(form: dict[str, Any], host: str, prefix: str, rule: dict[str, Any]) -> Route:
    """Return one route."""
    action = rule["action"]
    goal = rule.get("target_latency_s")
    return Route(
        targets=_targets(action),
        host=host,
        path_prefix=prefix,
        repeatable=_repeatable(rule["type"]),
        attempts=min(max(read_whole(action["attempts"]), 1), MAX_ATTEMPTS),
        timeout=read_seconds(action["timeout_s"]),
        goal=None if goal is None else read_seconds(goal),
        priority=read_rank(rule.get("priority", 0)),
        access_keys=decode_key_use(form, rule),
    )


def _targets(action: dict[str, Any]) -> tuple[Target, ...]:
    """Return the target services of a route, one or several by weight."""
    clusters = action.get("weighted_clusters")
    if not clusters:
        return (Target(ServiceName(read_text(action["service"]))),)
    return tuple(
        Target(ServiceName(read_text(cluster["service"])), read_whole(cluster["weight"]))
        for cluster in clusters
    )


def _repeatable(kind: Any) -> bool:
    """Return whether requests of a type may run more than once.

    The platform adds types, all of which may be run once at most.
    """
    if not kind:
        raise ValueError(f"found type {kind!r}; allowed is a text")
    return read_text(kind) in _REPEATABLE_TYPES
