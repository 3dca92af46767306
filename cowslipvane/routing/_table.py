"""The routing table built from one version of the configuration."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from operator import attrgetter

from cowslipvane.access import TeamKeys
from cowslipvane.catalogue import (
    Key,
    QuotaDivision,
    QuotaHolder,
    Resource,
    RetryPolicy,
    Rollout,
    Route,
    Service,
    Spec,
    Team,
    TrafficPolicy,
    Upstream,
)
from cowslipvane.routing._host_routes import (
    ANY,
    CompiledRoute,
    HostRoutes,
    RouteEntry,
    ServiceRules,
    compile_route,
    normalize_host,
    normalize_path,
)
from cowslipvane.types import Headers, HostName, Quota, ServiceName, TeamName, Version

_NO_RETRY = RetryPolicy(attempts=1, methods=())


class RoutingTable:
    """The routes of one version of the configuration; immutable."""

    def __init__(
        self,
        *,
        version: Version,
        resources: Iterable[Resource],
        previous: RoutingTable | None = None,
    ) -> None:
        """Build the table, and reuse what is the same as in a previous one."""
        self._version = version
        by_key = {resource.key: resource.spec for resource in resources}
        self._rules = {
            ServiceName(key.name): _rules(key, spec, by_key)
            for key, spec in by_key.items()
            if isinstance(spec, Service)
        }
        self._compiled = self._compile(by_key, previous)
        self._hosts: dict[str, HostRoutes] = {}
        # The most specific route comes first.
        for compiled in sorted(self._compiled.values(), key=attrgetter("rank")):
            if compiled.host not in self._hosts:
                self._hosts[compiled.host] = HostRoutes()
            self._hosts[compiled.host].add(compiled)
        self._out_of_service = frozenset(
            HostName(key.name)
            for key, spec in by_key.items()
            if isinstance(spec, Upstream) and spec.state == "out"
        )
        self._rollouts = {
            ServiceName(key.name): spec for key, spec in by_key.items() if isinstance(spec, Rollout)
        }
        self._team_keys = TeamKeys(
            digests={
                TeamName(key.name): spec.key_digests
                for key, spec in by_key.items()
                if isinstance(spec, Team)
            },
            previous=None if previous is None else previous.team_keys,
        )

        self._quotas = {
            TeamName(key.name): Quota(spec.rate, spec.burst)
            for key, spec in by_key.items()
            if isinstance(spec, Team) and spec.rate > 0
        }
        self._quota_holders = tuple(
            holder
            for spec in by_key.values()
            if isinstance(spec, QuotaDivision)
            for holder in spec.holders
        )

    @property
    def version(self) -> Version:
        """Return the version of the configuration that the table was built from."""
        return self._version

    @property
    def team_keys(self) -> TeamKeys:
        """Return the keys of the teams."""
        return self._team_keys

    @property
    def quota_holders(self) -> tuple[QuotaHolder, ...]:
        """Return the replicas that grant requests of teams with quotas."""
        return self._quota_holders

    def quota(self, team: TeamName) -> Quota | None:
        """Return the quota of a team, None if its requests aren't counted."""
        return self._quotas.get(team)

    def has_service(self, service: ServiceName) -> bool:
        """Return whether the configuration names a service."""
        return service in self._rules

    def rollout(self, service: ServiceName) -> Rollout | None:
        """Return the newest rollout of a service, None if there was none."""
        return self._rollouts.get(service)

    def is_out_of_service(self, host: HostName) -> bool:
        """Return whether an operator has taken the upstream on a host out of service."""
        return host in self._out_of_service

    def route(
        self, *, host: str, path: str, method: str, headers: Headers, rng: random.Random
    ) -> ServiceRules | None:
        """Return the service for a request, drawn by weight, or None if no route matches."""
        route_entry = self.find(host=host, path=path, method=method, headers=headers)
        return None if route_entry is None else route_entry.draw(rng)

    def find(self, *, host: str, path: str, method: str, headers: Headers) -> RouteEntry | None:
        """Return the most specific route that matches a request, or None."""
        path = normalize_path(path)
        # A route for the host takes precedence over a wildcard route with a longer prefix.
        for name in (normalize_host(host), ANY):
            routes = self._hosts.get(name)
            route_entry = routes.find(path, method, headers) if routes else None
            if route_entry is not None:
                return route_entry
        return None

    def _compile(
        self, by_key: Mapping[Key, Spec], previous: RoutingTable | None
    ) -> dict[str, CompiledRoute]:
        """Return the compiled routes by name, those of a previous table where nothing differs."""
        routes = {key.name: spec for key, spec in by_key.items() if isinstance(spec, Route)}
        reusable = previous._reusable(routes, self._rules) if previous is not None else {}
        return {
            name: reusable.get(name) or compile_route(name, route, self._rules)
            for name, route in routes.items()
        }

    def _reusable(
        self, routes: Mapping[str, Route], rules: Mapping[ServiceName, ServiceRules]
    ) -> dict[str, CompiledRoute]:
        """Return the compiled routes that are the same with other routes and rules."""
        unchanged = {
            service for service, known in self._rules.items() if rules.get(service) == known
        }
        return {
            name: compiled
            for name, compiled in self._compiled.items()
            if routes.get(name) is compiled.route
            and all(target.service in unchanged for target in compiled.route.targets)
        }


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
