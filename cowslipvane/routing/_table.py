"""The routing table built from one version of the configuration."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

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
from cowslipvane.routing._host_routes import (
    ANY,
    HostRoutes,
    ServiceRules,
    normalize_host,
    normalize_path,
)
from cowslipvane.types import Headers, HostName, ServiceName, Version

_NO_RETRY = RetryPolicy(attempts=1, methods=())


class RoutingTable:
    """The routes of one version of the configuration; immutable."""

    def __init__(self, *, version: Version, resources: Iterable[Resource]) -> None:
        self._version = version
        by_key = {resource.key: resource.spec for resource in resources}
        self._rules = {
            ServiceName(key.name): _rules(key, spec, by_key)
            for key, spec in by_key.items()
            if isinstance(spec, Service)
        }
        self._hosts: dict[str, HostRoutes] = {}
        routes = [(key.name, spec) for key, spec in by_key.items() if isinstance(spec, Route)]
        # The most specific route comes first. Ties are broken by name, so that all proxies make the
        # same choice.
        for _, route in sorted(routes, key=_specificity):
            host = normalize_host(route.host)
            self._hosts.setdefault(host, HostRoutes()).add(route, self._rules)
        self._out_of_service = frozenset(
            HostName(key.name)
            for key, spec in by_key.items()
            if isinstance(spec, Upstream) and spec.state == "out"
        )

    @property
    def version(self) -> Version:
        """Return the version of the configuration that the table was built from."""
        return self._version

    def is_out_of_service(self, host: HostName) -> bool:
        """Return whether an operator has taken the upstream on a host out of service."""
        return host in self._out_of_service

    def route(
        self, *, host: str, path: str, method: str, headers: Headers, rng: random.Random
    ) -> ServiceRules | None:
        """Return the service for a request, drawn by weight, or None if no route matches."""
        path = normalize_path(path)
        # A route for the host takes precedence over a wildcard route with a longer prefix.
        for name in (normalize_host(host), ANY):
            routes = self._hosts.get(name)
            route_entry = routes.find(path, method, headers) if routes else None
            if route_entry is not None:
                return route_entry.draw(rng)
        return None


def _rules(key: Key, spec: Service, by_key: Mapping[Key, Spec]) -> ServiceRules:
    """Return a service with its policies resolved."""
    retry = by_key[Key("retry-policy", spec.retry_policy)] if spec.retry_policy else _NO_RETRY
    traffic = (
        by_key[Key("traffic-policy", spec.traffic_policy)]
        if spec.traffic_policy
        else TrafficPolicy()
    )
    assert isinstance(retry, RetryPolicy)
    assert isinstance(traffic, TrafficPolicy)
    return ServiceRules(ServiceName(key.name), retry, traffic)


def _specificity(item: tuple[str, Route]) -> tuple[bool, int, str]:
    """Return a sort key that puts the more specific of routes with equal host and prefix first."""
    name, route = item
    return route.method == ANY, -len(route.headers), name
