"""Look up the routes of one host by path prefix."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator, Mapping
from functools import lru_cache
from itertools import accumulate
from typing import NamedTuple

from yarl import URL

from cowslipvane.access import KeyUse
from cowslipvane.catalogue import RetryPolicy, Route, TrafficPolicy
from cowslipvane.types import Header, Headers, Seconds, ServiceName

# Wildcard for any host or any method.
ANY = "*"
MAX_SHARED_POLICIES = 256


# Most routes have the same few limits, so they share the policies that these lead to.
@lru_cache(maxsize=MAX_SHARED_POLICIES)
def _with_attempts(retry: RetryPolicy, attempts: int) -> RetryPolicy:
    """Return a retry policy with another number of attempts."""
    return dataclasses.replace(retry, attempts=attempts)


@lru_cache(maxsize=MAX_SHARED_POLICIES)
def _with_timeout(traffic: TrafficPolicy, timeout: Seconds) -> TrafficPolicy:
    """Return a traffic policy with another timeout."""
    return dataclasses.replace(traffic, timeout=timeout)


class ServiceRules(NamedTuple):
    """A service and the policies that apply to requests for it.

    repeatable tells whether a request may run more than once; if it is None, the retry policy
    decides. goal is the latency goal: the time within which an answer is worth most. key_use tells
    whether requests need a key of a team, route is the name of the route.
    """

    service: ServiceName
    retry: RetryPolicy
    traffic: TrafficPolicy
    repeatable: bool | None = None
    goal: Seconds | None = None
    # Identifies the route of requests with a goal, for separate service time estimates.
    kind: str = ""
    key_use: KeyUse = "ignored"
    route: str = ""

    def with_route(self, name: str, route: Route) -> ServiceRules:
        """Return the rules with the service's policies overridden by those of a route."""
        retry, traffic = self.retry, self.traffic
        if route.attempts is not None:
            retry = _with_attempts(retry, route.attempts)
        if route.timeout is not None:
            traffic = _with_timeout(traffic, route.timeout)
        kind = f"{route.host}{route.path_prefix}" if route.goal is not None else ""
        return ServiceRules(
            self.service,
            retry,
            traffic,
            route.repeatable,
            route.goal,
            kind,
            route.access_keys,
            name,
        )


class RouteEntry(NamedTuple):
    """The conditions of a route apart from host and path, and its weighted services."""

    method: str
    headers: tuple[Header, ...]
    rules: tuple[ServiceRules, ...]
    cumulative_weights: tuple[int, ...]
    key_use: KeyUse

    def matches(self, method: str, headers: Headers) -> bool:
        """Return whether the method and the headers of a request match."""
        return self.method in (ANY, method) and all(
            _has_field(headers, required.name, required.value) for required in self.headers
        )

    def leads_to(self, service: ServiceName) -> bool:
        """Return whether a service gets a share of the requests."""
        below = 0
        for rules, cumulative_weight in zip(self.rules, self.cumulative_weights, strict=True):
            if rules.service == service and cumulative_weight > below:
                return True
            below = cumulative_weight
        return False

    def draw(self, rng: random.Random) -> ServiceRules:
        """Return one of the services at random, by weight."""
        if len(self.rules) == 1:
            return self.rules[0]
        return rng.choices(self.rules, cum_weights=self.cumulative_weights)[0]


class CompiledRoute(NamedTuple):
    """A route in the form in which requests are matched, with its place in the table.

    Of the routes with equal host and prefix, the one with the smallest rank is the most specific.
    """

    route: Route
    rank: tuple[bool, int, str]
    host: str
    prefix: str
    entry: RouteEntry


def compile_route(
    name: str, route: Route, rules: Mapping[ServiceName, ServiceRules]
) -> CompiledRoute:
    """Return a route with the rules of its services."""
    entry = RouteEntry(
        route.method,
        route.headers,
        tuple(rules[target.service].with_route(name, route) for target in route.targets),
        tuple(accumulate(target.weight for target in route.targets)),
        route.access_keys,
    )
    return CompiledRoute(
        route,
        # Ties are broken by name, so that all proxies make the same choice.
        (route.method == ANY, -len(route.headers), name),
        normalize_host(route.host),
        normalize_path(route.path_prefix),
        entry,
    )


class HostRoutes:
    """The routes of one host by path prefix; the longest matching prefix wins."""

    def __init__(self) -> None:
        self._by_prefix: dict[str, list[RouteEntry]] = {}
        self._longest_prefix = 0

    def add(self, compiled: CompiledRoute) -> None:
        """Add a route; more specific routes must have been added before."""
        self._by_prefix.setdefault(compiled.prefix, []).append(compiled.entry)
        self._longest_prefix = max(self._longest_prefix, len(compiled.prefix))

    def find(self, path: str, method: str, headers: Headers) -> RouteEntry | None:
        """Return the most specific route that matches a request."""
        for prefix in self._prefixes(path):
            for route_entry in self._by_prefix.get(prefix, ()):
                if route_entry.matches(method, headers):
                    return route_entry
        return None

    def _prefixes(self, path: str) -> Iterator[str]:
        """Yield the prefixes of a path that end at a segment boundary, longest first."""
        if len(path) <= self._longest_prefix:
            yield path
        # The caller controls the number of slashes in a path, so only prefixes up to the length of
        # the longest configured one are tried.
        end = path.rfind("/", 0, self._longest_prefix + 1)
        while end >= 0:
            if end + 1 < len(path) and end < self._longest_prefix:
                yield path[: end + 1]
            if end > 0:
                yield path[:end]
            end = path.rfind("/", 0, end)


def normalize_host(host: str) -> str:
    """Return a host name or Host field in lower case, without port and trailing dot."""
    # An IPv6 address in brackets contains colons.
    name = host.partition("]")[0] if host.startswith("[") else host.partition(":")[0]
    return name.rstrip(".").lower()


def normalize_path(path: str) -> str:
    """Return a path without query, dot segments and unneeded percent-encoding; %2F is kept."""
    path = path.partition("?")[0]
    if not path.startswith("/"):
        return path or "/"
    if "%" not in path and "/." not in path:
        return path
    return URL("http://host" + path).raw_path or "/"


def _has_field(headers: Headers, name: str, value: str) -> bool:
    """Return whether a header field is present with a value."""
    return any(header.name.lower() == name.lower() and header.value == value for header in headers)
