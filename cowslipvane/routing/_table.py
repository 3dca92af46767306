"""The routing table that one version of the configuration makes."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cowslipvane.catalogue import (
    Key,
    Resource,
    RetryPolicy,
    Route,
    Service,
    Spec,
    TrafficPolicy,
    Upstream,
)
from cowslipvane.types import Headers, HostName, ServiceName, Version

_NO_RETRY = RetryPolicy(attempts=1, methods=())


class ServiceRules(NamedTuple):
    """A service with its policies resolved."""

    service: ServiceName
    retry: RetryPolicy
    traffic: TrafficPolicy


class RoutingTable:
    """All routes of one version; it never changes."""

    def __init__(self, *, version: Version, resources: Iterable[Resource]) -> None:
        self._version = version
        by_key = {resource.key: resource.spec for resource in resources}
        self._rules = {
            ServiceName(key.name): _rules(key, spec, by_key)
            for key, spec in by_key.items()
            if isinstance(spec, Service)
        }
        routes = [(key.name, spec) for key, spec in by_key.items() if isinstance(spec, Route)]
        # The most specific route comes first; names break ties, so that all proxies agree.
        self._routes = [route for _, route in sorted(routes, key=_specificity)]
        self._out = frozenset(
            HostName(key.name)
            for key, spec in by_key.items()
            if isinstance(spec, Upstream) and spec.state == "out"
        )

    @property
    def version(self) -> Version:
        """Return the version of the configuration that the table was made from."""
        return self._version

    def is_out(self, host: HostName) -> bool:
        """Return whether the operator took the upstream on a host out."""
        return host in self._out

    def route(
        self, *, host: str, path: str, method: str, headers: Headers, rng: random.Random
    ) -> ServiceRules | None:
        """Return the service for a request, drawn by weight, or None without a route."""
        for route in self._routes:
            if _matches(route, host, path, method, headers):
                targets = [target for target in route.targets if target.weight > 0]
                weights = [target.weight for target in targets]
                return self._rules[rng.choices(targets, weights)[0].service]
        return None


def _rules(key: Key, spec: Service, by_key: Mapping[Key, Spec]) -> ServiceRules:
    """Return a service with the policies that it refers to."""
    retry = by_key[Key("retry-policy", spec.retry_policy)] if spec.retry_policy else _NO_RETRY
    traffic = (
        by_key[Key("traffic-policy", spec.traffic_policy)]
        if spec.traffic_policy
        else TrafficPolicy()
    )
    assert isinstance(retry, RetryPolicy)
    assert isinstance(traffic, TrafficPolicy)
    return ServiceRules(ServiceName(key.name), retry, traffic)


def _specificity(named: tuple[str, Route]) -> tuple[bool, int, bool, int, str]:
    """Return what sorts the more specific route first."""
    name, route = named
    return (
        route.host == "*",
        -len(route.path_prefix),
        route.method == "*",
        -len(route.headers),
        name,
    )


def _matches(route: Route, host: str, path: str, method: str, headers: Headers) -> bool:
    """Return whether a request matches a route."""
    return (
        route.host in ("*", host)
        and _under(path, route.path_prefix)
        and route.method in ("*", method)
        and all(_has(headers, wanted.name, wanted.value) for wanted in route.headers)
    )


def _under(path: str, prefix: str) -> bool:
    """Return whether a path lies under a prefix, by whole segments."""
    return path == prefix or path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def _has(headers: Headers, name: str, value: str) -> bool:
    """Return whether a header field is there."""
    return any(header.name.lower() == name.lower() and header.value == value for header in headers)
