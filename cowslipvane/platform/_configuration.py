"""Decoding of the platform's configuration into a release and resources."""

from __future__ import annotations

import json
import math
from typing import Any, NamedTuple

from cowslipvane.catalogue import (
    MAX_ATTEMPTS,
    Key,
    Release,
    Route,
    Service,
    Spec,
    Target,
    TrafficPolicy,
)
from cowslipvane.platform._teams import decode_key_use, decode_teams
from cowslipvane.types import MAX_INT64, MIN_INT64, ServiceName

_VERSION_DIGITS = 8
_MAX_HOST_CHARACTERS = 1024
_HEXADECIMAL = 16
# Requests of all other types, such as non_idempotent and upload, may run once at most.
_REPEATABLE_TYPES = frozenset({"idempotent", "download"})
# All services share one traffic policy, which holds the limits of the configuration.
_POLICY_NAME = "limits"


class DecodedConfiguration(NamedTuple):
    """A configuration as a release and resources of the product."""

    release: Release
    resources: dict[Key, Spec]


def decode_configuration(body: bytes) -> DecodedConfiguration:
    """Return the configuration in a body; raise ValueError if it can't be read in full."""
    try:
        form = json.loads(body)
        number = _parse_version(form["version"])
        release = Release(
            number=number,
            based_on=_parse_version(form["base_version"]),
            document=body.decode("utf-8"),
        )
        resources = dict(_services(form))
        resources.update(decode_teams(form))
        for listener in form["listeners"]:
            resources.update(_routes(form, listener))
    except (LookupError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        # OverflowError: an infinite number for a whole one, or a number too large for a float.
        raise ValueError(f"the configuration can't be read: {error!r}") from error
    return DecodedConfiguration(release, resources)


def _parse_version(text: Any) -> int:
    """Return the number of a version, which is written in hexadecimal digits."""
    if not isinstance(text, str) or len(text) != _VERSION_DIGITS:
        raise ValueError(
            f"found version {text!r}; allowed are {_VERSION_DIGITS} hexadecimal digits"
        )
    return int(text, _HEXADECIMAL)


def _services(form: dict[str, Any]) -> list[tuple[Key, Spec]]:
    """Return the services, and the traffic policy that they share."""
    policy = TrafficPolicy(max_body_bytes=int(form["limits"]["max_body_bytes"]))
    resources: list[tuple[Key, Spec]] = [(Key("traffic-policy", _POLICY_NAME), policy)]
    for cluster in form["clusters"]:
        resources.append(
            (Key("service", _text(cluster["name"])), Service(traffic_policy=_POLICY_NAME))
        )
    return resources


def _routes(form: dict[str, Any], listener: dict[str, Any]) -> list[tuple[Key, Spec]]:
    """Return the routes of one host."""
    host = _host(listener["host"])
    return [
        (Key("route", f"{host} {_text(rule['match']['path_prefix'])}"), _route(form, host, rule))
        for rule in listener["route_rules"]
    ]


def _route(form: dict[str, Any], host: str, rule: dict[str, Any]) -> Route:
    """Return one route."""
    action = rule["action"]
    goal = rule.get("target_latency_s")
    return Route(
        targets=_targets(action),
        host=host,
        path_prefix=_text(rule["match"]["path_prefix"]),
        repeatable=_repeatable(rule["type"]),
        attempts=min(max(int(action["attempts"]), 1), MAX_ATTEMPTS),
        timeout=_seconds(action["timeout_s"]),
        goal=None if goal is None else _seconds(goal),
        priority=_rank(rule.get("priority", 0)),
        access_keys=decode_key_use(form, rule),
    )


def _rank(value: Any) -> int:
    """Return the rank of a route, the lowest or highest that there is for one beyond it."""
    return min(max(int(value), MIN_INT64), MAX_INT64)


def _targets(action: dict[str, Any]) -> tuple[Target, ...]:
    """Return the target services of a route, one or several by weight."""
    clusters = action.get("weighted_clusters")
    if not clusters:
        return (Target(ServiceName(_text(action["service"]))),)
    return tuple(
        Target(ServiceName(_text(cluster["service"])), _weight(cluster["weight"]))
        for cluster in clusters
    )


def _repeatable(kind: Any) -> bool:
    """Return whether requests of a type may run more than once.

    The platform adds types, all of which may be run once at most.
    """
    if not kind:
        raise ValueError(f"found type {kind!r}; allowed is a text")
    return _text(kind) in _REPEATABLE_TYPES


def _text(value: Any) -> str:
    """Return a text unchanged; raise ValueError for any other type."""
    if not isinstance(value, str):
        raise ValueError(f"found {value!r:.80}; allowed is a text")
    return value


def _host(value: Any) -> str:
    """Return a host; raise ValueError if it is too long for one, since each route repeats it."""
    host = _text(value)
    if len(host) > _MAX_HOST_CHARACTERS:
        raise ValueError(f"found host {host!r:.80}; allowed are {_MAX_HOST_CHARACTERS} characters")
    return host


def _weight(value: Any) -> int:
    """Return a weight; raise ValueError if it isn't a whole number, OverflowError if infinite."""
    if type(value) not in (int, float) or value != int(value):
        raise ValueError(f"found weight {value!r}; allowed is a whole number")
    return int(value)


def _seconds(value: Any) -> float:
    """Return a time in seconds; raise ValueError if it isn't a finite number.

    An integer that is too large for a float raises OverflowError.
    """
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(f"found {value!r:.80}; allowed is a time in seconds")
    return float(value)
