"""The routing table that one version of the configuration makes."""

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
from cowslipvane.routing._host_routes import ANY, HostRoutes, ServiceRules, normal_host, normal_path
from cowslipvane.types import Headers, HostName, ServiceName, Version

_NO_RETRY = RetryPolicy(attempts=1, methods=())


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
        self._hosts: dict[str, HostRoutes] = {}
        routes = [(key.name, spec) for key, spec in by_key.items() if isinstance(spec, Route)]
        # The most specific route comes first; names break ties, so that all proxies agree.
        for _, route in sorted(routes, key=_specificity):
            host = normal_host(route.host)
            self._hosts.setdefault(host, HostRoutes()).add(route, self._rules)
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
        path = normal_path(path)
        # A route for the host itself comes before one for any host, however long its path.
        for name in (normal_host(host), ANY):
            routes = self._hosts.get(name)
            found = routes.find(path, method, headers) if routes else None
            if found is not None:
                return found.draw(rng)
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


def _specificity(named: tuple[str, Route]) -> tuple[bool, int, str]:
    """Return what sorts the more specific of two routes with one host and prefix first."""
    name, route = named
    return route.method == ANY, -len(route.headers), name
